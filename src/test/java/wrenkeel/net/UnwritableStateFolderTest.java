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

/** While the state folder cannot be written, the relay loses no message that it has accepted. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class UnwritableStateFolderTest {
    private static final String ACCEPTED = "HTTP/1.1 202 Accepted";
    private static final String REFUSED = "HTTP/1.1 503 Service Unavailable";
    private static final String NO_SPACE = "No space left on device";

    @TempDir
    Path folder;
    private Platform platform;
    private StubHost host;

    @BeforeEach
    void setUp() throws Exception {
        platform = new Platform(folder);
        host = new StubHost();
    }

    @AfterEach
    void tearDown() throws Exception {
        host.close();
        platform.close();
    }

    private Node startRelay(FileOperations files) throws Exception {
        return new Node(platform.writeConfig(Platform.hostJson("s-1", host.port(), 7, "ready")),
            new Machine(MachineClock.SYSTEM, files, ListeningSockets.SYSTEM));
    }

    private static String health(Node relay) throws IOException {
        try (var client = new Platform.Client(relay)) {
            return client.exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]).get(0);
        }
    }

    /** Leaves an open message in the folder, with no attempt made. */
    private void leaveOpenMessage(String id) throws Exception {
        platform.writeConfig();
        try (Journal journal = platform.openJournal()) {
            journal.accept(new Message(id, "bill", 0, null, "key-" + id, 7,
                System.currentTimeMillis() + 60_000, new byte[3]), null);
        }
    }

    /**
     * The start must not fail: until it can write, the relay reports that it does not serve and accepts
     * nothing.
     */
    @Test
    void aStartWaitsUntilTheStateFolderIsWritable() throws Exception {
        leaveOpenMessage("a");
        FailingFiles files = new FailingFiles(NO_SPACE);
        try (Node relay = startRelay(files)) {
            assertEquals(REFUSED, health(relay));
            try (var client = new Platform.Client(relay)) {
                assertEquals(REFUSED, client.post("b", "bill", 7, 16_000).get(0));
            }
            assertTrue(host.hasNoCalls(), "nothing is sent that cannot be recorded");
            files.failure = null;
            StubHost.Call call = host.nextCall();
            assertEquals("a", call.header("X-Request-ID"));
            call.respond(StubHost.OK);
            assertEquals("HTTP/1.1 200 OK", health(relay));
        }
        assertEquals(List.of(), List.copyOf(platform.notices));
    }

    /** An attempt that cannot be recorded is not sent, and must not count among the message's attempts. */
    @Test
    void aFullStateFolderUsesUpNoAttempts() throws Exception {
        FailingFiles files = new FailingFiles(null);
        try (Node relay = startRelay(files); var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 60_000).get(0));
            StubHost.Call first = host.nextCall();
            files.failure = NO_SPACE;
            first.respond("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
            // As many failed writes as its eleven further attempts with their outcomes, and its end,
            // would make.
            files.failedWrites.acquire(2 * 11 + 1);
            files.failure = null;
            StubHost.Call second = host.nextCall();
            assertNotNull(second, "ended without another call: " + platform.notices);
            assertEquals("a", second.header("X-Request-ID"));
            second.respond(StubHost.OK);
        }
        assertEquals(List.of(), List.copyOf(platform.notices));
    }

    /** A relay that is told to stop while its start waits must stop at once. */
    @Test
    void aWaitingStartCanBeStopped() throws Exception {
        Node relay = startRelay(new FailingFiles(NO_SPACE));
        InetSocketAddress address = relay.address();
        relay.shutDown();
        assertThrows(IOException.class, () -> new Platform.Client(address).close());
    }

    /**
     * A process that hands over must not disconnect a client in the middle of a request because the
     * handover cannot be recorded.
     */
    @Test
    void aHandoverThatCannotBeRecordedDisconnectsNoClient() throws Exception {
        Config config = platform.writeConfig("127.0.0.1:" + platform.freePort(),
            new String[] {Platform.hostJson("s-1", host.port(), 7, "ready")});
        FailingFiles files = new FailingFiles(null);
        Node old = new Node(config, new Machine(MachineClock.SYSTEM, files, ListeningSockets.SYSTEM));
        try (var client = new Platform.Client(old)) {
            try (Node next = new Node(config)) {
                String head = "POST /bill HTTP/1.1\r\nHost: api.internal\r\n"
                    + String.join("\r\n", Platform.Client.headers("a", "bill", 7, 16_000))
                    + "\r\nContent-Length: 4\r\n\r\n";
                client.write(head + "ha");
                files.failure = NO_SPACE;
                Thread shutdown = new Thread(old::shutDown);
                shutdown.start();
                while (!REFUSED.equals(health(old))) {
                    Thread.onSpinWait();
                }
                assertTrue(files.failedWrites.tryAcquire(3, Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS),
                    "retried");
                client.write("lf");
                assertEquals(REFUSED, client.readResponseHead().get(0));
                shutdown.join();
                assertNotNull(next.consoleAddress());
            }
        }
    }
}
