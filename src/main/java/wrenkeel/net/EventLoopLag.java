package wrenkeel.net;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures the recent lag of an event loop by a task that the loop runs at a fixed period. Bytes read from a
 * socket now may have waited there for that long. Not thread-safe.
 */
final class EventLoopLag {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoopLag.class);
    /**
     * How long a lag counts as recent: connections accepted after a pause are read a few iterations later.
     */
    private static final long RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** A lag above this is logged: a message may have missed its deadline for it. */
    private static final long LOG_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final LongSupplier nanoClock;
    private final long periodNanos;
    private long lastTickNanos;
    /** Largest recent lag, and when it was measured. */
    private long recentMaxNanos;
    private long recentMaxAtNanos;
    /** Largest lag since the start. */
    private long maxNanos;

    /** {@code periodMillis}: time between two calls of {@link #tick}. */
    EventLoopLag(long periodMillis, LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        this.periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
        this.lastTickNanos = nanoClock.getAsLong();
    }

    /** Measures the lag; to be called by the event loop once in each period. */
    void tick() {
        long now = nanoClock.getAsLong();
        long late = overdueNanos(now);
        remember(late, now);
        maxNanos = Math.max(maxNanos, late);
        lastTickNanos = now;
        if (late > LOG_THRESHOLD_NANOS) {
            LOG.warn("event loop lag of {} ms", TimeUnit.NANOSECONDS.toMillis(late));
        }
    }

    /** Returns the largest lag since the start, in ms. */
    long maxMillis() {
        return TimeUnit.NANOSECONDS.toMillis(maxNanos);
    }

    /** Records that bytes read now may have waited this long for a reason other than a late event loop. */
    void recordDelay(long nanos) {
        remember(nanos, nanoClock.getAsLong());
    }

    private void remember(long late, long now) {
        if (late >= recentMaxNanos || now - recentMaxAtNanos > RETENTION_NANOS) {
            recentMaxNanos = late;
            recentMaxAtNanos = now;
        }
    }

    /** Returns the largest recent lag in ms, including that of a pause which is not over yet. */
    long recentMillis() {
        long now = nanoClock.getAsLong();
        long remembered = now - recentMaxAtNanos > RETENTION_NANOS ? 0 : recentMaxNanos;
        return TimeUnit.NANOSECONDS.toMillis(Math.max(remembered, overdueNanos(now)));
    }

    /** Returns how late the next tick is. */
    private long overdueNanos(long now) {
        return Math.max(0, now - lastTickNanos - periodNanos);
    }
}
