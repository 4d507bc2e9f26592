package wrenkeel.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The faults that one run injects, with their times. The same seed and sizes always give the same schedule: a
 * change in the order of the random draws would make the seeds of earlier reports worthless.
 */
final class Schedule {
    /** Number of faults in a cluster. All its relay faults are aimed at the same relay. */
    private static final int MIN_CLUSTER_SIZE = 2, MAX_CLUSTER_SIZE = 3;
    /** Time within which the faults of a cluster begin, so that they overlap. */
    private static final int CLUSTER_SPREAD_MS = 900;
    /** Traffic without faults at the start of a run. */
    private static final int FAULT_FREE_MS = 1_500;

    private final List<Fault> faults;

    private Schedule(List<Fault> faults) {
        this.faults = faults;
    }

    /**
     * Draws a schedule.
     *
     * @param relays number of relays, which may be targets
     * @param endpoints number of endpoints, which may be targets
     * @param clusters number of groups of faults that overlap
     * @param spanMillis time after the start of the traffic before which each cluster begins
     */
    static Schedule generate(long seed, int relays, int endpoints, int clusters, int spanMillis) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < clusters; i++) {
            addCluster(random, relays, endpoints, spanMillis, faults);
        }
        faults.sort(Comparator.comparingInt(Fault::startMillis));
        return new Schedule(List.copyOf(faults));
    }

    private static void addCluster(SplittableRandom random, int relays, int endpoints, int spanMillis,
                                   List<Fault> target) {
        int clusterStart = FAULT_FREE_MS + random.nextInt(Math.max(1, spanMillis - FAULT_FREE_MS));
        int relay = random.nextInt(relays);
        int size = MIN_CLUSTER_SIZE + random.nextInt(MAX_CLUSTER_SIZE - MIN_CLUSTER_SIZE + 1);
        List<FaultKind> kinds = new ArrayList<>();
        while (kinds.size() < size) {
            FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
            boolean endsProcessTwice = kind.endsProcess() && kinds.stream().anyMatch(FaultKind::endsProcess);
            if (!kinds.contains(kind) && !endsProcessTwice) {
                kinds.add(kind);
            }
        }
        for (FaultKind kind : kinds) {
            int range = kind.maxDurationMillis() - kind.minDurationMillis();
            int duration = kind.minDurationMillis() + (range == 0 ? 0 : random.nextInt(range));
            int targetNumber = kind.target() == FaultKind.Target.RELAY ? relay : random.nextInt(endpoints);
            target.add(new Fault(kind, clusterStart + random.nextInt(CLUSTER_SPREAD_MS), duration,
                targetNumber, random.nextInt(1 << 16)));
        }
    }

    /** The faults in ascending order of their start times; unmodifiable. */
    List<Fault> faults() {
        return faults;
    }
}
