package wrenkeel.soak;

import java.util.ArrayDeque;
import java.util.List;

/**
 * How many calls a destination can take while it is cold, that is in the time after an outage in which its
 * capacity grows back linearly, and how far its calls exceeded that.
 *
 * <p>The destination is overloaded if any window holds more than N + 2 * sqrt(N) + 2 calls, or
 * N + 3 * sqrt(N) + 3 where N is under 30. N is the number of calls that the settings allow, computed from
 * the capacity at the start of the window. The tests of the decision module for the return from an outage
 * apply the same rule.
 *
 * @param callsPerSecond calls a second that the warm destination takes, from all relays together
 * @param coldShare share of that capacity that is available right after the outage, 0 to 1
 * @param coldMillis time after the outage in which the capacity grows back to all of it
 * @param overloadMultiple multiple of its current capacity above which the destination fails again
 * @param windowMillis length of the windows in which its calls are counted
 */
record ColdStartBudget(double callsPerSecond, double coldShare, long coldMillis, double overloadMultiple,
                       long windowMillis) {
    /** N from which the bound has the smaller tolerance. */
    private static final double LARGE_WINDOW_CALLS = 30;

    /**
     * The window whose calls came closest to the bound, or exceeded it the most.
     *
     * @param ratio calls in the window divided by its bound; above 1 the destination is overloaded
     * @param endMillis end of the window, on the clock of the calls
     * @param calls calls in the window
     * @param bound calls that the window may hold
     */
    record WorstWindow(double ratio, long endMillis, int calls, double bound) { }

    /** Returns how many calls a window may hold that starts so many ms after the end of the outage. */
    double bound(long sinceReturnMillis) {
        double recovered = Math.min(1, Math.max(0, sinceReturnMillis) / (double) coldMillis);
        double currentCapacity = callsPerSecond * (coldShare + (1 - coldShare) * recovered);
        double expected = overloadMultiple * currentCapacity * windowMillis / 1e3;
        return expected < LARGE_WINDOW_CALLS ? expected + 3 * Math.sqrt(expected) + 3
            : expected + 2 * Math.sqrt(expected) + 2;
    }

    /**
     * Checks the window that ends at each call. Its ratio is 0 if there was no call in the cold time.
     *
     * @param returnMillis end of the outage
     * @param callMillis times of the calls in ascending order; calls outside the cold time are ignored
     */
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
