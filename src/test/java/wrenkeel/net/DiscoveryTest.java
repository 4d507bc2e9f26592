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
    private static final String FIRST = Platform.list(1, true, Platform.host("s-1", 80, 7, "ready")),
        SECOND = Platform.list(2, false, Platform.host("s-1", 80, 7, "draining"));

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop thread = group.next();
    private final HostList hosts = new HostList(List.of("a"), List.of("m1", "m2"));
    private final BlockingQueue<Relay.Listed> told = new LinkedBlockingQueue<>();
    private ServerSocket agent;
    private Discovery discovery;
    private Socket line;

    @BeforeEach
    void begin() throws Exception {
        agent = new ServerSocket(0, 8, Platform.LOOPBACK);
        agent.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Platform.PATIENCE_S));
        discovery = new Discovery(thread, new Bootstrap().group(group),
            new InetSocketAddress(Platform.LOOPBACK, agent.getLocalPort()), hosts, change -> told.add(change.event()),
            entry -> { }, TimeUnit.SECONDS.toMillis(Platform.PATIENCE_S));
        thread.submit(() -> {
            hosts.activate(7);
            discovery.watch();
        }).get();
        line = agent.accept();
    }

    @AfterEach
    void end() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        line.close();
        agent.close();
    }

    /** The next request on the connection that is open; its first line. */
    private String asked() throws IOException {
        line.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Platform.PATIENCE_S));
        return Host.head(line.getInputStream()).get(0);
    }

    private void write(String text) throws IOException {
        line.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        line.getOutputStream().flush();
    }

    private static String answer(String list) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
    }

    private Relay.Listed told() throws InterruptedException {
        Relay.Listed listed = told.poll(Platform.PATIENCE_S, TimeUnit.SECONDS);
        assertNotNull(listed);
        return listed;
    }

    /** The relay has closed its connection and opens another. */
    private void reconnected() throws IOException {
        Socket next = agent.accept();
        line.close();
        line = next;
    }

    private long faults() throws Exception {
        return thread.submit(discovery::faultCount).get();
    }

    @Test
    void aListInPiecesIsTakenInAsAWhole() throws Exception {
        asked();
        write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        String half = FIRST.substring(0, FIRST.length() - 5);
        write(Integer.toHexString(half.length()) + "\r\n" + half + "\r\n");
        // The thread has had its turn by then.
        assertEquals(0, thread.submit(hosts::listedCount).get());
        write("5\r\n" + FIRST.substring(FIRST.length() - 5) + "\r\n0\r\n\r\n");
        assertEquals(1, told().endpoints().size());
        assertEquals("GET /v1/servers?after=1&wait_ms=" + Discovery.WATCH_WAIT_MS + " HTTP/1.1", asked());
        assertEquals(0, faults());
    }

    /** Guards the last good list: of one that is cut nothing is taken, and it is asked for again. */
    @Test
    void ofAListThatIsCutNothingIsTaken() throws Exception {
        asked();
        write(answer(FIRST));
        told();
        asked();
        String whole = answer(Platform.list(2, true, Platform.host("s-2", 80, 7, "ready")));
        write(whole.substring(0, whole.length() - 1));
        line.shutdownOutput();
        reconnected();
        assertEquals("GET /v1/servers?after=1&wait_ms=1 HTTP/1.1", asked());
        assertEquals(1, faults());
        assertEquals(1, thread.submit(hosts::listedCount).get());
        assertNotNull(thread.submit(() -> hosts.hostByName("s-1")).get());
        write(answer(SECOND));
        assertEquals(Relay.Listing.DRAINING, told().endpoints().get(0).listing());
        assertTrue(told.isEmpty());
    }

    /** Guards the relay's memory and processor: it does not read on. */
    @Test
    void aListThatIsTooLongIsNotRead() throws Exception {
        asked();
        write("HTTP/1.1 200 OK\r\nContent-Length: " + (1L << 40) + "\r\n\r\n{");
        reconnected();
        asked();
        assertEquals(1, faults());
        write(answer(FIRST));
        assertEquals(1, told().endpoints().size());
    }

    @Test
    void aListThatIsNoneIsRefusedAndTheConnectionWithIt() throws Exception {
        asked();
        write(answer("[]"));
        reconnected();
        asked();
        write(answer(FIRST + "{}"));
        reconnected();
        asked();
        assertEquals(2, faults());
        assertEquals(-1, thread.submit(hosts::version).get());
        write(answer(FIRST));
        assertEquals(1, told().endpoints().size());
    }

    /** An agent that is down is no faulty list: it is asked again soon, for what it has then counts at once. */
    @Test
    void anAnswerThatIsNoListIsNoFaultOfAList() throws Exception {
        asked();
        write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\ndown");
        asked();
        write(answer(FIRST));
        told();
        assertEquals(0, faults());
    }

    /** Guards the machine against a loop at full speed, and the rule that a change is told 6 s after. */
    @Test
    void faultsInARowAreAskedAfterByGrowingGapsInsideTheSixSeconds() {
        assertEquals(ListTiming.FIRST_FAULT_GAP_MS, Discovery.faultGapMs(0, 0.999));
        for (int n = 1; n < 200; n++) {
            long longest = Discovery.faultGapMs(n, 0);
            assertTrue(longest >= Discovery.faultGapMs(n - 1, 0));
            assertTrue(Discovery.faultGapMs(n, 0.999) >= longest / 2 && Discovery.faultGapMs(n, 0.999) < longest, "with jitter");
            assertTrue(longest <= ListTiming.MAX_FAULT_GAP_MS && longest < 6_000);
        }
        assertEquals(ListTiming.MAX_FAULT_GAP_MS, Discovery.faultGapMs(200, 0));
    }

    /** Guards the rule on reloads: a gap after faults of the old address delays nothing at the new one. */
    @Test
    void anotherAddressIsAskedAtOnceWhateverGapTheOldOneHasLeft() throws Exception {
        asked();
        write(answer("[]"));
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
            long by = System.nanoTime() + TimeUnit.SECONDS.toNanos(Platform.PATIENCE_S);
            while (!thread.submit(movedInGap).get()) {
                assertTrue(System.nanoTime() < by, "no gap seen");
            }
            line.close();
            line = other.accept();
            asked();
            write(answer(FIRST));
            assertEquals(1, told().endpoints().size());
        }
    }
}
