package wrenkeel.net;

/** A machine whose wall clock has been stepped, or that has booted anew, as seen by one process. */
record SteppedClock(long stepMillis, long monotonicOffsetNanos, String bootId) implements MachineClock {
    static final String BOOT = "boot-1";

    /** The wall clock is off by so much; the monotonic clock runs on. */
    static SteppedClock stepped(long millis) {
        return new SteppedClock(millis, 0, BOOT);
    }

    @Override
    public long monotonicNanos() {
        return System.nanoTime() + monotonicOffsetNanos;
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis() + stepMillis;
    }
}
