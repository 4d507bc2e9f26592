package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;
import static wrenkeel.net.Platform.host;

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

/** The operators' door, over loopback sockets. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ConsoleTest {
    @TempDir
    Path folder;
    private Platform platform;
    private Host host;

    @BeforeEach
    void begin() throws IOException {
        platform = new Platform(folder);
        host = new Host();
    }

    @AfterEach
    void end() throws IOException {
        host.close();
        platform.close();
    }

    private Node relay() throws Exception {
        return platform.relay(host("s-1", host.port(), 7, "ready"));
    }

    /** The whole answer to one call, which ends with its connection. */
    private static String call(InetSocketAddress console, String call) throws IOException {
        try (Socket socket = new Socket(console.getAddress(), console.getPort())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Platform.PATIENCE_S));
            socket.getOutputStream().write((call + "\r\nHost: c\r\n\r\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    static boolean ready(Node relay) throws IOException {
        return call(relay.consoleAddress(), "GET /api/ready HTTP/1.1").startsWith("HTTP/1.1 200 ");
    }

    static Wire.Fields figures(Node relay) throws IOException {
        String answer = call(relay.consoleAddress(), "GET /api/telemetry HTTP/1.1");
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        return Wire.decode(answer.substring(answer.indexOf("\r\n\r\n") + 4));
    }

    private static void await(Node relay, String name, String messageClass, long count) throws Exception {
        while (figures(relay).object(name).longValue(messageClass) != count) {
            Thread.sleep(20);
        }
    }

    @Test
    void aRelayThatServesIsReadyAndOneThatLeavesIsNot() throws Exception {
        Node relay = relay();
        try (var client = new Platform.Client(relay)) {
            assertTrue(call(relay.consoleAddress(), "GET /api/ready HTTP/1.1").startsWith("HTTP/1.1 200 "));
            assertEquals("HTTP/1.1 202 Accepted", client.post("a", "bill", 7, 16_000).get(0));
            Host.Call out = host.call();
            Thread end = new Thread(relay::shutDown);
            end.start();
            while (!call(relay.consoleAddress(), "GET /api/ready HTTP/1.1").startsWith("HTTP/1.1 503 ")) {
                Thread.sleep(5);
            }
            out.answer(Host.OK);
            end.join();
        }
    }

    @Test
    void eachMessageIsCountedOnceWhereItEnds() throws Exception {
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            Wire.Fields first = figures(relay);
            for (String name : List.of("completed", "rejected", "failed")) {
                assertEquals(Map.of("bill", 0, "pay", 0), first.object(name).values());
            }
            client.post("a", "bill", 7, 16_000);
            host.call().answer(Host.OK);
            await(relay, "completed", "bill", 1);
            client.post("b", "pay", 7, 16_000);
            host.call().answer("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
            await(relay, "failed", "pay", 1);
            while (figures(relay).longValue("pending") != 0) {
                Thread.sleep(20);
            }
            Wire.Fields last = figures(relay);
            assertEquals(2, last.longValue("upstream_requests"));
            assertEquals(1, last.longValue("members"));
            assertEquals(1, last.object("completed").longValue("bill"));
            assertEquals(0, last.object("rejected").longValue("bill"));
            assertEquals(0, last.longValue("config_reloads"));
        }
    }

    @Test
    void anEndpointThatIsAvoidedIsCounted() throws Exception {
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            while (figures(relay).longValue("members") != 1) {
                Thread.sleep(20);
            }
            assertEquals(0, figures(relay).longValue("members_unavailable"));
            client.post("a", "bill", 7, 60_000);
            host.call().answer("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 50.5\r\nContent-Length: 0\r\n\r\n");
            while (figures(relay).longValue("members_unavailable") != 1) {
                Thread.sleep(20);
            }
            assertEquals(1, figures(relay).longValue("pending"));
        }
    }

    @Test
    void reloadsAreCounted() throws Exception {
        Path bad = Files.writeString(folder.resolve("bad.json"), "{\"discovery\":\"nowhere\"}");
        try (Node relay = relay()) {
            relay.reload(Map.of("EDGE_CONFIG", bad.toString()));
            relay.reload(platform.env());
            assertEquals(1, figures(relay).longValue("config_reloads"));
            assertEquals(1, figures(relay).longValue("config_reload_errors"));
        }
    }

    @Test
    void whatIsNoCallOfTheConsoleIsAnError() throws Exception {
        try (Node relay = relay()) {
            assertTrue(call(relay.consoleAddress(), "GET /api/wobble HTTP/1.1").startsWith("HTTP/1.1 404 "));
            assertTrue(call(relay.consoleAddress(), "PUT /api/ready HTTP/1.1").startsWith("HTTP/1.1 405 "));
            assertTrue(call(relay.consoleAddress(), "nonsense").startsWith("HTTP/1.1 400 "));
        }
    }

    /** Guards operators against callers that hold every connection and say nothing, or half a call. */
    @Test
    void callersThatHangDoNotKeepAnOperatorOut() throws Exception {
        List<Socket> hanging = new ArrayList<>();
        try (Node relay = relay()) {
            InetSocketAddress console = relay.consoleAddress();
            for (int i = 0; i < 3 * Console.MAX_CONNECTIONS; i++) {
                Socket socket = new Socket(console.getAddress(), console.getPort());
                if (i % 2 == 0) {
                    socket.getOutputStream().write("GET /api/re".getBytes(StandardCharsets.UTF_8));
                }
                hanging.add(socket);
            }
            assertTrue(call(console, "GET /api/ready HTTP/1.1").startsWith("HTTP/1.1 200 "));
        } finally {
            for (Socket socket : hanging) {
                socket.close();
            }
        }
    }

    /** Guards the clients' door: a crowd that holds all places gives way to a client with a message. */
    @Test
    void aCrowdThatHoldsItsConnectionsDoesNotKeepAClientOut() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        try (Node relay = relay()) {
            for (int i = 0; i < 1024 / 3 + 50; i++) {
                crowd.add(new Socket(relay.address().getAddress(), relay.address().getPort()));
            }
            try (var client = new Platform.Client(relay)) {
                assertEquals("HTTP/1.1 202 Accepted", client.post("a", "bill", 7, 16_000).get(0));
            }
        } finally {
            for (Socket socket : crowd) {
                socket.close();
            }
        }
    }

    @Test
    void withoutAnAddressForItThereIsNoConsole() throws Exception {
        platform.config(host("s-1", host.port(), 7, "ready"));
        Path file = folder.resolve("config.json");
        Files.writeString(file, Files.readString(file).replace("\"console\":\"127.0.0.1:0\",", ""));
        assertNull(Config.read(platform.env()).consoleAddress());
        try (Node relay = new Node(Config.read(platform.env())); var client = new Platform.Client(relay)) {
            assertEquals("HTTP/1.1 202 Accepted", client.post("a", "bill", 7, 16_000).get(0));
        }
    }

    /** Guards the start: a console that cannot listen for a moment is no reason to end it. */
    @Test
    void aConsoleWithoutASocketForAMomentTriesAgain() throws Exception {
        AtomicInteger failures = new AtomicInteger(3);
        InetSocketAddress any = new InetSocketAddress(Platform.LOOPBACK, 0);
        try (Console console = new Console(any, () -> true, new Metrics(), () -> {
            if (failures.getAndDecrement() > 0) {
                throw new ChannelException("too many open files");
            }
            return new NioServerSocketChannel();
        })) {
            assertTrue(call(console.address(), "GET /api/ready HTTP/1.1").startsWith("HTTP/1.1 200 "));
        }
    }
}
