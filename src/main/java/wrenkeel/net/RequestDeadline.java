package wrenkeel.net;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection that has sent no whole request within a timeout, counted from connecting or from the
 * last response, and notifies the {@link ConnectionLimiter} of connections and requests. Single bytes do not
 * extend the timeout: a peer that trickles bytes occupies a file descriptor just as a silent one does.
 */
final class RequestDeadline extends ChannelDuplexHandler {
    private final ConnectionLimiter connections;
    private final long timeoutMillis;
    private Future<?> timer;

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
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof LastHttpContent) {
            startTimer(context);
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
        connections.awaitingRequest(context.channel());
        RequestDecoder decoder = context.pipeline().get(RequestDecoder.class);
        if (decoder != null && decoder.isWithinRequest()) {
            // Part of the next request has arrived together with the previous one.
            connections.bytesReceived(context.channel());
        }
        if (context.channel().isActive()) {
            timer = context.executor().schedule(() -> expire(context), timeoutMillis, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Closes the connection if no whole request has arrived. Reads the socket first, since the request may
     * have arrived while the thread was busy.
     */
    void expire(ChannelHandlerContext context) {
        Future<?> expired = timer;
        SocketReader.readNow(context.channel());
        if (timer == expired) {
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
