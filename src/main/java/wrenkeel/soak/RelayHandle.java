package wrenkeel.soak;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import wrenkeel.scale.RelayProcess;
import wrenkeel.scale.RelaySettings;

/** One relay of a run: its process, its shim, and its links to the agent. */
final class RelayHandle implements AutoCloseable {
    private static final Duration START_MOST = Duration.ofSeconds(30);
    /** ms from a start, or from when the folder could be written again, in which a relay must be ready. */
    private static final long READY_WITHIN = 10_000;
    private static final long KILL_AFTER_TERM = 3_700, START_AFTER_END = 600;
    /** ms after a reload for which the old address still serves its open connections. */
    private static final long OLD_AGENT_SERVES = 1_500;
    private static final String TRACE = "-Dorg.slf4j.simpleLogger.log.wrenkeel.trace=debug";

    final int number;
    final Shim shim;
    /** Where clients connect, the same for each process of this relay. */
    final InetSocketAddress address;
    private final FaultProxy[] agentLinks;
    private final RelayProcess process;
    private final LongSupplier clock;
    private final History history;
    /** Its process ends or starts just now. */
    private final AtomicBoolean changing = new AtomicBoolean();
    private volatile int agentLink;
    private volatile long readyAt;
    /** Until when the folder cannot be written. */
    private volatile long folderFailsUntil;

    RelayHandle(int number, Path root, Path folder, Path library, RelaySettings settings, boolean trace,
                InetSocketAddress agent, EventLoopGroup loops, LongSupplier clock, History history)
        throws IOException, InterruptedException {
        this.number = number;
        this.clock = clock;
        this.history = history;
        shim = new Shim(folder.resolve("shim." + number));
        address = Ports.free();
        agentLinks = new FaultProxy[] {new FaultProxy(loops, agent), new FaultProxy(loops, agent)};
        Map<String, String> environment = new HashMap<>(shim.environment(library));
        environment.put("EDGE_LISTEN", address.getAddress().getHostAddress() + ":" + address.getPort());
        if (trace) {
            environment.put("JAVA_TOOL_OPTIONS", TRACE);
        }
        process = new RelayProcess(root, settings, agentLinks[0].address(), null, environment);
    }

    FaultProxy agentLink() {
        return agentLinks[agentLink];
    }

    String logs() throws IOException {
        return process.allLogs();
    }

    /** Starts the process and waits until it serves; false, and told, where it does not. */
    boolean start() throws InterruptedException {
        long begun = clock.getAsLong();
        try {
            process.start();
            if (!process.awaitServing(START_MOST)) {
                found("never ready", "within " + START_MOST.toSeconds() + " s");
                return false;
            }
        } catch (IOException e) {
            found("refused start", e.getMessage());
            return false;
        }
        readyAt = clock.getAsLong();
        long took = readyAt - Math.max(begun, folderFailsUntil);
        if (took > READY_WITHIN) {
            found("late ready", took + " ms");
        }
        return true;
    }

    private void found(String rule, String detail) {
        history.found(new Finding(rule, clock.getAsLong(), "relay " + number + ": " + detail));
    }

    /** Tells of a process that has ended though nobody told it to. */
    void look() {
        if (!changing.get() && readyAt > 0 && !process.isAlive() && changing.compareAndSet(false, true)) {
            found("crashed", "the process is gone");
        }
    }

    /** Ends the process in one of the ways and starts it again; does nothing while that is under way. */
    void replace(TroubleKind how) throws IOException, InterruptedException {
        if (!changing.compareAndSet(false, true)) {
            return;
        }
        long from = clock.getAsLong();
        switch (how) {
            case TERMINATE -> {
                process.requestTermination();
                process.awaitExit(Duration.ofMillis(KILL_AFTER_TERM));
            }
            case TERMINATE_TWICE, SIGNAL_SERIES -> {
                process.requestTermination();
                TimeUnit.MILLISECONDS.sleep(START_AFTER_END / 2);
                process.signal("HUP");
                process.requestTermination();
                process.awaitExit(Duration.ofMillis(KILL_AFTER_TERM - START_AFTER_END / 2));
            }
            case KILL_WHILE_LEAVING -> {
                process.requestTermination();
                TimeUnit.MILLISECONDS.sleep(START_AFTER_END);
            }
            default -> { }
        }
        boolean serves = killAndStart(from);
        if (serves && how == TroubleKind.SIGNAL_SERIES) {
            TimeUnit.MILLISECONDS.sleep(START_AFTER_END);
            serves = killAndStart(clock.getAsLong());
        }
        if (serves) {
            changing.set(false);
        }
    }

    /** SIGKILL, and the next start; {@code from}: when the first signal came. False if it does not serve. */
    private boolean killAndStart(long from) throws InterruptedException {
        long gone = clock.getAsLong();
        process.kill();
        TimeUnit.MILLISECONDS.sleep(START_AFTER_END);
        boolean serves = start();
        history.down(number, new History.Span(from, serves ? readyAt : Long.MAX_VALUE));
        history.dead(number, new History.Span(gone, serves ? readyAt : Long.MAX_VALUE));
        return serves;
    }

    /** A new configuration that names another address of discovery; not in a process's first second. */
    void reload() throws IOException, InterruptedException {
        if (clock.getAsLong() - readyAt < 1_000 || !changing.compareAndSet(false, true)) {
            return;
        }
        FaultProxy old = agentLinks[agentLink];
        agentLink = 1 - agentLink;
        agentLinks[agentLink].set(FaultProxy.Mode.PASS);
        process.reload(agentLinks[agentLink].address());
        changing.set(false);
        TimeUnit.MILLISECONDS.sleep(OLD_AGENT_SERVES);
        old.set(FaultProxy.Mode.RESET);
    }

    void folderFailsUntil(long millis) {
        folderFailsUntil = Math.max(folderFailsUntil, millis);
    }

    /** Stops the process for a moment, if it runs. */
    void pause(long millis) throws IOException, InterruptedException {
        if (process.isAlive()) {
            process.signal("STOP");
            TimeUnit.MILLISECONDS.sleep(millis);
            process.signal("CONT");
        }
    }

    @Override
    public void close() {
        changing.set(true);
        process.close();
        for (FaultProxy link : agentLinks) {
            link.close();
        }
    }
}
