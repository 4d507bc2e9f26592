package wrenkeel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import wrenkeel.Relay.Outcome;
import wrenkeel.Relay.Rules;

/**
 * A destination with outages from which it comes back cold, and the record of the calls that it got then.
 * Times are microseconds of the caller's clock. One thread.
 */
final class SimulatedDestination {
    /** What a call meets during an outage. */
    enum Outage {
        /** A refused connection. */ CONNECTION_REFUSED,
        /** A refusal, with a wait. */ REJECTED_WITH_WAIT,
        /** A refusal, without a wait. */ REJECTED,
        /** Nothing. */ NO_RESPONSE,
        /** An error at once. */ ERROR_RESPONSE,
        /** The end of its connection. */ CONNECTION_RESET
    }

    /**
     * @param outcome null for no answer
     * @param delay time until the answer
     * @param waitFor told with it; 0 for none
     */
    record Response(Outcome outcome, long delay, long waitFor) { }

    /**
     * @param maxRatio highest ratio of calls in a window to the calls that the cold destination bears in it
     * @param maxInformedRatio the same of the calls from relays that had seen a call fail during the outage
     * @param informedShareAtOverload share of such calls in the first window over the bound; 0 where none is over it
     */
    record ColdLoad(double maxRatio, double maxInformedRatio, double informedShareAtOverload) {
        /** True when the destination falls and the relays that could know are to blame. */
        boolean isOverloadedByInformedRelays() {
            return informedShareAtOverload > MAX_INFORMED_SHARE;
        }
    }

    /** A call that the cold destination got. */
    private record ColdCall(long at, boolean fromInformedRelay) { }

    static final long FIRST_OUTAGE_MICROS = 40_000_000, OUTAGE_MICROS = 10_000_000, OUTAGE_INTERVAL_MICROS = 16_000_000, AFTER_LAST_OUTAGE_MICROS = 50_000_000;
    private static final long LATENCY_MICROS = 300_000, REJECTION_WAIT_MICROS = 500_000;
    private static final double MAX_INFORMED_SHARE = 2.0 / 3;
    /** s; calls that the destination may hold in its queue. */
    private static final double QUEUE_SECONDS = 0.7;
    /** Calls in a window, from which on the bound's slack is the smaller one. */
    private static final double LARGE_WINDOW_CALLS = 30;

    private final double capacity;
    private final Outage outage;
    private final int outageCount;
    private final Rules rules;
    private final List<ColdCall> coldCalls = new ArrayList<>();
    private double tokens;
    private long refilledAt;

    /** {@code capacity}: calls a second that it takes when warm. */
    SimulatedDestination(double capacity, Outage outage, int outageCount, Rules rules) {
        this.capacity = capacity;
        this.outage = outage;
        this.outageCount = outageCount;
        this.rules = rules;
    }

    /** Start of the first return. */
    static long firstReturnAt() {
        return FIRST_OUTAGE_MICROS + OUTAGE_MICROS;
    }

    /** When all outages and what follows them are over. */
    long endAt() {
        return outageStart(outageCount - 1) + OUTAGE_MICROS + AFTER_LAST_OUTAGE_MICROS;
    }

    private static long outageStart(int number) {
        return FIRST_OUTAGE_MICROS + number * OUTAGE_INTERVAL_MICROS;
    }

    boolean isOut(long time) {
        for (int number = 0; number < outageCount; number++) {
            if (time >= outageStart(number) && time < outageStart(number) + OUTAGE_MICROS) {
                return true;
            }
        }
        return false;
    }

    /** When the latest return before this time was; -1 for none. */
    private long latestReturnBefore(long time) {
        long latest = -1;
        for (int number = 0; number < outageCount; number++) {
            latest = time >= outageStart(number) + OUTAGE_MICROS ? outageStart(number) + OUTAGE_MICROS : latest;
        }
        return latest;
    }

    /** A call arrives; {@code told}: from a relay that had seen a call fail during the outage. */
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
        if (returnAt >= 0 && now < returnAt + rules.cold()) {
            coldCalls.add(new ColdCall(now, informed));
        }
        return admitCall(now) ? new Response(Outcome.OK, LATENCY_MICROS, 0) : new Response(Outcome.FULL, 0, 0);
    }

    /** Calls a second that it takes at this time. */
    private double capacityAt(long time) {
        long returnAt = latestReturnBefore(time);
        if (returnAt < 0) {
            return capacity;
        }
        double warmth = Math.min(1, (double) (time - returnAt) / rules.cold());
        return capacity * (rules.coldFrom() + (1 - rules.coldFrom()) * warmth);
    }

    private boolean admitCall(long now) {
        double rate = capacityAt(now);
        tokens = Math.min(Math.max(1, rate * QUEUE_SECONDS), tokens + rate * (now - refilledAt) / 1e6);
        refilledAt = now;
        boolean admitted = tokens >= 1;
        tokens -= admitted ? 1 : 0;
        return admitted;
    }

    /** Calls in a window that begins at this time, beyond which the cold destination falls. */
    private double maxCallsInWindow(long windowStart) {
        double allowed = rules.fallMultiple() * capacityAt(windowStart) * rules.tipAfter() / 1e6;
        return allowed < LARGE_WINDOW_CALLS ? allowed + 3 * Math.sqrt(allowed) + 3 : allowed + 2 * Math.sqrt(allowed) + 2;
    }


    ColdLoad load() {
        double maxRatio = 0;
        double maxInformedRatio = 0;
        double informedShareAtOverload = 0;
        ArrayDeque<ColdCall> window = new ArrayDeque<>();
        for (ColdCall call : coldCalls) {
            window.addLast(call);
            long windowStart = Math.max(latestReturnBefore(call.at), call.at - rules.tipAfter());
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
