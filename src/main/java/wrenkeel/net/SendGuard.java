package wrenkeel.net;

import java.util.HashMap;
import java.util.Map;
import wrenkeel.Relay;

/**
 * The last look at each send before it is written down: whatever was decided, what the rules forbid does not
 * go out. It goes by the journal's own record of earlier attempts and by the waits as they were heard, not by
 * what the module holds. One event loop.
 */
final class SendGuard {
    /** ms; the module's clock is finer than the record of attempts. */
    private static final long ROUNDING = 2;
    /** us; calls that come so soon after the word to wait are let through. */
    private static final long WAIT_SLACK = 100_000;

    /** What a wait binds: a whole destination, or one host where routes are apart. */
    private record Lane(long destination, long host) { }

    private record Wait(long heard, long until) { }

    private final Map<Lane, Wait> waits = new HashMap<>();

    private static Lane lane(HostList.Host host, boolean apart) {
        return new Lane(host.destination, apart ? host.id : -1);
    }

    /** A host has told to wait for so long from now on; times in microseconds. */
    void heardWait(HostList.Host host, boolean apart, long now, long span) {
        waits.values().removeIf(wait -> wait.until <= now);
        waits.merge(lane(host, apart), new Wait(now, now + span),
            (one, other) -> one.until > other.until ? one : other);
    }

    /**
     * What a send of this message to this host would break; null if it may go out.
     *
     * @param nowMillis by the clock of the journal's entry
     * @param nowMicros by the clock of the waits
     */
    Violation check(Journal.Entry entry, Relay.MessageClass rules, HostList.Host host, boolean apart,
                    long nowMillis, long nowMicros) {
        if (nowMillis > entry.message.deadline()) {
            return Violation.SENT_AFTER_DEADLINE;
        }
        for (Journal.Attempt attempt : entry.attempts) {
            if (attempt.mayHaveRun && !mayRepeat(attempt, rules, host, nowMillis)) {
                return Violation.REPEATED_OUTSIDE_ALLOWANCE;
            }
        }
        Wait wait = waits.get(lane(host, apart));
        boolean waits = wait != null && nowMicros < wait.until && nowMicros > wait.heard + WAIT_SLACK;
        return waits ? Violation.SENT_WITHIN_WAIT : null;
    }

    /** True while a wait that has been heard is not over. */
    boolean mustWait(HostList.Host host, boolean apart, long nowMicros) {
        Wait wait = waits.get(lane(host, apart));
        return wait != null && nowMicros < wait.until;
    }

    private static boolean mayRepeat(Journal.Attempt before, Relay.MessageClass rules, HostList.Host host,
                                     long nowMillis) {
        return switch (rules.effect()) {
            case SAFE -> true;
            case KEYED -> nowMillis - before.sent <= rules.window() / 1_000 + ROUNDING
                && (!rules.zoneGroup() || before.zone == host.zone);
            case UNSAFE -> false;
        };
    }
}
