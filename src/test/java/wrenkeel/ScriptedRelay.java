package wrenkeel;

import java.util.ArrayList;
import java.util.List;
import wrenkeel.Relay.*;

/**
 * One {@link Control} on a virtual clock, driven by a test: the test hands in events and receives actions. A
 * {@link RuleChecker} sees every event and action and fails the test on the first violation of a rule.
 * Times and spans are microseconds. One thread.
 */
final class ScriptedRelay {
    /** A millisecond, in microseconds. */
    static final long MS = 1_000;
    /** A second, in microseconds. */
    static final long SECOND = 1_000_000;
    final Settings settings;
    final RuleChecker checker;
    final Control control;
    /** The virtual clock. */
    long now = 5 * SECOND;
    /** When the earliest timer that the module asked for is due; {@code Long.MAX_VALUE} for none. */
    long wakeAt = Long.MAX_VALUE;
    private int nextMessageId;

    /**
     * Settings with eight attempts for each message and room for 200 messages; see
     * {@link #testSettings(int, boolean, int, int, int)}.
     */
    static Settings testSettings(int slots, boolean copies, int relays) {
        return testSettings(slots, copies, relays, 8, 200);
    }

    /**
     * Settings with one tenant ("t"), four message classes and three kinds of destination, and exact listed
     * limits.
     *
     * <p>Message classes: 0 is safe to repeat; 1 is keyed, and receivers in all zones drop a repeat; 2 is
     * unsafe to repeat and sent in the order of its keys; 3 is keyed, and only receivers in the same zone
     * drop a repeat.
     *
     * <p>Kinds: the endpoints of kind 0 share limits and waits; those of kind 1 and 2 have their own; a call
     * to kind 2 carries up to ten messages.
     *
     * @param slots calls that the relay may have in flight
     * @param copies whether hedged attempts are allowed
     * @param relays number of relays in the fleet
     * @param attempts attempts that a message may use
     * @param open messages that the relay may hold
     */
    static Settings testSettings(int slots, boolean copies, int relays, int attempts, int open) {
        List<MessageClass> classes = List.of(
            new MessageClass("a", SECOND, 5 * SECOND, 2, 0, Effect.SAFE, false, 0, false, attempts),
            new MessageClass("b", 4 * SECOND, 16 * SECOND, 1, 0.5, Effect.KEYED, false, 10 * SECOND, false,
                attempts),
            new MessageClass("c", 3 * SECOND, 28 * SECOND, 4, 0.5, Effect.UNSAFE, false, 0, true, attempts),
            new MessageClass("d", 3 * SECOND, 16 * SECOND, 1, 0.4, Effect.KEYED, true, 10 * SECOND, false,
                attempts));
        return new Settings(0, relays, 0, false, 0.2, Weights.NOMINAL, classes, List.of(new Tenant("t", 50)),
            List.of(new Kind(false, 1), new Kind(true, 1), new Kind(true, 10)),
            new Limits(slots, open, copies, true, 1, 1500 * MS, 10 * SECOND, 3 * SECOND),
            new Rules(250 * MS, 2.5, 3 * SECOND, 0.15, 10 * SECOND, 50 * MS, 20 * MS),
            new Costs(0.05, 0.06, 0, 0.05, List.of(0.0, 0.0)));
    }

    /** A relay whose module draws its random numbers from seed 1. */
    ScriptedRelay(Settings settings) {
        this(settings, 1);
    }

    ScriptedRelay(Settings settings, long seed) {
        this.settings = settings;
        checker = new RuleChecker(settings);
        control = new Control(seed, settings);
    }

    /** An endpoint that is listed as ready; {@code weight} is its listed limit in calls a second. */
    static Endpoint endpoint(long id, int zone, int kind, long destination, double weight) {
        return new Endpoint(id, zone, kind, destination, Listing.READY, weight);
    }

    /** See {@link #turn(List)}. */
    List<Action> turn(Event... events) {
        return turn(List.of(events));
    }

    /** Hands events to the module at the present time, with a timer that is due, and returns its actions. */
    List<Action> turn(List<Event> events) {
        for (Event event : events) {
            checker.recordEvent(now, event);
        }
        if (wakeAt <= now) {
            wakeAt = Long.MAX_VALUE;
            events = new ArrayList<>(events);
            events.add(new TimerDue());
        }
        List<Action> actions = control.turn(now, events);
        for (Action action : actions) {
            checker.checkAction(now, action);
            if (action instanceof SetTimer wake) {
                wakeAt = Math.min(wakeAt, now + wake.delay());
            }
        }
        checker.checkDeadlines(now);
        return actions;
    }

    /** Advances the clock in steps of 5 ms, serves timers as they fall due, and returns all actions. */
    List<Action> advance(long span) {
        List<Action> all = new ArrayList<>();
        for (long end = now + span; now < end;) {
            now += 5 * MS;
            if (wakeAt <= now) {
                all.addAll(turn());
            } else {
                checker.checkDeadlines(now);
            }
        }
        return all;
    }

    /** A new message without a key, see {@link #message(int, long, String)}. */
    MessageAccepted message(int messageClass, long destination) {
        return message(messageClass, destination, null);
    }

    /** A new message of tenant 0 that is accepted now; the caller still has to hand it to the module. */
    MessageAccepted message(int messageClass, long destination, String key) {
        return new MessageAccepted("m" + nextMessageId++, messageClass, 0, key,
            now + settings.classes().get(messageClass).lifetime(), destination);
    }

    /** The end of an attempt without a wait, see {@link #attemptEnded(Send, int, Outcome, long)}. */
    static AttemptEnded attemptEnded(Send send, int attempt, Outcome outcome) {
        return attemptEnded(send, attempt, outcome, 0);
    }

    /**
     * The end of an attempt after a latency of 100 ms; {@code OK} also ends the message.
     *
     * @param attempt number of the message's attempt, from 0
     * @param waitFor wait that the endpoint asked for; 0 for none
     */
    static AttemptEnded attemptEnded(Send send, int attempt, Outcome outcome, long waitFor) {
        return new AttemptEnded(send.id(), attempt, send.endpoint(), outcome, outcome == Outcome.OK, waitFor,
            100 * MS, -1, -1);
    }

    /** The sends among these actions, in order. */
    static List<Send> sends(List<Action> actions) {
        return actions.stream().filter(Send.class::isInstance).map(Send.class::cast).toList();
    }

    /** The number of actions of a type. */
    static <T extends Action> long count(List<Action> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).count();
    }

    /**
     * Sends messages to a destination one by one and answers each, so that the module knows its latency and
     * its congestion window has grown. Each round takes 300 ms and the time until the send.
     */
    void warmUp(int messages, long destination) {
        for (int i = 0; i < messages; i++) {
            List<Send> sent = new ArrayList<>(sends(turn(message(0, destination))));
            for (int step = 0; sent.isEmpty() && step < 400; step++) {
                sent.addAll(sends(advance(10 * MS)));
            }
            now += 100 * MS;
            turn(attemptEnded(sent.get(0), 0, Outcome.OK));
            now += 200 * MS;
        }
    }
}
