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
public final class HollowRelay {
    private final EventLoop loop;
    private final Map<String, String> env;
    private final LongConsumer whenInForce;
    private volatile long version = -1;
    private Config config;
    private Journal journal;
    private Loop driver;

    /**
     * {@code loop} is this relay's alone; {@code env} holds the EDGE_* variables that a relay is started
     * with; {@code whenInForce} is called on the loop with the version of each list or change, once the
     * module has taken it in.
     */
    public HollowRelay(EventLoop loop, Map<String, String> env, LongConsumer whenInForce) {
        this.loop = loop;
        this.env = env;
        this.whenInForce = whenInForce;
    }

    /** Reads the configuration and begins to watch; fails if no relay could start so. */
    public Future<?> start() {
        return loop.submit(() -> {
            begin();
            return null;
        });
    }

    private void begin() throws Config.Unusable, IOException, Wire.Malformed {
        config = Config.read(env);
        Figures figures = new Figures();
        ProcessClock clock = ProcessClock.system();
        Bootstrap calls = new Bootstrap().group(loop)
            .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false));
        HostList hosts = new HostList(config.zones(), config.kinds());
        HostPool pool = new HostPool(loop, calls, config.settings().allowed().connectTimeout(),
            config.settings().allowed().keepAlive(), config.descriptors().hosts(), figures);
        journal = new Journal(config.state(), config.diskBytes(), clock, FileOperations.SYSTEM);
        driver = new Loop(loop, clock, config, hosts, pool, journal, figures, (whenListed, whenNoticed) ->
            new Discovery(loop, calls, config.discovery(), hosts, change -> {
                whenListed.onListChanged(change);
                // Behind the module's turn, which stands in the loop's queue by now.
                loop.execute(() -> inForce(hosts.version()));
            }, whenNoticed));
        driver.start(config.known());
        // Nobody else shares the folder: what is there was left by one that has ended.
        driver.adopt();
        journal.takenOver();
    }

    private void inForce(long held) {
        version = held;
        whenInForce.accept(held);
    }

    /** The version of the list in force; -1 before the first. Any thread may ask. */
    public long version() {
        return version;
    }

    /** Reads the configuration anew, as at SIGHUP; fails, and changes nothing, if it is of no use. */
    public Future<?> reload() {
        return loop.submit(() -> {
            Config next = config.reread(env);
            driver.retune(next);
            config = next;
            return null;
        });
    }

    /**
     * The end as by SIGKILL: nothing more is decided or written down. What has been scheduled and the
     * connection to the agent only end with the loop, which the owner shuts down next.
     */
    public Future<?> stop() {
        return loop.submit(() -> {
            if (driver != null) {
                driver.stop();
                journal.close();
            }
            return null;
        });
    }
}
