package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wrenkeel.Relay.Outcome;

/** A fleet of more than a thousand relays and hosts: no limit is sized for small fleets only. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class FleetSizeTest {
    /** Number of relays, and number of hosts. */
    private static final int FLEET_SIZE = 1_100;
    /** Number of hosts of the large destination. */
    private static final int LARGE_DESTINATION_HOSTS = 600;
    private static final int LARGE_DESTINATION = 7;
    /** The other destinations have consecutive numbers from this one on. */
    private static final int FIRST_SMALL_DESTINATION = 8;
    /** Number of hosts of each other destination. */
    private static final int SMALL_DESTINATION_HOSTS = 5;
    /** A timeout that does not elapse during a test. */
    private static final long LONG_TIMEOUT_MICROS = 60_000_000;

    @TempDir
    Path folder;

    /**
     * The list entry of a host. The first hosts belong to the large destination, the others to small ones.
     */
    private static String hostEntry(int number, int port) {
        int destination = number < LARGE_DESTINATION_HOSTS ? LARGE_DESTINATION
            : FIRST_SMALL_DESTINATION + (number - LARGE_DESTINATION_HOSTS) / SMALL_DESTINATION_HOSTS;
        return Platform.hostJson("s-" + number, port, destination, "ready").replace("\"share\":50",
            "\"share\":5000");
    }

    /** A configuration with this many relays and hosts, and with few sockets. */
    private Config config(Platform platform, String[] hosts) throws Exception {
        platform.writeConfig(hosts);
        Path file = Path.of(platform.environment().get("EDGE_CONFIG"));
        String text = Files.readString(file);
        assertTrue(text.contains("\"balancers\":1,") && text.contains("\"sockets\":1024"));
        Files.writeString(file, text.replace("\"balancers\":1,", "\"balancers\":" + FLEET_SIZE + ",")
            .replace("\"sockets\":1024", "\"sockets\":256"));
        return Config.read(platform.environment());
    }

    @Test
    void largeListIsHeldAndItsDestinationsAreServed() throws Exception {
        try (Platform platform = new Platform(folder); StubHost host = new StubHost()) {
            String[] hosts = new String[FLEET_SIZE];
            for (int i = 0; i < FLEET_SIZE; i++) {
                hosts[i] = hostEntry(i, host.port());
            }
            try (Node relay = new Node(config(platform, hosts)); var client = new Platform.Client(relay)) {
                for (int destination : List.of(LARGE_DESTINATION, FIRST_SMALL_DESTINATION,
                        FIRST_SMALL_DESTINATION
                            + (FLEET_SIZE - LARGE_DESTINATION_HOSTS) / SMALL_DESTINATION_HOSTS - 1)) {
                    String id = "to-" + destination;
                    assertEquals("HTTP/1.1 202 Accepted",
                        client.post(id, "bill", destination, 60_000).get(0));
                    StubHost.Call call = host.nextCall();
                    assertNotNull(call, id);
                    assertEquals(id, call.header("X-Request-ID"));
                    call.respond(StubHost.OK);
                }
                while (!relay.isIdle() || ConsoleTest.metrics(relay).longValue("members") < FLEET_SIZE) {
                    Thread.sleep(5);
                }
                assertEquals(FLEET_SIZE, ConsoleTest.metrics(relay).longValue("members"));
            }
            assertTrue(platform.notices.isEmpty(), "no message has failed");
        }
    }

    /** Idle connections to many hosts must not use up the file descriptors. */
    @Test
    void connectionsToManyHostsStayWithinTheLimit() throws Exception {
        int maxConnections = 20;
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        BlockingQueue<HostPool.Reply> replies = new LinkedBlockingQueue<>();
        try (StubHost endpoint = new StubHost()) {
            HostPool pool = new HostPool(group.next(), new Bootstrap().group(group), LONG_TIMEOUT_MICROS,
                LONG_TIMEOUT_MICROS, maxConnections, new Metrics());
            Message message = new Message("a", "bill", 0, null, null, LARGE_DESTINATION, 0, new byte[1]);
            for (int i = 0; i < FLEET_SIZE; i++) {
                HostList.Host host = new HostList.Host(i, "s-" + i);
                host.address = new InetSocketAddress(Platform.LOOPBACK, endpoint.port());
                group.next().submit(() -> pool.startCall(host,
                    List.of(new HostPool.Attempt(message, LONG_TIMEOUT_MICROS, replies::add)))).get();
                endpoint.nextCall().respond(StubHost.OK);
                assertEquals(Outcome.OK, replies.take().outcome());
                int connectionCount = group.next().submit(pool::connectionCount).get();
                assertTrue(connectionCount <= maxConnections, connectionCount + " connections");
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }
}
