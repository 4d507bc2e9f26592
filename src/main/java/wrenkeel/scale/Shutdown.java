package wrenkeel.scale;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;

/** Shuts down event loops without Netty's default quiet period. */
public final class Shutdown {
    private static final long TIMEOUT_MS = 2_000;

    private Shutdown() { }

    /** Closes the channels of the event loops and waits for their termination, for 2 s at most. */
    public static void now(EventLoopGroup eventLoops) {
        begin(eventLoops);
        eventLoops.terminationFuture().awaitUninterruptibly(TIMEOUT_MS);
    }

    /** Like {@link #now}, but does not wait. */
    public static void begin(EventLoopGroup eventLoops) {
        eventLoops.shutdownGracefully(0, TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
