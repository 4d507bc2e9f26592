package wrenkeel.scale;

import java.util.SplittableRandom;

/**
 * Models how one endpoint answers calls: with a random latency, a limit on calls per time window, and
 * reduced capacity after an outage (cold start). It opens no socket and reads no clock; callers pass the
 * time in nanoseconds of a clock that never goes back. Not thread-safe.
 */
public final class EndpointModel {
    /** How an endpoint treats calls. */
    public enum Mode {
        /** Answers calls, within its limit. */ SERVING,
        /** Accepts connections and calls, but never answers. */ SILENT,
        /** Refuses connections: it has no listener. */ REFUSING,
        /** Answers 500 immediately. */ FAILING,
        /** Answers 503 immediately. */ UNAVAILABLE
    }

    /**
     * The properties of an endpoint.
     *
     * @param medianMicros median time from a call's last byte to its answer
     * @param sigma standard deviation of that time's logarithm; 0 for a fixed time
     * @param limit on accepted calls
     * @param coldStart reduced capacity after an outage
     */
    public record Behaviour(long medianMicros, double sigma, Limit limit, ColdStart coldStart) {
        /** An endpoint without limit or cold start; parameters as in the record. */
        public static Behaviour unlimited(long medianMicros, double sigma) {
            return new Behaviour(medianMicros, sigma, Limit.NONE, ColdStart.NONE);
        }

        /** A copy with this limit. */
        public Behaviour with(Limit other) {
            return new Behaviour(medianMicros, sigma, other, coldStart);
        }

        /** A copy with this cold start. */
        public Behaviour with(ColdStart other) {
            return new Behaviour(medianMicros, sigma, limit, other);
        }
    }

    /**
     * A limit on accepted calls in consecutive time windows of fixed length.
     *
     * @param callsPerWindow calls accepted in each window; 0 for no limit
     * @param windowMillis length of a window
     * @param sendsRetryAfter whether refused calls get 429 with Retry-After up to the window's end;
     *     else they get 503
     * @param countsRefusedCalls whether refused calls reduce the next window's limit as accepted calls
     *     would
     */
    public record Limit(double callsPerWindow, long windowMillis, boolean sendsRetryAfter,
                        boolean countsRefusedCalls) {
        static final Limit NONE = new Limit(0, 1_000, false, false);
    }

    /**
     * Reduced capacity after an outage. During the cold start the endpoint collapses, that is, begins
     * another outage, under too many calls, refused ones included.
     *
     * @param initialShare share of the limit that is available directly after an outage, 0 to 1
     * @param durationMillis time after an outage in which the limit grows linearly back to its full
     *     value
     * @param collapseMultiple multiple of the current limit above which the endpoint collapses; 0 for
     *     never
     * @param collapseWindowMillis window in which calls are counted for {@code collapseMultiple}
     * @param collapseMillis length of the outage after a collapse, in which it accepts calls and never
     *     answers
     */
    public record ColdStart(double initialShare, long durationMillis, double collapseMultiple,
                            long collapseWindowMillis, long collapseMillis) {
        static final ColdStart NONE = new ColdStart(1, 0, 0, 1_000, 0);
    }

    /**
     * The answer to a call.
     *
     * @param status HTTP status; 0 for no answer
     * @param delayNanos time until the answer is written
     * @param retryAfterMillis value of Retry-After; 0 for none
     */
    public record Response(int status, long delayNanos, long retryAfterMillis) { }

    private static final long NANOS_PER_MS = 1_000_000;
    static final Response NO_RESPONSE = new Response(0, 0, 0);

    private final SplittableRandom random;
    private Behaviour behaviour;
    private Mode mode = Mode.SERVING;
    private boolean hadOutage;
    /** Whether the current outage is the result of a collapse. */
    private boolean collapsed;
    private long outageEndedAt;
    private long windowStart;
    /** Until this time all calls are refused with Retry-After; see {@link #refuseUntil}. */
    private long refusingUntil;
    private long collapseWindowStart;
    private long collapsedUntil;
    private long collapses;
    /** Calls that count against the limit of the current window. */
    private double usedInWindow;
    private double callsInCollapseWindow;

    EndpointModel(Behaviour behaviour, long seed) {
        this.behaviour = behaviour;
        random = new SplittableRandom(seed);
    }

    Mode mode() {
        return mode;
    }

    /** Number of collapses under too many calls during a cold start. */
    long collapses() {
        return collapses;
    }

    /** Sets the properties that apply from the next call on. */
    void setBehaviour(Behaviour next) {
        behaviour = next;
    }

    /** Sets the mode; a change from any outage to {@code SERVING} begins a cold start. */
    void setMode(Mode next, long now) {
        collapsed = false;
        if (next == Mode.SERVING && mode != Mode.SERVING) {
            hadOutage = true;
            outageEndedAt = now;
        }
        mode = next;
    }

    /**
     * Refuses calls until the given time with 429 and Retry-After up to that time, independently of the
     * limit.
     */
    void refuseUntil(long until) {
        refusingUntil = until;
    }

    /** Returns the answer to a call whose last byte is received at {@code now}. */
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
            return limit.sendsRetryAfter
                ? new Response(429, 0, toMillisRoundedUp(windowStart + windowNanos - now))
                : new Response(503, 0, 0);
        }
        usedInWindow++;
        double latencyFactor = behaviour.sigma == 0 ? 1 : Math.exp(behaviour.sigma * gaussian());
        return new Response(200, (long) (behaviour.medianMicros * 1e3 * latencyFactor), 0);
    }

    /** Whether the endpoint is in a cold start. */
    private boolean isCold(long now) {
        return hadOutage && now - outageEndedAt < behaviour.coldStart.durationMillis * NANOS_PER_MS;
    }

    /** Calls that a window accepts at this time. */
    private double callsPerWindowAt(long now) {
        if (!isCold(now)) {
            return behaviour.limit.callsPerWindow;
        }
        ColdStart coldStart = behaviour.coldStart;
        double share = coldStart.initialShare + (1 - coldStart.initialShare) * (now - outageEndedAt)
            / (coldStart.durationMillis * NANOS_PER_MS);
        return Math.max(1, behaviour.limit.callsPerWindow * share);
    }

    /** Counts a call during a cold start; returns true if the endpoint collapses with this call. */
    private boolean collapsesWithCall(long now) {
        ColdStart coldStart = behaviour.coldStart;
        if (coldStart.collapseMultiple <= 0 || behaviour.limit.callsPerWindow <= 0 || !isCold(now)) {
            return false;
        }
        if (now - collapseWindowStart >= coldStart.collapseWindowMillis * NANOS_PER_MS
            || collapseWindowStart < outageEndedAt) {
            collapseWindowStart = now;
            callsInCollapseWindow = 0;
        }
        callsInCollapseWindow++;
        double maxCalls = coldStart.collapseMultiple * callsPerWindowAt(now) * coldStart.collapseWindowMillis
            / behaviour.limit.windowMillis;
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

    /** Draws from the standard normal distribution (Box-Muller transform). */
    private double gaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
            * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
