package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopLagTest {
    private static final long PERIOD = 100;

    private long nanos = 7;
    private final EventLoopLag lag = new EventLoopLag(PERIOD, () -> nanos);

    private void pass(long millis) {
        nanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void aPunctualLoopHasNoLag() {
        for (int i = 0; i < 20; i++) {
            pass(PERIOD);
            assertEquals(0, lag.recentMillis());
            lag.tick();
        }
    }

    /** Sockets are read before the tasks that are due: the lag must show before the late tick has run. */
    @Test
    void aPauseShowsBeforeItsTickHasRun() {
        pass(PERIOD + 340);
        assertEquals(340, lag.recentMillis());
    }

    @Test
    void aPauseIsRememberedUntilWhatItHeldUpHasBeenRead() {
        pass(PERIOD + 340);
        lag.tick();
        for (int i = 0; i < 3; i++) {
            pass(PERIOD);
            assertEquals(340, lag.recentMillis());
            lag.tick();
        }
        pass(PERIOD);
        assertEquals(0, lag.recentMillis());
    }

    @Test
    void aWaitForAnotherReasonCountsAsAPauseDoes() {
        lag.recordDelay(TimeUnit.MILLISECONDS.toNanos(250));
        assertEquals(250, lag.recentMillis());
        pass(PERIOD);
        lag.tick();
        assertEquals(250, lag.recentMillis());
    }

    @Test
    void theWorstPauseCounts() {
        pass(PERIOD + 340);
        lag.tick();
        pass(PERIOD + 20);
        lag.tick();
        assertEquals(340, lag.recentMillis());
        pass(PERIOD + 900);
        assertEquals(900, lag.recentMillis());
    }
}
