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

/**
 * Pairs the responses on one connection with its requests, which the {@link RequestDecoder} decodes one at a
 * time: the next one follows when the response to the previous one has been handed to the socket. After a
 * response that closes the connection nothing is passed on, and no second response to the same request is
 * written.
 */
final class RequestSequencer extends ChannelDuplexHandler {
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

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof LastHttpContent) {
            responseOutstanding = true;
        }
        context.fireChannelRead(message);
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
                stopPassingOn(context);
                context.write(message, promise);
            } else {
                context.write(message, promise.unvoid())
                    .addListener(sent -> responseSent(context, sent.isSuccess()));
            }
        }
    }

    private void responseSent(ChannelHandlerContext context, boolean successful) {
        ChannelHandlerContext decoder = context.pipeline().context(RequestDecoder.class);
        if (successful && !closing && decoder != null) {
            ((RequestDecoder) decoder.handler()).responseSent(decoder);
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
        stopPassingOn(context);
        context.close(promise);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        connectionFailed |= cause instanceof IOException;
        context.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stopPassingOn(context);
        context.fireChannelInactive();
    }

    private void stopPassingOn(ChannelHandlerContext context) {
        closing = true;
        RequestDecoder decoder = context.pipeline().get(RequestDecoder.class);
        if (decoder != null) {
            decoder.stop();
        }
    }
}
