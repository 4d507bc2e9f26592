package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wrenkeel.Relay;

/**
 * Two processes share the state folder while one takes over from the other: together their files keep to the
 * limit, and no message is lost or kept twice, whichever of them is killed, and after whichever change.
 */
class SharedStateFolderTest {
    private static final long LIMIT_BYTES = 3_000_000;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** Changes of files between two of the moments at which a process is killed. */
    private static final int KILL_STEP = 37;
    private static final Relay.MessageClass MESSAGE_CLASS = new Relay.MessageClass("bill", 2_000_000,
        16_000_000, 1.5, 0.25, Relay.Effect.KEYED, true, 3_000_000, true, 8);

    @TempDir
    Path folder;
    private final FailingFiles files = new FailingFiles(null);
    private final List<Journal> running = new ArrayList<>();
    private int changes;
    /** Number of the change after which the process that makes it is killed; 0 if none is. */
    private int killAt;
    private int bodyBytes = MAX_BODY_BYTES;
    /** Messages that clients were told are accepted, and that are not closed. */
    private final Set<String> open = new HashSet<>();
    /** The message that an interrupted change was about: accepted or closed, or not. */
    private String undecided;
    private int lastMessage;

    /** A process is killed behind a change of a file. */
    private static final class Killed extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    @AfterEach
    void tearDown() throws IOException {
        files.afterChange = () -> { };
        for (Journal journal : running) {
            journal.close();
        }
    }

    private void recordChange() {
        try (var all = Files.list(folder)) {
            long bytes = all.mapToLong(file -> (file.toFile().length() + 511) / 512 * 512).sum();
            assertTrue(bytes <= LIMIT_BYTES, bytes + " bytes in the folder");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        changes++;
        if (changes == killAt) {
            throw new Killed();
        }
    }

    private Journal start() throws IOException {
        Journal journal = new Journal(folder, LIMIT_BYTES, ProcessClock.system(), files);
        running.add(journal);
        return journal;
    }

    private void end(Journal journal) throws IOException {
        running.remove(journal);
        journal.close();
    }

    /** Accepts a message; null if it is refused. */
    private Journal.Entry accept(Journal journal) throws IOException {
        String id = "m" + ++lastMessage;
        undecided = id;
        Journal.Entry entry = journal.accept(new Message(id, "bill", 0, null, "key", 7, Long.MAX_VALUE / 2,
            new byte[bodyBytes]), MESSAGE_CLASS);
        if (entry != null) {
            open.add(id);
        }
        undecided = null;
        return entry;
    }

    private void close(Journal journal, Journal.Entry entry) throws IOException {
        undecided = entry.message.id();
        journal.recordClosed(entry);
        open.remove(undecided);
        undecided = null;
    }

    private static void attempt(Journal journal, Journal.Entry entry) throws IOException {
        if (entry.attempts.size() < MESSAGE_CLASS.maxAttempts()) {
            journal.recordSent(entry, 1, 0);
            journal.recordNotRun(entry, entry.attempts.size() - 1);
        }
    }

    private void acceptUntilRefused(Journal journal) throws IOException {
        while (accept(journal) != null) {
            continue;
        }
    }

    /** Plays a replacement in which clients submit all that is accepted, to both processes. */
    private void replace(Journal old, Journal next) throws IOException {
        acceptUntilRefused(old);
        old.beginHandover();
        List<Journal.Entry> inFlight = new ArrayList<>(List.copyOf(old.openEntries()).subList(0, 3));
        for (Journal.Entry entry : old.openEntries()) {
            if (!inFlight.contains(entry)) {
                old.passOn(entry);
            }
        }
        old.publishSnapshot("x".repeat((int) old.maxSnapshotBytes()));
        next.adopt(entry -> { });
        next.confirmTakeover();
        for (Journal.Entry entry : inFlight) {
            for (Journal.Entry late = accept(old); late != null; late = accept(old)) {
                old.passOn(late);
            }
            attempt(old, entry);
            old.passOn(entry);
            next.adopt(adopted -> { });
            acceptUntilRefused(next);
            serve(next, 10);
        }
        end(old);
        next.adopt(entry -> { });
        acceptUntilRefused(next);
        serve(next, 40);
        acceptUntilRefused(next);
    }

    /** Attempts all messages and closes the oldest, accepting others in its place. */
    private void serve(Journal journal, int rounds) throws IOException {
        for (int round = 0; round < rounds; round++) {
            for (Journal.Entry entry : journal.openEntries()) {
                attempt(journal, entry);
            }
            close(journal, journal.openEntries().iterator().next());
            accept(journal);
        }
    }

    /**
     * Guards against a crash by disk_mb: while a process is replaced under large messages, the files of both
     * processes together keep to the limit.
     */
    @ParameterizedTest
    @ValueSource(ints = {MAX_BODY_BYTES, 10_000, 200})
    void theFolderKeepsToItsLimitWhileAProcessIsReplaced(int bytes) throws IOException {
        bodyBytes = bytes;
        files.afterChange = this::recordChange;
        Journal next = null;
        for (int replacements = 0; replacements < 3; replacements++) {
            Journal old = next == null ? start() : next;
            next = start();
            replace(old, next);
        }
        assertEquals(open, idsIn(next));
    }

    private static Set<String> idsIn(Journal journal) {
        Set<String> ids = new HashSet<>();
        for (Journal.Entry entry : journal.openEntries()) {
            assertTrue(ids.add(entry.message.id()), entry.message.id() + " is there twice");
        }
        return ids;
    }

    /**
     * Guards against a crash by disk_mb and against lost messages: after a kill at any time in a replacement,
     * the next process finds each open message once, and the files keep to the limit.
     */
    @Test
    void theFolderKeepsToItsLimitWhicheverProcessIsKilledInAReplacement() throws IOException {
        boolean killed = true;
        for (int kill = 1; killed; kill += KILL_STEP) {
            clear();
            killed = playWithKill(kill);
        }
    }

    /**
     * Guards against lost and repeated messages: a failed write during the handover must not change what the
     * next process has read of the file.
     */
    @Test
    void aFailedWriteDuringTheHandoverLosesAndRepeatsNoMessage() throws IOException {
        Journal old = start();
        Journal next = start();
        bodyBytes = 100;
        List<Journal.Entry> entries = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            entries.add(accept(old));
        }
        old.beginHandover();
        old.publishSnapshot("{}");
        next.adopt(entry -> { });
        files.failure = "Input/output error";
        assertThrows(IOException.class, () -> old.recordClosed(entries.get(0)));
        assertThrows(IOException.class, () -> old.passOn(entries.get(1)));
        assertThrows(IOException.class, () -> old.recordSent(entries.get(2), 1_000, 0));
        files.failure = null;
        old.repair();
        old.passOn(entries.get(1));
        old.recordSent(entries.get(2), 2_000, 0);
        old.passOn(accept(old));
        next.adopt(entry -> { });
        assertEquals(Set.of("m2", "m5"), idsIn(next));
        end(old);
        next.adopt(entry -> { });
        assertEquals(Set.of("m2", "m3", "m4", "m5"), idsIn(next));
        Journal.Entry sent = next.openEntries().stream().filter(e -> e.message.id().equals("m3")).findAny()
            .orElseThrow();
        assertEquals(List.of(false, true), sent.attempts.stream().map(a -> a.mayHaveRun).toList(),
            "the first was not sent, as it could not be recorded");
    }

    /** Guards against a refused start: processes that are killed as they start leave files behind. */
    @Test
    void aProcessStartsBesideTheFilesOfManyThatWereKilled() throws IOException {
        Journal first = start();
        accept(first);
        end(first);
        for (int kills = 0; kills < 30; kills++) {
            end(start());
        }
        Journal last = start();
        last.adopt(entry -> { });
        assertEquals(open, idsIn(last));
        assertNotNull(accept(last));
    }

    private void clear() throws IOException {
        open.clear();
        undecided = null;
        try (var all = Files.list(folder)) {
            all.forEach(file -> file.toFile().delete());
        }
    }

    /** Plays a replacement with a kill, and a start after it; false if it ended before the kill. */
    private boolean playWithKill(int kill) throws IOException {
        Journal old = start();
        Journal next = start();
        changes = 0;
        killAt = kill;
        files.afterChange = this::recordChange;
        boolean killed = false;
        try {
            replace(old, next);
        } catch (Killed e) {
            killed = true;
        }
        killAt = 0;
        // The process that was killed and the other one, which may have ended long ago.
        for (Journal journal : running.stream().sorted(Comparator.comparing(Journal::openCount)).toList()) {
            end(journal);
        }
        Journal third = start();
        third.adopt(entry -> { });
        Set<String> found = idsIn(third);
        Set<String> expected = new HashSet<>(open);
        if (undecided != null) {
            found.remove(undecided);
            expected.remove(undecided);
        }
        assertEquals(expected, found, "after a kill behind change " + kill);
        serve(third, 5);
        end(third);
        return killed;
    }
}
