package wrenkeel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import wrenkeel.Relay.Outcome;
import wrenkeel.Relay.Rules;

/**
 * A destination that has outages and returns from each of them cold: at first it accepts only a part of its
 * usual rate of calls, which grows until the warm-up is over. It records the calls that it gets while it is
 * cold. Times are microseconds of the caller's clock. One thread.
 *
 * <p>Calls that arrive while it is cold count against a budget. With more than the budget in a window, a real
 * destination would fail again. A relay is informed if it has seen a call fail during an outage; only
 * informed relays can know that the destination is cold.
 */
final class SimulatedDestination {
    /** How calls fail during an outage. */
    enum Outage {
        /** The connection is refused. */ CONNECTION_REFUSED,
        /** The call is rejected as over the limit, with a time to wait. */ REJECTED_WITH_WAIT,
        /** The call is rejected as over the limit, without a time to wait. */ REJECTED,
        /** There is no response, and the call times out. */ NO_RESPONSE,
        /** There is an error response at once. */ ERROR_RESPONSE,
        /** The connection is reset. */ CONNECTION_RESET
    }

    /**
     * The response to a call.
     *
     * @param outcome outcome of the call; null for no response
     * @param delay time until the response is sent
     * @param waitFor wait that the response asks for; 0 for none
     */
    record Response(Outcome outcome, long delay, long waitFor) { }

    /**
     * The load on the cold destination.
     *
     * @param maxRatio highest ratio of the calls in a window to the budget of that window
     * @param maxInformedRatio the same ratio for the calls of informed relays only
     * @param informedShareAtOverload part of the calls of the first window over its budget that informed
     *     relays sent; 0 if there is no such window
     */
    record ColdLoad(double maxRatio, double maxInformedRatio, double informedShareAtOverload) {
        /** True if the budget was exceeded, and mostly by relays that could know that it applied. */
        boolean isOverloadedByInformedRelays() {
            return informedShareAtOverload > MAX_INFORMED_SHARE;
        }
    }

    /** A call that arrived while the destination was cold. */
    private record ColdCall(long at, boolean fromInformedRelay) { }

    /** Start of the first outage. */
    static final long FIRST_OUTAGE_MICROS = 40_000_000;
    /** Duration of an outage. */
    static final long OUTAGE_MICROS = 10_000_000;
    /** Time from the start of one outage to the start of the next. */
    static final long OUTAGE_INTERVAL_MICROS = 16_000_000;
    /** Time from the end of the last outage to the end of the run. */
    static final long AFTER_LAST_OUTAGE_MICROS = 50_000_000;
    /** Time that an accepted call takes at the destination. */
    private static final long LATENCY_MICROS = 300_000;
    /** Wait that a rejection asks for. */
    private static final long REJECTION_WAIT_MICROS = 500_000;
    /** Over this share of the calls of informed relays, these are held responsible for an overload. */
    private static final double MAX_INFORMED_SHARE = 2.0 / 3;
    /** Calls that the destination accepts in a burst, in seconds of its present rate. */
    private static final double QUEUE_SECONDS = 0.7;
    /** Expected calls in a window from which on the allowance for random variation is the smaller one. */
    private static final double LARGE_WINDOW_CALLS = 30;

    private final double capacity;
    private final Outage outage;
    private final int outageCount;
    private final Rules rules;
    private final List<ColdCall> coldCalls = new ArrayList<>();
    /** Token bucket of the calls that it accepts, and when it was last refilled. */
    private double tokens;
    private long refilledAt;

    /**
     * Creates a destination.
     *
     * @param capacity calls a second that it accepts when warm
     * @param outage how calls fail during outages
     * @param outageCount number of outages
     * @param rules length of the warm-up, share of the capacity at its beginning, and the budget of a window
     */
    SimulatedDestination(double capacity, Outage outage, int outageCount, Rules rules) {
        this.capacity = capacity;
        this.outage = outage;
        this.outageCount = outageCount;
        this.rules = rules;
    }

    /** The time of the first return to service. */
    static long firstReturnAt() {
        return FIRST_OUTAGE_MICROS + OUTAGE_MICROS;
    }

    /** The end of the run, after all outages and the time that follows the last one. */
    long endAt() {
        return outageStart(outageCount - 1) + OUTAGE_MICROS + AFTER_LAST_OUTAGE_MICROS;
    }

    /** The start of the outage of this number, from 0. */
    private static long outageStart(int number) {
        return FIRST_OUTAGE_MICROS + number * OUTAGE_INTERVAL_MICROS;
    }

    /** True during an outage. */
    boolean isOut(long time) {
        for (int number = 0; number < outageCount; number++) {
            if (time >= outageStart(number) && time < outageStart(number) + OUTAGE_MICROS) {
                return true;
            }
        }
        return false;
    }

    /** The latest return to service up to a time; -1 if there is none. */
    private long latestReturnBefore(long time) {
        long latest = -1;
        for (int number = 0; number < outageCount; number++) {
            latest = time >= outageStart(number) + OUTAGE_MICROS
                ? outageStart(number) + OUTAGE_MICROS : latest;
        }
        return latest;
    }

    /** Responds to a call that arrives now; {@code informed}: from an informed relay. */
    Response call(long now, boolean informed) {
        if (isOut(now)) {
            return switch (outage) {
                case CONNECTION_REFUSED -> new Response(Outcome.CONNECT_FAILED, 0, 0);
                case REJECTED_WITH_WAIT -> new Response(Outcome.FULL, 0, REJECTION_WAIT_MICROS);
                case REJECTED -> new Response(Outcome.FULL, 0, 0);
                case ERROR_RESPONSE -> new Response(Outcome.ERROR, 0, 0);
                case CONNECTION_RESET -> new Response(Outcome.RESET, 0, 0);
                case NO_RESPONSE -> new Response(null, 0, 0);
            };
        }
        long returnAt = latestReturnBefore(now);
        if (returnAt >= 0 && now < returnAt + rules.warmUpTime()) {
            coldCalls.add(new ColdCall(now, informed));
        }
        return admitCall(now)
            ? new Response(Outcome.OK, LATENCY_MICROS, 0) : new Response(Outcome.FULL, 0, 0);
    }

    /** Calls a second that it accepts at a time: its capacity when warm, a growing share of it when cold. */
    private double capacityAt(long time) {
        long returnAt = latestReturnBefore(time);
        if (returnAt < 0) {
            return capacity;
        }
        double warmth = Math.min(1, (double) (time - returnAt) / rules.warmUpTime());
        return capacity * (rules.coldCapacity() + (1 - rules.coldCapacity()) * warmth);
    }

    /** Takes a token for a call; false if the call is over the present rate. */
    private boolean admitCall(long now) {
        double rate = capacityAt(now);
        tokens = Math.min(Math.max(1, rate * QUEUE_SECONDS), tokens + rate * (now - refilledAt) / 1e6);
        refilledAt = now;
        boolean admitted = tokens >= 1;
        tokens -= admitted ? 1 : 0;
        return admitted;
    }

    /**
     * The budget of a window that begins at a time: the most calls that the cold destination bears in it. On
     * top of the calls that the rules allow there is an allowance for random variation.
     */
    private double maxCallsInWindow(long windowStart) {
        double allowed = rules.overloadFactor() * capacityAt(windowStart) * rules.overloadWindow() / 1e6;
        return allowed < LARGE_WINDOW_CALLS
            ? allowed + 3 * Math.sqrt(allowed) + 3 : allowed + 2 * Math.sqrt(allowed) + 2;
    }

    /** Finds the highest loads over all windows that end with a call to the cold destination. */
    ColdLoad load() {
        double maxRatio = 0;
        double maxInformedRatio = 0;
        double informedShareAtOverload = 0;
        ArrayDeque<ColdCall> window = new ArrayDeque<>();
        for (ColdCall call : coldCalls) {
            window.addLast(call);
            long windowStart = Math.max(latestReturnBefore(call.at), call.at - rules.overloadWindow());
            while (window.peekFirst().at < windowStart) {
                window.pollFirst();
            }
            double informed = window.stream().filter(ColdCall::fromInformedRelay).count();
            double maxCalls = maxCallsInWindow(windowStart);
            if (window.size() > maxCalls && maxRatio <= 1) {
                informedShareAtOverload = informed / window.size();
            }
            maxRatio = Math.max(maxRatio, window.size() / maxCalls);
            maxInformedRatio = Math.max(maxInformedRatio, informed / maxCalls);
        }
        return new ColdLoad(maxRatio, maxInformedRatio, informedShareAtOverload);
    }
}
