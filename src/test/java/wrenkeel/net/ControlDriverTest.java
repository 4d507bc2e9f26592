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

/** What drives the module, with a host and clients that the test plays. What one task does, one pass of the loop has read. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ControlDriverTest {
    @TempDir
    Path folder;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop thread = group.next();
    private final List<String> answers = new ArrayList<>();
    private Platform platform;
    private StubHost host;
    private Journal journal;
    private ControlDriver loop;
    private final Metrics figures = new Metrics();

    @BeforeEach
    void begin() throws Exception {
        platform = new Platform(folder);
        host = new StubHost();
        Config config = platform.writeConfig(Platform.hostJson("s-1", host.port(), 7, "ready"));
        journal = new Journal(config.state(), config.diskBytes());
        Bootstrap calls = new Bootstrap().group(thread);
        inOnePass(() -> {
            HostList hosts = new HostList(config.zones(), config.kinds());
            loop = new ControlDriver(thread, ProcessClock.system(), config, hosts, new HostPool(thread, calls, 1_000_000, 15_000_000, 100, figures), journal, figures,
                (whenListed, whenNoticed) -> new Discovery(thread, calls, config.discovery(), hosts, whenListed,
                    whenNoticed));
            loop.start(config.known());
        });
    }

    @AfterEach
    void end() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        journal.close();
        host.close();
        platform.close();
    }

    private interface Task {
        void run() throws Exception;
    }

    private void inOnePass(Task task) throws Exception {
        thread.submit(() -> {
            task.run();
            return null;
        }).get();
    }

    /** Waits until all that the passes so far have asked for is done. */
    private void settle() throws Exception {
        inOnePass(() -> { });
    }

    private static Message message(String id) {
        return new Message(id, "bill", 0, null, "key-" + id, 7, System.currentTimeMillis() + 60_000, new byte[3]);
    }

    private ControlDriver.AcceptanceCallback client(String name, Runnable whenTaken) {
        return new ControlDriver.AcceptanceCallback() {
            @Override
            public void accepted() {
                answers.add(name + " taken");
                whenTaken.run();
            }

            @Override
            public void refused(long retryAfter) {
                answers.add(name + " refused");
            }

            @Override
            public void failed() {
                answers.add(name + " failed");
            }
        };
    }

    private ControlDriver.AcceptanceCallback client(String name) {
        return client(name, () -> { });
    }

    /** Guards the rule on waits: an answer that stands unread in another socket is heard before anything is sent. */
    @Test
    void nothingIsDecidedBeforeAllThatIsReadyHasBeenRead() throws Exception {
        inOnePass(() -> {
            loop.accept(message("a"), client("first"));
            loop.accept(message("b"), client("second"));
            assertEquals(List.of(), answers);
        });
        settle();
        assertEquals(List.of("first taken", "second taken"), answers);
    }

    /** Guards against a lost request: what was read in the last instant, and what is read after it, is answered. */
    @Test
    void whoHandsInAMessageAsTheProcessEndsHearsThatItWasNotTakenOn() throws Exception {
        inOnePass(() -> {
            loop.accept(message("a"), client("first"));
            loop.stop();
            loop.accept(message("b"), client("second"));
        });
        settle();
        assertEquals(List.of("first refused", "second refused"), answers);
        assertEquals(0, journal.owed().size());
    }

    @Test
    void aMessageHandedInTwiceIsTakenOnOnce() throws Exception {
        inOnePass(() -> {
            loop.accept(message("a"), client("first"));
            loop.accept(message("a"), client("second"));
        });
        settle();
        assertEquals(List.of("first taken", "second taken"), answers);
        assertEquals(1, journal.owed().size());
    }

    /** Guards against a lost message: whoever names its id again and leaves must not take it from its client. */
    @Test
    void aMessageThatOneClientHeardOfIsNotWithdrawnByAnother() throws Exception {
        inOnePass(() -> {
            loop.accept(message("a"), client("first"));
            loop.accept(message("a"), client("second", () -> loop.withdraw("a")));
        });
        settle();
        assertEquals(1, journal.owed().size());
        inOnePass(() -> loop.withdraw("a"));
        assertEquals(0, journal.owed().size(), "in the end nobody heard");
    }

    /** Guards the slots: the module has sent a message in the very turn in which its client turns out to have left. */
    @Test
    void aClientThatLeftDoesNotCostASlot() throws Exception {
        for (int i = 0; i < 20; i++) {
            String id = "left-" + i;
            inOnePass(() -> loop.accept(message(id), client(id, () -> loop.withdraw(id))));
            settle();
        }
        inOnePass(() -> loop.accept(message("a"), client("stays")));
        assertEquals("a", host.nextCall().header("X-Request-ID"));
        assertTrue(host.hasNoCalls());
    }

    /** Delivers so many messages one after the other, so that more than one call may be out. */
    private void warmUp(int messages) throws Exception {
        for (int i = 0; i < messages; i++) {
            String id = "warm-" + i;
            inOnePass(() -> loop.accept(message(id), client(id)));
            host.nextCall().respond(StubHost.OK);
            while (journal.size() > 0) {
                settle();
            }
        }
    }

    /** Whether a message's first byte may have left, by what was written down before it would. */
    private boolean sent(String id) throws Exception {
        return thread.submit(() -> journal.owed().stream().filter(entry -> entry.message.id().equals(id))
            .anyMatch(entry -> entry.attempts.stream().anyMatch(attempt -> attempt.mayHaveRun))).get();
    }

    /**
     * Guards the rule on waits: the thread is held up after it has looked at its sockets, and the word to wait
     * comes just then. What is decided after that must not go by what was read before.
     */
    @Test
    void aWaitThatCameDuringAPauseBindsTheSendsAfterIt() throws Exception {
        warmUp(4);
        // Two connections are left idle, so that neither call has to wait for one.
        inOnePass(() -> {
            loop.accept(message("x"), client("x"));
            loop.accept(message("y"), client("y"));
        });
        StubHost.Call x = host.nextCall(), y = host.nextCall();
        x.respond(StubHost.OK);
        y.respond(StubHost.OK);
        while (journal.size() > 0) {
            settle();
        }
        inOnePass(() -> loop.accept(message("a"), client("a")));
        StubHost.Call first = host.nextCall();
        inOnePass(() -> {
            loop.accept(message("b"), client("b"));
            first.respond("HTTP/1.1 429 No\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n");
        });
        settle();
        assertFalse(sent("b"));
    }

    private static void answer(Socket watch, String list) throws IOException {
        StubHost.readHead(watch.getInputStream());
        write(watch, list);
    }

    private static void write(Socket watch, String list) throws IOException {
        watch.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
            .getBytes(StandardCharsets.UTF_8));
    }

    /** Guards the rule on drains in the same way: the list stands unread in the agent's socket. */
    @Test
    void aDrainThatCameDuringAPauseBindsTheSendsAfterIt() throws Exception {
        warmUp(4);
        try (ServerSocket agent = new ServerSocket(0, 8, Platform.LOOPBACK)) {
            Config moved = platform.configWithDiscoveryAt(agent.getLocalPort());
            inOnePass(() -> loop.reconfigure(moved));
            Socket watch = agent.accept();
            answer(watch, Platform.listJson(2, false));
            // The next call waits, and its answer comes while the thread is held up.
            StubHost.readHead(watch.getInputStream());
            inOnePass(() -> {
                loop.accept(message("b"), client("b"));
                write(watch, Platform.listJson(3, false, Platform.hostJson("s-1", host.port(), 7, "draining")));
            });
            settle();
            assertFalse(sent("b"));
            watch.close();
        }
    }
}
