package wrenkeel.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
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
    /** ms between looks: for the end, at what the earlier process passes on, and after a fault. */
    private static final long LOOK = 20, TURN_OVER = 10, AGAIN = 200;

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop thread = group.next();
    private final CountDownLatch left = new CountDownLatch(1);
    private final Figures figures = new Figures();
    private final Console console;
    private final ProcessClock clock;
    private volatile boolean ready;
    private final Journal journal;
    private volatile Config config;
    private Loop loop;
    private Server server;
    private Callers clients;
    private Door door;
    /** False while it stands by. */
    private boolean serving;

    /** Takes up what the lasting folder holds, and serves; or stands by while an earlier process serves. */
    Node(Config config) throws IOException, InterruptedException, ExecutionException {
        this(config, Machine.SYSTEM);
    }

    Node(Config config, Machine machine) throws IOException, InterruptedException, ExecutionException {
        this.config = config;
        clock = new ProcessClock(machine.clock());
        console = config.console() == null ? null : new Console(config.console(), () -> ready, figures);
        if (console != null) {
            LOG.info("operators at {}", consoleAddress());
        }
        journal = new Journal(config.state(), config.diskBytes(), clock, machine.files());
        thread.submit(() -> {
            begin();
            if (journal.earlierServes()) {
                standBy();
            } else {
                serve();
            }
            return null;
        }).get();
    }

    /** Reserves the clients' address, and looks again and again whether the earlier process has left. */
    private void standBy() throws IOException {
        clients.allow(config.descriptors().clients() / 2);
        door = Door.reserve(config.listen());
        LOG.info("standing by for {}", config.listen());
        ready = true;
        thread.schedule(this::await, TURN_OVER, TimeUnit.MILLISECONDS);
    }

    private void await() {
        try {
            if (journal.earlierServes()) {
                thread.schedule(this::await, TURN_OVER, TimeUnit.MILLISECONDS);
            } else {
                serve();
            }
        } catch (IOException e) {
            LOG.error("cannot take over, tried again", e);
            thread.schedule(this::await, AGAIN, TimeUnit.MILLISECONDS);
        }
    }

    /** Takes over what is left by earlier processes, and opens the door to clients. */
    private void serve() throws IOException {
        Journal.Left left = journal.knowledge();
        if (left != null) {
            loop.learn(left);
        }
        loop.adopt();
        if (door != null) {
            door.close();
        }
        door = Door.open(config.listen(), thread, server, loop::acceptedLate);
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
            } catch (IOException e) {
                LOG.error("cannot take over all, tried again", e);
            }
            thread.schedule(this::adoptOn, TURN_OVER, TimeUnit.MILLISECONDS);
        } else {
            clients.allow(config.descriptors().clients());
        }
    }

    /** Serves until the process is told to end; 2 where the configuration is of no use. */
    public static int serve(Map<String, String> env) {
        CompletableFuture<Node> started = new CompletableFuture<>();
        try {
            // Before anybody can see that it is ready: a signal may come at that very moment.
            Hangup.whenHeard(() -> started.thenAccept(node -> node.reload(env)));
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
            thread.submit(() -> loop.retune(next)).get();
            config = next;
            figures.reloaded();
            LOG.info("configuration read anew, discovery is at {}", next.discovery());
        } catch (Config.Unusable e) {
            figures.reloadFailed();
            LOG.error("not reloaded: {}", e.getMessage());
        } catch (RejectedExecutionException e) {
            figures.reloadFailed();
            LOG.warn("not reloaded: the relay has ended");
        } catch (ExecutionException e) {
            figures.reloadFailed();
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
        loop = new Loop(thread, clock, config, hosts, pool, journal, figures,
            (whenListed, whenNoticed) -> new Discovery(thread, calls, config.discovery(), hosts, whenListed,
                whenNoticed));
        loop.start(config.known());
        clients = new Callers(config.descriptors().clients());
        server = new Server(loop, clients);
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
        return thread.submit(loop::idle).get();
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
            thread.submit(server::leave).get();
            if (!thread.submit(() -> serving).get()) {
                LOG.info("told to end while standing by");
            } else if (thread.submit(journal::laterWaits).get()) {
                handOver(by);
            } else {
                Thread.sleep(SERVE_ON);
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

    /** What is not out is passed on; the door closes once the next process has opened its own. */
    private void handOver(long by) throws InterruptedException, ExecutionException {
        thread.submit(() -> {
            loop.leave();
            clients.allow(config.descriptors().clients() / 2);
            return null;
        }).get();
        while (System.nanoTime() < by && !journal.laterServes() && thread.submit(journal::laterWaits).get()) {
            Thread.sleep(LOOK);
        }
        turnAway(by);
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
        thread.submit(loop::stop).awaitUninterruptibly();
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        try {
            journal.close();
        } catch (IOException e) {
            LOG.error("journal not closed", e);
        }
        if (console != null) {
            console.close();
        }
        left.countDown();
    }
}
