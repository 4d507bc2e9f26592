package wrenkeel;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

/** The rate of events that {@code State} measures over an exponentially decaying span. */
class DecayingRateTest {
    /** A second, in microseconds. */
    private static final long SECOND = 1_000_000;
    private static final long SPAN_MICROS = 3 * SECOND;

    /** The rate in calls a second after so many microseconds of evenly spaced calls. */
    private static double rateAfterSteadyCalls(long age, int callsPerSecond) {
        State.DecayingRate rate = new State.DecayingRate();
        long step = SECOND / callsPerSecond;
        for (long at = 0; at < age; at += step) {
            rate.record(at, SPAN_MICROS);
        }
        return rate.perSecond(age, SPAN_MICROS);
    }

    /**
     * A refusal sets the send rate from the measured rate. If a measurement younger than its span were too
     * low, a refusal in the first second of a rate limit's scope would set a send rate that is far too slow.
     */
    @Test
    void rateIsAccurateBeforeAFullSpanHasPassed() {
        assertEquals(8, rateAfterSteadyCalls(SECOND / 2, 8), 1);
        assertEquals(8, rateAfterSteadyCalls(30 * SECOND, 8), 1);
    }

    @Test
    void rateDecaysWhileIdle() {
        State.DecayingRate rate = new State.DecayingRate();
        rate.record(0, SPAN_MICROS);
        assertTrue(rate.perSecond(10 * SPAN_MICROS, SPAN_MICROS) < 0.01);
    }
}
