package wrenkeel;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import wrenkeel.Relay.*;
import wrenkeel.soak.OutageShape;
import wrenkeel.soak.OutageShape.Burst;
import wrenkeel.soak.OutageShape.Failure;
import wrenkeel.soak.OutageShape.QuietSpell;

/**
 * Simulates a fleet of relays, each with its own {@link Control}, that send to one
 * {@link SimulatedDestination}. Some relays get more traffic than others, and relays may be restarted. The
 * clock is virtual; times and spans are microseconds. A run depends on nothing but its {@link Scenario}. One
 * thread.
 */
final class FleetSimulation {
    /** What a restarted process finds of the state of the process before it. */
    enum RestartState {
        /** The state folder: its messages, and the last known health of the endpoints. */ STATE_FOLDER,
        /** Nothing, as the machine was lost; its messages are lost too. */ NO_STATE,
        /** The messages, and all that an orderly handover passes on about the endpoints. */ HANDOVER
    }

    /**
     * A restart of some relays at the same time.
     *
     * @param at time at which their processes end; the next ones start {@link #RESTART_MICROS} later, or at
     *     once after a handover
     * @param share share of the relays that are restarted, at least one of them
     * @param state what the next processes find
     */
    record Restart(long at, double share, RestartState state) { }

    /**
     * The parameters of a run.
     *
     * @param shape the outage, the traffic and the size of the fleet
     * @param tailMicros time from the end of the last outage to the end of the run
     * @param restarts restarts of relays during the run
     */
    record Scenario(OutageShape shape, long tailMicros, List<Restart> restarts) {
        /** Start of the first outage, unless a shape says otherwise. */
        static final long FIRST_OUTAGE_MS = 40_000;
        /** Duration of an outage, unless a shape says otherwise. */
        static final long OUTAGE_MS = 10_000;
        private static final long OUTAGE_INTERVAL_MS = 16_000;

        /** One outage of two endpoints, busy relays with five times the usual traffic, no restarts. */
        Scenario(int relays, Failure failure, Weights weights, double capacity, long seed) {
            this(new OutageShape(seed, relays, 2, OFFERED_LOAD_SHARE * capacity, 5, capacity, weights,
                LIFE_MICROS / MS, failure, FIRST_OUTAGE_MS, OUTAGE_MS, 1, OUTAGE_INTERVAL_MS, 1,
                QuietSpell.NONE, Burst.NONE, OutageShape.Restart.NONE), 50 * SECOND, List.of());
        }

        /** A drawn shape; the run ends when the destination is warm. */
        Scenario(OutageShape shape) {
            this(shape, RULES.warmUpTime(), shape.restart().share() == 0 ? List.of()
                : List.of(new Restart(
                    (shape.startMillis() + shape.outageMillis() + shape.restart().afterReturnMillis()) * MS,
                    shape.restart().share(), RestartState.STATE_FOLDER)));
        }

        /** The time of the first return to service, unless a shape says otherwise. */
        static long firstReturnAt() {
            return (FIRST_OUTAGE_MS + OUTAGE_MS) * MS;
        }

        /** The same scenario with these restarts only. */
        Scenario withRestarts(Restart... newRestarts) {
            return new Scenario(shape, tailMicros, List.of(newRestarts));
        }

        /** The same scenario with two outages. */
        Scenario withTwoOutages() {
            return withTraffic(shape.busyFactor(), 2);
        }

        /** The same scenario with the same traffic for each relay. */
        Scenario withEvenTraffic() {
            return withTraffic(1, shape.outageCount());
        }

        private Scenario withTraffic(int busyFactor, int outageCount) {
            return new Scenario(new OutageShape(shape.seed(), shape.relays(), shape.endpoints(),
                shape.messagesPerSecond(), busyFactor, shape.capacityPerSecond(), shape.weights(),
                shape.lifetimeMillis(), shape.failure(), shape.startMillis(), shape.outageMillis(), outageCount,
                shape.intervalMillis(), shape.limitFactor(), shape.quietSpell(), shape.burst(),
                shape.restart()), tailMicros, restarts);
        }
    }

    /**
     * The result of a run.
     *
     * @param coldLoad load on the destination while it was cold
     * @param inAimShare share of the messages that were delivered within their target time
     * @param withoutCallShare share of the messages for which no call was made
     */
    record Result(SimulatedDestination.ColdLoad coldLoad, double inAimShare, double withoutCallShare) { }

    /** A millisecond, in microseconds. */
    static final long MS = 1_000;
    /** A second, in microseconds. */
    static final long SECOND = 1_000_000;
    /** Time from the end of a killed process to the start of the next. */
    static final long RESTART_MICROS = 600 * MS;
    /** Time that a call or its response takes on the network. */
    private static final long NETWORK_DELAY_MICROS = 10 * MS;
    /** Time from a message's submission to its deadline. */
    private static final long LIFE_MICROS = 28 * SECOND;
    /** Target time for the delivery of a message. */
    private static final long AIM_MICROS = 3 * SECOND;
    /** Time after which a client tries again that has found all relays down. */
    private static final long CLIENT_RETRY_MICROS = 500 * MS;
    /** Messages a second of all relays together, as a share of the destination's capacity. */
    private static final double OFFERED_LOAD_SHARE = 0.75;
    /** One in so many relays is busy. */
    private static final int RELAYS_PER_BUSY_RELAY = 10;
    private static final long FIRST_ENDPOINT_ID = 11;
    /** The rules that bind all relays, and the warm-up that the destination follows. */
    static final Rules RULES = new Rules(250 * MS, 2, 2 * SECOND, 0.2, 10 * SECOND, 50 * MS, 20 * MS);

    /** A task that runs at a time; tasks of the same time run in the order in which they were scheduled. */
    private record ScheduledTask(long at, long sequence, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    /** A message and the attempts made for it by any process. */
    private static final class Message {
        final String id;
        final long deadline;
        /** The latest time at which a delivery is within the target time. */
        final long aimTime;
        final List<EarlierAttempt> attempts = new ArrayList<>();
        /** True once it was delivered, refused or failed, or was lost with its relay's machine. */
        boolean finished;
        boolean deliveredInAim;

        Message(String id, long deadline, long aimTime) {
            this.id = id;
            this.deadline = deadline;
            this.aimTime = aimTime;
        }

    }

    /** One relay, its present process and its messages. */
    private final class SimulatedRelay {
        final int rank;
        final Map<String, Message> messages = new LinkedHashMap<>();
        /** Health of the endpoints, as stored in the state folder. */
        final Map<Long, EndpointSnapshot> stateFolder = new HashMap<>();
        Control control;
        /** Number of the present process; timers and calls of earlier ones are ignored. */
        int processNumber;
        boolean alive = true;
        /** When the earliest timer of the process is due; {@code Long.MAX_VALUE} for none. */
        long wakeAt = Long.MAX_VALUE;
        /** True once a call of any of its processes has failed during an outage. */
        boolean informed;

        SimulatedRelay(int rank) {
            this.rank = rank;
            startProcess();
        }

        /** Starts a process that knows nothing but its settings and the list of endpoints. */
        private void startProcess() {
            control = new Control(random.nextLong(), settings(rank));
            turn(new ListUpdated(ListKind.WHOLE, endpoints));
        }

        /** Ends the process; its calls in flight are lost. */
        void stopProcess() {
            alive = false;
            processNumber++;
            wakeAt = Long.MAX_VALUE;
        }

        /** Starts the next process and lets it recover the state that it finds. */
        void restartProcess(RestartState state) {
            List<EndpointSnapshot> known = state == RestartState.HANDOVER ? control.endpointSnapshots()
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

        /** Hands the present process what is known of the endpoints, and the unfinished messages. */
        private void recover(List<EndpointSnapshot> known) {
            List<Event> events = new ArrayList<>(known);
            for (Message message : messages.values()) {
                if (!message.finished) {
                    events.add(new MessageAccepted(message.id, 0, 0, null, message.deadline, 1, true,
                        List.copyOf(message.attempts)));
                }
            }
            turn(events.toArray(Event[]::new));
        }

        /** Accepts a message from a client. */
        void accept(Message message) {
            messages.put(message.id, message);
            turn(new MessageAccepted(message.id, 0, 0, null, message.deadline, 1));
        }

        /** Hands events to the module and carries out its actions. */
        void turn(Event... events) {
            for (Action action : control.turn(now, List.of(events))) {
                if (action instanceof Send send) {
                    send(send);
                } else if (action instanceof Refuse refuse) {
                    messages.get(refuse.id()).finished = true;
                } else if (action instanceof Fail fail) {
                    messages.get(fail.id()).finished = true;
                } else if (action instanceof HealthChanged changed) {
                    stateFolder.put(changed.endpoint(), EndpointSnapshot.health(changed.endpoint(), changed.health(),
                        changed.since(), changed.carriedPerSecond()));
                } else if (action instanceof SetTimer wake) {
                    scheduleWake(wake.delay());
                }
            }
        }

        /** Sets a timer of the present process. */
        private void scheduleWake(long after) {
            wakeAt = Math.min(wakeAt, now + after);
            int scheduledBy = processNumber;
            schedule(now + after, () -> {
                if (processNumber == scheduledBy && wakeAt <= now) {
                    wakeAt = Long.MAX_VALUE;
                    turn(new Relay.TimerDue());
                }
            });
        }

        /** Makes a call; it reaches the destination after the network delay and may time out. */
        private void send(Send send) {
            Call call = new Call(this, messages.get(send.id()), send.endpoint());
            schedule(now + NETWORK_DELAY_MICROS, call::arrive);
            schedule(now + send.timeout(), () -> call.end(Outcome.TIMEOUT, 0));
        }
    }

    /** One call of one process, which carries one message. */
    private final class Call {
        private final SimulatedRelay relay;
        private final Message message;
        private final long endpoint;
        private final int processNumber;
        private final int attempt;
        private final long sentAt = now;
        private boolean arrivedInOutage;
        private boolean ended;

        Call(SimulatedRelay relay, Message message, long endpoint) {
            this.relay = relay;
            this.message = message;
            this.endpoint = endpoint;
            processNumber = relay.processNumber;
            attempt = message.attempts.size();
            message.attempts.add(new EarlierAttempt(sentAt, 0, true));
        }

        /** The call reaches the destination; its response, if there is one, is scheduled. */
        void arrive() {
            if (processNumber != relay.processNumber) {
                return;
            }
            arrivedInOutage = destination.isOut(now);
            SimulatedDestination.Response response = destination.call(now, relay.informed);
            if (response.outcome() != null) {
                schedule(now + NETWORK_DELAY_MICROS + response.delay(),
                    () -> end(response.outcome(), response.waitFor()));
            }
        }

        /** Ends the call and notifies the module, unless the call has ended already or its process has. */
        void end(Outcome outcome, long waitFor) {
            if (ended || processNumber != relay.processNumber) {
                return;
            }
            ended = true;
            relay.informed |= outcome != Outcome.OK && (arrivedInOutage || destination.isOut(now));
            message.deliveredInAim |= outcome == Outcome.OK && now <= message.aimTime;
            message.finished |= outcome == Outcome.OK;
            message.attempts.set(attempt, new EarlierAttempt(sentAt, 0, !outcome.provesNotExecuted()));
            relay.turn(new AttemptEnded(message.id, attempt, endpoint, outcome, outcome == Outcome.OK, waitFor,
                now - sentAt, -1, -1));
        }
    }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
    private final SimulatedDestination destination;
    private final long endAt;
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<SimulatedRelay> relays = new ArrayList<>();
    private final List<Message> submittedMessages = new ArrayList<>();
    /** The virtual clock. */
    private long now;
    private long nextSequence;
    private long nextMessageId;

    private FleetSimulation(Scenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.shape.seed());
        destination = new SimulatedDestination(scenario.shape, RULES);
        endAt = destination.lastReturnAt() + scenario.tailMicros;
    }

    /** Runs a scenario until its last outage and the time after it are over. */
    static Result run(Scenario scenario) {
        return new FleetSimulation(scenario).run();
    }

    private Result run() {
        OutageShape shape = scenario.shape;
        double listingError = shape.weights() == Weights.ROUGH ? 0.5 + random.nextDouble() : 1;
        for (int i = 0; i < shape.endpoints(); i++) {
            endpoints.add(new Endpoint(FIRST_ENDPOINT_ID + i, 0, 0, 1, Listing.READY,
                shape.capacityPerSecond() * listingError));
        }
        int busyRelays = (shape.relays() + RELAYS_PER_BUSY_RELAY - 1) / RELAYS_PER_BUSY_RELAY;
        double trafficUnit = shape.messagesPerSecond()
            / (shape.relays() + busyRelays * (shape.busyFactor() - 1));
        for (int rank = 0; rank < shape.relays(); rank++) {
            SimulatedRelay relay = new SimulatedRelay(rank);
            relays.add(relay);
            scheduleNextArrival(relay,
                trafficUnit * (rank % RELAYS_PER_BUSY_RELAY == 0 ? shape.busyFactor() : 1));
        }
        scheduleBurst();
        scenario.restarts.forEach(restart -> schedule(restart.at, () -> restart(restart)));
        while (!tasks.isEmpty() && tasks.peek().at() < endAt) {
            ScheduledTask next = tasks.poll();
            now = next.at();
            next.task().run();
        }
        return result();
    }

    /** Restarts a random choice of the relays; one that is down already is left alone. */
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

    /** Schedules the next message for a relay; messages come at random, {@code perSecond} in the mean. */
    private void scheduleNextArrival(SimulatedRelay relay, double perSecond) {
        long next = now + (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND);
        schedule(next, () -> {
            if (!scenario.shape.quietSpell().contains(now / MS - scenario.shape.startMillis())) {
                submitNew(relay);
            }
            scheduleNextArrival(relay, perSecond);
        });
    }

    /** Schedules the messages of the burst, each to a random relay. */
    private void scheduleBurst() {
        Burst burst = scenario.shape.burst();
        long count = Math.round(burst.seconds() * scenario.shape.messagesPerSecond());
        long start = (scenario.shape.startMillis() + burst.atMillis()) * MS;
        for (long i = 0; i < count; i++) {
            SimulatedRelay relay = relays.get(random.nextInt(relays.size()));
            schedule(start + random.nextLong(Burst.LENGTH_MILLIS * MS), () -> submitNew(relay));
        }
    }

    private void submitNew(SimulatedRelay relay) {
        Message message = new Message("m" + nextMessageId++, now + scenario.shape.lifetimeMillis() * MS,
            now + AIM_MICROS);
        submittedMessages.add(message);
        submit(relay, message);
    }

    /** A client whose relay is down submits its message to another one, or later if all are down. */
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

    /** Sums up the run; messages with a deadline after its end are left out. */
    private Result result() {
        List<Message> counted = submittedMessages.stream()
            .filter(message -> message.deadline <= endAt).toList();
        double inAim = counted.stream().filter(message -> message.deliveredInAim).count();
        double withoutCall = counted.stream().filter(message -> message.attempts.isEmpty()).count();
        return new Result(destination.load(), inAim / counted.size(), withoutCall / counted.size());
    }

    /** Settings of one relay: one class of messages, safe to repeat; hedged attempts are allowed. */
    private Settings settings(int rank) {
        MessageClass messageClass = new MessageClass("a", AIM_MICROS,
            scenario.shape.lifetimeMillis() * MS, 1, 0.5, Effect.SAFE, false,
            0, false, 8);
        return new Settings(rank, scenario.shape.relays(), 0, false, 0.2, scenario.shape.weights(),
            List.of(messageClass),
            List.of(), List.of(new Kind(false, 1)),
            new Limits(60, 1_000, true, true, 1, 1_000 * MS, 15 * SECOND, 2 * SECOND), RULES,
            new Costs(0.05, 0.02, 0, 0.1, List.of()));
    }
}
