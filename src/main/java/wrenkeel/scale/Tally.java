package wrenkeel.scale;

import org.HdrHistogram.Histogram;

/**
 * How the messages of one measured span were met at the relay's door. Written by the clients' thread alone.
 */
final class Tally {
    /** us; answers come within 400 ms or not at all. */
    private static final long LONGEST = 10_000_000;

    private volatile long due, taken, refused, failed, unanswered, broken, unsent;
    private final Histogram answers = new Histogram(LONGEST, 3), late = new Histogram(LONGEST, 3);

    /** A message is handed in so long after it was due: the clients' own lag, no fault of the relay. */
    synchronized void handedIn(long lateMicros) {
        due++;
        late.recordValue(Math.min(LONGEST, Math.max(0, lateMicros)));
    }

    /**
     * An answer came so long after the message was due: later than it was sent if the clients were behind.
     */
    synchronized void answered(int status, long micros) {
        answers.recordValue(Math.min(LONGEST, Math.max(0, micros)));
        if (status == 200 || status == 202) {
            taken++;
        } else if (status == 429 || status == 503) {
            refused++;
        } else {
            failed++;
        }
    }

    void noAnswer() {
        unanswered++;
    }

    void brokenOff() {
        broken++;
    }

    void notSent() {
        unsent++;
    }

    /** Messages due in the span, whatever became of them. */
    long due() {
        return due;
    }

    /** Answered 200 or 202. */
    long taken() {
        return taken;
    }

    /** Answered 429 or 503. */
    long refused() {
        return refused;
    }

    /** Answered otherwise. */
    long failed() {
        return failed;
    }

    /** Without an answer in 400 ms. */
    long unanswered() {
        return unanswered;
    }

    /** Connection refused, or ended before the answer. */
    long broken() {
        return broken;
    }

    /** All connections were busy. */
    long unsent() {
        return unsent;
    }

    /** True once each message that was due has met one of the ends. */
    boolean settled() {
        return taken + refused + failed + unanswered + broken + unsent == due;
    }

    /** ms from when a message was due until its client handed it in, at this percentile. */
    synchronized double lateMillis(double percentile) {
        return late.getValueAtPercentile(percentile) / 1e3;
    }

    /** ms from when a message was due until its client had the answer, at this percentile. */
    synchronized double answerMillis(double percentile) {
        return answers.getValueAtPercentile(percentile) / 1e3;
    }
}
