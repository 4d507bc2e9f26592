package wrenkeel.net;

import java.util.Locale;

/**
 * Rules that this process must never break. Each is checked where it could be broken; breaches are counted
 * and logged.
 */
enum Violation {
    /** An attempt was sent after the message's deadline. */
    SENT_AFTER_DEADLINE,
    /** An attempt was repeated although the message's class does not allow it. */
    REPEATED_OUTSIDE_ALLOWANCE,
    /** An attempt was sent to a destination that had asked to wait (Retry-After). */
    SENT_WITHIN_WAIT,
    /** The first byte of a call was sent to an endpoint that the list has as draining or gone. */
    SENT_WHILE_DRAINING,
    /** A second end was decided for a message. */
    ENDED_TWICE,
    /** The platform received a message's end too late. */
    ENDED_LATE,
    /** This process closed a connection over an unanswered whole request. */
    CLOSED_UNANSWERED;

    /** Returns its name in the metrics. */
    String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
