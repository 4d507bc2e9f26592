package wrenkeel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import wrenkeel.Relay.Outcome;
import wrenkeel.Relay.Rules;
import wrenkeel.soak.OutageShape;

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

    private final OutageShape shape;
    private final Rules rules;
    private final List<ColdCall> coldCalls = new ArrayList<>();
    /** Token bucket of the calls that it accepts, and when it was last refilled. */
    private double tokens;
    private long refilledAt;

    /**
     * Creates a destination.
     *
     * @param shape its capacity, and when and how calls fail
     * @param rules length of the warm-up, share of the capacity at its beginning, and the budget of a window
     */
    SimulatedDestination(OutageShape shape, Rules rules) {
        this.shape = shape;
        this.rules = rules;
    }

    /** The end of the last outage. */
    long lastReturnAt() {
        return outageEnd(shape.outageCount() - 1);
    }

    /** The start of the outage of this number, from 0. */
    private long outageStart(int number) {
        return (shape.startMillis() + number * shape.intervalMillis()) * FleetSimulation.MS;
    }

    /** The end of the outage of this number, from 0. */
    private long outageEnd(int number) {
        return outageStart(number) + shape.outageMillis() * FleetSimulation.MS;
    }

    /** True during an outage. */
    boolean isOut(long time) {
        return returnAfter(time) >= 0;
    }

    /** The end of the outage that a time is in; -1 if it is in none. */
    long returnAfter(long time) {
        for (int number = 0; number < shape.outageCount(); number++) {
            if (time >= outageStart(number) && time < outageEnd(number)) {
                return outageEnd(number);
            }
        }
        return -1;
    }

    /** The latest return to service up to a time; -1 if there is none. */
    private long latestReturnBefore(long time) {
        long latest = -1;
        for (int number = 0; number < shape.outageCount(); number++) {
            latest = time >= outageEnd(number) ? outageEnd(number) : latest;
        }
        return latest;
    }

    /** Responds to a call that arrives now; {@code informed}: from an informed relay. */
    Response call(long now, boolean informed) {
        if (isOut(now)) {
            long untilReturn = returnAfter(now) - now;
            return switch (shape.failure()) {
                case CONNECTION_REFUSED -> new Response(Outcome.CONNECT_FAILED, 0, 0);
                case REJECTED_WITH_WAIT -> new Response(Outcome.FULL, 0, REJECTION_WAIT_MICROS);
                case REJECTED -> new Response(Outcome.FULL, 0, 0);
                case ERROR_RESPONSE -> new Response(Outcome.ERROR, 0, 0);
                case CONNECTION_RESET -> new Response(Outcome.RESET, 0, 0);
                case NO_RESPONSE -> new Response(null, 0, 0);
                case NO_RESPONSE_THEN_RESET -> new Response(Outcome.RESET, untilReturn, 0);
                case NO_RESPONSE_THEN_ANSWERED -> new Response(Outcome.OK, untilReturn + LATENCY_MICROS, 0);
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
        double capacity = shape.capacityPerSecond() * (time < outageStart(0) ? 1 : shape.limitFactor());
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
