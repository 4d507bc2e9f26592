package wrenkeel.net;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How late the event loop has been of late, measured by a task that it runs at a fixed period. What is read
 * from a socket now may have waited there for that long. One thread.
 */
final class EventLoopLag {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoopLag.class);
    /** A lag is remembered for so long: connections accepted after a pause are read a few passes later. */
    private static final long RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** A pause of that length or more is logged: it may cost a message its time. */
    private static final long LOG_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final LongSupplier nanoClock;
    private final long periodNanos;
    private long lastTickNanos;
    private long recentMaxNanos;
    private long recentMaxAtNanos;
    private long maxNanos;

    /** {@code periodMillis}: between two calls of {@link #tick}. */
    EventLoopLag(long periodMillis, LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        this.periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
        this.lastTickNanos = nanoClock.getAsLong();
    }

    /** To be called by the event loop once in each period. */
    void tick() {
        long now = nanoClock.getAsLong();
        long late = overdueNanos(now);
        remember(late, now);
        maxNanos = Math.max(maxNanos, late);
        lastTickNanos = now;
        if (late > LOG_THRESHOLD_NANOS) {
            LOG.warn("event loop late by {} ms", TimeUnit.NANOSECONDS.toMillis(late));
        }
    }

    /** The latest that the event loop has been since the start, ms. */
    long maxMillis() {
        return TimeUnit.NANOSECONDS.toMillis(maxNanos);
    }

    /** What is read now may have waited for so many nanoseconds for another reason than a late event loop. */
    void recordDelay(long nanos) {
        remember(nanos, nanoClock.getAsLong());
    }

    private void remember(long late, long now) {
        if (late >= recentMaxNanos || now - recentMaxAtNanos > RETENTION_NANOS) {
            recentMaxNanos = late;
            recentMaxAtNanos = now;
        }
    }

    /** The worst lag of late in milliseconds, that of a pause not yet over included. */
    long recentMillis() {
        long now = nanoClock.getAsLong();
        long remembered = now - recentMaxAtNanos > RETENTION_NANOS ? 0 : recentMaxNanos;
        return TimeUnit.NANOSECONDS.toMillis(Math.max(remembered, overdueNanos(now)));
    }

    private long overdueNanos(long now) {
        return Math.max(0, now - lastTickNanos - periodNanos);
    }
}
