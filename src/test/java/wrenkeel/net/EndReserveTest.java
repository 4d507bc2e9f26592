package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndReserveTest {
    /** ms; a message is lost when its end is not told so long after its time is up. */
    private static final long END_SLACK_MS = 300;
    /** ms; a relay may be held up for so long, before it decides and before it writes. */
    private static final long STALL_MS = 150;
    /** ms until the fourth post of a notice, where three connections to the agent in a row have failed. */
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
