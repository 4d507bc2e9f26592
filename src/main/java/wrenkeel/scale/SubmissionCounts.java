package wrenkeel.scale;

import org.HdrHistogram.Histogram;

/**
 * How the messages of one measured span were met at the relay's door. Written by the clients' thread alone.
 */
final class SubmissionCounts {
    /** us; answers come within 400 ms or not at all. */
    private static final long MAX_MICROS = 10_000_000;

    private volatile long due, accepted, refused, failed, timedOut, connectionsLost, notSent;
    private final Histogram answerLatency = new Histogram(MAX_MICROS, 3), submissionDelay = new Histogram(MAX_MICROS, 3);

    /** A message is handed in so long after it was due: the clients' own lag, no fault of the relay. */
    synchronized void recordSubmitted(long lateMicros) {
        due++;
        submissionDelay.recordValue(Math.min(MAX_MICROS, Math.max(0, lateMicros)));
    }

    /**
     * An answer came so long after the message was due: later than it was sent if the clients were behind.
     */
    synchronized void recordAnswered(int status, long micros) {
        answerLatency.recordValue(Math.min(MAX_MICROS, Math.max(0, micros)));
        if (status == 200 || status == 202) {
            accepted++;
        } else if (status == 429 || status == 503) {
            refused++;
        } else {
            failed++;
        }
    }

    void recordTimedOut() {
        timedOut++;
    }

    void recordConnectionLost() {
        connectionsLost++;
    }

    void recordNotSent() {
        notSent++;
    }

    /** Messages due in the span, whatever became of them. */
    long due() {
        return due;
    }

    /** Answered 200 or 202. */
    long accepted() {
        return accepted;
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
    long timedOut() {
        return timedOut;
    }

    /** Connection refused, or ended before the answer. */
    long connectionsLost() {
        return connectionsLost;
    }

    /** All connections were busy. */
    long notSent() {
        return notSent;
    }

    /** True once each message that was due has met one of the ends. */
    boolean isComplete() {
        return accepted + refused + failed + timedOut + connectionsLost + notSent == due;
    }

    /** ms from when a message was due until its client handed it in, at this percentile. */
    synchronized double submissionDelayMillis(double percentile) {
        return submissionDelay.getValueAtPercentile(percentile) / 1e3;
    }

    /** ms from when a message was due until its client had the answer, at this percentile. */
    synchronized double answerMillis(double percentile) {
        return answerLatency.getValueAtPercentile(percentile) / 1e3;
    }
}
