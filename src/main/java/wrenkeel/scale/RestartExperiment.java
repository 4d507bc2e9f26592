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

/** What restarts cost: of single relays, of single machines with their agents, of a whole zone at once. */
@Command(name = "restart", mixinStandardHelpOptions = true,
    description = "A zone of so many hollow relays: single relays restarted, single machines replaced (the"
        + " agent starts empty too), then the zone back at once with its control machine: whole lists,"
        + " bytes, time.")
final class RestartExperiment implements Callable<Integer> {
    private static final List<Long> SIZES = List.of(50L, 150L, 300L, 460L);
    private static final long TARGET = 460;
    /** ms; one wait of a relay: its watches without a restart, which are taken off. */
    private static final long IDLE = 4_000;

    @Mixin
    private CommonOptions options;
    @Mixin
    private FleetOptions fleetOptions;
    @Option(names = "--single", defaultValue = "10", paramLabel = "N",
        description = "Single restarts of each sort (default: ${DEFAULT-VALUE}).")
    private int single;

    @Override
    public Integer call() throws Exception {
        return FleetPlays.run("restart", options, SIZES, TARGET, this::play);
    }

    private Map<String, Double> play(int size, long seed) throws IOException, InterruptedException {
        Map<String, Double> values = new LinkedHashMap<>();
        try (Fleet fleet = new Fleet(size, seed, fleetOptions, relay -> 0)) {
            fleet.start();
            Fleet.Spent before = fleet.spent();
            Thread.sleep(IDLE);
            Fleet.Spent idle = fleet.spent().minus(before);
            singles(fleet, false, idle, "relay_", values);
            singles(fleet, true, idle, "replaced_", values);
            zone(fleet, size, values);
        }
        return values;
    }

    /** One after the other; {@code replaced}: each with its agent. */
    private void singles(Fleet fleet, boolean replaced, Fleet.Spent idle, String prefix,
                         Map<String, Double> values) throws IOException {
        Histogram starts = new Histogram(HollowFleet.DIGITS);
        Fleet.Spent before = fleet.spent();
        for (int relay = 0; relay < single; relay++) {
            fleet.relays().stop(relay, relay + 1);
            if (replaced) {
                fleet.agents().restart(relay).syncUninterruptibly();
            }
            fleet.relays().start(relay, relay + 1);
            fleet.awaitRelays();
            starts.add(fleet.relays().starts(relay, relay + 1));
        }
        Fleet.Spent spent = fleet.spent().minus(before);
        double share = (double) spent.at() / idle.at();
        values.put(prefix + "held_p50_ms", starts.getValueAtPercentile(50) / 1e3);
        values.put(prefix + "held_most_ms", starts.getMaxValue() / 1e3);
        values.put(prefix + "machine_whole_lists", (double) spent.machine().wholeLists() / single);
        values.put(prefix + "agent_whole_lists", (double) spent.agent().wholeLists() / single);
        values.put(prefix + "machine_bytes",
            (spent.machine().bytes() - share * idle.machine().bytes()) / single);
        values.put(prefix + "agent_bytes", (spent.agent().bytes() - share * idle.agent().bytes()) / single);
    }

    /** The zone's control machine, its agents and its relays lose power, and are back at one moment. */
    private static void zone(Fleet fleet, int size, Map<String, Double> values) throws IOException {
        fleet.relays().stop(0, size);
        Fleet.Spent before = fleet.spent();
        try (PeakRates peaks = new PeakRates(fleet)) {
            fleet.machines().restartZone(0);
            for (int agent = 0; agent < size; agent++) {
                fleet.agents().restart(agent);
            }
            fleet.relays().start(0, size);
            fleet.awaitRelays();
            Fleet.Spent spent = fleet.spent().minus(before);
            Histogram starts = fleet.relays().starts(0, size);
            values.put("zone_all_held_ms", spent.at() / 1e3);
            values.put("zone_held_p50_ms", starts.getValueAtPercentile(50) / 1e3);
            values.put("zone_held_p99_ms", starts.getValueAtPercentile(99) / 1e3);
            values.put("zone_held_last_ms", starts.getMaxValue() / 1e3);
            values.put("zone_source_whole_lists", (double) spent.source().wholeLists());
            values.put("zone_machine_whole_lists", (double) spent.machine().wholeLists());
            values.put("zone_agent_whole_lists", (double) spent.agent().wholeLists());
            values.put("zone_agent_calls", (double) spent.agent().calls());
            values.put("zone_source_mb", spent.source().bytes() / 1e6);
            values.put("zone_machine_mb", spent.machine().bytes() / 1e6);
            values.put("zone_agent_mb", spent.agent().bytes() / 1e6);
            values.put("zone_machine_peak_mb_per_s", peaks.machineBytesPerSecond() / 1e6);
            values.put("zone_agent_peak_mb_per_s", peaks.agentBytesPerSecond() / 1e6);
            values.put("zone_machines_cpu_ms", spent.machinesCpu() / 1e3);
            values.put("zone_agents_cpu_ms", spent.agentsCpu() / 1e3);
            values.put("zone_relays_cpu_ms", spent.relaysCpu() / 1e3);
        }
    }
}
