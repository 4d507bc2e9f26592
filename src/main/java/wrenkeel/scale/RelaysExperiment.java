package wrenkeel.scale;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Measures the continuous cost of a fleet: without changes of the list, and with changes at a low rate. */
@Command(name = "relays", mixinStandardHelpOptions = true,
    description = "A fleet of list-only relays: calls, bytes and processor time of relays, agents and control"
        + " machines; memory of the relays.")
final class RelaysExperiment implements Callable<Integer> {
    private static final List<Long> SIZES = List.of(100L, 300L, 1_000L, 2_300L);
    private static final long TARGET_RELAYS = 2_300;

    /** How long a relay's watch waits for a change. */
    private static final long WATCH_WAIT_MS = 4_000;

    @Mixin
    private CommonOptions options;
    @Mixin
    private FleetOptions fleetOptions;
    @Option(names = "--idle-waits", defaultValue = "2", paramLabel = "N",
        description = "Length of the measurement without changes, in waits of 4 s"
            + " (default: ${DEFAULT-VALUE}).")
    private int idleWaits;
    @Option(names = "--changes", defaultValue = "16", paramLabel = "N",
        description = "Number of changes at a low rate (default: ${DEFAULT-VALUE}).")
    private int changes;
    @Option(names = "--gap-ms", defaultValue = "500", paramLabel = "N",
        description = "Mean gap between them, in ms; 3,100 a day are one in 27,900 ms"
            + " (default: ${DEFAULT-VALUE}).")
    private double gapMs;

    @Override
    public Integer call() throws Exception {
        return FleetPlays.run("relays", options, SIZES, TARGET_RELAYS, this::play);
    }

    private Map<String, Double> play(int size, long seed) throws IOException, InterruptedException {
        Map<String, Double> values = new LinkedHashMap<>();
        try (Fleet fleet = new Fleet(size, seed, fleetOptions, Fleet::roundRobinZone)) {
            fleet.start();
            // Warm-up: lets the JIT compile the code before it is measured.
            fleet.publishChanges(changes, gapMs / 4);
            fleet.awaitAllRelays();
            // All watches were renewed by the last change, so their waits end at the same time. The
            // measurement starts halfway between two such ends, so that it covers whole waits.
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
     * Adds the cost of one change on each hop. No watch times out while changes follow this quickly, so all
     * bytes are those of changes; processor time excludes that of the idle fleet.
     */
    private void putCostPerChange(Fleet.ResourceUsage changesUsage, Fleet.ResourceUsage idleUsage,
                                  Map<String, Double> values) {
        double durationRatio = (double) changesUsage.atMicros() / idleUsage.atMicros();
        values.put("change_source_bytes", (double) changesUsage.source().totalBytes() / changes);
        values.put("change_machine_bytes", (double) changesUsage.machine().totalBytes() / changes);
        values.put("change_agent_bytes", (double) changesUsage.agent().totalBytes() / changes);
        values.put("change_machines_cpu_ms",
            (changesUsage.machinesCpuMicros() - durationRatio * idleUsage.machinesCpuMicros())
                / changes / 1e3);
        values.put("change_agents_cpu_ms",
            (changesUsage.agentsCpuMicros() - durationRatio * idleUsage.agentsCpuMicros()) / changes / 1e3);
        values.put("change_relays_cpu_ms",
            (changesUsage.relaysCpuMicros() - durationRatio * idleUsage.relaysCpuMicros()) / changes / 1e3);
    }
}
