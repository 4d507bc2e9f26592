package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndReserveTest {
    /** ms; a message is lost when its end is not told so long after its time is up. */
    private static final long END_SLACK = 300;
    /** ms; a pause of the process that was seen on a crowded machine with a small share of a core. */
    private static final long PAUSE = 1_200;

    @ParameterizedTest
    @ValueSource(longs = {4_000, 12_000, 28_000})
    void theEndOfALongLivedMessageOutlastsAPause(long time) {
        long sent = 1_000_000;
        long deadline = Server.deadline(sent, time);
        long decidedAt = deadline - EndReserve.millis(deadline - sent);
        assertTrue(decidedAt + PAUSE <= sent + time + END_SLACK);
    }

    /** More than twice the longest pause that was measured on a crowded machine, 745 ms. */
    @ParameterizedTest
    @ValueSource(longs = {6_000, 12_000, 28_000})
    void theEndOfAMessageOfSomeSecondsOutlastsALongPause(long time) {
        long sent = 1_000_000;
        long deadline = Server.deadline(sent, time);
        long decidedAt = deadline - EndReserve.millis(deadline - sent);
        assertTrue(decidedAt + 1_700 <= sent + time + END_SLACK);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 40, 400, 1_000, 1_200, 2_000, 4_000, 28_000})
    void aMessageKeepsThreeQuartersOfItsTime(long time) {
        long sent = 1_000_000;
        long deadline = Server.deadline(sent, time);
        assertTrue(deadline - EndReserve.millis(deadline - sent) >= sent + time * 3 / 4);
    }

    @Test
    void aMessageWhoseTimeIsUpHasNoReserve() {
        assertEquals(0, EndReserve.millis(-5_000));
    }
}
