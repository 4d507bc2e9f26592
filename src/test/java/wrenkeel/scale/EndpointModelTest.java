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
import wrenkeel.scale.EndpointModel.ColdStart;
import wrenkeel.scale.EndpointModel.Limit;
import wrenkeel.scale.EndpointModel.Mode;

final class EndpointModelTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final Behaviour PLAIN = Behaviour.unlimited(20_000, 0);

    private static EndpointModel model(Behaviour behaviour) {
        return new EndpointModel(behaviour, 1);
    }

    @Test
    void answersAfterItsLatency() {
        assertEquals(new EndpointModel.Response(200, 20 * NANOS_PER_MS, 0), model(PLAIN).handleCall(0));
    }

    @Test
    void sendsRetryAfterUntilTheNextWindowOnceTheLimitIsReached() {
        EndpointModel model = model(PLAIN.with(new Limit(2, 1_000, true, false)));
        model.handleCall(100 * NANOS_PER_MS);
        model.handleCall(200 * NANOS_PER_MS);
        assertEquals(new EndpointModel.Response(429, 0, 700), model.handleCall(300 * NANOS_PER_MS));
        assertEquals(200, model.handleCall(1_000 * NANOS_PER_MS).status());
    }

    @Test
    void refusesWithoutRetryAfterWhereTheLimitSendsNone() {
        EndpointModel model = model(PLAIN.with(new Limit(1, 1_000, false, false)));
        model.handleCall(0);
        assertEquals(new EndpointModel.Response(503, 0, 0), model.handleCall(1));
    }

    @Test
    void countsRefusedCallsAgainstTheNextWindowWhereConfigured() {
        EndpointModel model = model(PLAIN.with(new Limit(1, 1_000, false, true)));
        for (int i = 0; i < 3; i++) {
            model.handleCall(i);
        }
        assertEquals(503, model.handleCall(1_000 * NANOS_PER_MS).status());
    }

    @Test
    void isSilentDuringAnOutageAndHasReducedCapacityAfterIt() {
        EndpointModel model = model(PLAIN.with(new Limit(10, 1_000, false, false))
            .with(new ColdStart(0.2, 10_000, 0, 1_000, 0)));
        model.setMode(Mode.SILENT, 0);
        assertEquals(0, model.handleCall(1).status());
        model.setMode(Mode.SERVING, 5_000 * NANOS_PER_MS);
        assertEquals(2, countAccepted(model, 5_000, 20));
        // Halfway through the cold start: 0.2 + 0.8 / 2 of the limit.
        assertEquals(6, countAccepted(model, 10_000, 20));
        assertEquals(10, countAccepted(model, 15_000, 20));
    }

    private static int countAccepted(EndpointModel model, long atMillis, int calls) {
        int accepted = 0;
        for (int i = 0; i < calls; i++) {
            accepted += model.handleCall(atMillis * NANOS_PER_MS).status() == 200 ? 1 : 0;
        }
        return accepted;
    }

    @Test
    void collapsesUnderTooManyCallsDuringAColdStartAndRecovers() {
        EndpointModel model = model(PLAIN.with(new Limit(10, 1_000, false, false))
            .with(new ColdStart(0.2, 10_000, 2, 2_000, 3_000)));
        assertEquals(10, countAccepted(model, 0, 100),
            "without a cold start it only refuses calls over the limit");
        model.setMode(Mode.SILENT, 0);
        model.setMode(Mode.SERVING, 5_000 * NANOS_PER_MS);
        // It accepts 2 calls per second at first. 8 calls in 2 s are twice that; one more makes it collapse.
        assertEquals(2, countAccepted(model, 5_000, 8));
        assertEquals(0, model.collapses());
        assertEquals(0, model.handleCall(5_000 * NANOS_PER_MS).status());
        assertEquals(1, model.collapses());
        assertEquals(0, model.handleCall(7_999 * NANOS_PER_MS).status());
        assertEquals(200, model.handleCall(8_000 * NANOS_PER_MS).status());
        assertEquals(1, model.collapses());
    }

    @Test
    void refusesEveryCallUntilTheGivenTime() {
        EndpointModel model = model(PLAIN);
        model.refuseUntil(300 * NANOS_PER_MS);
        assertEquals(new EndpointModel.Response(429, 0, 100), model.handleCall(200 * NANOS_PER_MS));
        assertEquals(200, model.handleCall(300 * NANOS_PER_MS).status());
    }

    @Property
    void acceptsNoMoreThanItsLimitInAWindow(@ForAll @Size(max = 200) int[] gaps,
                                            @ForAll @IntRange(min = 1, max = 9) int limit,
                                            @ForAll boolean countsRefusedCalls) {
        EndpointModel model = model(PLAIN.with(new Limit(limit, 100, true, countsRefusedCalls)));
        Map<Long, Integer> accepted = new HashMap<>();
        long now = 0;
        for (int gap : gaps) {
            now += Math.floorMod(gap, 60) * NANOS_PER_MS;
            EndpointModel.Response response = model.handleCall(now);
            if (response.status() == 200) {
                assertTrue(accepted.merge(now / (100 * NANOS_PER_MS), 1, Integer::sum) <= limit);
            } else {
                assertEquals(0, (now + response.retryAfterMillis() * NANOS_PER_MS) % (100 * NANOS_PER_MS),
                    "Retry-After ends with the window");
            }
        }
    }
}
