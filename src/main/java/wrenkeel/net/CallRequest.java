package wrenkeel.net;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Encodes the HTTP request of a call to an endpoint. A single message is sent with its body unchanged,
 * several messages as a JSON array.
 */
final class CallRequest {
    private static final String SINGLE_PATH = "/v1/messages";
    private static final String BATCH_PATH = "/v1/messages:batch";

    private CallRequest() { }

    /**
     * Encodes a request. {@code timeoutMillis} tells the endpoint how long the relay will wait for the
     * response.
     */
    static FullHttpRequest encode(InetSocketAddress address, List<Message> messages, long timeoutMillis) {
        return messages.size() == 1 ? single(address, messages.get(0), timeoutMillis)
            : batch(address, messages, timeoutMillis);
    }

    private static FullHttpRequest single(InetSocketAddress address, Message message, long timeoutMillis) {
        FullHttpRequest request = post(address, SINGLE_PATH, message.body(), timeoutMillis);
        request.headers().set("X-Request-ID", message.id());
        if (message.idempotencyKey() != null) {
            request.headers().set("Idempotency-Key", message.idempotencyKey());
        }
        return request;
    }

    private static FullHttpRequest batch(InetSocketAddress address, List<Message> messages,
                                         long timeoutMillis) {
        FullHttpRequest request = post(address, BATCH_PATH, CallBatch.encode(messages), timeoutMillis);
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        return request;
    }

    private static FullHttpRequest post(InetSocketAddress address, String path, byte[] body,
                                        long timeoutMillis) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path,
            Unpooled.wrappedBuffer(body));
        request.headers()
            .set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort())
            .set("X-Timeout-Ms", timeoutMillis)
            .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return request;
    }
}
