package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The wall clock is stepped while the relay is down; what it owes keeps its spans of real time. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ClockStepTest {
    private static final String TAKEN = "HTTP/1.1 202 Accepted";
    private static final long HOUR = TimeUnit.HOURS.toMillis(1);

    @TempDir
    Path folder;
    private Platform platform;
    private StubHost host;

    @BeforeEach
    void begin() throws Exception {
        platform = new Platform(folder);
        host = new StubHost();
    }

    @AfterEach
    void end() throws Exception {
        host.close();
        platform.close();
    }

    private Node relay(long step) throws Exception {
        return new Node(platform.writeConfig(Platform.hostJson("s-1", host.port(), 7, "ready")), new Machine(SteppedClock.stepped(step), FileOperations.SYSTEM, ListeningSockets.SYSTEM));
    }

    /** Takes a message on and ends without a word of it, as at SIGKILL; its first call stays unanswered. */
    private void takenBefore(String id, String messageClass, long time) throws Exception {
        try (Node relay = relay(0); var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post(id, messageClass, 7, time).get(0));
            assertEquals(id, host.nextCall().header("X-Request-ID"));
        }
    }

    @Test
    void aClockStepForwardDoesNotUseUpAMessagesTime() throws Exception {
        takenBefore("a", "bill", 16_000);
        try (Node relay = relay(HOUR)) {
            StubHost.Call repeat = host.nextCall();
            assertNotNull(repeat, "notices: " + platform.notices);
            assertEquals("a", repeat.header("X-Request-ID"));
            assertTrue(Long.parseLong(repeat.header("X-Timeout-Ms")) <= 16_000);
            repeat.respond(StubHost.OK);
        }
        assertTrue(platform.notices.isEmpty(), platform.notices.toString());
    }

    @Test
    void aClockStepBackDoesNotProlongAMessagesTime() throws Exception {
        takenBefore("a", "bill", 4_000);
        try (Node relay = relay(-HOUR)) {
            String notice = platform.nextNotice();
            assertNotNull(notice, "no end was told");
            assertTrue(notice.contains("\"a\""), notice);
        }
    }
}
