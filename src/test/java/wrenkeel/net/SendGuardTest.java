package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenkeel.Relay;

/** The guard reports each attempt that would break a rule, whatever the decision module has decided. */
class SendGuardTest {
    /** The time of the first attempt by the journal's clock, in ms. */
    private static final long NOW_MS = 1_800_000_000_000L;
    /** The same time by the clock of the waits, in microseconds. */
    private static final long NOW_US = 50_000_000;
    private static final long SECOND_US = 1_000_000;

    @TempDir
    Path folder;
    private Journal journal;
    private final SendGuard guard = new SendGuard();
    /** Two hosts of one destination, in different zones. */
    private final HostList.Host host = host(1, 0), sibling = host(2, 1);

    private static HostList.Host host(long number, int zone) {
        HostList.Host host = new HostList.Host(number, "s-" + number);
        host.destination = 7;
        host.zone = zone;
        return host;
    }

    @BeforeEach
    void setUp() throws IOException {
        journal = new Journal(folder, 3_000_000);
    }

    @AfterEach
    void tearDown() throws IOException {
        journal.close();
    }

    private static Relay.MessageClass messageClass(Relay.Effect effect, boolean zoneGroup) {
        return new Relay.MessageClass("c", 2_000_000, 16_000_000, 1, 0, effect, zoneGroup, 3 * SECOND_US,
            false, 12);
    }

    private Journal.Entry entry(Relay.MessageClass messageClass) throws IOException {
        return journal.accept(new Message("a", "c", 0, null, "key", 7, NOW_MS + 10_000, new byte[3]),
            messageClass);
    }

    /** Checks an attempt this many ms after {@link #NOW_MS}. */
    private Violation check(Journal.Entry entry, Relay.MessageClass messageClass, HostList.Host target,
                            long laterMillis) {
        return guard.findViolation(entry, messageClass, target, false, NOW_MS + laterMillis,
            NOW_US + laterMillis * 1_000);
    }

    @Test
    void nothingIsSentAfterTheDeadline() throws IOException {
        Relay.MessageClass safe = messageClass(Relay.Effect.SAFE, false);
        Journal.Entry entry = entry(safe);
        assertNull(check(entry, safe, host, 10_000));
        assertEquals(Violation.SENT_AFTER_DEADLINE, check(entry, safe, host, 10_001));
    }

    @Test
    void anUnsafeMessageIsRepeatedOnlyIfItNeverRan() throws IOException {
        Relay.MessageClass unsafe = messageClass(Relay.Effect.UNSAFE, false);
        Journal.Entry entry = entry(unsafe);
        journal.recordSent(entry, NOW_MS, 0);
        assertEquals(Violation.REPEATED_OUTSIDE_ALLOWANCE, check(entry, unsafe, host, 1));
        journal.recordNotRun(entry, 0);
        assertNull(check(entry, unsafe, host, 1));
    }

    @Test
    void aKeyedMessageIsRepeatedOnlyInItsWindowAndZone() throws IOException {
        Relay.MessageClass keyed = messageClass(Relay.Effect.KEYED, true);
        Journal.Entry entry = entry(keyed);
        journal.recordSent(entry, NOW_MS, 0);
        assertNull(check(entry, keyed, host, 2_900));
        assertEquals(Violation.REPEATED_OUTSIDE_ALLOWANCE, check(entry, keyed, sibling, 2_900));
        assertEquals(Violation.REPEATED_OUTSIDE_ALLOWANCE, check(entry, keyed, host, 3_100));
    }

    @Test
    void aWaitAppliesToTheWholeDestinationUntilItEnds() throws IOException {
        Relay.MessageClass safe = messageClass(Relay.Effect.SAFE, false);
        Journal.Entry entry = entry(safe);
        guard.recordWait(host, false, NOW_US, SECOND_US);
        assertNull(check(entry, safe, sibling, 50),
            "an attempt may have been decided before the wait was received");
        assertTrue(guard.mustWait(sibling, false, NOW_US + 1), "such an attempt must still be held back");
        assertFalse(guard.mustWait(sibling, false, NOW_US + SECOND_US));
        assertEquals(Violation.SENT_WITHIN_WAIT, check(entry, safe, sibling, 500));
        guard.recordWait(host, false, NOW_US, SECOND_US / 10);
        assertEquals(Violation.SENT_WITHIN_WAIT, check(entry, safe, host, 500),
            "the wait that ends later applies");
        assertNull(check(entry, safe, host, 1_000));
    }
}
