package wrenkeel.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Wire;

/**
 * One relay process: creates its components, starts, takes over from an earlier process of the same relay,
 * reloads the configuration and shuts down. The components run on one event loop; the public methods may be
 * called from any other thread.
 */
public final class Node implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    /** After SIGTERM clients are served for this long, unless a standby process takes over. */
    private static final long SERVE_AFTER_SIGTERM_MS = 600;
    /** Time from SIGTERM by which the process ends; SIGKILL may come after 3.7 s. */
    private static final long SHUTDOWN_TIMEOUT_MS = 3_300;
    /** A handover that is not written this long before the shutdown's deadline is abandoned. */
    private static final long HANDOVER_RESERVE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Delay before the next try to write the handover. */
    private static final long HANDOVER_RETRY_MS = 50;
    /** Interval between checks whether a phase of the shutdown is complete. */
    private static final long SHUTDOWN_POLL_MS = 20;
    /** Interval between checks whether the earlier process hands over, or has handed over more. */
    private static final long TAKEOVER_POLL_MS = 10;
    /** Delay before the next try after a failed takeover. */
    private static final long TAKEOVER_RETRY_MS = 200;
    /** Delay after the first failed start; doubles with each further failure up to the maximum. */
    private static final long MIN_START_RETRY_MS = 50;
    /** Longest delay between two tries to start. */
    private static final long MAX_START_RETRY_MS = 1_000;

    private final MultiThreadIoEventLoopGroup eventLoopGroup =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = eventLoopGroup.next();
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Metrics metrics = new Metrics();
    private final Console console;
    private final ProcessClock clock;
    /** What the console reports as readiness. */
    private volatile boolean ready;
    private final Machine machine;
    private final ConnectionLimiter connections;
    private final Server server;
    private volatile Config config;
    /** Null until the state folder can be written. */
    private volatile Journal journal;
    /** Null until the journal is open. */
    private volatile ControlDriver driver;
    private ClientListener clientListener;
    /** False while this process is a standby or waits for the state folder. */
    private boolean serving;
    private boolean shuttingDown;

    /**
     * Recovers the messages in the state folder and serves; or stays on standby while an earlier process
     * serves.
     */
    Node(Config config) throws IOException, InterruptedException, ExecutionException {
        this(config, Machine.SYSTEM);
    }

    Node(Config config, Machine machine) throws IOException, InterruptedException, ExecutionException {
        this.config = config;
        this.machine = machine;
        connections = new ConnectionLimiter(config.descriptorBudget().clientConnections());
        server = new Server(connections);
        clock = new ProcessClock(machine.clock());
        console = config.consoleAddress() == null ? null
            : new Console(config.consoleAddress(), () -> ready, metrics);
        if (console != null) {
            LOG.info("operators at {}", consoleAddress());
        }
        eventLoop.submit(() -> {
            start(MIN_START_RETRY_MS);
            return null;
        }).get();
    }

    /**
     * Opens this process's journal and serves, or goes on standby. While the state folder cannot be written
     * or the machine has no free socket, waits and tries again, since accepted messages must not be lost for
     * that. An unusable folder, an address in use and malformed input are thrown instead.
     *
     * @param delayMillis delay before the next try
     */
    private void start(long delayMillis) throws IOException, Wire.MalformedException {
        try {
            if (journal == null) {
                journal = new Journal(config.stateFolder(), config.diskLimitBytes(), clock, machine.files());
            }
            if (driver == null) {
                createDriver();
            }
            if (journal.isPredecessorServing()) {
                standBy();
            } else {
                serve();
            }
        } catch (UnusableStateFolderException | BindException | Wire.MalformedException e) {
            throw e;
        } catch (IOException e) {
            LOG.warn("cannot serve yet, retrying in {} ms: {}", delayMillis, e.toString());
            refuseUntilServing();
            eventLoop.schedule(() -> retryStart(Math.min(MAX_START_RETRY_MS, 2 * delayMillis)), delayMillis,
                TimeUnit.MILLISECONDS);
        }
    }

    private void retryStart(long delayMillis) {
        if (shuttingDown) {
            return;
        }
        try {
            start(delayMillis);
        } catch (IOException | RuntimeException e) {
            LOG.error("cannot start, retrying in {} ms", delayMillis, e);
            eventLoop.schedule(() -> retryStart(delayMillis), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Refuses clients while this relay does not serve yet, unless another process may be serving them. */
    private void refuseUntilServing() throws BindException {
        if (clientListener != null || !isAlone()) {
            return;
        }
        try {
            server.refuseUntilServing();
            clientListener = ClientListener.open(config.listenAddress(), eventLoop, server, nanos -> { },
                machine.sockets());
            LOG.info("not serving yet on {}", address());
        } catch (BindException e) {
            throw e;
        } catch (IOException e) {
            LOG.warn("cannot listen for clients at {} yet: {}", config.listenAddress(), e.toString());
        }
    }

    /** True if no earlier process can be serving at the clients' address. */
    private boolean isAlone() {
        try {
            return journal == null ? !ProcessLease.isAnyProcessAlive(config.stateFolder(), machine.files())
                : !journal.isPredecessorServing();
        } catch (IOException e) {
            LOG.warn("cannot read the state folder: {}", e.toString());
            return false;
        }
    }

    /** Reserves the clients' address and polls until the earlier process hands over or has ended. */
    private void standBy() throws IOException {
        connections.setMaxConnections(config.descriptorBudget().clientConnections() / 2);
        clientListener = ClientListener.reserve(config.listenAddress());
        LOG.info("on standby for {}", config.listenAddress());
        ready = true;
        eventLoop.schedule(this::pollForTakeover, TAKEOVER_POLL_MS, TimeUnit.MILLISECONDS);
    }

    private void pollForTakeover() {
        if (shuttingDown) {
            return;
        }
        try {
            if (journal.isPredecessorServing()) {
                eventLoop.schedule(this::pollForTakeover, TAKEOVER_POLL_MS, TimeUnit.MILLISECONDS);
            } else {
                serve();
            }
        } catch (IOException | RuntimeException e) {
            LOG.error("cannot take over, retrying", e);
            eventLoop.schedule(this::pollForTakeover, TAKEOVER_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Takes over the work of earlier processes, and listens for clients. */
    private void serve() throws IOException {
        Journal.InheritedSnapshot inherited = journal.predecessorSnapshot();
        if (inherited != null) {
            driver.restoreSnapshot(inherited);
        }
        driver.adopt();
        if (clientListener == null || !clientListener.isListening()) {
            ClientListener reserved = clientListener;
            clientListener = ClientListener.open(config.listenAddress(), eventLoop, server,
                nanos -> driver.recordAcceptDelay(nanos), machine.sockets());
            if (reserved != null) {
                reserved.close();
            }
        }
        server.serve(driver, metrics);
        journal.confirmTakeover();
        serving = true;
        ready = true;
        LOG.info("serving on {}, {} messages recovered", address(), journal.openCount());
        continueAdopting();
    }

    /** Adopts what the earlier process still hands over, until that process has ended. */
    private void continueAdopting() {
        if (journal.hasPredecessors()) {
            try {
                driver.adopt();
            } catch (IOException | RuntimeException e) {
                // The polling must go on: otherwise nobody would adopt what is handed over later.
                LOG.error("cannot adopt the earlier process's messages, retrying", e);
            }
            eventLoop.schedule(this::continueAdopting, TAKEOVER_POLL_MS, TimeUnit.MILLISECONDS);
        } else {
            connections.setMaxConnections(config.descriptorBudget().clientConnections());
        }
    }

    /**
     * Runs a relay until the process is asked to end.
     *
     * @param env the EDGE_* variables
     * @return the exit status: 0, or 2 if the relay cannot start with this configuration
     */
    public static int serve(Map<String, String> env) {
        CompletableFuture<Node> started = new CompletableFuture<>();
        try {
            // Handlers come first: a signal may arrive as soon as others can see that the relay is ready.
            HangupSignal.setHandler(() -> started.thenAccept(node -> node.reload(env)));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> started.handle((node, fault) -> {
                if (node != null) {
                    node.shutDown();
                }
                return null;
            }).join(), "leave"));
            Node node = new Node(Config.read(env));
            started.complete(node);
            node.closed.await();
            return 0;
        } catch (Config.InvalidConfigException e) {
            System.err.println(e.getMessage());
        } catch (IOException e) {
            System.err.println("cannot start: " + e);
        } catch (ExecutionException e) {
            System.err.println("cannot start: " + e.getCause());
        } catch (InterruptedException e) {
            System.err.println("interrupted while starting");
        } catch (ReflectiveOperationException e) {
            System.err.println("cannot install the SIGHUP handler: " + e);
        } finally {
            started.cancel(false);
        }
        return 2;
    }

    /** Rereads the whole configuration and applies it; one that is invalid changes nothing. */
    synchronized void reload(Map<String, String> env) {
        try {
            Config next = config.reload(env);
            eventLoop.submit(() -> {
                if (driver != null) {
                    driver.reconfigure(next);
                }
                config = next;
            }).get();
            metrics.countReload();
            LOG.info("configuration reloaded, discovery is at {}", next.discoveryAddress());
        } catch (Config.InvalidConfigException e) {
            metrics.countReloadError();
            LOG.error("configuration not reloaded: {}", e.getMessage());
        } catch (RejectedExecutionException e) {
            metrics.countReloadError();
            LOG.warn("configuration not reloaded: the relay has ended");
        } catch (ExecutionException e) {
            metrics.countReloadError();
            LOG.error("configuration not reloaded", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void createDriver() throws Wire.MalformedException {
        Bootstrap calls = new Bootstrap().group(eventLoop)
            .option(ChannelOption.ALLOCATOR, new HeapBufferAllocator())
            .option(ChannelOption.RECVBUF_ALLOCATOR, HeapBufferAllocator.readSizes());
        HostList hosts = new HostList(config.zones(), config.kinds());
        HostPool pool = new HostPool(eventLoop, calls, config.settings().limits().connectTimeout(),
            config.settings().limits().keepAlive(), config.descriptorBudget().hostConnections(), metrics);
        driver = new ControlDriver(eventLoop, clock, config, hosts, pool, journal, metrics,
            (listener, onAcknowledged) -> {
                Discovery discovery = new Discovery(eventLoop, calls, config.discoveryAddress(), hosts,
                    listener, onAcknowledged);
                discovery.tryAlso(config.otherDiscoveryAddress());
                return discovery;
            });
        driver.start(config.savedList());
    }

    /** Waits until the relay serves; for tests. */
    void awaitServing() throws InterruptedException, ExecutionException {
        while (!eventLoop.submit(() -> serving).get()) {
            Thread.sleep(SHUTDOWN_POLL_MS);
        }
    }

    /** Returns the address that clients connect to. */
    InetSocketAddress address() {
        return clientListener.address();
    }

    /** Returns the address that operators connect to; only for a relay whose configuration has a console. */
    InetSocketAddress consoleAddress() {
        return console.address();
    }

    /** True when every message has ended and the platform has acknowledged every notice. */
    boolean isIdle() throws InterruptedException, ExecutionException {
        return eventLoop.submit(() -> driver == null || driver.isIdle()).get();
    }

    /**
     * Shuts down in an orderly way: hands over to a standby process at once if there is one, else serves
     * clients until they have gone elsewhere, then works off the messages held. What is left at the deadline
     * stays in the journal, as it does when the process is killed.
     */
    void shutDown() {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SHUTDOWN_TIMEOUT_MS);
        ready = false;
        try {
            eventLoop.submit(() -> {
                shuttingDown = true;
                server.closeAfterResponses();
            }).get();
            if (!eventLoop.submit(() -> serving).get()) {
                LOG.info("shutting down before serving");
            } else {
                if (!isStandbyWaiting() || !handOver(deadlineNanos - HANDOVER_RESERVE_NANOS)) {
                    Thread.sleep(SERVE_AFTER_SIGTERM_MS);
                }
                drainClients(deadlineNanos);
            }
            while (System.nanoTime() < deadlineNanos && !isIdle()) {
                Thread.sleep(SHUTDOWN_POLL_MS);
            }
        } catch (InterruptedException | ExecutionException e) {
            LOG.error("orderly shutdown failed, closing at once", e);
        }
        close();
    }

    /** True if another process is on standby; false also if the state folder cannot be read. */
    private boolean isStandbyWaiting() throws InterruptedException, ExecutionException {
        return eventLoop.submit(() -> {
            try {
                return journal.hasStandby();
            } catch (IOException e) {
                LOG.warn("cannot determine whether another process is on standby: {}", e.toString());
                return false;
            }
        }).get();
    }

    /**
     * Hands the messages without an attempt in flight over to the standby process, and waits until that one
     * serves or the time is up. Returns false if the handover cannot be written in time: the standby process
     * then takes over only when this one has ended, and this one shuts down as if there were no standby.
     */
    private boolean handOver(long untilNanos) throws InterruptedException, ExecutionException {
        while (!eventLoop.submit(this::tryWriteHandover).get()) {
            if (System.nanoTime() >= untilNanos) {
                return false;
            }
            Thread.sleep(HANDOVER_RETRY_MS);
        }
        while (System.nanoTime() < untilNanos && !journal.isTakenOver() && isStandbyWaiting()) {
            Thread.sleep(SHUTDOWN_POLL_MS);
        }
        return true;
    }

    private boolean tryWriteHandover() {
        try {
            driver.handOver();
            connections.setMaxConnections(config.descriptorBudget().clientConnections() / 2);
            return true;
        } catch (IOException e) {
            LOG.warn("cannot write the handover, retrying: {}", e.toString());
            return false;
        }
    }

    /**
     * Stops listening after accepting the connections that are queued, and waits until all connections are
     * closed. Each one is closed by its next response or by the request timeout: closing it now would cut off
     * a request that is on its way.
     */
    private void drainClients(long deadlineNanos) throws InterruptedException, ExecutionException {
        Future<Void> drained = eventLoop.submit(clientListener::drain).get();
        // Until then, no connection of those that are queued is counted.
        drained.await(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        while (System.nanoTime() < deadlineNanos && eventLoop.submit(connections::size).get() > 0) {
            Thread.sleep(SHUTDOWN_POLL_MS);
        }
    }

    /** Ends abruptly: messages that have not ended stay in the journal. */
    @Override
    public void close() {
        eventLoop.submit(() -> {
            shuttingDown = true;
            if (driver != null) {
                driver.stop();
            }
            if (clientListener != null) {
                clientListener.close();
            }
        }).awaitUninterruptibly();
        eventLoopGroup.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        try {
            if (journal != null) {
                journal.close();
            }
        } catch (IOException e) {
            LOG.error("journal not closed", e);
        }
        if (console != null) {
            console.close();
        }
        closed.countDown();
    }
}
