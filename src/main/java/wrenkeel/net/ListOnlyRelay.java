package wrenkeel.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.Map;
import java.util.function.LongConsumer;
import wrenkeel.Wire;

/**
 * A relay without a client listener, clients and calls. It keeps the host list, watches its agent, passes
 * updates to the decision module and reloads its configuration, by the same code as a real relay: this is all
 * of a relay's cost that depends on the size of the fleet. For scale runs, where one process holds hundreds
 * of them; {@code serve} never loads this class.
 */
public final class ListOnlyRelay {
    private final EventLoop eventLoop;
    private final Map<String, String> env;
    private final LongConsumer whenApplied;
    private volatile long version = -1;
    private Config config;
    private Journal journal;
    private ControlDriver driver;

    /**
     * Creates a relay that is not started.
     *
     * @param eventLoop used by this relay alone
     * @param env the EDGE_* variables that a relay is started with
     * @param whenApplied called on the event loop with the version of each list or update, once the module
     *     has processed it
     */
    public ListOnlyRelay(EventLoop eventLoop, Map<String, String> env, LongConsumer whenApplied) {
        this.eventLoop = eventLoop;
        this.env = env;
        this.whenApplied = whenApplied;
    }

    /** Reads the configuration and starts watching; fails if a real relay could not start with it. */
    public Future<?> start() {
        return eventLoop.submit(() -> {
            createDriver();
            return null;
        });
    }

    private void createDriver() throws Config.InvalidConfigException, IOException, Wire.MalformedException {
        config = Config.read(env);
        Metrics metrics = new Metrics();
        ProcessClock clock = ProcessClock.system();
        Bootstrap calls = new Bootstrap().group(eventLoop)
            .option(ChannelOption.ALLOCATOR, new HeapBufferAllocator())
            .option(ChannelOption.RECVBUF_ALLOCATOR, HeapBufferAllocator.readSizes());
        HostList hosts = new HostList(config.zones(), config.kinds());
        HostPool pool = new HostPool(eventLoop, calls, config.settings().limits().connectTimeout(),
            config.settings().limits().keepAlive(), config.descriptorBudget().hostConnections(), metrics);
        journal = new Journal(config.stateFolder(), config.diskLimitBytes(), clock, FileOperations.SYSTEM);
        driver = new ControlDriver(eventLoop, clock, config, hosts, pool, journal, metrics,
            (listener, onAcknowledged) ->
                new Discovery(eventLoop, calls, config.discoveryAddress(), hosts, change -> {
                    listener.onListChanged(change);
                    // Runs after the module's turn, which is in the event loop's queue already.
                    eventLoop.execute(() -> versionApplied(hosts.version()));
                }, onAcknowledged));
        driver.start(config.savedList());
        // No other process shares the state folder: what it holds was left by one that has ended.
        driver.adopt();
        journal.confirmTakeover();
    }

    private void versionApplied(long appliedVersion) {
        version = appliedVersion;
        whenApplied.accept(appliedVersion);
    }

    /** Returns the version of the applied list; -1 before the first. Thread-safe. */
    public long version() {
        return version;
    }

    /** Rereads the configuration, as at SIGHUP; fails, and changes nothing, if it is invalid. */
    public Future<?> reload() {
        return eventLoop.submit(() -> {
            Config next = config.reload(env);
            driver.reconfigure(next);
            config = next;
            return null;
        });
    }

    /**
     * Ends as SIGKILL would: nothing more is decided or written. Scheduled tasks and the connection to the
     * agent end only with the event loop, which the owner shuts down next.
     */
    public Future<?> stop() {
        return eventLoop.submit(() -> {
            if (driver != null) {
                driver.stop();
                journal.close();
            }
            return null;
        });
    }
}
