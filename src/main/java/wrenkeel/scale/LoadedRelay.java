package wrenkeel.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * One real relay with its own agent, for experiments with traffic. The hosts of the agent's list share a few
 * ports, where stand-in destinations listen.
 */
final class LoadedRelay implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    private static final double HOSTS_PER_DESTINATION = 1.7;

    /** Number of destinations that was asked for; the size of the experiment's play. */
    final long size;
    /** Number of the play. */
    final int play;
    /** Seed of the play. */
    final long seed;
    private final HostCatalog catalog;
    private final LongAdder failedMessages = new LongAdder();
    private final LongAdder returnedMessages = new LongAdder();
    private final StandInAgent agent;
    private final RelayProcess process;
    private double startSeconds;

    /**
     * Starts the agent and writes the relay's configuration; {@link #start} starts the relay.
     *
     * @param destinations number of destinations in the list, at 1.7 hosts each
     * @param ports loopback ports, assigned to the hosts in turn
     */
    LoadedRelay(Path root, RelaySettings settings, long destinations, int play, long seed,
                List<Integer> ports)
        throws IOException, InterruptedException {
        this.size = destinations;
        this.play = play;
        this.seed = seed;
        catalog = new HostCatalog((int) Math.round(destinations * HOSTS_PER_DESTINATION), seed,
            host -> "127.0.0.1:" + ports.get(host % ports.size()));
        agent = new StandInAgent(catalog, this::countNotice);
        process = new RelayProcess(root, settings, agent.address(), null);
    }

    private void countNotice(String line) {
        if (line.contains("\"given_up\"")) {
            failedMessages.increment();
        } else if (line.contains("\"handed_back\"")) {
            returnedMessages.increment();
        }
    }

    /** Starts the relay; returns false if it does not hold its list and serve clients in time. */
    boolean start() throws IOException, InterruptedException {
        long startedNanos = System.nanoTime();
        process.start();
        boolean listHeld = process.awaitMemberCount(catalog.listedCount(), START_TIMEOUT, POLL_INTERVAL)
            && process.awaitServing(START_TIMEOUT);
        startSeconds = (System.nanoTime() - startedNanos) / 1e9;
        return listHeld;
    }

    /** Returns the values to report if {@link #start} returned false. */
    Map<String, Double> valuesWithoutList() throws IOException {
        Map<String, Double> values = new LinkedHashMap<>();
        values.put("held", 0.0);
        values.put("unheld_cpu_percent", process.cpuMicros() / 1e4 / startSeconds);
        values.put("unheld_peak_rss_mb", process.peakRssBytes() / 1e6);
        values.put("unheld_whole_lists_per_s", agent.wholeLists() / startSeconds);
        return values;
    }

    /** Returns the number of destinations in the list. */
    int destinationCount() {
        return catalog.destinationCount();
    }

    RelayProcess process() {
        return process;
    }

    StandInAgent agent() {
        return agent;
    }

    /** Returns the number of notices of failed messages so far. */
    long failedMessages() {
        return failedMessages.sum();
    }

    /** Returns the number of notices of returned messages so far. */
    long returnedMessages() {
        return returnedMessages.sum();
    }

    @Override
    public void close() {
        try {
            process.close();
        } finally {
            agent.close();
        }
    }
}
