package wrenkeel.net;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a connection to one host may carry the next call. A host may send more than the response to a
 * call, such as a second copy of it or noise. What arrives after the next request has been sent cannot be
 * told from the response to that request. So a connection rests after a response, and the connections to a
 * host that has sent surplus bytes are not reused for some time. Not thread-safe.
 *
 * <p>Times are those of {@link System#nanoTime}.
 */
final class ReuseGuard {
    /** Time after a response during which the connection is not reused while another may be opened. */
    static final long REST_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
    /** Time after surplus bytes during which no connection to the host is reused. */
    static final long DISTRUST_NANOS = TimeUnit.SECONDS.toNanos(10);

    private boolean surplusSeen;
    private long surplusSeenNanos;

    /** Records that the host has sent bytes that belong to no call. */
    void recordSurplus(long now) {
        surplusSeen = true;
        surplusSeenNanos = now;
    }

    /** False if the host has sent surplus bytes lately: its connections are then closed after each call. */
    boolean allowsReuse(long now) {
        return !surplusSeen || now - surplusSeenNanos >= DISTRUST_NANOS;
    }

    /** True if surplus bytes after the latest response on a connection should have arrived by now. */
    static boolean hasRested(long idleSinceNanos, long now) {
        return now - idleSinceNanos >= REST_NANOS;
    }
}
