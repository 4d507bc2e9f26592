package wrenkeel.scale;

import java.util.BitSet;
import org.HdrHistogram.Histogram;

/**
 * Which messages of one measured span have reached their destination, and how late. Counted at the
 * destinations, by any thread; only messages from {@code firstSequence} on count, and once {@link #endBefore} is called
 * only those before its number.
 */
final class Deliveries implements CallObserver {
    /** us; the longest time told apart, far past any message's life. */
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;

    private final long firstSequence;
    private long endSequence = Long.MAX_VALUE;
    private final BitSet calledMessages = new BitSet(), deliveredMessages = new BitSet();
    private long duplicates;
    private final Histogram callLatency = new Histogram(MAX_LATENCY_MICROS, 3), deliveryLatency = new Histogram(MAX_LATENCY_MICROS, 3);

    /** {@code firstSequence}: sequence number of the first message that counts. */
    Deliveries(long first) {
        this.firstSequence = first;
    }

    /** Messages from this sequence number on no longer count. */
    synchronized void endBefore(long sequence) {
        endSequence = sequence;
    }

    @Override
    public void callReceived(int endpoint, MessageId id, EndpointModel.Response verdict, long nowNanos) {
        called(id, nowNanos);
    }

    @Override
    public void messageDelivered(int endpoint, MessageId id, long nowNanos) {
        delivered(id, nowNanos);
    }

    /** The last byte of a call with the message has come; the first such call is timed. */
    synchronized void called(MessageId id, long nowNanos) {
        if (isCounted(id) && !calledMessages.get(indexOf(id))) {
            calledMessages.set(indexOf(id));
            callLatency.recordValue(latencyMicros(id, nowNanos));
        }
    }

    /** The message is answered with 200, or as accepted in a bundle's answer. */
    synchronized void delivered(MessageId id, long nowNanos) {
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

    /** Messages delivered at least once. */
    synchronized long deliveredCount() {
        return deliveredMessages.cardinality();
    }

    /** Messages that were called for at least once. */
    synchronized long calledCount() {
        return calledMessages.cardinality();
    }

    /** Deliveries beyond a message's first. */
    synchronized long duplicates() {
        return duplicates;
    }

    /** ms from when a message was due until the last byte of its first call, at this percentile. */
    synchronized double callMillis(double percentile) {
        return callLatency.getValueAtPercentile(percentile) / 1e3;
    }

    /** ms from when a message was due until its delivery was answered, at this percentile. */
    synchronized double deliveryMillis(double percentile) {
        return deliveryLatency.getValueAtPercentile(percentile) / 1e3;
    }
}
