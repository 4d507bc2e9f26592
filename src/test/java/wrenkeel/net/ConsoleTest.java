package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;
import static wrenkeel.net.Platform.hostJson;

import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wrenkeel.Wire;

/**
 * The operators' HTTP server and its metrics, over loopback sockets; and that idle connections keep out
 * neither operators nor clients.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ConsoleTest {
    @TempDir
    Path folder;
    private Platform platform;
    private StubHost host;

    @BeforeEach
    void setUp() throws IOException {
        platform = new Platform(folder);
        host = new StubHost();
    }

    @AfterEach
    void tearDown() throws IOException {
        host.close();
        platform.close();
    }

    private Node startRelay() throws Exception {
        return platform.startRelay(hostJson("s-1", host.port(), 7, "ready"));
    }

    /** Sends one request; returns the whole response, which ends when the console closes the connection. */
    private static String request(InetSocketAddress console, String requestLine) throws IOException {
        try (Socket socket = new Socket(console.getAddress(), console.getPort())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Platform.TIMEOUT_SECONDS));
            socket.getOutputStream()
                .write((requestLine + "\r\nHost: c\r\n\r\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** True if the relay's console reports that the relay is ready. */
    static boolean isReady(Node relay) throws IOException {
        return request(relay.consoleAddress(), "GET /api/ready HTTP/1.1").startsWith("HTTP/1.1 200 ");
    }

    /** Reads the relay's metrics from its console. */
    static Wire.Fields metrics(Node relay) throws IOException {
        String response = request(relay.consoleAddress(), "GET /api/telemetry HTTP/1.1");
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        return Wire.decode(response.substring(response.indexOf("\r\n\r\n") + 4));
    }

    /** Waits until a metric has this count for a message class. */
    private static void awaitCount(Node relay, String name, String messageClass, long count)
        throws Exception {
        while (metrics(relay).object(name).longValue(messageClass) != count) {
            Thread.sleep(20);
        }
    }

    @Test
    void aRelayIsReadyWhileItServesAndNotWhileItShutsDown() throws Exception {
        Node relay = startRelay();
        try (var client = new Platform.Client(relay)) {
            assertTrue(request(relay.consoleAddress(), "GET /api/ready HTTP/1.1")
                .startsWith("HTTP/1.1 200 "));
            assertEquals("HTTP/1.1 202 Accepted", client.post("a", "bill", 7, 16_000).get(0));
            StubHost.Call inFlight = host.nextCall();
            Thread shutdown = new Thread(relay::shutDown);
            shutdown.start();
            while (!request(relay.consoleAddress(), "GET /api/ready HTTP/1.1").startsWith("HTTP/1.1 503 ")) {
                Thread.sleep(5);
            }
            inFlight.respond(StubHost.OK);
            shutdown.join();
        }
    }

    @Test
    void eachMessageIsCountedOnceByItsOutcome() throws Exception {
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            Wire.Fields first = metrics(relay);
            for (String name : List.of("completed", "rejected", "failed")) {
                assertEquals(Map.of("bill", 0, "pay", 0), first.object(name).values());
            }
            client.post("a", "bill", 7, 16_000);
            host.nextCall().respond(StubHost.OK);
            awaitCount(relay, "completed", "bill", 1);
            client.post("b", "pay", 7, 16_000);
            host.nextCall().respond("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
            awaitCount(relay, "failed", "pay", 1);
            while (metrics(relay).longValue("pending") != 0) {
                Thread.sleep(20);
            }
            Wire.Fields last = metrics(relay);
            assertEquals(2, last.longValue("upstream_requests"));
            assertEquals(1, last.longValue("members"));
            assertEquals(1, last.object("completed").longValue("bill"));
            assertEquals(0, last.object("rejected").longValue("bill"));
            assertEquals(0, last.longValue("config_reloads"));
        }
    }

    @Test
    void anUnavailableEndpointIsCounted() throws Exception {
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            while (metrics(relay).longValue("members") != 1) {
                Thread.sleep(20);
            }
            assertEquals(0, metrics(relay).longValue("members_unavailable"));
            client.post("a", "bill", 7, 60_000);
            host.nextCall()
                .respond("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 50.5\r\nContent-Length: 0\r\n\r\n");
            while (metrics(relay).longValue("members_unavailable") != 1) {
                Thread.sleep(20);
            }
            assertEquals(1, metrics(relay).longValue("pending"));
        }
    }

    @Test
    void reloadsAndReloadErrorsAreCounted() throws Exception {
        Path invalidFile = Files.writeString(folder.resolve("bad.json"), "{\"discovery\":\"nowhere\"}");
        try (Node relay = startRelay()) {
            relay.reload(Map.of("EDGE_CONFIG", invalidFile.toString()));
            relay.reload(platform.environment());
            assertEquals(1, metrics(relay).longValue("config_reloads"));
            assertEquals(1, metrics(relay).longValue("config_reload_errors"));
        }
    }

    @Test
    void unknownPathsMethodsAndInvalidRequestsGetAnError() throws Exception {
        try (Node relay = startRelay()) {
            assertTrue(request(relay.consoleAddress(), "GET /api/wobble HTTP/1.1")
                .startsWith("HTTP/1.1 404 "));
            assertTrue(request(relay.consoleAddress(), "PUT /api/ready HTTP/1.1")
                .startsWith("HTTP/1.1 405 "));
            assertTrue(request(relay.consoleAddress(), "nonsense").startsWith("HTTP/1.1 400 "));
        }
    }

    /**
     * Guards operators against peers that occupy all connections and send nothing, or only part of a request.
     */
    @Test
    void idleConnectionsToTheConsoleDoNotBlockAnOperator() throws Exception {
        List<Socket> idleConnections = new ArrayList<>();
        try (Node relay = startRelay()) {
            InetSocketAddress console = relay.consoleAddress();
            for (int i = 0; i < 3 * Console.MAX_CONNECTIONS; i++) {
                Socket socket = new Socket(console.getAddress(), console.getPort());
                if (i % 2 == 0) {
                    socket.getOutputStream().write("GET /api/re".getBytes(StandardCharsets.UTF_8));
                }
                idleConnections.add(socket);
            }
            assertTrue(request(console, "GET /api/ready HTTP/1.1").startsWith("HTTP/1.1 200 "));
        } finally {
            for (Socket socket : idleConnections) {
                socket.close();
            }
        }
    }

    /**
     * Guards clients: of the idle connections that reach the limit, one is evicted for a client with a
     * message.
     */
    @Test
    void idleClientConnectionsDoNotBlockAClientWithAMessage() throws Exception {
        List<Socket> idleConnections = new ArrayList<>();
        try (Node relay = startRelay()) {
            for (int i = 0; i < 1024 / 3 + 50; i++) {
                idleConnections.add(new Socket(relay.address().getAddress(), relay.address().getPort()));
            }
            try (var client = new Platform.Client(relay)) {
                assertEquals("HTTP/1.1 202 Accepted", client.post("a", "bill", 7, 16_000).get(0));
            }
        } finally {
            for (Socket socket : idleConnections) {
                socket.close();
            }
        }
    }

    @Test
    void withoutAConsoleAddressTheRelayServesWithoutAConsole() throws Exception {
        platform.writeConfig(hostJson("s-1", host.port(), 7, "ready"));
        Path file = folder.resolve("config.json");
        Files.writeString(file, Files.readString(file).replace("\"console\":\"127.0.0.1:0\",", ""));
        assertNull(Config.read(platform.environment()).consoleAddress());
        try (Node relay = new Node(Config.read(platform.environment()));
             var client = new Platform.Client(relay)) {
            assertEquals("HTTP/1.1 202 Accepted", client.post("a", "bill", 7, 16_000).get(0));
        }
    }

    /** Guards the start: a console that temporarily cannot open a socket must not make it fail. */
    @Test
    void aConsoleThatCannotOpenASocketAtFirstRetries() throws Exception {
        AtomicInteger failures = new AtomicInteger(3);
        InetSocketAddress anyPort = new InetSocketAddress(Platform.LOOPBACK, 0);
        try (Console console = new Console(anyPort, () -> true, new Metrics(), () -> {
            if (failures.getAndDecrement() > 0) {
                throw new ChannelException("too many open files");
            }
            return new NioServerSocketChannel();
        })) {
            assertTrue(request(console.address(), "GET /api/ready HTTP/1.1").startsWith("HTTP/1.1 200 "));
        }
    }
}
