package wrenkeel.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection so that the peer can still read what has been written on it. Closing a
 * socket with unread input would reset the connection, and the peer could lose the response. So the output is
 * shut down first; further input is discarded until the peer closes its side or the linger time is up. Must
 * precede the decoders in the pipeline.
 */
final class LingeringClose extends ChannelDuplexHandler {
    /** Input that is read and discarded at most; anything beyond stays unread. */
    private static final long MAX_DISCARDED_BYTES = 256 * 1024;

    private final ConnectionLimiter connections;
    private final long lingerMillis;
    /** Something has been written on the connection. */
    private boolean written;
    private boolean lingering;
    private long discardedBytes;
    private Future<?> timer;

    LingeringClose(ConnectionLimiter connections, long lingerMillis) {
        this.connections = connections;
        this.lingerMillis = lingerMillis;
    }

    /** Closes a connection at once, even if its peer has not read everything. */
    static void closeNow(Channel channel) {
        ChannelHandlerContext context = channel.pipeline().context(LingeringClose.class);
        if (context == null) {
            channel.close();
        } else {
            // Closing from this handler's context bypasses its own close method.
            context.close();
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        written = true;
        context.write(message, promise);
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (written && !lingering && context.channel() instanceof DuplexChannel channel
                && channel.isActive()) {
            linger(context, channel);
        }
        if (lingering) {
            context.channel().closeFuture().addListener(closed -> promise.trySuccess());
        } else {
            context.close(promise);
        }
    }

    private void linger(ChannelHandlerContext context, DuplexChannel channel) {
        lingering = true;
        connections.startedLingering(channel);
        timer = context.executor().schedule(() -> context.close(), lingerMillis, TimeUnit.MILLISECONDS);
        channel.shutdownOutput();
        // Reading may be paused; the peer's close is only detected by reading.
        channel.config().setAutoRead(true);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!lingering) {
            context.fireChannelRead(message);
            return;
        }
        if (message instanceof ByteBuf bytes) {
            discardedBytes += bytes.readableBytes();
        }
        ReferenceCountUtil.release(message);
        if (discardedBytes >= MAX_DISCARDED_BYTES) {
            context.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (timer != null) {
            timer.cancel(false);
        }
        context.fireChannelInactive();
    }
}
