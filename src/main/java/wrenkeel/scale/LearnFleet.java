package wrenkeel.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import wrenkeel.Control;
import wrenkeel.Relay;
import wrenkeel.scale.EndpointModel.Mode;

/**
 * Simulates the decision modules of many relays against modelled destinations, on a virtual clock in
 * microseconds: no sockets, no journal, and a host list that never changes. Messages arrive at random times
 * at a random relay; a refused message is not submitted again. Not thread-safe.
 */
final class LearnFleet {
    /** Network latency one way between a relay and a destination. */
    private static final long ONE_WAY_MICROS = 10_000;
    private static final long SECOND_MICROS = 1_000_000;
    /** Number of answers from which on the decision module relies on its own data about a destination. */
    private static final int MIN_ANSWERS_KNOWN = 8;

    /**
     * The fleet, its traffic and its destinations.
     *
     * @param relays number of relays
     * @param destinations number of destinations, each with two endpoints that share one limit
     * @param messageRate messages per second to each destination, over all relays
     * @param behaviour of each destination
     * @param outageShare share of the time that a destination has an outage, 0 to 1
     * @param outageSeconds mean length of an outage; half of the outages are silent, half refuse
     *     connections
     * @param releasesDestinations if true, as in a real relay: a destination is introduced to the
     *     module before a message for it, and released when no state depends on it; if false, all
     *     destinations are introduced at the start and kept
     */
    record Setup(int relays, int destinations, double messageRate, EndpointModel.Behaviour behaviour,
                 double outageShare, double outageSeconds, boolean releasesDestinations) { }

    /** A task that is due at a virtual time; tasks due at the same time keep their order. */
    private record ScheduledTask(long time, long order, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return time != other.time ? Long.compare(time, other.time) : Long.compare(order, other.order);
        }
    }

    /** A modelled destination; both of its endpoints share the model. */
    private static final class Destination {
        final EndpointModel model;
        /** Start of the current outage; -1 while there is none. */
        long outageStart = -1;

        Destination(EndpointModel model) {
            this.model = model;
        }
    }

    /** A message held by a relay. */
    private static final class Message {
        final int destination;
        final long submittedAt;
        /** Time by which a delivery has its full worth. */
        final long aim;
        /** Whether the message is part of the measurement. */
        final boolean isCounted;
        final List<Attempt> attempts = new ArrayList<>();
        boolean ended;

        Message(int destination, long submittedAt, long aim, boolean isCounted) {
            this.destination = destination;
            this.submittedAt = submittedAt;
            this.aim = aim;
            this.isCounted = isCounted;
        }
    }

    /** One call that carries the message. */
    private static final class Attempt {
        final Message message;
        final String id;
        final int number;
        final long endpoint, sentAt;
        boolean ended;

        Attempt(Message message, String id, long endpoint, long sentAt) {
            this.message = message;
            this.id = id;
            number = message.attempts.size();
            this.endpoint = endpoint;
            this.sentAt = sentAt;
        }
    }

    /** One relay: its decision module and the messages that it holds. */
    private final class ModelledRelay {
        final Control control;
        final Map<String, Message> messages = new HashMap<>();
        /** Destinations that the module knows; used only if {@link Setup#releasesDestinations}. */
        final Set<Long> introducedDestinations = new HashSet<>();
        /** Calls answered with status 200 during the measurement. */
        final int[] answersByDestination = new int[setup.destinations()];
        /** Earliest time at which the module asked to be woken; MAX_VALUE for none. */
        long wakeAt = Long.MAX_VALUE;

        ModelledRelay(long seed) {
            control = new Control(seed, settings);
        }

        /** Passes events to the module and carries out the actions that it returns. */
        void handleEvents(Relay.Event... events) {
            for (Relay.Action action : control.turn(now, List.of(events))) {
                carryOut(action);
            }
        }

        private void carryOut(Relay.Action action) {
            if (action instanceof Relay.Send send) {
                startAttempt(send);
            } else if (action instanceof Relay.CancelAttempt cancel) {
                Message message = messages.get(cancel.id());
                if (message != null) {
                    Attempt attempt = message.attempts.get(cancel.attempt());
                    schedule(now, () -> endAttempt(attempt, Relay.Outcome.CANCELLED, 0));
                }
            } else if (action instanceof Relay.Refuse refuse) {
                endMessage(refuse.id(), totals.refusedMessages);
            } else if (action instanceof Relay.Fail fail) {
                endMessage(fail.id(), totals.failedMessages);
            } else if (action instanceof Relay.DestinationReleased released) {
                introducedDestinations.remove(released.destination());
                totals.released += isMeasuring() ? 1 : 0;
            } else if (action instanceof Relay.SetTimer wake) {
                wakeAt = Math.min(wakeAt, now + wake.delay());
                schedule(now + wake.delay(), () -> {
                    if (wakeAt <= now) {
                        wakeAt = Long.MAX_VALUE;
                        handleEvents(new Relay.TimerDue());
                    }
                });
            }
        }

        /**
         * Passes a new message to the module, and before it the destination if the module does not know it.
         */
        void accept(Relay.MessageAccepted message) {
            if (setup.releasesDestinations() && introducedDestinations.add(message.destination())) {
                handleEvents(new Relay.DestinationIntroduced(endpoints(message.destination())), message);
            } else {
                handleEvents(message);
            }
        }

        /** Marks a message as refused or failed and counts it in {@code counter}. */
        private void endMessage(String id, long[] counter) {
            Message message = messages.get(id);
            if (message != null && !message.ended) {
                message.ended = true;
                counter[0] += message.isCounted ? 1 : 0;
                removeIfEnded(id, message);
            }
        }

        private void startAttempt(Relay.Send send) {
            Message message = messages.get(send.id());
            boolean copy = message.attempts.stream().anyMatch(earlier -> !earlier.ended);
            Attempt attempt = new Attempt(message, send.id(), send.endpoint(), now);
            if (message.isCounted && message.attempts.isEmpty()) {
                totals.callLatency.recordValue(now - message.submittedAt);
            }
            message.attempts.add(attempt);
            if (isMeasuring()) {
                totals.calls++;
                totals.copies += copy ? 1 : 0;
            }
            schedule(now + ONE_WAY_MICROS, () -> reachDestination(attempt));
            schedule(now + send.timeout(), () -> endAttempt(attempt, Relay.Outcome.TIMEOUT, 0));
        }

        /** The call of this attempt arrives at its destination. */
        private void reachDestination(Attempt attempt) {
            Destination destination = destinations.get(attempt.message.destination);
            if (isMeasuring() && destination.outageStart >= 0) {
                totals.callsDuringOutage++;
            }
            EndpointModel.Response response = destination.model.handleCall(now * 1_000);
            if (response.status() == 200) {
                schedule(now + response.delayNanos() / 1_000 + ONE_WAY_MICROS,
                    () -> endAttempt(attempt, Relay.Outcome.OK, 0));
            } else if (response.status() != 0) {
                totals.refusedCalls += isMeasuring() ? 1 : 0;
                schedule(now + ONE_WAY_MICROS,
                    () -> endAttempt(attempt, Relay.Outcome.FULL, response.retryAfterMillis() * 1_000));
            } else if (destination.model.mode() == Mode.REFUSING) {
                schedule(now + ONE_WAY_MICROS, () -> endAttempt(attempt, Relay.Outcome.CONNECT_FAILED, 0));
            }
        }

        /** Reports the outcome of an attempt to the module; an attempt has only one outcome. */
        private void endAttempt(Attempt attempt, Relay.Outcome outcome, long wait) {
            if (attempt.ended) {
                return;
            }
            attempt.ended = true;
            Message message = attempt.message;
            if (outcome == Relay.Outcome.OK) {
                answersByDestination[message.destination] += isMeasuring() ? 1 : 0;
                if (!message.ended) {
                    message.ended = true;
                    totals.delivered += message.isCounted ? 1 : 0;
                    totals.inAim += message.isCounted && now <= message.aim ? 1 : 0;
                }
            }
            handleEvents(new Relay.AttemptEnded(attempt.id, attempt.number, attempt.endpoint, outcome,
                outcome == Relay.Outcome.OK, wait, now - attempt.sentAt, -1, -1));
            removeIfEnded(attempt.id, message);
        }

        /** Drops a message that has ended and has no open attempt. */
        private void removeIfEnded(String id, Message message) {
            if (message.ended && message.attempts.stream().allMatch(attempt -> attempt.ended)) {
                messages.remove(id);
            }
        }
    }

    /**
     * Totals of the measurement. Two counters are arrays of length one so that they can be passed by
     * reference.
     */
    private static final class Totals {
        /** Messages that the module refused. */
        final long[] refusedMessages = new long[1];
        /** Messages that the module gave up as failed. */
        final long[] failedMessages = new long[1];
        /** Microseconds from a message's submission to its first attempt. */
        final Histogram callLatency = new Histogram(3_600 * SECOND_MICROS, 3);
        long messages, calls, copies, refusedCalls, callsDuringOutage, delivered, inAim, outages, released;
        double outageSeconds;
    }

    private final Setup setup;
    private final Relay.Settings settings;
    private final SplittableRandom random;
    private final List<ModelledRelay> relays = new ArrayList<>();
    private final List<Destination> destinations = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>();
    private final Totals totals = new Totals();
    private long now, nextOrder, nextMessageId;
    private long measureStart = Long.MAX_VALUE, measureEnd;
    /** Messages submitted from this time on are not counted. */
    private long countEnd;
    /** Collapses of all destinations before the measurement. */
    private long collapsesBefore;

    /** {@code settings}: settings of each relay; their number of relays must be that of the setup. */
    LearnFleet(Setup setup, Relay.Settings settings, long seed) {
        this.setup = setup;
        this.settings = settings;
        random = new SplittableRandom(seed);
        List<Relay.Endpoint> list = new ArrayList<>();
        for (int d = 0; d < setup.destinations(); d++) {
            destinations.add(new Destination(new EndpointModel(setup.behaviour(), random.nextLong())));
            if (!setup.releasesDestinations()) {
                list.addAll(endpoints(d));
            }
            scheduleOutage(d);
        }
        for (int i = 0; i < setup.relays(); i++) {
            ModelledRelay relay = new ModelledRelay(random.nextLong());
            relays.add(relay);
            relay.handleEvents(new Relay.ListUpdated(Relay.ListKind.WHOLE, list));
        }
        scheduleNextMessage();
        if (setup.releasesDestinations()) {
            scheduleRelease();
        }
    }

    /** The two endpoints of a destination. */
    private static List<Relay.Endpoint> endpoints(long destination) {
        return List.of(new Relay.Endpoint(2 * destination, 0, 0, destination, Relay.Listing.READY, 1),
            new Relay.Endpoint(2 * destination + 1, 0, 0, destination, Relay.Listing.READY, 1));
    }

    /** Asks each module once a second to release destinations, as the real relay does. */
    private void scheduleRelease() {
        schedule(now + SECOND_MICROS, () -> {
            for (ModelledRelay relay : relays) {
                if (!relay.introducedDestinations.isEmpty()) {
                    relay.handleEvents(new Relay.ReleaseRequested());
                }
            }
            scheduleRelease();
        });
    }

    /** Runs a task at a virtual time. */
    private void schedule(long time, Runnable task) {
        scheduledTasks.add(new ScheduledTask(time, nextOrder++, task));
    }

    private boolean isMeasuring() {
        return now >= measureStart && now < measureEnd;
    }

    /**
     * Runs the warm-up, then the measurement; returns the measured values, whose names contain their units.
     */
    Map<String, Double> play(long warmUpSeconds, long seconds) {
        advance(warmUpSeconds * SECOND_MICROS);
        measureStart = now;
        measureEnd = now + seconds * SECOND_MICROS;
        // Messages submitted later may not have ended when the measurement ends.
        long longest =
            settings.classes().stream().mapToLong(Relay.MessageClass::lifetime).max().orElseThrow();
        countEnd = measureEnd - longest;
        collapsesBefore = countCollapses();
        advance(seconds * SECOND_MICROS);
        return values(seconds);
    }

    /** Runs all tasks due within the given time and moves the clock forward by it. */
    private void advance(long span) {
        long until = now + span;
        while (!scheduledTasks.isEmpty() && scheduledTasks.peek().time() < until) {
            ScheduledTask scheduled = scheduledTasks.poll();
            now = scheduled.time();
            scheduled.task().run();
        }
        now = until;
    }

    private long countCollapses() {
        return destinations.stream().mapToLong(destination -> destination.model.collapses()).sum();
    }

    private Map<String, Double> values(long seconds) {
        Map<String, Double> values = new LinkedHashMap<>();
        int known = 0;
        long answers = 0;
        for (ModelledRelay relay : relays) {
            for (int count : relay.answersByDestination) {
                known += count >= MIN_ANSWERS_KNOWN ? 1 : 0;
                answers += count;
            }
        }
        double pairs = (double) setup.relays() * setup.destinations();
        values.put("meets_every_s", setup.relays() / setup.messageRate());
        values.put("answers_per_relay_and_destination", answers / pairs);
        values.put("known_pairs_percent", 100 * known / pairs);
        values.put("released_per_event",
            totals.released / (setup.messageRate() * setup.destinations() * seconds));
        values.put("calls_per_event",
            totals.calls / (setup.messageRate() * setup.destinations() * seconds));
        values.put("refused_calls_percent", 100.0 * totals.refusedCalls / Math.max(1, totals.calls));
        values.put("copies_percent", 100.0 * totals.copies / Math.max(1, totals.calls));
        values.put("calls_per_s_out", totals.outageSeconds == 0 ? 0
            : totals.callsDuringOutage / totals.outageSeconds);
        values.put("falls_per_outage", totals.outages == 0 ? 0
            : (double) (countCollapses() - collapsesBefore) / totals.outages);
        values.put("outages", (double) totals.outages);
        values.put("delivered_percent", 100.0 * totals.delivered / Math.max(1, totals.messages));
        values.put("in_aim_percent", 100.0 * totals.inAim / Math.max(1, totals.messages));
        values.put("handed_back_percent", 100.0 * totals.refusedMessages[0] / Math.max(1, totals.messages));
        values.put("given_up_percent", 100.0 * totals.failedMessages[0] / Math.max(1, totals.messages));
        values.put("call_p50_ms", totals.callLatency.getValueAtPercentile(50) / 1e3);
        values.put("call_p99_ms", totals.callLatency.getValueAtPercentile(99) / 1e3);
        return values;
    }

    /** Schedules the next message of the fleet, and with it all further ones. */
    private void scheduleNextMessage() {
        double rate = setup.messageRate() * setup.destinations();
        schedule(now + StandInClients.exponentialGapNanos(random, rate) / 1_000, () -> {
            submitMessage();
            scheduleNextMessage();
        });
    }

    /** Submits a message of a random class for a random destination to a random relay. */
    private void submitMessage() {
        ModelledRelay relay = relays.get(random.nextInt(relays.size()));
        int destination = random.nextInt(setup.destinations());
        int classIndex = random.nextInt(settings.classes().size());
        Relay.MessageClass messageClass = settings.classes().get(classIndex);
        boolean isCounted = isMeasuring() && now < countEnd;
        totals.messages += isCounted ? 1 : 0;
        String id = Long.toHexString(nextMessageId++);
        relay.messages.put(id, new Message(destination, now, now + messageClass.aim(), isCounted));
        relay.accept(
            new Relay.MessageAccepted(id, classIndex, 0, null, now + messageClass.lifetime(), destination));
    }

    /** Schedules the next outage of a destination, and with its end all further ones. */
    private void scheduleOutage(int destinationIndex) {
        if (setup.outageShare() <= 0) {
            return;
        }
        double meanUp = setup.outageSeconds() * (1 - setup.outageShare()) / setup.outageShare();
        schedule(now + StandInClients.exponentialGapNanos(random, 1 / meanUp) / 1_000, () -> {
            Destination destination = destinations.get(destinationIndex);
            destination.model.setMode(random.nextBoolean() ? Mode.SILENT : Mode.REFUSING, now * 1_000);
            destination.outageStart = now;
            schedule(now + StandInClients.exponentialGapNanos(random, 1 / setup.outageSeconds())
                / 1_000, () -> {
                destination.model.setMode(Mode.SERVING, now * 1_000);
                if (isMeasuring()) {
                    totals.outages++;
                    totals.outageSeconds += (now - Math.max(measureStart, destination.outageStart)) / 1e6;
                }
                destination.outageStart = -1;
                scheduleOutage(destinationIndex);
            });
        });
    }
}
