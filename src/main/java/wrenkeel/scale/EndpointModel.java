package wrenkeel.scale;

import java.util.SplittableRandom;

/**
 * How one endpoint answers calls: after a latency, within a limit on calls per span, cold after an outage. It
 * opens no socket and reads no clock; times are nanoseconds of one clock that does not go back. One thread.
 */
public final class EndpointModel {
    /** What an endpoint does with calls. */
    public enum Mode {
        /** Answers them. */ SERVING,
        /** Takes them and stays silent. */ SILENT,
        /** Has no listener. */ REFUSING,
        /** Answers 500 at once. */ FAILING,
        /** Answers 503 at once. */ UNAVAILABLE
    }

    /**
     * @param medianMicros median time from a call's last byte to its answer
     * @param sigma standard deviation of that time's logarithm; 0 for a fixed time
     */
    public record Behaviour(long medianMicros, double sigma, Limit limit, ColdStart coldStart) {
        /** An endpoint without a limit that answers after a time of this median. */
        public static Behaviour unlimited(long medianMicros, double sigma) {
            return new Behaviour(medianMicros, sigma, Limit.NONE, ColdStart.NONE);
        }

        public Behaviour with(Limit other) {
            return new Behaviour(medianMicros, sigma, other, coldStart);
        }

        public Behaviour with(ColdStart other) {
            return new Behaviour(medianMicros, sigma, limit, other);
        }
    }

    /**
     * @param callsPerWindow taken in each span; 0 for no limit
     * @param windowMillis length of a span
     * @param sendsRetryAfter refused calls get 429 with Retry-After until the span's end, else 503
     * @param countsRefusedCalls refused calls use up the next span's limit as if they had been taken
     */
    public record Limit(double callsPerWindow, long windowMillis, boolean sendsRetryAfter, boolean countsRefusedCalls) {
        static final Limit NONE = new Limit(0, 1_000, false, false);
    }

    /**
     * After an outage an endpoint bears less, and falls again under too many calls, refused ones counted.
     *
     * @param initialShare share of the limit that is left right after an outage, 0 to 1
     * @param durationMillis time after an outage in which the limit grows back to all of it
     * @param collapseMultiple of what it bears, over which it falls; 0 for never
     * @param collapseWindowMillis span over which its calls are counted for that
     * @param collapseMillis length of the outage that a fall begins; it takes calls and stays silent
     */
    public record ColdStart(double initialShare, long durationMillis, double collapseMultiple, long collapseWindowMillis, long collapseMillis) {
        static final ColdStart NONE = new ColdStart(1, 0, 0, 1_000, 0);
    }

    /**
     * @param status HTTP status; 0 for silence
     * @param delayNanos time until the answer is written
     * @param retryAfterMillis wait to be told with it; 0 for none
     */
    public record Response(int status, long delayNanos, long retryAfterMillis) { }

    private static final long NANOS_PER_MS = 1_000_000;
    private static final Response NO_RESPONSE = new Response(0, 0, 0);

    private final SplittableRandom random;
    private Behaviour behaviour;
    private Mode mode = Mode.SERVING;
    private boolean hadOutage, collapsed;
    private long outageEndedAt, windowStart, refusingUntil, collapseWindowStart, collapsedUntil, collapses;
    private double usedInWindow, callsInCollapseWindow;

    EndpointModel(Behaviour behaviour, long seed) {
        this.behaviour = behaviour;
        random = new SplittableRandom(seed);
    }

    Mode mode() {
        return mode;
    }

    /** How often it has fallen under too many calls while it was cold. */
    long collapses() {
        return collapses;
    }

    /** Other figures hold from the next call on. */
    void setBehaviour(Behaviour next) {
        behaviour = next;
    }

    /** Back from an outage it is cold. */
    void setMode(Mode next, long now) {
        collapsed = false;
        if (next == Mode.SERVING && mode != Mode.SERVING) {
            hadOutage = true;
            outageEndedAt = now;
        }
        mode = next;
    }

    /** Turns calls away until then and tells them to wait so long: a wait that is no limit's. */
    void refuseUntil(long until) {
        refusingUntil = until;
    }

    /** What becomes of a call whose last byte comes now. */
    Response handleCall(long now) {
        if (collapsed && now >= collapsedUntil) {
            setMode(Mode.SERVING, collapsedUntil);
        }
        if (mode == Mode.FAILING || mode == Mode.UNAVAILABLE) {
            return new Response(mode == Mode.FAILING ? 500 : 503, 0, 0);
        }
        if (mode != Mode.SERVING || collapsesWithCall(now)) {
            return NO_RESPONSE;
        }
        if (now < refusingUntil) {
            return new Response(429, 0, toMillisRoundedUp(refusingUntil - now));
        }
        Limit limit = behaviour.limit;
        long windowNanos = limit.windowMillis * NANOS_PER_MS;
        if (now - windowStart >= windowNanos) {
            windowStart = now - Math.floorMod(now - windowStart, windowNanos);
            usedInWindow = Math.max(0, limit.countsRefusedCalls ? usedInWindow - callsPerWindowAt(now) : 0);
        }
        if (limit.callsPerWindow > 0 && usedInWindow + 1 > callsPerWindowAt(now)) {
            usedInWindow += limit.countsRefusedCalls ? 1 : 0;
            return limit.sendsRetryAfter ? new Response(429, 0, toMillisRoundedUp(windowStart + windowNanos - now))
                : new Response(503, 0, 0);
        }
        usedInWindow++;
        double latencyFactor = behaviour.sigma == 0 ? 1 : Math.exp(behaviour.sigma * gaussian());
        return new Response(200, (long) (behaviour.medianMicros * 1e3 * latencyFactor), 0);
    }

    private boolean isCold(long now) {
        return hadOutage && now - outageEndedAt < behaviour.coldStart.durationMillis * NANOS_PER_MS;
    }

    /** Calls that a span takes at this time. */
    private double callsPerWindowAt(long now) {
        if (!isCold(now)) {
            return behaviour.limit.callsPerWindow;
        }
        ColdStart coldStart = behaviour.coldStart;
        double share = coldStart.initialShare + (1 - coldStart.initialShare) * (now - outageEndedAt) / (coldStart.durationMillis * NANOS_PER_MS);
        return Math.max(1, behaviour.limit.callsPerWindow * share);
    }

    /** Counts a call; true where it is the one too many, with which the endpoint falls. */
    private boolean collapsesWithCall(long now) {
        ColdStart coldStart = behaviour.coldStart;
        if (coldStart.collapseMultiple <= 0 || behaviour.limit.callsPerWindow <= 0 || !isCold(now)) {
            return false;
        }
        if (now - collapseWindowStart >= coldStart.collapseWindowMillis * NANOS_PER_MS || collapseWindowStart < outageEndedAt) {
            collapseWindowStart = now;
            callsInCollapseWindow = 0;
        }
        callsInCollapseWindow++;
        double maxCalls = coldStart.collapseMultiple * callsPerWindowAt(now) * coldStart.collapseWindowMillis / behaviour.limit.windowMillis;
        if (callsInCollapseWindow <= maxCalls) {
            return false;
        }
        collapses++;
        mode = Mode.SILENT;
        collapsed = true;
        collapsedUntil = now + coldStart.collapseMillis * NANOS_PER_MS;
        return true;
    }

    private static long toMillisRoundedUp(long nanos) {
        return (nanos + NANOS_PER_MS - 1) / NANOS_PER_MS;
    }

    /** One draw of a normal distribution (Box and Muller). */
    private double gaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
            * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
