package wrenkeel;

import wrenkeel.Relay.Rules;
import wrenkeel.Relay.Settings;
import wrenkeel.Relay.Weights;
import wrenkeel.State.TimestampLog;

/**
 * The slow start of one lane: how many calls this relay may send while its destination is out, has come back
 * cold, or may have done so unseen. A cold destination bears so many calls in a window from all relays
 * together; each relay keeps to its part by what it carried before the outage. What the destination answers
 * meanwhile does not raise that part: answers that come in a burst tell nothing of the rate that it bears.
 */
final class SlowStart {
    /** Part of the budget used; the rest is for chance and for calls already under way. */
    private static final double USABLE_BUDGET_SHARE = 0.95;
    /** A rough weight may be this much over the truth. */
    private static final double ROUGH_WEIGHT_EXCESS = 1.5;
    /** us; calls may arrive closer together than they were decided, by as much as a relay is held up. */
    private static final long MAX_SEND_DELAY_MICROS = 150_000;
    /** Calls of all relays in a window below which the rule has more slack. */
    private static final double FEW_CALLS_PER_WINDOW = 30;
    /** Calls a window; never none, lest the next one be due at no time. */
    private static final double MIN_CALLS_PER_WINDOW = 1e-6;

    /** Calls a second that the lane carried before the outage. */
    private final double rateBeforeOutage;
    /** Calls since the outage began, those left out that met the outage. */
    private final TimestampLog countedCalls = new TimestampLog();
    /** When the latest call went out, and the random spread of the next one. */
    private long spacedFrom;
    private double spacingFactor;
    private boolean outageConfirmed;

    /**
     * @param carriedBefore calls a second; 0 where nothing is known of that
     * @param spacing random spread of the first call, 1 in the mean
     */
    SlowStart(double rateBeforeOutage, long now, double spacingFactor) {
        this.rateBeforeOutage = rateBeforeOutage;
        this.spacingFactor = spacingFactor;
        spacedFrom = now;
    }

    double rateBeforeOutage() {
        return rateBeforeOutage;
    }

    /** The outage is beyond suspicion. */
    void confirmOutage() {
        outageConfirmed = true;
    }

    boolean isOutageConfirmed() {
        return outageConfirmed;
    }

    /** A call goes out; {@code nextSpacing}: random spread of the one after it, 1 in the mean. */
    void recordCall(long now, double nextSpacingFactor) {
        countedCalls.add(now);
        spacedFrom = now;
        spacingFactor = nextSpacingFactor;
    }

    /** The next spaced call waits as if one had gone out now. */
    void restartSpacing(long now) {
        spacedFrom = now;
    }

    /** A call sent at that time failed: what went out up to then met the outage and does not count. */
    void discardCallsUpTo(long sentAt) {
        countedCalls.removeUpTo(sentAt);
    }

    /** Calls sent within the window that ends now. */
    int sentInWindow(long now, Rules rules) {
        countedCalls.removeUpTo(now - windowMicros(rules));
        return countedCalls.size();
    }

    private static long windowMicros(Rules rules) {
        return rules.overloadWindow() + MAX_SEND_DELAY_MICROS;
    }

    /** How warm a destination is that has been back for so long, 0 to 1, in the middle of a window. */
    static double capacityShare(Rules rules, long timeSinceReturn) {
        double age = Math.max(0, timeSinceReturn - rules.overloadWindow() / 2);
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
    double callBudget(Settings settings, double capacityShare, double minRate, double listedRate, double unhealthyShare) {
        double relayRate = Math.max(rateBeforeOutage, minRate);
        if (settings.weights() != Weights.NONE) {
            double evenShare = listedRate / (settings.weights() == Weights.ROUGH ? ROUGH_WEIGHT_EXCESS : 1) / settings.relayCount();
            relayRate = (relayRate + evenShare) / 2;
        }
        Rules rules = settings.rules();
        double sustainableCalls = rules.overloadFactor() * capacityShare * relayRate * unhealthyShare * rules.overloadWindow() / 1e6;
        return Math.max(MIN_CALLS_PER_WINDOW, USABLE_BUDGET_SHARE * sustainableCalls);
    }

    /**
     * The earliest time for another call. Where no rate is listed, the rule's slack is shared: over n relays,
     * root(part / n) sums to at most the root of all parts, however uneven. A relay with less than one call
     * in a window, or with a listed rate, spaces its calls at random.
     */
    long nextCallAt(Settings settings, double callBudget, long now) {
        double slack = slack(settings, callBudget);
        int unspaced = unspacedCalls(settings, callBudget);
        if (unspaced < 1) {
            return spacedFrom + (long) (spacingFactor * windowMicros(settings.rules()) / (callBudget + slack));
        }
        return countedCalls.earliestWithFewerThan(unspaced, now, windowMicros(settings.rules()));
    }

    /** Calls that may go out in any window, as close together as they come; 0 where they are spaced. */
    private static int unspacedCalls(Settings settings, double callBudget) {
        return settings.weights() != Weights.NONE ? 0 : (int) (callBudget + slack(settings, callBudget));
    }

    /** Over all relays, two roots of N calls and as many calls beside as the rule has for that N. */
    private static double slack(Settings settings, double callBudget) {
        if (settings.weights() != Weights.NONE) {
            return 0;
        }
        double extraCalls = callBudget * settings.relayCount() < FEW_CALLS_PER_WINDOW ? 3 : 2;
        return 2 * Math.sqrt(callBudget / settings.relayCount()) + extraCalls / settings.relayCount();
    }

    /**
     * The process before this one may have used up all of its part just before it ended: it counts as sent,
     * spread over the window.
     */
    void assumeBudgetSpent(Settings settings, double callBudget, long now) {
        int unspaced = unspacedCalls(settings, callBudget);
        long window = windowMicros(settings.rules());
        for (int i = 1; i <= unspaced; i++) {
            countedCalls.add(now - window + window * i / unspaced);
        }
    }
}
