package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A step of the wall clock while the relay is down does not change how long its open messages live. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ClockStepTest {
    private static final String ACCEPTED = "HTTP/1.1 202 Accepted";
    private static final long HOUR_MS = TimeUnit.HOURS.toMillis(1);

    @TempDir
    Path folder;
    private Platform platform;
    private StubHost host;

    @BeforeEach
    void setUp() throws Exception {
        platform = new Platform(folder);
        host = new StubHost();
    }

    @AfterEach
    void tearDown() throws Exception {
        host.close();
        platform.close();
    }

    private Node startRelay(long stepMillis) throws Exception {
        return new Node(platform.writeConfig(Platform.hostJson("s-1", host.port(), 7, "ready")),
            new Machine(SteppedClock.stepped(stepMillis), FileOperations.SYSTEM, ListeningSockets.SYSTEM));
    }

    /** Accepts a message and stops abruptly, as with SIGKILL, while its first call is unanswered. */
    private void acceptBeforeTheStep(String id, String messageClass, long lifetimeMillis) throws Exception {
        try (Node relay = startRelay(0); var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post(id, messageClass, 7, lifetimeMillis).get(0));
            assertEquals(id, host.nextCall().header("X-Request-ID"));
        }
    }

    @Test
    void aForwardClockStepDoesNotExpireAMessage() throws Exception {
        acceptBeforeTheStep("a", "bill", 16_000);
        try (Node relay = startRelay(HOUR_MS)) {
            StubHost.Call repeat = host.nextCall();
            assertNotNull(repeat, "notices: " + platform.notices);
            assertEquals("a", repeat.header("X-Request-ID"));
            assertTrue(Long.parseLong(repeat.header("X-Timeout-Ms")) <= 16_000);
            repeat.respond(StubHost.OK);
        }
        assertTrue(platform.notices.isEmpty(), platform.notices.toString());
    }

    @Test
    void aBackwardClockStepDoesNotExtendAMessagesDeadline() throws Exception {
        acceptBeforeTheStep("a", "bill", 4_000);
        try (Node relay = startRelay(-HOUR_MS)) {
            String notice = platform.nextNotice();
            assertNotNull(notice, "no notice was posted");
            assertTrue(notice.contains("\"a\""), notice);
        }
    }
}
