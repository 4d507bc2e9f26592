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

/**
 * Measures the cost of restarts: of single relays, of relays with their agents, and of a whole zone at once.
 */
@Command(name = "restart", mixinStandardHelpOptions = true,
    description = "A zone of list-only relays: single relays restarted, single machines replaced (the agent"
        + " restarts without a list too), then the whole zone restarted at once with its control machine:"
        + " whole lists, bytes, time.")
final class RestartExperiment implements Callable<Integer> {
    private static final List<Long> SIZES = List.of(50L, 150L, 300L, 460L);
    private static final long TARGET_RELAYS = 460;
    /** Length of the idle measurement, whose traffic is subtracted: one wait of a relay's watch. */
    private static final long IDLE_MS = 4_000;

    @Mixin
    private CommonOptions options;
    @Mixin
    private FleetOptions fleetOptions;
    @Option(names = "--single", defaultValue = "10", paramLabel = "N",
        description = "Number of single restarts, of relays and of machines each"
            + " (default: ${DEFAULT-VALUE}).")
    private int singleRestarts;

    @Override
    public Integer call() throws Exception {
        return FleetPlays.run("restart", options, SIZES, TARGET_RELAYS, this::play);
    }

    private Map<String, Double> play(int size, long seed) throws IOException, InterruptedException {
        Map<String, Double> values = new LinkedHashMap<>();
        try (Fleet fleet = new Fleet(size, seed, fleetOptions, relay -> 0)) {
            fleet.start();
            Fleet.ResourceUsage usageBefore = fleet.usage();
            Thread.sleep(IDLE_MS);
            Fleet.ResourceUsage idleUsage = fleet.usage().minus(usageBefore);
            restartSingles(fleet, false, idleUsage, "relay_", values);
            restartSingles(fleet, true, idleUsage, "replaced_", values);
            restartZone(fleet, size, values);
        }
        return values;
    }

    /**
     * Restarts single relays one after the other.
     *
     * @param withAgent whether the relay's agent loses its list too
     * @param idleUsage usage of the idle fleet, which is subtracted from the bytes
     * @param prefix prefix of the values' names
     */
    private void restartSingles(Fleet fleet, boolean withAgent, Fleet.ResourceUsage idleUsage, String prefix,
                         Map<String, Double> values) throws IOException {
        Histogram startDelays = new Histogram(ListOnlyFleet.HISTOGRAM_DIGITS);
        Fleet.ResourceUsage usageBefore = fleet.usage();
        for (int relay = 0; relay < singleRestarts; relay++) {
            fleet.relays().stop(relay, relay + 1);
            if (withAgent) {
                fleet.agents().restart(relay).syncUninterruptibly();
            }
            fleet.relays().start(relay, relay + 1);
            fleet.awaitAllRelays();
            startDelays.add(fleet.relays().startTimes(relay, relay + 1));
        }
        Fleet.ResourceUsage usage = fleet.usage().minus(usageBefore);
        double durationRatio = (double) usage.atMicros() / idleUsage.atMicros();
        values.put(prefix + "held_p50_ms", startDelays.getValueAtPercentile(50) / 1e3);
        values.put(prefix + "held_most_ms", startDelays.getMaxValue() / 1e3);
        values.put(prefix + "machine_whole_lists", (double) usage.machine().wholeLists() / singleRestarts);
        values.put(prefix + "agent_whole_lists", (double) usage.agent().wholeLists() / singleRestarts);
        values.put(prefix + "machine_bytes",
            (usage.machine().totalBytes() - durationRatio * idleUsage.machine().totalBytes())
                / singleRestarts);
        values.put(prefix + "agent_bytes",
            (usage.agent().totalBytes() - durationRatio * idleUsage.agent().totalBytes()) / singleRestarts);
    }

    /** Simulates a power loss of the zone's control machine, agents and relays, which all restart at once. */
    private static void restartZone(Fleet fleet, int size, Map<String, Double> values) throws IOException {
        fleet.relays().stop(0, size);
        Fleet.ResourceUsage usageBefore = fleet.usage();
        try (PeakRates peaks = new PeakRates(fleet)) {
            fleet.machines().restartZone(0);
            for (int agent = 0; agent < size; agent++) {
                fleet.agents().restart(agent);
            }
            fleet.relays().start(0, size);
            fleet.awaitAllRelays();
            Fleet.ResourceUsage usage = fleet.usage().minus(usageBefore);
            Histogram startDelays = fleet.relays().startTimes(0, size);
            values.put("zone_all_held_ms", usage.atMicros() / 1e3);
            values.put("zone_held_p50_ms", startDelays.getValueAtPercentile(50) / 1e3);
            values.put("zone_held_p99_ms", startDelays.getValueAtPercentile(99) / 1e3);
            values.put("zone_held_last_ms", startDelays.getMaxValue() / 1e3);
            values.put("zone_source_whole_lists", (double) usage.source().wholeLists());
            values.put("zone_machine_whole_lists", (double) usage.machine().wholeLists());
            values.put("zone_agent_whole_lists", (double) usage.agent().wholeLists());
            values.put("zone_agent_calls", (double) usage.agent().calls());
            values.put("zone_source_mb", usage.source().totalBytes() / 1e6);
            values.put("zone_machine_mb", usage.machine().totalBytes() / 1e6);
            values.put("zone_agent_mb", usage.agent().totalBytes() / 1e6);
            values.put("zone_machine_peak_mb_per_s", peaks.machineBytesPerSecond() / 1e6);
            values.put("zone_agent_peak_mb_per_s", peaks.agentBytesPerSecond() / 1e6);
            values.put("zone_machines_cpu_ms", usage.machinesCpuMicros() / 1e3);
            values.put("zone_agents_cpu_ms", usage.agentsCpuMicros() / 1e3);
            values.put("zone_relays_cpu_ms", usage.relaysCpuMicros() / 1e3);
        }
    }
}
