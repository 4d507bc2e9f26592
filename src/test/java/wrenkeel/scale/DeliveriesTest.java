package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

final class DeliveriesTest {
    private static final long NANOS_PER_MS = 1_000_000;

    @Test
    void countsEachMessageInTheSpanOnceAndTimesItsFirstCall() {
        Deliveries deliveries = new Deliveries(10);
        deliveries.endBefore(12);
        for (long sequence = 9; sequence <= 12; sequence++) {
            MessageId id = new MessageId(sequence, 0);
            deliveries.recordCall(id, 5 * NANOS_PER_MS);
            deliveries.recordCall(id, 90 * NANOS_PER_MS);
            deliveries.recordDelivery(id, 100 * NANOS_PER_MS);
        }
        deliveries.recordDelivery(new MessageId(11, 0), 200 * NANOS_PER_MS);
        deliveries.recordDelivery(null, 0);
        assertEquals(2, deliveries.deliveredCount());
        assertEquals(2, deliveries.calledCount());
        assertEquals(1, deliveries.duplicates());
        assertEquals(5, deliveries.callMillis(99), 0.01);
        assertEquals(100, deliveries.deliveryMillis(99), 0.1);
    }
}
