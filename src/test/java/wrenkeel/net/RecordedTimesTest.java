package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;
import wrenkeel.Relay;

/** Conversion of an earlier process's times to this process's clock, with steps of the wall clock in between. */
class RecordedTimesTest {
    private static final long SECOND = 1_000, HOUR = 3_600 * SECOND, NOW = 1_800_000_000_000L;
    private static final Relay.MessageClass MESSAGE_CLASS = new Relay.MessageClass("bill", 2_000_000, 16_000_000, 1, 0,
        Relay.Effect.KEYED, false, 3_000_000, false, 12);

    /** A machine whose clocks are stopped. */
    private record StoppedClock(long wallMillis, long monotonicNanos, String bootId) implements MachineClock { }

    private static ProcessClock clock(long wallMillis, long upSeconds, String boot) {
        return new ProcessClock(new StoppedClock(wallMillis, upSeconds * 1_000_000_000, boot));
    }

    /** The earlier process recorded its clocks at NOW, 100 s after the boot. */
    private static final ProcessClock.Reading WRITTEN = clock(NOW, 100, "one").reading();

    @Test
    void withinOneBootTheMonotonicClockMeasuresTheElapsedTime() {
        for (long step : new long[] {-HOUR, 0, HOUR}) {
            ProcessClock now = clock(NOW + 3 * SECOND + step, 103, "one");
            RecordedTimes times = RecordedTimes.of(now, WRITTEN, NOW);
            assertEquals(now.millis() + 5 * SECOND, times.deadline(NOW + 8 * SECOND, MESSAGE_CLASS));
            assertEquals(now.millis() - 4 * SECOND, times.sendTime(NOW - SECOND));
            assertEquals(now.millis() + 2 * SECOND, times.waitUntil(NOW + 5 * SECOND));
        }
    }

    @Test
    void afterAnotherBootTheWallClockIsUsed() {
        RecordedTimes times = RecordedTimes.of(clock(NOW + 3 * SECOND, 2, "two"), WRITTEN, NOW);
        assertEquals(NOW + 8 * SECOND, times.deadline(NOW + 8 * SECOND, MESSAGE_CLASS));
        assertEquals(NOW - SECOND, times.sendTime(NOW - SECOND));
    }

    /** A monotonic clock that has gone back belongs to another boot, even if the boot's id is the same. */
    @Test
    void aMonotonicClockThatWentBackIsNotUsed() {
        RecordedTimes times = RecordedTimes.of(clock(NOW + 3 * SECOND, 2, "one"), WRITTEN, NOW);
        assertEquals(NOW + 8 * SECOND, times.deadline(NOW + 8 * SECOND, MESSAGE_CLASS));
    }

    /** Otherwise a message would stay open for an hour too long, and could be repeated after its window. */
    @Test
    void aWallClockThatWentBackExtendsNoDeadlineAndAllowsNoRepeat() {
        ProcessClock now = clock(NOW - HOUR, 2, "two");
        RecordedTimes times = RecordedTimes.of(now, WRITTEN, NOW);
        assertEquals(now.millis() + 8 * SECOND, times.deadline(NOW + 8 * SECOND, MESSAGE_CLASS));
        assertTrue(times.sendTime(NOW - SECOND) < now.millis() - HOUR);
    }

    /** A journal of the previous release has no clock reading: its messages live no longer than their class allows. */
    @Test
    void withoutAClockReadingNoMessageOutlivesItsClass() {
        ProcessClock now = clock(NOW - HOUR, 2, "two");
        assertEquals(now.millis() + 16 * SECOND, RecordedTimes.of(now, null, 0).deadline(NOW, MESSAGE_CLASS));
        RecordedTimes ahead = RecordedTimes.of(clock(NOW, 2, "two"), null, NOW - SECOND);
        assertEquals(NOW + SECOND, ahead.deadline(NOW + SECOND, MESSAGE_CLASS));
    }
}
