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
    /** The first byte of a call was sent to an endpoint that is draining or gone by the host list. */
    SENT_WHILE_DRAINING,
    /** A second end was decided for a message. */
    ENDED_TWICE,
    /** The platform received the end of a message later than it was due. */
    ENDED_LATE,
    /** This process closed a connection while a whole request on it was unanswered. */
    CLOSED_UNANSWERED;

    /** Returns its name in the metrics. */
    String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
