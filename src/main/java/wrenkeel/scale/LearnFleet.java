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
import wrenkeel.scale.EndpointModel.Standing;

/**
 * Many relays' decisions against modelled destinations, on a virtual clock in microseconds: no sockets, no
 * journal, no list that changes. Messages come at random times to a relay drawn at random; a client that is
 * refused does not come again. One thread.
 */
final class LearnFleet {
    /** us; one way between a relay and a destination. */
    private static final long HOP = 10_000;
    private static final long SECOND = 1_000_000;
    /** Answers from which on a relay goes by what it knows of a destination, as the module has it. */
    private static final int ANSWERS_KNOWN = 8;

    /**
     * @param relays in the fleet
     * @param destinations each with two endpoints that share one limit
     * @param eventsPerDestination messages a second for each, over all relays
     * @param behaviour of each destination
     * @param downShare part of the time that a destination is out, 0 to 1
     * @param outageSeconds mean length of an outage, half of them silent, half refusing connections
     * @param releases as the real relay has it: the module is told of a destination before a message for it,
     *     and releases it when nothing rests on it; else it is told of all at the start and keeps them
     */
    record Setup(int relays, int destinations, double eventsPerDestination, EndpointModel.Behaviour behaviour,
                 double downShare, double outageSeconds, boolean releases) { }

    /** Something due at a time; what is due at one time keeps its order. */
    private record Due(long at, long order, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private static final class Destination {
        final EndpointModel model;
        long outSince = -1;

        Destination(EndpointModel model) {
            this.model = model;
        }
    }

    private static final class Message {
        final int destination;
        final long due, aim;
        final boolean counts;
        final List<Attempt> attempts = new ArrayList<>();
        boolean over;

        Message(int destination, long due, long aim, boolean counts) {
            this.destination = destination;
            this.due = due;
            this.aim = aim;
            this.counts = counts;
        }
    }

    private static final class Attempt {
        final Message message;
        final String id;
        final int number;
        final long endpoint, sent;
        boolean done;

        Attempt(Message message, String id, long endpoint, long sent) {
            this.message = message;
            this.id = id;
            number = message.attempts.size();
            this.endpoint = endpoint;
            this.sent = sent;
        }
    }

    /** One relay: its module, and the messages that it holds. */
    private final class Member {
        final Control control;
        final Map<String, Message> messages = new HashMap<>();
        final Set<Long> introduced = new HashSet<>();
        final int[] answers = new int[setup.destinations()];
        long wakeAt = Long.MAX_VALUE;

        Member(long seed) {
            control = new Control(seed, settings);
        }

        void turn(Relay.Event... events) {
            for (Relay.Action action : control.turn(now, List.of(events))) {
                carryOut(action);
            }
        }

        private void carryOut(Relay.Action action) {
            if (action instanceof Relay.Send send) {
                send(send);
            } else if (action instanceof Relay.CancelAttempt cancel) {
                Message message = messages.get(cancel.id());
                if (message != null) {
                    Attempt attempt = message.attempts.get(cancel.attempt());
                    at(now, () -> end(attempt, Relay.Outcome.CANCELLED, 0));
                }
            } else if (action instanceof Relay.Refuse refuse) {
                over(refuse.id(), tally.handedBack);
            } else if (action instanceof Relay.Fail fail) {
                over(fail.id(), tally.givenUp);
            } else if (action instanceof Relay.DestinationReleased released) {
                introduced.remove(released.destination());
                tally.released += measured() ? 1 : 0;
            } else if (action instanceof Relay.SetTimer wake) {
                wakeAt = Math.min(wakeAt, now + wake.delay());
                at(now + wake.delay(), () -> {
                    if (wakeAt <= now) {
                        wakeAt = Long.MAX_VALUE;
                        turn(new Relay.TimerDue());
                    }
                });
            }
        }

        void accept(Relay.MessageAccepted message) {
            if (setup.releases() && introduced.add(message.destination())) {
                turn(new Relay.DestinationIntroduced(endpoints(message.destination())), message);
            } else {
                turn(message);
            }
        }

        private void over(String id, long[] end) {
            Message message = messages.get(id);
            if (message != null && !message.over) {
                message.over = true;
                end[0] += message.counts ? 1 : 0;
                forget(id, message);
            }
        }

        private void send(Relay.Send send) {
            Message message = messages.get(send.id());
            boolean copy = message.attempts.stream().anyMatch(earlier -> !earlier.done);
            Attempt attempt = new Attempt(message, send.id(), send.endpoint(), now);
            if (message.counts && message.attempts.isEmpty()) {
                tally.untilCall.recordValue(now - message.due);
            }
            message.attempts.add(attempt);
            if (measured()) {
                tally.calls++;
                tally.copies += copy ? 1 : 0;
            }
            at(now + HOP, () -> arrive(attempt));
            at(now + send.timeout(), () -> end(attempt, Relay.Outcome.TIMEOUT, 0));
        }

        private void arrive(Attempt attempt) {
            Destination destination = destinations.get(attempt.message.destination);
            if (measured() && destination.outSince >= 0) {
                tally.callsIntoOutage++;
            }
            EndpointModel.Verdict verdict = destination.model.call(now * 1_000);
            if (verdict.status() == 200) {
                at(now + verdict.delayNanos() / 1_000 + HOP, () -> end(attempt, Relay.Outcome.OK, 0));
            } else if (verdict.status() != 0) {
                tally.refused += measured() ? 1 : 0;
                at(now + HOP, () -> end(attempt, Relay.Outcome.FULL, verdict.waitMillis() * 1_000));
            } else if (destination.model.standing() == Standing.REFUSING) {
                at(now + HOP, () -> end(attempt, Relay.Outcome.CONNECT_FAILED, 0));
            }
        }

        private void end(Attempt attempt, Relay.Outcome outcome, long wait) {
            if (attempt.done) {
                return;
            }
            attempt.done = true;
            Message message = attempt.message;
            if (outcome == Relay.Outcome.OK) {
                answers[message.destination] += measured() ? 1 : 0;
                if (!message.over) {
                    message.over = true;
                    tally.delivered += message.counts ? 1 : 0;
                    tally.inAim += message.counts && now <= message.aim ? 1 : 0;
                }
            }
            turn(new Relay.AttemptEnded(attempt.id, attempt.number, attempt.endpoint, outcome,
                outcome == Relay.Outcome.OK, wait, now - attempt.sent, -1, -1));
            forget(attempt.id, message);
        }

        private void forget(String id, Message message) {
            if (message.over && message.attempts.stream().allMatch(attempt -> attempt.done)) {
                messages.remove(id);
            }
        }
    }

    /** Counts of the measured span. An end is an array so that it can be handed on. */
    private static final class Counts {
        final long[] handedBack = new long[1], givenUp = new long[1];
        final Histogram untilCall = new Histogram(3_600 * SECOND, 3);
        long events, calls, copies, refused, callsIntoOutage, delivered, inAim, outages, released;
        double outSeconds;
    }

    private final Setup setup;
    private final Relay.Settings settings;
    private final SplittableRandom random;
    private final List<Member> members = new ArrayList<>();
    private final List<Destination> destinations = new ArrayList<>();
    private final PriorityQueue<Due> agenda = new PriorityQueue<>();
    private final Counts tally = new Counts();
    private long now, order, named, measureFrom = Long.MAX_VALUE, measureTo, countTo, fallsBefore;

    /** {@code settings}: those of each relay, told of as many relays as the setup has. */
    LearnFleet(Setup setup, Relay.Settings settings, long seed) {
        this.setup = setup;
        this.settings = settings;
        random = new SplittableRandom(seed);
        List<Relay.Endpoint> list = new ArrayList<>();
        for (int d = 0; d < setup.destinations(); d++) {
            destinations.add(new Destination(new EndpointModel(setup.behaviour(), random.nextLong())));
            if (!setup.releases()) {
                list.addAll(endpoints(d));
            }
            beginOutage(d);
        }
        for (int i = 0; i < setup.relays(); i++) {
            Member member = new Member(random.nextLong());
            members.add(member);
            member.turn(new Relay.ListUpdated(Relay.ListKind.WHOLE, list));
        }
        arrival();
        if (setup.releases()) {
            release();
        }
    }

    private static List<Relay.Endpoint> endpoints(long destination) {
        return List.of(new Relay.Endpoint(2 * destination, 0, 0, destination, Relay.Listing.READY, 1),
            new Relay.Endpoint(2 * destination + 1, 0, 0, destination, Relay.Listing.READY, 1));
    }

    /** Once a second, as the real relay does. */
    private void release() {
        at(now + SECOND, () -> {
            for (Member member : members) {
                if (!member.introduced.isEmpty()) {
                    member.turn(new Relay.ReleaseRequested());
                }
            }
            release();
        });
    }

    private void at(long time, Runnable what) {
        agenda.add(new Due(time, order++, what));
    }

    private boolean measured() {
        return now >= measureFrom && now < measureTo;
    }

    /** Lets time pass for the warm-up, then measures; values have their units in their names. */
    Map<String, Double> play(long warmUpSeconds, long seconds) {
        pass(warmUpSeconds * SECOND);
        measureFrom = now;
        measureTo = now + seconds * SECOND;
        // Messages that come later may not have met their end when the play is over.
        long longest = settings.classes().stream().mapToLong(Relay.MessageClass::lifetime).max().orElseThrow();
        countTo = measureTo - longest;
        fallsBefore = falls();
        pass(seconds * SECOND);
        return values(seconds);
    }

    private void pass(long span) {
        long until = now + span;
        while (!agenda.isEmpty() && agenda.peek().at() < until) {
            Due due = agenda.poll();
            now = due.at();
            due.what().run();
        }
        now = until;
    }

    private long falls() {
        return destinations.stream().mapToLong(destination -> destination.model.falls()).sum();
    }

    private Map<String, Double> values(long seconds) {
        Map<String, Double> values = new LinkedHashMap<>();
        int known = 0;
        long answers = 0;
        for (Member member : members) {
            for (int count : member.answers) {
                known += count >= ANSWERS_KNOWN ? 1 : 0;
                answers += count;
            }
        }
        double pairs = (double) setup.relays() * setup.destinations();
        values.put("meets_every_s", setup.relays() / setup.eventsPerDestination());
        values.put("answers_per_relay_and_destination", answers / pairs);
        values.put("known_pairs_percent", 100 * known / pairs);
        values.put("released_per_event",
            tally.released / (setup.eventsPerDestination() * setup.destinations() * seconds));
        values.put("calls_per_event",
            tally.calls / (setup.eventsPerDestination() * setup.destinations() * seconds));
        values.put("refused_calls_percent", 100.0 * tally.refused / Math.max(1, tally.calls));
        values.put("copies_percent", 100.0 * tally.copies / Math.max(1, tally.calls));
        values.put("calls_per_s_out", tally.outSeconds == 0 ? 0 : tally.callsIntoOutage / tally.outSeconds);
        values.put("falls_per_outage", tally.outages == 0 ? 0
            : (double) (falls() - fallsBefore) / tally.outages);
        values.put("outages", (double) tally.outages);
        values.put("delivered_percent", 100.0 * tally.delivered / Math.max(1, tally.events));
        values.put("in_aim_percent", 100.0 * tally.inAim / Math.max(1, tally.events));
        values.put("handed_back_percent", 100.0 * tally.handedBack[0] / Math.max(1, tally.events));
        values.put("given_up_percent", 100.0 * tally.givenUp[0] / Math.max(1, tally.events));
        values.put("call_p50_ms", tally.untilCall.getValueAtPercentile(50) / 1e3);
        values.put("call_p99_ms", tally.untilCall.getValueAtPercentile(99) / 1e3);
        return values;
    }

    /** Arranges the next message of the fleet. */
    private void arrival() {
        double rate = setup.eventsPerDestination() * setup.destinations();
        at(now + StandInClients.gapNanos(random, rate) / 1_000, () -> {
            arrive();
            arrival();
        });
    }

    private void arrive() {
        Member member = members.get(random.nextInt(members.size()));
        int destination = random.nextInt(setup.destinations());
        int number = random.nextInt(settings.classes().size());
        Relay.MessageClass kind = settings.classes().get(number);
        boolean counts = measured() && now < countTo;
        tally.events += counts ? 1 : 0;
        String id = Long.toHexString(named++);
        member.messages.put(id, new Message(destination, now, now + kind.aim(), counts));
        member.accept(new Relay.MessageAccepted(id, number, 0, null, now + kind.lifetime(), destination));
    }

    /** Arranges the next outage of a destination, and the one after that. */
    private void beginOutage(int number) {
        if (setup.downShare() <= 0) {
            return;
        }
        double meanUp = setup.outageSeconds() * (1 - setup.downShare()) / setup.downShare();
        at(now + StandInClients.gapNanos(random, 1 / meanUp) / 1_000, () -> {
            Destination destination = destinations.get(number);
            destination.model.stand(random.nextBoolean() ? Standing.SILENT : Standing.REFUSING, now * 1_000);
            destination.outSince = now;
            at(now + StandInClients.gapNanos(random, 1 / setup.outageSeconds()) / 1_000, () -> {
                destination.model.stand(Standing.SERVING, now * 1_000);
                if (measured()) {
                    tally.outages++;
                    tally.outSeconds += (now - Math.max(measureFrom, destination.outSince)) / 1e6;
                }
                destination.outSince = -1;
                beginOutage(number);
            });
        });
    }
}
