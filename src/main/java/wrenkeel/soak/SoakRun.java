package wrenkeel.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
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

/** One run: relays, stand-ins and links for one seed, with the schedule's troubles. */
final class SoakRun implements AutoCloseable {
    /** Endpoints, 1.7 a destination; ms in which troubles begin, and of traffic. */
    static final int ENDPOINTS = 24, TROUBLE_MILLIS = 12_000, TRAFFIC_MILLIS = 16_000;
    /** ms after the traffic in which all that was taken on has ended. */
    private static final int TAIL_MILLIS = 6_500;
    private static final double EVENTS_PER_SECOND = 12;
    private static final int THREADS = 3, CONNECTIONS_MOST = 100, BODY_BYTES = 200;
    private static final long CLIENT_PATIENCE = 400, ANSWER_MICROS = 25_000;
    private static final double ANSWER_SIGMA = 0.6;
    /** Bits of a message's sequence number below that of its relay. */
    private static final int RELAY_SHIFT = 32;
    private static final long PAUSE_MILLIS = 150, STEP_MILLIS = 100;
    /** What an endpoint takes, of what goes to it in the mean. */
    private static final double CAPACITY_OVER_TRAFFIC = 1.5;
    private static final int HOUR_SECONDS = 3_600;
    private static final List<RelaySettings.Profile> PROFILES = List.of(
        new RelaySettings.Profile("notice", 1_000, 4_000, "dedup", 3_000),
        new RelaySettings.Profile("query", 800, 2_000, "retryable", 0),
        new RelaySettings.Profile("order", 1_000, 4_000, "fragile", 0));
    private static final List<Traffic.ClassShare> CLASSES = List.of(
        new Traffic.ClassShare("notice", 0.3, 4_000, true),
        new Traffic.ClassShare("query", 0.3, 2_000, false),
        new Traffic.ClassShare("order", 0.4, 4_000, false));

    private final long seed;
    private final Schedule schedule;
    private final Path folder;
    private final History history = new History();
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final ExecutorService tasks = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "soak");
        thread.setDaemon(true);
        return thread;
    });
    private final StandInDestinations destinations;
    private final StandInAgent agent;
    private final Traffic traffic;
    private final List<FaultProxy> links = new ArrayList<>();
    private final List<RelayHandle> relays = new ArrayList<>();
    private final List<StandInClients> clients = new ArrayList<>();
    /** Endpoints that are out just now: one outage at a time. */
    private final Set<Integer> out = ConcurrentHashMap.newKeySet();
    /** The same for drains. */
    private final Set<Integer> draining = ConcurrentHashMap.newKeySet();
    private volatile long beganNanos = System.nanoTime();

    SoakRun(Path root, long seed, int relayCount, int clusters, boolean trace)
        throws IOException, InterruptedException {
        this.seed = seed;
        schedule = Schedule.of(seed, relayCount, ENDPOINTS, clusters, TROUBLE_MILLIS);
        folder = Files.createTempDirectory("soak");
        Path library = Shim.compile(root, folder);
        destinations = new StandInDestinations(ENDPOINTS, 
            EndpointModel.Behaviour.unlimited(ANSWER_MICROS, ANSWER_SIGMA), 1,
            THREADS, seed, System::nanoTime);
        for (int port : destinations.ports()) {
            links.add(new FaultProxy(loops, new java.net.InetSocketAddress("127.0.0.1", port)));
        }
        destinations.setObserver(new Calls());
        HostCatalog catalog = new HostCatalog(ENDPOINTS, seed,
            host -> "127.0.0.1:" + links.get(host).address().getPort());
        agent = new StandInAgent(catalog, this::noticed);
        traffic = new Traffic(catalog.destinations(), 0.5, BODY_BYTES, CLASSES, List.of(), CONNECTIONS_MOST);
        for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
            limit(endpoint, relayCount);
        }
        RelaySettings settings = RelaySettings.typical("n").withRelays(relayCount).withProfiles(PROFILES);
        for (int i = 0; i < relayCount; i++) {
            relays.add(new RelayHandle(i, root, folder, library, settings.named("n" + i), trace,
                agent.address(), loops, this::now, history));
        }
    }

    /** Gives an endpoint its limit, from which it falls in an outage and comes back to in its cold time. */
    private void limit(int endpoint, int relayCount) {
        int destination = HostCatalog.destination(endpoint);
        long siblings = IntStream.range(0, ENDPOINTS)
            .filter(other -> HostCatalog.destination(other) == destination).count();
        double mean = traffic.share(destination) * EVENTS_PER_SECOND * relayCount / siblings;
        double capacity = CAPACITY_OVER_TRAFFIC * mean;
        history.capacity(endpoint, capacity);
        destinations.setBehaviour(endpoint, EndpointModel.Behaviour.unlimited(ANSWER_MICROS, ANSWER_SIGMA)
            .with(new EndpointModel.Limit(capacity, 1_000, false, false))
            .with(new EndpointModel.ColdStart(Oracle.COLD_FROM, Oracle.COLD_MILLIS, 0, Oracle.TIP_MILLIS, 0)));
    }

    Schedule schedule() {
        return schedule;
    }

    /** ms since the traffic began. */
    private long now() {
        return (System.nanoTime() - beganNanos) / 1_000_000;
    }

    private long at(long nanos) {
        return (nanos - beganNanos) / 1_000_000;
    }

    /** Plays the schedule; what broke a rule. */
    List<Finding> play() throws InterruptedException, ExecutionException {
        await(relays.stream().map(relay -> tasks.submit(relay::start)).toList());
        beganNanos = System.nanoTime();
        for (RelayHandle relay : relays) {
            StandInClients own = new StandInClients(relay.address, traffic, seed + relay.number,
                CLIENT_PATIENCE, (long) relay.number << RELAY_SHIFT, new Clients());
            clients.add(own);
            own.setRate(EVENTS_PER_SECOND);
        }
        Future<?> looking = tasks.submit(this::look);
        List<Future<?>> troubles = new ArrayList<>();
        for (Trouble trouble : schedule.troubles()) {
            troubles.add(tasks.submit(() -> {
                TimeUnit.MILLISECONDS.sleep(Math.max(0, trouble.startMillis() - now()));
                make(trouble);
                return null;
            }));
        }
        TimeUnit.MILLISECONDS.sleep(Math.max(0, TRAFFIC_MILLIS - now()));
        for (StandInClients own : clients) {
            own.setRate(0);
        }
        await(troubles);
        TimeUnit.MILLISECONDS.sleep(TAIL_MILLIS);
        looking.cancel(true);
        readCounters();
        return Oracle.judge(history);
    }

    private static void await(List<? extends Future<?>> all) throws InterruptedException, ExecutionException {
        for (Future<?> one : all) {
            one.get();
        }
    }

    private void look() {
        while (!Thread.currentThread().isInterrupted()) {
            relays.forEach(RelayHandle::look);
            try {
                TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** The relays' own word: what their counters of broken rules have logged. */
    private void readCounters() {
        for (RelayHandle relay : relays) {
            try {
                relay.logs().lines().filter(line -> line.matches(".* ERROR wrenkeel\\.net\\.\\w+ - "
                    + "(SENT_|REPEATED_|ENDED_|CLOSED_).*") || line.contains("could not carry out")
                    || line.contains("turn failed"))
                    // Not where the links kept an end from the agent: the oracle judges those.
                    .filter(line -> !line.contains("ENDED_LATE") || history.untold(relay.number).isEmpty())
                    .forEach(line -> history.found(new Finding("relay's own counter", now(),
                        "relay " + relay.number + ": " + line)));
            } catch (IOException e) {
                history.found(new Finding("no log", now(), "relay " + relay.number + ": " + e));
            }
        }
    }

    /** Writes the logs of all relays into a folder. */
    void keepLogs(Path into) throws IOException {
        Files.createDirectories(into);
        for (RelayHandle relay : relays) {
            Files.writeString(into.resolve("relay-" + relay.number + ".log"), relay.logs());
        }
        List<String> lines = schedule.troubles().stream().map(Trouble::toString).toList();
        Files.write(into.resolve("schedule.txt"), lines);
    }

    String summary() {
        List<History.Message> all = history.messages();
        long taken = all.stream().filter(History.Message::takenOn).count();
        long delivered = all.stream().filter(m -> !m.delivered.isEmpty()).count();
        long refused = all.stream().filter(m -> m.status == 429 || m.status == 503).count();
        return all.size() + " messages, " + taken + " taken on, " + delivered + " delivered, " + refused
            + " refused, " + history.calls().size() + " calls, " + history.badPeers().size() + " bad peers";
    }

    // ---- Troubles -------------------------------------------------------------------------------
    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private void make(Trouble t) throws IOException, InterruptedException {
        if (t.kind().target() == TroubleKind.Target.RELAY) {
            long from = now();
            RelayHandle relay = relays.get(t.subject());
            trouble(relay, t);
            if (!t.kind().endsProcess()) {
                record(relay.number, t.kind(), new History.Span(from, now()));
            }
        } else {
            trouble(t.subject(), t);
        }
    }

    private void record(int relay, TroubleKind kind, History.Span span) {
        switch (kind) {
            case READ_FAILS -> {
                history.cut(relay, span);
                history.troubled(relay, span);
                history.untold(relay, span);
            }
            case AGENT_RESETS -> {
                history.troubled(relay, span);
                history.untold(relay, span);
            }
            case CROWD -> history.crowded(relay, span);
            case RELOAD, AGENT_SILENT, CONNECT_FAILS, SOCKET_FAILS, LATE_WRITES, PAUSES, SHORT_CALLS ->
                history.troubled(relay, span);
            default -> { }
        }
    }

    private void repeat(Trouble t, long gapMillis, Step step) throws IOException, InterruptedException {
        for (long end = now() + t.lengthMillis(); now() < end;) {
            step.run();
            TimeUnit.MILLISECONDS.sleep(gapMillis);
        }
    }

    private static int either(Trouble t, int one, int other) {
        return t.choice() % 2 == 0 ? one : other;
    }

    /** Lets some calls fail, a few at a time. */
    private void failSome(RelayHandle relay, Trouble t, Shim.Word errno, int value, Shim.Word count)
        throws IOException, InterruptedException {
        relay.shim.set(errno, value);
        repeat(t, STEP_MILLIS, () -> relay.shim.set(count, 1 + t.choice() % 3));
        relay.shim.set(count, 0);
    }

    private void trouble(RelayHandle relay, Trouble t) throws IOException, InterruptedException {
        Shim shim = relay.shim;
        switch (t.kind()) {
            case KILL, TERMINATE, TERMINATE_TWICE, KILL_WHILE_LEAVING, SIGNAL_SERIES ->
                relay.replace(t.kind());
            case RELOAD -> relay.reload();
            case PAUSES -> repeat(t, 2 * PAUSE_MILLIS, () -> relay.pause(PAUSE_MILLIS));
            case CLOCK_FORWARD, CLOCK_BACK -> {
                int step = t.kind() == TroubleKind.CLOCK_FORWARD ? HOUR_SECONDS : -HOUR_SECONDS;
                shim.set(Shim.Word.WALL_STEP_S, step);
                TimeUnit.MILLISECONDS.sleep(t.lengthMillis());
                shim.set(Shim.Word.WALL_STEP_S, 0);
            }
            case ACCEPT_FAILS -> failSome(relay, t, Shim.Word.ACCEPT_ERRNO,
                either(t, Shim.ENOBUFS, Shim.ENFILE), Shim.Word.ACCEPT_COUNT);
            case CONNECT_FAILS -> failSome(relay, t, Shim.Word.CONNECT_ERRNO,
                either(t, Shim.EADDRNOTAVAIL, Shim.ENETUNREACH), Shim.Word.CONNECT_COUNT);
            case SOCKET_FAILS -> failSome(relay, t, Shim.Word.SOCKET_ERRNO,
                either(t, Shim.ENFILE, Shim.ENOBUFS), Shim.Word.SOCKET_COUNT);
            case READ_FAILS -> failSome(relay, t, Shim.Word.READ_ERRNO,
                either(t, Shim.ETIMEDOUT, Shim.EHOSTUNREACH), Shim.Word.READ_COUNT);
            case FOLDER_FULL, FOLDER_BREAKS -> failFolder(relay, t);
            case SHORT_CALLS -> {
                shim.set(Shim.Word.SHORT_IO, 1);
                repeat(t, STEP_MILLIS, () -> shim.set(Shim.Word.EINTR_COUNT, 1));
                shim.set(Shim.Word.SHORT_IO, 0);
            }
            case LATE_WRITES -> {
                shim.set(Shim.Word.PAUSE_MS, (int) PAUSE_MILLIS);
                repeat(t, 2 * PAUSE_MILLIS, () -> shim.set(Shim.Word.PAUSE_COUNT, 1));
            }
            case AGENT_SILENT -> repeat(t, 15 * STEP_MILLIS, () -> relay.agentLink().freezeOpen());
            case AGENT_RESETS -> {
                FaultProxy link = relay.agentLink();
                link.set(FaultProxy.Mode.RESET);
                TimeUnit.MILLISECONDS.sleep(t.lengthMillis());
                link.set(FaultProxy.Mode.PASS);
            }
            case CROWD -> {
                try (Crowd crowd = new Crowd(relay.address)) {
                    TimeUnit.MILLISECONDS.sleep(t.lengthMillis());
                }
            }
            case BAD_CLIENTS -> repeat(t, STEP_MILLIS, () -> badClient(relay));
            default -> throw new IllegalArgumentException(t.toString());
        }
    }

    private void badClient(RelayHandle relay) {
        BadClient.Sort[] sorts = BadClient.Sort.values();
        BadClient.Sort sort = sorts[(int) (now() / STEP_MILLIS % sorts.length)];
        tasks.submit(new BadClient(relay.number, relay.address, sort, this::now, history));
    }

    private void failFolder(RelayHandle relay, Trouble t) throws InterruptedException {
        boolean full = t.kind() == TroubleKind.FOLDER_FULL;
        relay.folderFailsUntil(now() + t.lengthMillis());
        relay.shim.set(Shim.Word.FILE_HALF, full ? 0 : 1);
        relay.shim.set(Shim.Word.FILE_ERRNO, full ? Shim.ENOSPC : Shim.EIO);
        TimeUnit.MILLISECONDS.sleep(t.lengthMillis());
        relay.shim.set(Shim.Word.FILE_ERRNO, 0);
        relay.folderFailsUntil(now());
    }

    private void trouble(int endpoint, Trouble t) throws InterruptedException {
        FaultProxy link = links.get(endpoint);
        long from = now();
        switch (t.kind()) {
            case ENDPOINT_SILENT -> standFor(endpoint, EndpointModel.Mode.SILENT, t);
            case ENDPOINT_DOWN -> standFor(endpoint, EndpointModel.Mode.REFUSING, t);
            case ENDPOINT_FAILS -> standFor(endpoint, EndpointModel.Mode.FAILING, t);
            case ENDPOINT_SHUT -> {
                destinations.refuseFor(endpoint, t.lengthMillis());
                return;
            }
            case ENDPOINT_DRAINS -> {
                if (!draining.add(endpoint)) {
                    return;
                }
                agent.change(endpoint, HostCatalog.Health.DRAINING);
                TimeUnit.MILLISECONDS.sleep(t.lengthMillis());
                history.draining(endpoint, new History.Span(from, now()));
                agent.change(endpoint, HostCatalog.Health.READY);
                draining.remove(endpoint);
                return;
            }
            case LINK_SILENT -> setFor(link, FaultProxy.Mode.SILENT, t);
            case LINK_CUTS -> setFor(link, FaultProxy.Mode.CUT, t);
            case LINK_LATE -> setFor(link, FaultProxy.Mode.LATE, t);
            default -> throw new IllegalArgumentException(t.toString());
        }
        history.link(endpoint, new History.Span(from, now() + 1_000));
    }

    private void standFor(int endpoint, EndpointModel.Mode standing, Trouble t)
        throws InterruptedException {
        if (!out.add(endpoint)) {
            return;
        }
        long from = now();
        destinations.setMode(endpoint, standing);
        TimeUnit.MILLISECONDS.sleep(t.lengthMillis());
        destinations.setMode(endpoint, EndpointModel.Mode.SERVING);
        history.outage(endpoint, new History.Span(from, now()));
        out.remove(endpoint);
    }

    private static void setFor(FaultProxy link, FaultProxy.Mode mode, Trouble t) throws InterruptedException {
        link.set(mode);
        TimeUnit.MILLISECONDS.sleep(t.lengthMillis());
        link.set(FaultProxy.Mode.PASS);
    }

    // ---- What the stand-ins see -----------------------------------------------------------------
    private static int relay(MessageId id) {
        return (int) (id.sequence() >> RELAY_SHIFT);
    }

    private final class Clients implements ClientObserver {
        @Override
        public void submitted(MessageId id, Traffic.ClassShare kind, int destination) {
            History.Effect effect = switch (kind.name()) {
                case "notice" -> History.Effect.KEYED;
                case "query" -> History.Effect.SAFE;
                default -> History.Effect.UNSAFE;
            };
            long window = PROFILES.get(0).window();
            history.handedIn(new History.Message(id.text(), relay(id), destination, effect, window,
                at(id.dueNanos()), kind.lifeMillis()));
        }

        @Override
        public void submissionEnded(MessageId id, Result ending, int status, boolean written) {
            history.ended(id.text(), status, ending == Result.CONNECTION_LOST && written, now());
        }
    }

    private final class Calls implements CallObserver {
        @Override
        public void callReceived(int endpoint, MessageId id, EndpointModel.Response verdict, long nowNanos) {
            if (id == null) {
                history.found(new Finding("made up", at(nowNanos), "a call with an id that no client wrote"));
                return;
            }
            boolean runs = verdict.status() == 200 || verdict.status() == 0;
            history.called(new History.Call(relay(id), endpoint, HostCatalog.destination(endpoint), id.text(),
                at(nowNanos), verdict.retryAfterMillis()), runs);
            History.Message message = history.message(id.text());
            if (message == null || message.destination != HostCatalog.destination(endpoint)) {
                history.found(new Finding("made up", at(nowNanos), "message " + id.text() + " at endpoint "
                    + endpoint));
            }
        }

        @Override
        public void messageDelivered(int endpoint, MessageId id, long nowNanos) {
            history.delivered(id.text(), at(nowNanos));
        }
    }

    private void noticed(String line) {
        try {
            Wire.Fields notice = Wire.decode(line);
            history.noticed(notice.text("message"), notice.text("outcome").equals("handed_back"), now());
        } catch (Wire.Malformed e) {
            history.found(new Finding("unreadable notice", now(), line));
        }
    }

    @Override
    public void close() {
        clients.forEach(StandInClients::close);
        relays.forEach(RelayHandle::close);
        links.forEach(FaultProxy::close);
        agent.close();
        destinations.close();
        tasks.shutdownNow();
        Shutdown.now(loops);
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        } catch (IOException e) {
            System.err.println("left behind: " + folder + ": " + e);
        }
    }
}
