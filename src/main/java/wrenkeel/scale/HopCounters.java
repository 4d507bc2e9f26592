package wrenkeel.scale;

import io.netty.channel.ChannelHandler;
import java.util.concurrent.atomic.LongAdder;

/**
 * What has gone over one hop of the list's way, counted at its serving side: HTTP with its heads, without
 * what TCP and IP add. Any thread may count and read.
 */
final class HopCounters {
    private final LongAdder calls = new LongAdder();
    private final LongAdder wholeLists = new LongAdder();
    private final LongAdder connections = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();

    /** Counts so far, or between two moments; {@code bytesIn} are requests, {@code bytesOut} answers. */
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

    /** Stands first in a connection's pipeline. */
    ChannelHandler byteCounter() {
        return new ByteCounter(bytesIn, bytesOut);
    }
}
