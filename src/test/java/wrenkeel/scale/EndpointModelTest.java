package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import wrenkeel.scale.EndpointModel.Behaviour;
import wrenkeel.scale.EndpointModel.Cold;
import wrenkeel.scale.EndpointModel.Limit;
import wrenkeel.scale.EndpointModel.Standing;

final class EndpointModelTest {
    private static final long MS = 1_000_000;
    private static final Behaviour PLAIN = Behaviour.unlimited(20_000, 0);

    private static EndpointModel model(Behaviour behaviour) {
        return new EndpointModel(behaviour, 1);
    }

    @Test
    void answersAfterItsLatency() {
        assertEquals(new EndpointModel.Verdict(200, 20 * MS, 0), model(PLAIN).call(0));
    }

    @Test
    void tellsToWaitUntilTheNextSpanOnceTheLimitIsMet() {
        EndpointModel model = model(PLAIN.with(new Limit(2, 1_000, true, false)));
        model.call(100 * MS);
        model.call(200 * MS);
        assertEquals(new EndpointModel.Verdict(429, 0, 700), model.call(300 * MS));
        assertEquals(200, model.call(1_000 * MS).status());
    }

    @Test
    void refusesWithoutAWaitWhereItTellsNone() {
        EndpointModel model = model(PLAIN.with(new Limit(1, 1_000, false, false)));
        model.call(0);
        assertEquals(new EndpointModel.Verdict(503, 0, 0), model.call(1));
    }

    @Test
    void countsRefusedCallsAgainstTheNextSpanWhereToldTo() {
        EndpointModel model = model(PLAIN.with(new Limit(1, 1_000, false, true)));
        for (int i = 0; i < 3; i++) {
            model.call(i);
        }
        assertEquals(503, model.call(1_000 * MS).status());
    }

    @Test
    void isSilentThroughAnOutageAndColdAfterIt() {
        EndpointModel model = model(PLAIN.with(new Limit(10, 1_000, false, false))
            .with(new Cold(0.2, 10_000, 0, 1_000, 0)));
        model.stand(Standing.SILENT, 0);
        assertEquals(0, model.call(1).status());
        model.stand(Standing.SERVING, 5_000 * MS);
        assertEquals(2, taken(model, 5_000, 20));
        // Half way: 0.2 + 0.8 / 2 of the limit.
        assertEquals(6, taken(model, 10_000, 20));
        assertEquals(10, taken(model, 15_000, 20));
    }

    private static int taken(EndpointModel model, long atMillis, int calls) {
        int taken = 0;
        for (int i = 0; i < calls; i++) {
            taken += model.call(atMillis * MS).status() == 200 ? 1 : 0;
        }
        return taken;
    }

    @Test
    void fallsUnderTooManyCallsWhileItIsColdAndIsBackAfterThat() {
        EndpointModel model = model(PLAIN.with(new Limit(10, 1_000, false, false))
            .with(new Cold(0.2, 10_000, 2, 2_000, 3_000)));
        assertEquals(10, taken(model, 0, 100), "warm it only refuses");
        model.stand(Standing.SILENT, 0);
        model.stand(Standing.SERVING, 5_000 * MS);
        // It bears 2 a second at first: 8 calls in 2 s are twice that, and one more is too many.
        assertEquals(2, taken(model, 5_000, 8));
        assertEquals(0, model.falls());
        assertEquals(0, model.call(5_000 * MS).status());
        assertEquals(1, model.falls());
        assertEquals(0, model.call(7_999 * MS).status());
        assertEquals(200, model.call(8_000 * MS).status());
        assertEquals(1, model.falls());
    }

    @Test
    void turnsEverybodyAwayWhileShut() {
        EndpointModel model = model(PLAIN);
        model.shutUntil(300 * MS);
        assertEquals(new EndpointModel.Verdict(429, 0, 100), model.call(200 * MS));
        assertEquals(200, model.call(300 * MS).status());
    }

    @Property
    void takesNoMoreThanItsLimitInASpan(@ForAll @Size(max = 200) int[] gaps,
                                        @ForAll @IntRange(min = 1, max = 9) int limit,
                                        @ForAll boolean refusedCount) {
        EndpointModel model = model(PLAIN.with(new Limit(limit, 100, true, refusedCount)));
        Map<Long, Integer> taken = new HashMap<>();
        long now = 0;
        for (int gap : gaps) {
            now += Math.floorMod(gap, 60) * MS;
            EndpointModel.Verdict verdict = model.call(now);
            if (verdict.status() == 200) {
                assertTrue(taken.merge(now / (100 * MS), 1, Integer::sum) <= limit);
            } else {
                assertEquals(0, (now + verdict.waitMillis() * MS) % (100 * MS),
                    "the wait ends with the span");
            }
        }
    }
}
