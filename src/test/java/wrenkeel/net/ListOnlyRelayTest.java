package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;
import static wrenkeel.net.Platform.hostJson;
import static wrenkeel.net.Platform.listJson;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ListOnlyRelayTest {
    @TempDir
    Path folder;
    private final BlockingQueue<Long> inForce = new LinkedBlockingQueue<>();
    private final MultiThreadIoEventLoopGroup threads = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private Platform platform;

    @BeforeEach
    void begin() throws Exception {
        platform = new Platform(folder);
        platform.writeConfig();
    }

    @AfterEach
    void end() {
        threads.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        platform.close();
    }

    private ListOnlyRelay relay() {
        return new ListOnlyRelay(threads.next(), platform.environment(), inForce::add);
    }

    /** Waits for a version; those before it may come too. */
    private void awaitInForce(long version) throws InterruptedException {
        Long next;
        do {
            next = inForce.poll(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(next, "version " + version + " never in force");
        } while (next < version);
        assertEquals(version, next);
    }

    private void answerAtOnce(String list) {
        platform.immediateResponses.clear();
        platform.immediateResponses.add(list);
    }

    @Test
    void aListAndThenItsChangeComeIntoForce() throws Exception {
        answerAtOnce(listJson(41, true, hostJson("s-1", 9, 7, "ready")));
        ListOnlyRelay relay = relay();
        relay.start().get();
        awaitInForce(41);
        platform.watchResponses.add(listJson(43, false, hostJson("s-1", 9, 7, "draining")));
        awaitInForce(43);
        assertEquals(43, relay.version());
    }

    @Test
    void afterItsEndAnotherOneBeginsInItsFolderWithNothing() throws Exception {
        answerAtOnce(listJson(41, true));
        ListOnlyRelay first = relay();
        first.start().get();
        awaitInForce(41);
        first.stop().get();
        platform.listQueries.clear();
        ListOnlyRelay second = relay();
        second.start().get();
        awaitInForce(41);
        assertTrue(platform.listQueries.contains("after=1&wait_ms=1"), "it goes on from its configuration's list");
        assertEquals("journal.2", Platform.journalFile(folder.resolve("state")).getFileName().toString());
        assertFalse(Files.exists(folder.resolve("state/journal.1")), "taken over, so that the folder cannot fill");
    }

    @Test
    void aReloadIsTakenWholeOrNotAtAll() throws Exception {
        ListOnlyRelay relay = relay();
        relay.start().get();
        relay.reload().get();
        Files.writeString(folder.resolve("config.json"), "{");
        assertThrows(ExecutionException.class, () -> relay.reload().get());
    }
}
