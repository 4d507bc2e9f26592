package wrenkeel.scale;

import java.util.BitSet;
import org.HdrHistogram.Histogram;

/**
 * Records which messages of one measurement reached their destination, and with what delay. Only messages
 * whose sequence number is at least {@code firstSequence} and, after {@link #endBefore}, below its argument
 * are counted. The destinations report from any of their threads; all methods are thread-safe.
 */
final class Deliveries implements CallObserver {
    /**
     * Upper bound of the histograms, far above the lifetime of any message; longer times are recorded as
     * this.
     */
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;

    private final long firstSequence;
    private long endSequence = Long.MAX_VALUE;
    /** Messages, by their offset from the first one, of which a destination received a call. */
    private final BitSet calledMessages = new BitSet();
    /** Messages, by their offset from the first one, that a destination accepted. */
    private final BitSet deliveredMessages = new BitSet();
    private long duplicates;
    /** Microseconds from a message's due time to the last byte of its first call. */
    private final Histogram callLatency = new Histogram(MAX_LATENCY_MICROS, 3);
    /** Microseconds from a message's due time to the response that accepted it first. */
    private final Histogram deliveryLatency = new Histogram(MAX_LATENCY_MICROS, 3);

    /** {@code firstSequence}: sequence number of the first message that is counted. */
    Deliveries(long firstSequence) {
        this.firstSequence = firstSequence;
    }

    /** Stops counting messages with this or a higher sequence number. */
    synchronized void endBefore(long sequence) {
        endSequence = sequence;
    }

    @Override
    public void callReceived(int endpoint, MessageId id, EndpointModel.Response response, long nowNanos) {
        recordCall(id, nowNanos);
    }

    @Override
    public void messageDelivered(int endpoint, MessageId id, long nowNanos) {
        recordDelivery(id, nowNanos);
    }

    /** Records that the last byte of a call with the message was received; only the first call is timed. */
    synchronized void recordCall(MessageId id, long nowNanos) {
        if (isCounted(id) && !calledMessages.get(indexOf(id))) {
            calledMessages.set(indexOf(id));
            callLatency.recordValue(latencyMicros(id, nowNanos));
        }
    }

    /** Records that the message was accepted, by status 200 or in the response to a batch. */
    synchronized void recordDelivery(MessageId id, long nowNanos) {
        if (!isCounted(id)) {
            return;
        }
        if (deliveredMessages.get(indexOf(id))) {
            duplicates++;
        } else {
            deliveredMessages.set(indexOf(id));
            deliveryLatency.recordValue(latencyMicros(id, nowNanos));
        }
    }

    private boolean isCounted(MessageId id) {
        return id != null && id.sequence() >= firstSequence && id.sequence() < endSequence
            && id.sequence() - firstSequence < Integer.MAX_VALUE;
    }

    private int indexOf(MessageId id) {
        return (int) (id.sequence() - firstSequence);
    }

    private static long latencyMicros(MessageId id, long nowNanos) {
        return Math.min(MAX_LATENCY_MICROS, Math.max(0, (nowNanos - id.dueNanos()) / 1_000));
    }

    /** Number of messages delivered at least once. */
    synchronized long deliveredCount() {
        return deliveredMessages.cardinality();
    }

    /** Number of messages that arrived in at least one call. */
    synchronized long calledCount() {
        return calledMessages.cardinality();
    }

    /** Number of deliveries beyond the first one of each message. */
    synchronized long duplicates() {
        return duplicates;
    }

    /** Milliseconds from a message's due time to the last byte of its first call, at this percentile. */
    synchronized double callMillis(double percentile) {
        return callLatency.getValueAtPercentile(percentile) / 1e3;
    }

    /** Milliseconds from a message's due time to the response that accepted it, at this percentile. */
    synchronized double deliveryMillis(double percentile) {
        return deliveryLatency.getValueAtPercentile(percentile) / 1e3;
    }
}
