package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** The lines that a flood of warnings causes in the log, on a clock that the test moves. */
class ThrottledLogTest {
    private final EmbeddedChannel clock = new EmbeddedChannel();
    private final ThrottledLog throttled = new ThrottledLog(LoggerFactory.getLogger(ThrottledLogTest.class));
    private final PrintStream originalErr = System.err;
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();

    @BeforeEach
    void setUp() {
        clock.freezeTime();
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void tearDown() {
        System.setErr(originalErr);
    }

    private void warn(int times, String event) {
        for (int i = 0; i < times; i++) {
            throttled.warn(clock.eventLoop(), event);
        }
    }

    private void advance(long millis) {
        clock.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        clock.runScheduledPendingTasks();
    }

    /** Returns the messages logged since the last call, without the text before them. */
    private List<String> takeLogLines() {
        String text = log.toString(StandardCharsets.UTF_8);
        log.reset();
        return text.lines().map(line -> line.substring(line.indexOf(" - ") + 3)).toList();
    }

    @Test
    void theFirstEventIsLoggedAtOnceAndTheRestOfTheSecondInOneLine() {
        warn(1, "a");
        warn(48, "b");
        warn(1, "c");
        assertEquals(List.of("a"), takeLogLines());
        advance(999);
        assertEquals(List.of(), takeLogLines());
        advance(1);
        assertEquals(List.of("c, and 48 more within a second"), takeLogLines());
    }

    @Test
    void aLastingFloodIsLoggedOnceASecond() {
        for (int second = 0; second < 5; second++) {
            warn(10, "a");
            advance(1_000);
        }
        assertEquals(6, takeLogLines().size(), "one line for the first event, and one for each second");
    }

    @Test
    void afterASecondWithoutEventsTheNextIsLoggedAtOnce() {
        warn(1, "a");
        advance(1_000);
        warn(1, "b");
        assertEquals(List.of("a", "b"), takeLogLines());
    }

    @Test
    void oneSuppressedEventIsLoggedWithoutACount() {
        warn(2, "a");
        advance(1_000);
        assertEquals(List.of("a", "a"), takeLogLines());
    }
}
