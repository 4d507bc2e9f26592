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
    private static final long SERVE_ON = 600, LEAVE_BY = 3_300;
    /** ns before the end by which a hand-over is written down or done without; ms between tries. */
    private static final long HAND_OVER_MOST = TimeUnit.MILLISECONDS.toNanos(1_000), HAND_OVER_GAP = 50;
    /** ms between looks: for the end, at what the earlier process passes on, and after a fault. */
    private static final long LOOK = 20, TURN_OVER = 10, AGAIN = 200;
    /** ms between tries to use a lasting folder that fails: the first gap, doubled up to the longest. */
    private static final long FOLDER_GAP_FIRST = 50, FOLDER_GAP_MOST = 1_000;

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop thread = group.next();
    private final CountDownLatch left = new CountDownLatch(1);
    private final Metrics figures = new Metrics();
    private final Console console;
    private final ProcessClock clock;
    private volatile boolean ready;
    private final Machine machine;
    private final ConnectionLimiter clients;
    private final Server server;
    private volatile Config config;
    /** Null until the lasting folder can be written. */
    private volatile Journal journal;
    /** Null as long as the journal. */
    private volatile ControlDriver loop;
    private ClientListener door;
    /** False while it stands by, or waits for the lasting folder. */
    private boolean serving;
    private boolean ending;

    /** Takes up what the lasting folder holds, and serves; or stands by while an earlier process serves. */
    Node(Config config) throws IOException, InterruptedException, ExecutionException {
        this(config, Machine.SYSTEM);
    }

    Node(Config config, Machine machine) throws IOException, InterruptedException, ExecutionException {
        this.config = config;
        this.machine = machine;
        clients = new ConnectionLimiter(config.descriptors().clients());
        server = new Server(clients);
        clock = new ProcessClock(machine.clock());
        console = config.console() == null ? null : new Console(config.console(), () -> ready, figures);
        if (console != null) {
            LOG.info("operators at {}", consoleAddress());
        }
        thread.submit(() -> {
            start(FOLDER_GAP_FIRST);
            return null;
        }).get();
    }

    /**
     * Begins this process's journal and serves, or stands by. While the folder cannot be written, or the
     * machine has no socket, it waits and tries again: what is owed is not given up for that.
     */
    private void start(long gap) throws IOException, Wire.Malformed {
        try {
            if (journal == null) {
                journal = new Journal(config.state(), config.diskBytes(), clock, machine.files());
            }
            if (loop == null) {
                begin();
            }
            if (journal.earlierServes()) {
                standBy();
            } else {
                serve();
            }
        } catch (UnusableFolder | BindException | Wire.Malformed e) {
            throw e;
        } catch (IOException e) {
            LOG.warn("cannot serve yet, tried again in {} ms: {}", gap, e.toString());
            turnAwayUntilServing();
            thread.schedule(() -> startAgain(Math.min(FOLDER_GAP_MOST, 2 * gap)), gap, TimeUnit.MILLISECONDS);
        }
    }

    private void startAgain(long gap) {
        if (ending) {
            return;
        }
        try {
            start(gap);
        } catch (IOException | RuntimeException e) {
            LOG.error("cannot start, tried again in {} ms", gap, e);
            thread.schedule(() -> startAgain(gap), gap, TimeUnit.MILLISECONDS);
        }
    }

    /** Clients hear that this relay does not serve yet, unless another process may be serving them. */
    private void turnAwayUntilServing() throws BindException {
        if (door != null || !alone()) {
            return;
        }
        try {
            server.turnAwayUntilServing();
            door = ClientListener.open(config.listen(), thread, server, nanos -> { }, machine.sockets());
            LOG.info("not serving yet on {}", address());
        } catch (BindException e) {
            throw e;
        } catch (IOException e) {
            LOG.warn("clients find nobody at {} yet: {}", config.listen(), e.toString());
        }
    }

    /** True if no earlier process can be serving at the address. */
    private boolean alone() {
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
        clients.setMaxConnections(config.descriptors().clients() / 2);
        door = ClientListener.reserve(config.listen());
        LOG.info("standing by for {}", config.listen());
        ready = true;
        thread.schedule(this::await, TURN_OVER, TimeUnit.MILLISECONDS);
    }

    private void await() {
        if (ending) {
            return;
        }
        try {
            if (journal.earlierServes()) {
                thread.schedule(this::await, TURN_OVER, TimeUnit.MILLISECONDS);
            } else {
                serve();
            }
        } catch (IOException | RuntimeException e) {
            LOG.error("cannot take over, tried again", e);
            thread.schedule(this::await, AGAIN, TimeUnit.MILLISECONDS);
        }
    }

    /** Takes over what is left by earlier processes, and opens the door to clients. */
    private void serve() throws IOException {
        Journal.Left left = journal.knowledge();
        if (left != null) {
            loop.restoreSnapshot(left);
        }
        loop.adopt();
        if (door == null || !door.isListening()) {
            ClientListener reserved = door;
            door = ClientListener.open(config.listen(), thread, server, nanos -> loop.recordAcceptDelay(nanos),
                machine.sockets());
            if (reserved != null) {
                reserved.close();
            }
        }
        server.serve(loop, figures);
        journal.takenOver();
        serving = true;
        ready = true;
        LOG.info("serving on {}, {} messages taken up", address(), journal.size());
        adoptOn();
    }

    /** What the process that leaves still passes on, until it has ended. */
    private void adoptOn() {
        if (journal.hasLegacies()) {
            try {
                loop.adopt();
            } catch (IOException | RuntimeException e) {
                // Guards what is still passed on: without another look nobody would take it over.
                LOG.error("cannot take over all, tried again", e);
            }
            thread.schedule(this::adoptOn, TURN_OVER, TimeUnit.MILLISECONDS);
        } else {
            clients.setMaxConnections(config.descriptors().clients());
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
                    node.leave();
                }
                return null;
            }).join(), "leave"));
            Node node = new Node(Config.read(env));
            started.complete(node);
            node.left.await();
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
            thread.submit(() -> {
                if (loop != null) {
                    loop.reconfigure(next);
                }
                config = next;
            }).get();
            figures.countReload();
            LOG.info("configuration read anew, discovery is at {}", next.discovery());
        } catch (Config.Unusable e) {
            figures.countReloadError();
            LOG.error("not reloaded: {}", e.getMessage());
        } catch (RejectedExecutionException e) {
            figures.countReloadError();
            LOG.warn("not reloaded: the relay has ended");
        } catch (ExecutionException e) {
            figures.countReloadError();
            LOG.error("not reloaded", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void begin() throws Wire.Malformed {
        Bootstrap calls = new Bootstrap().group(thread)
            .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false));
        HostList hosts = new HostList(config.zones(), config.kinds());
        HostPool pool = new HostPool(thread, calls, config.settings().allowed().connectTimeout(),
            config.settings().allowed().keepAlive(), config.descriptors().hosts(), figures);
        loop = new ControlDriver(thread, clock, config, hosts, pool, journal, figures,
            (whenListed, whenNoticed) -> new Discovery(thread, calls, config.discovery(), hosts, whenListed,
                whenNoticed));
        loop.start(config.known());
    }

    /** Waits until it serves; for a test. */
    void awaitServing() throws InterruptedException, ExecutionException {
        while (!thread.submit(() -> serving).get()) {
            Thread.sleep(LOOK);
        }
    }

    /** The address that clients connect to. */
    InetSocketAddress address() {
        return door.address();
    }

    /** The address that operators connect to. */
    InetSocketAddress consoleAddress() {
        return console.address();
    }

    /** True when nothing is owed any more. */
    boolean idle() throws InterruptedException, ExecutionException {
        return thread.submit(() -> loop == null || loop.isIdle()).get();
    }

    /**
     * The orderly end: connections are served until clients have turned away, then what is held is worked
     * off. What is left stays in the journal, as it does when the process is killed; where another process
     * stands by, it takes over at once.
     */
    void leave() {
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LEAVE_BY);
        ready = false;
        try {
            thread.submit(() -> {
                ending = true;
                server.leave();
            }).get();
            if (!thread.submit(() -> serving).get()) {
                LOG.info("told to end before it served");
            } else {
                if (!laterWaits() || !passOn(by - HAND_OVER_MOST)) {
                    Thread.sleep(SERVE_ON);
                }
                turnAway(by);
            }
            while (System.nanoTime() < by && !idle()) {
                Thread.sleep(LOOK);
            }
        } catch (InterruptedException | ExecutionException e) {
            LOG.error("left at once", e);
        }
        close();
    }

    /** Whether another process stands by; where the folder cannot be read, as if none did. */
    private boolean laterWaits() throws InterruptedException, ExecutionException {
        return thread.submit(() -> {
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
    private boolean passOn(long until) throws InterruptedException, ExecutionException {
        while (!thread.submit(this::writeHandOver).get()) {
            if (System.nanoTime() >= until) {
                return false;
            }
            Thread.sleep(HAND_OVER_GAP);
        }
        while (System.nanoTime() < until && !journal.laterServes() && laterWaits()) {
            Thread.sleep(LOOK);
        }
        return true;
    }

    private boolean writeHandOver() {
        try {
            loop.handOver();
            clients.setMaxConnections(config.descriptors().clients() / 2);
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
    private void turnAway(long by) throws InterruptedException, ExecutionException {
        thread.submit(door::drain).get();
        while (System.nanoTime() < by && thread.submit(clients::size).get() > 0) {
            Thread.sleep(LOOK);
        }
    }

    /** The abrupt end: what is owed stays in the journal. */
    @Override
    public void close() {
        thread.submit(() -> {
            ending = true;
            if (loop != null) {
                loop.stop();
            }
            if (door != null) {
                door.close();
            }
        }).awaitUninterruptibly();
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
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
        left.countDown();
    }
}
