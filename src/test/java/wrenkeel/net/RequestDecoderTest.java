package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** How much of a request is decoded at once. */
class RequestDecoderTest {
    private static final int CHUNKS = 5_000;

    private final EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder());
    private int bodyBytes;
    private boolean ended;

    @AfterEach
    void releaseChannel() {
        channel.finishAndReleaseAll();
    }

    /** Passes bytes to the decoder as one read of the socket; runs no tasks. */
    private void read(String text) {
        channel.pipeline().fireChannelRead(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        channel.pipeline().fireChannelReadComplete();
    }

    /** Takes what the decoder has passed on; returns the number of parts. */
    private int takeParts() {
        int parts = 0;
        for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
            parts++;
            if (part instanceof HttpContent content) {
                bodyBytes += content.content().readableBytes();
            }
            ended |= part instanceof LastHttpContent;
            ReferenceCountUtil.release(part);
        }
        return parts;
    }

    /**
     * Guards the other clients: a request in very many small chunks must not occupy the event loop until all
     * of it is decoded.
     */
    @Test
    void aBodyInManyChunksIsDecodedOverSeveralIterations() {
        channel.freezeTime();
        read("POST /bill HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(CHUNKS)
            + "0\r\n\r\n");
        assertTrue(takeParts() <= RequestDecoder.MAX_PARTS_PER_ITERATION);
        assertFalse(channel.config().isAutoRead(), "nothing more is read while something is held");
        read("GET /healthz HTTP/1.1\r\n\r\n");
        assertEquals(0, takeParts(), "what is read meanwhile waits as well");
        channel.runScheduledPendingTasks();
        takeParts();
        assertEquals(CHUNKS, bodyBytes);
        assertTrue(ended);
    }

    /** Guards the reading of a connection: it goes on once all that was held is decoded. */
    @Test
    void readingGoesOnAfterAPause() {
        channel.freezeTime();
        read("POST /bill HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(CHUNKS));
        channel.runScheduledPendingTasks();
        takeParts();
        assertEquals(CHUNKS, bodyBytes);
        assertTrue(channel.config().isAutoRead());
        read("1\r\nx\r\n0\r\n\r\n");
        takeParts();
        assertEquals(CHUNKS + 1, bodyBytes);
        assertTrue(ended);
    }
}
