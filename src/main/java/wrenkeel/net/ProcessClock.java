package wrenkeel.net;

import java.util.concurrent.TimeUnit;

/**
 * Unix time of this process: the wall clock's time at the start of the process, advanced by the monotonic
 * clock. A later step of the wall clock therefore changes no deadline and no wait. Clocks of two processes
 * may differ; a {@link Reading} that one of them wrote to a file lets the other compare them. Thread-safe.
 */
final class ProcessClock {
    /**
     * The times of a process's clock and of the monotonic clock at one moment.
     *
     * @param bootId the machine's boot, within which {@code nanos} of two processes are comparable; empty if
     *     unknown
     * @param millis Unix time by the process's clock
     * @param nanos time of the machine's monotonic clock
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

    /** Returns a clock that starts now, on the real machine. */
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

    /** Reads both clocks. */
    Reading reading() {
        long nanos = machine.monotonicNanos();
        return new Reading(bootId, millisAt(nanos), nanos);
    }

    /** Whether the monotonic clock can measure the time since another process's reading. */
    boolean isComparable(Reading earlier) {
        boolean sameBoot = !bootId.isEmpty() && earlier.bootId.equals(bootId);
        return sameBoot && earlier.nanos <= machine.monotonicNanos();
    }

    /**
     * Returns the milliseconds to add to a Unix time of another process to get the same moment on this clock.
     *
     * @param earlier a {@link #isComparable comparable} reading of the other process
     */
    long shiftMillisFrom(Reading earlier) {
        return millisAt(earlier.nanos) - earlier.millis;
    }
}
