package wrenkeel.net;

/**
 * How long before a message's time is up its end is decided at the latest, so that the notice of it is in
 * time although the process is held up just then and the notice has to be posted more than once.
 */
final class EndReserve {
    /** ms; a relay may be held up for 150 before it decides, and again before it writes. */
    private static final long MAX_RESERVE_MS = 300;
    /** ms; how far before the end of its time the deadline of a new message lies already. */
    private static final long DEADLINE_MARGIN_MS = 300;
    /** Of a message's time this part at most is kept back in all. */
    private static final long MAX_SHARE_DIVISOR = 4;

    private EndReserve() { }

    /** {@code left}: ms until the message's deadline. */
    static long millis(long left) {
        long share = (left + DEADLINE_MARGIN_MS) / MAX_SHARE_DIVISOR - DEADLINE_MARGIN_MS;
        return Math.max(0, Math.min(MAX_RESERVE_MS, share));
    }
}
