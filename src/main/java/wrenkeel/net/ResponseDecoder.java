package wrenkeel.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.regex.Pattern;

/**
 * A strict decoder for the HTTP/1 responses of endpoints. A response in a form that the protocol doesn't
 * allow makes the attempt fail, and its messages must not count as delivered. The decoder reports the status
 * as soon as the status line has been read, and discards bytes that belong to no response. It closes the
 * connection when a response exceeds the size limits, and discards everything after that.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** Limit for the length of a response's body. */
    static final int MAX_BODY_BYTES = 64 * 1024;
    /**
     * Limit for the length of a whole response: its head, its body with the framing of chunks, and the
     * interim responses before it. The longest body in chunks of two bytes stays below this limit.
     */
    static final int MAX_RESPONSE_BYTES = 4 * MAX_BODY_BYTES;

    private static final Pattern HTTP_1_VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9][0-9]");

    private final IntConsumer onStatusLine;
    private final Runnable onSurplus;
    /** A call has been sent, and its response is not complete. */
    private boolean responseExpected;
    /** Bytes received since the request. */
    private int responseBytes;
    /** Bytes of the current body. */
    private int bodyBytes;
    /** A limit has been exceeded, and the connection has been closed for that. */
    private boolean exceeded;

    /**
     * {@code onStatusLine} receives the status of each status line, including those of interim responses.
     * {@code onSurplus} is called for bytes that arrive while no response is expected; they are discarded.
     */
    ResponseDecoder(IntConsumer onStatusLine, Runnable onSurplus) {
        this.onStatusLine = onStatusLine;
        this.onSurplus = onSurplus;
    }

    /** Called when a request is sent: what is received from now on belongs to its response. */
    void expectResponse() {
        responseBytes = 0;
        responseExpected = true;
    }

    /** Called at the end of a response: what follows it, and what is received from now on, is surplus. */
    void completeResponse() {
        responseExpected = false;
        if (actualReadableBytes() > 0) {
            onSurplus.run();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        if (!responseExpected) {
            ReferenceCountUtil.release(bytes);
            onSurplus.run();
            return;
        }
        responseBytes += ((ByteBuf) bytes).readableBytes();
        if (responseBytes > MAX_RESPONSE_BYTES) {
            closeAsExceeded(context);
        }
        if (exceeded) {
            ReferenceCountUtil.release(bytes);
        } else {
            super.channelRead(context, bytes);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> parts) throws Exception {
        if (exceeded || !responseExpected) {
            bytes.skipBytes(bytes.readableBytes());
            return;
        }
        super.decode(context, bytes, parts);
        int last = parts.size() - 1;
        if (last >= 0 && parts.get(last) instanceof HttpContent content) {
            bodyBytes += content.content().readableBytes();
            if (bodyBytes > MAX_BODY_BYTES) {
                ReferenceCountUtil.release(parts.remove(last));
                closeAsExceeded(context);
            }
        }
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf bytes, List<Object> parts)
        throws Exception {
        if (!exceeded) {
            super.decodeLast(context, bytes, parts);
        }
    }

    @Override
    protected HttpMessage createMessage(String[] firstLine) {
        requireStatusLine(firstLine);
        HttpMessage head = super.createMessage(firstLine);
        bodyBytes = 0;
        onStatusLine.accept(((HttpResponse) head).status().code());
        return head;
    }

    /**
     * Checks the version and the status. The superclass accepts other protocol names, and any spelling of the
     * status, such as +200 or 0200.
     */
    private static void requireStatusLine(String[] firstLine) {
        if (!HTTP_1_VERSION.matcher(firstLine[0]).matches() || !STATUS_CODE.matcher(firstLine[1]).matches()) {
            throw new IllegalArgumentException("not a status line of HTTP/1");
        }
    }

    /**
     * Rejects a header line without a colon, which the superclass accepts as a header without a value if the
     * line contains a space. The protocol requires that such a response counts as unreadable.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int next = start + length;
        while (next < line.length && (line[next] == ' ' || line[next] == '\t')) {
            next++;
        }
        if (next >= line.length || line[next] != ':') {
            throw new IllegalArgumentException("header line without a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    private void closeAsExceeded(ChannelHandlerContext context) {
        exceeded = true;
        context.close();
    }
}
