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
 * One destination's outage and its return, met by real relays of which some are killed on the way. Judged is
 * the sum of what all relays send to the destination while it is cold.
 */
final class OutageRun implements AutoCloseable {
    /**
     * What happens. Times are milliseconds.
     *
     * @param perSecond messages a second at all relays together
     * @param capacity calls a second that the warm destination takes
     * @param outage what the destination does meanwhile
     * @param killShare part of the relays that are killed
     * @param killBefore the return, by so much; negative for after it
     * @param keepsFolder whether the killed relays find their lasting folder again
     * @param secondKillAfter the return, by so much, of the same relays; 0 for none
     */
    record Plan(long seed, int relays, double perSecond, double capacity, EndpointModel.Mode outage,
                long outageMillis, double killShare, long killBefore, boolean keepsFolder,
                long secondKillAfter) { }

    /**
     * @param worst window of the cold destination
     * @param delivered messages, of so many handed in
     * @param inOutage calls that met the outage
     */
    record Result(ColdBudget.Worst worst, int handedIn, int delivered, int inOutage) { }

    private static final long WARM_UP_MILLIS = 15_000, DOWN_MILLIS = 600;
    private static final long COLD_MILLIS = 10_000, TIP_MILLIS = 2_000;
    private static final double COLD_FROM = 0.2, FALL_MULTIPLE = 2;
    private static final Duration START_MOST = Duration.ofSeconds(30);
    private static final int CONNECTIONS_MOST = 50, BODY_BYTES = 100, THREADS = 2;
    private static final long LIFE_MILLIS = 28_000, AIM_MILLIS = 3_000, CLIENT_PATIENCE = 400;
    private static final long ANSWER_MICROS = 5_000;
    /** Bits of a message's sequence number below that of its relay. */
    private static final int RELAY_SHIFT = 32;
    private static final String CLASS = "query";

    /** One relay with its clients. */
    private static final class Member {
        final RelayProcess process;
        final StandInClients clients;

        Member(RelayProcess process, StandInClients clients) {
            this.process = process;
            this.clients = clients;
        }
    }

    private final Plan plan;
    private final StandInDestinations destination;
    private final StandInAgent agent;
    private final List<Member> members = new ArrayList<>();
    private final List<Long> calls = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger handedIn = new AtomicInteger();
    /** Sequence numbers of messages. */
    private final Set<Long> delivered = ConcurrentHashMap.newKeySet();
    private final ExecutorService tasks = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "outage run");
        thread.setDaemon(true);
        return thread;
    });

    /** {@code root}: a repository, built, whose relay is played. */
    OutageRun(Path root, Plan plan) throws IOException, InterruptedException {
        this.plan = plan;
        destination = new StandInDestinations(1, EndpointModel.Behaviour.unlimited(ANSWER_MICROS, 0), 1,
            THREADS, plan.seed, System::nanoTime);
        destination.setObserver(new Calls());
        agent = new StandInAgent(new HostCatalog(1, plan.seed,
            host -> "127.0.0.1:" + destination.ports().get(host)), notice -> { });
        RelaySettings settings = RelaySettings.typical("n").withRelays(plan.relays).withProfiles(List.of(
            new RelaySettings.Profile(CLASS, AIM_MILLIS, LIFE_MILLIS, "retryable", 0)));
        Traffic traffic = new Traffic(1, 0, BODY_BYTES,
            List.of(new Traffic.ClassShare(CLASS, 1, LIFE_MILLIS, false)), List.of(), CONNECTIONS_MOST);
        for (int i = 0; i < plan.relays; i++) {
            InetSocketAddress address = Ports.free();
            RelayProcess process = new RelayProcess(root, settings.named("n" + i), agent.address(), null,
                Map.of("EDGE_LISTEN", address.getAddress().getHostAddress() + ":" + address.getPort()));
            members.add(new Member(process, new StandInClients(address, traffic, plan.seed + i,
                CLIENT_PATIENCE, (long) i << RELAY_SHIFT, new Clients())));
        }
    }

    /** Plays the plan. */
    Result play() throws IOException, InterruptedException, ExecutionException {
        onAll(members, member -> {
            start(member.process);
            return null;
        });
        for (Member member : members) {
            member.clients.setRate(plan.perSecond / plan.relays);
        }
        TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
        int before = calls.size();
        destination.setMode(0, plan.outage);
        long returnAt = millis() + plan.outageMillis;
        Future<?> kill = tasks.submit(() -> {
            restart(returnAt - plan.killBefore);
            if (plan.secondKillAfter > 0) {
                restart(returnAt + plan.secondKillAfter);
            }
            return null;
        });
        sleepUntil(returnAt);
        int inOutage = calls.size() - before;
        destination.setMode(0, EndpointModel.Mode.SERVING);
        long returned = millis();
        sleepUntil(returned + COLD_MILLIS);
        kill.get();
        ColdBudget budget = new ColdBudget(plan.capacity, COLD_FROM, COLD_MILLIS, FALL_MULTIPLE, TIP_MILLIS);
        return new Result(budget.worst(returned, List.copyOf(calls)), handedIn.get(), delivered.size(),
            inOutage);
    }

    private static void start(RelayProcess process) throws IOException, InterruptedException {
        process.start();
        if (!process.awaitServing(START_MOST)) {
            throw new IOException("a relay is not ready within " + START_MOST.toSeconds() + " s");
        }
    }

    /** Kills some of the relays, the same for the same seed, and starts them again. */
    private void restart(long at) throws InterruptedException, ExecutionException {
        List<Member> struck = new ArrayList<>(members);
        Collections.shuffle(struck, new Random(plan.seed));
        sleepUntil(at);
        onAll(struck.subList(0, (int) Math.round(plan.killShare * members.size())), member -> {
            member.process.kill();
            if (!plan.keepsFolder) {
                empty(member.process.state());
            }
            TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
            start(member.process);
            return null;
        });
    }

    private static void empty(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path file : all.sorted(Comparator.reverseOrder()).filter(f -> !f.equals(folder)).toList()) {
                Files.delete(file);
            }
        }
    }

    private interface Step {
        Void on(Member member) throws Exception;
    }

    private void onAll(List<Member> some, Step step) throws InterruptedException, ExecutionException {
        for (Future<?> one : tasks.invokeAll(some.stream()
                .map(member -> (Callable<Void>) () -> step.on(member)).toList())) {
            one.get();
        }
    }

    private static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, millis - millis()));
    }

    /** The logs of all relays, each process after the one before. */
    List<String> logs() throws IOException {
        List<String> all = new ArrayList<>();
        for (Member member : members) {
            all.add(member.process.logs());
        }
        return all;
    }

    private final class Calls implements CallObserver {
        @Override
        public void callReceived(int endpoint, MessageId id, EndpointModel.Response verdict, long nowNanos) {
            calls.add(TimeUnit.NANOSECONDS.toMillis(nowNanos));
        }

        @Override
        public void messageDelivered(int endpoint, MessageId id, long nowNanos) {
            delivered.add(id.sequence());
        }
    }

    private final class Clients implements ClientObserver {
        @Override
        public void submitted(MessageId id, Traffic.ClassShare kind, int to) {
            handedIn.incrementAndGet();
        }

        @Override
        public void submissionEnded(MessageId id, Result ending, int status, boolean written) {
            // Judged is what the destination gets.
        }
    }

    @Override
    public void close() {
        members.forEach(member -> {
            member.clients.close();
            member.process.close();
        });
        agent.close();
        destination.close();
        tasks.shutdownNow();
    }
}
