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
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The limits on the size of a response: an endpoint may send one that never ends. */
class ResponseDecoderTest {
    /** Size of the pieces in which a long body is sent. */
    private static final int PIECE_BYTES = 1_024;

    /** The statuses that the decoder has reported, including those of interim responses. */
    private final List<Integer> statuses = new ArrayList<>();
    /** Reports of bytes that belong to no response. */
    private final AtomicInteger surplusReports = new AtomicInteger();
    private final ResponseDecoder decoder = new ResponseDecoder(statuses::add, surplusReports::incrementAndGet);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    @BeforeEach
    void sendRequest() {
        decoder.expectResponse();
    }

    @AfterEach
    void releaseChannel() {
        channel.finishAndReleaseAll();
    }

    /** Passes bytes to the decoder as if the endpoint had sent them. */
    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /**
     * Takes what the decoder has passed on and returns the number of body bytes in it. Sets {@code ended[0]}
     * if the end of the response was passed on too.
     */
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

    /** An endless response must not use up the relay's CPU time: the connection is closed at the limit. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 1000000000", "Transfer-Encoding: chunked", "Connection: close"})
    void bodyOverTheLimitClosesTheConnection(String framing) {
        receive("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
        boolean chunked = framing.contains("chunked");
        String piece = "x".repeat(PIECE_BYTES);
        for (int sent = 0; sent < ResponseDecoder.MAX_BODY_BYTES; sent += PIECE_BYTES) {
            assertTrue(channel.isOpen(), "closed after " + sent + " bytes");
            receive(chunked ? Integer.toHexString(PIECE_BYTES) + "\r\n" + piece + "\r\n" : piece);
        }
        assertTrue(channel.isOpen());
        receive(chunked ? "1\r\nx\r\n" : "x");
        assertFalse(channel.isOpen());
        boolean[] ended = {false};
        assertEquals(ResponseDecoder.MAX_BODY_BYTES, drainBodyBytes(ended));
        assertFalse(ended[0], "a truncated body must not be passed on as complete");
    }

    @Test
    void bodyOfMaximumLengthIsRead() {
        receive("HTTP/1.1 200 OK\r\nContent-Length: " + ResponseDecoder.MAX_BODY_BYTES + "\r\n\r\n"
            + "x".repeat(ResponseDecoder.MAX_BODY_BYTES));
        boolean[] ended = {false};
        assertEquals(ResponseDecoder.MAX_BODY_BYTES, drainBodyBytes(ended));
        assertTrue(ended[0] && channel.isOpen());
    }

    /** Interim responses have no body, so the limit on bodies does not stop them. */
    @Test
    void endlessInterimResponsesCloseTheConnection() {
        String interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(40);
        for (int sent = 0; sent <= ResponseDecoder.MAX_RESPONSE_BYTES; sent += interim.length()) {
            assertTrue(channel.isOpen(), "closed after " + sent + " bytes");
            receive(interim);
        }
        assertFalse(channel.isOpen());
        int statusCount = statuses.size();
        channel.pipeline().fireChannelRead(Unpooled.copiedBuffer(interim, StandardCharsets.ISO_8859_1));
        assertEquals(statusCount, statuses.size(), "bytes that arrive after the close are discarded");
    }

    /** The decoder of a reused connection counts each response from zero. */
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

    @Test
    void bytesThatBelongToNoResponseAreReportedAndDiscarded() {
        receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        drainBodyBytes(new boolean[1]);
        decoder.completeResponse();
        assertEquals(0, surplusReports.get());
        receive("HTTP/1.1 503 x\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n");
        assertEquals(1, surplusReports.get());
        assertEquals(List.of(200), statuses);
        assertNull(channel.readInbound());
    }
}
