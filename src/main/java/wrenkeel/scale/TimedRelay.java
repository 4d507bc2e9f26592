package wrenkeel.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import wrenkeel.net.ListOnlyRelay;

/**
 * A list-only relay with its own folder and thread, which records when it applies each version of the list.
 * A version is applied once the decision module has received it. The relay's thread records times; one other
 * thread may start, stop and read.
 */
final class TimedRelay {
    private final Map<String, String> environment;
    private MultiThreadIoEventLoopGroup eventLoops;
    private ListOnlyRelay relay;
    private volatile long startedAtMicros;
    private volatile long firstAppliedAtMicros;
    private volatile long appliedVersion = -1;
    /**
     * When each version after {@code baseVersion} was applied, in microseconds since the Unix epoch; the
     * first element is that of {@code baseVersion + 1}.
     */
    private volatile long[] appliedAtMicros = new long[0];
    private volatile long baseVersion;

    /** Writes the relay's configuration; {@code port} is the loopback port of its agent. */
    TimedRelay(Path folder, String name, int port) throws IOException {
        Path home = Files.createDirectories(folder.resolve(name));
        Path state = Files.createDirectories(home.resolve("state"));
        Path config = home.resolve("config.json");
        RelayConfig.write(config, RelaySettings.typical(name),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), null);
        environment = Map.of("EDGE_CONFIG", config.toString(), "EDGE_STATE", state.toString());
    }

    /** Starts the relay without a list, and resets its start and first-list times. */
    void start() {
        eventLoops = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("relay", true),
            NioIoHandler.newFactory());
        EventLoop loop = eventLoops.next();
        appliedVersion = -1;
        firstAppliedAtMicros = 0;
        startedAtMicros = EpochClock.micros();
        relay = new ListOnlyRelay(loop, environment, this::onApplied);
        relay.start().addListener(done -> {
            if (!done.isSuccess()) {
                System.err.println("relay could not be started: " + done.cause());
            }
        });
    }

    /** Records the times of a version that was applied. Runs on the relay's thread. */
    private void onApplied(long version) {
        long nowMicros = EpochClock.micros();
        long[] appliedTimes = appliedAtMicros;
        // A whole list applies all versions before it as well.
        for (long v = Math.max(appliedVersion, baseVersion) + 1;
             v <= version && v - baseVersion <= appliedTimes.length; v++) {
            appliedTimes[(int) (v - baseVersion) - 1] = nowMicros;
        }
        if (appliedVersion < 0) {
            firstAppliedAtMicros = nowMicros;
        }
        appliedVersion = version;
    }

    /**
     * Records from now on when each of the {@code count} versions after {@code version}, which the relay must
     * have applied, is applied.
     */
    void recordVersions(long version, int count) {
        appliedAtMicros = new long[count];
        baseVersion = version;
    }

    /** Stops the relay without a clean shutdown; no effect if it is not started. */
    void stop() {
        if (relay != null) {
            relay.stop().syncUninterruptibly();
            Shutdown.begin(eventLoops);
            relay = null;
        }
    }

    /** Returns whether the relay was started and not stopped since. */
    boolean isStarted() {
        return relay != null;
    }

    /** Returns the version applied last; -1 before the first list. */
    long appliedVersion() {
        return appliedVersion;
    }

    /** Returns when the relay was last started, in microseconds since the Unix epoch. */
    long startedAtMicros() {
        return startedAtMicros;
    }

    /**
     * Returns when the first list since the last start was applied, in microseconds since the Unix epoch; 0
     * before that.
     */
    long firstAppliedAtMicros() {
        return firstAppliedAtMicros;
    }

    /**
     * Returns when a version was applied, in microseconds since the Unix epoch; 0 if it was not applied or
     * not to be recorded.
     */
    long appliedAtMicros(long version) {
        long index = version - baseVersion - 1;
        return index < 0 || index >= appliedAtMicros.length ? 0 : appliedAtMicros[(int) index];
    }
}
