package wrenkeel.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Retries soon after a failed accept, such as for a momentary lack of file descriptors or buffers. Netty's
 * own acceptor pauses for a second after any failure, and clients that have connected wait that long. Belongs
 * to the pipeline of one listening channel.
 */
final class AcceptRetry extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(AcceptRetry.class);
    /** Delay before the next try: long enough not to spin while descriptors are short. */
    static final long RETRY_DELAY_MS = 10;

    private final LongConsumer whenResumed;
    private final ThrottledLog failures = new ThrottledLog(LOG);
    /** Accepting has failed, and no connection was accepted since. */
    private boolean failing;
    /** Time of the first of these failures, by {@link System#nanoTime}. */
    private long failingSinceNanos;

    /**
     * {@code whenResumed} receives, at the first connection after failures, how long that connection may have
     * waited because of them, in nanoseconds.
     */
    AcceptRetry(LongConsumer whenResumed) {
        this.whenResumed = whenResumed;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failures.warn(context.executor(), "connection not accepted, retrying in "
            + RETRY_DELAY_MS + " ms: " + cause);
        if (!failing) {
            failing = true;
            failingSinceNanos = System.nanoTime();
        }
        context.channel().config().setAutoRead(false);
        context.executor().schedule(() -> resume(context), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private static void resume(ChannelHandlerContext context) {
        if (context.channel().isRegistered()) {
            context.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object connection) {
        if (failing) {
            failing = false;
            whenResumed.accept(System.nanoTime() - failingSinceNanos);
        }
        context.fireChannelRead(connection);
    }
}
