package wrenkeel;

import wrenkeel.Relay.Rules;
import wrenkeel.Relay.Settings;
import wrenkeel.Relay.Weights;
import wrenkeel.State.Times;

/**
 * The slow start of one lane: how many calls this relay may send while its destination is out, has come back
 * cold, or may have done so unseen. A cold destination bears so many calls in a window from all relays
 * together; each relay keeps to its part by what it carried before the outage. What the destination answers
 * meanwhile does not raise that part: answers that come in a burst tell nothing of the rate that it bears.
 */
final class SlowStart {
    /** Part of the budget used; the rest is for chance and for calls already under way. */
    private static final double BUDGET_USED = 0.95;
    /** A rough weight may be this much over the truth. */
    private static final double ROUGH_OVER = 1.5;
    /** us; calls may arrive closer together than they were decided, by as much as a relay is held up. */
    private static final long HELD_UP = 150_000;
    /** Calls of all relays in a window below which the rule has more slack. */
    private static final double FEW_CALLS = 30;
    /** Calls a window; never none, lest the next one be due at no time. */
    private static final double CALLS_LEAST = 1e-6;

    /** Calls a second that the lane carried before the outage. */
    private final double carriedBefore;
    /** Calls since the outage began, those left out that met the outage. */
    private final Times calls = new Times();
    /** When the latest call went out, and the random spread of the next one. */
    private long lastSent;
    private double spacing;
    private boolean confirmed;

    /**
     * @param carriedBefore calls a second; 0 where nothing is known of that
     * @param spacing random spread of the first call, 1 in the mean
     */
    SlowStart(double carriedBefore, long now, double spacing) {
        this.carriedBefore = carriedBefore;
        this.spacing = spacing;
        lastSent = now;
    }

    double carriedBefore() {
        return carriedBefore;
    }

    /** The outage is beyond suspicion. */
    void confirm() {
        confirmed = true;
    }

    boolean isConfirmed() {
        return confirmed;
    }

    /** A call goes out; {@code nextSpacing}: random spread of the one after it, 1 in the mean. */
    void sent(long now, double nextSpacing) {
        calls.add(now);
        lastSent = now;
        spacing = nextSpacing;
    }

    /** The next spaced call waits as if one had gone out now. */
    void waitFrom(long now) {
        lastSent = now;
    }

    /** A call sent at that time failed: what went out up to then met the outage and does not count. */
    void metOutage(long sent) {
        calls.forgetUpTo(sent);
    }

    /** Calls sent within the window that ends now. */
    int sentInWindow(long now, Rules rules) {
        calls.forgetUpTo(now - window(rules));
        return calls.size();
    }

    private static long window(Rules rules) {
        return rules.overloadWindow() + HELD_UP;
    }

    /** How warm a destination is that has been back for so long, 0 to 1, in the middle of a window. */
    static double warmth(Rules rules, long backFor) {
        double age = Math.max(0, backFor - rules.overloadWindow() / 2);
        return rules.coldCapacity() + (1 - rules.coldCapacity()) * Math.min(1, age / Math.max(1, rules.warmUpTime()));
    }

    /**
     * This relay's part of the calls that the lane bears in a window.
     *
     * @param warmth share of its capacity that the destination has now
     * @param leastPart calls a second that this relay may take for its part though it carried less before
     * @param listedRate calls a second by the list, from all relays; of no use where weights are not listed
     * @param share part of the destination's routes that are cold
     */
    double callsInWindow(Settings set, double warmth, double leastPart, double listedRate, double share) {
        double part = Math.max(carriedBefore, leastPart);
        if (set.weights() != Weights.NONE) {
            double even = listedRate / (set.weights() == Weights.ROUGH ? ROUGH_OVER : 1) / set.relayCount();
            part = (part + even) / 2;
        }
        Rules rules = set.rules();
        double borne = rules.overloadFactor() * warmth * part * share * rules.overloadWindow() / 1e6;
        return Math.max(CALLS_LEAST, BUDGET_USED * borne);
    }

    /**
     * The earliest time for another call. Where no rate is listed, the rule's slack is shared: over n relays,
     * root(part / n) sums to at most the root of all parts, however uneven. A relay with less than one call
     * in a window, or with a listed rate, spaces its calls at random.
     */
    long opensAt(Settings set, double callsInWindow, long now) {
        double slack = slack(set, callsInWindow);
        int whole = whole(set, callsInWindow);
        if (whole < 1) {
            return lastSent + (long) (spacing * window(set.rules()) / (callsInWindow + slack));
        }
        return calls.fewerThan(whole, now, window(set.rules()));
    }

    /** Calls that may go out in any window, as close together as they come; 0 where they are spaced. */
    private static int whole(Settings set, double callsInWindow) {
        return set.weights() != Weights.NONE ? 0 : (int) (callsInWindow + slack(set, callsInWindow));
    }

    /** Over all relays, two roots of N calls and as many calls beside as the rule has for that N. */
    private static double slack(Settings set, double callsInWindow) {
        if (set.weights() != Weights.NONE) {
            return 0;
        }
        double beside = callsInWindow * set.relayCount() < FEW_CALLS ? 3 : 2;
        return 2 * Math.sqrt(callsInWindow / set.relayCount()) + beside / set.relayCount();
    }

    /**
     * The process before this one may have used up all of its part just before it ended: it counts as sent,
     * spread over the window.
     */
    void usedUpBefore(Settings set, double callsInWindow, long now) {
        int whole = whole(set, callsInWindow);
        long window = window(set.rules());
        for (int i = 1; i <= whole; i++) {
            calls.add(now - window + window * i / whole);
        }
    }
}
