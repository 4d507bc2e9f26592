package wrenkeel.scale;

import java.util.List;

/**
 * The traffic that stand-in clients generate.
 *
 * @param destinations number of destinations, which are numbered from 0
 * @param exponent of the Zipf distribution of messages over destinations; 0 for a uniform distribution
 * @param bodyBytes size of each message's body
 * @param classes message classes with their shares, which sum to 1
 * @param tenants with their shares, which sum to 1; may be empty
 * @param maxConnections upper limit on open connections; a message that finds all of them busy is
 *     counted as not sent
 */
public record Traffic(int destinations, double exponent, int bodyBytes, List<ClassShare> classes,
               List<TenantShare> tenants, int maxConnections) {
    /**
     * A message class and its share of the traffic.
     *
     * @param lifeMillis lifetime of its messages, sent as X-Timeout-Ms
     * @param keyed whether each message carries its own idempotency key
     */
    public record ClassShare(String name, double share, long lifeMillis, boolean keyed) { }

    /** A tenant and its share of the traffic. */
    public record TenantShare(String name, double share) { }

    /** Share of all messages that go to this destination, 0 to 1. */
    public double share(int destination) {
        return new ZipfSampler(destinations, exponent).share(destination);
    }
}
