package wrenkeel.soak;

import java.util.ArrayDeque;
import java.util.List;

/**
 * What a destination that has come back from an outage bears, and how far its calls went beyond that. Terms
 * are those of the standing test: it falls when it gets more than N + 2 x root of N + 2 calls in a window (N
 * under 30: N + 3 x root of N + 3), N being what the settings allow it at the start of that window.
 *
 * @param capacity calls a second that it takes when warm, from all relays together
 * @param coldFrom share of the capacity that is left at its return, 0 to 1
 * @param coldMillis after its return in which all of the capacity is back
 * @param fallMultiple of what it can do, above which it falls
 * @param windowMillis over which its calls are counted
 */
record ColdBudget(double capacity, double coldFrom, long coldMillis, double fallMultiple, long windowMillis) {
    /** Calls in a window, from which on the slack of the rule is the smaller one. */
    private static final double MANY = 30;

    /**
     * The window that came closest to the bound, or went farthest beyond it.
     *
     * @param ratio of its calls to the bound; over 1 the destination falls
     * @param atMillis its end
     * @param calls in it
     */
    record Worst(double ratio, long atMillis, int calls, double bound) { }

    /** Calls that a window which begins so long after the return may hold. */
    double bound(long sinceReturnMillis) {
        double warmth = Math.min(1, Math.max(0, sinceReturnMillis) / (double) coldMillis);
        double present = capacity * (coldFrom + (1 - coldFrom) * warmth);
        double allowed = fallMultiple * present * windowMillis / 1e3;
        return allowed < MANY ? allowed + 3 * Math.sqrt(allowed) + 3 : allowed + 2 * Math.sqrt(allowed) + 2;
    }

    /** {@code callMillis}: when calls came, in order; those outside the cold time are passed over. */
    Worst worst(long returnMillis, List<Long> callMillis) {
        Worst worst = new Worst(0, returnMillis, 0, bound(0));
        ArrayDeque<Long> window = new ArrayDeque<>();
        for (long at : callMillis) {
            if (at < returnMillis || at >= returnMillis + coldMillis) {
                continue;
            }
            window.addLast(at);
            long begin = Math.max(returnMillis, at - windowMillis);
            while (window.peekFirst() < begin) {
                window.pollFirst();
            }
            double bound = bound(begin - returnMillis);
            if (window.size() / bound > worst.ratio) {
                worst = new Worst(window.size() / bound, at, window.size(), bound);
            }
        }
        return worst;
    }
}
