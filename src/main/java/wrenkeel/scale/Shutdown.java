package wrenkeel.scale;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;

/** Ends event loops without the quiet time that Netty keeps by default. */
public final class Shutdown {
    private static final long TIMEOUT_MS = 2_000;

    private Shutdown() { }

    /** Closes what the loops hold and waits for their ends, for 2 s at most. */
    public static void now(EventLoopGroup eventLoops) {
        begin(eventLoops);
        eventLoops.terminationFuture().awaitUninterruptibly(TIMEOUT_MS);
    }

    /** The same without waiting. */
    public static void begin(EventLoopGroup eventLoops) {
        eventLoops.shutdownGracefully(0, TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
