package wrenkeel.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What becomes of the messages that a start found untried; told in the log once all is known. */
final class RecoverySummary {
    private static final Logger LOG = LoggerFactory.getLogger(RecoverySummary.class);

    private int untried;
    private int tried;
    private int expiredBeforeStart;
    private int expiredSinceStart;
    private int refused;
    private int passedOn;

    void addUntried() {
        untried++;
    }

    void countTried() {
        tried++;
        logIfComplete();
    }

    /** {@code before}: its time was up before the process began. */
    void countEndedUntried(boolean back, boolean before) {
        if (back) {
            refused++;
        } else if (before) {
            expiredBeforeStart++;
        } else {
            expiredSinceStart++;
        }
        logIfComplete();
    }

    void countPassedOn() {
        passedOn++;
        logIfComplete();
    }

    private void logIfComplete() {
        if (tried + expiredBeforeStart + expiredSinceStart + refused + passedOn == untried) {
            LOG.info("{}", this);
        }
    }

    @Override
    public String toString() {
        return "of " + untried + " messages taken up untried, " + tried + " were tried, " + expiredBeforeStart
            + " were out of time before the start, " + expiredSinceStart + " ran out of time, " + refused
            + " were handed back and " + passedOn + " passed on without a call";
    }
}
