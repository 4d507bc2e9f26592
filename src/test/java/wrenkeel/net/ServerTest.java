package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The deadline that the server gives a message, and what it logs about misbehaving clients. */
class ServerTest {
    /** How long a client waits for the response that accepts its message. */
    private static final long CLIENT_WAIT_MS = 400;
    /** How long after a message's timeout its end may be reported. */
    private static final long END_SLACK_MS = 300;

    /**
     * Guards against an end that is reported too late: the request may have waited in its socket for
     * as long as its client waits for a response.
     */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 2_000, 12_000, 28_000})
    void theDeadlineKeepsTheClientsTimeoutEvenIfTheRequestWasReadLate(long timeoutMillis) {
        long sentMillis = 1_000_000;
        long deadline = Server.deadline(sentMillis + CLIENT_WAIT_MS, timeoutMillis);
        assertTrue(deadline <= sentMillis + timeoutMillis + END_SLACK_MS / 2,
            "half of the slack must be left for the notice");
        assertTrue(deadline >= sentMillis + timeoutMillis / 2,
            "at least half of the time must be left for the message");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 40, 340})
    void aShortTimeoutKeepsMoreThanHalfOfItsTime(long timeoutMillis) {
        long deadline = Server.deadline(1_000_000, timeoutMillis);
        assertTrue(deadline > 1_000_000 + timeoutMillis / 2 && deadline <= 1_000_000 + timeoutMillis);
    }

    /** Guards the log and the CPU: many invalid requests must not cause a log line each. */
    @Test
    void aFloodOfInvalidRequestsLogsOneLine() {
        Server server = new Server(new ConnectionLimiter(100));
        assertEquals(1, logOutputOf(() -> {
            for (int i = 0; i < 50; i++) {
                EmbeddedChannel channel = new EmbeddedChannel();
                channel.pipeline().addLast(server);
                channel.writeInbound(Unpooled.copiedBuffer("nonsense\r\n\r\n", StandardCharsets.US_ASCII));
                assertFalse(channel.isOpen());
            }
        }).lines().count());
    }

    /**
     * Guards the log and the CPU: many clients may disconnect in the middle of a request at the same time.
     */
    @Test
    void aClientThatDisconnectsWithinItsRequestLogsNothing() {
        assertEquals("", logOutputOf(() -> {
            EmbeddedChannel channel = new EmbeddedChannel();
            channel.pipeline().addLast(new Server(new ConnectionLimiter(10)));
            channel.pipeline().fireChannelActive();
            channel.writeInbound(Unpooled.copiedBuffer("POST /bill HTTP/1.1\r\nContent-Length: 5\r\n\r\nhi",
                StandardCharsets.US_ASCII));
            channel.finish();
        }));
    }

    /** Runs a task and returns what is logged meanwhile. */
    private static String logOutputOf(Runnable task) {
        PrintStream originalErr = System.err;
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        try {
            task.run();
        } finally {
            System.setErr(originalErr);
        }
        return log.toString(StandardCharsets.UTF_8);
    }
}
