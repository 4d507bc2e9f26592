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
import wrenkeel.net.HollowRelay;

/** One hollow relay with a folder and a thread of its own, and when each version came into force there. */
final class TimedRelay {
    private final Map<String, String> environment;
    private MultiThreadIoEventLoopGroup eventLoops;
    private HollowRelay relay;
    private volatile long startedAtMicros;
    private volatile long firstAppliedAtMicros;
    private volatile long appliedVersion = -1;
    /** When the versions after {@code baseVersion} came into force (epoch us), by their distance from it. */
    private volatile long[] appliedAtMicros = new long[0];
    private volatile long baseVersion;

    /** Writes its configuration; {@code port}: its agent's, on loopback. */
    TimedRelay(Path folder, String name, int port) throws IOException {
        Path home = Files.createDirectories(folder.resolve(name));
        Path state = Files.createDirectories(home.resolve("state"));
        Path config = home.resolve("config.json");
        RelayConfig.write(config, RelaySettings.typical(name),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), null);
        environment = Map.of("EDGE_CONFIG", config.toString(), "EDGE_STATE", state.toString());
    }

    /** Holds no list yet; its times begin anew. */
    void start() {
        eventLoops = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("relay", true),
            NioIoHandler.newFactory());
        EventLoop loop = eventLoops.next();
        appliedVersion = -1;
        firstAppliedAtMicros = 0;
        startedAtMicros = EpochClock.micros();
        relay = new HollowRelay(loop, environment, this::onApplied);
        relay.start().addListener(done -> {
            if (!done.isSuccess()) {
                System.err.println("relay not started: " + done.cause());
            }
        });
    }

    /** On the relay's thread. */
    private void onApplied(long version) {
        long nowMicros = EpochClock.micros();
        long[] appliedTimes = appliedAtMicros;
        // A whole list brings all before it into force as well.
        for (long v = Math.max(appliedVersion, baseVersion) + 1; v <= version && v - baseVersion <= appliedTimes.length; v++) {
            appliedTimes[(int) (v - baseVersion) - 1] = nowMicros;
        }
        if (appliedVersion < 0) {
            firstAppliedAtMicros = nowMicros;
        }
        appliedVersion = version;
    }

    /** Notes from now on when each of so many versions after this one comes into force; it must be held. */
    void recordVersions(long version, int count) {
        appliedAtMicros = new long[count];
        baseVersion = version;
    }

    void stop() {
        if (relay != null) {
            relay.stop().syncUninterruptibly();
            Shutdown.begin(eventLoops);
            relay = null;
        }
    }

    boolean isStarted() {
        return relay != null;
    }

    /** The version in force; -1 before the first. */
    long appliedVersion() {
        return appliedVersion;
    }

    /** When it was last started, epoch us. */
    long startedAtMicros() {
        return startedAtMicros;
    }

    /** When its first list since then was in force, epoch us; 0 before that. */
    long firstAppliedAtMicros() {
        return firstAppliedAtMicros;
    }

    /** When a version came into force, epoch us; 0 if it has not, or was not to be noted. */
    long appliedAtMicros(long version) {
        long index = version - baseVersion - 1;
        return index < 0 || index >= appliedAtMicros.length ? 0 : appliedAtMicros[(int) index];
    }
}
