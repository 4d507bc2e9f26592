package wrenkeel.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import wrenkeel.scale.CallObserver;
import wrenkeel.scale.ClientObserver;
import wrenkeel.scale.EndpointModel;
import wrenkeel.scale.HostCatalog;
import wrenkeel.scale.MessageId;
import wrenkeel.scale.RelayProcess;
import wrenkeel.scale.RelaySettings;
import wrenkeel.scale.StandInAgent;
import wrenkeel.scale.StandInClients;
import wrenkeel.scale.StandInDestinations;
import wrenkeel.scale.Traffic;

/**
 * A run of real relays against one destination that has an outage and returns cold, while some of the relays
 * are killed and restarted. The result compares the calls of all relays together in the cold time with the
 * destination's {@link ColdStartBudget}. Not for several threads.
 */
final class OutageRun implements AutoCloseable {
    /**
     * What happens in a run.
     *
     * @param seed selects the relays that are killed and the random times of the messages
     * @param relays number of relays
     * @param messagesPerSecond messages a second that clients submit to all relays together
     * @param capacityPerSecond calls a second that the warm destination takes
     * @param outageStanding what the destination does with calls during the outage
     * @param outageMillis length of the outage
     * @param killFraction fraction of the relays that are killed, 0 to 1
     * @param killBeforeReturnMillis time from the kill to the end of the outage; negative for a later kill
     * @param keepsStateFolder whether the restarted relays have the state folder of the killed ones
     * @param secondKillAfterReturnMillis time from the end of the outage to a second kill of the same relays;
     *     0 for none
     */
    record Plan(long seed, int relays, double messagesPerSecond, double capacityPerSecond,
                EndpointModel.Mode outageStanding, long outageMillis, double killFraction,
                long killBeforeReturnMillis, boolean keepsStateFolder, long secondKillAfterReturnMillis) { }

    /**
     * What was observed.
     *
     * @param worstWindow the window of the cold time with the most calls compared with the budget
     * @param submitted messages that clients submitted
     * @param delivered messages that the destination answered with 200
     * @param callsInOutage calls that the destination received during the outage
     */
    record Result(ColdStartBudget.WorstWindow worstWindow, int submitted, int delivered,
                  int callsInOutage) { }

    /** Traffic before the outage. */
    private static final long WARM_UP_MS = 15_000;
    /** Time from a kill to the restart. */
    private static final long RESTART_DELAY_MS = 600;
    /** How the destination's capacity grows back; see {@link ColdStartBudget}. */
    private static final long COLD_MS = 10_000, OVERLOAD_WINDOW_MS = 2_000;
    private static final double COLD_CAPACITY_SHARE = 0.2, OVERLOAD_MULTIPLE = 2;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final int MAX_CONNECTIONS = 50, BODY_BYTES = 100, THREADS = 2;
    private static final long LIFETIME_MS = 28_000, TARGET_TIME_MS = 3_000, CLIENT_TIMEOUT_MS = 400;
    private static final long ANSWER_DELAY_MICROS = 5_000;
    /** A message's sequence number has its relay's number above so many bits, and a counter below. */
    private static final int SEQUENCE_BITS = 32;
    private static final String MESSAGE_CLASS = "query";

    /** One relay with its clients. */
    private static final class RelayWithClients {
        final RelayProcess process;
        final StandInClients clients;

        RelayWithClients(RelayProcess process, StandInClients clients) {
            this.process = process;
            this.clients = clients;
        }
    }

    private final Plan plan;
    private final StandInDestinations destination;
    private final StandInAgent agent;
    private final List<RelayWithClients> relays = new ArrayList<>();
    /** When the destination received each call. */
    private final List<Long> callMillis = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger submitted = new AtomicInteger();
    /** Sequence numbers of the messages that the destination has answered with 200. */
    private final Set<Long> deliveredSequences = ConcurrentHashMap.newKeySet();
    private final ExecutorService tasks = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "outage run");
        thread.setDaemon(true);
        return thread;
    });

    /** {@code root}: a built checkout of the repository, whose relay is run. */
    OutageRun(Path root, Plan plan) throws IOException, InterruptedException {
        this.plan = plan;
        destination = new StandInDestinations(1, EndpointModel.Behaviour.unlimited(ANSWER_DELAY_MICROS, 0), 1,
            THREADS, plan.seed, System::nanoTime);
        destination.setObserver(new CallRecorder());
        agent = new StandInAgent(new HostCatalog(1, plan.seed,
            host -> "127.0.0.1:" + destination.ports().get(host)), notice -> { });
        RelaySettings settings = RelaySettings.typical("n").withRelays(plan.relays).withProfiles(List.of(
            new RelaySettings.Profile(MESSAGE_CLASS, TARGET_TIME_MS, LIFETIME_MS, "retryable", 0)));
        Traffic traffic = new Traffic(1, 0, BODY_BYTES,
            List.of(new Traffic.ClassShare(MESSAGE_CLASS, 1, LIFETIME_MS, false)), List.of(),
            MAX_CONNECTIONS);
        for (int i = 0; i < plan.relays; i++) {
            InetSocketAddress address = PortAllocator.allocate();
            RelayProcess process = new RelayProcess(root, settings.withName("n" + i), agent.address(), null,
                Map.of("EDGE_LISTEN", address.getAddress().getHostAddress() + ":" + address.getPort()));
            relays.add(new RelayWithClients(process, new StandInClients(address, traffic, plan.seed + i,
                CLIENT_TIMEOUT_MS, (long) i << SEQUENCE_BITS, new ClientRecorder())));
        }
    }

    /** Runs the plan; returns after the cold time. */
    Result run() throws IOException, InterruptedException, ExecutionException {
        runOnAll(relays, relay -> {
            start(relay.process);
            return null;
        });
        for (RelayWithClients relay : relays) {
            relay.clients.setRate(plan.messagesPerSecond / plan.relays);
        }
        TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
        int callsBefore = callMillis.size();
        destination.setMode(0, plan.outageStanding);
        long returnAt = nowMillis() + plan.outageMillis;
        Future<?> restarts = tasks.submit(() -> {
            killAndRestart(returnAt - plan.killBeforeReturnMillis);
            if (plan.secondKillAfterReturnMillis > 0) {
                killAndRestart(returnAt + plan.secondKillAfterReturnMillis);
            }
            return null;
        });
        sleepUntilMillis(returnAt);
        int callsInOutage = callMillis.size() - callsBefore;
        destination.setMode(0, EndpointModel.Mode.SERVING);
        long returned = nowMillis();
        sleepUntilMillis(returned + COLD_MS);
        restarts.get();
        ColdStartBudget budget = new ColdStartBudget(plan.capacityPerSecond, COLD_CAPACITY_SHARE, COLD_MS,
            OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MS);
        return new Result(budget.worstWindow(returned, List.copyOf(callMillis)), submitted.get(),
            deliveredSequences.size(), callsInOutage);
    }

    private static void start(RelayProcess process) throws IOException, InterruptedException {
        process.start();
        if (!process.awaitServing(START_TIMEOUT)) {
            throw new IOException("a relay does not serve within " + START_TIMEOUT.toSeconds() + " s");
        }
    }

    /** Kills a fraction of the relays, the same ones for the same seed, and starts them again. */
    private void killAndRestart(long killAt) throws InterruptedException, ExecutionException {
        List<RelayWithClients> shuffled = new ArrayList<>(relays);
        Collections.shuffle(shuffled, new Random(plan.seed));
        sleepUntilMillis(killAt);
        runOnAll(shuffled.subList(0, (int) Math.round(plan.killFraction * relays.size())), relay -> {
            relay.process.kill();
            if (!plan.keepsStateFolder) {
                deleteContents(relay.process.stateFolder());
            }
            TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS);
            start(relay.process);
            return null;
        });
    }

    private static void deleteContents(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path file : all.sorted(Comparator.reverseOrder()).filter(f -> !f.equals(folder)).toList()) {
                Files.delete(file);
            }
        }
    }

    /** A step that may throw; it returns null. */
    private interface RelayTask {
        Void run(RelayWithClients relay) throws Exception;
    }

    /** Runs a step for all given relays in parallel and waits for the last. */
    private void runOnAll(List<RelayWithClients> selected, RelayTask task)
        throws InterruptedException, ExecutionException {
        for (Future<?> result : tasks.invokeAll(selected.stream()
                .map(relay -> (Callable<Void>) () -> task.run(relay)).toList())) {
            result.get();
        }
    }

    /** The clock of all times of a run, which is also that of the stand-in destination. */
    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static void sleepUntilMillis(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, millis - nowMillis()));
    }

    /** The logs of all relays, one text a relay with its processes in the order of their starts. */
    List<String> logs() throws IOException {
        List<String> all = new ArrayList<>();
        for (RelayWithClients relay : relays) {
            all.add(relay.process.allLogs());
        }
        return all;
    }

    private final class CallRecorder implements CallObserver {
        @Override
        public void callReceived(int endpoint, MessageId id, EndpointModel.Response verdict, long nowNanos) {
            callMillis.add(TimeUnit.NANOSECONDS.toMillis(nowNanos));
        }

        @Override
        public void messageDelivered(int endpoint, MessageId id, long nowNanos) {
            deliveredSequences.add(id.sequence());
        }
    }

    private final class ClientRecorder implements ClientObserver {
        @Override
        public void submitted(MessageId id, Traffic.ClassShare kind, int to) {
            submitted.incrementAndGet();
        }

        @Override
        public void submissionEnded(MessageId id, Result ending, int status, boolean written) {
            // The result depends only on what the destination receives.
        }
    }

    @Override
    public void close() {
        relays.forEach(relay -> {
            relay.clients.close();
            relay.process.close();
        });
        agent.close();
        destination.close();
        tasks.shutdownNow();
    }
}
