package wrenkeel.net;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Passes on the requests of one connection one at a time, so that responses are written in the order of their
 * requests. Further requests are held back, and reading pauses, until the response to the previous one is
 * written. After a response that closes the connection nothing is passed on, and no second response to the
 * same request is written.
 */
final class RequestSequencer extends ChannelDuplexHandler {
    /** Requests, or parts of them, that are held back. */
    private final Deque<Object> heldBack = new ArrayDeque<>();
    /** A whole request was passed on and its response is not written yet. */
    private boolean responseOutstanding;
    /** Nothing more is passed on. */
    private boolean closing;
    /** An I/O error has occurred on the connection. */
    private boolean connectionFailed;
    private final Runnable whenClosedUnanswered;

    /**
     * {@code whenClosedUnanswered}: run when this side closes the connection while a whole request on it is
     * unanswered.
     */
    RequestSequencer(Runnable whenClosedUnanswered) {
        this.whenClosedUnanswered = whenClosedUnanswered;
    }

    /** True if further requests of this connection, or parts of one, have been read and are held back. */
    boolean holdsRequests() {
        return !heldBack.isEmpty();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (responseOutstanding || holdsRequests()) {
            heldBack.add(message);
            context.channel().config().setAutoRead(false);
        } else {
            passOn(context, message);
        }
    }

    private void passOn(ChannelHandlerContext context, Object message) {
        if (message instanceof LastHttpContent) {
            responseOutstanding = true;
        }
        context.fireChannelRead(message);
    }

    private void passOnHeld(ChannelHandlerContext context) {
        if (!holdsRequests() || responseOutstanding) {
            return;
        }
        while (holdsRequests() && !responseOutstanding) {
            passOn(context, heldBack.poll());
        }
        context.fireChannelReadComplete();
        if (!holdsRequests() && !closing) {
            context.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (!(message instanceof HttpResponse response) || isInterim(response)) {
            context.write(message, promise);
        } else if (closing && !responseOutstanding) {
            ReferenceCountUtil.release(message);
            promise.tryFailure(new ClosedChannelException());
        } else {
            // After a response before the end of its request, the start of the next request is unknown.
            boolean early = !responseOutstanding;
            responseOutstanding = false;
            if (early || !HttpUtil.isKeepAlive(response)) {
                stopPassingOn();
            } else if (holdsRequests()) {
                // Deferred: the relay may write further responses in the same turn.
                context.executor().execute(() -> passOnHeld(context));
            }
            context.write(message, promise);
        }
    }

    private static boolean isInterim(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (responseOutstanding && !connectionFailed && context.channel().isActive()) {
            whenClosedUnanswered.run();
        }
        stopPassingOn();
        context.close(promise);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        connectionFailed |= cause instanceof IOException;
        context.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stopPassingOn();
        context.fireChannelInactive();
    }

    private void stopPassingOn() {
        closing = true;
        while (holdsRequests()) {
            ReferenceCountUtil.release(heldBack.poll());
        }
    }
}
