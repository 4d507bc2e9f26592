package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The measurement of an event loop's lag, on a clock that the test moves. */
class EventLoopLagTest {
    private static final long PERIOD_MS = 100;

    private long nanos = 7;
    private final EventLoopLag lag = new EventLoopLag(PERIOD_MS, () -> nanos);

    private void advance(long millis) {
        nanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void aPunctualLoopHasNoLag() {
        for (int i = 0; i < 20; i++) {
            advance(PERIOD_MS);
            assertEquals(0, lag.recentMillis());
            lag.tick();
        }
    }

    /**
     * The event loop reads sockets before it runs due tasks, so the lag must count before the late tick has
     * run.
     */
    @Test
    void aPauseCountsBeforeTheLateTickHasRun() {
        advance(PERIOD_MS + 340);
        assertEquals(340, lag.recentMillis());
    }

    /** Input that a pause delayed may be read a few iterations later. */
    @Test
    void aPauseStaysRecentForAFewPeriods() {
        advance(PERIOD_MS + 340);
        lag.tick();
        for (int i = 0; i < 3; i++) {
            advance(PERIOD_MS);
            assertEquals(340, lag.recentMillis());
            lag.tick();
        }
        advance(PERIOD_MS);
        assertEquals(0, lag.recentMillis());
    }

    @Test
    void aRecordedDelayCountsLikeAPause() {
        lag.recordDelay(TimeUnit.MILLISECONDS.toNanos(250));
        assertEquals(250, lag.recentMillis());
        advance(PERIOD_MS);
        lag.tick();
        assertEquals(250, lag.recentMillis());
    }

    @Test
    void theLongestRecentPauseCounts() {
        advance(PERIOD_MS + 340);
        lag.tick();
        advance(PERIOD_MS + 20);
        lag.tick();
        assertEquals(340, lag.recentMillis());
        advance(PERIOD_MS + 900);
        assertEquals(900, lag.recentMillis());
    }
}
