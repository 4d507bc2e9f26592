package wrenkeel.scale;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Measures how long a change takes from the source until each relay of a fleet has applied it. */
@Command(name = "change", mixinStandardHelpOptions = true,
    description = "A fleet of list-only relays: time from a change at the source until relays have applied"
        + " it, at the daily rate (a sample, with shorter gaps) and at 1,000 changes a minute.")
final class ChangeExperiment implements Callable<Integer> {
    private static final List<Long> SIZES = List.of(100L, 300L, 1_000L, 2_300L);
    private static final long TARGET_RELAYS = 2_300;
    /** Mean time between changes at 1,000 changes a minute. */
    private static final double BURST_GAP_MS = 60;

    @Mixin
    private CommonOptions options;
    @Mixin
    private FleetOptions fleetOptions;
    @Option(names = "--day-changes", defaultValue = "30", paramLabel = "N",
        description = "Number of changes in the sample of a day (default: ${DEFAULT-VALUE}).")
    private int dayChanges;
    @Option(names = "--day-gap-ms", defaultValue = "300", paramLabel = "N",
        description = "Mean gap between them, in ms; 3,100 a day are one in 27,900 ms"
            + " (default: ${DEFAULT-VALUE}).")
    private double dayGapMs;
    @Option(names = "--burst-changes", defaultValue = "200", paramLabel = "N",
        description = "Number of changes in the burst, on average one in 60 ms (default: ${DEFAULT-VALUE}).")
    private int burstChanges;

    @Override
    public Integer call() throws Exception {
        return FleetPlays.run("change", options, SIZES, TARGET_RELAYS, this::play);
    }

    private Map<String, Double> play(int size, long seed) throws IOException, InterruptedException {
        Map<String, Double> values = new LinkedHashMap<>();
        try (Fleet fleet = new Fleet(size, seed, fleetOptions, Fleet::roundRobinZone)) {
            fleet.start();
            // Warm-up: lets the JIT compile the code before it is measured.
            fleet.publishChanges(dayChanges, BURST_GAP_MS);
            fleet.awaitAllRelays();
            measure(fleet, size, "day_", dayChanges, dayGapMs, values);
            measure(fleet, size, "burst_", burstChanges, BURST_GAP_MS, values);
        }
        return values;
    }

    private static void measure(Fleet fleet, int size, String prefix, int changes, double gapMs,
                                Map<String, Double> values) throws IOException, InterruptedException {
        fleet.relays().recordVersions(fleet.latestVersion(), changes);
        Fleet.ResourceUsage usageBefore = fleet.usage();
        List<Long> publishedAt = fleet.publishChanges(changes, gapMs);
        fleet.awaitAllRelays();
        Fleet.ResourceUsage usage = fleet.usage().minus(usageBefore);
        ListOnlyFleet.PropagationTimes propagation = fleet.relays().propagationTimes(publishedAt);
        Histogram delays = propagation.delays();
        long expectedCount = (long) size * changes;
        if (delays.getTotalCount() != expectedCount) {
            throw new IllegalStateException(delays.getTotalCount()
                + " propagation times recorded, expected " + expectedCount);
        }
        values.put(prefix + "p50_ms", delays.getValueAtPercentile(50) / 1e3);
        values.put(prefix + "p99_ms", delays.getValueAtPercentile(99) / 1e3);
        values.put(prefix + "last_relay_mean_ms",
            propagation.lastRelayDelays().stream().mapToLong(us -> us).average().orElseThrow() / 1e3);
        values.put(prefix + "last_relay_most_ms",
            propagation.lastRelayDelays().stream().mapToLong(us -> us).max().orElseThrow() / 1e3);
        // These figures include the watches that time out during the measurement.
        values.put(prefix + "source_bytes_a_change", (double) usage.source().totalBytes() / changes);
        values.put(prefix + "machine_bytes_a_change", (double) usage.machine().totalBytes() / changes);
        values.put(prefix + "agent_bytes_a_change", (double) usage.agent().totalBytes() / changes);
        values.put(prefix + "agent_calls_a_change", (double) usage.agent().calls() / changes);
        usage.putCpuPercent(prefix, values);
    }
}
