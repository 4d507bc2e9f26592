package wrenkeel.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Decodes requests, and knows whether the bytes so far end between two of them or within one. */
final class RequestDecoder extends HttpRequestDecoder {
    private boolean withinRequest;

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
