package wrenkeel.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.Map;
import java.util.function.LongConsumer;
import wrenkeel.Wire;

/**
 * A relay without a door, clients and calls: what is left is all that the fleet's size costs, by the code
 * that a real relay runs. It keeps the list, watches its agent, tells the module, takes reloads. For scale
 * runs, where one process holds hundreds of them; {@code serve} never loads it.
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
     * {@code eventLoop} is this relay's alone; {@code env} holds the EDGE_* variables that a relay is started
     * with; {@code whenApplied} is called on the loop with the version of each list or change, once the
     * module has taken it in.
     */
    public ListOnlyRelay(EventLoop eventLoop, Map<String, String> env, LongConsumer whenApplied) {
        this.eventLoop = eventLoop;
        this.env = env;
        this.whenApplied = whenApplied;
    }

    /** Reads the configuration and begins to watch; fails if no relay could start so. */
    public Future<?> start() {
        return eventLoop.submit(() -> {
            createDriver();
            return null;
        });
    }

    private void createDriver() throws Config.Unusable, IOException, Wire.Malformed {
        config = Config.read(env);
        Metrics metrics = new Metrics();
        ProcessClock clock = ProcessClock.system();
        Bootstrap calls = new Bootstrap().group(eventLoop)
            .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false));
        HostList hosts = new HostList(config.zones(), config.kinds());
        HostPool pool = new HostPool(eventLoop, calls, config.settings().allowed().connectTimeout(),
            config.settings().allowed().keepAlive(), config.descriptors().hosts(), metrics);
        journal = new Journal(config.state(), config.diskBytes(), clock, FileOperations.SYSTEM);
        driver = new ControlDriver(eventLoop, clock, config, hosts, pool, journal, metrics, (whenListed, whenNoticed) ->
            new Discovery(eventLoop, calls, config.discovery(), hosts, change -> {
                whenListed.listed(change);
                // Behind the module's turn, which stands in the loop's queue by now.
                eventLoop.execute(() -> versionApplied(hosts.version()));
            }, whenNoticed));
        driver.start(config.known());
        // Nobody else shares the folder: what is there was left by one that has ended.
        driver.adopt();
        journal.takenOver();
    }

    private void versionApplied(long appliedVersion) {
        version = appliedVersion;
        whenApplied.accept(appliedVersion);
    }

    /** The version of the list in force; -1 before the first. Any thread may ask. */
    public long version() {
        return version;
    }

    /** Reads the configuration anew, as at SIGHUP; fails, and changes nothing, if it is of no use. */
    public Future<?> reload() {
        return eventLoop.submit(() -> {
            Config next = config.reread(env);
            driver.reconfigure(next);
            config = next;
            return null;
        });
    }

    /**
     * The end as by SIGKILL: nothing more is decided or written down. What has been scheduled and the
     * connection to the agent only end with the loop, which the owner shuts down next.
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
