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
final class ColdDestination {
    /** What a call meets during an outage. */
    enum Outage {
        /** A refused connection. */ REFUSED,
        /** A refusal, with a wait. */ SHUT,
        /** A refusal, without a wait. */ TURNED_AWAY,
        /** Nothing. */ SILENT,
        /** An error at once. */ ERRORS,
        /** The end of its connection. */ RESET
    }

    /**
     * @param outcome null for no answer
     * @param after time until the answer
     * @param waitFor told with it; 0 for none
     */
    record Answer(Outcome outcome, long after, long waitFor) { }

    /**
     * @param worst highest ratio of calls in a window to the calls that the cold destination bears in it
     * @param worstTold the same of the calls from relays that had seen a call fail during the outage
     * @param toldAtFall share of such calls in the first window over the bound; 0 where none is over it
     */
    record Load(double worst, double worstTold, double toldAtFall) {
        /** True when the destination falls and the relays that could know are to blame. */
        boolean ruleBroken() {
            return toldAtFall > TOLD_SHARE;
        }
    }

    /** A call that the cold destination got. */
    private record ColdCall(long at, boolean told) { }

    static final long DOWN_AT = 40_000_000, OUTAGE = 10_000_000, APART = 16_000_000, AFTER = 50_000_000;
    private static final long LATENCY = 300_000, SHUT_WAIT = 500_000;
    private static final double TOLD_SHARE = 2.0 / 3;
    /** s; calls that the destination may hold in its queue. */
    private static final double QUEUE = 0.7;
    /** Calls in a window, from which on the bound's slack is the smaller one. */
    private static final double MANY = 30;

    private final double capacity;
    private final Outage outage;
    private final int outages;
    private final Rules rules;
    private final List<ColdCall> coldCalls = new ArrayList<>();
    private double room;
    private long filledAt;

    /** {@code capacity}: calls a second that it takes when warm. */
    ColdDestination(double capacity, Outage outage, int outages, Rules rules) {
        this.capacity = capacity;
        this.outage = outage;
        this.outages = outages;
        this.rules = rules;
    }

    /** Start of the first return. */
    static long firstReturn() {
        return DOWN_AT + OUTAGE;
    }

    /** When all outages and what follows them are over. */
    long endAt() {
        return downAt(outages - 1) + OUTAGE + AFTER;
    }

    private static long downAt(int number) {
        return DOWN_AT + number * APART;
    }

    boolean isOut(long time) {
        for (int i = 0; i < outages; i++) {
            if (time >= downAt(i) && time < downAt(i) + OUTAGE) {
                return true;
            }
        }
        return false;
    }

    /** When the latest return before this time was; -1 for none. */
    private long returnBefore(long time) {
        long latest = -1;
        for (int i = 0; i < outages; i++) {
            latest = time >= downAt(i) + OUTAGE ? downAt(i) + OUTAGE : latest;
        }
        return latest;
    }

    /** A call arrives; {@code told}: from a relay that had seen a call fail during the outage. */
    Answer call(long now, boolean told) {
        if (isOut(now)) {
            return switch (outage) {
                case REFUSED -> new Answer(Outcome.CONNECT_FAILED, 0, 0);
                case SHUT -> new Answer(Outcome.FULL, 0, SHUT_WAIT);
                case TURNED_AWAY -> new Answer(Outcome.FULL, 0, 0);
                case ERRORS -> new Answer(Outcome.ERROR, 0, 0);
                case RESET -> new Answer(Outcome.RESET, 0, 0);
                case SILENT -> new Answer(null, 0, 0);
            };
        }
        long back = returnBefore(now);
        if (back >= 0 && now < back + rules.warmUpTime()) {
            coldCalls.add(new ColdCall(now, told));
        }
        return takes(now) ? new Answer(Outcome.OK, LATENCY, 0) : new Answer(Outcome.FULL, 0, 0);
    }

    /** Calls a second that it takes at this time. */
    private double present(long time) {
        long back = returnBefore(time);
        if (back < 0) {
            return capacity;
        }
        double warmth = Math.min(1, (double) (time - back) / rules.warmUpTime());
        return capacity * (rules.coldCapacity() + (1 - rules.coldCapacity()) * warmth);
    }

    private boolean takes(long now) {
        double rate = present(now);
        room = Math.min(Math.max(1, rate * QUEUE), room + rate * (now - filledAt) / 1e6);
        filledAt = now;
        boolean taken = room >= 1;
        room -= taken ? 1 : 0;
        return taken;
    }

    /** Calls in a window that begins at this time, beyond which the cold destination falls. */
    private double bound(long begin) {
        double allowed = rules.overloadFactor() * present(begin) * rules.overloadWindow() / 1e6;
        return allowed < MANY ? allowed + 3 * Math.sqrt(allowed) + 3 : allowed + 2 * Math.sqrt(allowed) + 2;
    }


    Load load() {
        double worst = 0;
        double worstTold = 0;
        double toldAtFall = 0;
        ArrayDeque<ColdCall> window = new ArrayDeque<>();
        for (ColdCall call : coldCalls) {
            window.addLast(call);
            long begin = Math.max(returnBefore(call.at), call.at - rules.overloadWindow());
            while (window.peekFirst().at < begin) {
                window.pollFirst();
            }
            double told = window.stream().filter(ColdCall::told).count();
            double bound = bound(begin);
            if (window.size() > bound && worst <= 1) {
                toldAtFall = told / window.size();
            }
            worst = Math.max(worst, window.size() / bound);
            worstTold = Math.max(worstTold, told / bound);
        }
        return new Load(worst, worstTold, toldAtFall);
    }
}
