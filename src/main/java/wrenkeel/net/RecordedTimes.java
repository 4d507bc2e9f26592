package wrenkeel.net;

import java.util.concurrent.TimeUnit;
import wrenkeel.Relay;

/**
 * Brings the times in an earlier process's file, in Unix time as that process reckoned it, to this process's
 * clock. The time that has passed since is what the monotonic clock says, where it runs on. After another
 * boot, or for a file that does not tell, only the wall clock is left, which may have been stepped: it is
 * believed no further than what the file itself shows to have happened.
 */
final class RecordedTimes {
    /** Longer ago than any window in which a repeat is dropped. */
    private static final long LONG_AGO_MS = TimeUnit.DAYS.toMillis(1);

    private final ProcessClock clock;
    private final long shiftMillis;
    private final boolean monotonic;
    private final boolean ageKnown;

    private RecordedTimes(ProcessClock clock, long shiftMillis, boolean measured, boolean ageKnown) {
        this.clock = clock;
        this.shiftMillis = shiftMillis;
        this.monotonic = measured;
        this.ageKnown = ageKnown;
    }

    /**
     * {@code reading}: of the process that wrote the file, null where it left none; {@code latest}: the
     * latest time of which the file tells.
     */
    static RecordedTimes of(ProcessClock clock, ProcessClock.Reading reading, long latest) {
        if (reading != null && clock.isComparable(reading)) {
            return new RecordedTimes(clock, clock.shiftMillisFrom(reading), true, true);
        }
        long behind = clock.millis() - latest;
        return new RecordedTimes(clock, Math.min(0, behind), false, behind >= 0);
    }

    /** To be added to a time of the file, ms. */
    long shiftMillis() {
        return shiftMillis;
    }

    /** A message's deadline; where the passed time was not measured, no later than its class lets it live. */
    long deadline(long recorded, Relay.MessageClass rules) {
        long shifted = recorded + shiftMillis;
        if (monotonic || rules == null) {
            return shifted;
        }
        return Math.min(shifted, clock.millis() + TimeUnit.MICROSECONDS.toMillis(rules.life()));
    }

    /** When an attempt was made; long ago where the wall clock has run back: no repeat rests on it. */
    long sendTime(long recorded) {
        return ageKnown ? recorded + shiftMillis : clock.millis() - LONG_AGO_MS;
    }

    /** Since when a host is out or has been back; just now, where the passed time was not measured. */
    long outageTime(long recorded) {
        return monotonic ? recorded + shiftMillis : clock.millis();
    }

    /** Until when a host is to be left alone. */
    long waitUntil(long recorded) {
        return recorded + shiftMillis;
    }
}
