package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The reserve leaves time for the notice of a message's end without taking too much of the message's
 * lifetime.
 */
class EndReserveTest {
    /** A message counts as lost if the platform has no notice of its end this long after its lifetime. */
    private static final long END_SLACK_MS = 300;
    /** How long a relay may stall, once before it decides and once before it writes. */
    private static final long STALL_MS = 150;
    /** Time until the fourth post of a notice, after three connections to the agent in a row have failed. */
    private static final long FOURTH_POST_MS = 420;

    @ParameterizedTest
    @ValueSource(longs = {2_400, 4_000, 12_000, 28_000})
    void theFourthPostOfANoticeIsInTimeDespiteTwoStalls(long lifetimeMillis) {
        long sentMillis = 1_000_000;
        long deadline = Server.deadline(sentMillis, lifetimeMillis);
        long decidedAt = deadline - EndReserve.millis(deadline - sentMillis);
        assertTrue(decidedAt + 2 * STALL_MS + FOURTH_POST_MS <= sentMillis + lifetimeMillis + END_SLACK_MS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 40, 400, 1_000, 1_200, 2_000, 4_000, 28_000})
    void aMessageKeepsThreeQuartersOfItsLifetime(long lifetimeMillis) {
        long sentMillis = 1_000_000;
        long deadline = Server.deadline(sentMillis, lifetimeMillis);
        assertTrue(
            deadline - EndReserve.millis(deadline - sentMillis) >= sentMillis + lifetimeMillis * 3 / 4);
    }

    @Test
    void anExpiredMessageHasNoReserve() {
        assertEquals(0, EndReserve.millis(-5_000));
    }
}
