package wrenkeel.scale;

import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures what a host list of a given size costs one real relay, with an agent and no other traffic. A relay
 * that never holds its list counts as a result, not as an error: such a play reports {@code held} as 0 and
 * the values that start with {@code unheld_}, and no values that need a list.
 */
@Command(name = "list", mixinStandardHelpOptions = true,
    description = "One relay and a host list of a given size: memory, processor time, bytes, start and"
        + " restart.")
final class ListExperiment implements Callable<Integer> {
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(10);
    /** Time from when the relay holds its list until the idle measurement starts. */
    private static final long SETTLE_MS = 1_500;
    /** Length of the idle measurement. */
    private static final long IDLE_MS = 8_000;
    /** Pause after each change that is measured on its own. */
    private static final long CHANGE_GAP_MS = 100;
    /** Number of changes measured with pauses. */
    private static final int CHANGES = 20;
    /** Number of changes measured without pauses. */
    private static final int RAPID_CHANGES = 200;
    private static final double BYTES_PER_MB = 1e6;

    @Mixin
    private CommonOptions options;

    @Option(names = "--known",
        description = "The relay's configuration already holds the current list.")
    private boolean known;

    @Override
    public Integer call() throws Exception {
        return TimeLimit.runWithin(options.maxSeconds(), this::run);
    }

    private int run() throws IOException, InterruptedException {
        List<Long> sizes = options.sizes(20L, 1_000L, 10_000L, 40_000L, 100_000L, 323_000L);
        try (Report report = new Report("list", options)) {
            // The sizes are the inner loop: a drift of the machine's speed then shows as variance among the
            // plays of a size, not as a trend over the sizes.
            for (int play = 0; play < options.plays(); play++) {
                for (long size : sizes) {
                    report.add(new Measurement("list", size, play, options.seed(play),
                        play(Math.toIntExact(size), options.seed(play))));
                }
            }
            report.finish(options.target(323_000));
        }
        return 0;
    }

    private Map<String, Double> play(int hosts, long seed) throws IOException, InterruptedException {
        Map<String, Double> values = new LinkedHashMap<>();
        HostCatalog catalog = new HostCatalog(hosts, seed);
        byte[] list = catalog.wholeList();
        values.put("list_mb", list.length / BYTES_PER_MB);
        try (StandInAgent agent = new StandInAgent(catalog);
             RelayProcess relay = new RelayProcess(options.root(), RelaySettings.typical("n1"),
                 agent.address(), known ? list : null)) {
            if (measureStart(relay, agent, values)) {
                double idleMicrosPerSecond = measureIdle(relay, agent, values);
                Random random = new Random(seed);
                measureChanges("first_change", CHANGES, CHANGE_GAP_MS, relay, agent, random,
                    idleMicrosPerSecond, values);
                measureChanges("rapid_change", RAPID_CHANGES, 0, relay, agent, random,
                    idleMicrosPerSecond, values);
                // By now the JIT has compiled the relay's code as after an hour or two at the target rate of
                // 3,100 changes a day.
                measureChanges("change", CHANGES, CHANGE_GAP_MS, relay, agent, random,
                    idleMicrosPerSecond, values);
                values.put("peak_rss_mb", relay.peakRssBytes() / BYTES_PER_MB);
                measureRestart(relay, agent, values);
            }
        }
        return values;
    }

    /**
     * Measures the time from the start command until the relay's telemetry reports all hosts. Returns false,
     * and adds the {@code unheld_} values, if that takes longer than {@link #LIST_TIMEOUT}.
     */
    private boolean measureStart(RelayProcess relay, StandInAgent agent, Map<String, Double> values)
        throws IOException, InterruptedException {
        long startedNanos = System.nanoTime();
        relay.start();
        boolean listHeld = relay.awaitMemberCount(agent.catalog().listedCount(), LIST_TIMEOUT, POLL_INTERVAL);
        double seconds = (System.nanoTime() - startedNanos) / 1e9;
        values.put("held", listHeld ? 1.0 : 0.0);
        if (listHeld) {
            values.put("list_held_ms", seconds * 1e3);
            values.put("start_cpu_ms", relay.cpuMicros() / 1e3);
            values.put("start_whole_lists", (double) agent.wholeLists());
            values.put("start_mb", agent.bytesOut() / BYTES_PER_MB);
        } else {
            values.put("unheld_whole_lists_per_s", agent.wholeLists() / seconds);
            values.put("unheld_mb_per_s", agent.bytesOut() / BYTES_PER_MB / seconds);
            values.put("unheld_alive", relay.isAlive() ? 1.0 : 0.0);
            if (relay.isAlive()) {
                values.put("unheld_ready", relay.isReady() ? 1.0 : 0.0);
                values.put("unheld_cpu_percent", relay.cpuMicros() / 1e4 / seconds);
                values.put("unheld_peak_rss_mb", relay.peakRssBytes() / BYTES_PER_MB);
            }
        }
        return listHeld;
    }

    /** Measures the idle relay, and returns its processor time in microseconds per second. */
    private static double measureIdle(RelayProcess relay, StandInAgent agent, Map<String, Double> values)
        throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        long startedNanos = System.nanoTime();
        long cpuBefore = relay.cpuMicros();
        long bytesBefore = agent.bytesIn() + agent.bytesOut();
        TimeUnit.MILLISECONDS.sleep(IDLE_MS);
        double seconds = (System.nanoTime() - startedNanos) / 1e9;
        double idleMicrosPerSecond = (relay.cpuMicros() - cpuBefore) / seconds;
        values.put("idle_cpu_percent", idleMicrosPerSecond / 1e4);
        values.put("idle_bytes_per_s", (agent.bytesIn() + agent.bytesOut() - bytesBefore) / seconds);
        values.put("rss_mb", relay.rssBytes() / BYTES_PER_MB);
        return idleMicrosPerSecond;
    }

    /**
     * Makes one host after another drain, disappear, return and change its address, and measures the
     * processor time per change beyond that of the idle relay. Each change waits until the relay holds the
     * one before. Adds no values if a change does not arrive in time.
     *
     * @param name prefix of the values' names
     * @param gapMs additional pause after each change
     * @param idleMicrosPerSecond processor time of the idle relay
     */
    private static void measureChanges(String name, int count, long gapMs, RelayProcess relay,
                                       StandInAgent agent, Random random, double idleMicrosPerSecond,
                                       Map<String, Double> values)
        throws IOException, InterruptedException {
        long startedNanos = System.nanoTime();
        long cpuBefore = relay.cpuMicros();
        long bytesBefore = agent.bytesIn() + agent.bytesOut();
        int host = 0;
        for (int i = 0; i < count; i++) {
            if (i % 4 == 0) {
                host = random.nextInt(agent.catalog().totalHosts());
            }
            long version = switch (i % 4) {
                case 0 -> agent.changeHealth(host, HostCatalog.Health.DRAINING);
                case 1 -> agent.changeHealth(host, HostCatalog.Health.GONE);
                case 2 -> agent.changeHealth(host, HostCatalog.Health.READY);
                default -> agent.changeAddress(host, "10.200.0." + i + ":8081");
            };
            if (!agent.awaitHeld(version, CHANGE_TIMEOUT)) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(gapMs);
        }
        double seconds = (System.nanoTime() - startedNanos) / 1e9;
        values.put(name + "_cpu_ms",
            (relay.cpuMicros() - cpuBefore - idleMicrosPerSecond * seconds) / 1e3 / count);
        values.put(name + "_bytes", (agent.bytesIn() + agent.bytesOut() - bytesBefore) / (double) count);
    }

    /** Measures a restart after SIGKILL, with the state folder kept. */
    private static void measureRestart(RelayProcess relay, StandInAgent agent, Map<String, Double> values)
        throws IOException, InterruptedException {
        // Encodes the list now, so that the restarted relay does not wait for it.
        agent.catalog().wholeList();
        relay.kill();
        long wholeListsBefore = agent.wholeLists();
        long bytesBefore = agent.bytesOut();
        long startedNanos = System.nanoTime();
        relay.start();
        if (relay.awaitMemberCount(agent.catalog().listedCount(), LIST_TIMEOUT, POLL_INTERVAL)) {
            values.put("restart_held_ms", (System.nanoTime() - startedNanos) / 1e6);
        }
        values.put("restart_whole_lists", (double) agent.wholeLists() - wholeListsBefore);
        values.put("restart_mb", (agent.bytesOut() - bytesBefore) / BYTES_PER_MB);
    }
}
