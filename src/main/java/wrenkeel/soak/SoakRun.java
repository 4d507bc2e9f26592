package wrenkeel.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import wrenkeel.Wire;
import wrenkeel.scale.CallObserver;
import wrenkeel.scale.ClientObserver;
import wrenkeel.scale.EndpointModel;
import wrenkeel.scale.HostCatalog;
import wrenkeel.scale.MessageId;
import wrenkeel.scale.RelaySettings;
import wrenkeel.scale.Shutdown;
import wrenkeel.scale.StandInAgent;
import wrenkeel.scale.StandInClients;
import wrenkeel.scale.StandInDestinations;
import wrenkeel.scale.Traffic;

/**
 * One run of the soak for one seed: starts relays, stand-ins and the links between them, injects the faults
 * of the schedule into them, and lets the oracle check the history. Each fault runs on a thread of its own.
 */
final class SoakRun implements AutoCloseable {
    /** Number of endpoints; there are 1.7 for each destination. */
    static final int ENDPOINTS = 24;
    /** Time from the start of the traffic within which clusters of faults begin. */
    static final int FAULT_PERIOD_MS = 12_000;
    /** Length of the traffic. */
    static final int TRAFFIC_MS = 16_000;
    /** Time after the traffic, and the last fault, in which all accepted messages must end. */
    private static final int TAIL_MS = 6_500;
    private static final double MESSAGES_PER_SECOND_PER_RELAY = 12;
    private static final int THREADS = 3, MAX_CONNECTIONS = 100, BODY_BYTES = 200;
    private static final long CLIENT_TIMEOUT_MS = 400, MEDIAN_ANSWER_MICROS = 25_000;
    /** Standard deviation of the logarithm of an endpoint's answer time. */
    private static final double ANSWER_SIGMA = 0.6;
    /** A message's sequence number has its relay's number above so many bits, and a counter below. */
    private static final int SEQUENCE_BITS = 32;
    /** Length of one stop of a process and of one delay of its writes. */
    private static final long STALL_MS = 150;
    /** Interval at which faults are repeated and the relays' processes are checked. */
    private static final long STEP_MS = 100;
    /** An endpoint's capacity as a multiple of the mean traffic to it. */
    private static final double CAPACITY_TO_TRAFFIC_RATIO = 1.5;
    /** One in so many endpoints sends a second copy of each response. */
    private static final int COPYING_ENDPOINT_STEP = 6;
    /** Longest time from a response to its copy. */
    private static final int MAX_COPY_DELAY_MS = 10;
    private static final int HOUR_SECONDS = 3_600;
    private static final List<RelaySettings.Profile> PROFILES = List.of(
        new RelaySettings.Profile("notice", 1_000, 4_000, "dedup", 3_000),
        new RelaySettings.Profile("query", 800, 2_000, "retryable", 0),
        new RelaySettings.Profile("order", 1_000, 4_000, "fragile", 0));
    private static final List<Traffic.ClassShare> CLASS_SHARES = List.of(
        new Traffic.ClassShare("notice", 0.3, 4_000, true),
        new Traffic.ClassShare("query", 0.3, 2_000, false),
        new Traffic.ClassShare("order", 0.4, 4_000, false));

    private final long seed;
    private final Schedule schedule;
    private final Path tempFolder;
    private final History history = new History();
    private final EventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final ExecutorService tasks = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "soak");
        thread.setDaemon(true);
        return thread;
    });
    private final StandInDestinations destinations;
    private final StandInAgent agent;
    private final Traffic traffic;
    /** By endpoint number: the link through which all relays reach it. */
    private final List<FaultProxy> endpointLinks = new ArrayList<>();
    private final List<RelayHandle> relays = new ArrayList<>();
    private final List<StandInClients> clients = new ArrayList<>();
    /** Endpoints that are in an outage now: a second outage of the same endpoint is skipped. */
    private final Set<Integer> endpointsInOutage = ConcurrentHashMap.newKeySet();
    /** Endpoints that are draining now: a second drain of the same endpoint is skipped. */
    private final Set<Integer> endpointsDraining = ConcurrentHashMap.newKeySet();
    /** Origin of the run's clock; until the traffic starts, the creation of this object. */
    private volatile long trafficStartNanos = System.nanoTime();

    /**
     * Compiles the shim and starts the stand-ins and links, but no relay yet.
     *
     * @param root a built checkout of the repository, whose relay is run
     * @param clusters number of clusters of faults
     * @param trace whether the relays log each step of each message
     */
    SoakRun(Path root, long seed, int relayCount, int clusters, boolean trace)
        throws IOException, InterruptedException {
        this.seed = seed;
        schedule = Schedule.generate(seed, relayCount, ENDPOINTS, clusters, FAULT_PERIOD_MS);
        tempFolder = Files.createTempDirectory("soak");
        Path library = Shim.compile(root, tempFolder);
        destinations = new StandInDestinations(ENDPOINTS,
            EndpointModel.Behaviour.unlimited(MEDIAN_ANSWER_MICROS, ANSWER_SIGMA), 1,
            THREADS, seed, System::nanoTime);
        for (int port : destinations.ports()) {
            endpointLinks.add(new FaultProxy(eventLoops, new java.net.InetSocketAddress("127.0.0.1", port)));
        }
        destinations.setObserver(new CallRecorder());
        HostCatalog catalog = new HostCatalog(ENDPOINTS, seed,
            host -> "127.0.0.1:" + endpointLinks.get(host).address().getPort());
        agent = new StandInAgent(catalog, this::recordNotice);
        traffic = new Traffic(catalog.destinationCount(), 0.5, BODY_BYTES, CLASS_SHARES, List.of(),
            MAX_CONNECTIONS);
        for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
            limitCapacity(endpoint, relayCount);
        }
        for (int endpoint = Math.floorMod(seed, COPYING_ENDPOINT_STEP); endpoint < ENDPOINTS;
                endpoint += COPYING_ENDPOINT_STEP) {
            destinations.copyResponses(endpoint, 1 + endpoint % MAX_COPY_DELAY_MS);
        }
        RelaySettings settings = RelaySettings.typical("n").withRelays(relayCount).withProfiles(PROFILES);
        for (int i = 0; i < relayCount; i++) {
            relays.add(new RelayHandle(i, root, tempFolder, library, settings.withName("n" + i), trace,
                agent.address(), eventLoops, this::nowMillis, history));
        }
    }

    /**
     * Limits the calls a second that an endpoint takes. After an outage it starts with a share of the limit,
     * which grows back in the cold time. Too many calls do not make it fail again: the oracle reports them.
     */
    private void limitCapacity(int endpoint, int relayCount) {
        int destination = HostCatalog.destinationOf(endpoint);
        long siblings = IntStream.range(0, ENDPOINTS)
            .filter(other -> HostCatalog.destinationOf(other) == destination).count();
        double meanCallsPerSecond = traffic.share(destination) * MESSAGES_PER_SECOND_PER_RELAY * relayCount
            / siblings;
        double capacity = CAPACITY_TO_TRAFFIC_RATIO * meanCallsPerSecond;
        history.recordCapacity(endpoint, capacity);
        destinations.setBehaviour(endpoint,
            EndpointModel.Behaviour.unlimited(MEDIAN_ANSWER_MICROS, ANSWER_SIGMA)
            .with(new EndpointModel.Limit(capacity, 1_000, false, false))
            .with(new EndpointModel.ColdStart(Oracle.COLD_CAPACITY_SHARE, Oracle.COLD_MS, 0,
                Oracle.OVERLOAD_WINDOW_MS, 0)));
    }

    Schedule schedule() {
        return schedule;
    }

    /** The run's clock: ms since the start of the traffic. */
    private long nowMillis() {
        return (System.nanoTime() - trafficStartNanos) / 1_000_000;
    }

    /** Converts a time of {@link System#nanoTime} to the run's clock. */
    private long toMillis(long nanos) {
        return (nanos - trafficStartNanos) / 1_000_000;
    }

    /** Starts the relays, runs traffic and faults, and returns the violations that were found. */
    List<Finding> run() throws InterruptedException, ExecutionException {
        awaitAll(relays.stream().map(relay -> tasks.submit(relay::start)).toList());
        trafficStartNanos = System.nanoTime();
        for (RelayHandle relay : relays) {
            StandInClients relayClients = new StandInClients(relay.address, traffic, seed + relay.number,
                CLIENT_TIMEOUT_MS, (long) relay.number << SEQUENCE_BITS, new ClientRecorder());
            clients.add(relayClients);
            relayClients.setRate(MESSAGES_PER_SECOND_PER_RELAY);
        }
        Future<?> watcher = tasks.submit(this::watchRelays);
        List<Future<?>> injections = new ArrayList<>();
        for (Fault fault : schedule.faults()) {
            injections.add(tasks.submit(() -> {
                TimeUnit.MILLISECONDS.sleep(Math.max(0, fault.startMillis() - nowMillis()));
                inject(fault);
                return null;
            }));
        }
        TimeUnit.MILLISECONDS.sleep(Math.max(0, TRAFFIC_MS - nowMillis()));
        for (StandInClients relayClients : clients) {
            relayClients.setRate(0);
        }
        awaitAll(injections);
        TimeUnit.MILLISECONDS.sleep(TAIL_MS);
        watcher.cancel(true);
        collectLoggedErrors();
        collectFailedReads();
        return Oracle.check(history);
    }

    /** Records which reads of connections to endpoints have failed. */
    private void collectFailedReads() {
        Map<Integer, Integer> endpointsByPort = new HashMap<>();
        for (int endpoint = 0; endpoint < endpointLinks.size(); endpoint++) {
            endpointsByPort.put(endpointLinks.get(endpoint).address().getPort(), endpoint);
        }
        for (RelayHandle relay : relays) {
            for (Shim.FailedRead read : relay.shim.failedReads()) {
                Integer endpoint = endpointsByPort.get(read.peerPort());
                if (endpoint != null) {
                    history.recordFailedRead(new History.FailedRead(relay.number, endpoint,
                        nowMillis() - read.agoMillis()));
                }
            }
        }
    }

    private static void awaitAll(List<? extends Future<?>> all)
        throws InterruptedException, ExecutionException {
        for (Future<?> task : all) {
            task.get();
        }
    }

    /** Looks for crashed relays until the thread is interrupted. */
    private void watchRelays() {
        while (!Thread.currentThread().isInterrupted()) {
            relays.forEach(RelayHandle::checkAlive);
            try {
                TimeUnit.MILLISECONDS.sleep(STEP_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Adds a finding for each violation or internal error that a relay itself has logged. */
    private void collectLoggedErrors() {
        for (RelayHandle relay : relays) {
            try {
                relay.logs().lines().filter(line -> line.matches(".* ERROR wrenkeel\\.net\\.\\w+ - "
                    + "(SENT_|REPEATED_|ENDED_|CLOSED_).*") || line.contains("could not carry out")
                    || line.contains("turn failed"))
                    // Notices may be late where a fault cut off the agent; the oracle checks them instead.
                    .filter(line -> !line.contains("ENDED_LATE")
                        || history.agentOutages(relay.number).isEmpty())
                    .forEach(line -> history.addFinding(new Finding("relay's own counter", nowMillis(),
                        "relay " + relay.number + ": " + line)));
            } catch (IOException e) {
                history.addFinding(new Finding("no log", nowMillis(), "relay " + relay.number + ": " + e));
            }
        }
    }

    /** Writes the logs of all relays and the schedule into a folder, which is created if necessary. */
    void saveLogs(Path target) throws IOException {
        Files.createDirectories(target);
        for (RelayHandle relay : relays) {
            Files.writeString(target.resolve("relay-" + relay.number + ".log"), relay.logs());
        }
        List<String> lines = schedule.faults().stream().map(Fault::toString).toList();
        Files.write(target.resolve("schedule.txt"), lines);
    }

    /** One line with the numbers of messages, calls and bad clients. */
    String summary() {
        List<History.Message> all = history.messages();
        long accepted = all.stream().filter(History.Message::isAccepted).count();
        long delivered = all.stream().filter(message -> !message.deliveries.isEmpty()).count();
        long refused = all.stream()
            .filter(message -> message.status == 429 || message.status == 503).count();
        return all.size() + " messages, " + accepted + " accepted, " + delivered + " delivered, " + refused
            + " refused, " + history.calls().size() + " calls, " + history.badClients().size()
            + " bad clients, " + history.failedReads().size() + " failed reads of endpoints' responses";
    }

    // ---- Faults ---------------------------------------------------------------------------------
    private interface FaultStep {
        void run() throws IOException, InterruptedException;
    }

    /** Applies a fault, returns once it is over, and records it. */
    private void inject(Fault fault) throws IOException, InterruptedException {
        if (fault.kind().target() == FaultKind.Target.RELAY) {
            long start = nowMillis();
            RelayHandle relay = relays.get(fault.targetNumber());
            applyFault(relay, fault);
            if (!fault.kind().endsProcess()) {
                recordFault(relay.number, fault.kind(), new History.Interval(start, nowMillis()));
            }
        } else {
            applyFault(fault.targetNumber(), fault);
        }
    }

    /** Records the fault of a relay where rules of the oracle take it into account. */
    private void recordFault(int relay, FaultKind kind, History.Interval interval) {
        switch (kind) {
            case READ_FAILS -> {
                history.readFailures(relay, interval);
                history.relayFaults(relay, interval);
                history.agentOutages(relay, interval);
            }
            case AGENT_RESETS -> {
                history.relayFaults(relay, interval);
                history.agentOutages(relay, interval);
            }
            case CROWD -> history.floods(relay, interval);
            case RELOAD, AGENT_SILENT, CONNECT_FAILS, SOCKET_FAILS, LATE_WRITES, PAUSES, SHORT_CALLS ->
                history.relayFaults(relay, interval);
            default -> { }
        }
    }

    /** Repeats a step with a pause in between for as long as the fault lasts. */
    private void repeat(Fault fault, long gapMillis, FaultStep step)
        throws IOException, InterruptedException {
        for (long end = nowMillis() + fault.durationMillis(); nowMillis() < end;) {
            step.run();
            TimeUnit.MILLISECONDS.sleep(gapMillis);
        }
    }

    /** Selects one of two values by the fault's random variant. */
    private static int select(Fault fault, int first, int second) {
        return fault.variant() % 2 == 0 ? first : second;
    }

    /** Lets the next one to three calls fail, anew every {@link #STEP_MS}, for as long as the fault lasts. */
    private void failCalls(RelayHandle relay, Fault fault, Shim.Word errno, int value, Shim.Word count)
        throws IOException, InterruptedException {
        relay.shim.set(errno, value);
        repeat(fault, STEP_MS, () -> relay.shim.set(count, 1 + fault.variant() % 3));
        relay.shim.set(count, 0);
    }

    /** Applies a fault to a relay and returns once it is over. */
    private void applyFault(RelayHandle relay, Fault fault) throws IOException, InterruptedException {
        Shim shim = relay.shim;
        switch (fault.kind()) {
            case KILL, TERMINATE, TERMINATE_TWICE, KILL_WHILE_LEAVING, SIGNAL_SERIES ->
                relay.restart(fault.kind());
            case RELOAD -> relay.reload();
            case PAUSES -> repeat(fault, 2 * STALL_MS, () -> relay.pause(STALL_MS));
            case CLOCK_FORWARD, CLOCK_BACK -> {
                int step = fault.kind() == FaultKind.CLOCK_FORWARD ? HOUR_SECONDS : -HOUR_SECONDS;
                shim.set(Shim.Word.WALL_STEP_S, step);
                TimeUnit.MILLISECONDS.sleep(fault.durationMillis());
                shim.set(Shim.Word.WALL_STEP_S, 0);
            }
            case ACCEPT_FAILS -> failCalls(relay, fault, Shim.Word.ACCEPT_ERRNO,
                select(fault, Shim.ENOBUFS, Shim.ENFILE), Shim.Word.ACCEPT_COUNT);
            case CONNECT_FAILS -> failCalls(relay, fault, Shim.Word.CONNECT_ERRNO,
                select(fault, Shim.EADDRNOTAVAIL, Shim.ENETUNREACH), Shim.Word.CONNECT_COUNT);
            case SOCKET_FAILS -> failCalls(relay, fault, Shim.Word.SOCKET_ERRNO,
                select(fault, Shim.ENFILE, Shim.ENOBUFS), Shim.Word.SOCKET_COUNT);
            case READ_FAILS -> failCalls(relay, fault, Shim.Word.READ_ERRNO,
                select(fault, Shim.ETIMEDOUT, Shim.EHOSTUNREACH), Shim.Word.READ_COUNT);
            case FOLDER_FULL, FOLDER_BREAKS -> failStateFolder(relay, fault);
            case SHORT_CALLS -> {
                shim.set(Shim.Word.SHORT_IO, 1);
                repeat(fault, STEP_MS, () -> shim.set(Shim.Word.EINTR_COUNT, 1));
                shim.set(Shim.Word.SHORT_IO, 0);
            }
            case LATE_WRITES -> {
                shim.set(Shim.Word.PAUSE_MS, (int) STALL_MS);
                repeat(fault, 2 * STALL_MS, () -> shim.set(Shim.Word.PAUSE_COUNT, 1));
            }
            case AGENT_SILENT ->
                repeat(fault, 15 * STEP_MS, () -> relay.currentAgentLink().freezeOpenConnections());
            case AGENT_RESETS -> {
                FaultProxy link = relay.currentAgentLink();
                link.setMode(FaultProxy.Mode.RESET);
                TimeUnit.MILLISECONDS.sleep(fault.durationMillis());
                link.setMode(FaultProxy.Mode.FORWARD);
            }
            case CROWD -> {
                try (ConnectionFlood crowd = new ConnectionFlood(relay.address)) {
                    TimeUnit.MILLISECONDS.sleep(fault.durationMillis());
                }
            }
            case BAD_CLIENTS -> repeat(fault, STEP_MS, () -> startBadClient(relay));
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    /** Starts a bad client on a thread of its own; the time selects what it sends. */
    private void startBadClient(RelayHandle relay) {
        BadClient.Payload[] payloads = BadClient.Payload.values();
        BadClient.Payload payload = payloads[(int) (nowMillis() / STEP_MS % payloads.length)];
        tasks.submit(new BadClient(relay.number, relay.address, payload, this::nowMillis, history));
    }

    /** Lets writes to the relay's state folder fail for as long as the fault lasts. */
    private void failStateFolder(RelayHandle relay, Fault fault) throws InterruptedException {
        boolean full = fault.kind() == FaultKind.FOLDER_FULL;
        relay.extendFolderFailure(nowMillis() + fault.durationMillis());
        relay.shim.set(Shim.Word.FILE_HALF, full ? 0 : 1);
        relay.shim.set(Shim.Word.FILE_ERRNO, full ? Shim.ENOSPC : Shim.EIO);
        TimeUnit.MILLISECONDS.sleep(fault.durationMillis());
        relay.shim.set(Shim.Word.FILE_ERRNO, 0);
        relay.extendFolderFailure(nowMillis());
    }

    /** Applies a fault to an endpoint or the link to it, returns once it is over, and records it. */
    private void applyFault(int endpoint, Fault fault) throws InterruptedException {
        FaultProxy link = endpointLinks.get(endpoint);
        long start = nowMillis();
        switch (fault.kind()) {
            case ENDPOINT_SILENT -> holdStanding(endpoint, EndpointModel.Mode.SILENT, fault);
            case ENDPOINT_DOWN -> holdStanding(endpoint, EndpointModel.Mode.REFUSING, fault);
            case ENDPOINT_FAILS -> holdStanding(endpoint, EndpointModel.Mode.FAILING, fault);
            case ENDPOINT_SHUT -> {
                destinations.refuseFor(endpoint, fault.durationMillis());
                return;
            }
            case ENDPOINT_DRAINS -> {
                if (!endpointsDraining.add(endpoint)) {
                    return;
                }
                agent.changeHealth(endpoint, HostCatalog.Health.DRAINING);
                TimeUnit.MILLISECONDS.sleep(fault.durationMillis());
                history.drains(endpoint, new History.Interval(start, nowMillis()));
                agent.changeHealth(endpoint, HostCatalog.Health.READY);
                endpointsDraining.remove(endpoint);
                return;
            }
            case LINK_SILENT -> holdMode(link, FaultProxy.Mode.STALL, fault);
            case LINK_CUTS -> holdMode(link, FaultProxy.Mode.TRUNCATE, fault);
            case LINK_LATE -> holdMode(link, FaultProxy.Mode.DELAY, fault);
            default -> throw new IllegalArgumentException(fault.toString());
        }
        history.recordLinkFault(endpoint, new History.Interval(start, nowMillis() + 1_000));
    }

    /** Puts an endpoint into an outage for as long as the fault lasts; skipped if it is in an outage. */
    private void holdStanding(int endpoint, EndpointModel.Mode standing, Fault fault)
        throws InterruptedException {
        if (!endpointsInOutage.add(endpoint)) {
            return;
        }
        long start = nowMillis();
        destinations.setMode(endpoint, standing);
        TimeUnit.MILLISECONDS.sleep(fault.durationMillis());
        destinations.setMode(endpoint, EndpointModel.Mode.SERVING);
        history.recordOutage(endpoint, new History.Interval(start, nowMillis()));
        endpointsInOutage.remove(endpoint);
    }

    /** Puts a link into a mode for as long as the fault lasts. */
    private static void holdMode(FaultProxy link, FaultProxy.Mode mode, Fault fault)
        throws InterruptedException {
        link.setMode(mode);
        TimeUnit.MILLISECONDS.sleep(fault.durationMillis());
        link.setMode(FaultProxy.Mode.FORWARD);
    }

    // ---- Records of the stand-ins ---------------------------------------------------------------
    /** The number of the relay to which a client sends the message. */
    private static int relayOf(MessageId id) {
        return (int) (id.sequence() >> SEQUENCE_BITS);
    }

    private final class ClientRecorder implements ClientObserver {
        @Override
        public void submitted(MessageId id, Traffic.ClassShare kind, int destination) {
            History.Effect effect = switch (kind.name()) {
                case "notice" -> History.Effect.KEYED;
                case "query" -> History.Effect.SAFE;
                default -> History.Effect.UNSAFE;
            };
            long dedupWindowMillis = PROFILES.get(0).windowMs();
            history.recordSubmission(new History.Message(id.text(), relayOf(id), destination, effect,
                dedupWindowMillis, toMillis(id.dueNanos()), kind.lifeMillis()));
        }

        @Override
        public void submissionEnded(MessageId id, Result ending, int status, boolean written) {
            history.recordRequestEnd(id.text(), status, ending == Result.CONNECTION_LOST && written,
                nowMillis());
        }
    }

    private final class CallRecorder implements CallObserver {
        @Override
        public void callReceived(int endpoint, MessageId id, EndpointModel.Response verdict, long nowNanos) {
            if (id == null) {
                history.addFinding(new Finding("made up", toMillis(nowNanos),
                    "a call with an id that no client wrote"));
                return;
            }
            // Status 0 is silence: the endpoint may have executed the message.
            boolean mayExecute = verdict.status() == 200 || verdict.status() == 0;
            history.recordCall(new History.Call(relayOf(id), endpoint, HostCatalog.destinationOf(endpoint),
                id.text(), toMillis(nowNanos), verdict.retryAfterMillis()), mayExecute);
            History.Message message = history.message(id.text());
            if (message == null || message.destination != HostCatalog.destinationOf(endpoint)) {
                history.addFinding(new Finding("made up", toMillis(nowNanos), "message " + id.text()
                    + " at endpoint " + endpoint));
            }
        }

        @Override
        public void messageDelivered(int endpoint, MessageId id, long nowNanos) {
            history.recordDelivery(id.text(), toMillis(nowNanos));
        }
    }

    /** Records a line of a notice that the agent has received. */
    private void recordNotice(String line) {
        try {
            Wire.Fields notice = Wire.decode(line);
            history.recordNotice(notice.text("message"), notice.text("outcome").equals("handed_back"),
                nowMillis());
        } catch (Wire.MalformedException e) {
            history.addFinding(new Finding("unreadable notice", nowMillis(), line));
        }
    }

    @Override
    public void close() {
        clients.forEach(StandInClients::close);
        relays.forEach(RelayHandle::close);
        endpointLinks.forEach(FaultProxy::close);
        agent.close();
        destinations.close();
        tasks.shutdownNow();
        Shutdown.now(eventLoops);
        try (Stream<Path> all = Files.walk(tempFolder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        } catch (IOException e) {
            System.err.println("cannot delete " + tempFolder + ": " + e);
        }
    }
}
