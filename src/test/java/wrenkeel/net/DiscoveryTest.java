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

/**
 * {@link Discovery} against an agent that the test plays: it reads each request and writes each response.
 */
class DiscoveryTest {
    private static final String FIRST_LIST =
        Platform.listJson(1, true, Platform.hostJson("s-1", 80, 7, "ready"));
    private static final String SECOND_LIST =
        Platform.listJson(2, false, Platform.hostJson("s-1", 80, 7, "draining"));

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final HostList hosts = new HostList(List.of("a"), List.of("m1", "m2"));
    /** The changes that the listener has received. */
    private final BlockingQueue<Relay.ListUpdated> events = new LinkedBlockingQueue<>();
    private ServerSocket agent;
    private Discovery discovery;
    /** The agent's side of the current connection. */
    private Socket connection;

    @BeforeEach
    void startWatch() throws Exception {
        agent = new ServerSocket(0, 8, Platform.LOOPBACK);
        agent.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Platform.TIMEOUT_SECONDS));
        discovery = new Discovery(eventLoop, new Bootstrap().group(group),
            new InetSocketAddress(Platform.LOOPBACK, agent.getLocalPort()), hosts,
            change -> events.add(change.event()), entry -> { },
            TimeUnit.SECONDS.toMillis(Platform.TIMEOUT_SECONDS));
        eventLoop.submit(() -> {
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

    /** Reads the next request on the current connection and returns its first line. */
    private String readRequestLine() throws IOException {
        connection.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Platform.TIMEOUT_SECONDS));
        return StubHost.readHead(connection.getInputStream()).get(0);
    }

    /** Writes a part of a response. */
    private void write(String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        connection.getOutputStream().flush();
    }

    /** A complete response with this body. */
    private static String okResponse(String list) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
    }

    /** Waits for the next change that the listener receives. */
    private Relay.ListUpdated awaitEvent() throws InterruptedException {
        Relay.ListUpdated event = events.poll(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(event);
        return event;
    }

    /** Accepts a new connection, which the relay opens after it has closed the previous one. */
    private void acceptReconnect() throws IOException {
        Socket next = agent.accept();
        connection.close();
        connection = next;
    }

    private long faultCount() throws Exception {
        return eventLoop.submit(discovery::faultCount).get();
    }

    @Test
    void listInPiecesIsAppliedOnceItIsComplete() throws Exception {
        readRequestLine();
        write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        String half = FIRST_LIST.substring(0, FIRST_LIST.length() - 5);
        write(Integer.toHexString(half.length()) + "\r\n" + half + "\r\n");
        // By the time this task runs, the event loop has had its turn to read the first part.
        assertEquals(0, eventLoop.submit(hosts::listedCount).get());
        write("5\r\n" + FIRST_LIST.substring(FIRST_LIST.length() - 5) + "\r\n0\r\n\r\n");
        assertEquals(1, awaitEvent().endpoints().size());
        assertEquals("GET /v1/servers?after=1&wait_ms=" + Discovery.WATCH_WAIT_MS + " HTTP/1.1",
            readRequestLine());
        assertEquals(0, faultCount());
    }

    /** A list that is cut off must not change the current list; it is requested again. */
    @Test
    void truncatedListIsDiscardedAndRequestedAgain() throws Exception {
        readRequestLine();
        write(okResponse(FIRST_LIST));
        awaitEvent();
        readRequestLine();
        String response = okResponse(Platform.listJson(2, true, Platform.hostJson("s-2", 80, 7, "ready")));
        write(response.substring(0, response.length() - 1));
        connection.shutdownOutput();
        acceptReconnect();
        assertEquals("GET /v1/servers?after=1&wait_ms=1 HTTP/1.1", readRequestLine());
        assertEquals(1, faultCount());
        assertEquals(1, eventLoop.submit(hosts::listedCount).get());
        assertNotNull(eventLoop.submit(() -> hosts.hostByName("s-1")).get());
        write(okResponse(SECOND_LIST));
        assertEquals(Relay.Listing.DRAINING, awaitEvent().endpoints().get(0).listing());
        assertTrue(events.isEmpty());
    }

    /** A list of excessive length must not use up memory and CPU time: the relay closes the connection. */
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
        assertEquals(-1, eventLoop.submit(hosts::version).get());
        write(okResponse(FIRST_LIST));
        assertEquals(1, awaitEvent().endpoints().size());
    }

    /**
     * An error status, as of an agent that is down, doesn't count as a faulty list. The list is requested
     * again soon, because the relay is bound by it as soon as the agent has it.
     */
    @Test
    void errorStatusDoesNotCountAsAFaultyList() throws Exception {
        readRequestLine();
        write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\ndown");
        readRequestLine();
        write(okResponse(FIRST_LIST));
        awaitEvent();
        assertEquals(0, faultCount());
    }

    /**
     * Faulty lists must not make the relay call the agent without gaps. The relay is bound by a change of the
     * list 6 s after it, so the gaps must stay shorter than that.
     */
    @Test
    void gapsAfterConsecutiveFaultsGrowUpToTheirLimit() {
        assertEquals(ListTiming.FIRST_FAULT_GAP_MS, Discovery.faultGapMs(0, 0.999));
        for (int previousFaults = 1; previousFaults < 200; previousFaults++) {
            long maxGapMs = Discovery.faultGapMs(previousFaults, 0);
            assertTrue(maxGapMs >= Discovery.faultGapMs(previousFaults - 1, 0));
            assertTrue(Discovery.faultGapMs(previousFaults, 0.999) >= maxGapMs / 2
                && Discovery.faultGapMs(previousFaults, 0.999) < maxGapMs, "with jitter");
            assertTrue(maxGapMs <= ListTiming.MAX_FAULT_GAP_MS && maxGapMs < 6_000);
        }
        assertEquals(ListTiming.MAX_FAULT_GAP_MS, Discovery.faultGapMs(200, 0));
    }

    /**
     * When a reload changes the agent's address, a gap after faults at the old one must not delay the first
     * call.
     */
    @Test
    void newAddressIsCalledAtOnceDuringAGapAfterAFault() throws Exception {
        readRequestLine();
        write(okResponse("[]"));
        try (ServerSocket other = new ServerSocket(0, 8, Platform.LOOPBACK)) {
            other.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Platform.TIMEOUT_SECONDS));
            // The move and the check run in the task that sees the gap, before the timer can end it.
            Callable<Boolean> movedInGap = () -> {
                if (discovery.isCallPending()) {
                    return false;
                }
                discovery.moveTo(new InetSocketAddress(Platform.LOOPBACK, other.getLocalPort()));
                assertTrue(discovery.isCallPending(),
                    "the call to the new address must not wait for the end of the gap");
                return true;
            };
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(Platform.TIMEOUT_SECONDS);
            while (!eventLoop.submit(movedInGap).get()) {
                assertTrue(System.nanoTime() < deadlineNanos, "no gap after the rejected list");
            }
            connection.close();
            connection = other.accept();
            readRequestLine();
            write(okResponse(FIRST_LIST));
            assertEquals(1, awaitEvent().endpoints().size());
        }
    }
}
