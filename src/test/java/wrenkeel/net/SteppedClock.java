package wrenkeel.net;

/** The clocks of a machine whose wall clock has been stepped, or that has been rebooted. */
record SteppedClock(long stepMillis, long monotonicOffsetNanos, String bootId) implements MachineClock {
    static final String BOOT = "boot-1";

    /** The wall clock is stepped by this span; the monotonic clock is unchanged. */
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
