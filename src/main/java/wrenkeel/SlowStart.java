package wrenkeel;

import wrenkeel.Relay.Rules;
import wrenkeel.Relay.Settings;
import wrenkeel.Relay.Weights;
import wrenkeel.State.TimestampLog;

/**
 * The slow start of one {@link State.LimitScope}. It limits the calls that this relay may send while the
 * destination is out, has returned cold (with part of its capacity), or may have returned without the relay
 * knowing.
 *
 * <p>A cold destination can serve only so many calls per window from all relays together. Each relay keeps
 * to a share of that budget, which follows from the rate that it delivered before the outage. Answers during
 * slow start do not raise the share: answers that arrive in a burst say nothing about the rate that the
 * destination can sustain.
 *
 * <p>Times and spans are in microseconds.
 */
final class SlowStart {
    /** A time that is not reached. */
    static final long NEVER = Long.MAX_VALUE;
    /**
     * Share of the budget that is used. Relays that know of the outage stay near two thirds of what the
     * destination can take, since those that know nothing send on top of that.
     */
    private static final double USABLE_BUDGET_SHARE = 0.64;
    /** The same where all relays together may send few calls per window, and the rule allows more slack. */
    private static final double USABLE_SMALL_BUDGET_SHARE = 0.76;
    /** A rough listed rate may be too high by this factor. */
    private static final double ROUGH_WEIGHT_EXCESS = 1.5;
    /**
     * Calls may reach the destination closer together than they were decided, by as much as a relay can be
     * delayed in sending. The window is longer by this.
     */
    private static final long MAX_SEND_DELAY_MICROS = 150_000;
    /** Below this number of calls per window from all relays, the rule allows more slack. */
    private static final double FEW_CALLS_PER_WINDOW = 30;
    /** The budget is never 0, as the time of the next call could not be computed then. */
    private static final double MIN_CALLS_PER_WINDOW = 1e-6;

    /** Calls per second that this relay delivered in the scope before the outage. */
    private final double rateBeforeOutage;
    /** When calls were sent since the outage began, without those known to have hit the outage. */
    private final TimestampLog countedCalls = new TimestampLog();
    /** When the spacing of the next call begins: when the latest call was sent, or later. */
    private long spacedFrom;
    /** Random factor for the time from {@code spacedFrom} to the next spaced call; 1 on average. */
    private double spacingFactor;
    /** The outage is confirmed, not only suspected from a single failure. */
    private boolean outageConfirmed;
    /** From this time on one call may be sent whatever the budget, to find out whether there is an outage. */
    private long probeAt;

    /**
     * @param rateBeforeOutage calls per second that this relay delivered; 0 if unknown
     * @param spacingFactor random factor for the time to the first spaced call, 1 on average
     * @param probeAt when the first call may be sent at the latest; {@link #NEVER} if the outage is known
     */
    SlowStart(double rateBeforeOutage, long now, double spacingFactor, long probeAt) {
        this.rateBeforeOutage = rateBeforeOutage;
        this.spacingFactor = spacingFactor;
        this.probeAt = probeAt;
        spacedFrom = now;
    }

    /** Calls per second that this relay delivered before the outage; 0 if unknown. */
    double rateBeforeOutage() {
        return rateBeforeOutage;
    }

    /** Records that the outage is confirmed, not only suspected. */
    void confirmOutage() {
        outageConfirmed = true;
        probeAt = NEVER;
    }

    boolean isOutageConfirmed() {
        return outageConfirmed;
    }

    /**
     * Counts a call that is sent now.
     *
     * @param nextSpacingFactor random factor for the time to the next spaced call, 1 on average
     */
    void recordCall(long now, double nextSpacingFactor) {
        countedCalls.add(now);
        spacedFrom = now;
        spacingFactor = nextSpacingFactor;
        probeAt = NEVER;
    }

    /** Makes the next spaced call wait as if a call had been sent now. */
    void restartSpacing(long now) {
        spacedFrom = now;
    }

    /**
     * Records that a call sent at the given time failed: calls sent up to then hit the outage, so they took
     * nothing of the returned destination's capacity and do not count.
     */
    void discardCallsUpTo(long sentAt) {
        countedCalls.removeUpTo(sentAt);
    }

    /** Counted calls within the window that ends now. */
    int sentInWindow(long now, Rules rules) {
        countedCalls.removeUpTo(now - windowMicros(rules));
        return countedCalls.size();
    }

    private static long windowMicros(Rules rules) {
        return rules.overloadWindow() + MAX_SEND_DELAY_MICROS;
    }

    /**
     * Share of its capacity, 0 to 1, that a destination has the given time after its return, taken in the
     * middle of the window that ends then, since the budget applies to the entire window.
     */
    static double capacityShare(Rules rules, long timeSinceReturn) {
        double age = Math.max(0, timeSinceReturn - rules.overloadWindow() / 2);
        return rules.coldCapacity()
            + (1 - rules.coldCapacity()) * Math.min(1, age / Math.max(1, rules.warmUpTime()));
    }

    /**
     * This relay's share of the calls that the destination can serve in a window.
     *
     * @param capacityShare share of its capacity that the destination has now
     * @param minRate calls per second that this relay may assume as its rate even if it delivered less before
     * @param listedRate listed calls per second from all relays; ignored where no weights are listed
     * @param unhealthyShare share of the destination's endpoints that are out or in slow start
     */
    double callBudget(Settings settings, double capacityShare, double minRate, double listedRate,
                      double unhealthyShare) {
        double relayRate = Math.max(rateBeforeOutage, minRate);
        if (settings.weights() != Weights.NONE) {
            double evenShare = listedRate / (settings.weights() == Weights.ROUGH ? ROUGH_WEIGHT_EXCESS : 1)
                / settings.relayCount();
            relayRate = (relayRate + evenShare) / 2;
        }
        Rules rules = settings.rules();
        double sustainableCalls = rules.overloadFactor() * capacityShare * relayRate * unhealthyShare
            * rules.overloadWindow() / 1e6;
        double usableShare = sustainableCalls * settings.relayCount() < FEW_CALLS_PER_WINDOW
            ? USABLE_SMALL_BUDGET_SHARE : USABLE_BUDGET_SHARE;
        return Math.max(MIN_CALLS_PER_WINDOW, usableShare * sustainableCalls);
    }

    /**
     * The earliest time for another call.
     *
     * <p>Where no rate is listed, the relays share the slack that the rule allows: over n relays, the sum of
     * sqrt(budget / n) is at most the square root of all budgets together, however unevenly they are
     * distributed. A relay with a budget of less than one call per window, or with a listed rate, spaces its
     * calls randomly.
     *
     * @param callBudget the result of {@link #callBudget}
     */
    long nextCallAt(Settings settings, double callBudget, long now) {
        return Math.min(probeAt, nextBudgetedCallAt(settings, callBudget, now));
    }

    private long nextBudgetedCallAt(Settings settings, double callBudget, long now) {
        double slack = slack(settings, callBudget);
        int unspaced = unspacedCalls(settings, callBudget);
        if (unspaced < 1) {
            return spacedFrom
                + (long) (spacingFactor * windowMicros(settings.rules()) / (callBudget + slack));
        }
        return countedCalls.earliestWithFewerThan(unspaced, now, windowMicros(settings.rules()));
    }

    /** Calls that may be sent in any window without spacing; 0 where calls are spaced. */
    private static int unspacedCalls(Settings settings, double callBudget) {
        return settings.weights() != Weights.NONE ? 0 : (int) (callBudget + slack(settings, callBudget));
    }

    /**
     * Calls per window that this relay may send beyond its budget. With budgets of N calls per window in all,
     * the slack of all relays adds up to at most 2 * sqrt(N) and the constant that the rule allows for N.
     */
    private static double slack(Settings settings, double callBudget) {
        if (settings.weights() != Weights.NONE) {
            return 0;
        }
        double extraCalls = callBudget * settings.relayCount() < FEW_CALLS_PER_WINDOW ? 3 : 2;
        return 2 * Math.sqrt(callBudget / settings.relayCount()) + extraCalls / settings.relayCount();
    }

    /**
     * Counts the whole budget as sent, spread over the window: the previous process may have used it up just
     * before it ended.
     */
    void assumeBudgetSpent(Settings settings, double callBudget, long now) {
        int unspaced = unspacedCalls(settings, callBudget);
        long window = windowMicros(settings.rules());
        for (int i = 1; i <= unspaced; i++) {
            countedCalls.add(now - window + window * i / unspaced);
        }
    }
}
