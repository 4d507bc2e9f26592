package wrenkeel.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What becomes of the messages that a start found untried; told in the log once all is known. */
final class TakenUp {
    private static final Logger LOG = LoggerFactory.getLogger(TakenUp.class);

    private int untried;
    private int tried;
    private int expired;
    private int timeUp;
    private int handedBack;
    private int passedOn;

    void untried() {
        untried++;
    }

    void tried() {
        tried++;
        tell();
    }

    /** {@code before}: its time was up before the process began. */
    void endedUntried(boolean back, boolean before) {
        if (back) {
            handedBack++;
        } else if (before) {
            expired++;
        } else {
            timeUp++;
        }
        tell();
    }

    void passedOn() {
        passedOn++;
        tell();
    }

    private void tell() {
        if (tried + expired + timeUp + handedBack + passedOn == untried) {
            LOG.info("{}", this);
        }
    }

    @Override
    public String toString() {
        return "of " + untried + " messages taken up untried, " + tried + " were tried, " + expired
            + " were out of time before the start, " + timeUp + " ran out of time, " + handedBack
            + " were handed back and " + passedOn + " passed on without a call";
    }
}
