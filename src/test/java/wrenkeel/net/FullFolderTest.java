package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The lasting folder cannot be written for a while; what was taken on is still owed. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class FullFolderTest {
    private static final String TAKEN = "HTTP/1.1 202 Accepted", REFUSED = "HTTP/1.1 503 Service Unavailable";
    private static final String FULL = "No space left on device";

    @TempDir
    Path folder;
    private Platform platform;
    private StubHost host;

    @BeforeEach
    void begin() throws Exception {
        platform = new Platform(folder);
        host = new StubHost();
    }

    @AfterEach
    void end() throws Exception {
        host.close();
        platform.close();
    }

    private Node relay(FileOperations files) throws Exception {
        return new Node(platform.writeConfig(Platform.hostJson("s-1", host.port(), 7, "ready")),
            new Machine(MachineClock.SYSTEM, files, ListeningSockets.SYSTEM));
    }

    private static String health(Node relay) throws IOException {
        try (var client = new Platform.Client(relay)) {
            return client.exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]).get(0);
        }
    }

    /** A message that the folder holds, with no attempt made. */
    private void owed(String id) throws Exception {
        platform.writeConfig();
        try (Journal journal = platform.openJournal()) {
            journal.take(new Message(id, "bill", 0, null, "key-" + id, 7, System.currentTimeMillis() + 60_000,
                new byte[3]), null);
        }
    }

    /** Guards against a refused start: until it can write, it says that it does not serve, and takes nothing on. */
    @Test
    void aStartWaitsUntilTheFolderCanBeWritten() throws Exception {
        owed("a");
        FailingFiles files = new FailingFiles(FULL);
        try (Node relay = relay(files)) {
            assertEquals(REFUSED, health(relay));
            try (var client = new Platform.Client(relay)) {
                assertEquals(REFUSED, client.post("b", "bill", 7, 16_000).get(0));
            }
            assertTrue(host.hasNoCalls(), "nothing is sent that cannot be written down");
            files.failure = null;
            StubHost.Call call = host.nextCall();
            assertEquals("a", call.header("X-Request-ID"));
            call.respond(StubHost.OK);
            assertEquals("HTTP/1.1 200 OK", health(relay));
        }
        assertEquals(List.of(), List.copyOf(platform.notices));
    }

    /** Guards a message's attempts: what cannot be written down is not sent, and is none of them. */
    @Test
    void aFullFolderUsesUpNoAttempts() throws Exception {
        FailingFiles files = new FailingFiles(null);
        try (Node relay = relay(files); var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 60_000).get(0));
            StubHost.Call first = host.nextCall();
            files.failure = FULL;
            first.respond("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
            // Its eleven further attempts with their outcomes, and its end.
            files.failedWrites.acquire(2 * 11 + 1);
            files.failure = null;
            StubHost.Call second = host.nextCall();
            assertNotNull(second, "ended without another call: " + platform.notices);
            assertEquals("a", second.header("X-Request-ID"));
            second.respond(StubHost.OK);
        }
        assertEquals(List.of(), List.copyOf(platform.notices));
    }

    /** Guards the end: told to stop while it waits, it goes at once. */
    @Test
    void aStartThatWaitsCanBeEnded() throws Exception {
        Node relay = relay(new FailingFiles(FULL));
        InetSocketAddress address = relay.address();
        relay.shutDown();
        assertThrows(IOException.class, () -> new Platform.Client(address).close());
    }

    /** Guards who is served as the process is to be replaced: a folder that fails then cuts nobody off. */
    @Test
    void aHandOverThatCannotBeWrittenDownCutsNoClientOff() throws Exception {
        Config config = platform.writeConfig("127.0.0.1:" + platform.freePort(),
            new String[] {Platform.hostJson("s-1", host.port(), 7, "ready")});
        FailingFiles files = new FailingFiles(null);
        Node old = new Node(config, new Machine(MachineClock.SYSTEM, files, ListeningSockets.SYSTEM));
        try (var half = new Platform.Client(old)) {
            try (Node next = new Node(config)) {
                String head = "POST /bill HTTP/1.1\r\nHost: api.internal\r\n"
                    + String.join("\r\n", Platform.Client.headers("a", "bill", 7, 16_000))
                    + "\r\nContent-Length: 4\r\n\r\n";
                half.write(head + "ha");
                files.failure = FULL;
                Thread end = new Thread(old::shutDown);
                end.start();
                while (!REFUSED.equals(health(old))) {
                    Thread.onSpinWait();
                }
                assertTrue(files.failedWrites.tryAcquire(3, Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS), "tried again");
                half.write("lf");
                assertEquals(REFUSED, half.readResponseHead().get(0));
                end.join();
                assertNotNull(next.consoleAddress());
            }
        }
    }
}
