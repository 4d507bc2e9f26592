package wrenkeel.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Goes on accepting soon after a failed accept (no descriptor, no buffer for a moment). Netty's own acceptor
 * stops for a second after any failure, in which whoever has connected waits unseen. Belongs to the pipeline
 * of one listening channel.
 */
final class AcceptRetry extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(AcceptRetry.class);
    /** Gap before the next try: long enough not to spin while descriptors are short. */
    static final long RETRY_GAP_MS = 10;

    private final LongConsumer whenResumed;
    private final ThrottledLog failures = new ThrottledLog(LOG);
    private boolean failing;
    private long failingSince;

    /**
     * {@code whenResumed}: told at the first connection after failures how long, in nanoseconds, it may have
     * waited for them.
     */
    AcceptRetry(LongConsumer whenResumed) {
        this.whenResumed = whenResumed;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failures.warn(context.executor(), "a connection could not be accepted, tried again in "
            + RETRY_GAP_MS + " ms: " + cause);
        if (!failing) {
            failing = true;
            failingSince = System.nanoTime();
        }
        context.channel().config().setAutoRead(false);
        context.executor().schedule(() -> resume(context), RETRY_GAP_MS, TimeUnit.MILLISECONDS);
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
            whenResumed.accept(System.nanoTime() - failingSince);
        }
        context.fireChannelRead(connection);
    }
}
