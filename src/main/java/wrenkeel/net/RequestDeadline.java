package wrenkeel.net;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection that has sent no whole request within a timeout, and notifies the
 * {@link ConnectionLimiter} of connections and requests. The timeout counts from connecting or from the last
 * response; after a response, it counts anew from the first byte of the next request. Further bytes do not
 * extend it: a peer that trickles bytes occupies a file descriptor just as a silent one does.
 */
final class RequestDeadline extends ChannelDuplexHandler {
    /** Asks the next handler to refuse a request that may be whole but was not decoded in time. */
    enum DecodingOverdue {
        INSTANCE
    }

    private final ConnectionLimiter connections;
    private final long timeoutMillis;
    private Future<?> timer;
    /** A response has been written and no byte of the next request has been read since. */
    private boolean resting;

    RequestDeadline(ConnectionLimiter connections, long timeoutMillis) {
        this.connections = connections;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connections.connected(context.channel());
        startTimer(context);
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof FullHttpRequest) {
            stopTimer();
            connections.requestReceived(context.channel());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == RequestDecoder.RequestStarted.INSTANCE && resting) {
            startTimer(context);
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof LastHttpContent) {
            startTimer(context);
            resting = !isWithinRequest(context);
        }
        context.write(message, promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stopTimer();
        connections.disconnected(context.channel());
        context.fireChannelInactive();
    }

    private void startTimer(ChannelHandlerContext context) {
        stopTimer();
        resting = false;
        connections.awaitingRequest(context.channel());
        if (isWithinRequest(context)) {
            connections.bytesReceived(context.channel());
        }
        if (context.channel().isActive()) {
            timer = context.executor().schedule(() -> expire(context), timeoutMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** True if part of the next request has been read, perhaps together with the previous one. */
    private static boolean isWithinRequest(ChannelHandlerContext context) {
        RequestDecoder decoder = context.pipeline().get(RequestDecoder.class);
        return decoder != null && decoder.isWithinRequest();
    }

    /**
     * Closes the connection if no whole request has arrived. Reads the socket first, since the request may
     * have arrived while the thread was busy. A request that is not decoded yet is refused instead: all of it
     * may have arrived, and its client must get an answer.
     */
    void expire(ChannelHandlerContext context) {
        Future<?> expired = timer;
        SocketReader.readNow(context.channel());
        if (timer != expired) {
            return;
        }
        RequestDecoder decoder = context.pipeline().get(RequestDecoder.class);
        if (decoder != null && decoder.isDecodingPaused()) {
            context.fireUserEventTriggered(DecodingOverdue.INSTANCE);
        } else {
            context.close();
        }
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
