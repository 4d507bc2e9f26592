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

/**
 * One relay of a run: its process, the shim that lets its system calls fail, and its links to the discovery
 * agent. Faults may be injected from several threads; while the process is being restarted or reloaded,
 * further restarts and reloads are ignored.
 */
final class RelayHandle implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    /** Time from a start, or from when the state folder is writable again, in which a relay must be ready. */
    private static final long READY_WITHIN_MS = 10_000;
    /** Time from SIGTERM to SIGKILL, and from SIGKILL to the restart. */
    private static final long KILL_AFTER_TERM_MS = 3_700, RESTART_DELAY_MS = 600;
    /** Time after a reload in which the old address of the agent still serves its open connections. */
    private static final long OLD_AGENT_SERVES_MS = 1_500;
    /** Has the relay log each step of each message. */
    private static final String TRACE_OPTION = "-Dorg.slf4j.simpleLogger.log.wrenkeel.trace=debug";

    final int number;
    final Shim shim;
    /** Where clients connect, the same after each restart. */
    final InetSocketAddress address;
    /** Two links to the agent; a reload switches from one to the other. */
    private final FaultProxy[] agentLinks;
    private final RelayProcess process;
    private final LongSupplier clock;
    private final History history;
    /** True while the process is being restarted or reloaded, and for good once it is down or closed. */
    private final AtomicBoolean inTransition = new AtomicBoolean();
    /** Index of the link that the relay's configuration names. */
    private volatile int currentAgentLinkIndex;
    /** When the relay last became ready, ms on the clock; 0 before the first time. */
    private volatile long readyAt;
    /** Until when writes to the state folder fail, ms on the clock. */
    private volatile long folderFailsUntil;

    /**
     * @param root a built checkout of the repository, whose relay is started
     * @param folder where the control file of the shim is created
     * @param library the compiled shim
     * @param trace whether the relay logs each step of each message
     * @param agent address of the stand-in agent
     * @param clock ms since the start of the traffic
     */
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

    /** The link to the agent that the relay's configuration names. */
    FaultProxy currentAgentLink() {
        return agentLinks[currentAgentLinkIndex];
    }

    /** The logs of all processes of this relay, the latest last. */
    String logs() throws IOException {
        return process.allLogs();
    }

    /** Starts the process and waits until it serves; otherwise records a finding and returns false. */
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

    /** Records a finding, once, if the process has ended although nobody ended it. */
    void checkAlive() {
        if (!inTransition.get() && readyAt > 0 && !process.isAlive()
            && inTransition.compareAndSet(false, true)) {
            addFinding("crashed", "the process is gone");
        }
    }

    /**
     * Ends the process in the way of the fault kind and starts it again. Does nothing if another restart or
     * reload is in progress. A relay that does not come back is never restarted again.
     */
    void restart(FaultKind kind) throws IOException, InterruptedException {
        if (!inTransition.compareAndSet(false, true)) {
            return;
        }
        long signalledAt = clock.getAsLong();
        switch (kind) {
            case TERMINATE -> {
                process.requestTermination();
                process.awaitExit(Duration.ofMillis(KILL_AFTER_TERM_MS));
            }
            case TERMINATE_TWICE, SIGNAL_SERIES -> {
                process.requestTermination();
                TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS / 2);
                process.signal("HUP");
                process.requestTermination();
                process.awaitExit(Duration.ofMillis(KILL_AFTER_TERM_MS - RESTART_DELAY_MS / 2));
            }
            case KILL_WHILE_LEAVING -> {
                process.requestTermination();
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

    /**
     * Sends SIGKILL, starts the process again and records the downtime.
     *
     * @param signalledAt when the first signal was sent
     * @return whether the relay serves again
     */
    private boolean killAndStart(long signalledAt) throws InterruptedException {
        long killedAt = clock.getAsLong();
        process.kill();
        TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MS);
        boolean serves = start();
        history.downtimes(number, new History.Interval(signalledAt, serves ? readyAt : Long.MAX_VALUE));
        history.processAbsences(number, new History.Interval(killedAt, serves ? readyAt : Long.MAX_VALUE));
        return serves;
    }

    /**
     * Reloads the configuration with another address of the agent, whose old address resets all connections
     * a little later. Does nothing in the first second of a process.
     */
    void reload() throws IOException, InterruptedException {
        if (clock.getAsLong() - readyAt < 1_000 || !inTransition.compareAndSet(false, true)) {
            return;
        }
        FaultProxy old = agentLinks[currentAgentLinkIndex];
        currentAgentLinkIndex = 1 - currentAgentLinkIndex;
        agentLinks[currentAgentLinkIndex].setMode(FaultProxy.Mode.FORWARD);
        process.reload(agentLinks[currentAgentLinkIndex].address());
        inTransition.set(false);
        TimeUnit.MILLISECONDS.sleep(OLD_AGENT_SERVES_MS);
        old.setMode(FaultProxy.Mode.RESET);
    }

    /** Notes that writes to the state folder fail until then, ms on the clock; only ever moves it later. */
    void extendFolderFailure(long untilMillis) {
        folderFailsUntil = Math.max(folderFailsUntil, untilMillis);
    }

    /** Suspends the process for so many ms, if it runs. */
    void pause(long millis) throws IOException, InterruptedException {
        if (process.isAlive()) {
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
