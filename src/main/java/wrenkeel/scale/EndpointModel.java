package wrenkeel.scale;

import java.util.SplittableRandom;

/**
 * How one endpoint answers calls: after a latency, within a limit on calls per span, cold after an outage. It opens no
 * socket and reads no clock; times are nanoseconds of one clock that does not go back. One thread.
 */
final class EndpointModel {
    /** What an endpoint does with calls: answers them, takes them and stays silent, or has no listener. */
    enum Standing { SERVING, SILENT, REFUSING }

    /**
     * @param medianMicros median time from a call's last byte to its answer
     * @param sigma standard deviation of that time's logarithm; 0 for a fixed time
     * @param callsPerSpan calls taken in each span; 0 for no limit
     * @param spanMillis length of a span
     * @param tellsWait refused calls get 429 with Retry-After until the span's end, else 503
     * @param countsRefused refused calls use up the next span's limit as if they had been taken
     * @param coldFrom share of the limit that is left right after an outage, 0 to 1
     * @param coldMillis time after an outage in which the limit grows back to all of it
     */
    record Behaviour(long medianMicros, double sigma, double callsPerSpan, long spanMillis, boolean tellsWait,
                     boolean countsRefused, double coldFrom, long coldMillis) {
        /** An endpoint without a limit that answers after a time of this median. */
        static Behaviour unlimited(long medianMicros, double sigma) {
            return new Behaviour(medianMicros, sigma, 0, 1_000, false, false, 1, 0);
        }

        Behaviour limited(double calls, long millis, boolean wait, boolean refusedCount) {
            return new Behaviour(medianMicros, sigma, calls, millis, wait, refusedCount, coldFrom, coldMillis);
        }

        Behaviour cold(double from, long millis) {
            return new Behaviour(medianMicros, sigma, callsPerSpan, spanMillis, tellsWait, countsRefused, from, millis);
        }
    }

    /**
     * @param status HTTP status; 0 for silence
     * @param delayNanos time until the answer is written
     * @param waitMillis wait to be told with it; 0 for none
     */
    record Verdict(int status, long delayNanos, long waitMillis) { }

    private static final Verdict SILENCE = new Verdict(0, 0, 0);

    private final SplittableRandom random;
    private Behaviour behaviour;
    private Standing standing = Standing.SERVING;
    private boolean returned;
    private long returnedAt, spanAt, waitUntil;
    private double used;

    EndpointModel(Behaviour behaviour, long seed) {
        this.behaviour = behaviour;
        random = new SplittableRandom(seed);
    }

    Standing standing() {
        return standing;
    }

    /** Other figures hold from the next call on. */
    void behave(Behaviour next) {
        behaviour = next;
    }

    /** Back from an outage it is cold. */
    void stand(Standing next, long now) {
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
        if (standing != Standing.SERVING) {
            return SILENCE;
        }
        if (now < waitUntil) {
            return new Verdict(429, 0, millisUp(waitUntil - now));
        }
        long span = Math.max(1, behaviour.spanMillis) * 1_000_000;
        if (now - spanAt >= span) {
            spanAt = now - Math.floorMod(now - spanAt, span);
            used = Math.max(0, behaviour.countsRefused ? used - limit(now) : 0);
        }
        if (behaviour.callsPerSpan > 0 && used + 1 > limit(now)) {
            used += behaviour.countsRefused ? 1 : 0;
            return behaviour.tellsWait ? new Verdict(429, 0, millisUp(spanAt + span - now)) : new Verdict(503, 0, 0);
        }
        used++;
        double stretch = behaviour.sigma == 0 ? 1 : Math.exp(behaviour.sigma * gaussian());
        return new Verdict(200, (long) (behaviour.medianMicros * 1e3 * stretch), 0);
    }

    /** Calls that a span takes at this time. */
    private double limit(long now) {
        long cold = behaviour.coldMillis * 1_000_000;
        if (!returned || now - returnedAt >= cold) {
            return behaviour.callsPerSpan;
        }
        double warm = behaviour.coldFrom + (1 - behaviour.coldFrom) * (now - returnedAt) / cold;
        return Math.max(1, behaviour.callsPerSpan * warm);
    }

    private static long millisUp(long nanos) {
        return (nanos + 999_999) / 1_000_000;
    }

    /** One draw of a normal distribution (Box and Muller). */
    private double gaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
