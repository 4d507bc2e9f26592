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

/** Drives the module as a relay process does: with its own clock and timers, events in, actions out. */
class EmbeddingTest {
    /** Drives one module with a clock in steps of 1 ms and a network that answers every send after 30 ms. */
    private static final class Driver {
        private final Control control = new Control(7, ScriptedRelay.testSettings(8, true, 1));
        /** Times at which timers are due, in microseconds. */
        private final PriorityQueue<Long> timers = new PriorityQueue<>();
        /** Answers on their way, each with the time of its arrival in microseconds; earliest first. */
        private final ArrayDeque<Map.Entry<Long, AttemptEnded>> pendingAnswers = new ArrayDeque<>();
        /** Number of attempts so far, by message. */
        private final Map<String, Integer> attemptCounts = new HashMap<>();
        private final Set<String> delivered = new TreeSet<>();
        private long now = 1_000_000;

        /** Hands events to the module and carries out its actions. */
        void turn(Event... events) {
            for (Action action : control.turn(now, List.of(events))) {
                if (action instanceof Send send) {
                    int attempt = attemptCounts.merge(send.id(), 1, Integer::sum) - 1;
                    pendingAnswers.add(Map.entry(now + 30_000,
                        new AttemptEnded(send.id(), attempt, send.endpoint(), Outcome.OK, true, 0, 30_000, -1, -1)));
                } else if (action instanceof SetTimer wake) {
                    timers.add(now + wake.delay());
                }
            }
        }

        /** Advances the clock to a time and serves timers and answers on the way. */
        void runUntil(long until) {
            for (; now <= until; now += 1_000) {
                while (!timers.isEmpty() && timers.peek() <= now) {
                    timers.poll();
                    turn(new TimerDue());
                }
                while (!pendingAnswers.isEmpty() && pendingAnswers.peek().getKey() <= now) {
                    AttemptEnded ended = pendingAnswers.poll().getValue();
                    delivered.add(ended.id());
                    turn(ended);
                }
            }
        }
    }

    @Test
    void acceptedMessagesAreDelivered() {
        Driver driver = new Driver();
        driver.turn(new ListUpdated(ListKind.WHOLE,
            List.of(ScriptedRelay.endpoint(1, 0, 0, 9, 50), ScriptedRelay.endpoint(2, 1, 0, 9, 50))));
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            accepted.add("bill-" + i);
            driver.turn(new MessageAccepted("bill-" + i, 1, 0, null, driver.now + 16_000_000, 9));
        }
        driver.runUntil(3_000_000);
        assertEquals(new TreeSet<>(accepted), driver.delivered);
    }
}
