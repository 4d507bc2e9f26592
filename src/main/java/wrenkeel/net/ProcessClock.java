package wrenkeel.net;

import java.util.concurrent.TimeUnit;

/**
 * Unix time as this process reckons it: what the wall clock said at its start, carried on by the monotonic
 * clock. A step of the wall clock therefore changes no deadline and no wait. Another process may reckon
 * otherwise: a {@link Reading} in a file tells how to compare. Any thread may use it.
 */
final class ProcessClock {
    /**
     * What both clocks of a process showed at one moment.
     *
     * @param bootId the machine's boot, within which {@code nanos} of two processes compare; empty if unknown
     * @param millis Unix time as the process reckons it
     * @param nanos the machine's monotonic clock
     */
    record Reading(String bootId, long millis, long nanos) { }

    private final MachineClock machine;
    private final String bootId;
    private final long startMillis;
    private final long startNanos;

    ProcessClock(MachineClock machine) {
        this.machine = machine;
        bootId = machine.bootId();
        startMillis = machine.wallMillis();
        startNanos = machine.monotonicNanos();
    }

    /** The clock of a process on this machine. */
    static ProcessClock system() {
        return new ProcessClock(MachineClock.SYSTEM);
    }

    /** Unix time in milliseconds. */
    long millis() {
        return millisAt(machine.monotonicNanos());
    }

    private long millisAt(long nanos) {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(nanos - startNanos);
    }

    /** What both clocks show now. */
    Reading reading() {
        long nanos = machine.monotonicNanos();
        return new Reading(bootId, millisAt(nanos), nanos);
    }

    /** True if the time since this reading of another process can be told by the monotonic clock. */
    boolean isComparable(Reading earlier) {
        boolean sameBoot = !bootId.isEmpty() && earlier.bootId.equals(bootId);
        return sameBoot && earlier.nanos <= machine.monotonicNanos();
    }

    /** What a time that the process of a {@link #isComparable comparable} reading wrote down is on this clock. */
    long shiftMillisFrom(Reading earlier) {
        return millisAt(earlier.nanos) - earlier.millis;
    }
}
