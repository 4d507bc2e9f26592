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
    private final Map<String, String> env;
    private MultiThreadIoEventLoopGroup thread;
    private HollowRelay relay;
    private volatile long startedAt;
    private volatile long heldAt;
    private volatile long held = -1;
    /** When the versions after {@code base} came into force (epoch us), by their distance from it. */
    private volatile long[] inForceAt = new long[0];
    private volatile long base;

    /** Writes its configuration; {@code port}: its agent's, on loopback. */
    TimedRelay(Path folder, String name, int port) throws IOException {
        Path home = Files.createDirectories(folder.resolve(name));
        Path state = Files.createDirectories(home.resolve("state"));
        Path config = home.resolve("config.json");
        RelayConfig.write(config, RelaySettings.typical(name),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), null);
        env = Map.of("EDGE_CONFIG", config.toString(), "EDGE_STATE", state.toString());
    }

    /** Holds no list yet; its times begin anew. */
    void start() {
        thread = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("relay", true),
            NioIoHandler.newFactory());
        EventLoop loop = thread.next();
        held = -1;
        heldAt = 0;
        startedAt = EpochClock.micros();
        relay = new HollowRelay(loop, env, this::inForce);
        relay.start().addListener(done -> {
            if (!done.isSuccess()) {
                System.err.println("relay not started: " + done.cause());
            }
        });
    }

    /** On the relay's thread. */
    private void inForce(long version) {
        long now = EpochClock.micros();
        long[] times = inForceAt;
        // A whole list brings all before it into force as well.
        for (long v = Math.max(held, base) + 1; v <= version && v - base <= times.length; v++) {
            times[(int) (v - base) - 1] = now;
        }
        if (held < 0) {
            heldAt = now;
        }
        held = version;
    }

    /** Notes from now on when each of so many versions after this one comes into force; it must be held. */
    void recordVersions(long version, int count) {
        inForceAt = new long[count];
        base = version;
    }

    void stop() {
        if (relay != null) {
            relay.stop().syncUninterruptibly();
            Shutdown.begin(thread);
            relay = null;
        }
    }

    boolean isStarted() {
        return relay != null;
    }

    /** The version in force; -1 before the first. */
    long appliedVersion() {
        return held;
    }

    /** When it was last started, epoch us. */
    long startedAtMicros() {
        return startedAt;
    }

    /** When its first list since then was in force, epoch us; 0 before that. */
    long firstAppliedAtMicros() {
        return heldAt;
    }

    /** When a version came into force, epoch us; 0 if it has not, or was not to be noted. */
    long appliedAtMicros(long version) {
        long index = version - base - 1;
        return index < 0 || index >= inForceAt.length ? 0 : inForceAt[(int) index];
    }
}
