package wrenkeel.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decodes the requests of one connection one at a time: what follows a request stays undecoded, and reading
 * pauses, until {@link #responseSent}. A decoded request takes many times the memory of its bytes, so a
 * client that sends requests without reading responses must not have them decoded. A request in very many
 * parts is decoded over several iterations of the event loop, so that other connections and timers come in
 * between. Tracks whether the bytes read so far end within a request or between two.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Most header fields of a request: a field takes far more memory than its few bytes. */
    static final int MAX_HEADER_FIELDS = 100;
    /** Parts of requests that are decoded in one iteration of the event loop, such as chunks of a body. */
    static final int MAX_PARTS_PER_ITERATION = 16;

    /** User event: the first byte of a request has been read. */
    enum RequestStarted {
        INSTANCE
    }

    private boolean withinRequest;
    /** A whole request was decoded, and its response is not sent yet. */
    private boolean awaitingResponse;
    /** Decoding continues in a later iteration of the event loop. */
    private boolean decodingPaused;
    private int partsInIteration;
    /** All further input is discarded. */
    private boolean stopped;
    private int headerFields;

    /** True if part of a request has been read, but not the whole. */
    boolean isWithinRequest() {
        return withinRequest;
    }

    /** True while more has been read than is decoded, because of the other connections. */
    boolean isDecodingPaused() {
        return decodingPaused;
    }

    /**
     * The response to the latest request has been handed to the socket. If more input was read meanwhile, it
     * is decoded in a later iteration of the event loop, so that timers and other connections come in
     * between.
     *
     * @param context this handler's context
     */
    void responseSent(ChannelHandlerContext context) {
        if (actualReadableBytes() == 0) {
            awaitingResponse = false;
            context.channel().config().setAutoRead(true);
        } else {
            context.executor().schedule(() -> decodeHeld(context), 0, TimeUnit.NANOSECONDS);
        }
    }

    /** Discards all further input, and what is held: the connection is about to be closed. */
    void stop() {
        stopped = true;
    }

    private void decodeHeld(ChannelHandlerContext context) {
        if (context.isRemoved() || stopped) {
            return;
        }
        awaitingResponse = false;
        decodingPaused = false;
        partsInIteration = 0;
        try {
            channelRead(context, Unpooled.EMPTY_BUFFER);
            channelReadComplete(context);
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
        if (!awaitingResponse && !decodingPaused && !stopped) {
            context.channel().config().setAutoRead(true);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded)
        throws Exception {
        if (stopped) {
            bytes.skipBytes(bytes.readableBytes());
            return;
        }
        if (awaitingResponse) {
            withinRequest = bytes.isReadable();
            context.channel().config().setAutoRead(false);
            return;
        }
        if (decodingPaused || partsInIteration >= MAX_PARTS_PER_ITERATION) {
            pauseDecoding(context);
            return;
        }
        partsInIteration++;
        if (!withinRequest) {
            withinRequest = true;
            context.fireUserEventTriggered(RequestStarted.INSTANCE);
        }
        super.decode(context, bytes, decoded);
        int last = decoded.size() - 1;
        awaitingResponse = last >= 0 && decoded.get(last) instanceof LastHttpContent;
        withinRequest = !awaitingResponse || bytes.isReadable();
        if (last >= 0 && !awaitingResponse && decoded.get(last) instanceof HttpContent part) {
            decoded.set(last, copyOf(context, part));
        }
    }

    /** Pauses decoding and reading until a later iteration of the event loop. */
    private void pauseDecoding(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(false);
        if (!decodingPaused) {
            decodingPaused = true;
            context.executor().schedule(() -> decodeHeld(context), 0, TimeUnit.NANOSECONDS);
        }
    }

    /** Copies a part of a body, which would otherwise keep all that was read along with it. */
    private static HttpContent copyOf(ChannelHandlerContext context, HttpContent part) {
        ByteBuf content = part.content();
        ByteBuf copy = context.alloc().heapBuffer(content.readableBytes());
        copy.writeBytes(content);
        HttpContent copied = part.replace(copy);
        part.release();
        return copied;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        if (!decodingPaused) {
            partsInIteration = 0;
        }
        if (awaitingResponse || decodingPaused) {
            // The superclass would continue reading, as it has passed nothing on.
            discardSomeReadBytes();
            context.fireChannelReadComplete();
        } else {
            super.channelReadComplete(context);
        }
    }

    @Override
    protected HttpMessage createMessage(String[] firstLine) throws Exception {
        headerFields = 0;
        return super.createMessage(firstLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        headerFields++;
        if (headerFields > MAX_HEADER_FIELDS) {
            throw new IllegalArgumentException("more than " + MAX_HEADER_FIELDS + " header fields");
        }
        return super.splitHeaderName(line, start, length);
    }
}
