package wrenkeel.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * A run of real relays against one destination that has an outage and returns cold, in a drawn
 * {@link OutageShape}. The calls of all relays together in the cold time are compared with the destination's
 * {@link ColdStartBudget}. Not for several threads.
 */
final class OutageRun implements AutoCloseable {
    /**
     * What was observed.
     *
     * @param worstWindow the window of the cold time with the most calls compared with the budget
     * @param overload the first window over the budget, if there is one
     * @param submitted messages that clients submitted
     * @param delivered messages that the destination answered with 200
     * @param callsInOutage calls that the destination received during outages
     */
    record Result(ColdStartBudget.WorstWindow worstWindow, Optional<ColdStartBudget.Overload> overload,
                  int submitted, int delivered, int callsInOutage) {
        /** Whether the destination would have failed again by calls of relays that knew of the outage. */
        boolean isBroken() {
            return overload.isPresent() && overload.get().isBroken();
        }
    }

    /** A call that the destination received. */
    private record ReceivedCall(int relay, long atMillis) { }

    /** A time in which the destination was out. */
    private record Outage(long fromMillis, long toMillis) {
        boolean contains(long millis) {
            return millis >= fromMillis && millis < toMillis;
        }
    }

    /** Time from a kill to the restart. */
    private static final long RESTART_DELAY_MS = 600;
    private static final long COLD_MS = Oracle.COLD_MS;
    private static final int RELAYS_PER_BUSY_RELAY = 10;
    /** Wait that a rejection asks for. */
    private static final long REJECTION_WAIT_MS = 500;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final int MAX_CONNECTIONS = 50, BODY_BYTES = 100, THREADS = 2;
    private static final long TARGET_TIME_MS = 3_000, CLIENT_TIMEOUT_MS = 400;
    private static final long ANSWER_DELAY_MICROS = 5_000;
    /** A message's sequence number has its relay's number above so many bits, and a counter below. */
    private static final int SEQUENCE_BITS = 32;
    private static final String MESSAGE_CLASS = "query";

    /** One relay with its clients. */
    private static final class RelayWithClients {
        final RelayProcess process;
        final StandInClients clients;
        /** Messages a second that its clients submit outside of quiet spells and bursts. */
        final double messagesPerSecond;

        RelayWithClients(RelayProcess process, StandInClients clients, double messagesPerSecond) {
            this.process = process;
            this.clients = clients;
            this.messagesPerSecond = messagesPerSecond;
        }
    }

    private final OutageShape shape;
    private final StandInDestinations destination;
    private final StandInAgent agent;
    private final List<RelayWithClients> relays = new ArrayList<>();
    private final List<ReceivedCall> calls = Collections.synchronizedList(new ArrayList<>());
    private final List<Outage> outages = new ArrayList<>();
    private final AtomicInteger submitted = new AtomicInteger();
    /** Sequence numbers of the messages that the destination has answered with 200. */
    private final Set<Long> deliveredSequences = ConcurrentHashMap.newKeySet();
    private final ExecutorService tasks = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "outage run");
        thread.setDaemon(true);
        return thread;
    });

    /** {@code root}: a built checkout of the repository, whose relay is run. */
    OutageRun(Path root, OutageShape shape) throws IOException, InterruptedException {
        this.shape = shape;
        destination = new StandInDestinations(1, EndpointModel.Behaviour.unlimited(ANSWER_DELAY_MICROS, 0), 1,
            THREADS, shape.seed(), System::nanoTime);
        destination.setObserver(new CallRecorder());
        agent = new StandInAgent(new HostCatalog(1, shape.seed(),
            host -> "127.0.0.1:" + destination.ports().get(host)), notice -> { });
        RelaySettings settings = RelaySettings.typical("n").withRelays(shape.relays()).withProfiles(List.of(
            new RelaySettings.Profile(MESSAGE_CLASS, TARGET_TIME_MS, shape.lifetimeMillis(), "retryable",
                0)));
        Traffic traffic = new Traffic(1, 0, BODY_BYTES,
            List.of(new Traffic.ClassShare(MESSAGE_CLASS, 1, shape.lifetimeMillis(), false)), List.of(),
            MAX_CONNECTIONS);
        int busyRelays = (shape.relays() + RELAYS_PER_BUSY_RELAY - 1) / RELAYS_PER_BUSY_RELAY;
        double trafficUnit = shape.messagesPerSecond()
            / (shape.relays() + busyRelays * (shape.busyFactor() - 1));
        for (int i = 0; i < shape.relays(); i++) {
            InetSocketAddress address = PortAllocator.allocate();
            RelayProcess process = new RelayProcess(root, settings.withName("n" + i), agent.address(), null,
                Map.of("EDGE_LISTEN", address.getAddress().getHostAddress() + ":" + address.getPort()));
            StandInClients clients = new StandInClients(address, traffic, shape.seed() + i, CLIENT_TIMEOUT_MS,
                (long) i << SEQUENCE_BITS, new ClientRecorder());
            relays.add(new RelayWithClients(process, clients,
                trafficUnit * (i % RELAYS_PER_BUSY_RELAY == 0 ? shape.busyFactor() : 1)));
        }
    }

    /** Runs the shape; returns after the last cold time. */
    Result run() throws IOException, InterruptedException, ExecutionException {
        runOnAll(relays, relay -> {
            start(relay.process);
            return null;
        });
        long firstOutageAt = nowMillis() + shape.startMillis();
        setTraffic(1);
        List<Future<?>> events = new ArrayList<>();
        events.add(at(firstOutageAt + shape.quietSpell().fromMillis(), () -> {
            if (shape.quietSpell().untilMillis() > shape.quietSpell().fromMillis()) {
                setTraffic(0);
            }
        }));
        events.add(at(firstOutageAt + shape.quietSpell().untilMillis(), () -> setTraffic(1)));
        if (shape.burst().seconds() > 0) {
            long burstAt = firstOutageAt + shape.burst().atMillis();
            double factor = 1 + shape.burst().seconds() * 1_000 / OutageShape.Burst.LENGTH_MILLIS;
            events.add(at(burstAt, () -> setTraffic(factor)));
            events.add(at(burstAt + OutageShape.Burst.LENGTH_MILLIS, () -> setTraffic(1)));
        }
        if (shape.restart().share() > 0) {
            events.add(at(firstOutageAt + shape.outageMillis() + shape.restart().afterReturnMillis(),
                this::killAndRestart));
        }
        for (int number = 0; number < shape.outageCount(); number++) {
            sleepUntilMillis(firstOutageAt + number * shape.intervalMillis());
            holdOutage();
        }
        sleepUntilMillis(lastReturnAt() + COLD_MS);
        for (Future<?> event : events) {
            event.get();
        }
        return result();
    }

    private void setTraffic(double factor) throws InterruptedException {
        for (RelayWithClients relay : relays) {
            relay.clients.setRate(factor * relay.messagesPerSecond);
        }
    }

    /** Puts the destination into an outage, and ends it as the shape says. */
    private void holdOutage() throws InterruptedException {
        long from = nowMillis();
        if (shape.failure() == OutageShape.Failure.REJECTED_WITH_WAIT) {
            for (long end = from + shape.outageMillis(); nowMillis() < end;) {
                destination.refuseFor(0, Math.min(REJECTION_WAIT_MS, end - nowMillis()));
                TimeUnit.MILLISECONDS.sleep(Math.max(1, Math.min(REJECTION_WAIT_MS, end - nowMillis()) - 1));
            }
        } else {
            destination.setMode(0, modeOf(shape.failure()));
            sleepUntilMillis(from + shape.outageMillis());
            destination.setMode(0, EndpointModel.Mode.SERVING);
            if (shape.failure() == OutageShape.Failure.NO_RESPONSE_THEN_RESET) {
                destination.closeConnections(0);
            }
        }
        outages.add(new Outage(from, nowMillis()));
    }

    /** Whether runs with real endpoints can play this failure. */
    static boolean canPlay(OutageShape.Failure failure) {
        return failure != OutageShape.Failure.CONNECTION_RESET
            && failure != OutageShape.Failure.NO_RESPONSE_THEN_ANSWERED;
    }

    private static EndpointModel.Mode modeOf(OutageShape.Failure failure) {
        return switch (failure) {
            case CONNECTION_REFUSED -> EndpointModel.Mode.REFUSING;
            case REJECTED -> EndpointModel.Mode.UNAVAILABLE;
            case ERROR_RESPONSE -> EndpointModel.Mode.FAILING;
            case NO_RESPONSE, NO_RESPONSE_THEN_RESET -> EndpointModel.Mode.SILENT;
            default -> throw new IllegalArgumentException("no endpoint fails by " + failure);
        };
    }

    private long lastReturnAt() {
        return outages.get(outages.size() - 1).toMillis;
    }

    /** Checks the time after the last outage. A relay that called during it counts as told. */
    private Result result() {
        List<ReceivedCall> all = List.copyOf(calls);
        Outage last = outages.get(outages.size() - 1);
        boolean unseenCalls = shape.failure() == OutageShape.Failure.CONNECTION_REFUSED;
        Set<Integer> told = new HashSet<>();
        all.stream().filter(call -> last.contains(call.atMillis)).forEach(call -> told.add(call.relay));
        List<ColdStartBudget.TimedCall> timedCalls = all.stream()
            .map(call -> new ColdStartBudget.TimedCall(call.atMillis,
                unseenCalls || told.contains(call.relay)))
            .sorted(Comparator.comparingLong(ColdStartBudget.TimedCall::atMillis)).toList();
        ColdStartBudget budget = new ColdStartBudget(shape.capacityPerSecond() * shape.limitFactor(),
            Oracle.COLD_CAPACITY_SHARE, COLD_MS, Oracle.OVERLOAD_MULTIPLE, Oracle.OVERLOAD_WINDOW_MS);
        int callsInOutage = (int) all.stream()
            .filter(call -> outages.stream().anyMatch(outage -> outage.contains(call.atMillis))).count();
        return new Result(budget.worstWindow(last.toMillis, timedCalls),
            budget.firstOverload(last.toMillis, timedCalls), submitted.get(), deliveredSequences.size(),
            callsInOutage);
    }

    private interface TimedEvent {
        void run() throws Exception;
    }

    /** Runs an event at a time, on a thread of its own. */
    private Future<?> at(long millis, TimedEvent event) {
        Callable<Void> task = () -> {
            sleepUntilMillis(millis);
            event.run();
            return null;
        };
        return tasks.submit(task);
    }

    private static void start(RelayProcess process) throws IOException, InterruptedException {
        process.start();
        if (!process.awaitServing(START_TIMEOUT)) {
            throw new IOException("a relay does not serve within " + START_TIMEOUT.toSeconds() + " s");
        }
    }

    /** Kills a share of the relays, the same ones for the same seed, and starts them again. */
    private void killAndRestart() throws InterruptedException, ExecutionException {
        List<RelayWithClients> shuffled = new ArrayList<>(relays);
        Collections.shuffle(shuffled, new Random(shape.seed()));
        int count = Math.max(1, (int) Math.round(shape.restart().share() * relays.size()));
        runOnAll(shuffled.subList(0, count), relay -> {
            relay.process.kill();
            TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS);
            start(relay.process);
            return null;
        });
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

    /** Writes the logs of all relays into a folder, which is created if necessary. */
    void saveLogs(Path target) throws IOException {
        Files.createDirectories(target);
        for (int i = 0; i < relays.size(); i++) {
            Files.writeString(target.resolve("relay-" + i + ".log"), relays.get(i).process.allLogs());
        }
    }

    private final class CallRecorder implements CallObserver {
        @Override
        public void callReceived(int endpoint, MessageId id, EndpointModel.Response verdict, long nowNanos) {
            calls.add(new ReceivedCall((int) (id.sequence() >> SEQUENCE_BITS),
                TimeUnit.NANOSECONDS.toMillis(nowNanos)));
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
