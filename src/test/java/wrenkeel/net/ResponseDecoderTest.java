package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How much of an answer is read: endpoints may send one that never ends. */
class ResponseDecoderTest {
    private static final int PIECE_BYTES = 1_024;

    private final List<Integer> statuses = new ArrayList<>();
    private final ResponseDecoder decoder = new ResponseDecoder(statuses::add);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    @AfterEach
    void releaseChannel() {
        channel.finishAndReleaseAll();
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Bytes of body that the connection's handler has got; true as its last part ends it. */
    private int drainBodyBytes(boolean[] ended) {
        int bytes = 0;
        for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
            if (part instanceof HttpContent content) {
                bytes += content.content().readableBytes();
            }
            ended[0] |= part instanceof LastHttpContent;
            ReferenceCountUtil.release(part);
        }
        return bytes;
    }

    /** Guards the processor: the relay's share of a core must not go into an answer without end. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 1000000000", "Transfer-Encoding: chunked", "Connection: close"})
    void bodyOverTheLimitClosesTheConnection(String framing) {
        receive("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
        boolean chunked = framing.contains("chunked");
        String piece = "x".repeat(PIECE_BYTES);
        for (int sent = 0; sent < ResponseDecoder.MAX_BODY_BYTES; sent += PIECE_BYTES) {
            assertTrue(channel.isOpen(), "closed after " + sent);
            receive(chunked ? Integer.toHexString(PIECE_BYTES) + "\r\n" + piece + "\r\n" : piece);
        }
        assertTrue(channel.isOpen());
        receive(chunked ? "1\r\nx\r\n" : "x");
        assertFalse(channel.isOpen());
        boolean[] ended = {false};
        assertEquals(ResponseDecoder.MAX_BODY_BYTES, drainBodyBytes(ended));
        assertFalse(ended[0], "what was cut off must not pass for whole");
    }

    @Test
    void bodyOfMaximumLengthIsRead() {
        receive("HTTP/1.1 200 OK\r\nContent-Length: " + ResponseDecoder.MAX_BODY_BYTES + "\r\n\r\n"
            + "x".repeat(ResponseDecoder.MAX_BODY_BYTES));
        boolean[] ended = {false};
        assertEquals(ResponseDecoder.MAX_BODY_BYTES, drainBodyBytes(ended));
        assertTrue(ended[0] && channel.isOpen());
    }

    /** Interim answers have no body that could be counted. */
    @Test
    void endlessInterimResponsesCloseTheConnection() {
        String interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(40);
        for (int sent = 0; sent <= ResponseDecoder.MAX_RESPONSE_BYTES; sent += interim.length()) {
            assertTrue(channel.isOpen(), "closed after " + sent);
            receive(interim);
        }
        assertFalse(channel.isOpen());
        int statusCount = statuses.size();
        channel.pipeline().fireChannelRead(Unpooled.copiedBuffer(interim, StandardCharsets.ISO_8859_1));
        assertEquals(statusCount, statuses.size(), "nothing is read after that");
    }

    /** A connection that is used again starts anew. */
    @Test
    void limitsApplyToEachResponseSeparately() {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + ResponseDecoder.MAX_BODY_BYTES + "\r\n\r\n"
            + "x".repeat(ResponseDecoder.MAX_BODY_BYTES);
        for (int i = 0; i < 10; i++) {
            decoder.expectResponse();
            receive(response);
        }
        assertTrue(channel.isOpen());
        assertEquals(10, statuses.size());
    }
}
