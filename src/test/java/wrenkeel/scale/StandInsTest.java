package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wrenkeel.scale.EndpointModel.Behaviour;
import wrenkeel.scale.EndpointModel.Mode;

/** Tests stand-in destinations and stand-in clients, each against a peer in the test. */
@Timeout(60)
final class StandInsTest {
    private static final long TIMEOUT_SECONDS = 30;
    /** A listener that is released late is seen in a part of the outages only. */
    private static final int OUTAGES = 200;
    private static final Traffic TRAFFIC = new Traffic(10, 1, 100,
        List.of(new Traffic.ClassShare("notice", 0.5, 5_000, true),
            new Traffic.ClassShare("query", 0.5, 2_000, false)),
        List.of(new Traffic.TenantShare("a", 0.5), new Traffic.TenantShare("b", 0.5)), 50);

    private final AtomicLong clock = new AtomicLong();
    private final HttpClient client = HttpClient.newHttpClient();

    private StandInDestinations destinations(Behaviour behaviour) throws InterruptedException {
        return new StandInDestinations(2, behaviour, 2, 1, 1, clock::get);
    }

    private HttpResponse<String> call(int port, String path, String id, String body) throws Exception {
        return client.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .header("X-Request-ID", id).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
            HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void eachPortHasItsOwnLimit() throws Exception {
        try (StandInDestinations destinations = destinations(Behaviour.unlimited(0, 0)
                .with(new EndpointModel.Limit(1, 1_000, true, false)))) {
            int first = destinations.ports().get(0);
            assertEquals(200, call(first, "/v1/messages", "0-0", "x").statusCode());
            HttpResponse<String> second = call(first, "/v1/messages", "1-0", "x");
            assertEquals(429, second.statusCode());
            assertEquals("1.000", second.headers().firstValue("Retry-After").orElseThrow());
            assertEquals(200, call(destinations.ports().get(1), "/v1/messages", "2-0", "x").statusCode());
            assertEquals(1, destinations.refusedCalls());
            assertEquals(3, destinations.calls());
        }
    }

    @Test
    void reportsTheStateOfEachMessageOfABatchAndCountsThem() throws Exception {
        try (StandInDestinations destinations = destinations(Behaviour.unlimited(0, 0))) {
            Deliveries deliveries = new Deliveries(0);
            destinations.setObserver(deliveries);
            int port = destinations.ports().get(0);
            String one = "{\"id\":\"0-0\",\"body\":\"aGVsbG8=\"}";
            String two = "{\"id\":\"1-0\",\"body\":\"aGVsbG8=\"}";
            HttpResponse<String> answer = call(port, "/v1/messages:batch", "", "[" + one + "," + two + "]");
            assertEquals("[{\"id\":\"0-0\",\"state\":\"accepted\"},{\"id\":\"1-0\",\"state\":\"accepted\"}]",
                answer.body());
            assertEquals(400, call(port, "/v1/messages:batch", "", "[" + one + "," + one + "]").statusCode());
            assertEquals(400, call(port, "/v1/messages:batch", "", "[").statusCode());
            String three = "[" + one + "," + two + "," + two.replace("1-0", "2-0") + "]";
            assertEquals(413, call(port, "/v1/messages:batch", "", three).statusCode());
            assertEquals(2, deliveries.deliveredCount());
            assertEquals(3, destinations.malformedCalls());
        }
    }

    @Test
    void hasNoListenerWhileRefusingAndTheSamePortAfterwards() throws Exception {
        try (StandInDestinations destinations = destinations(Behaviour.unlimited(0, 0))) {
            int port = destinations.ports().get(0);
            for (int outage = 0; outage < OUTAGES; outage++) {
                destinations.setMode(0, Mode.REFUSING);
                assertThrows(ConnectException.class, () -> new Socket("127.0.0.1", port).close());
                assertThrows(ConnectException.class, () -> call(port, "/v1/messages", "0-0", "x"));
                destinations.setMode(0, Mode.SERVING);
                assertEquals(port, destinations.ports().get(0));
                assertEquals(200, call(port, "/v1/messages", "0-0", "x").statusCode());
            }
        }
    }

    /**
     * Starts a server in place of a relay that answers with these statuses in turn and records path and
     * headers.
     */
    private static HttpServer startRelayServer(BlockingQueue<String> received, int... statuses)
        throws IOException {
        HttpServer relayServer = HttpServer
            .create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
        AtomicLong count = new AtomicLong();
        relayServer.createContext("/", exchange -> {
            exchange.getRequestBody().readAllBytes();
            received.add(exchange.getRequestURI() + " "
                + exchange.getRequestHeaders().getFirst("X-Priority-Class") + " "
                + exchange.getRequestHeaders().containsKey("Idempotency-Key"));
            exchange.sendResponseHeaders(statuses[(int) (count.getAndIncrement() % statuses.length)], -1);
            // Closing the exchange would close the connection, and a request in flight would be sent again.
            exchange.getResponseBody().close();
        });
        relayServer.start();
        return relayServer;
    }

    @Test
    void countsSubmittedMessagesByResponse() throws Exception {
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        HttpServer relayServer = startRelayServer(received, 202, 503, 504);
        try (StandInClients clients = new StandInClients(relayServer.getAddress(), TRAFFIC, 1,
                TIMEOUT_SECONDS * 1_000)) {
            SubmissionCounts counts = new SubmissionCounts();
            assertEquals(0, clients.startCounting(counts));
            clients.setRate(500);
            for (int i = 0; i < 30; i++) {
                String request = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                assertTrue(List.of("/notice notice true", "/query query false").contains(request), request);
            }
            clients.setRate(0);
            assertEquals(clients.startCounting(new SubmissionCounts()), counts.due());
            while (!counts.isComplete()) {
                Thread.onSpinWait();
            }
            // Connections may run out while the server warms up; all other messages get the statuses in turn.
            long sent = counts.due() - counts.notSent();
            assertEquals(sent, counts.accepted() + counts.refused() + counts.failed());
            assertEquals((sent + 2) / 3, counts.accepted());
            assertEquals(sent / 3, counts.failed());
        } finally {
            relayServer.stop(0);
        }
    }

    @Test
    void countsMessagesToAClosedPortAsConnectionsLost() throws Exception {
        HttpServer relayServer = startRelayServer(new LinkedBlockingQueue<>(), 202);
        InetSocketAddress address = relayServer.getAddress();
        relayServer.stop(0);
        try (StandInClients clients = new StandInClients(address, TRAFFIC, 1)) {
            SubmissionCounts counts = new SubmissionCounts();
            clients.startCounting(counts);
            clients.setRate(1_000);
            while (counts.due() == 0) {
                Thread.onSpinWait();
            }
            clients.setRate(0);
            while (!counts.isComplete()) {
                Thread.onSpinWait();
            }
            assertEquals(counts.due(), counts.connectionsLost());
        }
    }

    @Test
    void gapsBetweenArrivalsHaveTheMeanOfTheRate() {
        SplittableRandom random = new SplittableRandom(3);
        double sum = 0;
        for (int i = 0; i < 100_000; i++) {
            sum += StandInClients.exponentialGapNanos(random, 200);
        }
        assertEquals(5e6, sum / 100_000, 1e5);
    }
}
