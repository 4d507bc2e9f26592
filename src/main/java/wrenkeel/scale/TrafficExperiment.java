package wrenkeel.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import wrenkeel.scale.RelaySettings.Profile;
import wrenkeel.scale.RelaySettings.Tenant;

/**
 * Runs one real relay at a time between stand-in clients and stand-in destinations. It measures the cost of
 * an event (a message) depending on the event rate, or the cost of the number of destinations at a fixed
 * rate. All relays of a run start together and stay idle for a while, because a relay of a large fleet
 * delays its first calls to each destination; then they are measured one after another.
 *
 * <p>Assumed, not measured: the message classes with their lifetimes and shares, the tenants, the size of
 * bodies, the latency of destinations, and the skew of traffic over destinations. What can be varied is an
 * option.
 */
@Command(name = "traffic", mixinStandardHelpOptions = true,
    description = "One relay under traffic: processor time, journal bytes and memory by events per second or "
        + "destinations.")
final class TrafficExperiment implements Callable<Integer> {
    /** The quantity that the sizes of the experiment vary. */
    enum Vary { RATE, DESTINATIONS }

    /** The message classes in the relays' settings. */
    static final List<Profile> PROFILES = List.of(new Profile("notice", 1_500, 6_000, "dedup", 5_000),
        new Profile("query", 2_000, 9_000, "retryable", 0),
        new Profile("order", 2_500, 12_000, "fragile", 0));
    /** The same classes as the stand-in clients use them. */
    private static final List<Traffic.ClassShare> CLASSES = List.of(
        new Traffic.ClassShare("notice", 0.35, 6_000, true),
        new Traffic.ClassShare("query", 0.25, 9_000, false),
        new Traffic.ClassShare("order", 0.4, 12_000, true));
    private static final List<Traffic.TenantShare> TENANTS = List.of(
        new Traffic.TenantShare("casa-azul", 0.5),
        new Traffic.TenantShare("verde-lda", 0.3), new Traffic.TenantShare("outros", 0.2));
    /** Event rate of the whole fleet at the target size. */
    private static final double FLEET_EVENTS_PER_SECOND = 350_000;
    /** Each tenant's quota as a multiple of its share of the fleet's rate. */
    private static final double QUOTA_FACTOR = 1.5;
    /** Event loop threads of the stand-in destinations. */
    private static final int DESTINATION_THREADS = 2;
    /** Time after a measurement in which its messages may still be delivered. */
    private static final int DRAIN_MS = 2_000;
    /** Connections that the stand-in clients may open. */
    private static final int MAX_CONNECTIONS = 600;

    @Mixin
    private CommonOptions options;

    @Option(names = "--vary", defaultValue = "RATE", paramLabel = "WHAT",
        description = "Quantity that the sizes vary: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
    private Vary vary;

    @Option(names = "--rate", defaultValue = "152", paramLabel = "N",
        description = "Events per second when the number of destinations varies "
            + "(default: ${DEFAULT-VALUE}).")
    private double eventsPerSecond;

    @Option(names = "--destinations", defaultValue = "1000", paramLabel = "N",
        description = "Destinations when the rate varies, with 1.7 hosts each "
            + "(default: ${DEFAULT-VALUE}).")
    private int destinations;

    @Option(names = "--exponent", defaultValue = "0.85", paramLabel = "X",
        description = "Exponent of the Zipf distribution of traffic over destinations "
            + "(default: ${DEFAULT-VALUE}).")
    private double exponent;

    @Option(names = "--body-bytes", defaultValue = "300", paramLabel = "N",
        description = "Size of each message's body (default: ${DEFAULT-VALUE}).")
    private int bodyBytes;

    @Option(names = "--answer-ms", defaultValue = "250", paramLabel = "N",
        description = "Median time from a call to its answer, in ms (default: ${DEFAULT-VALUE}).")
    private long answerMillis;

    @Option(names = "--answer-sigma", defaultValue = "0.4", paramLabel = "X",
        description = "Standard deviation of the logarithm of that time (default: ${DEFAULT-VALUE}).")
    private double answerSigma;

    @Option(names = "--ports", defaultValue = "64", paramLabel = "N",
        description = "Ports of the stand-in destinations, shared by all hosts "
            + "(default: ${DEFAULT-VALUE}).")
    private int ports;

    @Option(names = "--down-ports", defaultValue = "0", paramLabel = "N",
        description = "Ports among these that refuse connections, each with its share of the hosts (default: "
            + "${DEFAULT-VALUE}).")
    private int downPorts;

    @Option(names = "--limit", defaultValue = "0", paramLabel = "N",
        description = "Calls per second that a port accepts before it answers 429; 0 for no limit (default: "
            + "${DEFAULT-VALUE}).")
    private double callsPerSecond;

    @Option(names = "--slots", defaultValue = "96", paramLabel = "N",
        description = "Calls that the relay may have in flight (default: ${DEFAULT-VALUE}).")
    private int callSlots;

    @Option(names = "--open", defaultValue = "1000", paramLabel = "N",
        description = "Messages that the relay may hold (default: ${DEFAULT-VALUE}).")
    private int maxMessages;

    @Option(names = "--disk-mb", defaultValue = "3", paramLabel = "N",
        description = "Limit on the size of the relay's state folder, in MB (default: ${DEFAULT-VALUE}).")
    private double diskMb;

    @Option(names = "--relays", defaultValue = "2300", paramLabel = "N",
        description = "Size of the fleet in the relay's settings (default: ${DEFAULT-VALUE}).")
    private int relays;

    @Option(names = "--settle-seconds", defaultValue = "60", paramLabel = "N",
        description = "Idle time of all relays before the first play, in seconds "
            + "(default: ${DEFAULT-VALUE}).")
    private long settleSeconds;

    @Option(names = "--warm-up-seconds", defaultValue = "8", paramLabel = "N",
        description = "Seconds of traffic before each play; twice as long before a relay's first "
            + "(default: ${DEFAULT-VALUE}).")
    private long warmUpSeconds;

    @Option(names = "--play-seconds", defaultValue = "10", paramLabel = "N",
        description = "Length of a play, in seconds (default: ${DEFAULT-VALUE}).")
    private long playSeconds;

    @Override
    public Integer call() throws Exception {
        return TimeLimit.runWithin(options.maxSeconds(), this::run);
    }

    private int run() throws IOException, InterruptedException {
        List<Long> sizes = vary == Vary.RATE ? options.sizes(50L, 152L, 300L, 456L, 1_000L)
            : options.sizes(20L, 1_000L, 10_000L, 20_000L, 100_000L);
        EndpointModel.Behaviour behaviour = EndpointModel.Behaviour
            .unlimited(answerMillis * 1_000, answerSigma)
            .with(new EndpointModel.Limit(callsPerSecond, 1_000, true, false));
        List<LoadedRelay> loaded = new ArrayList<>();
        try (Report report = new Report("traffic", options);
             StandInDestinations standIns = new StandInDestinations(ports, behaviour, 1, DESTINATION_THREADS,
                 options.seed(0), System::nanoTime)) {
            List<Integer> dialPorts = standIns.ports();
            for (int i = 0; i < Math.min(ports, downPorts); i++) {
                standIns.setMode(i, EndpointModel.Mode.REFUSING);
            }
            try {
                startRelays(sizes, dialPorts, report, loaded);
                TimeUnit.SECONDS.sleep(settleSeconds);
                for (LoadedRelay relay : List.copyOf(loaded)) {
                    playAll(relay, vary == Vary.RATE ? sizes : List.of(relay.size), standIns, report);
                    relay.close();
                    loaded.remove(relay);
                }
                report.finish(options.target(vary == Vary.RATE ? 456 : 190_000));
            } finally {
                for (LoadedRelay relay : loaded) {
                    relay.close();
                }
            }
        }
        return 0;
    }

    /**
     * Starts the relays: one for each play, which is measured at all rates, or one for each play and number
     * of destinations.
     */
    private void startRelays(List<Long> sizes, List<Integer> ports, Report report, List<LoadedRelay> loaded)
        throws IOException, InterruptedException {
        List<Long> lists = new ArrayList<>(vary == Vary.RATE ? List.of((long) destinations) : sizes);
        for (int play = 0; play < options.plays(); play++) {
            for (long count : List.copyOf(lists)) {
                LoadedRelay relay = new LoadedRelay(options.root(), settings(), count, play,
                    options.seed(play), ports);
                loaded.add(relay);
                if (!relay.start()) {
                    // The relay did not obtain the list and would request it endlessly during other plays.
                    // One try is enough, so later plays leave this size out.
                    lists.remove(count);
                    loaded.remove(relay);
                    report.add(new Measurement("traffic", vary == Vary.RATE ? sizes.get(0) : count, play,
                        options.seed(play), relay.valuesWithoutList()));
                    relay.close();
                }
            }
        }
    }

    /** The settings of each relay. */
    private RelaySettings settings() {
        List<Tenant> tenants = TENANTS.stream()
            .map(tenant -> new Tenant(tenant.name(),
                tenant.share() * FLEET_EVENTS_PER_SECOND * QUOTA_FACTOR)).toList();
        return RelaySettings.typical("n1").withRelays(relays).withProfiles(PROFILES).withDisk(diskMb)
            .withCalls(callSlots, maxMessages).withTenants(tenants);
    }

    /** Measures one relay at each of these sizes. */
    private void playAll(LoadedRelay relay, List<Long> sizes, StandInDestinations standIns, Report report)
        throws IOException, InterruptedException {
        Traffic traffic = new Traffic(relay.destinationCount(), exponent, bodyBytes, CLASSES, TENANTS,
            MAX_CONNECTIONS);
        try (StandInClients clients =
                new StandInClients(relay.process().clientAddress(), traffic, relay.seed)) {
            boolean first = true;
            for (long size : sizes) {
                clients.setRate(vary == Vary.RATE ? size : eventsPerSecond);
                TimeUnit.SECONDS.sleep(first ? 2 * warmUpSeconds : warmUpSeconds);
                first = false;
                report.add(new Measurement("traffic", size, relay.play, relay.seed,
                    play(relay, clients, standIns)));
            }
        }
    }

    /**
     * Runs one measurement. Traffic is already flowing; counted are the messages due during the play, and
     * their results.
     */
    private Map<String, Double> play(LoadedRelay relay, StandInClients clients, StandInDestinations standIns)
        throws IOException, InterruptedException {
        SubmissionCounts counts = new SubmissionCounts();
        Deliveries deliveries = new Deliveries(clients.startCounting(counts));
        standIns.setObserver(deliveries);
        Reading before = Reading.read(relay, clients, standIns);
        TimeUnit.SECONDS.sleep(playSeconds);
        Reading after = Reading.read(relay, clients, standIns);
        deliveries.endBefore(clients.startCounting(new SubmissionCounts()));
        clients.setRate(0);
        TimeUnit.MILLISECONDS.sleep(DRAIN_MS);
        Map<String, Double> values = new LinkedHashMap<>();
        values.put("held", 1.0);
        addCosts(before, after, counts.due(), values);
        addOutcomes(counts, deliveries, values);
        values.put("given_up_percent", percent(after.givenUp() - before.givenUp(), counts.accepted()));
        values.put("handed_back_percent",
            percent(after.handedBack() - before.handedBack(), counts.accepted()));
        values.put("pending_messages", (double) relay.process().telemetry().longValue("pending"));
        values.put("rss_mb", relay.process().rssBytes() / 1e6);
        values.put("peak_rss_mb", relay.process().peakRssBytes() / 1e6);
        return values;
    }

    /** Adds the resource use between two readings. */
    private static void addCosts(Reading before, Reading after, long events, Map<String, Double> values) {
        double seconds = (after.nanos() - before.nanos()) / 1e9;
        double cpuMicros = after.cpuMicros() - before.cpuMicros();
        values.put("events_per_s", events / seconds);
        values.put("cpu_percent", cpuMicros / seconds / 1e4);
        values.put("cpu_ms_per_event", cpuMicros / 1e3 / events);
        values.put("busiest_thread_percent",
            busiestThreadNanos(before.threads(), after.threads()) / seconds / 1e7);
        values.put("journal_bytes_per_event",
            (double) (after.journalBytes() - before.journalBytes()) / events);
        values.put("calls_per_event", (double) (after.calls() - before.calls()) / events);
        values.put("connections_per_event",
            (double) (after.acceptedConnections() - before.acceptedConnections()) / events);
        values.put("turned_away_per_event", (double) (after.refusedCalls() - before.refusedCalls()) / events);
    }

    /** Adds what became of the messages, and latencies. */
    private static void addOutcomes(SubmissionCounts counts, Deliveries deliveries,
                                    Map<String, Double> values) {
        values.put("taken_percent", percent(counts.accepted(), counts.due()));
        values.put("refused_percent", percent(counts.refused(), counts.due()));
        values.put("unanswered_percent", percent(counts.timedOut(), counts.due()));
        values.put("otherwise_percent",
            percent(counts.failed() + counts.connectionsLost() + counts.notSent(), counts.due()));
        values.put("delivered_percent", percent(deliveries.deliveredCount(), counts.due()));
        values.put("duplicates_percent", percent(deliveries.duplicates(), counts.due()));
        values.put("handed_in_late_p99_ms", counts.submissionDelayMillis(99));
        values.put("answer_p50_ms", counts.answerMillis(50));
        values.put("answer_p99_ms", counts.answerMillis(99));
        values.put("call_p50_ms", deliveries.callMillis(50));
        values.put("call_p99_ms", deliveries.callMillis(99));
        values.put("delivery_p50_ms", deliveries.deliveryMillis(50));
        values.put("delivery_p99_ms", deliveries.deliveryMillis(99));
    }

    private static double percent(long part, long all) {
        return all == 0 ? 0 : 100.0 * part / all;
    }

    /** Processor time, between two readings, of the thread that used the most. */
    static long busiestThreadNanos(Map<String, Long> before, Map<String, Long> after) {
        Map<String, Long> spent = new HashMap<>(after);
        spent.replaceAll((thread, nanos) -> nanos - before.getOrDefault(thread, 0L));
        return spent.values().stream().mapToLong(nanos -> nanos).max().orElse(0);
    }

    /**
     * All counters at one time. {@code journalBytes}: bytes that the relay wrote, minus those that its
     * peers received; the difference is its journal and a few log lines.
     */
    private record Reading(long nanos, long cpuMicros, Map<String, Long> threads, long journalBytes,
                           long calls, long acceptedConnections, long refusedCalls, long givenUp,
                           long handedBack) {
        /** Reads all counters. */
        static Reading read(LoadedRelay relay, StandInClients clients, StandInDestinations standIns)
            throws IOException {
            RelayProcess process = relay.process();
            long toPeers = clients.bytesIn() + standIns.bytesIn() + relay.agent().bytesIn();
            return new Reading(System.nanoTime(), process.cpuMicros(), process.threadNanos(),
                process.writtenBytes() - toPeers, standIns.calls(), standIns.acceptedConnections(),
                standIns.refusedCalls(), relay.failedMessages(), relay.returnedMessages());
        }
    }
}
