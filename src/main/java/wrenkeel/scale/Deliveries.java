package wrenkeel.scale;

import java.util.BitSet;
import org.HdrHistogram.Histogram;

/**
 * Which messages of one measured span have reached their destination, and how late. Counted at the
 * destinations, by any thread; only messages from {@code first} on count, and once {@link #until} is called
 * only those before its number.
 */
final class Deliveries implements CallObserver {
    /** us; the longest time told apart, far past any message's life. */
    private static final long LONGEST = 3_600_000_000L;

    private final long first;
    private long end = Long.MAX_VALUE;
    private final BitSet called = new BitSet(), delivered = new BitSet();
    private long duplicates;
    private final Histogram untilCall = new Histogram(LONGEST, 3), untilDelivered = new Histogram(LONGEST, 3);

    /** {@code first}: sequence number of the first message that counts. */
    Deliveries(long first) {
        this.first = first;
    }

    /** Messages from this sequence number on no longer count. */
    synchronized void until(long sequence) {
        end = sequence;
    }

    @Override
    public void called(int endpoint, MessageId id, EndpointModel.Verdict verdict, long nowNanos) {
        called(id, nowNanos);
    }

    @Override
    public void delivered(int endpoint, MessageId id, long nowNanos) {
        delivered(id, nowNanos);
    }

    /** The last byte of a call with the message has come; the first such call is timed. */
    synchronized void called(MessageId id, long nowNanos) {
        if (counts(id) && !called.get(index(id))) {
            called.set(index(id));
            untilCall.recordValue(micros(id, nowNanos));
        }
    }

    /** The message is answered with 200, or as accepted in a bundle's answer. */
    synchronized void delivered(MessageId id, long nowNanos) {
        if (!counts(id)) {
            return;
        }
        if (delivered.get(index(id))) {
            duplicates++;
        } else {
            delivered.set(index(id));
            untilDelivered.recordValue(micros(id, nowNanos));
        }
    }

    private boolean counts(MessageId id) {
        return id != null && id.sequence() >= first && id.sequence() < end
            && id.sequence() - first < Integer.MAX_VALUE;
    }

    private int index(MessageId id) {
        return (int) (id.sequence() - first);
    }

    private static long micros(MessageId id, long nowNanos) {
        return Math.min(LONGEST, Math.max(0, (nowNanos - id.dueNanos()) / 1_000));
    }

    /** Messages delivered at least once. */
    synchronized long count() {
        return delivered.cardinality();
    }

    /** Messages that were called for at least once. */
    synchronized long calledCount() {
        return called.cardinality();
    }

    /** Deliveries beyond a message's first. */
    synchronized long duplicates() {
        return duplicates;
    }

    /** ms from when a message was due until the last byte of its first call, at this percentile. */
    synchronized double callMillis(double percentile) {
        return untilCall.getValueAtPercentile(percentile) / 1e3;
    }

    /** ms from when a message was due until its delivery was answered, at this percentile. */
    synchronized double deliveryMillis(double percentile) {
        return untilDelivered.getValueAtPercentile(percentile) / 1e3;
    }
}
