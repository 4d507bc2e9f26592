package wrenkeel;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import wrenkeel.Relay.*;

/** How a real relay drives the module: its own clock and timers, events in, actions out. */
class EmbeddingTest {
    /** A host with a clock of its own and a network that answers every send after 30 ms. */
    private static final class Driver {
        private final Control control = new Control(7, ScriptedRelay.testSettings(8, true, 1));
        private final PriorityQueue<Long> timers = new PriorityQueue<>();
        private final ArrayDeque<Map.Entry<Long, Ended>> pendingAnswers = new ArrayDeque<>();
        private final Map<String, Integer> attemptCounts = new HashMap<>();
        private final Set<String> delivered = new TreeSet<>();
        private long now = 1_000_000;

        void turn(Event... events) {
            for (Action action : control.turn(now, List.of(events))) {
                if (action instanceof Send s) {
                    int attempt = attemptCounts.merge(s.id(), 1, Integer::sum) - 1;
                    pendingAnswers.add(Map.entry(now + 30_000,
                        new Ended(s.id(), attempt, s.endpoint(), Outcome.OK, true, 0, 30_000, -1, -1)));
                } else if (action instanceof Wake w) {
                    timers.add(now + w.after());
                }
            }
        }

        void runUntil(long until) {
            for (; now <= until; now += 1_000) {
                while (!timers.isEmpty() && timers.peek() <= now) {
                    timers.poll();
                    turn(new Due());
                }
                while (!pendingAnswers.isEmpty() && pendingAnswers.peek().getKey() <= now) {
                    Ended ended = pendingAnswers.poll().getValue();
                    delivered.add(ended.id());
                    turn(ended);
                }
            }
        }
    }

    @Test
    void acceptedMessagesAreDelivered() {
        Driver driver = new Driver();
        driver.turn(new Listed(ListKind.WHOLE, List.of(ScriptedRelay.endpoint(1, 0, 0, 9, 50), ScriptedRelay.endpoint(2, 1, 0, 9, 50))));
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            accepted.add("bill-" + i);
            driver.turn(new Accepted("bill-" + i, 1, 0, null, driver.now + 16_000_000, 9));
        }
        driver.runUntil(3_000_000);
        assertEquals(new TreeSet<>(accepted), driver.delivered);
    }
}
