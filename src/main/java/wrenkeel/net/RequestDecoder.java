package wrenkeel.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/** Decodes requests, and tracks whether the bytes read so far end within a request or between two. */
final class RequestDecoder extends HttpRequestDecoder {
    /** Most header fields of a request: a field takes far more memory than its few bytes. */
    static final int MAX_HEADER_FIELDS = 100;

    private boolean withinRequest;
    private int headerFields;

    /** True if part of a request has been read, but not the whole. */
    boolean isWithinRequest() {
        return withinRequest;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded)
        throws Exception {
        super.decode(context, bytes, decoded);
        int last = decoded.size() - 1;
        boolean ended = last >= 0 && decoded.get(last) instanceof LastHttpContent;
        withinRequest = !ended || bytes.isReadable();
        if (last >= 0 && !ended && decoded.get(last) instanceof HttpContent part) {
            decoded.set(last, copyOf(context, part));
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
