package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

final class DeliveriesTest {
    private static final long MS = 1_000_000;

    @Test
    void countsEachMessageOfTheSpanOnceAndTimesItsFirstCall() {
        Deliveries deliveries = new Deliveries(10);
        deliveries.until(12);
        for (long sequence = 9; sequence <= 12; sequence++) {
            MessageId id = new MessageId(sequence, 0);
            deliveries.called(id, 5 * MS);
            deliveries.called(id, 90 * MS);
            deliveries.delivered(id, 100 * MS);
        }
        deliveries.delivered(new MessageId(11, 0), 200 * MS);
        deliveries.delivered(null, 0);
        assertEquals(2, deliveries.count());
        assertEquals(2, deliveries.calledCount());
        assertEquals(1, deliveries.duplicates());
        assertEquals(5, deliveries.callMillis(99), 0.01);
        assertEquals(100, deliveries.deliveryMillis(99), 0.1);
    }
}
