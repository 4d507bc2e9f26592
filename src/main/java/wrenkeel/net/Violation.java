package wrenkeel.net;

import java.util.Locale;

/** What this process must never do. Each is checked where it would happen, counted and logged. */
enum Violation {
    /** A send after the message's time was up. */
    SENT_AFTER_DEADLINE,
    /** A repeat that the message's class does not allow. */
    REPEATED_OUTSIDE_ALLOWANCE,
    /** A send to a destination that has told to wait. */
    SENT_WITHIN_WAIT,
    /** The first byte of a call to an endpoint that is draining or gone by the list. */
    SENT_WHILE_DRAINING,
    /** A second end of a message. */
    ENDED_TWICE,
    /** An end that the platform had later than it is due. */
    ENDED_LATE,
    /** A connection closed by this process with a whole request on it unanswered. */
    CLOSED_UNANSWERED;

    /** Its name among the operators' figures. */
    String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
