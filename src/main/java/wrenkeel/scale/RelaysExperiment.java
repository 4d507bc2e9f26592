package wrenkeel.scale;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** What a fleet of so many relays costs all the time: without a change, and while changes trickle in. */
@Command(name = "relays", mixinStandardHelpOptions = true,
    description = "A fleet of so many hollow relays: calls, bytes and processor time of relays, agents and"
        + " the control machines; memory of a relay.")
final class RelaysExperiment implements Callable<Integer> {
    private static final List<Long> SIZES = List.of(100L, 300L, 1_000L, 2_300L);
    private static final long TARGET_RELAYS = 2_300;

    /** ms; how long a relay's watch waits. */
    private static final long WATCH_WAIT_MS = 4_000;

    @Mixin
    private CommonOptions options;
    @Mixin
    private FleetOptions fleetOptions;
    @Option(names = "--idle-waits", defaultValue = "2", paramLabel = "N",
        description = "Waits of 4 s that are measured without a change (default: ${DEFAULT-VALUE}).")
    private int idleWaits;
    @Option(names = "--changes", defaultValue = "16", paramLabel = "N",
        description = "Changes of the trickle (default: ${DEFAULT-VALUE}).")
    private int changes;
    @Option(names = "--gap-ms", defaultValue = "500", paramLabel = "N",
        description = "Mean gap between them; 3,100 a day are one in 27,900 ms (default: ${DEFAULT-VALUE}).")
    private double gapMs;

    @Override
    public Integer call() throws Exception {
        return FleetPlays.run("relays", options, SIZES, TARGET_RELAYS, this::play);
    }

    private Map<String, Double> play(int size, long seed) throws IOException, InterruptedException {
        Map<String, Double> values = new LinkedHashMap<>();
        try (Fleet fleet = new Fleet(size, seed, fleetOptions, Fleet::roundRobinZone)) {
            fleet.start();
            // What runs for the first time is compiled before it is measured.
            fleet.publishChanges(changes, gapMs / 4);
            fleet.awaitAllRelays();
            // All watches began with the last change. Between two ends of their waits: whole ones count.
            Thread.sleep(WATCH_WAIT_MS / 2);
            Fleet.ResourceUsage usageBefore = fleet.usage();
            Thread.sleep(WATCH_WAIT_MS * idleWaits);
            Fleet.ResourceUsage usageAfterIdle = fleet.usage();
            usageAfterIdle.minus(usageBefore).putRates("idle_", values);
            fleet.publishChanges(changes, gapMs);
            fleet.awaitAllRelays();
            putCostPerChange(fleet.usage().minus(usageAfterIdle), usageAfterIdle.minus(usageBefore), values);
            ListOnlyFleet.Memory memory = fleet.relays().measureMemory();
            values.put("relays_heap_mb", memory.heapBytes() / 1e6);
            values.put("relays_rss_mb", memory.rssBytes() / 1e6);
            values.put("relays_descriptors", (double) memory.descriptors());
            values.put("tool_descriptors", (double) Descriptors.openCount());
            values.put("relay_processes", (double) fleet.relays().processCount());
        }
        return values;
    }

    /**
     * What one change moves on each hop: no watch ends by itself where changes follow this quickly. Processor
     * time is less that of the idle fleet.
     */
    private void putCostPerChange(Fleet.ResourceUsage changesUsage, Fleet.ResourceUsage usageAfterIdle, Map<String, Double> values) {
        double durationRatio = (double) changesUsage.atMicros() / usageAfterIdle.atMicros();
        values.put("change_source_bytes", (double) changesUsage.source().totalBytes() / changes);
        values.put("change_machine_bytes", (double) changesUsage.machine().totalBytes() / changes);
        values.put("change_agent_bytes", (double) changesUsage.agent().totalBytes() / changes);
        values.put("change_machines_cpu_ms",
            (changesUsage.machinesCpuMicros() - durationRatio * usageAfterIdle.machinesCpuMicros()) / changes / 1e3);
        values.put("change_agents_cpu_ms", (changesUsage.agentsCpuMicros() - durationRatio * usageAfterIdle.agentsCpuMicros()) / changes / 1e3);
        values.put("change_relays_cpu_ms", (changesUsage.relaysCpuMicros() - durationRatio * usageAfterIdle.relaysCpuMicros()) / changes / 1e3);
    }
}
