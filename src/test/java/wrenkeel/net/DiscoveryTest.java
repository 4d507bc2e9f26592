package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wrenkeel.Relay;

/** The watch against an agent whose every byte the test writes. */
class DiscoveryTest {
    private static final String FIRST_LIST = Platform.list(1, true, Platform.host("s-1", 80, 7, "ready")),
        SECOND_LIST = Platform.list(2, false, Platform.host("s-1", 80, 7, "draining"));

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final HostList hosts = new HostList(List.of("a"), List.of("m1", "m2"));
    private final BlockingQueue<Relay.Listed> events = new LinkedBlockingQueue<>();
    private ServerSocket agent;
    private Discovery discovery;
    private Socket connection;

    @BeforeEach
    void startWatch() throws Exception {
        agent = new ServerSocket(0, 8, Platform.LOOPBACK);
        agent.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Platform.PATIENCE_S));
        discovery = new Discovery(loop, new Bootstrap().group(group),
            new InetSocketAddress(Platform.LOOPBACK, agent.getLocalPort()), hosts, change -> events.add(change.event()),
            entry -> { }, TimeUnit.SECONDS.toMillis(Platform.PATIENCE_S));
        loop.submit(() -> {
            hosts.activate(7);
            discovery.watch();
        }).get();
        connection = agent.accept();
    }

    @AfterEach
    void closeAll() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        connection.close();
        agent.close();
    }

    /** The next request on the connection that is open; its first line. */
    private String readRequestLine() throws IOException {
        connection.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Platform.PATIENCE_S));
        return Host.head(connection.getInputStream()).get(0);
    }

    private void write(String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        connection.getOutputStream().flush();
    }

    private static String okResponse(String list) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
    }

    private Relay.Listed awaitEvent() throws InterruptedException {
        Relay.Listed event = events.poll(Platform.PATIENCE_S, TimeUnit.SECONDS);
        assertNotNull(event);
        return event;
    }

    /** The relay has closed its connection and opens another. */
    private void acceptReconnect() throws IOException {
        Socket next = agent.accept();
        connection.close();
        connection = next;
    }

    private long faultCount() throws Exception {
        return loop.submit(discovery::faultCount).get();
    }

    @Test
    void listInPiecesIsAppliedOnceItIsComplete() throws Exception {
        readRequestLine();
        write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        String half = FIRST_LIST.substring(0, FIRST_LIST.length() - 5);
        write(Integer.toHexString(half.length()) + "\r\n" + half + "\r\n");
        // The thread has had its turn by then.
        assertEquals(0, loop.submit(hosts::listedCount).get());
        write("5\r\n" + FIRST_LIST.substring(FIRST_LIST.length() - 5) + "\r\n0\r\n\r\n");
        assertEquals(1, awaitEvent().endpoints().size());
        assertEquals("GET /v1/servers?after=1&wait_ms=" + Discovery.WATCH_WAIT_MS + " HTTP/1.1", readRequestLine());
        assertEquals(0, faultCount());
    }

    /** Guards the last good list: of one that is cut nothing is taken, and it is asked for again. */
    @Test
    void truncatedListIsDiscardedAndRequestedAgain() throws Exception {
        readRequestLine();
        write(okResponse(FIRST_LIST));
        awaitEvent();
        readRequestLine();
        String response = okResponse(Platform.list(2, true, Platform.host("s-2", 80, 7, "ready")));
        write(response.substring(0, response.length() - 1));
        connection.shutdownOutput();
        acceptReconnect();
        assertEquals("GET /v1/servers?after=1&wait_ms=1 HTTP/1.1", readRequestLine());
        assertEquals(1, faultCount());
        assertEquals(1, loop.submit(hosts::listedCount).get());
        assertNotNull(loop.submit(() -> hosts.hostByName("s-1")).get());
        write(okResponse(SECOND_LIST));
        assertEquals(Relay.Listing.DRAINING, awaitEvent().endpoints().get(0).listing());
        assertTrue(events.isEmpty());
    }

    /** Guards the relay's memory and processor: it does not read on. */
    @Test
    void listThatIsTooLongIsNotRead() throws Exception {
        readRequestLine();
        write("HTTP/1.1 200 OK\r\nContent-Length: " + (1L << 40) + "\r\n\r\n{");
        acceptReconnect();
        readRequestLine();
        assertEquals(1, faultCount());
        write(okResponse(FIRST_LIST));
        assertEquals(1, awaitEvent().endpoints().size());
    }

    @Test
    void malformedListIsRejectedAndItsConnectionClosed() throws Exception {
        readRequestLine();
        write(okResponse("[]"));
        acceptReconnect();
        readRequestLine();
        write(okResponse(FIRST_LIST + "{}"));
        acceptReconnect();
        readRequestLine();
        assertEquals(2, faultCount());
        assertEquals(-1, loop.submit(hosts::version).get());
        write(okResponse(FIRST_LIST));
        assertEquals(1, awaitEvent().endpoints().size());
    }

    /** An agent that is down is no faulty list: it is asked again soon, for what it has then counts at once. */
    @Test
    void errorStatusDoesNotCountAsAFaultyList() throws Exception {
        readRequestLine();
        write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\ndown");
        readRequestLine();
        write(okResponse(FIRST_LIST));
        awaitEvent();
        assertEquals(0, faultCount());
    }

    /** Guards the machine against a loop at full speed, and the rule that a change is told 6 s after. */
    @Test
    void gapsAfterConsecutiveFaultsGrowUpToTheirLimit() {
        assertEquals(ListTiming.FIRST_FAULT_GAP_MS, Discovery.faultGapMs(0, 0.999));
        for (int previousFaults = 1; previousFaults < 200; previousFaults++) {
            long maxGapMs = Discovery.faultGapMs(previousFaults, 0);
            assertTrue(maxGapMs >= Discovery.faultGapMs(previousFaults - 1, 0));
            assertTrue(Discovery.faultGapMs(previousFaults, 0.999) >= maxGapMs / 2 && Discovery.faultGapMs(previousFaults, 0.999) < maxGapMs, "with jitter");
            assertTrue(maxGapMs <= ListTiming.MAX_FAULT_GAP_MS && maxGapMs < 6_000);
        }
        assertEquals(ListTiming.MAX_FAULT_GAP_MS, Discovery.faultGapMs(200, 0));
    }

    /** Guards the rule on reloads: a gap after faults of the old address delays nothing at the new one. */
    @Test
    void newAddressIsCalledAtOnceDuringAGapAfterAFault() throws Exception {
        readRequestLine();
        write(okResponse("[]"));
        try (ServerSocket other = new ServerSocket(0, 8, Platform.LOOPBACK)) {
            other.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Platform.PATIENCE_S));
            // In the task that sees the gap, before any later one: what is due now has been begun.
            Callable<Boolean> movedInGap = () -> {
                if (discovery.isCallPending()) {
                    return false;
                }
                discovery.moveTo(new InetSocketAddress(Platform.LOOPBACK, other.getLocalPort()));
                assertTrue(discovery.isCallPending(), "the call for the list waits for the gap");
                return true;
            };
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(Platform.PATIENCE_S);
            while (!loop.submit(movedInGap).get()) {
                assertTrue(System.nanoTime() < deadlineNanos, "no gap seen");
            }
            connection.close();
            connection = other.accept();
            readRequestLine();
            write(okResponse(FIRST_LIST));
            assertEquals(1, awaitEvent().endpoints().size());
        }
    }
}
