package wrenkeel.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

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
     * A call to the destination.
     *
     * @param atMillis when it was received
     * @param told whether its relay had been told of the outage: a call of it had failed or been refused then
     */
    record TimedCall(long atMillis, boolean told) { }

    /**
     * The first window with more calls than its bound, with which the destination fails again.
     *
     * @param endMillis end of the window, on the clock of the calls
     * @param calls calls in the window
     * @param toldCalls those of relays that had been told of the outage
     * @param bound calls that the window may hold
     */
    record Overload(long endMillis, int calls, int toldCalls, double bound) {
        /** Whether the rule is broken: most calls came from relays that knew that the budget applied. */
        boolean isBroken() {
            return 3 * toldCalls > 2 * calls;
        }
    }

    /** Receives the window that ends at a call, in the order of the calls. */
    private interface WindowVisitor {
        void visit(ArrayDeque<TimedCall> window, double bound);
    }

    private void visitWindows(long returnMillis, List<TimedCall> calls, WindowVisitor visitor) {
        ArrayDeque<TimedCall> window = new ArrayDeque<>();
        for (TimedCall call : calls) {
            if (call.atMillis < returnMillis || call.atMillis >= returnMillis + coldMillis) {
                continue;
            }
            window.addLast(call);
            long windowStart = Math.max(returnMillis, call.atMillis - windowMillis);
            while (window.peekFirst().atMillis < windowStart) {
                window.pollFirst();
            }
            visitor.visit(window, bound(windowStart - returnMillis));
        }
    }

    /**
     * Checks the window that ends at each call. Its ratio is 0 if there was no call in the cold time.
     *
     * @param returnMillis end of the outage
     * @param calls calls in ascending order of time; calls outside the cold time are ignored
     */
    WorstWindow worstWindow(long returnMillis, List<TimedCall> calls) {
        WorstWindow[] worst = {new WorstWindow(0, returnMillis, 0, bound(0))};
        visitWindows(returnMillis, calls, (window, bound) -> {
            if (window.size() / bound > worst[0].ratio) {
                worst[0] = new WorstWindow(window.size() / bound, window.peekLast().atMillis, window.size(),
                    bound);
            }
        });
        return worst[0];
    }

    /**
     * Finds the first window over its bound.
     *
     * @param returnMillis end of the outage
     * @param calls calls in ascending order of time; calls outside the cold time are ignored
     */
    Optional<Overload> firstOverload(long returnMillis, List<TimedCall> calls) {
        List<Overload> overloads = new ArrayList<>();
        visitWindows(returnMillis, calls, (window, bound) -> {
            if (window.size() > bound && overloads.isEmpty()) {
                int told = (int) window.stream().filter(TimedCall::told).count();
                overloads.add(new Overload(window.peekLast().atMillis, window.size(), told, bound));
            }
        });
        return overloads.stream().findFirst();
    }
}
