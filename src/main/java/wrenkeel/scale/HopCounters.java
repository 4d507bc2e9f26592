package wrenkeel.scale;

import io.netty.channel.ChannelHandler;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the traffic on one hop between the source of the host list and the relays, at the serving side.
 * Bytes include HTTP headers, but not the overhead of TCP and IP. Thread-safe.
 */
final class HopCounters {
    private final LongAdder calls = new LongAdder();
    private final LongAdder wholeLists = new LongAdder();
    private final LongAdder connections = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();

    /**
     * Traffic since the start, or between two moments.
     *
     * @param wholeLists answers that held the whole list instead of changes
     * @param bytesIn bytes of requests
     * @param bytesOut bytes of answers
     */
    record Counts(long calls, long wholeLists, long connections, long bytesIn, long bytesOut) {
        Counts minus(Counts before) {
            return new Counts(calls - before.calls, wholeLists - before.wholeLists,
                connections - before.connections, bytesIn - before.bytesIn, bytesOut - before.bytesOut);
        }

        long totalBytes() {
            return bytesIn + bytesOut;
        }
    }

    Counts snapshot() {
        return new Counts(calls.sum(), wholeLists.sum(), connections.sum(), bytesIn.sum(), bytesOut.sum());
    }

    void countConnection() {
        connections.increment();
    }

    void countCall() {
        calls.increment();
    }

    void countWholeList() {
        wholeLists.increment();
    }

    /** Returns a new handler that counts bytes; it must be the first of a connection's pipeline. */
    ChannelHandler byteCounter() {
        return new ByteCounter(bytesIn, bytesOut);
    }
}
