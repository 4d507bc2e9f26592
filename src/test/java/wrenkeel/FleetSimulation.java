package wrenkeel;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import wrenkeel.SimulatedDestination.Outage;
import wrenkeel.Relay.*;

/**
 * Many relays with unequal traffic against one destination that has outages and comes back cold, on a virtual
 * clock in microseconds. Relays may be restarted. One thread.
 */
final class FleetSimulation {
    /** What a process that is started again finds of the one before it. */
    enum RestartState {
        /** The lasting folder. */ STATE_FOLDER,
        /** An empty folder: the machine was lost. */ NO_STATE,
        /** What the process before left as it ended in order. */ HANDOVER
    }

    /**
     * @param at time at which processes end; they are started again {@link #RESTART_MICROS} later
     * @param share of the relays whose processes end then
     */
    record Restart(long at, double share, RestartState state) { }

    /**
     * @param relays in the fleet; one in ten gets so many times the traffic of each other
     * @param capacity calls a second that the warm destination takes from all relays together
     * @param outageCount that follow each other
     */
    record Scenario(int relays, int busyFactor, Outage outage, int outageCount, Weights weights, double capacity,
                    long seed, List<Restart> restarts) {
        Scenario(int relays, Outage outage, Weights weights, double capacity, long seed) {
            this(relays, 5, outage, 1, weights, capacity, seed, List.of());
        }

        Scenario withRestarts(Restart... newRestarts) {
            return new Scenario(relays, busyFactor, outage, outageCount, weights, capacity, seed, List.of(newRestarts));
        }

        Scenario withOutageCount(int count) {
            return new Scenario(relays, busyFactor, outage, count, weights, capacity, seed, restarts);
        }

        Scenario withEvenTraffic() {
            return new Scenario(relays, 1, outage, outageCount, weights, capacity, seed, restarts);
        }
    }

    /**
     * @param coldLoad what the cold destination got
     * @param inAimShare share of the messages that are delivered within their aim
     * @param withoutCallShare share of the messages that end without any call
     */
    record Result(SimulatedDestination.ColdLoad coldLoad, double inAimShare, double withoutCallShare) { }

    static final long MS = 1_000, SECOND = 1_000_000;
    static final long RESTART_MICROS = 600 * MS;
    private static final long NETWORK_DELAY_MICROS = 10 * MS;
    private static final long LIFE_MICROS = 28 * SECOND, AIM_MICROS = 3 * SECOND;
    private static final long CLIENT_RETRY_MICROS = 500 * MS;
    /** Share of the capacity that comes in. */
    private static final double OFFERED_LOAD_SHARE = 0.75;
    private static final int RELAYS_PER_BUSY_RELAY = 10;
    private static final long[] ENDPOINT_IDS = {11, 12};
    static final Rules RULES = new Rules(250 * MS, 2, 2 * SECOND, 0.2, 10 * SECOND, 50 * MS, 20 * MS);

    /** Something due at a time; what is due at one time keeps its order. */
    private record ScheduledTask(long at, long sequence, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private static final class Message {
        final String id;
        final long deadline;
        final List<Earlier> attempts = new ArrayList<>();
        boolean finished, deliveredInAim;

        Message(String id, long deadline) {
            this.id = id;
            this.deadline = deadline;
        }

        long aimTime() {
            return deadline - LIFE_MICROS + AIM_MICROS;
        }
    }

    /** One relay, its process and the messages that it holds. */
    private final class SimulatedRelay {
        final int rank;
        final Map<String, Message> messages = new LinkedHashMap<>();
        /** What the lasting folder holds of the endpoints. */
        final Map<Long, Known> stateFolder = new HashMap<>();
        Control control;
        /** Number of its process; what an earlier one has begun is lost. */
        int processNumber;
        boolean alive = true;
        long wakeAt = Long.MAX_VALUE;
        boolean informed;

        SimulatedRelay(int rank) {
            this.rank = rank;
            startProcess();
        }

        private void startProcess() {
            control = new Control(random.nextLong(), settings(rank));
            turn(new Listed(ListKind.WHOLE, endpoints));
        }

        void stopProcess() {
            alive = false;
            processNumber++;
            wakeAt = Long.MAX_VALUE;
        }

        void restartProcess(RestartState state) {
            List<Known> known = state == RestartState.HANDOVER ? control.knowledge()
                : List.copyOf(stateFolder.values());
            alive = true;
            if (state == RestartState.NO_STATE) {
                stateFolder.clear();
                messages.values().forEach(message -> message.finished = true);
            }
            startProcess();
            if (state != RestartState.NO_STATE) {
                recover(known);
            }
        }

        private void recover(List<Known> known) {
            List<Event> events = new ArrayList<>(known);
            for (Message message : messages.values()) {
                if (!message.finished) {
                    events.add(new Accepted(message.id, 0, 0, null, message.deadline, 1, true,
                        List.copyOf(message.attempts)));
                }
            }
            turn(events.toArray(Event[]::new));
        }

        void accept(Message message) {
            messages.put(message.id, message);
            turn(new Accepted(message.id, 0, 0, null, message.deadline, 1));
        }

        void turn(Event... events) {
            for (Action action : control.turn(now, List.of(events))) {
                if (action instanceof Send send) {
                    send(send);
                } else if (action instanceof Refuse refuse) {
                    messages.get(refuse.id()).finished = true;
                } else if (action instanceof Fail fail) {
                    messages.get(fail.id()).finished = true;
                } else if (action instanceof HealthChanged changed) {
                    stateFolder.put(changed.endpoint(), Known.health(changed.endpoint(), changed.health(),
                        changed.since(), changed.carried()));
                } else if (action instanceof Wake wake) {
                    scheduleWake(wake.after());
                }
            }
        }

        private void scheduleWake(long after) {
            wakeAt = Math.min(wakeAt, now + after);
            int scheduledBy = processNumber;
            schedule(now + after, () -> {
                if (processNumber == scheduledBy && wakeAt <= now) {
                    wakeAt = Long.MAX_VALUE;
                    turn(new Relay.Due());
                }
            });
        }

        private void send(Send send) {
            Call call = new Call(this, messages.get(send.id()), send.endpoint());
            schedule(now + NETWORK_DELAY_MICROS, call::arrive);
            schedule(now + send.timeout(), () -> call.end(Outcome.TIMEOUT, 0));
        }
    }

    /** One call of a process. */
    private final class Call {
        private final SimulatedRelay relay;
        private final Message message;
        private final long endpoint;
        private final int processNumber;
        private final int attempt;
        private final long sentAt = now;
        private boolean ended;

        Call(SimulatedRelay relay, Message message, long endpoint) {
            this.relay = relay;
            this.message = message;
            this.endpoint = endpoint;
            processNumber = relay.processNumber;
            attempt = message.attempts.size();
            message.attempts.add(new Earlier(sentAt, 0, true));
        }

        void arrive() {
            if (processNumber != relay.processNumber) {
                return;
            }
            SimulatedDestination.Response response = destination.call(now, relay.informed);
            if (response.outcome() != null) {
                schedule(now + NETWORK_DELAY_MICROS + response.delay(), () -> end(response.outcome(), response.waitFor()));
            }
        }

        void end(Outcome outcome, long waitFor) {
            if (ended || processNumber != relay.processNumber) {
                return;
            }
            ended = true;
            relay.informed |= outcome != Outcome.OK && destination.isOut(now);
            message.deliveredInAim |= outcome == Outcome.OK && now <= message.aimTime();
            message.finished |= outcome == Outcome.OK;
            message.attempts.set(attempt, new Earlier(sentAt, 0, !outcome.neverRan()));
            relay.turn(new Ended(message.id, attempt, endpoint, outcome, outcome == Outcome.OK, waitFor,
                now - sentAt, -1, -1));
        }
    }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
    private final SimulatedDestination destination;
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<SimulatedRelay> relays = new ArrayList<>();
    private final List<Message> submittedMessages = new ArrayList<>();
    private long now, nextSequence, nextMessageId;

    private FleetSimulation(Scenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed);
        destination = new SimulatedDestination(scenario.capacity, scenario.outage, scenario.outageCount, RULES);
    }

    static Result run(Scenario scenario) {
        return new FleetSimulation(scenario).run();
    }

    private Result run() {
        double listingError = scenario.weights == Weights.ROUGH ? 0.5 + random.nextDouble() : 1;
        for (long id : ENDPOINT_IDS) {
            endpoints.add(new Endpoint(id, 0, 0, 1, Listing.READY, scenario.capacity * listingError));
        }
        int busyRelays = (scenario.relays + RELAYS_PER_BUSY_RELAY - 1) / RELAYS_PER_BUSY_RELAY;
        double trafficUnit = OFFERED_LOAD_SHARE * scenario.capacity / (scenario.relays + busyRelays * (scenario.busyFactor - 1));
        for (int rank = 0; rank < scenario.relays; rank++) {
            SimulatedRelay relay = new SimulatedRelay(rank);
            relays.add(relay);
            scheduleNextArrival(relay, trafficUnit * (rank % RELAYS_PER_BUSY_RELAY == 0 ? scenario.busyFactor : 1));
        }
        scenario.restarts.forEach(restart -> schedule(restart.at, () -> restart(restart)));
        while (!tasks.isEmpty() && tasks.peek().at() < destination.endAt()) {
            ScheduledTask next = tasks.poll();
            now = next.at();
            next.task().run();
        }
        return result();
    }

    private void restart(Restart restart) {
        List<SimulatedRelay> affected = new ArrayList<>(relays);
        Collections.shuffle(affected, new java.util.Random(random.nextLong()));
        int count = Math.max(1, (int) Math.round(restart.share * relays.size()));
        for (SimulatedRelay relay : affected.subList(0, count)) {
            if (relay.alive) {
                relay.stopProcess();
                long downFor = restart.state == RestartState.HANDOVER ? 0 : RESTART_MICROS;
                schedule(now + downFor, () -> relay.restartProcess(restart.state));
            }
        }
    }

    /** Messages at random times up to the end. */
    private void scheduleNextArrival(SimulatedRelay relay, double perSecond) {
        long next = now + (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
        schedule(next, () -> {
            Message message = new Message("m" + nextMessageId++, now + LIFE_MICROS);
            submittedMessages.add(message);
            submit(relay, message);
            scheduleNextArrival(relay, perSecond);
        });
    }

    /** A client that finds a relay down goes to another, and comes again if all are. */
    private void submit(SimulatedRelay first, Message message) {
        List<SimulatedRelay> alive = relays.stream().filter(relay -> relay.alive).toList();
        if (first.alive) {
            first.accept(message);
        } else if (!alive.isEmpty()) {
            alive.get(random.nextInt(alive.size())).accept(message);
        } else {
            schedule(now + CLIENT_RETRY_MICROS, () -> submit(first, message));
        }
    }

    private void schedule(long at, Runnable task) {
        tasks.add(new ScheduledTask(at, nextSequence++, task));
    }

    private Result result() {
        List<Message> counted = submittedMessages.stream().filter(m -> m.deadline <= destination.endAt()).toList();
        double inAim = counted.stream().filter(m -> m.deliveredInAim).count();
        double untried = counted.stream().filter(m -> m.attempts.isEmpty()).count();
        return new Result(destination.load(), inAim / counted.size(), untried / counted.size());
    }

    private Settings settings(int rank) {
        MessageClass only = new MessageClass("a", AIM_MICROS, LIFE_MICROS, 1, 0.5, Effect.SAFE, false, 0, false, 8);
        return new Settings(rank, scenario.relays, 0, false, 0.2, scenario.weights, List.of(only), List.of(),
            List.of(new Kind(false, 1)),
            new Allowed(60, 1_000, true, true, 1, 1_000 * MS, 15 * SECOND, 2 * SECOND), RULES,
            new Prices(0.05, 0.02, 0, 0.1, List.of()));
    }
}
