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
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    /** ms from a start, or from when the folder could be written again, in which a relay must be ready. */
    private static final long READY_WITHIN_MS = 10_000;
    private static final long KILL_AFTER_TERM_MS = 3_700, RESTART_DELAY_MS = 600;
    /** ms after a reload for which the old address still serves its open connections. */
    private static final long OLD_AGENT_SERVES_MS = 1_500;
    private static final String TRACE_OPTION = "-Dorg.slf4j.simpleLogger.log.wrenkeel.trace=debug";

    final int number;
    final Shim shim;
    /** Where clients connect, the same for each process of this relay. */
    final InetSocketAddress address;
    private final FaultProxy[] agentLinks;
    private final RelayProcess process;
    private final LongSupplier clock;
    private final History history;
    /** Its process ends or starts just now. */
    private final AtomicBoolean inTransition = new AtomicBoolean();
    private volatile int currentAgentLink;
    private volatile long readyAt;
    /** Until when the folder cannot be written. */
    private volatile long folderFailsUntil;

    RelayHandle(int number, Path root, Path folder, Path library, RelaySettings settings, boolean trace,
                InetSocketAddress agent, EventLoopGroup eventLoops, LongSupplier clock, History history)
        throws IOException, InterruptedException {
        this.number = number;
        this.clock = clock;
        this.history = history;
        shim = new Shim(folder.resolve("shim." + number));
        address = PortAllocator.allocate();
        agentLinks = new FaultProxy[] {new FaultProxy(eventLoops, agent), new FaultProxy(eventLoops, agent)};
        Map<String, String> environment = new HashMap<>(shim.environment(library));
        environment.put("EDGE_LISTEN", address.getAddress().getHostAddress() + ":" + address.getPort());
        if (trace) {
            environment.put("JAVA_TOOL_OPTIONS", TRACE_OPTION);
        }
        process = new RelayProcess(root, settings, agentLinks[0].address(), null, environment);
    }

    FaultProxy agentLink() {
        return agentLinks[currentAgentLink];
    }

    String logs() throws IOException {
        return process.logs();
    }

    /** Starts the process and waits until it serves; false, and told, where it does not. */
    boolean start() throws InterruptedException {
        long startedAt = clock.getAsLong();
        try {
            process.start();
            if (!process.awaitServing(START_TIMEOUT)) {
                addFinding("never ready", "within " + START_TIMEOUT.toSeconds() + " s");
                return false;
            }
        } catch (IOException e) {
            addFinding("refused start", e.getMessage());
            return false;
        }
        readyAt = clock.getAsLong();
        long took = readyAt - Math.max(startedAt, folderFailsUntil);
        if (took > READY_WITHIN_MS) {
            addFinding("late ready", took + " ms");
        }
        return true;
    }

    private void addFinding(String rule, String detail) {
        history.addFinding(new Finding(rule, clock.getAsLong(), "relay " + number + ": " + detail));
    }

    /** Tells of a process that has ended though nobody told it to. */
    void checkAlive() {
        if (!inTransition.get() && readyAt > 0 && !process.alive() && inTransition.compareAndSet(false, true)) {
            addFinding("crashed", "the process is gone");
        }
    }

    /** Ends the process in one of the ways and starts it again; does nothing while that is under way. */
    void restart(FaultKind kind) throws IOException, InterruptedException {
        if (!inTransition.compareAndSet(false, true)) {
            return;
        }
        long signalledAt = clock.getAsLong();
        switch (kind) {
            case TERMINATE -> {
                process.beginEnd();
                process.awaitEnd(Duration.ofMillis(KILL_AFTER_TERM_MS));
            }
            case TERMINATE_TWICE, SIGNAL_SERIES -> {
                process.beginEnd();
                TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS / 2);
                process.signal("HUP");
                process.beginEnd();
                process.awaitEnd(Duration.ofMillis(KILL_AFTER_TERM_MS - RESTART_DELAY_MS / 2));
            }
            case KILL_WHILE_LEAVING -> {
                process.beginEnd();
                TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS);
            }
            default -> { }
        }
        boolean serves = killAndStart(signalledAt);
        if (serves && kind == FaultKind.SIGNAL_SERIES) {
            TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS);
            serves = killAndStart(clock.getAsLong());
        }
        if (serves) {
            inTransition.set(false);
        }
    }

    /** SIGKILL, and the next start; {@code from}: when the first signal came. False if it does not serve. */
    private boolean killAndStart(long signalledAt) throws InterruptedException {
        long killedAt = clock.getAsLong();
        process.kill();
        TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS);
        boolean serves = start();
        history.downtimes(number, new History.Interval(signalledAt, serves ? readyAt : Long.MAX_VALUE));
        history.processAbsences(number, new History.Interval(killedAt, serves ? readyAt : Long.MAX_VALUE));
        return serves;
    }

    /** A new configuration that names another address of discovery; not in a process's first second. */
    void reload() throws IOException, InterruptedException {
        if (clock.getAsLong() - readyAt < 1_000 || !inTransition.compareAndSet(false, true)) {
            return;
        }
        FaultProxy old = agentLinks[currentAgentLink];
        currentAgentLink = 1 - currentAgentLink;
        agentLinks[currentAgentLink].setMode(FaultProxy.Mode.FORWARD);
        process.reload(agentLinks[currentAgentLink].address());
        inTransition.set(false);
        TimeUnit.MILLISECONDS.sleep(OLD_AGENT_SERVES_MS);
        old.setMode(FaultProxy.Mode.RESET);
    }

    void extendFolderFailure(long millis) {
        folderFailsUntil = Math.max(folderFailsUntil, millis);
    }

    /** Stops the process for a moment, if it runs. */
    void pause(long millis) throws IOException, InterruptedException {
        if (process.alive()) {
            process.signal("STOP");
            TimeUnit.MILLISECONDS.sleep(millis);
            process.signal("CONT");
        }
    }

    @Override
    public void close() {
        inTransition.set(true);
        process.close();
        for (FaultProxy link : agentLinks) {
            link.close();
        }
    }
}
