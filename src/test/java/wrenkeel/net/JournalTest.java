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

/** What is owed outlasts the process, within the limit of the folder. */
class JournalTest {
    private static final long LIMIT = 3_000_000;

    @TempDir
    Path folder;

    /** So that times that pass from process to process can be compared to the millisecond. */
    private static final MachineClock STILL = new MachineClock() {
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

    private static final Relay.MessageClass RULES = new Relay.MessageClass("bill-post", 2_000_000, 16_000_000, 1.5,
        0.25, Relay.Effect.KEYED, true, 3_000_000, true, 12);

    private Journal open() throws IOException {
        Journal journal = new Journal(folder, LIMIT, new ProcessClock(STILL), FileOperations.SYSTEM);
        journal.adopt(entry -> { });
        return journal;
    }

    private static Message message(String id, int bytes) {
        return new Message(id, "bill-post", 0, "house-3", "key-" + id, 7, 1_900_000_000_000L, new byte[bytes]);
    }

    private static Journal.Entry only(Journal journal) {
        assertEquals(1, journal.owed().size());
        return journal.owed().iterator().next();
    }

    private long onDisk() throws IOException {
        try (var files = Files.list(folder)) {
            return files.mapToLong(f -> (f.toFile().length() + 511) / 512 * 512).sum();
        }
    }

    @Test
    void allThatIsKnownOfAMessageIsReadBack() throws IOException {
        try (Journal journal = open()) {
            Journal.Entry entry = journal.take(message("a", 300), RULES);
            journal.sent(entry, 1_000, 2);
            journal.sent(entry, 2_000, 1);
            journal.notRun(entry, 0);
            journal.ended(entry, new Journal.End(true, 500_000));
        }
        // Twice: what the first start wrote anew must read the same.
        for (int start = 0; start < 2; start++) {
            try (Journal journal = open()) {
                Journal.Entry entry = only(journal);
                assertEquals("a", entry.message.id());
                assertEquals("bill-post", entry.message.messageClass());
                assertEquals(RULES, entry.rules);
                assertEquals("house-3", entry.message.routeKey());
                assertEquals("key-a", entry.message.idempotencyKey());
                assertEquals(7, entry.message.destination());
                assertEquals(1_900_000_000_000L, entry.message.deadline());
                assertArrayEquals(new byte[300], entry.message.body());
                assertEquals(List.of(1_000L, 2_000L), entry.attempts.stream().map(a -> a.sent).toList());
                assertEquals(List.of(2, 1), entry.attempts.stream().map(a -> a.zone).toList());
                assertEquals(List.of(false, true), entry.attempts.stream().map(a -> a.mayHaveRun).toList());
                assertEquals(new Journal.End(true, 500_000), entry.end);
            }
        }
    }

    /** Guards the form of notices: a time to come back only with what is handed back, in whole milliseconds. */
    @Test
    void anEndReadBackIsTheNoticeThatWasOwed() throws IOException {
        try (Journal journal = open()) {
            journal.ended(journal.take(message("a", 1), RULES), new Journal.End(true, 499_001));
            journal.ended(journal.take(message("b", 1), RULES), new Journal.End(true, 0));
            journal.ended(journal.take(message("c", 1), RULES), new Journal.End(false, 0));
        }
        try (Journal journal = open()) {
            assertEquals("""
                {"message":"a","outcome":"handed_back","retry_in_ms":500}
                {"message":"b","outcome":"handed_back"}
                {"message":"c","outcome":"given_up"}
                """, NoticeBody.encode(List.copyOf(journal.owed())));
        }
    }

    @Test
    void whatIsClosedIsForgotten() throws IOException {
        try (Journal journal = open()) {
            journal.closed(journal.take(message("a", 10), RULES));
            journal.take(message("b", 10), RULES);
        }
        try (Journal journal = open()) {
            assertEquals("b", only(journal).message.id());
        }
    }

    /** Guards against a kill in the middle of a write: the records before it count, new ones follow them. */
    @Test
    void aTornTailIsCutOff() throws IOException {
        try (Journal journal = open()) {
            journal.take(message("a", 100), RULES);
        }
        long whole;
        try (Journal journal = open()) {
            whole = Files.size(Platform.journal(folder));
            journal.take(message("b", 100), RULES);
        }
        byte[] both = Files.readAllBytes(Platform.journal(folder));
        for (int length = (int) whole; length < both.length; length++) {
            Files.write(Platform.journal(folder), java.util.Arrays.copyOf(both, length));
            try (Journal journal = open()) {
                assertEquals("a", only(journal).message.id());
                journal.take(message("c", 100), RULES);
            }
            try (Journal journal = open()) {
                assertEquals(2, journal.owed().size());
                assertTrue(onDisk() <= LIMIT);
            }
        }
    }

    /** Guards the numbers of attempts: one whose record failed never ran, and what follows is not taken for it. */
    @Test
    void aFailedWriteIsMadeGoodByTheNext() throws IOException {
        Journal before = open();
        Journal.Entry entry = before.take(message("a", 10), RULES);
        before.close();
        assertThrows(IOException.class, () -> before.sent(entry, 1_000, 0));
        before.sent(entry, 2_000, 1);
        before.close();
        try (Journal journal = open()) {
            assertEquals(List.of(false, true), only(journal).attempts.stream().map(a -> a.mayHaveRun).toList());
        }
    }

    private Journal.Entry owed(Journal journal, String id) {
        return journal.owed().stream().filter(entry -> entry.message.id().equals(id)).findFirst().orElse(null);
    }

    private static boolean mayHaveRun(Journal.Entry entry) {
        return entry.attempts.stream().anyMatch(attempt -> attempt.mayHaveRun);
    }

    /**
     * Guards what a damaged file still holds, and against a second run: a record that is lost may have been a send of
     * any message before it.
     */
    @Test
    void aRecordThatDoesNotCheckIsPassedOverAndWhatStandsBeforeItMayHaveRun() throws IOException {
        long middle;
        long end;
        try (Journal journal = open()) {
            journal.take(message("a", 100), RULES);
            middle = Files.size(Platform.journal(folder));
            journal.take(message("b", 100), RULES);
            end = Files.size(Platform.journal(folder));
            journal.take(message("c", 100), RULES);
        }
        byte[] whole = Files.readAllBytes(Platform.journal(folder));
        for (long at = middle; at < end; at++) {
            byte[] damaged = whole.clone();
            damaged[(int) at] ^= 0x55;
            Files.write(Platform.journal(folder), damaged, StandardOpenOption.TRUNCATE_EXISTING);
            try (Journal journal = open()) {
                assertTrue(mayHaveRun(owed(journal, "a")), "damaged at " + at);
                assertNull(owed(journal, "b"));
                assertFalse(mayHaveRun(owed(journal, "c")));
            }
            // The start has written a file of its own; the next one is to find the damaged one again.
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.write(folder.resolve("journal.1"), whole);
        }
    }

    private static byte[] record(int sort, long number, byte[] rest) {
        byte[] content = java.nio.ByteBuffer.allocate(9 + rest.length).put((byte) sort).putLong(number).put(rest).array();
        java.util.zip.CRC32 crc = new java.util.zip.CRC32();
        crc.update(content);
        return java.nio.ByteBuffer.allocate(8 + content.length).putInt(content.length).putInt((int) crc.getValue())
            .put(content).array();
    }

    /** Guards the start against what a later release or a fault has written: the rest is taken up. */
    @Test
    void aRecordThatIsNotUnderstoodIsTold() throws IOException {
        try (Journal journal = open()) {
            journal.take(message("a", 100), RULES);
            journal.take(message("b", 100), RULES);
        }
        Path file = Platform.journal(folder);
        // An unknown sort, the outcome of an attempt never made, and messages that end too soon.
        for (byte[] strange : List.of(record(77, 1, new byte[3]), record(3, 1, new byte[] {0, 9}), record(1, 9, new byte[2]),
                record(10, 9, new byte[40]))) {
            Files.write(file, strange, StandardOpenOption.APPEND);
        }
        try (Journal journal = open()) {
            assertEquals(2, journal.owed().size());
            assertTrue(mayHaveRun(owed(journal, "a")));
            assertFalse(mayHaveRun(owed(journal, "b")));
        }
    }

    @Test
    void aFolderThatHoldsSomethingElseDoesNotStopTheStart() throws IOException {
        Files.createDirectories(folder.resolve("journal.7"));
        Files.createDirectories(folder.resolve("relay.9"));
        Files.write(folder.resolve("journal.3"), new byte[4_096]);
        Files.write(folder.resolve("leaving.3"), new byte[] {(byte) 0xc3, (byte) 0x28});
        try (Journal journal = open()) {
            assertEquals(0, journal.owed().size());
            assertNotNull(journal.take(message("a", 100), RULES));
        }
        try (Journal journal = open()) {
            assertEquals("a", only(journal).message.id());
        }
    }

    /** Guards the limit on disk: bodies of 64 KiB times the open cap would exceed it, so room is reserved. */
    @Test
    void roomIsReservedAndNeverOverrun() throws IOException {
        try (Journal journal = open()) {
            int taken = 0;
            while (journal.take(message("m" + taken, 64 * 1024), RULES) != null) {
                taken++;
            }
            assertTrue(taken > 10, "only " + taken + " were taken");
            for (int round = 0; round < 200; round++) {
                for (Journal.Entry entry : journal.owed()) {
                    if (entry.attempts.size() < 12) {
                        journal.sent(entry, round, 0);
                        journal.notRun(entry, entry.attempts.size() - 1);
                    }
                }
                Journal.Entry oldest = journal.owed().iterator().next();
                journal.ended(oldest, new Journal.End(false, 0));
                journal.closed(oldest);
                assertNotNull(journal.take(message("n" + round, 64 * 1024), RULES), "a closed message frees its room");
                assertTrue(onDisk() <= LIMIT, onDisk() + " bytes on disk");
            }
        }
    }

    /** Guards what is owed at an upgrade: the release before wrote one file without a number. */
    @Test
    void aJournalOfTheReleaseBeforeIsTakenOver() throws IOException {
        try (Journal journal = open()) {
            journal.sent(journal.take(message("a", 100), null), 1_000, 0);
        }
        Files.move(Platform.journal(folder), folder.resolve("journal"));
        Files.writeString(folder.resolve("journal.new"), "cut off");
        try (Journal journal = open()) {
            assertEquals(1, only(journal).attempts.size());
            assertFalse(Files.exists(folder.resolve("journal")));
            assertFalse(Files.exists(folder.resolve("journal.new")));
        }
    }

    /** Guards the one owner: what a living process has not passed on is not touched, nor is its file. */
    @Test
    void onlyWhatIsPassedOnIsTakenOverFromAProcessThatLives() throws IOException {
        Journal old = open();
        try (Journal next = new Journal(folder, LIMIT, new ProcessClock(STILL), FileOperations.SYSTEM)) {
            Journal.Entry out = old.take(message("out", 10), RULES);
            Journal.Entry waits = old.take(message("waits", 10), RULES);
            assertTrue(next.earlierServes());
            assertTrue(old.laterWaits());
            old.beginPassing();
            old.passed(waits);
            old.leave("{}");
            assertFalse(old.laterServes());
            assertFalse(next.earlierServes());
            assertEquals(new Journal.Left("{}", 0), next.knowledge());
            next.adopt(entry -> { });
            next.takenOver();
            assertTrue(old.laterServes());
            assertEquals("waits", only(next).message.id());
            assertEquals(java.util.Map.of(7L, 1), next.outElsewhere());
            old.waits("s-1", 5_000);
            old.passed(out);
            next.adopt(entry -> { });
            assertEquals(2, next.owed().size());
            assertEquals(java.util.Map.of("s-1", 5_000L), next.waits());
            assertEquals(java.util.Map.of(), next.outElsewhere());
            assertTrue(next.hasLegacies());
            old.close();
            next.adopt(entry -> { });
            assertFalse(next.hasLegacies());
            assertEquals(2, next.owed().size());
        }
    }

    /** Guards against a second run: whoever starts after both were killed finds each message once. */
    @Test
    void whatWasTakenOverIsNotTakenOverAgainAfterTheTakerWasKilled() throws IOException {
        Journal old = open();
        Journal.Entry first = old.take(message("first", 10), RULES);
        old.take(message("second", 10), RULES);
        Journal next = new Journal(folder, LIMIT, new ProcessClock(STILL), FileOperations.SYSTEM);
        old.beginPassing();
        old.passed(first);
        old.leave("{}");
        next.adopt(entry -> { });
        next.closed(only(next));
        // The taker writes its file anew, and must still know what it had taken over.
        next.beginPassing();
        next.close();
        try (Journal third = open()) {
            assertEquals(List.of(), List.copyOf(third.owed()), "the first is done, the second is still out");
            old.close();
            third.adopt(entry -> { });
            assertEquals("second", only(third).message.id());
        }
        try (Journal fourth = open()) {
            assertEquals("second", only(fourth).message.id());
        }
    }

    /** Guards the old process: one that was to follow it and is dead has nothing to be passed. */
    @Test
    void aLaterProcessThatHasEndedDoesNotWait() throws IOException {
        try (Journal old = open()) {
            new Journal(folder, LIMIT, new ProcessClock(STILL), FileOperations.SYSTEM).close();
            assertFalse(old.laterWaits());
        }
    }

    private Journal open(FileOperations files) throws IOException {
        return new Journal(folder, LIMIT, new ProcessClock(STILL), files);
    }

    /** Guards against a needless end: a record half written between two others puts neither in doubt. */
    @Test
    void anAdoptionThatFailsHalfWayLeavesNoGap() throws IOException {
        try (Journal before = open()) {
            before.take(message("a", 10), RULES);
            before.take(message("b", 10), RULES);
        }
        FailingFiles files = new FailingFiles(null);
        try (Journal journal = open(files)) {
            files.goodWrites.set(1);
            files.bytesBeforeFailure = 5;
            files.truncateFails = true;
            files.failure = "Input/output error";
            assertThrows(IOException.class, () -> journal.adopt(entry -> { }));
            files.failure = null;
            journal.adopt(entry -> { });
            assertEquals(2, journal.size());
        }
        try (Journal journal = open()) {
            assertEquals(List.of("a", "b"), journal.owed().stream().map(e -> e.message.id()).toList());
            assertTrue(journal.owed().stream().allMatch(e -> e.attempts.isEmpty()), "neither was ever sent");
        }
    }

    /** Guards what comes after a compaction: it belongs into the new file, whatever became of the old one. */
    @Test
    void anOldFileThatCannotBeClosedIsLeftAllTheSame() throws IOException {
        FailingFiles files = new FailingFiles(null);
        try (Journal journal = open(files)) {
            journal.take(message("a", 10), RULES);
            files.closeFails = true;
            journal.beginPassing();
            files.closeFails = false;
            journal.take(message("b", 10), RULES);
        }
        try (Journal journal = open()) {
            assertEquals(List.of("a", "b"), journal.owed().stream().map(e -> e.message.id()).toList());
        }
    }

    /** Guards a message's attempts across a restart: what was never made is none of them. */
    @Test
    void anAttemptThatWasNeverMadeIsNotTakenOver() throws IOException {
        try (Journal journal = open()) {
            Journal.Entry entry = journal.take(message("a", 10), RULES);
            journal.sent(entry, 1_000, 1);
            journal.sent(entry, 2_000, 2);
            journal.unmade(entry, 0);
            journal.notMade(entry, 3_000, 3);
            journal.sent(entry, 4_000, 4);
            journal.notRun(entry, 3);
        }
        // Twice: what the first start wrote anew must read the same.
        for (int start = 0; start < 2; start++) {
            try (Journal journal = open()) {
                assertEquals(List.of(2, 4), only(journal).attempts.stream().map(a -> a.zone).toList());
                assertEquals(List.of(true, false), only(journal).attempts.stream().map(a -> a.mayHaveRun).toList());
            }
        }
    }

    private static Journal.EndpointHealth health(String host, Relay.Health health) {
        return new Journal.EndpointHealth(host, health, STILL.wallMillis() - 1_000, 0.5);
    }

    @Test
    void whatIsKnownOfEndpointsOutlivesEveryKillUntilTheyAreWell() throws IOException {
        try (Journal journal = open()) {
            journal.health(health("s-out", Relay.Health.OUT));
            journal.health(health("s-back", Relay.Health.OUT));
            journal.health(health("s-back", Relay.Health.RETURNING));
            journal.health(health("s-well", Relay.Health.OUT));
            journal.health(health("s-well", Relay.Health.GOOD));
        }
        List<Journal.EndpointHealth> left = List.of(health("s-out", Relay.Health.OUT),
            health("s-back", Relay.Health.RETURNING));
        for (int start = 0; start < 3; start++) {
            try (Journal journal = open()) {
                assertEquals(left, journal.inheritedHealth());
                assertEquals(List.of(), journal.inheritedHealth(), "told once");
            }
        }
        try (Journal journal = open()) {
            journal.health(health("s-out", Relay.Health.GOOD));
            journal.repair();
        }
        try (Journal journal = open()) {
            assertEquals(left.subList(1, 2), journal.inheritedHealth());
        }
    }

    @Test
    void aHealthRecordThatIsHalfWrittenLeavesTheOneBefore() throws IOException {
        try (Journal journal = open()) {
            journal.health(health("s-1", Relay.Health.OUT));
            journal.health(health("s-1", Relay.Health.RETURNING));
        }
        Path file = Platform.journal(folder);
        try (var channel = java.nio.channels.FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(channel.size() - 3);
        }
        try (Journal journal = open()) {
            assertEquals(List.of(health("s-1", Relay.Health.OUT)), journal.inheritedHealth());
        }
    }

    @Test
    void healthThatCannotBeWrittenIsMadeGoodByTheNextWrite() throws IOException {
        Journal before = open();
        before.close();
        assertThrows(IOException.class, () -> before.health(health("s-1", Relay.Health.OUT)));
        before.repair();
        before.close();
        try (Journal journal = open()) {
            assertEquals(List.of(health("s-1", Relay.Health.OUT)), journal.inheritedHealth());
        }
    }

    @Test
    void healthOfManyEndpointsLeavesRoomForMessages() throws IOException {
        try (Journal journal = open()) {
            for (int host = 0; host < 100_000; host++) {
                journal.health(health("s-" + host, Relay.Health.OUT));
            }
            assertTrue(journal.healthSize() > 3_200, "held: " + journal.healthSize());
            int taken = 0;
            while (journal.take(message("m" + taken, 1_000), RULES) != null) {
                taken++;
            }
            assertTrue(taken > 500, "taken: " + taken);
            assertTrue(onDisk() <= LIMIT);
        }
    }
}
