package wrenkeel.scale;

import java.util.List;

/**
 * What stand-in clients hand in.
 *
 * @param destinations numbered from 0
 * @param exponent of the Zipf distribution over them; 0 for even traffic
 * @param bodyBytes of each message
 * @param classes with their shares, which sum to 1
 * @param tenants in the same way
 * @param maxConnections held at once; a message that finds all busy is counted as not sent
 */
public record Traffic(int destinations, double exponent, int bodyBytes, List<ClassShare> classes,
               List<TenantShare> tenants, int maxConnections) {
    /**
     * @param lifeMillis sent as X-Timeout-Ms
     * @param keyed whether each message has an idempotency key of its own
     */
    public record ClassShare(String name, double share, long lifeMillis, boolean keyed) { }

    public record TenantShare(String name, double share) { }

    /** Share of all messages that go to a destination, 0 to 1. */
    public double share(int destination) {
        return new ZipfSampler(destinations, exponent).share(destination);
    }
}
