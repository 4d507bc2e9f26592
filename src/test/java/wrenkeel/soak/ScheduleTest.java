package wrenkeel.soak;

import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that a seed reproduces its schedule and that faults have valid values. */
class ScheduleTest {
    /** The faults of a schedule with 10 relays, 24 endpoints and 8 clusters within 12 s. */
    private static List<Fault> faults(long seed) {
        return Schedule.generate(seed, 10, 24, 8, 12_000).faults();
    }

    @Test
    void sameSeedGivesSameSchedule() {
        assertEquals(faults(7), faults(7));
        assertNotEquals(faults(7), faults(8));
    }

    @Test
    void everyFaultHasAnExistingTargetAndADurationWithinItsKindsRange() {
        for (long seed = 0; seed < 200; seed++) {
            for (Fault fault : faults(seed)) {
                int targetCount = fault.kind().target() == FaultKind.Target.RELAY ? 10 : 24;
                assertTrue(fault.targetNumber() >= 0 && fault.targetNumber() < targetCount, fault.toString());
                assertTrue(fault.durationMillis() >= fault.kind().minDurationMillis()
                    && fault.durationMillis() <= fault.kind().maxDurationMillis(), fault.toString());
                assertTrue(fault.startMillis() > 0 && fault.startMillis() < 13_000, fault.toString());
            }
        }
    }

    @Test
    void everyKindOccursAndEightClustersHaveAtLeastSixteenFaults() {
        for (FaultKind kind : FaultKind.values()) {
            boolean seen = false;
            for (long seed = 0; seed < 200 && !seen; seed++) {
                seen = faults(seed).stream().anyMatch(fault -> fault.kind() == kind);
            }
            assertTrue(seen, kind.toString());
        }
        List<Fault> faults = faults(3);
        assertTrue(faults.size() >= 16, "each of the eight clusters has at least two faults");
    }
}
