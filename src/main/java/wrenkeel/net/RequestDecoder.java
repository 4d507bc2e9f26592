package wrenkeel.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Decodes requests, and tracks whether the bytes read so far end within a request or between two. */
final class RequestDecoder extends HttpRequestDecoder {
    private boolean withinRequest;

    /** True if part of a request has been read, but not the whole. */
    boolean isWithinRequest() {
        return withinRequest;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded)
        throws Exception {
        super.decode(context, bytes, decoded);
        boolean ended = !decoded.isEmpty() && decoded.get(decoded.size() - 1) instanceof LastHttpContent;
        withinRequest = !ended || bytes.isReadable();
    }
}
