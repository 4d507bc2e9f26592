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

/**
 * A relay without clients: it applies lists, leaves its folder to a successor, and reloads its configuration.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ListOnlyRelayTest {
    @TempDir
    Path folder;
    private final BlockingQueue<Long> appliedVersions = new LinkedBlockingQueue<>();
    private final MultiThreadIoEventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private Platform platform;

    @BeforeEach
    void setUp() throws Exception {
        platform = new Platform(folder);
        platform.writeConfig();
    }

    @AfterEach
    void tearDown() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        platform.close();
    }

    private ListOnlyRelay newRelay() {
        return new ListOnlyRelay(eventLoops.next(), platform.environment(), appliedVersions::add);
    }

    /** Waits until the module has processed a version of the list; earlier ones may be reported before. */
    private void awaitVersion(long version) throws InterruptedException {
        Long next;
        do {
            next = appliedVersions.poll(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(next, "version " + version + " was not applied");
        } while (next < version);
        assertEquals(version, next);
    }

    /** Sets the agent's response to requests for the list that do not wait. */
    private void setImmediateResponse(String list) {
        platform.immediateResponses.clear();
        platform.immediateResponses.add(list);
    }

    @Test
    void aListAndThenItsChangeAreApplied() throws Exception {
        setImmediateResponse(listJson(41, true, hostJson("s-1", 9, 7, "ready")));
        ListOnlyRelay relay = newRelay();
        relay.start().get();
        awaitVersion(41);
        platform.watchResponses.add(listJson(43, false, hostJson("s-1", 9, 7, "draining")));
        awaitVersion(43);
        assertEquals(43, relay.version());
    }

    @Test
    void aSuccessorInTheSameFolderStartsFromTheConfiguredList() throws Exception {
        setImmediateResponse(listJson(41, true));
        ListOnlyRelay first = newRelay();
        first.start().get();
        awaitVersion(41);
        first.stop().get();
        platform.listQueries.clear();
        ListOnlyRelay second = newRelay();
        second.start().get();
        awaitVersion(41);
        assertTrue(platform.listQueries.contains("after=1&wait_ms=1"),
            "it must continue from its configuration's list");
        assertEquals("journal.2", Platform.journalFile(folder.resolve("state")).getFileName().toString());
        assertFalse(Files.exists(folder.resolve("state/journal.1")),
            "the successor must delete it, or the folder would fill");
    }

    @Test
    void aReloadIsAppliedWholeOrNotAtAll() throws Exception {
        ListOnlyRelay relay = newRelay();
        relay.start().get();
        relay.reload().get();
        Files.writeString(folder.resolve("config.json"), "{");
        assertThrows(ExecutionException.class, () -> relay.reload().get());
    }
}
