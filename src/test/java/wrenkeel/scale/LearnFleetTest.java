package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.Test;
import wrenkeel.scale.EndpointModel.Behaviour;
import wrenkeel.scale.EndpointModel.Limit;

final class LearnFleetTest {
    private static final Behaviour PLAIN = Behaviour.unlimited(100_000, 0);

    private static Map<String, Double> play(LearnFleet.Setup setup, long seed) throws IOException {
        return new LearnFleet(setup, LearnExperiment.relaySettings(setup.relays()), seed).play(60, 120);
    }

    @Test
    void deliversAllMessagesWithoutLimitsAndOutages() throws IOException {
        Map<String, Double> values = play(new LearnFleet.Setup(3, 4, 1, PLAIN, 0, 1, false), 1);
        assertEquals(100, values.get("delivered_percent"));
        assertEquals(0, values.get("refused_calls_percent"));
        assertEquals(0, values.get("outages"));
        assertEquals(40, values.get("answers_per_relay_and_destination"), 10);
    }

    @Test
    void releasesDestinationsThatRarelyReceiveMessages() throws IOException {
        Map<String, Double> values = play(new LearnFleet.Setup(400, 4, 1, PLAIN, 0, 1, true), 1);
        assertTrue(values.get("released_per_event") > 0.5);
        assertEquals(100, values.get("delivered_percent"));
    }

    @Test
    void givesTheSameResultsForTheSameSeed() throws IOException {
        LearnFleet.Setup setup = new LearnFleet.Setup(5, 4, 2, PLAIN.with(new Limit(2, 1_000, true, false)),
            0.1, 10, true);
        Map<String, Double> values = play(setup, 7);
        assertEquals(values, play(setup, 7));
        assertTrue(values.get("refused_calls_percent") > 0);
        assertTrue(values.get("outages") > 0);
        assertEquals(100, values.get("delivered_percent") + values.get("handed_back_percent")
            + values.get("given_up_percent"), 1e-9, "each message has exactly one result");
    }
}
