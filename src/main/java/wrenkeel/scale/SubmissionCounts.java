package wrenkeel.scale;

import org.HdrHistogram.Histogram;

/**
 * Counts how the relay responded to the messages that stand-in clients submitted during one measurement.
 * Only the clients' event loop thread records; any thread may read.
 */
final class SubmissionCounts {
    /** Upper bound of the histograms; by default clients wait at most 400 ms for an answer. */
    private static final long MAX_MICROS = 10_000_000;

    private volatile long due, accepted, refused, failed, timedOut, connectionsLost, notSent;
    /** Microseconds from a message's due time to its answer. */
    private final Histogram answerLatency = new Histogram(MAX_MICROS, 3);
    /** Microseconds from a message's due time to its submission. */
    private final Histogram submissionDelay = new Histogram(MAX_MICROS, 3);

    /**
     * Records a submission; {@code delayMicros}: time since it was due, a delay of the clients, not of the
     * relay.
     */
    synchronized void recordSubmitted(long delayMicros) {
        due++;
        submissionDelay.recordValue(Math.min(MAX_MICROS, Math.max(0, delayMicros)));
    }

    /**
     * Records an answer. {@code micros} counts from the message's due time, so it includes a delay of the
     * clients.
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

    /** Messages due during the measurement, whatever their result. */
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

    /** Answered with any other status. */
    long failed() {
        return failed;
    }

    /** Not answered within the clients' timeout. */
    long timedOut() {
        return timedOut;
    }

    /** The connection was refused, or closed before the answer. */
    long connectionsLost() {
        return connectionsLost;
    }

    /** Not sent, because all connections were busy. */
    long notSent() {
        return notSent;
    }

    /** Whether each message that was due has a result. */
    boolean isComplete() {
        return accepted + refused + failed + timedOut + connectionsLost + notSent == due;
    }

    /** Milliseconds from a message's due time to its submission, at this percentile. */
    synchronized double submissionDelayMillis(double percentile) {
        return submissionDelay.getValueAtPercentile(percentile) / 1e3;
    }

    /** Milliseconds from a message's due time to its answer, at this percentile. */
    synchronized double answerMillis(double percentile) {
        return answerLatency.getValueAtPercentile(percentile) / 1e3;
    }
}
