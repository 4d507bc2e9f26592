package wrenkeel.soak;

import java.util.SplittableRandom;
import wrenkeel.Relay.Weights;

/**
 * The shape of an outage of one destination of a fleet: how long it lasts, how calls fail in it, and what the
 * traffic and the relays do before, in and after it. The simulation of the decision module and the runs with
 * real relays draw their shapes from the same generator. The same seed always gives the same shape.
 *
 * @param seed seed of this shape and of all random numbers of its run
 * @param relays number of relays
 * @param endpoints number of endpoints of the destination, which share its capacity
 * @param messagesPerSecond messages a second that all relays together get for the destination
 * @param busyFactor multiple of the usual traffic that one in ten relays gets
 * @param capacityPerSecond calls a second that the warm destination takes from all relays together
 * @param weights how exact the listed limits are
 * @param lifetimeMillis time from a message's submission to its deadline
 * @param failure how calls fail in the outage
 * @param startMillis time from the start of the relays to the outage
 * @param outageMillis length of an outage
 * @param outageCount number of outages
 * @param intervalMillis time from the start of one outage to the start of the next
 * @param limitFactor part of its capacity that the destination has from the start of the outage on
 * @param quietSpell time without traffic
 * @param burst traffic that is submitted at once
 * @param restart kill of some relays, which keep their state folders
 */
public record OutageShape(long seed, int relays, int endpoints, double messagesPerSecond, int busyFactor,
                          double capacityPerSecond, Weights weights, long lifetimeMillis, Failure failure,
                          long startMillis, long outageMillis, int outageCount, long intervalMillis,
                          double limitFactor, QuietSpell quietSpell, Burst burst, Restart restart) {
    /** How calls fail in an outage. */
    public enum Failure {
        /** The connection is refused. */ CONNECTION_REFUSED,
        /** The call is rejected as over the limit, with a time to wait. */ REJECTED_WITH_WAIT,
        /** The call is rejected as over the limit, without a time to wait. */ REJECTED,
        /** There is no response, and the call times out. */ NO_RESPONSE,
        /** There is an error response at once. */ ERROR_RESPONSE,
        /** The connection is reset. */ CONNECTION_RESET,
        /** There is no response, and all open connections are reset at the return. */ NO_RESPONSE_THEN_RESET,
        /** There is no response until the return, when open calls are answered. */ NO_RESPONSE_THEN_ANSWERED
    }

    /**
     * Time without traffic, in ms from the start of the first outage; empty if both are equal.
     *
     * @param fromMillis beginning
     * @param untilMillis end
     */
    public record QuietSpell(long fromMillis, long untilMillis) {
        /** No such time. */
        public static final QuietSpell NONE = new QuietSpell(0, 0);

        /** Whether there is no traffic at this time, in ms from the start of the first outage. */
        public boolean contains(long millis) {
            return millis >= fromMillis && millis < untilMillis;
        }
    }

    /**
     * Messages that are submitted within half a second, in addition to the steady traffic.
     *
     * @param atMillis beginning, in ms from the start of the first outage
     * @param seconds number of messages, in seconds of the steady traffic; 0 for no burst
     */
    public record Burst(long atMillis, double seconds) {
        /** No burst. */
        public static final Burst NONE = new Burst(0, 0);
        /** Length of a burst. */
        public static final long LENGTH_MILLIS = 500;
    }

    /**
     * A kill of some relays.
     *
     * @param share share of the relays that are killed, at least one of them; 0 for none
     * @param afterReturnMillis time from the end of the first outage to the kill; negative for an earlier one
     */
    public record Restart(double share, long afterReturnMillis) {
        /** No kill. */
        public static final Restart NONE = new Restart(0, 0);
    }

    private static final int[] FLEET_SIZES = {24, 48, 120, 2_300};
    private static final int[] PLAYABLE_FLEET_SIZES = {24, 48};
    private static final long MAX_PLAYABLE_START_MS = 12_000;
    /** Messages a second of one relay, in the mean over the fleet. */
    private static final double MIN_RELAY_RATE = 0.02;
    private static final double MAX_RELAY_RATE = 2;
    /** Calls that the destination can serve in the first window after its return. */
    private static final double MIN_WINDOW_CALLS = 3;
    private static final double MAX_WINDOW_CALLS = 200;
    /** Calls in the first cold window for each call a second of the warm destination. */
    private static final double WINDOW_CALLS_PER_RATE =
        Oracle.COLD_CAPACITY_SHARE * Oracle.OVERLOAD_MULTIPLE * Oracle.OVERLOAD_WINDOW_MS / 1e3;
    /** Messages a second for each call a second of the warm destination. */
    private static final double MIN_LOAD = 0.3;
    private static final double MAX_LOAD = 2;
    private static final long MIN_START_MS = 5_000;
    private static final long MAX_START_MS = 40_000;
    private static final long MIN_OUTAGE_MS = 1_000;
    private static final long MAX_OUTAGE_MS = 12_000;
    /** Time within which a second outage begins after the first return, which is within the cold time. */
    private static final long MAX_SECOND_OUTAGE_DELAY_MS = 8_000;

    /**
     * An outage of one endpoint in steady, even traffic, with no limits listed.
     *
     * @param seed seed of the run
     * @param relays number of relays
     * @param messagesPerSecond messages a second that all relays together get
     * @param capacityPerSecond calls a second that the warm destination takes
     * @param failure how calls fail
     * @param outageMillis length of the outage
     */
    public static OutageShape steady(long seed, int relays, double messagesPerSecond,
                                     double capacityPerSecond, Failure failure, long outageMillis) {
        return new OutageShape(seed, relays, 1, messagesPerSecond, 1, capacityPerSecond, Weights.NONE, 28_000,
            failure, 15_000, outageMillis, 1, 0, 1, QuietSpell.NONE, Burst.NONE, Restart.NONE);
    }

    /** The same shape with this quiet spell and restart. */
    public OutageShape with(QuietSpell newQuietSpell, Restart newRestart) {
        return new OutageShape(seed, relays, endpoints, messagesPerSecond, busyFactor, capacityPerSecond,
            weights, lifetimeMillis, failure, startMillis, outageMillis, outageCount, intervalMillis,
            limitFactor, newQuietSpell, burst, newRestart);
    }

    /** Draws a shape of any size. */
    public static OutageShape draw(long seed) {
        return draw(seed, FLEET_SIZES);
    }

    /**
     * Draws a shape that can be played by real processes: up to 48 relays, one endpoint, no listed limits,
     * a failure that the stand-ins can play, and little time before the outage.
     */
    static OutageShape drawPlayable(long seed) {
        SplittableRandom seeds = new SplittableRandom(seed);
        OutageShape shape;
        do {
            shape = draw(seeds.nextLong(), PLAYABLE_FLEET_SIZES);
        } while (!OutageRun.canPlay(shape.failure) || shape.startMillis > MAX_PLAYABLE_START_MS
            || shape.endpoints > 1 || shape.weights != Weights.NONE);
        return shape;
    }

    /** Draws a shape with one of these numbers of relays. */
    private static OutageShape draw(long seed, int... fleetSizes) {
        SplittableRandom random = new SplittableRandom(seed);
        int relays;
        double capacity;
        double rate;
        do {
            relays = pick(random, fleetSizes);
            capacity = between(random, MIN_WINDOW_CALLS, MAX_WINDOW_CALLS) / WINDOW_CALLS_PER_RATE;
            rate = capacity * between(random, MIN_LOAD, MAX_LOAD);
        } while (rate / relays < MIN_RELAY_RATE || rate / relays > MAX_RELAY_RATE);
        long outage = (long) between(random, MIN_OUTAGE_MS, MAX_OUTAGE_MS);
        boolean twice = random.nextInt(5) == 0;
        return new OutageShape(seed, relays, 1 + random.nextInt(2), rate, random.nextBoolean() ? 1 : 5,
            capacity, random.nextInt(3) > 0 ? Weights.NONE : pick(random, Weights.values()),
            random.nextInt(3) > 0 ? 28_000 : 6_000, pick(random, Failure.values()),
            (long) between(random, MIN_START_MS, MAX_START_MS), outage, twice ? 2 : 1,
            outage + 500 + random.nextLong(MAX_SECOND_OUTAGE_DELAY_MS),
            random.nextInt(5) == 0 ? 0.5 : 1, drawQuietSpell(random, outage), drawBurst(random, outage),
            drawRestart(random, relays));
    }

    private static QuietSpell drawQuietSpell(SplittableRandom random, long outage) {
        return switch (random.nextInt(4)) {
            case 0 -> new QuietSpell(-6_000, random.nextLong(outage));
            case 1 -> new QuietSpell(-10_000, Math.max(0, outage - random.nextLong(1_500)));
            default -> QuietSpell.NONE;
        };
    }

    private static Burst drawBurst(SplittableRandom random, long outage) {
        return random.nextInt(4) > 0 ? Burst.NONE
            : new Burst(random.nextLong(outage + 1_000) - 500, 1 + 2 * random.nextDouble());
    }

    private static Restart drawRestart(SplittableRandom random, int relays) {
        double[] shares = {1.0 / relays, 0.7, 1};
        return random.nextInt(3) > 0 ? Restart.NONE
            : new Restart(shares[random.nextInt(shares.length)], -3_000 + random.nextLong(6_000));
    }

    /** Draws a value between two bounds such that each factor is equally likely. */
    private static double between(SplittableRandom random, double min, double max) {
        return min * Math.pow(max / min, random.nextDouble());
    }

    private static int pick(SplittableRandom random, int[] values) {
        return values[random.nextInt(values.length)];
    }

    private static <T> T pick(SplittableRandom random, T[] values) {
        return values[random.nextInt(values.length)];
    }
}
