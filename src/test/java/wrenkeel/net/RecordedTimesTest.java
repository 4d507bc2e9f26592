package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;
import wrenkeel.Relay;

/**
 * Conversion of an earlier process's times to this process's clock, with steps of the wall clock in
 * between.
 */
class RecordedTimesTest {
    private static final long SECOND_MS = 1_000, HOUR_MS = 3_600 * SECOND_MS, NOW_MS = 1_800_000_000_000L;
    private static final Relay.MessageClass MESSAGE_CLASS = new Relay.MessageClass("bill", 2_000_000,
        16_000_000, 1, 0, Relay.Effect.KEYED, false, 3_000_000, false, 12);

    /** A machine whose clocks are stopped. */
    private record StoppedClock(long wallMillis, long monotonicNanos, String bootId)
        implements MachineClock { }

    private static ProcessClock clock(long wallMillis, long upSeconds, String boot) {
        return new ProcessClock(new StoppedClock(wallMillis, upSeconds * 1_000_000_000, boot));
    }

    /** The earlier process recorded its clocks at {@link #NOW_MS}, 100 s after the boot. */
    private static final ProcessClock.Reading WRITTEN = clock(NOW_MS, 100, "one").reading();

    @Test
    void withinOneBootTheMonotonicClockMeasuresTheElapsedTime() {
        for (long step : new long[] {-HOUR_MS, 0, HOUR_MS}) {
            ProcessClock now = clock(NOW_MS + 3 * SECOND_MS + step, 103, "one");
            RecordedTimes times = RecordedTimes.of(now, WRITTEN, NOW_MS);
            assertEquals(now.millis() + 5 * SECOND_MS, times.deadline(NOW_MS + 8 * SECOND_MS, MESSAGE_CLASS));
            assertEquals(now.millis() - 4 * SECOND_MS, times.sendTime(NOW_MS - SECOND_MS));
            assertEquals(now.millis() + 2 * SECOND_MS, times.waitUntil(NOW_MS + 5 * SECOND_MS));
        }
    }

    @Test
    void afterAnotherBootTheWallClockIsUsed() {
        RecordedTimes times = RecordedTimes.of(clock(NOW_MS + 3 * SECOND_MS, 2, "two"), WRITTEN, NOW_MS);
        assertEquals(NOW_MS + 8 * SECOND_MS, times.deadline(NOW_MS + 8 * SECOND_MS, MESSAGE_CLASS));
        assertEquals(NOW_MS - SECOND_MS, times.sendTime(NOW_MS - SECOND_MS));
    }

    /** A monotonic clock that has gone back belongs to another boot, even if the boot's id is the same. */
    @Test
    void aMonotonicClockThatWentBackIsNotUsed() {
        RecordedTimes times = RecordedTimes.of(clock(NOW_MS + 3 * SECOND_MS, 2, "one"), WRITTEN, NOW_MS);
        assertEquals(NOW_MS + 8 * SECOND_MS, times.deadline(NOW_MS + 8 * SECOND_MS, MESSAGE_CLASS));
    }

    /**
     * Guards against a message that stays open an hour too long, and against a repeat after the deduplication
     * window.
     */
    @Test
    void aWallClockThatWentBackExtendsNoDeadlineAndAllowsNoRepeat() {
        ProcessClock now = clock(NOW_MS - HOUR_MS, 2, "two");
        RecordedTimes times = RecordedTimes.of(now, WRITTEN, NOW_MS);
        assertEquals(now.millis() + 8 * SECOND_MS, times.deadline(NOW_MS + 8 * SECOND_MS, MESSAGE_CLASS));
        assertTrue(times.sendTime(NOW_MS - SECOND_MS) < now.millis() - HOUR_MS);
    }

    /**
     * A journal of the previous release has no clock reading: its messages live no longer than their
     * class allows.
     */
    @Test
    void withoutAClockReadingNoMessageOutlivesItsClass() {
        ProcessClock now = clock(NOW_MS - HOUR_MS, 2, "two");
        assertEquals(now.millis() + 16 * SECOND_MS,
            RecordedTimes.of(now, null, 0).deadline(NOW_MS, MESSAGE_CLASS));
        RecordedTimes ahead = RecordedTimes.of(clock(NOW_MS, 2, "two"), null, NOW_MS - SECOND_MS);
        assertEquals(NOW_MS + SECOND_MS, ahead.deadline(NOW_MS + SECOND_MS, MESSAGE_CLASS));
    }
}
