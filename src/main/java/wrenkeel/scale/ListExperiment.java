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
 * One real relay beside an agent whose list holds so many hosts, and nothing else on the wire. A relay that
 * never holds its list is a result, not a fault: its plays have {@code held} 0, what it did meanwhile, and no
 * other value.
 */
@Command(name = "list", mixinStandardHelpOptions = true,
    description = "One relay and a list of so many hosts: memory, processor time, bytes, start and restart.")
final class ListExperiment implements Callable<Integer> {
    private static final Duration HELD_WITHIN = Duration.ofSeconds(15), LOOK = Duration.ofMillis(20),
        CHANGE_WITHIN = Duration.ofSeconds(10);
    /** ms: from the list held until the idle time is measured, that time, and from one change to the next. */
    private static final long SETTLE = 1_500, IDLE = 8_000, CHANGE_GAP = 100;
    /** Changes measured one by one, and one right after another. */
    private static final int CHANGES = 20, RAPID_CHANGES = 200;
    private static final double MB = 1e6;

    @Mixin
    private CommonOptions options;

    @Option(names = "--known",
        description = "The configuration holds the list already, and nothing has changed since.")
    private boolean known;

    @Override
    public Integer call() throws Exception {
        return TimeLimit.runWithin(options.maxSeconds(), this::run);
    }

    private int run() throws IOException, InterruptedException {
        List<Long> sizes = options.sizes(20L, 1_000L, 10_000L, 40_000L, 100_000L, 323_000L);
        try (Report report = new Report("list", options)) {
            // Plays outside, sizes inside: what drifts on the machine shows as spread, not as a slope.
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
        byte[] list = catalog.whole();
        values.put("list_mb", list.length / MB);
        try (StandInAgent agent = new StandInAgent(catalog);
             RelayProcess relay = new RelayProcess(options.root(), RelaySettings.typical("n1"),
                 agent.address(), known ? list : null)) {
            if (start(relay, agent, values)) {
                double idle = idle(relay, agent, values);
                Random random = new Random(seed);
                changes("first_change", CHANGES, CHANGE_GAP, relay, agent, random, idle, values);
                changes("rapid_change", RAPID_CHANGES, 0, relay, agent, random, idle, values);
                // Here its code is compiled as after an hour or two of the target's 3,100 changes a day.
                changes("change", CHANGES, CHANGE_GAP, relay, agent, random, idle, values);
                values.put("peak_rss_mb", relay.peakRssBytes() / MB);
                restart(relay, agent, values);
            }
        }
        return values;
    }

    /** From the command until the console tells of all hosts; false where that takes too long. */
    private boolean start(RelayProcess relay, StandInAgent agent, Map<String, Double> values)
        throws IOException, InterruptedException {
        long begun = System.nanoTime();
        relay.start();
        boolean held = relay.awaitMembers(agent.catalog().listed(), HELD_WITHIN, LOOK);
        double seconds = (System.nanoTime() - begun) / 1e9;
        values.put("held", held ? 1.0 : 0.0);
        if (held) {
            values.put("list_held_ms", seconds * 1e3);
            values.put("start_cpu_ms", relay.cpuMicros() / 1e3);
            values.put("start_whole_lists", (double) agent.wholeLists());
            values.put("start_mb", agent.bytesOut() / MB);
        } else {
            values.put("unheld_whole_lists_per_s", agent.wholeLists() / seconds);
            values.put("unheld_mb_per_s", agent.bytesOut() / MB / seconds);
            values.put("unheld_alive", relay.alive() ? 1.0 : 0.0);
            if (relay.alive()) {
                values.put("unheld_ready", relay.ready() ? 1.0 : 0.0);
                values.put("unheld_cpu_percent", relay.cpuMicros() / 1e4 / seconds);
                values.put("unheld_peak_rss_mb", relay.peakRssBytes() / MB);
            }
        }
        return held;
    }

    /** Nothing happens; the processor time, us a second. */
    private static double idle(RelayProcess relay, StandInAgent agent, Map<String, Double> values)
        throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(SETTLE);
        long begun = System.nanoTime();
        long cpu = relay.cpuMicros();
        long bytes = agent.bytesIn() + agent.bytesOut();
        TimeUnit.MILLISECONDS.sleep(IDLE);
        double seconds = (System.nanoTime() - begun) / 1e9;
        double idle = (relay.cpuMicros() - cpu) / seconds;
        values.put("idle_cpu_percent", idle / 1e4);
        values.put("idle_bytes_per_s", (agent.bytesIn() + agent.bytesOut() - bytes) / seconds);
        values.put("rss_mb", relay.rssBytes() / MB);
        return idle;
    }

    /**
     * One host after another drains, goes, comes back and moves, each change not before the relay holds the
     * last one: the processor time of each beyond that of idling.
     *
     * @param gap ms besides, from one to the next
     * @param idle processor time, us a second
     */
    private static void changes(String name, int count, long gap, RelayProcess relay, StandInAgent agent,
                                Random random, double idle, Map<String, Double> values)
        throws IOException, InterruptedException {
        long begun = System.nanoTime();
        long cpu = relay.cpuMicros();
        long bytes = agent.bytesIn() + agent.bytesOut();
        int host = 0;
        for (int i = 0; i < count; i++) {
            if (i % 4 == 0) {
                host = random.nextInt(agent.catalog().size());
            }
            long version = switch (i % 4) {
                case 0 -> agent.change(host, HostCatalog.Health.DRAINING);
                case 1 -> agent.change(host, HostCatalog.Health.GONE);
                case 2 -> agent.change(host, HostCatalog.Health.READY);
                default -> agent.move(host, "10.200.0." + i + ":8081");
            };
            if (!agent.awaitHeld(version, CHANGE_WITHIN)) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(gap);
        }
        double seconds = (System.nanoTime() - begun) / 1e9;
        values.put(name + "_cpu_ms", (relay.cpuMicros() - cpu - idle * seconds) / 1e3 / count);
        values.put(name + "_bytes", (agent.bytesIn() + agent.bytesOut() - bytes) / (double) count);
    }

    /** SIGKILL, and a start with the folder that lasts. */
    private static void restart(RelayProcess relay, StandInAgent agent, Map<String, Double> values)
        throws IOException, InterruptedException {
        // Encoded before, so that no relay waits for it.
        agent.catalog().whole();
        relay.kill();
        long lists = agent.wholeLists();
        long bytes = agent.bytesOut();
        long begun = System.nanoTime();
        relay.start();
        if (relay.awaitMembers(agent.catalog().listed(), HELD_WITHIN, LOOK)) {
            values.put("restart_held_ms", (System.nanoTime() - begun) / 1e6);
        }
        values.put("restart_whole_lists", (double) agent.wholeLists() - lists);
        values.put("restart_mb", (agent.bytesOut() - bytes) / MB);
    }
}
