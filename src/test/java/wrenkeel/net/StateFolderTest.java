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

/** A state folder in which folders stand in the place of files, or files contain garbage. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class StateFolderTest {
    private static final long LIMIT_BYTES = 3_000_000;
    private static final Relay.MessageClass MESSAGE_CLASS = new Relay.MessageClass("bill", 2_000_000,
        16_000_000, 1, 0, Relay.Effect.UNSAFE, false, 0, false, 12);

    @TempDir
    Path folder;
    private Platform platform;
    private Path state;

    @BeforeEach
    void setUp() throws Exception {
        platform = new Platform(folder);
        platform.writeConfig();
        state = folder.resolve("state");
    }

    @AfterEach
    void tearDown() {
        platform.close();
    }

    private static Message message(String id) {
        return new Message(id, "bill", 0, null, null, 7, System.currentTimeMillis() + 600_000, new byte[10]);
    }

    /** Creates a folder in the place of a file. It is not empty, so that it cannot be deleted like a file. */
    private void obstruct(String name) throws IOException {
        Files.createDirectories(state.resolve(name).resolve("inside"));
    }

    /** Returns the ids of the messages that a start adopts. */
    private List<String> openMessageIds() throws IOException {
        try (Journal journal = platform.openJournal()) {
            return journal.openEntries().stream().map(entry -> entry.message.id()).toList();
        }
    }

    /** Checks that a start fails with status 2 and one line, besides the log, that contains the name. */
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
        List<String> plain = text.lines().filter(line -> !line.matches("\\S+ \\[\\w.*")).toList();
        assertEquals(2, status, text);
        assertEquals(1, plain.size(), text);
        assertTrue(plain.get(0).contains(name), text);
    }

    /** The journal of earlier releases has no number. */
    @Test
    void aFolderNamedLikeTheUnnumberedJournalIsLeftAlone() throws Exception {
        obstruct("journal");
        try (Node relay = platform.startRelay()) {
            assertNotNull(relay.address());
        }
        assertTrue(Files.isDirectory(state.resolve("journal")));
    }

    @Test
    void aJournalThatCannotBeCreatedFailsTheStartInOneLine() throws Exception {
        obstruct("journal.new.1");
        assertStartFailsNaming("journal.new.1");
    }

    /**
     * The messages in the journal must be adopted even if the snapshot of the same process cannot be
     * read.
     */
    @Test
    void anUnreadableHandoverSnapshotIsIgnored() throws Exception {
        try (Journal journal = new Journal(state, LIMIT_BYTES)) {
            journal.accept(message("a"), MESSAGE_CLASS);
        }
        obstruct("leaving.1");
        try (Node relay = platform.startRelay()) {
            assertNotNull(relay.address());
        }
        assertEquals(List.of("a"), openMessageIds());
    }

    /**
     * A file that cannot be deleted is read again at each start. The process that adopted its messages
     * must still know that, also after a rewrite of its own file; otherwise they would be sent twice.
     */
    @Test
    void messagesOfAFileThatCannotBeDeletedAreAdoptedOnce() throws Exception {
        try (Journal journal = new Journal(state, LIMIT_BYTES)) {
            journal.accept(message("a"), MESSAGE_CLASS);
        }
        obstruct("journal.new.1");
        try (Journal journal = platform.openJournal()) {
            assertEquals(1, journal.openCount());
            journal.recordClosed(journal.openEntries().iterator().next());
            // Rewrites the file.
            journal.beginHandover();
        }
        assertEquals(List.of(), openMessageIds());
    }

    /** The start must not loop: a longer number would not be recognized by the next start. */
    @Test
    void aFileWithTheHighestNumberFailsTheStartInOneLine() throws Exception {
        Files.createFile(state.resolve("journal.999999999999999999"));
        assertStartFailsNaming("999999999999999999");
        assertStartFailsNaming("999999999999999999");
    }

    /** Garbage in which every position could begin a long record must not delay the start for too long. */
    @Test
    void garbageThatLooksLikeLongRecordsIsSkippedInTime() throws Exception {
        byte[] garbage = new byte[(int) LIMIT_BYTES];
        for (int i = 1; i < garbage.length; i += 2) {
            garbage[i] = 0x0f;
        }
        Files.write(state.resolve("journal.1"), garbage);
        assertTimeoutPreemptively(java.time.Duration.ofSeconds(60),
            () -> assertEquals(List.of(), openMessageIds()));
    }
}
