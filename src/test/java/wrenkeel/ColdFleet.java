package wrenkeel;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import wrenkeel.ColdDestination.Outage;
import wrenkeel.Relay.*;

/**
 * Many relays with unequal traffic against one destination that has outages and comes back cold, on a virtual
 * clock in microseconds. Relays may be restarted. One thread.
 */
final class ColdFleet {
    /** What a process that is started again finds of the one before it. */
    enum Inheritance {
        /** The lasting folder. */ FOLDER,
        /** An empty folder: the machine was lost. */ NOTHING,
        /** What the process before left as it ended in order. */ HANDOVER
    }

    /**
     * @param at time at which processes end; they are started again {@link #DOWN_FOR} later
     * @param share of the relays whose processes end then
     */
    record Restart(long at, double share, Inheritance inheritance) { }

    /**
     * @param relays in the fleet; one in ten gets so many times the traffic of each other
     * @param capacity calls a second that the warm destination takes from all relays together
     * @param outages that follow each other
     */
    record Scenario(int relays, int busyTimes, Outage outage, int outages, Weights weights, double capacity,
                    long seed, List<Restart> restarts) {
        Scenario(int relays, Outage outage, Weights weights, double capacity, long seed) {
            this(relays, 5, outage, 1, weights, capacity, seed, List.of());
        }

        Scenario with(Restart... others) {
            return new Scenario(relays, busyTimes, outage, outages, weights, capacity, seed, List.of(others));
        }

        Scenario withOutages(int number) {
            return new Scenario(relays, busyTimes, outage, number, weights, capacity, seed, restarts);
        }

        Scenario evenly() {
            return new Scenario(relays, 1, outage, outages, weights, capacity, seed, restarts);
        }
    }

    /**
     * @param cold what the cold destination got
     * @param inAim share of the messages that are delivered within their aim
     * @param untried share of the messages that end without any call
     */
    record Result(ColdDestination.Load cold, double inAim, double untried) { }

    static final long MS = 1_000, SECOND = 1_000_000;
    static final long DOWN_FOR = 600 * MS;
    private static final long HOP = 10 * MS;
    private static final long LIFE = 28 * SECOND, AIM = 3 * SECOND;
    private static final long CLIENT_RETRY = 500 * MS;
    /** Share of the capacity that comes in. */
    private static final double LOAD = 0.75;
    private static final int BUSY_ONE_IN = 10;
    private static final long[] ENDPOINTS = {11, 12};
    static final Rules RULES = new Rules(250 * MS, 2, 2 * SECOND, 0.2, 10 * SECOND, 50 * MS, 20 * MS);

    /** Something due at a time; what is due at one time keeps its order. */
    private record Due(long at, long order, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private static final class Message {
        final String id;
        final long deadline;
        final List<EarlierAttempt> attempts = new ArrayList<>();
        boolean over, inAim;

        Message(String id, long deadline) {
            this.id = id;
            this.deadline = deadline;
        }

        long aim() {
            return deadline - LIFE + AIM;
        }
    }

    /** One relay, its process and the messages that it holds. */
    private final class Member {
        final int rank;
        final Map<String, Message> messages = new LinkedHashMap<>();
        /** What the lasting folder holds of the endpoints. */
        final Map<Long, EndpointSnapshot> folder = new HashMap<>();
        Control control;
        /** Number of its process; what an earlier one has begun is lost. */
        int process;
        boolean alive = true;
        long wakeAt = Long.MAX_VALUE;
        boolean told;

        Member(int rank) {
            this.rank = rank;
            begin();
        }

        private void begin() {
            control = new Control(random.nextLong(), settings(rank));
            turn(new ListUpdated(ListKind.WHOLE, list));
        }

        void end() {
            alive = false;
            process++;
            wakeAt = Long.MAX_VALUE;
        }

        void startAgain(Inheritance inheritance) {
            List<EndpointSnapshot> left = inheritance == Inheritance.HANDOVER ? control.endpointSnapshots()
                : List.copyOf(folder.values());
            alive = true;
            if (inheritance == Inheritance.NOTHING) {
                folder.clear();
                messages.values().forEach(message -> message.over = true);
            }
            begin();
            if (inheritance != Inheritance.NOTHING) {
                recover(left);
            }
        }

        private void recover(List<EndpointSnapshot> left) {
            List<Event> events = new ArrayList<>(left);
            for (Message message : messages.values()) {
                if (!message.over) {
                    events.add(new MessageAccepted(message.id, 0, 0, null, message.deadline, 1, true,
                        List.copyOf(message.attempts)));
                }
            }
            turn(events.toArray(Event[]::new));
        }

        void accept(Message message) {
            messages.put(message.id, message);
            turn(new MessageAccepted(message.id, 0, 0, null, message.deadline, 1));
        }

        void turn(Event... events) {
            for (Action action : control.turn(now, List.of(events))) {
                if (action instanceof Send send) {
                    send(send);
                } else if (action instanceof Refuse refuse) {
                    messages.get(refuse.id()).over = true;
                } else if (action instanceof Fail fail) {
                    messages.get(fail.id()).over = true;
                } else if (action instanceof HealthChanged changed) {
                    folder.put(changed.endpoint(), EndpointSnapshot.health(changed.endpoint(), changed.health(),
                        changed.since(), changed.carriedPerSecond()));
                } else if (action instanceof SetTimer wake) {
                    wake(wake.delay());
                }
            }
        }

        private void wake(long after) {
            wakeAt = Math.min(wakeAt, now + after);
            int mine = process;
            at(now + after, () -> {
                if (process == mine && wakeAt <= now) {
                    wakeAt = Long.MAX_VALUE;
                    turn(new Relay.TimerDue());
                }
            });
        }

        private void send(Send send) {
            Call call = new Call(this, messages.get(send.id()), send.endpoint());
            at(now + HOP, call::arrive);
            at(now + send.timeout(), () -> call.end(Outcome.TIMEOUT, 0));
        }
    }

    /** One call of a process. */
    private final class Call {
        private final Member member;
        private final Message message;
        private final long endpoint;
        private final int process;
        private final int attempt;
        private final long sent = now;
        private boolean ended;

        Call(Member member, Message message, long endpoint) {
            this.member = member;
            this.message = message;
            this.endpoint = endpoint;
            process = member.process;
            attempt = message.attempts.size();
            message.attempts.add(new EarlierAttempt(sent, 0, true));
        }

        void arrive() {
            if (process != member.process) {
                return;
            }
            ColdDestination.Answer answer = destination.call(now, member.told);
            if (answer.outcome() != null) {
                at(now + HOP + answer.after(), () -> end(answer.outcome(), answer.waitFor()));
            }
        }

        void end(Outcome outcome, long wait) {
            if (ended || process != member.process) {
                return;
            }
            ended = true;
            member.told |= outcome != Outcome.OK && destination.isOut(now);
            message.inAim |= outcome == Outcome.OK && now <= message.aim();
            message.over |= outcome == Outcome.OK;
            message.attempts.set(attempt, new EarlierAttempt(sent, 0, !outcome.provesNotExecuted()));
            member.turn(new AttemptEnded(message.id, attempt, endpoint, outcome, outcome == Outcome.OK, wait,
                now - sent, -1, -1));
        }
    }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Due> agenda = new PriorityQueue<>();
    private final ColdDestination destination;
    private final List<Endpoint> list = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final List<Message> handedIn = new ArrayList<>();
    private long now, order, named;

    private ColdFleet(Scenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed);
        destination = new ColdDestination(scenario.capacity, scenario.outage, scenario.outages, RULES);
    }

    static Result play(Scenario scenario) {
        return new ColdFleet(scenario).play();
    }

    private Result play() {
        double error = scenario.weights == Weights.ROUGH ? 0.5 + random.nextDouble() : 1;
        for (long id : ENDPOINTS) {
            list.add(new Endpoint(id, 0, 0, 1, Listing.READY, scenario.capacity * error));
        }
        int busy = (scenario.relays + BUSY_ONE_IN - 1) / BUSY_ONE_IN;
        double unit = LOAD * scenario.capacity / (scenario.relays + busy * (scenario.busyTimes - 1));
        for (int rank = 0; rank < scenario.relays; rank++) {
            Member member = new Member(rank);
            members.add(member);
            arrivals(member, unit * (rank % BUSY_ONE_IN == 0 ? scenario.busyTimes : 1));
        }
        scenario.restarts.forEach(restart -> at(restart.at, () -> restart(restart)));
        while (!agenda.isEmpty() && agenda.peek().at() < destination.endAt()) {
            Due due = agenda.poll();
            now = due.at();
            due.what().run();
        }
        return result();
    }

    private void restart(Restart restart) {
        List<Member> struck = new ArrayList<>(members);
        Collections.shuffle(struck, new java.util.Random(random.nextLong()));
        int count = Math.max(1, (int) Math.round(restart.share * members.size()));
        for (Member member : struck.subList(0, count)) {
            if (member.alive) {
                member.end();
                long downFor = restart.inheritance == Inheritance.HANDOVER ? 0 : DOWN_FOR;
                at(now + downFor, () -> member.startAgain(restart.inheritance));
            }
        }
    }

    /** Messages at random times up to the end. */
    private void arrivals(Member member, double perSecond) {
        long next = now + (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
        at(next, () -> {
            Message message = new Message("m" + named++, now + LIFE);
            handedIn.add(message);
            handIn(member, message);
            arrivals(member, perSecond);
        });
    }

    /** A client that finds a relay down goes to another, and comes again if all are. */
    private void handIn(Member first, Message message) {
        List<Member> alive = members.stream().filter(member -> member.alive).toList();
        if (first.alive) {
            first.accept(message);
        } else if (!alive.isEmpty()) {
            alive.get(random.nextInt(alive.size())).accept(message);
        } else {
            at(now + CLIENT_RETRY, () -> handIn(first, message));
        }
    }

    private void at(long time, Runnable what) {
        agenda.add(new Due(time, order++, what));
    }

    private Result result() {
        List<Message> counted = handedIn.stream().filter(m -> m.deadline <= destination.endAt()).toList();
        double inAim = counted.stream().filter(m -> m.inAim).count();
        double untried = counted.stream().filter(m -> m.attempts.isEmpty()).count();
        return new Result(destination.load(), inAim / counted.size(), untried / counted.size());
    }

    private Settings settings(int rank) {
        MessageClass only = new MessageClass("a", AIM, LIFE, 1, 0.5, Effect.SAFE, false, 0, false, 8);
        return new Settings(rank, scenario.relays, 0, false, 0.2, scenario.weights, List.of(only), List.of(),
            List.of(new Kind(false, 1)),
            new Limits(60, 1_000, true, true, 1, 1_000 * MS, 15 * SECOND, 2 * SECOND), RULES,
            new Costs(0.05, 0.02, 0, 0.1, List.of()));
    }
}
