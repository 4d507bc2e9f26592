package wrenkeel.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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

/** One real relay: its parts put together, its start and its orderly end. */
public final class Node implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    /**
     * ms from SIGTERM: clients are served on for the first, all is over by the second (SIGKILL may come at
     * 3.7 s).
     */
    private static final long SERVE_AFTER_SIGTERM_MS = 600, SHUTDOWN_TIMEOUT_MS = 3_300;
    /** ns before the end by which a hand-over is written down or done without; ms between tries. */
    private static final long HANDOVER_RESERVE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000), HANDOVER_RETRY_MS = 50;
    /** ms between looks: for the end, at what the earlier process passes on, and after a fault. */
    private static final long SHUTDOWN_POLL_MS = 20, TAKEOVER_POLL_MS = 10, TAKEOVER_RETRY_MS = 200;
    /** ms between tries to use a lasting folder that fails: the first gap, doubled up to the longest. */
    private static final long MIN_START_RETRY_MS = 50, MAX_START_RETRY_MS = 1_000;

    private final MultiThreadIoEventLoopGroup eventLoopGroup =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = eventLoopGroup.next();
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Metrics metrics = new Metrics();
    private final Console console;
    private final ProcessClock clock;
    private volatile boolean ready;
    private final Machine machine;
    private final ConnectionLimiter connections;
    private final Server server;
    private volatile Config config;
    /** Null until the lasting folder can be written. */
    private volatile Journal journal;
    /** Null as long as the journal. */
    private volatile ControlDriver driver;
    private ClientListener clientListener;
    /** False while it stands by, or waits for the lasting folder. */
    private boolean serving;
    private boolean shuttingDown;

    /** Takes up what the lasting folder holds, and serves; or stands by while an earlier process serves. */
    Node(Config config) throws IOException, InterruptedException, ExecutionException {
        this(config, Machine.SYSTEM);
    }

    Node(Config config, Machine machine) throws IOException, InterruptedException, ExecutionException {
        this.config = config;
        this.machine = machine;
        connections = new ConnectionLimiter(config.descriptors().clients());
        server = new Server(connections);
        clock = new ProcessClock(machine.clock());
        console = config.console() == null ? null : new Console(config.console(), () -> ready, metrics);
        if (console != null) {
            LOG.info("operators at {}", consoleAddress());
        }
        eventLoop.submit(() -> {
            start(MIN_START_RETRY_MS);
            return null;
        }).get();
    }

    /**
     * Begins this process's journal and serves, or stands by. While the folder cannot be written, or the
     * machine has no socket, it waits and tries again: what is owed is not given up for that.
     */
    private void start(long delayMillis) throws IOException, Wire.Malformed {
        try {
            if (journal == null) {
                journal = new Journal(config.state(), config.diskBytes(), clock, machine.files());
            }
            if (driver == null) {
                createDriver();
            }
            if (journal.earlierServes()) {
                standBy();
            } else {
                serve();
            }
        } catch (UnusableFolder | BindException | Wire.Malformed e) {
            throw e;
        } catch (IOException e) {
            LOG.warn("cannot serve yet, tried again in {} ms: {}", delayMillis, e.toString());
            refuseUntilServing();
            eventLoop.schedule(() -> retryStart(Math.min(MAX_START_RETRY_MS, 2 * delayMillis)), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void retryStart(long delayMillis) {
        if (shuttingDown) {
            return;
        }
        try {
            start(delayMillis);
        } catch (IOException | RuntimeException e) {
            LOG.error("cannot start, tried again in {} ms", delayMillis, e);
            eventLoop.schedule(() -> retryStart(delayMillis), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Clients hear that this relay does not serve yet, unless another process may be serving them. */
    private void refuseUntilServing() throws BindException {
        if (clientListener != null || !isAlone()) {
            return;
        }
        try {
            server.refuseUntilServing();
            clientListener = ClientListener.open(config.listen(), eventLoop, server, nanos -> { }, machine.sockets());
            LOG.info("not serving yet on {}", address());
        } catch (BindException e) {
            throw e;
        } catch (IOException e) {
            LOG.warn("clients find nobody at {} yet: {}", config.listen(), e.toString());
        }
    }

    /** True if no earlier process can be serving at the address. */
    private boolean isAlone() {
        try {
            return journal == null ? !Tenure.anyLives(config.state(), machine.files())
                : !journal.earlierServes();
        } catch (IOException e) {
            LOG.warn("the lasting folder cannot be read: {}", e.toString());
            return false;
        }
    }

    /** Reserves the clients' address, and looks again and again whether the earlier process has left. */
    private void standBy() throws IOException {
        connections.setMaxConnections(config.descriptors().clients() / 2);
        clientListener = ClientListener.reserve(config.listen());
        LOG.info("standing by for {}", config.listen());
        ready = true;
        eventLoop.schedule(this::pollForTakeover, TAKEOVER_POLL_MS, TimeUnit.MILLISECONDS);
    }

    private void pollForTakeover() {
        if (shuttingDown) {
            return;
        }
        try {
            if (journal.earlierServes()) {
                eventLoop.schedule(this::pollForTakeover, TAKEOVER_POLL_MS, TimeUnit.MILLISECONDS);
            } else {
                serve();
            }
        } catch (IOException | RuntimeException e) {
            LOG.error("cannot take over, tried again", e);
            eventLoop.schedule(this::pollForTakeover, TAKEOVER_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Takes over what is left by earlier processes, and opens the door to clients. */
    private void serve() throws IOException {
        Journal.Left left = journal.knowledge();
        if (left != null) {
            driver.restoreSnapshot(left);
        }
        driver.adopt();
        if (clientListener == null || !clientListener.isListening()) {
            ClientListener reserved = clientListener;
            clientListener = ClientListener.open(config.listen(), eventLoop, server, nanos -> driver.recordAcceptDelay(nanos),
                machine.sockets());
            if (reserved != null) {
                reserved.close();
            }
        }
        server.serve(driver, metrics);
        journal.takenOver();
        serving = true;
        ready = true;
        LOG.info("serving on {}, {} messages taken up", address(), journal.size());
        continueAdopting();
    }

    /** What the process that leaves still passes on, until it has ended. */
    private void continueAdopting() {
        if (journal.hasLegacies()) {
            try {
                driver.adopt();
            } catch (IOException | RuntimeException e) {
                // Guards what is still passed on: without another look nobody would take it over.
                LOG.error("cannot take over all, tried again", e);
            }
            eventLoop.schedule(this::continueAdopting, TAKEOVER_POLL_MS, TimeUnit.MILLISECONDS);
        } else {
            connections.setMaxConnections(config.descriptors().clients());
        }
    }

    /** Serves until the process is told to end; 2 where the configuration is of no use. */
    public static int serve(Map<String, String> env) {
        CompletableFuture<Node> started = new CompletableFuture<>();
        try {
            // Before anybody can see that it is ready: a signal may come at that very moment.
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
        } catch (Config.Unusable e) {
            System.err.println(e.getMessage());
        } catch (IOException e) {
            System.err.println("cannot start: " + e);
        } catch (ExecutionException e) {
            System.err.println("cannot start: " + e.getCause());
        } catch (InterruptedException e) {
            System.err.println("interrupted at the start");
        } catch (ReflectiveOperationException e) {
            System.err.println("cannot listen for SIGHUP: " + e);
        } finally {
            started.cancel(false);
        }
        return 2;
    }

    /** Reads the configuration anew, whole; one that is of no use changes nothing. */
    synchronized void reload(Map<String, String> env) {
        try {
            Config next = config.reread(env);
            eventLoop.submit(() -> {
                if (driver != null) {
                    driver.reconfigure(next);
                }
                config = next;
            }).get();
            metrics.countReload();
            LOG.info("configuration read anew, discovery is at {}", next.discovery());
        } catch (Config.Unusable e) {
            metrics.countReloadError();
            LOG.error("not reloaded: {}", e.getMessage());
        } catch (RejectedExecutionException e) {
            metrics.countReloadError();
            LOG.warn("not reloaded: the relay has ended");
        } catch (ExecutionException e) {
            metrics.countReloadError();
            LOG.error("not reloaded", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void createDriver() throws Wire.Malformed {
        Bootstrap calls = new Bootstrap().group(eventLoop)
            .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false));
        HostList hosts = new HostList(config.zones(), config.kinds());
        HostPool pool = new HostPool(eventLoop, calls, config.settings().allowed().connectTimeout(),
            config.settings().allowed().keepAlive(), config.descriptors().hosts(), metrics);
        driver = new ControlDriver(eventLoop, clock, config, hosts, pool, journal, metrics,
            (whenListed, whenNoticed) -> new Discovery(eventLoop, calls, config.discovery(), hosts, whenListed,
                whenNoticed));
        driver.start(config.known());
    }

    /** Waits until it serves; for a test. */
    void awaitServing() throws InterruptedException, ExecutionException {
        while (!eventLoop.submit(() -> serving).get()) {
            Thread.sleep(SHUTDOWN_POLL_MS);
        }
    }

    /** The address that clients connect to. */
    InetSocketAddress address() {
        return clientListener.address();
    }

    /** The address that operators connect to. */
    InetSocketAddress consoleAddress() {
        return console.address();
    }

    /** True when nothing is owed any more. */
    boolean isIdle() throws InterruptedException, ExecutionException {
        return eventLoop.submit(() -> driver == null || driver.isIdle()).get();
    }

    /**
     * The orderly end: connections are served until clients have turned away, then what is held is worked
     * off. What is left stays in the journal, as it does when the process is killed; where another process
     * stands by, it takes over at once.
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
                LOG.info("told to end before it served");
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
            LOG.error("left at once", e);
        }
        close();
    }

    /** Whether another process stands by; where the folder cannot be read, as if none did. */
    private boolean isStandbyWaiting() throws InterruptedException, ExecutionException {
        return eventLoop.submit(() -> {
            try {
                return journal.laterWaits();
            } catch (IOException e) {
                LOG.warn("cannot tell whether another process stands by: {}", e.toString());
                return false;
            }
        }).get();
    }

    /**
     * What is not out is passed on, and the next process opens its door. False where that cannot be written
     * down until then: the next process takes over once this one has ended, and clients are turned away as
     * if there were none.
     */
    private boolean handOver(long untilNanos) throws InterruptedException, ExecutionException {
        while (!eventLoop.submit(this::tryWriteHandover).get()) {
            if (System.nanoTime() >= untilNanos) {
                return false;
            }
            Thread.sleep(HANDOVER_RETRY_MS);
        }
        while (System.nanoTime() < untilNanos && !journal.laterServes() && isStandbyWaiting()) {
            Thread.sleep(SHUTDOWN_POLL_MS);
        }
        return true;
    }

    private boolean tryWriteHandover() {
        try {
            driver.handOver();
            connections.setMaxConnections(config.descriptors().clients() / 2);
            return true;
        } catch (IOException e) {
            LOG.warn("the hand-over cannot be written down, tried again: {}", e.toString());
            return false;
        }
    }

    /**
     * The door closes behind those who wait there. Clients that hold connections are served, and each answer
     * closes one, as does a silence: closing them now would cut off what is on its way.
     */
    private void drainClients(long deadlineNanos) throws InterruptedException, ExecutionException {
        eventLoop.submit(clientListener::drain).get();
        while (System.nanoTime() < deadlineNanos && eventLoop.submit(connections::size).get() > 0) {
            Thread.sleep(SHUTDOWN_POLL_MS);
        }
    }

    /** The abrupt end: what is owed stays in the journal. */
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
