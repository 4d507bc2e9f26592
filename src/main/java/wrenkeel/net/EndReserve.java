package wrenkeel.net;

/**
 * How long before a message's time is up its end is decided at the latest, so that the notice of it is in
 * time although the process pauses just then, or the notice has to be posted twice.
 */
final class EndReserve {
    /** ms; costs the last attempts of a long-lived message, which have little worth left. */
    private static final long MOST = 1_200;
    /** ms; how far before the end of its time the deadline of a new message lies already. */
    private static final long DEADLINE_MARGIN = 300;
    /** Of a message's time this part at most is kept back in all. */
    private static final long PART = 4;

    private EndReserve() { }

    /** {@code left}: ms until the message's deadline. */
    static long millis(long left) {
        long share = (left + DEADLINE_MARGIN) / PART - DEADLINE_MARGIN;
        return Math.max(0, Math.min(MOST, share));
    }
}
