package wrenkeel.net;

import java.util.concurrent.TimeUnit;
import wrenkeel.Relay;

/**
 * Converts the times that an earlier process wrote to its journal, which are Unix time by that process's
 * clock, to this process's clock. All times are milliseconds.
 *
 * <p>Within one boot of the machine, the monotonic clock shows how much time has passed. After a reboot, or
 * if the journal has no reading of the clocks, only the wall clock is left, which may have been stepped. If
 * it stands before the latest time in the journal, it has gone back, and the times are shifted so that the
 * latest of them becomes the present.
 */
final class RecordedTimes {
    /** Longer than any window in which hosts drop a repeated message. */
    private static final long LONG_AGO_MS = TimeUnit.DAYS.toMillis(1);

    private final ProcessClock clock;
    private final long shiftMillis;
    /** The elapsed time was measured by the monotonic clock. */
    private final boolean monotonic;
    /** False if the wall clock has gone back, so that the age of recorded times is unknown. */
    private final boolean ageKnown;

    private RecordedTimes(ProcessClock clock, long shiftMillis, boolean monotonic, boolean ageKnown) {
        this.clock = clock;
        this.shiftMillis = shiftMillis;
        this.monotonic = monotonic;
        this.ageKnown = ageKnown;
    }

    /**
     * Compares the clocks of two processes.
     *
     * @param reading the writing process's clocks as it recorded them; null if it recorded none
     * @param latestMillis the latest time in its journal
     */
    static RecordedTimes of(ProcessClock clock, ProcessClock.Reading reading, long latestMillis) {
        if (reading != null && clock.isComparable(reading)) {
            return new RecordedTimes(clock, clock.shiftMillisFrom(reading), true, true);
        }
        long elapsed = clock.millis() - latestMillis;
        return new RecordedTimes(clock, Math.min(0, elapsed), false, elapsed >= 0);
    }

    /** Returns what must be added to a recorded time. */
    long shiftMillis() {
        return shiftMillis;
    }

    /**
     * Returns a message's deadline. If the elapsed time was not measured, the deadline is at most the
     * lifetime of the message's class from now. {@code messageClass} is null if it was not recorded.
     */
    long deadline(long recordedMillis, Relay.MessageClass messageClass) {
        long shifted = recordedMillis + shiftMillis;
        if (monotonic || messageClass == null) {
            return shifted;
        }
        return Math.min(shifted, clock.millis() + TimeUnit.MICROSECONDS.toMillis(messageClass.lifetime()));
    }

    /**
     * Returns when an attempt was made. If its age is unknown, that is one day ago, so that no repeat relies
     * on a window that may be over.
     */
    long sendTime(long recordedMillis) {
        return ageKnown ? recordedMillis + shiftMillis : clock.millis() - LONG_AGO_MS;
    }

    /** Returns when a host's outage began or ended: now, if the elapsed time was not measured. */
    long outageTime(long recordedMillis) {
        return monotonic ? recordedMillis + shiftMillis : clock.millis();
    }

    /** Returns until when nothing may be sent to a host that asked the relay to wait. */
    long waitUntil(long recordedMillis) {
        return recordedMillis + shiftMillis;
    }
}
