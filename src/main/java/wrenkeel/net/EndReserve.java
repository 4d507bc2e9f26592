package wrenkeel.net;

/**
 * How long before a message's deadline its end must be decided. The reserve lets the notice reach the
 * platform in time even if the process stalls just then and the notice must be posted more than once.
 */
final class EndReserve {
    /** The relay may stall for 150 ms before it decides, and again before it writes. */
    private static final long MAX_RESERVE_MS = 300;
    /** How far before the end of its lifetime the deadline of a new message lies already. */
    private static final long DEADLINE_MARGIN_MS = 300;
    /** The margin and the reserve together take at most this fraction of a message's lifetime: 1/4. */
    private static final long MAX_SHARE_DIVISOR = 4;

    private EndReserve() { }

    /** Returns the reserve of a message, given the time until its deadline in ms. */
    static long millis(long remainingMillis) {
        long share = (remainingMillis + DEADLINE_MARGIN_MS) / MAX_SHARE_DIVISOR - DEADLINE_MARGIN_MS;
        return Math.max(0, Math.min(MAX_RESERVE_MS, share));
    }
}
