package wrenkeel.soak;

import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A schedule is replayable, and its troubles overlap. */
class ScheduleTest {
    private static List<Trouble> troubles(long seed) {
        return Schedule.of(seed, 10, 24, 8, 12_000).troubles();
    }

    @Test
    void theSameSeedGivesTheSameSchedule() {
        assertEquals(troubles(7), troubles(7));
        assertNotEquals(troubles(7), troubles(8));
    }

    @Test
    void everyTroubleHasASubjectThatExistsAndALengthOfItsKind() {
        for (long seed = 0; seed < 200; seed++) {
            for (Trouble trouble : troubles(seed)) {
                int most = trouble.kind().target() == TroubleKind.Target.RELAY ? 10 : 24;
                assertTrue(trouble.subject() >= 0 && trouble.subject() < most, trouble.toString());
                assertTrue(trouble.lengthMillis() >= trouble.kind().shortestMillis()
                    && trouble.lengthMillis() <= trouble.kind().longestMillis(), trouble.toString());
                assertTrue(trouble.startMillis() > 0 && trouble.startMillis() < 13_000, trouble.toString());
            }
        }
    }

    @Test
    void eachKindComesUpAndTroublesBeginTogether() {
        for (TroubleKind kind : TroubleKind.values()) {
            boolean seen = false;
            for (long seed = 0; seed < 200 && !seen; seed++) {
                seen = troubles(seed).stream().anyMatch(trouble -> trouble.kind() == kind);
            }
            assertTrue(seen, kind.toString());
        }
        List<Trouble> all = troubles(3);
        assertTrue(all.size() >= 16, "two at least in each of eight groups");
    }
}
