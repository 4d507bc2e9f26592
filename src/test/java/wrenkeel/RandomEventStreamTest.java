package wrenkeel;

import static org.junit.jupiter.api.Assertions.*;
import static wrenkeel.ScriptedRelay.*;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wrenkeel.Relay.*;

/** Feeds the module with random but legal streams of events; a {@link RuleChecker} checks every action. */
class RandomEventStreamTest {
    /**
     * An attempt in flight and the outcome that it is going to have.
     *
     * @param number of the message's attempt, from 0
     * @param waitFor wait that the endpoint asks for; 0 for none
     */
    private record PendingAttempt(Send send, int number, long endsAt, Outcome outcome, long waitFor) { }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void rulesHoldAndEveryMessageEnds(long seed) {
        assertTrue(run(seed).size() > 500, "too few actions for this test to mean anything");
    }

    /** One of several hundred relays, with two slots and a message every few hundred milliseconds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void rulesHoldInALargeFleet(long seed) {
        assertTrue(run(seed, 2, 200 + 40 * (int) seed, 60).size() > 30,
            "too few actions for this test to mean anything");
    }

    @Test
    void identicalInputGivesIdenticalOutput() {
        assertEquals(run(42), run(42));
    }

    /** Runs a busy stream; the seed also sets the number of slots and relays. Returns all actions. */
    private static List<Action> run(long seed) {
        Random random = new Random(seed);
        return run(seed, 2 + random.nextInt(8), 1 + random.nextInt(4), 4);
    }

    /**
     * Runs 6000 steps of 5 ms; new messages come in the first 4000. Each 400 steps the share of failing
     * attempts changes. Returns all actions, after checking that every accepted message has ended.
     *
     * @param stepsPerMessage mean number of steps from one new message to the next
     */
    private static List<Action> run(long seed, int slots, int relays, int stepsPerMessage) {
        Random random = new Random(seed);
        ScriptedRelay relay = new ScriptedRelay(testSettings(slots, seed % 3 != 0, relays, 8, 60), seed);
        List<Action> actionsSoFar = new ArrayList<>();
        List<PendingAttempt> pending = new ArrayList<>();
        List<MessageAccepted> accepted = new ArrayList<>();
        randomList(relay, random, true);
        int failuresInTen = 0;
        for (int step = 0; step < 6000; step++) {
            relay.now += 5 * MS;
            if (step % 400 == 0) {
                failuresInTen = random.nextInt(6);
            }
            List<Event> events = new ArrayList<>();
            if (random.nextInt(300) == 0) {
                events.add(randomList(relay, random, random.nextBoolean()));
            }
            for (PendingAttempt attempt : List.copyOf(pending)) {
                if (attempt.endsAt <= relay.now) {
                    pending.remove(attempt);
                    RuleChecker.TrackedMessage message = relay.checker.messages.get(attempt.send.id());
                    boolean over = message.finished || attempt.outcome == Outcome.OK;
                    events.add(new AttemptEnded(attempt.send.id(), attempt.number, attempt.send.endpoint(),
                        attempt.outcome, over, attempt.waitFor, attempt.endsAt, random.nextDouble(),
                        random.nextInt(3) == 0 ? 5 : -1));
                }
            }
            if (step < 4000 && random.nextInt(stepsPerMessage) == 0) {
                MessageAccepted message = relay.message(random.nextInt(4), 1 + random.nextInt(3),
                    random.nextBoolean() ? "k" + random.nextInt(4) : null);
                accepted.add(message);
                events.add(message);
            }
            if (!accepted.isEmpty() && random.nextInt(200) == 0) {
                MessageAccepted message = accepted.get(random.nextInt(accepted.size()));
                if (relay.checker.messages.containsKey(message.id())
                    && !relay.checker.messages.get(message.id()).finished) {
                    events.add(new MessageWithdrawn(message.id()));
                }
            }
            if (events.isEmpty() && relay.wakeAt > relay.now) {
                continue;
            }
            List<Action> actions = relay.turn(events);
            actionsSoFar.addAll(actions);
            for (Action action : actions) {
                if (action instanceof Send send) {
                    pending.add(randomAttempt(relay, send, random, failuresInTen));
                } else if (action instanceof CancelAttempt cancel) {
                    pending.replaceAll(attempt ->
                        attempt.send.id().equals(cancel.id()) && attempt.number == cancel.attempt()
                        ? new PendingAttempt(attempt.send, attempt.number, relay.now + 5 * MS,
                            Outcome.CANCELLED, 0)
                        : attempt);
                }
            }
        }
        relay.now += 40 * SECOND;
        relay.turn();
        for (MessageAccepted message : accepted) {
            RuleChecker.TrackedMessage tracked = relay.checker.messages.get(message.id());
            assertTrue(tracked == null || tracked.finished, "no end of message " + message.id());
        }
        return actionsSoFar;
    }

    /** Draws the outcome and duration of an attempt; {@code failuresInTen} of ten fail. */
    private static PendingAttempt randomAttempt(ScriptedRelay relay, Send send, Random random,
                                                int failuresInTen) {
        Outcome outcome = Outcome.OK;
        long duration = 50 * MS + random.nextInt(300) * MS;
        long retryAfter = 0;
        if (random.nextInt(10) < failuresInTen) {
            outcome = Outcome.values()[1 + random.nextInt(5)];
            if (outcome == Outcome.FULL && random.nextBoolean()) {
                retryAfter = random.nextInt(2000) * MS;
            }
        }
        if (outcome == Outcome.TIMEOUT || duration > send.timeout()) {
            outcome = Outcome.TIMEOUT;
            duration = send.timeout();
        }
        return new PendingAttempt(send, relay.checker.messages.get(send.id()).sends.size() - 1,
            relay.now + duration, outcome, retryAfter);
    }

    /** Draws a list of up to eight endpoints of three destinations; a whole list is also applied at once. */
    private static ListUpdated randomList(ScriptedRelay relay, Random random, boolean whole) {
        List<Endpoint> items = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            if (whole ? random.nextInt(8) > 0 : random.nextInt(3) == 0) {
                Listing listing = whole || random.nextInt(3) > 0 ? Listing.READY
                    : random.nextBoolean() ? Listing.DRAINING : Listing.GONE;
                int destination = 1 + i % 3;
                items.add(new Endpoint(100 + i, i % 2, destination - 1, destination, listing,
                    4 + destination));
            }
        }
        ListUpdated event = new ListUpdated(whole ? ListKind.WHOLE : ListKind.CHANGES, items);
        if (relay.control != null && whole) {
            relay.turn(event);
        }
        return event;
    }
}
