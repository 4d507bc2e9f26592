package wrenkeel.net;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a client's connection that has brought no whole request for a while, from connecting or from the
 * last answer. Bytes alone do not put it off: a peer that trickles holds a descriptor as a silent one does.
 */
final class RequestDeadline extends ChannelDuplexHandler {
    private final long millis;
    private Future<?> timer;

    RequestDeadline(long millis) {
        this.millis = millis;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        start(context);
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof FullHttpRequest) {
            stop();
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof LastHttpContent) {
            start(context);
        }
        context.write(message, promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stop();
        context.fireChannelInactive();
    }

    private void start(ChannelHandlerContext context) {
        stop();
        timer = context.executor().schedule(() -> context.close(), millis, TimeUnit.MILLISECONDS);
    }

    private void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
