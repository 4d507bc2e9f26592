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

/** A fleet of over a thousand relays and endpoints: nothing is sized for a few. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class FleetSizeTest {
    private static final int MANY = 1_100, OF_ONE_DESTINATION = 600, LARGE = 7, SMALL = 8, SMALL_SIZE = 5;
    private static final long LONG = 60_000_000;

    @TempDir
    Path folder;

    /** The first endpoints are all of one destination; behind them each destination has a few. */
    private static String listed(int number, int port) {
        int destination = number < OF_ONE_DESTINATION ? LARGE
            : SMALL + (number - OF_ONE_DESTINATION) / SMALL_SIZE;
        return Platform.host("s-" + number, port, destination, "ready").replace("\"share\":50",
            "\"share\":5000");
    }

    private Config config(Platform platform, String[] hosts) throws Exception {
        platform.config(hosts);
        Path file = Path.of(platform.env().get("EDGE_CONFIG"));
        String text = Files.readString(file);
        assertTrue(text.contains("\"balancers\":1,") && text.contains("\"sockets\":1024"));
        Files.writeString(file, text.replace("\"balancers\":1,", "\"balancers\":" + MANY + ",")
            .replace("\"sockets\":1024", "\"sockets\":256"));
        return Config.read(platform.env());
    }

    @Test
    void aListOfManyEndpointsIsHeldAndEachDestinationServed() throws Exception {
        try (Platform platform = new Platform(folder); Host host = new Host()) {
            String[] hosts = new String[MANY];
            for (int i = 0; i < MANY; i++) {
                hosts[i] = listed(i, host.port());
            }
            try (Node relay = new Node(config(platform, hosts)); var client = new Platform.Client(relay)) {
                for (int destination : List.of(LARGE, SMALL, SMALL + (MANY - OF_ONE_DESTINATION) / SMALL_SIZE - 1)) {
                    String id = "to-" + destination;
                    assertEquals("HTTP/1.1 202 Accepted",
                        client.post(id, "bill", destination, 60_000).get(0));
                    Host.Call call = host.call();
                    assertNotNull(call, id);
                    assertEquals(id, call.header("X-Request-ID"));
                    call.answer(Host.OK);
                }
                while (!relay.idle() || ConsoleTest.figures(relay).whole("members") < MANY) {
                    Thread.sleep(5);
                }
                assertEquals(MANY, ConsoleTest.figures(relay).whole("members"));
            }
            assertTrue(platform.notices.isEmpty(), "all were delivered");
        }
    }

    /** Guards the descriptors: kept connections to many endpoints stay within the share. */
    @Test
    void connectionsToManyEndpointsStayWithinTheirShare() throws Exception {
        int share = 20;
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        BlockingQueue<HostPool.Reply> replies = new LinkedBlockingQueue<>();
        try (Host endpoint = new Host()) {
            HostPool pool = new HostPool(group.next(), new Bootstrap().group(group), LONG, LONG, share,
                new Figures());
            Message message = new Message("a", "bill", 0, null, null, LARGE, 0, new byte[1]);
            for (int i = 0; i < MANY; i++) {
                HostList.Host host = new HostList.Host(i, "s-" + i);
                host.address = new InetSocketAddress(Platform.LOOPBACK, endpoint.port());
                group.next().submit(() -> pool.startCall(host,
                    List.of(new HostPool.Attempt(message, LONG, replies::add)))).get();
                endpoint.call().answer(Host.OK);
                assertEquals(Outcome.OK, replies.take().outcome());
                int held = group.next().submit(pool::connectionCount).get();
                assertTrue(held <= share, held + " connections held");
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }
}
