package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wrenkeel.Wire;

/** Tests the stand-in agent with HTTP clients and plain sockets. */
@Timeout(60)
final class StandInAgentTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final HostCatalog catalog = new HostCatalog(50, 1);
    private final BlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private StandInAgent agent;

    @BeforeEach
    void start() throws InterruptedException {
        agent = new StandInAgent(catalog, notices::add);
    }

    @AfterEach
    void stop() {
        agent.close();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + RelayConfig.hostAndPort(agent.address()) + path));
    }

    private CompletableFuture<Wire.Fields> list(String query) {
        return client.sendAsync(request("/v1/servers" + query).build(), HttpResponse.BodyHandlers.ofString())
            .thenApply(answer -> {
                try {
                    return Wire.decode(answer.body());
                } catch (Wire.MalformedException e) {
                    throw new IllegalStateException(answer.body(), e);
                }
            });
    }

    @Test
    void wholeListIsServedAtOnceAndCounted() throws Exception {
        Wire.Fields list = list("").join();
        assertTrue(list.booleanValue("whole"));
        assertEquals(50, list.objects("hosts").size());
        assertEquals(1, agent.calls());
        assertEquals(1, agent.wholeLists());
        assertTrue(agent.bytesOut() > catalog.wholeList().length, "" + agent.bytesOut());
        assertTrue(agent.bytesIn() > 0);
    }

    @Test
    void everyWaitingWatchIsAnsweredByAChange() throws Exception {
        long version = catalog.version();
        CompletableFuture<Wire.Fields> watch = list("?after=" + version + "&wait_ms=60000");
        // The agent has received the watch, and its single thread handles later changes after it.
        assertTrue(agent.awaitHeld(version, TIMEOUT));
        CompletableFuture<Wire.Fields> other = list("?after=" + version + "&wait_ms=60000");
        long changed = agent.changeHealth(7, HostCatalog.Health.DRAINING);
        for (Wire.Fields answer : List.of(watch.join(), other.join())) {
            assertEquals(changed, answer.longValue("seq"));
            assertFalse(answer.booleanValue("whole"));
            assertEquals(catalog.hostName(7), answer.objects("hosts").get(0).text("host"));
            assertEquals("draining", answer.objects("hosts").get(0).text("health"));
        }
        assertEquals(0, agent.wholeLists());
        assertEquals(0, agent.timesOf(changed).heldNanos());
        list("?after=" + changed + "&wait_ms=1").join();
        StandInAgent.VersionTimes times = agent.timesOf(changed);
        assertTrue(times.publishedNanos() <= times.sentNanos(), "" + times);
        assertTrue(times.sentNanos() <= times.heldNanos(), "" + times);
        assertFalse(agent.awaitHeld(changed + 1, Duration.ZERO));
    }

    @Test
    void expiredWatchIsAnsweredWithNoChanges() throws Exception {
        Wire.Fields answer = list("?after=" + catalog.version() + "&wait_ms=1").join();
        assertEquals(catalog.version(), answer.longValue("seq"));
        assertFalse(answer.booleanValue("whole"));
        assertEquals(0, answer.objects("hosts").size());
    }

    @Test
    void outdatedWatchIsAnsweredAtOnceAndAnUnknownVersionWithTheWholeList() throws Exception {
        long version = catalog.version();
        agent.changeAddress(3, "127.0.0.1:9");
        Wire.Fields answer = list("?after=" + version + "&wait_ms=60000").join();
        assertEquals("127.0.0.1:9", answer.objects("hosts").get(0).text("dial"));
        assertTrue(list("?after=" + (version - 1) + "&wait_ms=60000").join().booleanValue("whole"));
        assertEquals(1, agent.wholeLists());
    }

    @Test
    void watchOfAClosedConnectionIsDropped() throws Exception {
        long version = catalog.version();
        try (Socket caller = new Socket(agent.address().getAddress(), agent.address().getPort())) {
            caller.getOutputStream().write(("GET /v1/servers?after=" + version
                + "&wait_ms=60000 HTTP/1.1\r\nHost: agent\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(agent.awaitHeld(version, TIMEOUT));
        }
        CompletableFuture<Wire.Fields> watch = list("?after=" + version + "&wait_ms=60000");
        long changed = agent.changeHealth(1, HostCatalog.Health.GONE);
        assertEquals(changed, watch.join().longValue("seq"));
        assertEquals(49, list("").join().objects("hosts").size());
    }

    @Test
    void noticesAreReceivedLineByLine() throws Exception {
        HttpRequest post = request("/reports")
            .POST(HttpRequest.BodyPublishers.ofString("{\"a\":1}\n{\"b\":2}\n")).build();
        assertEquals(204, client.send(post, HttpResponse.BodyHandlers.discarding()).statusCode());
        assertEquals("{\"a\":1}", notices.poll(30, TimeUnit.SECONDS));
        assertEquals("{\"b\":2}", notices.poll(30, TimeUnit.SECONDS));
        assertEquals(2, agent.notices());
        assertEquals(0, agent.calls());
    }

    @Test
    void connectionIsClosedAfterTheAnswerWhenRequested() throws IOException {
        try (Socket caller = new Socket(agent.address().getAddress(), agent.address().getPort())) {
            caller.getOutputStream().write(("GET /v1/servers HTTP/1.1\r\nHost: agent\r\n"
                + "Connection: close\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(answer.endsWith(new String(catalog.wholeList(), StandardCharsets.UTF_8)));
        }
    }

    private int status(String path) throws IOException, InterruptedException {
        return client.send(request(path).build(), HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    @Test
    void malformedAndUnknownRequestsAreRejected() throws IOException, InterruptedException {
        assertEquals(400, status("/v1/servers?after=x"));
        assertEquals(400, status("/v1/servers?after=1&wait_ms=soon"));
        assertEquals(404, status("/v2"));
    }
}
