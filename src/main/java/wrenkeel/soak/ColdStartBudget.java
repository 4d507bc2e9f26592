package wrenkeel.soak;

import java.util.ArrayDeque;
import java.util.List;

/**
 * What a destination that has come back from an outage bears, and how far its calls went beyond that. Terms
 * are those of the standing test: it falls when it gets more than N + 2 x root of N + 2 calls in a window (N
 * under 30: N + 3 x root of N + 3), N being what the settings allow it at the start of that window.
 *
 * @param callsPerSecond calls a second that it takes when warm, from all relays together
 * @param coldShare share of the capacity that is left at its return, 0 to 1
 * @param coldMillis after its return in which all of the capacity is back
 * @param overloadMultiple of what it can do, above which it falls
 * @param windowMillis over which its calls are counted
 */
record ColdStartBudget(double callsPerSecond, double coldShare, long coldMillis, double overloadMultiple, long windowMillis) {
    /** Calls in a window, from which on the slack of the rule is the smaller one. */
    private static final double LARGE_WINDOW_CALLS = 30;

    /**
     * The window that came closest to the bound, or went farthest beyond it.
     *
     * @param ratio of its calls to the bound; over 1 the destination falls
     * @param endMillis its end
     * @param calls in it
     */
    record WorstWindow(double ratio, long endMillis, int calls, double bound) { }

    /** Calls that a window which begins so long after the return may hold. */
    double bound(long sinceReturnMillis) {
        double recovered = Math.min(1, Math.max(0, sinceReturnMillis) / (double) coldMillis);
        double currentCapacity = callsPerSecond * (coldShare + (1 - coldShare) * recovered);
        double expected = overloadMultiple * currentCapacity * windowMillis / 1e3;
        return expected < LARGE_WINDOW_CALLS ? expected + 3 * Math.sqrt(expected) + 3 : expected + 2 * Math.sqrt(expected) + 2;
    }

    /** {@code callMillis}: when calls came, in order; those outside the cold time are passed over. */
    WorstWindow worstWindow(long returnMillis, List<Long> callMillis) {
        WorstWindow worst = new WorstWindow(0, returnMillis, 0, bound(0));
        ArrayDeque<Long> window = new ArrayDeque<>();
        for (long callAt : callMillis) {
            if (callAt < returnMillis || callAt >= returnMillis + coldMillis) {
                continue;
            }
            window.addLast(callAt);
            long windowStart = Math.max(returnMillis, callAt - windowMillis);
            while (window.peekFirst() < windowStart) {
                window.pollFirst();
            }
            double bound = bound(windowStart - returnMillis);
            if (window.size() / bound > worst.ratio) {
                worst = new WorstWindow(window.size() / bound, callAt, window.size(), bound);
            }
        }
        return worst;
    }
}
