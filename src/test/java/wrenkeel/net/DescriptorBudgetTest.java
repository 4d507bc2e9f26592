package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** All connections together stay within the process's limit of file descriptors. */
class DescriptorBudgetTest {
    /**
     * The watch, the notices, the journal and the operators must get their descriptors however many
     * clients connect and however many slots are configured.
     */
    @ParameterizedTest
    @ValueSource(ints = {DescriptorBudget.MIN_LIMIT, 128, 192, 256, 384, 1_024})
    void sharesStayWithinTheLimitForAnyNumberOfSlots(int limit) {
        for (int slots = 1; slots <= 4_096; slots++) {
            DescriptorBudget shares = DescriptorBudget.of(limit, slots);
            assertTrue(shares.clientConnections() > 0 && shares.clientConnections() <= limit / 3);
            assertTrue(shares.hostConnections() > 0);
            assertTrue(
                shares.clientConnections() + shares.hostConnections() + DescriptorBudget.RESERVED <= limit,
                limit + " descriptors, " + slots + " slots: " + shares);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 8, 64, 80})
    void everySlotHasAConnectionWhereTheLimitAllowsIt(int slots) {
        assertTrue(DescriptorBudget.of(256, slots).hostConnections() >= slots + slots / 4);
    }
}
