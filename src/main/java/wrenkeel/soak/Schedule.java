package wrenkeel.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** What goes wrong in one run, and when. The same seed and sizes give the same schedule. */
final class Schedule {
    /** Troubles that begin together, some hundred ms apart, on one relay or on what it needs. */
    private static final int CLUSTER_LEAST = 2, CLUSTER_MOST = 3;
    private static final int SPREAD_MILLIS = 900;
    /** ms; the first trouble comes after this much plain traffic. */
    private static final int QUIET_MILLIS = 1_500;

    private final List<Trouble> troubles;

    private Schedule(List<Trouble> troubles) {
        this.troubles = troubles;
    }

    /**
     * @param clusters how many groups of troubles that overlap
     * @param spanMillis within which they begin
     */
    static Schedule of(long seed, int relays, int endpoints, int clusters, int spanMillis) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Trouble> all = new ArrayList<>();
        for (int i = 0; i < clusters; i++) {
            cluster(random, relays, endpoints, spanMillis, all);
        }
        all.sort(Comparator.comparingInt(Trouble::startMillis));
        return new Schedule(List.copyOf(all));
    }

    private static void cluster(SplittableRandom random, int relays, int endpoints, int spanMillis,
                                List<Trouble> into) {
        int at = QUIET_MILLIS + random.nextInt(Math.max(1, spanMillis - QUIET_MILLIS));
        int relay = random.nextInt(relays);
        int size = CLUSTER_LEAST + random.nextInt(CLUSTER_MOST - CLUSTER_LEAST + 1);
        List<TroubleKind> kinds = new ArrayList<>();
        while (kinds.size() < size) {
            TroubleKind kind = TroubleKind.values()[random.nextInt(TroubleKind.values().length)];
            boolean endsTwice = kind.endsProcess() && kinds.stream().anyMatch(TroubleKind::endsProcess);
            if (!kinds.contains(kind) && !endsTwice) {
                kinds.add(kind);
            }
        }
        for (TroubleKind kind : kinds) {
            int range = kind.longestMillis() - kind.shortestMillis();
            int length = kind.shortestMillis() + (range == 0 ? 0 : random.nextInt(range));
            int subject = kind.target() == TroubleKind.Target.RELAY ? relay : random.nextInt(endpoints);
            into.add(new Trouble(kind, at + random.nextInt(SPREAD_MILLIS), length, subject,
                random.nextInt(1 << 16)));
        }
    }

    /** In the order of their starts. */
    List<Trouble> troubles() {
        return troubles;
    }
}
