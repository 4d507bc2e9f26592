package wrenkeel.scale;

import java.util.SplittableRandom;

/**
 * How one endpoint answers calls: after a latency, within a limit on calls per span, cold after an outage. It
 * opens no socket and reads no clock; times are nanoseconds of one clock that does not go back. One thread.
 */
public final class EndpointModel {
    /** What an endpoint does with calls. */
    public enum Standing {
        /** Answers them. */ SERVING,
        /** Takes them and stays silent. */ SILENT,
        /** Has no listener. */ REFUSING,
        /** Answers 500 at once. */ FAILING,
        /** Answers 503 at once. */ TURNING_AWAY
    }

    /**
     * @param medianMicros median time from a call's last byte to its answer
     * @param sigma standard deviation of that time's logarithm; 0 for a fixed time
     */
    public record Behaviour(long medianMicros, double sigma, Limit limit, Cold cold) {
        /** An endpoint without a limit that answers after a time of this median. */
        public static Behaviour unlimited(long medianMicros, double sigma) {
            return new Behaviour(medianMicros, sigma, Limit.NONE, Cold.NONE);
        }

        public Behaviour with(Limit other) {
            return new Behaviour(medianMicros, sigma, other, cold);
        }

        public Behaviour with(Cold other) {
            return new Behaviour(medianMicros, sigma, limit, other);
        }
    }

    /**
     * @param calls taken in each span; 0 for no limit
     * @param spanMillis length of a span
     * @param tellsWait refused calls get 429 with Retry-After until the span's end, else 503
     * @param countsRefused refused calls use up the next span's limit as if they had been taken
     */
    public record Limit(double calls, long spanMillis, boolean tellsWait, boolean countsRefused) {
        static final Limit NONE = new Limit(0, 1_000, false, false);
    }

    /**
     * After an outage an endpoint bears less, and falls again under too many calls, refused ones counted.
     *
     * @param from share of the limit that is left right after an outage, 0 to 1
     * @param millis time after an outage in which the limit grows back to all of it
     * @param fallMultiple of what it bears, over which it falls; 0 for never
     * @param tipMillis span over which its calls are counted for that
     * @param downMillis length of the outage that a fall begins; it takes calls and stays silent
     */
    public record Cold(double from, long millis, double fallMultiple, long tipMillis, long downMillis) {
        static final Cold NONE = new Cold(1, 0, 0, 1_000, 0);
    }

    /**
     * @param status HTTP status; 0 for silence
     * @param delayNanos time until the answer is written
     * @param waitMillis wait to be told with it; 0 for none
     */
    public record Verdict(int status, long delayNanos, long waitMillis) { }

    private static final long MS = 1_000_000;
    private static final Verdict SILENCE = new Verdict(0, 0, 0);

    private final SplittableRandom random;
    private Behaviour behaviour;
    private Standing standing = Standing.SERVING;
    private boolean returned, fallen;
    private long returnedAt, spanAt, waitUntil, tipAt, fallenUntil, falls;
    private double used, tipping;

    EndpointModel(Behaviour behaviour, long seed) {
        this.behaviour = behaviour;
        random = new SplittableRandom(seed);
    }

    Standing standing() {
        return standing;
    }

    /** How often it has fallen under too many calls while it was cold. */
    long falls() {
        return falls;
    }

    /** Other figures hold from the next call on. */
    void behave(Behaviour next) {
        behaviour = next;
    }

    /** Back from an outage it is cold. */
    void stand(Standing next, long now) {
        fallen = false;
        if (next == Standing.SERVING && standing != Standing.SERVING) {
            returned = true;
            returnedAt = now;
        }
        standing = next;
    }

    /** Turns calls away until then and tells them to wait so long: a wait that is no limit's. */
    void shutUntil(long until) {
        waitUntil = until;
    }

    /** What becomes of a call whose last byte comes now. */
    Verdict call(long now) {
        if (fallen && now >= fallenUntil) {
            stand(Standing.SERVING, fallenUntil);
        }
        if (standing == Standing.FAILING || standing == Standing.TURNING_AWAY) {
            return new Verdict(standing == Standing.FAILING ? 500 : 503, 0, 0);
        }
        if (standing != Standing.SERVING || tips(now)) {
            return SILENCE;
        }
        if (now < waitUntil) {
            return new Verdict(429, 0, millisUp(waitUntil - now));
        }
        Limit limit = behaviour.limit;
        long span = limit.spanMillis * MS;
        if (now - spanAt >= span) {
            spanAt = now - Math.floorMod(now - spanAt, span);
            used = Math.max(0, limit.countsRefused ? used - bears(now) : 0);
        }
        if (limit.calls > 0 && used + 1 > bears(now)) {
            used += limit.countsRefused ? 1 : 0;
            return limit.tellsWait ? new Verdict(429, 0, millisUp(spanAt + span - now))
                : new Verdict(503, 0, 0);
        }
        used++;
        double stretch = behaviour.sigma == 0 ? 1 : Math.exp(behaviour.sigma * gaussian());
        return new Verdict(200, (long) (behaviour.medianMicros * 1e3 * stretch), 0);
    }

    private boolean cold(long now) {
        return returned && now - returnedAt < behaviour.cold.millis * MS;
    }

    /** Calls that a span takes at this time. */
    private double bears(long now) {
        if (!cold(now)) {
            return behaviour.limit.calls;
        }
        Cold cold = behaviour.cold;
        double warm = cold.from + (1 - cold.from) * (now - returnedAt) / (cold.millis * MS);
        return Math.max(1, behaviour.limit.calls * warm);
    }

    /** Counts a call; true where it is the one too many, with which the endpoint falls. */
    private boolean tips(long now) {
        Cold cold = behaviour.cold;
        if (cold.fallMultiple <= 0 || behaviour.limit.calls <= 0 || !cold(now)) {
            return false;
        }
        if (now - tipAt >= cold.tipMillis * MS || tipAt < returnedAt) {
            tipAt = now;
            tipping = 0;
        }
        tipping++;
        double most = cold.fallMultiple * bears(now) * cold.tipMillis / behaviour.limit.spanMillis;
        if (tipping <= most) {
            return false;
        }
        falls++;
        standing = Standing.SILENT;
        fallen = true;
        fallenUntil = now + cold.downMillis * MS;
        return true;
    }

    private static long millisUp(long nanos) {
        return (nanos + MS - 1) / MS;
    }

    /** One draw of a normal distribution (Box and Muller). */
    private double gaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
            * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
