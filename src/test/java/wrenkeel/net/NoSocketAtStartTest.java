package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.net.SocketException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The start of a relay while the machine temporarily has no socket to listen on. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class NoSocketAtStartTest {
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

    /** Guards the messages in the state folder: the start must not fail, and they are delivered meanwhile. */
    @Test
    void aStartRetriesToListenUntilASocketOpens() throws Exception {
        Config config = platform.writeConfig(Platform.hostJson("s-1", host.port(), 7, "ready"));
        try (Journal journal = platform.openJournal()) {
            journal.accept(new Message("a", "bill", 0, null, "key-a", 7, System.currentTimeMillis() + 60_000,
                new byte[3]), null);
        }
        AtomicInteger failures = new AtomicInteger(3);
        ListeningSockets sockets = () -> {
            if (failures.getAndDecrement() > 0) {
                throw new SocketException("Too many open files in system");
            }
            return ServerSocketChannel.open();
        };
        try (Node relay = new Node(config,
                new Machine(MachineClock.SYSTEM, FileOperations.SYSTEM, sockets))) {
            StubHost.Call call = host.nextCall();
            assertEquals("a", call.header("X-Request-ID"));
            call.respond(StubHost.OK);
            relay.awaitServing();
            try (var client = new Platform.Client(relay)) {
                assertEquals("HTTP/1.1 200 OK",
                    client.exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]).get(0));
            }
        }
    }
}
