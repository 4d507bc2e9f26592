package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wrenkeel.Relay;

/** A lasting folder in which something stands in a file's place, or that holds garbage. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class StateFolderTest {
    private static final long LIMIT = 3_000_000;
    private static final Relay.MessageClass RULES = new Relay.MessageClass("bill", 2_000_000, 16_000_000, 1, 0,
        Relay.Effect.UNSAFE, false, 0, false, 12);

    @TempDir
    Path folder;
    private Platform platform;
    private Path state;

    @BeforeEach
    void begin() throws Exception {
        platform = new Platform(folder);
        platform.writeConfig();
        state = folder.resolve("state");
    }

    @AfterEach
    void end() {
        platform.close();
    }

    private static Message message(String id) {
        return new Message(id, "bill", 0, null, null, 7, System.currentTimeMillis() + 600_000, new byte[10]);
    }

    /** A folder in a file's place, which cannot be deleted, read or written like one. */
    private void obstruct(String name) throws IOException {
        Files.createDirectories(state.resolve(name).resolve("inside"));
    }

    private List<String> owed() throws IOException {
        try (Journal journal = platform.openJournal()) {
            return journal.owed().stream().map(entry -> entry.message.id()).toList();
        }
    }

    private void assertStartFailsNaming(String name) {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        PrintStream before = System.err;
        System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
        int status;
        try {
            status = Node.serve(platform.environment());
        } finally {
            System.setErr(before);
        }
        String text = written.toString(StandardCharsets.UTF_8);
        List<String> plain = text.lines().filter(line -> !line.startsWith("[")).toList();
        assertEquals(2, status, text);
        assertEquals(1, plain.size(), text);
        assertTrue(plain.get(0).contains(name), text);
    }

    /** The name that a release before used has no number. */
    @Test
    void aFolderNamedLikeTheJournalOfAReleaseBeforeIsLeftAlone() throws Exception {
        obstruct("journal");
        try (Node relay = platform.startRelay()) {
            assertNotNull(relay.address());
        }
        assertTrue(Files.isDirectory(state.resolve("journal")));
    }

    @Test
    void aJournalThatCannotBeWrittenEndsTheStartInOnePlainLine() throws Exception {
        obstruct("journal.new.1");
        assertStartFailsNaming("journal.new.1");
    }

    /** What an earlier process left for this one to read is no reason to lose its journal. */
    @Test
    void knowledgeThatCannotBeReadIsDoneWithout() throws Exception {
        try (Journal journal = new Journal(state, LIMIT)) {
            journal.take(message("a"), RULES);
        }
        obstruct("leaving.1");
        try (Node relay = platform.startRelay()) {
            assertNotNull(relay.address());
        }
        assertEquals(List.of("a"), owed());
    }

    /**
     * Guards against a second run: a file that could not be deleted is read again at each start, and whoever
     * took over what it holds must still know that, also once its own file was written anew.
     */
    @Test
    void whatStandsInAFileThatCannotBeDeletedIsTakenOverOnce() throws Exception {
        try (Journal journal = new Journal(state, LIMIT)) {
            journal.take(message("a"), RULES);
        }
        obstruct("journal.new.1");
        try (Journal journal = platform.openJournal()) {
            assertEquals(1, journal.size());
            journal.closed(journal.owed().iterator().next());
            // The file is written anew.
            journal.beginPassing();
        }
        assertEquals(List.of(), owed());
    }

    /** Guards the start against standing still: no number above such a one would be seen by the next start. */
    @Test
    void aNumberThatLeavesNoneAboveItEndsTheStartInOnePlainLine() throws Exception {
        Files.createFile(state.resolve("journal.999999999999999999"));
        assertStartFailsNaming("999999999999999999");
        assertStartFailsNaming("999999999999999999");
    }

    /** Guards the start: garbage in which each place could begin a long record is passed over in time. */
    @Test
    void garbageThatLooksLikeLongRecordsIsPassedOver() throws Exception {
        byte[] garbage = new byte[(int) LIMIT];
        for (int i = 1; i < garbage.length; i += 2) {
            garbage[i] = 0x0f;
        }
        Files.write(state.resolve("journal.1"), garbage);
        assertTimeoutPreemptively(java.time.Duration.ofSeconds(60), () -> assertEquals(List.of(), owed()));
    }
}
