package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wrenkeel.Wire;

/** Tests a source node and one node that watches it, over loopback sockets. */
@Timeout(value = 20, unit = TimeUnit.SECONDS)
class ListNodeTest {
    private static final long WAIT_MS = 60_000;
    private final MultiThreadIoEventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final HttpClient client = HttpClient.newHttpClient();
    private final ChangeLog log = new ChangeLog(new HostCatalog(20, 1), 2);
    private final HopCounters sourceHop = new HopCounters();
    private final HopCounters agentHop = new HopCounters();
    private final long firstVersion = log.latestVersion();
    private ListNode source;
    private ListNode agent;

    @BeforeEach
    void begin() throws IOException {
        source = new ListNode(eventLoops.next(), log, sourceHop);
        agent = new ListNode(eventLoops.next(), log, agentHop);
    }

    @AfterEach
    void end() {
        agent.close();
        source.close();
        Shutdown.now(eventLoops);
    }

    private CompletableFuture<Wire.Fields> requestList(String query) {
        URI uri = URI.create("http://127.0.0.1:" + agent.address().getPort() + "/v1/servers" + query);
        return client.sendAsync(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
            .thenApply(answer -> {
                try {
                    assertEquals(200, answer.statusCode());
                    return Wire.decode(answer.body());
                } catch (Wire.MalformedException e) {
                    throw new AssertionError(e);
                }
            });
    }

    private void publish(int host) {
        source.advanceTo(log.publish(host, HostCatalog.Health.DRAINING));
    }

    /** Waits until the hop has counted at least this many calls. */
    private static void awaitCalls(HopCounters hop, long calls) throws InterruptedException {
        await(() -> hop.snapshot().calls() >= calls);
    }

    private static void await(BooleanSupplier done) throws InterruptedException {
        while (!done.getAsBoolean()) {
            // Interrupted when the class's timeout ends.
            Thread.sleep(1);
        }
    }

    @Test
    void nodeWithoutAListAnswersOnceItReceivesOne() throws Exception {
        CompletableFuture<Wire.Fields> whole = requestList("");
        awaitCalls(agentHop, 1);
        assertFalse(whole.isDone());
        agent.watch(source.address(), WAIT_MS);
        awaitCalls(sourceHop, 1);
        assertEquals(-1, agent.version());
        source.advanceTo(firstVersion);
        assertTrue(whole.get().booleanValue("whole"));
        assertEquals(20, whole.get().objects("hosts").size());
        assertEquals(1, sourceHop.snapshot().wholeLists());
        assertEquals(1, agentHop.snapshot().wholeLists());
        assertTrue(sourceHop.snapshot().bytesOut() > 20 * 100);
    }

    @Test
    void watchIsAnsweredWhenItsNodeReceivesANewVersion() throws Exception {
        source.advanceTo(firstVersion);
        agent.watch(source.address(), WAIT_MS);
        requestList("").get();
        CompletableFuture<Wire.Fields> watch = requestList("?after=" + firstVersion + "&wait_ms=" + WAIT_MS);
        awaitCalls(agentHop, 2);
        // Published, but the source has not been notified: no node has received it yet.
        long second = log.publish(3, HostCatalog.Health.DRAINING);
        assertEquals(0, requestList("?after=" + firstVersion + "&wait_ms=1").get().objects("hosts").size());
        assertFalse(watch.isDone());
        source.advanceTo(second);
        assertEquals(second, watch.get().longValue("seq"));
        assertEquals("draining", watch.get().objects("hosts").get(0).text("health"));
        assertEquals(1, agentHop.snapshot().wholeLists());
    }

    @Test
    void clientFurtherBehindThanTheLogGetsTheWholeList() throws Exception {
        source.advanceTo(firstVersion);
        agent.watch(source.address(), WAIT_MS);
        for (int host = 0; host < 3; host++) {
            publish(host);
        }
        await(() -> agent.version() == log.latestVersion());
        assertTrue(requestList("?after=" + firstVersion + "&wait_ms=1").get().booleanValue("whole"));
    }

    @Test
    void restartedNodeRequestsTheWholeListAgain() throws Exception {
        source.advanceTo(firstVersion);
        agent.watch(source.address(), WAIT_MS);
        requestList("").get();
        agent.restart(source.address(), WAIT_MS).get();
        assertEquals(firstVersion, requestList("").get().longValue("seq"));
        assertEquals(2, sourceHop.snapshot().wholeLists());
        assertEquals(2, sourceHop.snapshot().connections());
    }
}
