package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenkeel.Relay;

/** What is kept of messages that are over: for how long, how many, and across processes. */
class CompletedMessagesTest {
    private static final long LIMIT_BYTES = 3_000_000;
    private static final Relay.MessageClass MESSAGE_CLASS = new Relay.MessageClass("pay", 2_000_000,
        16_000_000, 1.5, 0.25, Relay.Effect.UNSAFE, false, 0, false, 8);

    @TempDir
    Path folder;
    private final AtomicLong wallMillis = new AtomicLong(1_000_000);
    private final MachineClock machine = new MachineClock() {
        @Override
        public long wallMillis() {
            return wallMillis.get();
        }

        @Override
        public long monotonicNanos() {
            return wallMillis.get() * 1_000_000;
        }

        @Override
        public String bootId() {
            return "boot";
        }
    };

    private Journal open() throws IOException {
        Journal journal = new Journal(folder, LIMIT_BYTES, new ProcessClock(machine), FileOperations.SYSTEM);
        journal.adopt(entry -> { });
        return journal;
    }

    private Journal.Entry acceptAndSend(Journal journal, String id) throws IOException {
        Journal.Entry entry = journal.accept(
            new Message(id, "pay", 0, null, null, 7, wallMillis.get() + 1_000, new byte[10]), MESSAGE_CLASS);
        journal.recordSent(entry, wallMillis.get(), 0);
        return entry;
    }

    private static Boolean isDelivered(Journal journal, String id) throws IOException {
        CompletedMessages.Completion completion = journal.completion(id);
        return completion == null ? null : completion.delivered();
    }

    /** Guards the memory: a message is forgotten some time after its end, in later processes too. */
    @Test
    void aCompletionIsKeptForItsTimeAcrossProcesses() throws IOException {
        try (Journal journal = open()) {
            journal.recordDelivered(acceptAndSend(journal, "delivered"));
            journal.recordClosed(acceptAndSend(journal, "withdrawn"));
            Journal.Entry refused = acceptAndSend(journal, "refused");
            journal.recordNotRun(refused, 0);
            journal.recordClosed(refused);
        }
        for (long passed = 0; passed <= CompletedMessages.MIN_RETENTION_MS; passed += 15_000) {
            try (Journal journal = open()) {
                boolean kept = passed < CompletedMessages.MIN_RETENTION_MS;
                assertEquals(kept ? true : null, isDelivered(journal, "delivered"), passed + " ms");
                assertEquals(kept ? false : null, isDelivered(journal, "withdrawn"), passed + " ms");
                assertNull(isDelivered(journal, "refused"));
            }
            wallMillis.addAndGet(15_000);
        }
    }

    /** Guards a message that was given up and whose call turned out to have delivered it. */
    @Test
    void aLateDeliveryIsNotForgottenWhenTheNoticeIsAcknowledged() throws IOException {
        try (Journal journal = open()) {
            Journal.Entry entry = acceptAndSend(journal, "late");
            journal.recordEnd(entry, new Journal.End(false, 0));
            assertEquals(false, isDelivered(journal, "late"));
            journal.noteLateDelivery(entry);
            journal.recordClosed(entry);
            assertEquals(true, isDelivered(journal, "late"));
        }
    }

    /** Guards the memory and disk_mb: of very many messages the latest are kept, within the limits. */
    @Test
    void theLatestOfManyCompletionsAreKeptWithinTheLimits() throws IOException {
        int messages = CompletedMessages.MAX_MESSAGES + 1_000;
        try (Journal journal = open()) {
            for (int i = 0; i < messages; i++) {
                journal.recordDelivered(acceptAndSend(journal, "m" + i));
                if (i % 1_000 == 0) {
                    assertFolderWithinLimit();
                }
            }
            assertNull(journal.completion("m999"));
            assertEquals(true, isDelivered(journal, "m1000"));
            // Rewrites the file, which has room for the latest ones only.
            journal.beginHandover();
        }
        for (int start = 0; start < 3; start++) {
            try (Journal journal = open()) {
                assertFolderWithinLimit();
                for (int i = messages - 500; i < messages; i++) {
                    assertEquals(true, isDelivered(journal, "m" + i));
                }
                assertNull(journal.completion("m" + (messages - 5_000)));
                assertNotNull(acceptAndSend(journal, "new" + start));
            }
        }
    }

    private void assertFolderWithinLimit() throws IOException {
        try (var files = Files.list(folder)) {
            long bytes = files.mapToLong(file -> (file.toFile().length() + 511) / 512 * 512).sum();
            assertTrue(bytes <= LIMIT_BYTES, bytes + " bytes");
        }
    }

    /** The next process reads what the one before it has recorded up to now. */
    @Test
    void theNextProcessKnowsWhatTheOneBeforeItHoldsAndHasCompleted() throws IOException {
        try (Journal old = open();
             Journal next =
                 new Journal(folder, LIMIT_BYTES, new ProcessClock(machine), FileOperations.SYSTEM)) {
            old.beginHandover();
            old.publishSnapshot("{}");
            next.adopt(entry -> { });
            Journal.Entry out = acceptAndSend(old, "out");
            assertNull(next.completion("out"));
            assertTrue(next.isOpenElsewhere("out"));
            old.recordDelivered(out);
            assertEquals(true, isDelivered(next, "out"));
            assertFalse(next.isOpenElsewhere("out"));
            // Passed on, and not adopted yet.
            old.passOn(acceptAndSend(old, "passed on"));
            assertNull(next.completion("passed on"));
            assertTrue(next.isOpenElsewhere("passed on"));
            next.adopt(entry -> { });
            assertFalse(next.isOpenElsewhere("passed on"));
            assertEquals(List.of("passed on"),
                next.openEntries().stream().map(entry -> entry.message.id()).toList());
        }
    }

    /** The process that hands over reads the next one's file, which is rewritten meanwhile. */
    @Test
    void theProcessThatHandsOverKnowsWhatTheNextOneHoldsAndHasCompleted() throws IOException {
        try (Journal old = open();
             Journal next =
                 new Journal(folder, LIMIT_BYTES, new ProcessClock(machine), FileOperations.SYSTEM)) {
            Journal.Entry waiting = old.accept(
                new Message("waits", "pay", 0, null, null, 7, wallMillis.get() + 1_000, new byte[10]),
                MESSAGE_CLASS);
            old.beginHandover();
            old.passOn(waiting);
            old.publishSnapshot("{}");
            next.adopt(entry -> { });
            assertNull(old.completion("waits"));
            assertTrue(old.isOpenElsewhere("waits"));
            Journal.Entry adopted = next.openEntries().iterator().next();
            next.recordSent(adopted, wallMillis.get(), 0);
            next.recordDelivered(adopted);
            assertEquals(true, isDelivered(old, "waits"));
            assertFalse(old.isOpenElsewhere("waits"));
            acceptAndSend(next, "new");
            // Rewrites the file.
            next.beginHandover();
            assertNull(old.completion("new"));
            assertTrue(old.isOpenElsewhere("new"));
        }
    }
}
