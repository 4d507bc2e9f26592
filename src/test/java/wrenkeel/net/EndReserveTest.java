package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The reserve leaves time for the notice of a message's end without taking too much of the message's lifetime. */
class EndReserveTest {
    /** A message counts as lost if the platform has no notice of its end this long after its lifetime. */
    private static final long END_SLACK_MS = 300;
    /** How long a relay may stall, once before it decides and once before it writes. */
    private static final long STALL_MS = 150;
    /** Time until the fourth post of a notice, after three connections to the agent in a row have failed. */
    private static final long FOURTH_POST_MS = 420;

    @ParameterizedTest
    @ValueSource(longs = {2_400, 4_000, 12_000, 28_000})
    void theFourthPostOfANoticeIsInTimeDespiteTwoStalls(long time) {
        long sent = 1_000_000;
        long deadline = Server.deadline(sent, time);
        long decidedAt = deadline - EndReserve.millis(deadline - sent);
        assertTrue(decidedAt + 2 * STALL_MS + FOURTH_POST_MS <= sent + time + END_SLACK_MS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 40, 400, 1_000, 1_200, 2_000, 4_000, 28_000})
    void aMessageKeepsThreeQuartersOfItsLifetime(long time) {
        long sent = 1_000_000;
        long deadline = Server.deadline(sent, time);
        assertTrue(deadline - EndReserve.millis(deadline - sent) >= sent + time * 3 / 4);
    }

    @Test
    void anExpiredMessageHasNoReserve() {
        assertEquals(0, EndReserve.millis(-5_000));
    }
}
