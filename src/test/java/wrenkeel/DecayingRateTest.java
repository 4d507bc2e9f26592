package wrenkeel;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

class DecayingRateTest {
    private static final long SECOND = 1_000_000, SPAN_MICROS = 3 * SECOND;

    private static double rateAfterSteadyCalls(long age, int callsPerSecond) {
        State.Rate rate = new State.Rate();
        long step = SECOND / callsPerSecond;
        for (long at = 0; at < age; at += step) {
            rate.mark(at, SPAN_MICROS);
        }
        return rate.perSecond(age, SPAN_MICROS);
    }

    /** Guards against a pace far too slow, set by a refusal in a lane's first second. */
    @Test
    void rateIsAccurateBeforeAFullSpanHasPassed() {
        assertEquals(8, rateAfterSteadyCalls(SECOND / 2, 8), 1);
        assertEquals(8, rateAfterSteadyCalls(30 * SECOND, 8), 1);
    }

    @Test
    void rateDecaysWhileIdle() {
        State.Rate rate = new State.Rate();
        rate.mark(0, SPAN_MICROS);
        assertTrue(rate.perSecond(10 * SPAN_MICROS, SPAN_MICROS) < 0.01);
    }
}
