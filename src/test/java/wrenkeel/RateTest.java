package wrenkeel;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

class RateTest {
    private static final long SECOND = 1_000_000, SPAN = 3 * SECOND;

    private static double measured(long age, int callsPerSecond) {
        State.DecayingRate rate = new State.DecayingRate();
        long step = SECOND / callsPerSecond;
        for (long at = 0; at < age; at += step) {
            rate.record(at, SPAN);
        }
        return rate.perSecond(age, SPAN);
    }

    /** Guards against a pace far too slow, set by a refusal in a lane's first second. */
    @Test
    void aYoungRateIsThatOfItsOwnAge() {
        assertEquals(8, measured(SECOND / 2, 8), 1);
        assertEquals(8, measured(30 * SECOND, 8), 1);
    }

    @Test
    void anIdleRateIsSlow() {
        State.DecayingRate rate = new State.DecayingRate();
        rate.record(0, SPAN);
        assertTrue(rate.perSecond(10 * SPAN, SPAN) < 0.01);
    }
}
