package wrenkeel;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

class LaneTest {
    private static final long SECOND = 1_000_000, SPAN = 3 * SECOND;

    private static double rate(long age, int callsPerSecond) {
        State.Lane lane = new State.Lane();
        long step = SECOND / callsPerSecond;
        for (long at = 0; at < age; at += step) {
            lane.mark(at, SPAN);
        }
        return lane.rate(age, SPAN);
    }

    /** Guards against a pace far too slow, set by a refusal in a lane's first second. */
    @Test
    void theRateOfAYoungLaneIsThatOfItsOwnAge() {
        assertEquals(8, rate(SECOND / 2, 8), 1);
        assertEquals(8, rate(30 * SECOND, 8), 1);
    }

    @Test
    void anIdleLaneIsSlow() {
        State.Lane lane = new State.Lane();
        lane.mark(0, SPAN);
        assertTrue(lane.rate(10 * SPAN, SPAN) < 0.01);
    }
}
