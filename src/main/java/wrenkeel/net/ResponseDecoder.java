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
 * Decodes an endpoint's answers, strictly: one that the protocol's form does not allow is a failed attempt,
 * and its messages may not be taken for delivered. Tells the status of an answer once its first line has
 * been read, and whether more has come than belongs to it. Closes the connection when one answer exceeds its
 * bounds; nothing is read after that.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** Bytes that an answer's body may hold. */
    static final int MAX_BODY_BYTES = 64 * 1024;
    /**
     * Bytes of one answer in all: its head, its body with the framing of chunks, and the interim answers
     * before it. A body of the greatest length in chunks of two bytes stays below.
     */
    static final int MAX_RESPONSE_BYTES = 4 * MAX_BODY_BYTES;

    private static final Pattern HTTP_1_VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9][0-9]");

    private final IntConsumer onStatusLine;
    private int responseBytes;
    private int bodyBytes;
    private boolean exceeded;

    /** {@code onStatusLine}: takes the status of each first line, interim answers included. */
    ResponseDecoder(IntConsumer onStatusLine) {
        this.onStatusLine = onStatusLine;
    }

    /** A request goes out: what is read from now on belongs to its answer. */
    void expectResponse() {
        responseBytes = 0;
    }

    /** Bytes past the end of the latest answer would be taken for the beginning of the next. */
    boolean hasSurplusBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
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
        if (exceeded) {
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

    /** The superclass takes other protocols' names and any spelling of the number, such as +200 or 0200. */
    private static void requireStatusLine(String[] firstLine) {
        if (!HTTP_1_VERSION.matcher(firstLine[0]).matches() || !STATUS_CODE.matcher(firstLine[1]).matches()) {
            throw new IllegalArgumentException("no status line of HTTP/1");
        }
    }

    /**
     * Refuses a header line without a colon, which the decoder's superclass takes for a header with no value
     * if a space stands in it. The answer then counts as unreadable, as the protocol has it.
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
