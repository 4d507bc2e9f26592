package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenkeel.Relay;

/**
 * The journal keeps open messages and the health of endpoints across processes, within the folder's
 * limit.
 */
class JournalTest {
    private static final long LIMIT_BYTES = 3_000_000;

    @TempDir
    Path folder;

    /** Lets the tests compare times that pass from process to process to the millisecond. */
    private static final MachineClock STOPPED_CLOCK = new MachineClock() {
        @Override
        public long monotonicNanos() {
            return 5_000_000_000L;
        }

        @Override
        public long wallMillis() {
            return 1_800_000_000_000L;
        }

        @Override
        public String bootId() {
            return "boot";
        }
    };

    private static final Relay.MessageClass MESSAGE_CLASS = new Relay.MessageClass("bill-post", 2_000_000,
        16_000_000, 1.5, 0.25, Relay.Effect.KEYED, true, 3_000_000, true, 12);

    /** Opens a journal and adopts what earlier processes left. */
    private Journal open() throws IOException {
        Journal journal = new Journal(folder, LIMIT_BYTES, new ProcessClock(STOPPED_CLOCK),
            FileOperations.SYSTEM);
        journal.adopt(entry -> { });
        return journal;
    }

    private static Message message(String id, int bytes) {
        return new Message(id, "bill-post", 0, "house-3", "key-" + id, 7, 1_900_000_000_000L,
            new byte[bytes]);
    }

    private static Journal.Entry onlyOpenEntry(Journal journal) {
        assertEquals(1, journal.openEntries().size());
        return journal.openEntries().iterator().next();
    }

    /** Returns the size of the folder's files, each rounded up to 512 bytes. */
    private long bytesOnDisk() throws IOException {
        try (var files = Files.list(folder)) {
            return files.mapToLong(f -> (f.toFile().length() + 511) / 512 * 512).sum();
        }
    }

    @Test
    void allRecordedStateOfAMessageIsReadBack() throws IOException {
        try (Journal journal = open()) {
            Journal.Entry entry = journal.accept(message("a", 300), MESSAGE_CLASS);
            journal.recordSent(entry, 1_000, 2);
            journal.recordSent(entry, 2_000, 1);
            journal.recordNotRun(entry, 0);
            journal.recordEnd(entry, new Journal.End(true, 500_000));
        }
        // Twice: the file that the first start rewrites must read the same.
        for (int start = 0; start < 2; start++) {
            try (Journal journal = open()) {
                Journal.Entry entry = onlyOpenEntry(journal);
                assertEquals("a", entry.message.id());
                assertEquals("bill-post", entry.message.messageClass());
                assertEquals(MESSAGE_CLASS, entry.messageClass);
                assertEquals("house-3", entry.message.routeKey());
                assertEquals("key-a", entry.message.idempotencyKey());
                assertEquals(7, entry.message.destination());
                assertEquals(1_900_000_000_000L, entry.message.deadline());
                assertArrayEquals(new byte[300], entry.message.body());
                assertEquals(List.of(1_000L, 2_000L),
                    entry.attempts.stream().map(a -> a.sentMillis).toList());
                assertEquals(List.of(2, 1), entry.attempts.stream().map(a -> a.zone).toList());
                assertEquals(List.of(false, true), entry.attempts.stream().map(a -> a.mayHaveRun).toList());
                assertEquals(new Journal.End(true, 500_000), entry.end);
            }
        }
    }

    /**
     * A notice has a retry time only if the message was refused and the time is not 0; in whole
     * milliseconds.
     */
    @Test
    void recoveredEndsProduceTheNoticesThatWerePending() throws IOException {
        try (Journal journal = open()) {
            journal.recordEnd(journal.accept(message("a", 1), MESSAGE_CLASS), new Journal.End(true, 499_001));
            journal.recordEnd(journal.accept(message("b", 1), MESSAGE_CLASS), new Journal.End(true, 0));
            journal.recordEnd(journal.accept(message("c", 1), MESSAGE_CLASS), new Journal.End(false, 0));
        }
        try (Journal journal = open()) {
            assertEquals("""
                {"message":"a","outcome":"handed_back","retry_in_ms":500}
                {"message":"b","outcome":"handed_back"}
                {"message":"c","outcome":"given_up"}
                """, NoticeBody.encode(List.copyOf(journal.openEntries())));
        }
    }

    @Test
    void closedMessagesAreNotRecovered() throws IOException {
        try (Journal journal = open()) {
            journal.recordClosed(journal.accept(message("a", 10), MESSAGE_CLASS));
            journal.accept(message("b", 10), MESSAGE_CLASS);
        }
        try (Journal journal = open()) {
            assertEquals("b", onlyOpenEntry(journal).message.id());
        }
    }

    /**
     * A kill in the middle of a write leaves a partial record. The records before it must remain
     * readable, and new ones must follow them.
     */
    @Test
    void anUnfinishedRecordAtTheEndIsDropped() throws IOException {
        try (Journal journal = open()) {
            journal.accept(message("a", 100), MESSAGE_CLASS);
        }
        long lengthBeforeSecond;
        try (Journal journal = open()) {
            lengthBeforeSecond = Files.size(Platform.journalFile(folder));
            journal.accept(message("b", 100), MESSAGE_CLASS);
        }
        byte[] both = Files.readAllBytes(Platform.journalFile(folder));
        for (int length = (int) lengthBeforeSecond; length < both.length; length++) {
            Files.write(Platform.journalFile(folder), java.util.Arrays.copyOf(both, length));
            try (Journal journal = open()) {
                assertEquals("a", onlyOpenEntry(journal).message.id());
                journal.accept(message("c", 100), MESSAGE_CLASS);
            }
            try (Journal journal = open()) {
                assertEquals(2, journal.openEntries().size());
                assertTrue(bytesOnDisk() <= LIMIT_BYTES);
            }
        }
    }

    /**
     * An attempt whose record could not be written was not sent. It keeps its number, so that later
     * records are not taken for it.
     */
    @Test
    void attemptNumbersSurviveAFailedWrite() throws IOException {
        Journal before = open();
        Journal.Entry entry = before.accept(message("a", 10), MESSAGE_CLASS);
        before.close();
        assertThrows(IOException.class, () -> before.recordSent(entry, 1_000, 0));
        before.recordSent(entry, 2_000, 1);
        before.close();
        try (Journal journal = open()) {
            assertEquals(List.of(false, true),
                onlyOpenEntry(journal).attempts.stream().map(a -> a.mayHaveRun).toList());
        }
    }

    /** Returns the open message with this id, or null. */
    private Journal.Entry openEntry(Journal journal, String id) {
        return journal.openEntries().stream().filter(entry -> entry.message.id().equals(id)).findFirst()
            .orElse(null);
    }

    private static boolean mayHaveRun(Journal.Entry entry) {
        return entry.attempts.stream().anyMatch(attempt -> attempt.mayHaveRun);
    }

    /**
     * A damaged record may have been the send of any message before it, so those may have been processed: an
     * unsafe one must not be sent again. Messages after it are read as usual.
     */
    @Test
    void aDamagedRecordIsSkippedAndEarlierMessagesMayHaveRun() throws IOException {
        long middle;
        long end;
        try (Journal journal = open()) {
            journal.accept(message("a", 100), MESSAGE_CLASS);
            middle = Files.size(Platform.journalFile(folder));
            journal.accept(message("b", 100), MESSAGE_CLASS);
            end = Files.size(Platform.journalFile(folder));
            journal.accept(message("c", 100), MESSAGE_CLASS);
        }
        byte[] whole = Files.readAllBytes(Platform.journalFile(folder));
        for (long at = middle; at < end; at++) {
            byte[] damaged = whole.clone();
            damaged[(int) at] ^= 0x55;
            Files.write(Platform.journalFile(folder), damaged, StandardOpenOption.TRUNCATE_EXISTING);
            try (Journal journal = open()) {
                assertTrue(mayHaveRun(openEntry(journal, "a")), "damaged at " + at);
                assertNull(openEntry(journal, "b"));
                assertFalse(mayHaveRun(openEntry(journal, "c")));
            }
            // The start wrote a file of its own and deleted the damaged one; restore the original for the
            // next round.
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.write(folder.resolve("journal.1"), whole);
        }
    }

    /** Encodes a record as {@link Journal} does. */
    private static byte[] record(int type, long number, byte[] rest) {
        byte[] content = java.nio.ByteBuffer.allocate(9 + rest.length).put((byte) type).putLong(number)
            .put(rest).array();
        java.util.zip.CRC32 crc = new java.util.zip.CRC32();
        crc.update(content);
        return java.nio.ByteBuffer.allocate(8 + content.length).putInt(content.length)
            .putInt((int) crc.getValue()).put(content).array();
    }

    /**
     * Records that a later release or a fault has written must prevent neither the start nor the recovery
     * of the other records.
     */
    @Test
    void recordsThatCannotBeDecodedAreSkippedAndTheirMessageMayHaveRun() throws IOException {
        try (Journal journal = open()) {
            journal.accept(message("a", 100), MESSAGE_CLASS);
            journal.accept(message("b", 100), MESSAGE_CLASS);
        }
        Path file = Platform.journalFile(folder);
        // An unknown type, the outcome of an attempt that does not exist, and two messages that end too soon.
        for (byte[] undecodable : List.of(record(77, 1, new byte[3]), record(3, 1, new byte[] {0, 9}),
                record(1, 9, new byte[2]), record(10, 9, new byte[40]))) {
            Files.write(file, undecodable, StandardOpenOption.APPEND);
        }
        try (Journal journal = open()) {
            assertEquals(2, journal.openEntries().size());
            assertTrue(mayHaveRun(openEntry(journal, "a")));
            assertFalse(mayHaveRun(openEntry(journal, "b")));
        }
    }

    @Test
    void foreignFilesInTheStateFolderDoNotPreventTheStart() throws IOException {
        Files.createDirectories(folder.resolve("journal.7"));
        Files.createDirectories(folder.resolve("relay.9"));
        Files.write(folder.resolve("journal.3"), new byte[4_096]);
        Files.write(folder.resolve("leaving.3"), new byte[] {(byte) 0xc3, (byte) 0x28});
        try (Journal journal = open()) {
            assertEquals(0, journal.openEntries().size());
            assertNotNull(journal.accept(message("a", 100), MESSAGE_CLASS));
        }
        try (Journal journal = open()) {
            assertEquals("a", onlyOpenEntry(journal).message.id());
        }
    }

    /**
     * Bodies of 64 KiB times the cap on open messages would exceed the disk limit, so each reserves its
     * space.
     */
    @Test
    void acceptedMessagesReserveSpaceAndTheLimitIsNeverExceeded() throws IOException {
        try (Journal journal = open()) {
            int accepted = 0;
            while (journal.accept(message("m" + accepted, 64 * 1024), MESSAGE_CLASS) != null) {
                accepted++;
            }
            assertTrue(accepted > 10, "only " + accepted + " were accepted");
            for (int round = 0; round < 200; round++) {
                for (Journal.Entry entry : journal.openEntries()) {
                    if (entry.attempts.size() < 12) {
                        journal.recordSent(entry, round, 0);
                        journal.recordNotRun(entry, entry.attempts.size() - 1);
                    }
                }
                Journal.Entry oldest = journal.openEntries().iterator().next();
                journal.recordEnd(oldest, new Journal.End(false, 0));
                journal.recordClosed(oldest);
                assertNotNull(journal.accept(message("n" + round, 64 * 1024), MESSAGE_CLASS),
                    "a closed message frees its space");
                assertTrue(bytesOnDisk() <= LIMIT_BYTES, bytesOnDisk() + " bytes on disk");
            }
        }
    }

    /** Open messages must survive an upgrade: the previous release wrote one file without a number. */
    @Test
    void anUnnumberedJournalOfThePreviousReleaseIsAdopted() throws IOException {
        try (Journal journal = open()) {
            journal.recordSent(journal.accept(message("a", 100), null), 1_000, 0);
        }
        Files.move(Platform.journalFile(folder), folder.resolve("journal"));
        Files.writeString(folder.resolve("journal.new"), "cut off");
        try (Journal journal = open()) {
            assertEquals(1, onlyOpenEntry(journal).attempts.size());
            assertFalse(Files.exists(folder.resolve("journal")));
            assertFalse(Files.exists(folder.resolve("journal.new")));
        }
    }

    /**
     * Messages that a live process has not passed on must have only one owner: they and its file stay
     * untouched.
     */
    @Test
    void onlyPassedOnMessagesAreAdoptedFromALiveProcess() throws IOException {
        Journal old = open();
        try (Journal next = new Journal(folder, LIMIT_BYTES, new ProcessClock(STOPPED_CLOCK),
                FileOperations.SYSTEM)) {
            Journal.Entry inFlight = old.accept(message("out", 10), MESSAGE_CLASS);
            Journal.Entry waiting = old.accept(message("waits", 10), MESSAGE_CLASS);
            assertTrue(next.isPredecessorServing());
            assertTrue(old.hasStandby());
            old.beginHandover();
            old.passOn(waiting);
            old.publishSnapshot("{}");
            assertFalse(old.isTakenOver());
            assertFalse(next.isPredecessorServing());
            assertEquals(new Journal.InheritedSnapshot("{}", 0), next.predecessorSnapshot());
            next.adopt(entry -> { });
            next.confirmTakeover();
            assertTrue(old.isTakenOver());
            assertEquals("waits", onlyOpenEntry(next).message.id());
            assertEquals(java.util.Map.of(7L, 1), next.inFlightElsewhere());
            old.waits("s-1", 5_000);
            old.passOn(inFlight);
            next.adopt(entry -> { });
            assertEquals(2, next.openEntries().size());
            assertEquals(java.util.Map.of("s-1", 5_000L), next.waits());
            assertEquals(java.util.Map.of(), next.inFlightElsewhere());
            assertTrue(next.hasPredecessors());
            old.close();
            next.adopt(entry -> { });
            assertFalse(next.hasPredecessors());
            assertEquals(2, next.openEntries().size());
        }
    }

    /**
     * A message must not be processed twice: a process that starts after both were killed finds each
     * message once.
     */
    @Test
    void adoptedMessagesAreNotAdoptedAgainAfterTheAdoptingProcessWasKilled() throws IOException {
        Journal old = open();
        Journal.Entry first = old.accept(message("first", 10), MESSAGE_CLASS);
        old.accept(message("second", 10), MESSAGE_CLASS);
        Journal next = new Journal(folder, LIMIT_BYTES, new ProcessClock(STOPPED_CLOCK),
            FileOperations.SYSTEM);
        old.beginHandover();
        old.passOn(first);
        old.publishSnapshot("{}");
        next.adopt(entry -> { });
        next.recordClosed(onlyOpenEntry(next));
        // Rewrites the file, which must still record what was adopted.
        next.beginHandover();
        next.close();
        try (Journal third = open()) {
            assertEquals(List.of(), List.copyOf(third.openEntries()),
                "the first is closed, the second is still in flight");
            old.close();
            third.adopt(entry -> { });
            assertEquals("second", onlyOpenEntry(third).message.id());
        }
        try (Journal fourth = open()) {
            assertEquals("second", onlyOpenEntry(fourth).message.id());
        }
    }

    /** A process must not pass messages on to a successor that has died. */
    @Test
    void aLaterProcessThatHasEndedIsNoStandby() throws IOException {
        try (Journal old = open()) {
            new Journal(folder, LIMIT_BYTES, new ProcessClock(STOPPED_CLOCK), FileOperations.SYSTEM).close();
            assertFalse(old.hasStandby());
        }
    }

    /** Opens a journal on these files and adopts nothing. */
    private Journal open(FileOperations files) throws IOException {
        return new Journal(folder, LIMIT_BYTES, new ProcessClock(STOPPED_CLOCK), files);
    }

    /**
     * A partial record between two messages must not make either of them count as possibly processed, or
     * an unsafe message would fail needlessly.
     */
    @Test
    void anAdoptionThatFailsHalfwayLeavesNoGapInTheFile() throws IOException {
        try (Journal before = open()) {
            before.accept(message("a", 10), MESSAGE_CLASS);
            before.accept(message("b", 10), MESSAGE_CLASS);
        }
        FailingFiles files = new FailingFiles(null);
        try (Journal journal = open(files)) {
            files.successfulWrites.set(1);
            files.bytesBeforeFailure = 5;
            files.truncateFails = true;
            files.failure = "Input/output error";
            assertThrows(IOException.class, () -> journal.adopt(entry -> { }));
            files.failure = null;
            journal.adopt(entry -> { });
            assertEquals(2, journal.openCount());
        }
        try (Journal journal = open()) {
            assertEquals(List.of("a", "b"), journal.openEntries().stream().map(e -> e.message.id()).toList());
            assertTrue(journal.openEntries().stream().allMatch(e -> e.attempts.isEmpty()),
                "neither was ever sent");
        }
    }

    /** After a rewrite, records belong in the new file even if closing the old one failed. */
    @Test
    void recordsGoToTheNewFileEvenIfTheOldOneCannotBeClosed() throws IOException {
        FailingFiles files = new FailingFiles(null);
        try (Journal journal = open(files)) {
            journal.accept(message("a", 10), MESSAGE_CLASS);
            files.closeFails = true;
            journal.beginHandover();
            files.closeFails = false;
            journal.accept(message("b", 10), MESSAGE_CLASS);
        }
        try (Journal journal = open()) {
            assertEquals(List.of("a", "b"), journal.openEntries().stream().map(e -> e.message.id()).toList());
        }
    }

    /** Attempts that were never made must not use up a message's attempts after a restart. */
    @Test
    void attemptsThatWereNeverMadeAreNotAdopted() throws IOException {
        try (Journal journal = open()) {
            Journal.Entry entry = journal.accept(message("a", 10), MESSAGE_CLASS);
            journal.recordSent(entry, 1_000, 1);
            journal.recordSent(entry, 2_000, 2);
            journal.recordNotMade(entry, 0);
            journal.addUnrecordedAttempt(entry, 3_000, 3);
            journal.recordSent(entry, 4_000, 4);
            journal.recordNotRun(entry, 3);
        }
        // Twice: the file that the first start rewrites must read the same.
        for (int start = 0; start < 2; start++) {
            try (Journal journal = open()) {
                assertEquals(List.of(2, 4),
                    onlyOpenEntry(journal).attempts.stream().map(a -> a.zone).toList());
                assertEquals(List.of(true, false),
                    onlyOpenEntry(journal).attempts.stream().map(a -> a.mayHaveRun).toList());
            }
        }
    }

    private static Journal.EndpointHealth health(String host, Relay.Health health) {
        return new Journal.EndpointHealth(host, health, STOPPED_CLOCK.wallMillis() - 1_000, 0.5);
    }

    @Test
    void endpointHealthSurvivesRestartsUntilItIsGood() throws IOException {
        try (Journal journal = open()) {
            journal.endpointHealth(health("s-out", Relay.Health.OUT));
            journal.endpointHealth(health("s-back", Relay.Health.OUT));
            journal.endpointHealth(health("s-back", Relay.Health.RETURNING));
            journal.endpointHealth(health("s-well", Relay.Health.OUT));
            journal.endpointHealth(health("s-well", Relay.Health.GOOD));
        }
        List<Journal.EndpointHealth> left = List.of(health("s-out", Relay.Health.OUT),
            health("s-back", Relay.Health.RETURNING));
        for (int start = 0; start < 3; start++) {
            try (Journal journal = open()) {
                assertEquals(left, journal.takeInheritedHealth());
                assertEquals(List.of(), journal.takeInheritedHealth(), "returned once");
            }
        }
        try (Journal journal = open()) {
            journal.endpointHealth(health("s-out", Relay.Health.GOOD));
            journal.repair();
        }
        try (Journal journal = open()) {
            assertEquals(left.subList(1, 2), journal.takeInheritedHealth());
        }
    }

    @Test
    void anUnfinishedHealthRecordLeavesThePreviousOneInForce() throws IOException {
        try (Journal journal = open()) {
            journal.endpointHealth(health("s-1", Relay.Health.OUT));
            journal.endpointHealth(health("s-1", Relay.Health.RETURNING));
        }
        Path file = Platform.journalFile(folder);
        try (var channel = java.nio.channels.FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(channel.size() - 3);
        }
        try (Journal journal = open()) {
            assertEquals(List.of(health("s-1", Relay.Health.OUT)), journal.takeInheritedHealth());
        }
    }

    @Test
    void healthWhoseWriteFailedIsWrittenByTheRepair() throws IOException {
        Journal before = open();
        before.close();
        assertThrows(IOException.class, () -> before.endpointHealth(health("s-1", Relay.Health.OUT)));
        before.repair();
        before.close();
        try (Journal journal = open()) {
            assertEquals(List.of(health("s-1", Relay.Health.OUT)), journal.takeInheritedHealth());
        }
    }

    @Test
    void healthOfManyEndpointsLeavesSpaceForMessages() throws IOException {
        try (Journal journal = open()) {
            for (int host = 0; host < 100_000; host++) {
                journal.endpointHealth(health("s-" + host, Relay.Health.OUT));
            }
            assertTrue(journal.endpointHealthCount() > 3_200, "recorded: " + journal.endpointHealthCount());
            int accepted = 0;
            while (journal.accept(message("m" + accepted, 1_000), MESSAGE_CLASS) != null) {
                accepted++;
            }
            assertTrue(accepted > 500, "accepted: " + accepted);
            assertTrue(bytesOnDisk() <= LIMIT_BYTES);
        }
    }
}
