package wrenkeel.net;

import java.util.HashMap;
import java.util.Map;
import wrenkeel.Relay;

/**
 * Checks each attempt against the rules just before it is recorded and sent, independently of the decision
 * module. It uses the journal's record of earlier attempts and the waits as hosts sent them, not the module's
 * state. All methods run on one event loop.
 */
final class SendGuard {
    /** Tolerance for rounding: the module's clock is finer than the journal's times of attempts. */
    private static final long CLOCK_ROUNDING_MS = 2;
    /** Attempts this soon after a wait was received are no violation of it. */
    private static final long WAIT_SLACK_MICROS = 100_000;

    /**
     * What a wait applies to: a whole destination, or one host (else -1) if the destination's endpoints are
     * independent, so that each has a Retry-After of its own.
     */
    private record WaitScope(long destination, long host) { }

    /** A wait that a host has asked for: when that was received, and until when it binds; microseconds. */
    private record Wait(long start, long until) { }

    private final Map<WaitScope, Wait> waits = new HashMap<>();

    /** Returns the scope of a wait that this host asks for. */
    private static WaitScope scopeOf(HostList.Host host, boolean independentEndpoints) {
        return new WaitScope(host.destination, independentEndpoints ? host.id : -1);
    }

    /**
     * Records that a host has asked to wait.
     *
     * @param independentEndpoints each endpoint of the destination has a Retry-After of its own
     * @param nowMicros by the clock of the waits
     * @param waitMicros length of the wait from now
     */
    void recordWait(HostList.Host host, boolean independentEndpoints, long nowMicros, long waitMicros) {
        waits.values().removeIf(wait -> wait.until <= nowMicros);
        waits.merge(scopeOf(host, independentEndpoints), new Wait(nowMicros, nowMicros + waitMicros),
            (one, other) -> one.until > other.until ? one : other);
    }

    /**
     * Returns the rule that an attempt of this message at this host would break; null if it may be sent.
     *
     * @param independentEndpoints each endpoint of the destination has a Retry-After of its own
     * @param nowMillis by the clock of the journal's entry
     * @param nowMicros by the clock of the waits
     */
    Violation findViolation(Journal.Entry entry, Relay.MessageClass messageClass, HostList.Host host,
                            boolean independentEndpoints, long nowMillis, long nowMicros) {
        if (nowMillis > entry.message.deadline()) {
            return Violation.SENT_AFTER_DEADLINE;
        }
        for (Journal.Attempt attempt : entry.attempts) {
            if (attempt.mayHaveRun && !mayRepeat(attempt, messageClass, host, nowMillis)) {
                return Violation.REPEATED_OUTSIDE_ALLOWANCE;
            }
        }
        Wait wait = waits.get(scopeOf(host, independentEndpoints));
        boolean isWithinWait =
            wait != null && nowMicros < wait.until && nowMicros > wait.start + WAIT_SLACK_MICROS;
        return isWithinWait ? Violation.SENT_WITHIN_WAIT : null;
    }

    /** True while a recorded wait applies to the host. */
    boolean mustWait(HostList.Host host, boolean independentEndpoints, long nowMicros) {
        Wait wait = waits.get(scopeOf(host, independentEndpoints));
        return wait != null && nowMicros < wait.until;
    }

    /** True if a message may be sent to this host although this earlier attempt may have been executed. */
    private static boolean mayRepeat(Journal.Attempt earlier, Relay.MessageClass messageClass,
                                     HostList.Host host, long nowMillis) {
        return switch (messageClass.effect()) {
            case SAFE -> true;
            case KEYED ->
                nowMillis - earlier.sentMillis <= messageClass.dedupWindow() / 1_000 + CLOCK_ROUNDING_MS
                    && (!messageClass.dedupPerZone() || earlier.zone == host.zone);
            case UNSAFE -> false;
        };
    }
}
