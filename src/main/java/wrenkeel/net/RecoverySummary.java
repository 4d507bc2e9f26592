package wrenkeel.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts what becomes of the messages that this process recovered without an attempt made so far. Logs the
 * counts when all of these messages are accounted for, and again if more were recovered later. One thread.
 */
final class RecoverySummary {
    private static final Logger LOG = LoggerFactory.getLogger(RecoverySummary.class);

    /** Messages recovered without an attempt. */
    private int untried;
    /** Of these, messages with an attempt since. */
    private int attempted;
    /** Failed because their deadline had passed before the process began. */
    private int expiredBeforeStart;
    /** Failed for want of time since the process began. */
    private int expiredSinceStart;
    private int refused;
    private int passedOn;

    /** Counts a message that was recovered without an attempt. */
    void addUntried() {
        untried++;
    }

    /** Counts a message whose first attempt is made now. */
    void countAttempted() {
        attempted++;
        logIfComplete();
    }

    /**
     * Counts a message that ends without an attempt.
     *
     * @param isRefused whether it was refused; otherwise it failed
     * @param isExpiredBeforeStart whether its deadline had passed before the process began
     */
    void countEndedUntried(boolean isRefused, boolean isExpiredBeforeStart) {
        if (isRefused) {
            refused++;
        } else if (isExpiredBeforeStart) {
            expiredBeforeStart++;
        } else {
            expiredSinceStart++;
        }
        logIfComplete();
    }

    /** Counts a message that is passed on to the next process without an attempt. */
    void countPassedOn() {
        passedOn++;
        logIfComplete();
    }

    private void logIfComplete() {
        if (attempted + expiredBeforeStart + expiredSinceStart + refused + passedOn == untried) {
            LOG.info("{}", this);
        }
    }

    @Override
    public String toString() {
        return "recovered " + untried + " messages without an attempt: " + attempted + " attempted since, "
            + expiredBeforeStart + " expired before the start, " + expiredSinceStart + " expired since, "
            + refused + " refused, " + passedOn + " passed on without an attempt";
    }
}
