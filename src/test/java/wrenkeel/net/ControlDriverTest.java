package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.net.Socket;
import java.net.ServerSocket;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The driver of the decision module, on real sockets and with a scripted host. Everything that one task
 * submits counts as read in one iteration of the event loop.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ControlDriverTest {
    @TempDir
    Path folder;
    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    /** The responses to clients in order: the client's name, and "accepted", "refused" or "failed". */
    private final List<String> clientResponses = new ArrayList<>();
    private Platform platform;
    private StubHost host;
    private Journal journal;
    private ControlDriver driver;
    private final Metrics metrics = new Metrics();

    @BeforeEach
    void setUp() throws Exception {
        platform = new Platform(folder);
        host = new StubHost();
        Config config = platform.writeConfig(Platform.hostJson("s-1", host.port(), 7, "ready"));
        journal = new Journal(config.stateFolder(), config.diskLimitBytes());
        Bootstrap calls = new Bootstrap().group(eventLoop);
        inOneIteration(() -> {
            HostList hosts = new HostList(config.zones(), config.kinds());
            driver = new ControlDriver(eventLoop, ProcessClock.system(), config, hosts,
                new HostPool(eventLoop, calls, 1_000_000, 15_000_000, 100, metrics), journal, metrics,
                (whenListed, whenNoticed) -> new Discovery(eventLoop, calls, config.discoveryAddress(), hosts,
                    whenListed, whenNoticed));
            driver.start(config.savedList());
        });
    }

    @AfterEach
    void tearDown() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        journal.close();
        host.close();
        platform.close();
    }

    private interface Task {
        void run() throws Exception;
    }

    /** Runs a task on the event loop, within one iteration. */
    private void inOneIteration(Task task) throws Exception {
        eventLoop.submit(() -> {
            task.run();
            return null;
        }).get();
    }

    /** Waits until the event loop has run the tasks that are queued now. */
    private void awaitQueuedTasks() throws Exception {
        inOneIteration(() -> { });
    }

    private static Message message(String id) {
        return new Message(id, "bill", 0, null, "key-" + id, 7, System.currentTimeMillis() + 60_000,
            new byte[3]);
    }

    /** Returns a callback that records the response and, if it is "accepted", runs a task. */
    private ControlDriver.AcceptanceCallback callback(String name, Runnable whenAccepted) {
        return new ControlDriver.AcceptanceCallback() {
            @Override
            public void accepted() {
                clientResponses.add(name + " accepted");
                whenAccepted.run();
            }

            @Override
            public void refused(long retryAfter) {
                clientResponses.add(name + " refused");
            }

            @Override
            public void failed() {
                clientResponses.add(name + " failed");
            }
        };
    }

    private ControlDriver.AcceptanceCallback callback(String name) {
        return callback(name, () -> { });
    }

    /**
     * Guards the observance of Retry-After: a response unread in another socket is read before anything is
     * sent.
     */
    @Test
    void nothingIsDecidedBeforeAllReadySocketsHaveBeenRead() throws Exception {
        inOneIteration(() -> {
            driver.accept(message("a"), callback("first"));
            driver.accept(message("b"), callback("second"));
            assertEquals(List.of(), clientResponses);
        });
        awaitQueuedTasks();
        assertEquals(List.of("first accepted", "second accepted"), clientResponses);
    }

    /** Guards against an unanswered request: a message read just before the stop, or after it, is refused. */
    @Test
    void messagesThatArriveAroundStopAreRefused() throws Exception {
        inOneIteration(() -> {
            driver.accept(message("a"), callback("first"));
            driver.stop();
            driver.accept(message("b"), callback("second"));
        });
        awaitQueuedTasks();
        assertEquals(List.of("first refused", "second refused"), clientResponses);
        assertEquals(0, journal.openEntries().size());
    }

    @Test
    void aMessageSubmittedTwiceIsAcceptedOnce() throws Exception {
        inOneIteration(() -> {
            driver.accept(message("a"), callback("first"));
            driver.accept(message("a"), callback("second"));
        });
        awaitQueuedTasks();
        assertEquals(List.of("first accepted", "second accepted"), clientResponses);
        assertEquals(1, journal.openEntries().size());
    }

    /**
     * Guards against a lost message: a client that submits the same id and disconnects must not withdraw the
     * message of another client that has received "accepted".
     */
    @Test
    void aMessageStaysWhileAnyClientHasReceivedAccepted() throws Exception {
        inOneIteration(() -> {
            driver.accept(message("a"), callback("first"));
            driver.accept(message("a"), callback("second", () -> driver.withdraw("a")));
        });
        awaitQueuedTasks();
        assertEquals(1, journal.openEntries().size());
        inOneIteration(() -> driver.withdraw("a"));
        assertEquals(0, journal.openEntries().size(),
            "must be withdrawn: no client has received the response");
    }

    /**
     * Guards the slots: a message whose client turns out to have disconnected in the turn that sends it must
     * not occupy one.
     */
    @Test
    void aClientThatDisconnectedDoesNotOccupyASlot() throws Exception {
        for (int i = 0; i < 20; i++) {
            String id = "left-" + i;
            inOneIteration(() -> driver.accept(message(id), callback(id, () -> driver.withdraw(id))));
            awaitQueuedTasks();
        }
        inOneIteration(() -> driver.accept(message("a"), callback("stays")));
        assertEquals("a", host.nextCall().header("X-Request-ID"));
        assertTrue(host.hasNoCalls());
    }

    /**
     * Delivers this many messages one after the other, after which the module allows more than one call in
     * flight.
     */
    private void deliverInSequence(int messages) throws Exception {
        for (int i = 0; i < messages; i++) {
            String id = "warm-" + i;
            inOneIteration(() -> driver.accept(message(id), callback(id)));
            host.nextCall().respond(StubHost.OK);
            while (journal.openCount() > 0) {
                awaitQueuedTasks();
            }
        }
    }

    /**
     * True if the journal says that an attempt of the message may have run; that is recorded before it is
     * sent.
     */
    private boolean isRecordedAsSent(String id) throws Exception {
        return eventLoop.submit(() -> journal.openEntries().stream()
            .filter(entry -> entry.message.id().equals(id))
            .anyMatch(entry -> entry.attempts.stream().anyMatch(attempt -> attempt.mayHaveRun))).get();
    }

    /**
     * Guards the observance of Retry-After: the thread pauses after it has polled its sockets, and a response
     * with Retry-After arrives during the pause, perhaps without its body. What is decided after the pause
     * must take that response into account.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 5})
    void retryAfterThatArrivesDuringAPauseIsReadBeforeSending(int missingBodyBytes) throws Exception {
        deliverInSequence(4);
        // Leaves two connections idle, so that neither of the later calls has to wait for one.
        inOneIteration(() -> {
            driver.accept(message("x"), callback("x"));
            driver.accept(message("y"), callback("y"));
        });
        StubHost.Call callX = host.nextCall(), callY = host.nextCall();
        callX.respond(StubHost.OK);
        callY.respond(StubHost.OK);
        while (journal.openCount() > 0) {
            awaitQueuedTasks();
        }
        inOneIteration(() -> driver.accept(message("a"), callback("a")));
        StubHost.Call first = host.nextCall();
        inOneIteration(() -> {
            driver.accept(message("b"), callback("b"));
            first.respond("HTTP/1.1 429 No\r\nRetry-After: 30\r\nContent-Length: " + missingBodyBytes
                + "\r\n\r\n");
        });
        awaitQueuedTasks();
        assertFalse(isRecordedAsSent("b"));
        // Later turns know of the wait as well.
        inOneIteration(() -> driver.accept(message("c"), callback("c")));
        awaitQueuedTasks();
        assertFalse(isRecordedAsSent("c"));
    }

    /** Reads a request for the list and responds with this list. */
    private static void respondToNextRequest(Socket agentConnection, String list) throws IOException {
        StubHost.readHead(agentConnection.getInputStream());
        writeResponse(agentConnection, list);
    }

    private static void writeResponse(Socket agentConnection, String list) throws IOException {
        agentConnection.getOutputStream()
            .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                .getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Guards the rule on draining hosts in the same way: the list that names one is unread in the agent's
     * socket.
     */
    @Test
    void drainingThatArrivesDuringAPauseIsReadBeforeSending() throws Exception {
        deliverInSequence(4);
        try (ServerSocket agent = new ServerSocket(0, 8, Platform.LOOPBACK)) {
            Config newConfig = platform.configWithDiscoveryAt(agent.getLocalPort());
            inOneIteration(() -> driver.reconfigure(newConfig));
            Socket agentConnection = agent.accept();
            respondToNextRequest(agentConnection, Platform.listJson(2, false));
            // The next request is a watch, and its response arrives while the thread is busy.
            StubHost.readHead(agentConnection.getInputStream());
            inOneIteration(() -> {
                driver.accept(message("b"), callback("b"));
                writeResponse(agentConnection,
                    Platform.listJson(3, false, Platform.hostJson("s-1", host.port(), 7, "draining")));
            });
            awaitQueuedTasks();
            assertFalse(isRecordedAsSent("b"));
            agentConnection.close();
        }
    }
}
