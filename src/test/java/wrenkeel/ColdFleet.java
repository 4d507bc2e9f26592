package wrenkeel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import wrenkeel.Relay.*;

/**
 * Many relays with unequal traffic against one destination that has an outage and comes back cold, on a
 * virtual clock in microseconds. Counts the calls that the cold destination gets. One thread.
 */
final class ColdFleet {
    /** What a call meets during the outage. */
    enum Outage { REFUSED, SHUT, SILENT }

    /**
     * @param relays in the fleet; one in ten gets several times the traffic of each other
     * @param capacity calls a second that the warm destination takes from all relays together
     */
    record Scenario(int relays, Outage outage, Weights weights, double capacity, long seed) { }

    /**
     * @param worst highest ratio of calls in a window to the calls that the cold destination bears in it
     * @param worstTold the same of the calls from relays that had seen a call fail during the outage
     * @param toldAtFall share of such calls in the first window over the bound; 0 where none is over it
     * @param inAim share of the messages that are delivered within their aim
     * @param untried share of the messages that end without any call
     */
    record Result(double worst, double worstTold, double toldAtFall, double inAim, double untried) {
        /** True when the destination falls and the relays that could know are to blame. */
        boolean ruleBroken() {
            return toldAtFall > TOLD_SHARE;
        }
    }

    private static final double TOLD_SHARE = 2.0 / 3;
    private static final long MS = 1_000, SECOND = 1_000_000;
    private static final long DOWN_AT = 40 * SECOND, BACK_AT = 50 * SECOND, END_AT = 100 * SECOND;
    private static final long HOP = 10 * MS, LATENCY = 300 * MS, SHUT_WAIT = 500 * MS;
    private static final long LIFE = 28 * SECOND, AIM = 3 * SECOND;
    /** Share of the capacity that comes in; and s, calls that the destination may hold in its queue. */
    private static final double LOAD = 0.75, QUEUE = 0.7;
    /** One relay in so many gets this multiple of the traffic of each other. */
    private static final int BUSY_ONE_IN = 10, BUSY_TIMES = 5;
    private static final long[] ENDPOINTS = {11, 12};
    private static final Rules RULES =
        new Rules(250 * MS, 2, 2 * SECOND, 0.2, 10 * SECOND, 50 * MS, 20 * MS);

    /** Something due at a time; what is due at one time keeps its order. */
    private record Due(long at, long order, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** A call that the cold destination got. */
    private record ColdCall(long at, boolean told) { }

    private static final class Message {
        final long aim;
        int calls;
        boolean over, inAim;

        Message(long aim) {
            this.aim = aim;
        }
    }

    /** One relay and the messages that it holds. */
    private final class Member {
        final Control control;
        final Map<String, Message> messages = new HashMap<>();
        long wakeAt = Long.MAX_VALUE;
        boolean told;

        Member(int rank) {
            control = new Control(random.nextLong(), settings(rank));
        }

        void turn(Event... events) {
            for (Action action : control.turn(now, List.of(events))) {
                if (action instanceof Send send) {
                    send(send);
                } else if (action instanceof Refuse refuse) {
                    messages.get(refuse.id()).over = true;
                } else if (action instanceof Fail fail) {
                    messages.get(fail.id()).over = true;
                } else if (action instanceof Wake wake) {
                    wake(wake.after());
                }
            }
        }

        private void wake(long after) {
            wakeAt = Math.min(wakeAt, now + after);
            at(now + after, () -> {
                if (wakeAt <= now) {
                    wakeAt = Long.MAX_VALUE;
                    turn(new Relay.Due());
                }
            });
        }

        private void send(Send send) {
            int number = messages.get(send.id()).calls++;
            boolean[] ended = new boolean[1];
            long sent = now;
            at(now + HOP, () -> arrive(send, number, ended, sent));
            at(now + send.timeout(), () -> end(send, number, ended, sent, Outcome.TIMEOUT, 0));
        }

        private void arrive(Send send, int number, boolean[] ended, long sent) {
            if (now >= DOWN_AT && now < BACK_AT) {
                if (scenario.outage != Outage.SILENT) {
                    boolean shut = scenario.outage == Outage.SHUT;
                    at(now + HOP, () -> end(send, number, ended, sent,
                        shut ? Outcome.FULL : Outcome.CONNECT_FAILED, shut ? SHUT_WAIT : 0));
                }
                return;
            }
            if (now >= BACK_AT && now < BACK_AT + RULES.cold()) {
                coldCalls.add(new ColdCall(now, told));
            }
            boolean taken = takes();
            at(now + HOP + (taken ? LATENCY : 0),
                () -> end(send, number, ended, sent, taken ? Outcome.OK : Outcome.FULL, 0));
        }

        private void end(Send send, int number, boolean[] ended, long sent, Outcome outcome, long wait) {
            if (ended[0]) {
                return;
            }
            ended[0] = true;
            told |= outcome != Outcome.OK && now >= DOWN_AT && now < BACK_AT;
            Message message = messages.get(send.id());
            message.inAim |= outcome == Outcome.OK && now <= message.aim;
            message.over |= outcome == Outcome.OK;
            turn(new Ended(send.id(), number, send.endpoint(), outcome, outcome == Outcome.OK, wait,
                now - sent, -1, -1));
        }
    }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Due> agenda = new PriorityQueue<>();
    private final List<ColdCall> coldCalls = new ArrayList<>();
    private long now, order, named, filledAt;
    private double room;

    private ColdFleet(Scenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed);
    }

    static Result play(Scenario scenario) {
        return new ColdFleet(scenario).play();
    }

    private Result play() {
        double error = scenario.weights == Weights.ROUGH ? 0.5 + random.nextDouble() : 1;
        List<Endpoint> list = new ArrayList<>();
        for (long id : ENDPOINTS) {
            list.add(new Endpoint(id, 0, 0, 1, Listing.READY, scenario.capacity * error));
        }
        List<Member> members = new ArrayList<>();
        int busy = (scenario.relays + BUSY_ONE_IN - 1) / BUSY_ONE_IN;
        double unit = LOAD * scenario.capacity / (scenario.relays + busy * (BUSY_TIMES - 1));
        for (int rank = 0; rank < scenario.relays; rank++) {
            Member member = new Member(rank);
            members.add(member);
            member.turn(new Listed(ListKind.WHOLE, list));
            arrivals(member, unit * (rank % BUSY_ONE_IN == 0 ? BUSY_TIMES : 1));
        }
        while (!agenda.isEmpty() && agenda.peek().at() < END_AT) {
            Due due = agenda.poll();
            now = due.at();
            due.what().run();
        }
        return result(members);
    }

    /** Messages at random times up to the end. */
    private void arrivals(Member member, double perSecond) {
        long next = now + (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
        at(next, () -> {
            String id = "m" + named++;
            member.messages.put(id, new Message(now + AIM));
            member.turn(new Accepted(id, 0, 0, null, now + LIFE, 1));
            arrivals(member, perSecond);
        });
    }

    private void at(long time, Runnable what) {
        agenda.add(new Due(time, order++, what));
    }

    /** Calls a second that the destination takes at this time. */
    private double present(long time) {
        if (time < BACK_AT) {
            return scenario.capacity;
        }
        double warmth = Math.min(1, (double) (time - BACK_AT) / RULES.cold());
        return scenario.capacity * (RULES.coldFrom() + (1 - RULES.coldFrom()) * warmth);
    }

    private boolean takes() {
        double rate = present(now);
        room = Math.min(Math.max(1, rate * QUEUE), room + rate * (now - filledAt) / SECOND);
        filledAt = now;
        boolean taken = room >= 1;
        room -= taken ? 1 : 0;
        return taken;
    }

    /** Calls in a window that ends at this time, beyond which the cold destination falls. */
    private double bound(long time) {
        double allowed = RULES.fallMultiple() * present(time) * RULES.tipAfter() / SECOND;
        return allowed + 2 * Math.sqrt(allowed) + 2;
    }

    private Result result(List<Member> members) {
        double worst = 0;
        double worstTold = 0;
        double toldAtFall = 0;
        ArrayDeque<ColdCall> window = new ArrayDeque<>();
        for (ColdCall call : coldCalls) {
            window.addLast(call);
            while (window.peekFirst().at <= call.at - RULES.tipAfter()) {
                window.pollFirst();
            }
            double told = window.stream().filter(ColdCall::told).count();
            double bound = bound(call.at);
            if (window.size() > bound && worst <= 1) {
                toldAtFall = told / window.size();
            }
            worst = Math.max(worst, window.size() / bound);
            worstTold = Math.max(worstTold, told / bound);
        }
        List<Message> counted = members.stream().flatMap(m -> m.messages.values().stream())
            .filter(m -> m.aim + LIFE - AIM <= END_AT).toList();
        double inAim = counted.stream().filter(m -> m.inAim).count();
        double untried = counted.stream().filter(m -> m.calls == 0).count();
        return new Result(worst, worstTold, toldAtFall, inAim / counted.size(), untried / counted.size());
    }

    private Settings settings(int rank) {
        MessageClass only = new MessageClass("a", AIM, LIFE, 1, 0.5, Effect.SAFE, false, 0, false, 8);
        return new Settings(rank, scenario.relays, 0, false, 0.2, scenario.weights, List.of(only), List.of(),
            List.of(new Kind(false, 1)),
            new Allowed(60, 1_000, true, true, 1, 1_000 * MS, 15 * SECOND, 2 * SECOND), RULES,
            new Prices(0.05, 0.02, 0, 0.1, List.of()));
    }
}
