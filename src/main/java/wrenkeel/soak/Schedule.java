package wrenkeel.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** What goes wrong in one run, and when. The same seed and sizes give the same schedule. */
final class Schedule {
    /** Troubles that begin together, some hundred ms apart, on one relay or on what it needs. */
    private static final int MIN_CLUSTER_SIZE = 2, MAX_CLUSTER_SIZE = 3;
    private static final int CLUSTER_SPREAD_MS = 900;
    /** ms; the first trouble comes after this much plain traffic. */
    private static final int FAULT_FREE_MS = 1_500;

    private final List<Fault> faults;

    private Schedule(List<Fault> faults) {
        this.faults = faults;
    }

    /**
     * @param clusters how many groups of troubles that overlap
     * @param spanMillis within which they begin
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
            target.add(new Fault(kind, clusterStart + random.nextInt(CLUSTER_SPREAD_MS), duration, targetNumber,
                random.nextInt(1 << 16)));
        }
    }

    /** In the order of their starts. */
    List<Fault> faults() {
        return faults;
    }
}
