package wrenkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import wrenkeel.soak.ColdStartBudget.Overload;
import wrenkeel.soak.ColdStartBudget.TimedCall;

/** The first window over a cold destination's bound, and whose calls it holds. */
class ColdStartBudgetTest {
    private static final long RETURN_MILLIS = 10_000;
    private final ColdStartBudget budget = new ColdStartBudget(20, 0.2, 10_000, 2, 2_000);

    /** Calls in one instant after the return, of which the first ones are from relays told of the outage. */
    private static List<TimedCall> calls(int count, int told) {
        return IntStream.range(0, count).mapToObj(i -> new TimedCall(RETURN_MILLIS + 100, i < told)).toList();
    }

    @Test
    void noOverloadUpToTheBound() {
        assertTrue(budget.firstOverload(RETURN_MILLIS, calls(31, 31)).isEmpty(),
            "the bound is 16 + 3 * sqrt(16) + 3");
    }

    @Test
    void overloadBreaksTheRuleOnlyWithOverTwoThirdsOfToldRelays() {
        Overload two = budget.firstOverload(RETURN_MILLIS, calls(33, 21)).orElseThrow();
        assertEquals(32, two.calls());
        assertFalse(two.isBroken());
        assertTrue(budget.firstOverload(RETURN_MILLIS, calls(33, 22)).orElseThrow().isBroken());
    }
}
