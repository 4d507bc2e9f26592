package wrenkeel;

import java.util.*;
import wrenkeel.Relay.*;
import wrenkeel.State.*;

/**
 * All decisions of one relay. The interface (settings, events, actions) is in Relay.java.
 *
 * <p>Feed {@link #turn} with the time and events; carry out what it returns, in order. One thread.
 *
 * <p>Sections: tuned values; state; events; message life; dispatch and the send gate; copies; window and
 * pace; health and slow start ({@link SlowStart}); list of endpoints; clockwork. The ordinary path is
 * speculative execution: docs/design.md tells what is kept, added and excepted.
 */
public final class Control {
    // ---- Tuned values ---------------------------------------------------------------------------
    private static final long MS = 1_000L, SECOND = 1_000_000L, NEVER = Long.MAX_VALUE;
    /** us; copy delay until a destination's answers are known (the design's figure). */
    private static final long INITIAL_COPY_DELAY_MICROS = 200 * MS;
    /** Share of recent answers below the copy delay; the design asks for about nine in ten. */
    private static final double COPY_DELAY_PERCENTILE = 0.95;
    /** Answers remembered for the delay (a tail, yet it follows), and how many make it known. */
    private static final int LATENCY_SAMPLES = 48, MIN_LATENCY_SAMPLES = 8;
    /** Extra executions of one message; the source's example uses one. */
    private static final int MAX_COPIES = 1;
    /** Calls a limit must have left for a copy; copies earned by a send, and saved: no pile-up. */
    private static final double MIN_TOKENS_FOR_COPY = 2, COPY_TOKENS_PER_SEND = 0.05, MAX_COPY_TOKENS = 2;
    /** Share of the slots that one destination's window may reach; and while it fails or is slow. */
    private static final double MAX_WINDOW_SLOT_SHARE = 0.75, DEGRADED_SLOT_SHARE = 0.3;
    /** A destination is slow when its latest answers take this multiple of the usual. */
    private static final double SLOW_LATENCY_FACTOR = 2.5;
    /** Weights of a new answer in the latest and the usual time. */
    private static final double RECENT_LATENCY_WEIGHT = 0.3, BASELINE_LATENCY_WEIGHT = 0.03;
    /** us; time-out: a multiple of the copy delay, its bounds, and one until answers are known. */
    private static final double TIMEOUT_FACTOR = 4.5;
    private static final long MIN_TIMEOUT_MICROS = 3 * SECOND / 2, MAX_TIMEOUT_MICROS = 6 * SECOND,
        INITIAL_TIMEOUT_MICROS = 3 * SECOND;
    /** Longer time-outs where one loses the message. */
    private static final double UNSAFE_TIMEOUT_FACTOR = 3;
    /** Priority: weight of the worth lost by another second of waiting against the worth itself. */
    private static final double URGENCY_WEIGHT = 2;
    /** us; endpoint choice: price of opening a connection, of one point of fee, of each failure in a row. */
    private static final long CONNECT_COST_MICROS = 100 * MS, POINT_COST_MICROS = 50 * MS, FAILURE_COST_MICROS = 2 * SECOND;
    /** Pace: most over the listed rate, cut at a refusal, growth at an answer, least of an even split. */
    private static final double MAX_LISTED_RATE_FACTOR = 1.4, REFUSAL_RATE_FACTOR = 0.75, RATE_GROWTH_SHARE = 0.2, MIN_EVEN_SHARE_FACTOR = 0.5,
        INITIAL_EVEN_SHARE_FACTOR = 2;
    /** Calls a second: rate where none is listed; slowest pace (less would be a ban) of few; no rate. */
    private static final double UNLISTED_CALLS_PER_SECOND = 1e6, MIN_CALLS_PER_SECOND = 0.25, MIN_ACCEPTED_PER_SECOND = 1e-6;
    /** Calls a second of all relays together to a place not met yet, and to one that takes bundles. */
    private static final double FLEET_START_CALLS_PER_SECOND = 40, FLEET_START_BATCHES_PER_SECOND = 20;
    /** Calls, and one for each relay, over which the pace is regained; bounds of that span (us). */
    private static final double REGAIN_CALLS = 3;
    private static final long MIN_REGAIN_MICROS = SECOND / 4, MAX_REGAIN_MICROS = 6 * SECOND;
    /** Relays that may each insist on a pace of what comes in to them. */
    private static final double SMALL_FLEET_RELAYS = 3;
    /** Drop of the pace where the limit is met; share of the limit left when met again at once. */
    private static final double LIMIT_RATE_DROP = 0.3, REPEATED_LIMIT_FACTOR = 0.7;
    /** The pace stays under this multiple of what has been carried. */
    private static final double RATE_GROWTH_FACTOR = 2;
    /** us; span over which a lane's own calls are counted. */
    private static final long CALL_RATE_SPAN_MICROS = 3 * SECOND;
    /** s; a lane may send this much of its pace at once. */
    private static final double BURST_SECONDS = 0.7;
    /** Calls that a lane of any pace may save up: the first of a message, and one more if that is refused. */
    private static final double MIN_BURST_CALLS = 2;
    /** Share of the limit left below which the pace gives way, and the pace's steps. */
    private static final double LOW_REMAINING_SHARE = 0.15, LOW_REMAINING_RATE_FACTOR = 0.9;
    /** Share of calls after a refusal that get in (by kind): least counted, weight of a new one, usual. */
    private static final double MIN_RETRY_SUCCESS = 0.03, RETRY_SUCCESS_WEIGHT = 0.1, USUAL_RETRY_SUCCESS = 0.3;
    /** First back-off after a refusal or failed connect, in us and own gaps; growth up to the longest. */
    private static final double BACKOFF_GROWTH = 3, INITIAL_BACKOFF_GAPS = 0.5, MAX_BACKOFF_GAPS = 10;
    private static final long MAX_INITIAL_BACKOFF_MICROS = 500 * MS, MIN_INITIAL_BACKOFF_MICROS = 150 * MS,
        MIN_BACKOFF_CAP_MICROS = 2 * SECOND, MAX_BACKOFF_CAP_MICROS = 8 * SECOND;
    /** Shut rather than full: a told wait (us) past any limit span, or so many back-offs in a row. */
    private static final long OUTAGE_RETRY_AFTER_MICROS = 5 * SECOND / 2, OUTAGE_REFUSALS = 3;
    /** Failures in a row, or a share of recent calls, that mean an outage; a new outcome's weight. */
    private static final int OUTAGE_FAILURES = 3;
    private static final double OUTAGE_FAILURE_SHARE = 0.6, OUTCOME_WEIGHT = 0.2;
    /** us; a route that answered within this is not yet taken for failing. */
    private static final long RECENT_SUCCESS_MICROS = 700 * MS;
    /** us; a sibling of a failing route that answered a call sent this long before is not suspected. */
    private static final long SIBLING_SUCCESS_MICROS = 500 * MS;
    /** us; span over which a relay measures its own usual rate to a destination. */
    private static final long RATE_SPAN_MICROS = 15 * SECOND, MIN_RATE_AGE_MICROS = 3 * SECOND;
    /** A connection stays open where this many uses are expected while connections of its kind are held. */
    private static final double MIN_EXPECTED_USES = 0.5;
    /** The span for which they are held: its cut at a failed connect, its growth at an answer. */
    private static final double IDLE_HOLD_CUT = 0.5, IDLE_HOLD_GROWTH = 1.02;
    /** us; and the least: one used again sooner harms nobody, and an outage fails connects without end. */
    private static final double MIN_IDLE_HOLD_MICROS = 2 * SECOND;
    /** us; least idle time for which a connection may be taken for dropped; trust per idle time proven. */
    private static final double MIN_IDLE_TRUST_MICROS = 250 * MS, IDLE_TRUST_FACTOR = 1.25;
    /** us; least gap between trials of a route; a suspicion cleared within this leaves no slow start. */
    private static final long PROBE_GAP_MICROS = 400 * MS, SUSPICION_MICROS = 2 * SECOND;
    /** us; a route not heard from for so long before a trial may have been out all the time. */
    private static final long LONG_SILENCE_MICROS = 5 * SECOND;
    /** Part of what comes in that a relay may send to a cold lane to which it carried less before. */
    private static final double OUTAGE_RATE_SHARE = 0.5;
    /** s; a tenant inside its share may run ahead of it by this much. */
    private static final double QUOTA_BURST_SECONDS = 2;
    /** us; a waiting message is looked at again at least this often while its lane is limited. */
    private static final long RECHECK_MICROS = 500 * MS;
    /** us; at a start, nothing is sent by an old list while a newer one may still come within this. */
    private static final long LIST_WAIT_MICROS = SECOND;
    /** us; an endpoint off the list is forgotten after this: past any wait or warm-up. */
    private static final long FORGET_AFTER_MICROS = 600 * SECOND;
    /** us; a destination stays known for so long after its last use, or past any warm-up and window. */
    private static final long MIN_UNUSED_MICROS = 60 * SECOND;
    /** Destinations known at once beyond which only warm-ups and windows keep a quiet one. */
    private static final int MANY_DESTINATIONS = 4_096;
    /** us; first back-off of a route for which this machine had no socket; so many in a row are its fault. */
    private static final long NO_SOCKET_BACKOFF_MICROS = 50 * MS;
    private static final int NO_SOCKET_FAILURES = 6;

    // ---- State ----------------------------------------------------------------------------------
    private record Candidate(Message message, EndpointState endpoint, double priority) { }

    private Settings settings;
    private final SplittableRandom random;
    private final Map<String, Message> messages = new HashMap<>();
    private final Map<String, OrderingKey> orderingKeys = new HashMap<>();
    private final Map<Long, Destination> destinations = new TreeMap<>();
    private final Map<Long, EndpointState> endpoints = new TreeMap<>();
    private final Set<Destination> dispatchCandidates = new LinkedHashSet<>();
    /** All destinations, the one used last at the end. */
    private final Set<Destination> byLastUse = new LinkedHashSet<>();
    /** Of destinations released before their bucket was full again: when it is. */
    private final Map<Long, Long> releasedBucketFullAt = new LinkedHashMap<>();
    private TokenBucket[] quotaBuckets;
    /** us, by kind: how long idle connections are held (endpoints may take few), and trusted to be alive. */
    private final double[] idleHoldMicros, idleTrustMicros;
    private final double[] retrySuccess;
    private final PriorityQueue<TimerEntry> timers = new PriorityQueue<>();
    private List<Action> actions = new ArrayList<>();
    private long now, startedAt, timerSequence, turnCount, timerSetFor = NEVER, listAwaitedUntil = Long.MIN_VALUE;
    private int slotsUsed, externalCalls, openMessages, unavailableCount;
    private boolean handingOver, releaseRequested, storageUnwritable;

    /** A relay that knows nothing yet but its settings. */
    public Control(long seed, Settings initialSettings) {
        settings = Objects.requireNonNull(initialSettings, "settings");
        random = new SplittableRandom(seed);
        quotaBuckets = new TokenBucket[settings.tenants().size()];
        Arrays.setAll(quotaBuckets, i -> new TokenBucket());
        idleHoldMicros = new double[settings.kinds().size()];
        Arrays.fill(idleHoldMicros, settings.limits().keepAlive());
        idleTrustMicros = idleHoldMicros.clone();
        retrySuccess = new double[idleHoldMicros.length];
        Arrays.fill(retrySuccess, 1);
    }

    // ---- Events ---------------------------------------------------------------------------------
    /** One turn: the time, which never goes back, and the events since the last. Returns what to do. */
    public List<Action> turn(long time, List<Event> events) {
        Objects.requireNonNull(events, "events");
        if (turnCount > 0 && time < now) {
            throw new IllegalArgumentException("clock went back from " + now + " to " + time);
        }
        now = time;
        startedAt = turnCount++ == 0 ? now : startedAt;
        actions = new ArrayList<>();
        for (Event event : events) {
            handle(Objects.requireNonNull(event, "event"));
        }
        // Only now: what the turn tells of later may have made room, or have ended the message given back.
        for (int excess = openMessages - settings.limits().maxOpenMessages(); excess >= 0; excess--) {
            shedLowestWorth();
        }
        runTimers();
        dispatch();
        if (releaseRequested) {
            // Only now: a message of this very turn may be a destination's first for long.
            releaseRequested = false;
            releaseUnused();
        }
        setTimer();
        return actions;
    }

    /** How many endpoints that the list calls ready are out; a pause for a limit does not count. */
    public int unavailableEndpoints() {
        return unavailableCount;
    }

    private void handle(Event event) {
        if (event instanceof MessageAccepted e) {
            acceptMessage(e);
        } else if (event instanceof AttemptEnded e) {
            endAttempt(e);
        } else if (event instanceof ListUpdated e) {
            applyList(e);
        } else if (event instanceof DestinationIntroduced e) {
            e.endpoints().forEach(listed -> applyList(listed, true));
        } else if (event instanceof ReleaseRequested) {
            releaseRequested = true;
        } else if (event instanceof SettingsChanged e) {
            applySettings(e.settings());
        } else if (event instanceof ListRequested) {
            listAwaitedUntil = now + LIST_WAIT_MICROS;
        } else if (event instanceof HandoverStarted) {
            handingOver = true;
            messages.values().stream().filter(message -> message.queued).toList().forEach(this::handOver);
        } else if (event instanceof EndpointSnapshot e) {
            carryOver(e);
        } else if (event instanceof ExternalCalls e) {
            Destination destination = destination(e.destination());
            externalCalls += e.calls() - destination.externalCalls;
            destination.externalCalls = e.calls();
            dispatchCandidates.add(destination);
        } else if (event instanceof MessageWithdrawn e && messages.containsKey(e.id())) {
            endMessage(messages.get(e.id()));
        } else if (event instanceof StorageChanged e) {
            storageUnwritable = !e.writable();
            destinations.values().stream().filter(destination -> destination.waitingMessages > 0).forEach(dispatchCandidates::add);
        } else if (event instanceof TimerDue && timerSetFor <= now) {
            timerSetFor = NEVER;
        }
    }

    /** Other settings bind from here on; what is known of partners stays, and messages keep their class. */
    private void applySettings(Settings newSettings) {
        Map<String, TokenBucket> quotasByTenant = new HashMap<>();
        for (int i = 0; i < quotaBuckets.length; i++) {
            quotasByTenant.put(settings.tenants().get(i).name(), quotaBuckets[i]);
        }
        settings = newSettings;
        quotaBuckets = settings.tenants().stream().map(tenant -> quotasByTenant.getOrDefault(tenant.name(), new TokenBucket()))
            .toArray(TokenBucket[]::new);
        for (Destination destination : destinations.values()) {
            destination.growQueues(settings.classes().size() * 3);
            dispatchCandidates.add(destination);
        }
    }

    // ---- Message life ---------------------------------------------------------------------------
    private void acceptMessage(MessageAccepted event) {
        if (messages.containsKey(event.id())) {
            return;
        }
        Message message = new Message();
        message.id = event.id();
        message.messageClass = settings.classes().get(event.messageClass());
        message.lateWorthHalves = settings.lateWorthHalves();
        message.destination = destination(event.destination());
        message.destination.unsettledMessages++;
        if (!event.recovered()) {
            // What is taken up has come in over seconds, and tells nothing of what comes in now.
            message.destination.recordAccepted(now, RATE_SPAN_MICROS, Math.max(MIN_RATE_AGE_MICROS, now - startedAt));
        }
        message.deadline = event.deadline();
        message.aim = message.deadline + event.answerReserve() - message.messageClass.lifetime() + message.messageClass.aim();
        // What is taken up counted against the share when it was taken on.
        boolean inQuota = event.recovered() || withinQuota(event.tenant());
        message.queueIndex = event.messageClass() * 3 + (inQuota ? 0 : 1);
        message.fullWorth = message.messageClass.worth() * (inQuota ? 1 : settings.overShareWorth());
        messages.put(message.id, message);
        openMessages++;
        schedule(message.deadline, TimerKind.DEADLINE, message);
        if (message.messageClass.inOrder() && event.orderingKey() != null) {
            message.orderingKey = orderingKeys.computeIfAbsent(event.orderingKey(), k -> new OrderingKey());
            message.orderingKey.name = event.orderingKey();
            message.orderingKey.messages.addLast(message);
        }
        for (EarlierAttempt earlier : event.earlierAttempts()) {
            message.attempts.add(recoveredAttempt(message, earlier));
        }
        message.recoveredUntried = event.recovered() && message.attempts.isEmpty();
        if (!message.attempts.isEmpty() && (message.attemptCount() >= message.messageClass.maxAttempts()
            || message.messageClass.effect() == Effect.UNSAFE && message.mayHaveRun())) {
            refuseOrFail(message);
        } else if (message.orderingKey == null || message.orderingKey.messages.peekFirst() == message) {
            enqueue(message, false);
        }
    }

    /** An attempt made before a restart; one that was out then may have run. */
    private Attempt recoveredAttempt(Message message, EarlierAttempt earlier) {
        Attempt attempt = new Attempt();
        attempt.message = message;
        attempt.endpoint = new EndpointState();
        attempt.endpoint.zone = earlier.zone();
        attempt.sentAt = earlier.sentAt();
        attempt.ended = true;
        attempt.mayHaveRun = earlier.mayHaveRun();
        if (attempt.mayHaveRun && message.orderingKey != null) {
            message.orderingKey.pausedUntil = now + settings.rules().keyPause();
        }
        return attempt;
    }

    private boolean withinQuota(int tenant) {
        if (tenant >= quotaBuckets.length) {
            return true;
        }
        double rate = settings.tenants().get(tenant).quotaPerSecond() / settings.relayCount();
        quotaBuckets[tenant].refill(rate, rate * QUOTA_BURST_SECONDS, now);
        return quotaBuckets[tenant].tryTake();
    }

    private void enqueue(Message message, boolean retried) {
        if (handingOver) {
            handOver(message);
            return;
        }
        if (message.messageClass.effect() == Effect.KEYED && message.mayHaveRun()) {
            message.queueIndex = message.queueIndex / 3 * 3 + 2;
        }
        message.queued = true;
        message.destination.waitingMessages++;
        dispatchCandidates.add(message.destination);
        if (message.recoveredUntried) {
            message.destination.addRecovered(message);
        } else if (retried) {
            message.destination.queue(message.queueIndex).onTime.addFirst(message);
        } else {
            message.destination.queue(message.queueIndex).onTime.addLast(message);
        }
    }

    /** Nothing of it is out: the next process decides from here on, and the next of its key may follow it. */
    private void handOver(Message message) {
        actions.add(new HandOver(message.id));
        endMessage(message);
    }

    private boolean mayRefuse(Message message) {
        return message.messageClass.effect() == Effect.SAFE || !message.mayHaveRun()
            || message.messageClass.effect() == Effect.KEYED && !message.messageClass.dedupPerZone();
    }

    /** Ends a message for want of a better answer: handed back where the rules allow it, else failed. */
    private void refuseOrFail(Message message) {
        if (message.ended) {
            return;
        }
        actions.add(mayRefuse(message) && now < message.deadline ? new Refuse(message.id, retryAfter(message.destination)) : new Fail(message.id));
        endMessage(message);
    }

    /** When to hand a refused message in again: once a route is open and those that wait have gone. */
    private long retryAfter(Destination destination) {
        long availableAt = destination.endpoints.values().stream().mapToLong(EndpointState::unavailableUntil).min().orElse(now);
        long queueTime = (long) (destination.waitingMessages / destination.congestionWindow * Math.max(destination.recentLatency, INITIAL_COPY_DELAY_MICROS));
        return Math.min(settings.limits().maxRetryAfter(), Math.max(availableAt - now, queueTime));
    }

    /** The message is over: nothing more goes out for it, and copies still out are called off. */
    private void endMessage(Message message) {
        openMessages -= message.ended ? 0 : 1;
        message.ended = true;
        message.destination.waitingMessages -= message.queued ? 1 : 0;
        message.queued = false;
        for (int i = 0; i < message.attempts.size(); i++) {
            Attempt attempt = message.attempts.get(i);
            if (!attempt.ended && !attempt.cancelled && settings.limits().cancelAllowed()) {
                attempt.cancelled = true;
                actions.add(new CancelAttempt(message.id, i));
            }
        }
        forgetIfSettled(message);
    }

    /** Forgets an ended message once its last attempt is known, and lets the next of its key go. */
    private void forgetIfSettled(Message message) {
        if (!message.ended || message.openAttempts > 0) {
            return;
        }
        message.destination.unsettledMessages -= messages.remove(message.id) == null ? 0 : 1;
        if (message.orderingKey != null) {
            advanceKey(message.orderingKey);
        }
    }

    private void advanceKey(OrderingKey key) {
        while (!key.messages.isEmpty() && key.messages.peekFirst().ended && key.messages.peekFirst().openAttempts == 0) {
            key.messages.pollFirst();
        }
        Message head = key.messages.peekFirst();
        boolean idle = head == null || !head.ended && !head.queued && head.openAttempts == 0;
        if (idle && key.pausedUntil > now) {
            schedule(key.pausedUntil, TimerKind.ORDERING_KEY, key);
        } else if (head == null) {
            orderingKeys.remove(key.name);
        } else if (idle) {
            enqueue(head, false);
        }
    }

    private void endAttempt(AttemptEnded event) {
        Message message = messages.get(event.id());
        if (message == null || event.attempt() < 0 || event.attempt() >= message.attempts.size()
            || message.attempts.get(event.attempt()).ended) {
            return;
        }
        Attempt attempt = message.attempts.get(event.attempt());
        attempt.ended = true;
        attempt.mayHaveRun = !event.outcome().provesNotExecuted();
        attempt.failedLocally = event.outcome().isLocalFailure();
        message.openAttempts--;
        releaseSlot(attempt);
        recordOutcome(attempt, event);
        if (message.orderingKey != null && (event.outcome() == Outcome.TIMEOUT || event.outcome() == Outcome.RESET
            || event.outcome() == Outcome.CANCELLED)) {
            message.orderingKey.pausedUntil = now + settings.rules().keyPause();
        }
        if (!message.ended && (event.messageOver() || event.outcome() == Outcome.OK)) {
            endMessage(message);
        } else if (!message.ended && message.openAttempts == 0) {
            retryOrEnd(message);
        } else {
            forgetIfSettled(message);
        }
    }

    /** No attempt is out and none has delivered: wait for another, or end. */
    private void retryOrEnd(Message message) {
        boolean exhausted = message.attemptCount() >= message.messageClass.maxAttempts() || now >= message.deadline;
        if (exhausted || message.messageClass.effect() == Effect.UNSAFE && message.mayHaveRun()) {
            refuseOrFail(message);
        } else {
            enqueue(message, true);
        }
    }

    private void releaseSlot(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint;
        markUsed(endpoint.destination);
        endpoint.inFlight--;
        if (--attempt.call.openAttempts == 0) {
            slotsUsed--;
            endpoint.destination.openCalls--;
            if (!attempt.failedLocally) {
                endpoint.idleSince.addLast(now);
            }
            releaseUnused(endpoint);
        }
        endpoint.openProbes -= attempt.isProbe ? 1 : 0;
        endpoint.overdueAttempts -= attempt.overdue ? 1 : 0;
        endpoint.destination.overdueAttempts -= attempt.overdue ? 1 : 0;
        dispatchCandidates.add(endpoint.destination);
    }

    /** Guards tables of few connections, idle ones counted, against a fleet that each keeps its own. */
    private void releaseUnused(EndpointState endpoint) {
        double heldFor = Math.min(idleHoldMicros[endpoint.kind], idleTrustMicros[endpoint.kind]);
        double expectedUses = endpoint.destination.acceptedPerSecond / Math.max(1, endpoint.destination.endpoints.size()) * heldFor / SECOND;
        if (expectedUses < MIN_EXPECTED_USES && endpoint.inFlight == 0) {
            closeIdleConnections(endpoint);
        }
    }

    private void closeIdleConnections(EndpointState endpoint) {
        endpoint.idleSince.clear();
        actions.add(new CloseIdleConnections(endpoint.id));
    }

    /** The hold is full: give back the waiting message that has least left to gain. */
    private void shedLowestWorth() {
        Message leastWorthy = null;
        double leastWorth = Double.MAX_VALUE;
        for (Destination destination : destinations.values()) {
            if (destination.waitingMessages == 0) {
                continue;
            }
            double wait = destination.waitingMessages / destination.congestionWindow * Math.max(destination.recentLatency, INITIAL_COPY_DELAY_MICROS);
            for (MessageQueue queue : destination.queues) {
                if (queue == null) {
                    continue;
                }
                Message message = MessageQueue.firstQueued(queue.late) != null ? MessageQueue.firstQueued(queue.late) : MessageQueue.lastQueued(queue.onTime);
                double worth = message != null && mayRefuse(message) ? message.worthAt(now + (long) wait) : leastWorth;
                if (worth < leastWorth) {
                    leastWorth = worth;
                    leastWorthy = message;
                }
            }
        }
        if (leastWorthy != null) {
            refuseOrFail(leastWorthy);
        }
    }

    // ---- Dispatch and the send gate -------------------------------------------------------------
    /** What was taken up untried goes first: a restart must not end it without a call. */
    private double priority(Message message) {
        if (message.recoveredUntried) {
            return Double.MAX_VALUE;
        }
        long when = now + (long) message.destination.recentLatency;
        double worth = message.worthAt(when);
        return worth + URGENCY_WEIGHT * (worth - message.worthAt(when + SECOND));
    }

    /** Sends what may go, best first. What cannot go is looked at again in time, or when something ends. */
    private void dispatch() {
        List<Candidate> candidates = new ArrayList<>();
        for (var it = dispatchCandidates.iterator(); it.hasNext() && slotsUsed < availableSlots();) {
            Candidate candidate = chooseCandidate(it.next());
            if (candidate != null) {
                candidates.add(candidate);
            } else {
                it.remove();
            }
        }
        while (!candidates.isEmpty()) {
            Candidate best = Collections.max(candidates, Comparator.comparingDouble(Candidate::priority));
            candidates.remove(best);
            if (earliestSend(best.message, best.endpoint, false) <= now) {
                send(best.message, best.endpoint, false);
            }
            Candidate next = slotsUsed < availableSlots() || canJoinCall(best.endpoint) ? chooseCandidate(best.message.destination) : null;
            if (next != null) {
                candidates.add(next);
            }
        }
    }

    /** The best message of a destination that can go now, with its route; else arranges another look. */
    private Candidate chooseCandidate(Destination destination) {
        Candidate best = null;
        long recheckAt = now + RECHECK_MICROS;
        for (int i = -1; i < destination.queues.length; i++) {
            Message message = destination.waitingMessages == 0 ? null : i < 0 ? destination.firstRecovered() : nextMessage(destination.queues[i]);
            double priority = message == null ? 0 : priority(message);
            if (message == null || best != null && best.priority >= priority) {
                continue;
            }
            EndpointState choice = null;
            double lowestCost = Double.MAX_VALUE;
            for (EndpointState endpoint : destination.endpoints.values()) {
                long when = earliestSend(message, endpoint, false);
                double cost = when <= now ? cost(message, endpoint) : lowestCost;
                recheckAt = when <= now ? recheckAt : Math.min(recheckAt, when);
                if (cost < lowestCost) {
                    lowestCost = cost;
                    choice = endpoint;
                }
            }
            if (choice != null) {
                best = new Candidate(message, choice, priority);
            }
        }
        if (best == null && destination.waitingMessages > 0 && (destination.recheckAt <= now || recheckAt < destination.recheckAt)) {
            destination.recheckAt = recheckAt;
            schedule(recheckAt, TimerKind.RECHECK, destination);
        }
        return best;
    }

    /** Inside the aim the oldest goes first; past it the newest, which has most worth left. */
    private Message nextMessage(MessageQueue queue) {
        if (queue == null) {
            return null;
        }
        for (Message message = MessageQueue.firstQueued(queue.onTime); message != null; message = MessageQueue.firstQueued(queue.onTime)) {
            if (now + (long) message.destination.recentLatency <= message.aim) {
                return message;
            }
            queue.late.addLast(queue.onTime.pollFirst());
        }
        return MessageQueue.lastQueued(queue.late);
    }

    private double cost(Message message, EndpointState endpoint) {
        double latency = endpoint.latency > 0 ? endpoint.latency : Math.max(endpoint.destination.recentLatency, INITIAL_COPY_DELAY_MICROS);
        double points = endpoint.zone == settings.zone() ? 0 : settings.costs().crossZone();
        if (settings.kinds().get(endpoint.kind).independentEndpoints() && endpoint.zone < settings.costs().zoneFees().size()) {
            points += settings.costs().zoneFees().get(endpoint.zone);
        }
        int maxStreams = Math.max(1, settings.limits().maxStreams());
        boolean connected = endpoint.hasIdleConnection(now - settings.limits().keepAlive()) || endpoint.inFlight % maxStreams != 0;
        return latency * (1 + endpoint.inFlight) * (1 + 0.1 * random.nextDouble()) + (connected ? 0 : CONNECT_COST_MICROS)
            + points * 100 * POINT_COST_MICROS + (double) (endpoint.consecutiveFailures + endpoint.overdueAttempts + message.attemptCount(endpoint)) * FAILURE_COST_MICROS;
    }

    /** Guards the partners' limit on calls at once, which the process before this one may still use. */
    private int availableSlots() {
        return settings.limits().callSlots() - externalCalls;
    }

    private boolean canJoinCall(EndpointState endpoint) {
        return endpoint.latestCallTurn == turnCount && endpoint.latestCall.messageCount < settings.kinds().get(endpoint.kind).maxMessagesPerCall();
    }

    /** The one gate of every send: when this message may go to this route; now or earlier means it may. */
    private long earliestSend(Message message, EndpointState endpoint, boolean copy) {
        if (storageUnwritable || !endpoint.ready || message.ended || message.destination != endpoint.destination || message.attemptCount() >= message.messageClass.maxAttempts()
            || message.deadline <= now || !effectAllows(message, endpoint, copy)) {
            return NEVER;
        }
        if (message.orderingKey != null && (message.orderingKey.messages.peekFirst() != message || message.orderingKey.pausedUntil > now && message.attempts.isEmpty())) {
            return NEVER;
        }
        boolean joinsCall = canJoinCall(endpoint);
        if (!joinsCall && (slotsUsed >= availableSlots() || endpoint.destination.openCalls + endpoint.destination.externalCalls >= callLimit(endpoint.destination))) {
            return NEVER;
        }
        return Math.max(listAwaitedUntil, nextCallAt(endpoint, joinsCall));
    }

    /** The rule on effects: where an earlier attempt may have run, only what the class allows. */
    private boolean effectAllows(Message message, EndpointState endpoint, boolean copy) {
        if (copy ? !settings.limits().copiesAllowed() || message.messageClass.effect() == Effect.UNSAFE : message.openAttempts > 0) {
            return false;
        }
        if (message.messageClass.effect() == Effect.SAFE) {
            return true;
        }
        for (Attempt attempt : message.attempts) {
            if (attempt.mayHaveRun && (message.messageClass.effect() == Effect.UNSAFE || now >= attempt.sentAt + message.messageClass.dedupWindow()
                || message.messageClass.dedupPerZone() && attempt.endpoint.zone != endpoint.zone)) {
                return false;
            }
        }
        return true;
    }

    private void send(Message message, EndpointState endpoint, boolean copy) {
        Attempt attempt = new Attempt();
        attempt.message = message;
        attempt.endpoint = endpoint;
        attempt.sentAt = now;
        attempt.afterRefusal = endpoint.destination.consecutiveRefusals > 0;
        if (canJoinCall(endpoint)) {
            attempt.call = endpoint.latestCall;
        } else {
            attempt.call = new Call();
            endpoint.latestCall = attempt.call;
            endpoint.latestCallTurn = turnCount;
            slotsUsed++;
            endpoint.destination.openCalls++;
            endpoint.limitScope.bucket.tokens--;
            endpoint.limitScope.callRate.record(now, CALL_RATE_SPAN_MICROS);
            if (!endpoint.idleSince.isEmpty() && endpoint.idleSince.peekLast() < now - idleTrustMicros[endpoint.kind]) {
                closeIdleConnections(endpoint);
            }
            attempt.connectionIdleTime = endpoint.idleSince.isEmpty() ? -1 : now - endpoint.idleSince.pollLast();
        }
        attempt.call.openAttempts++;
        attempt.call.messageCount++;
        endpoint.inFlight++;
        recordCallWhileUnhealthy(endpoint, attempt);
        message.attempts.add(attempt);
        message.openAttempts++;
        if (message.queued) {
            message.queued = false;
            message.destination.waitingMessages--;
            message.destination.queue(message.queueIndex).remove(message);
        }
        message.recoveredUntried = false;
        actions.add(new Send(message.id, endpoint.id, attemptTimeout(message)));
        if (!copy) {
            message.destination.copyTokens = Math.min(MAX_COPY_TOKENS, message.destination.copyTokens + COPY_TOKENS_PER_SEND);
        }
        schedule(now + copyDelay(message.destination), TimerKind.COPY, attempt);
    }

    private long attemptTimeout(Message message) {
        Destination destination = message.destination;
        double base = Math.max(MIN_TIMEOUT_MICROS, TIMEOUT_FACTOR * copyDelay(destination));
        base = destination.latencies.count < MIN_LATENCY_SAMPLES ? INITIAL_TIMEOUT_MICROS : Math.min(MAX_TIMEOUT_MICROS, base);
        base *= message.messageClass.effect() == Effect.UNSAFE ? UNSAFE_TIMEOUT_FACTOR : 1;
        return Math.min(message.deadline - now, (long) base);
    }

    // ---- Copies (the design) --------------------------------------------------------------------
    /** The copy delay of a destination: above about nine in ten of its recent answers. */
    private long copyDelay(Destination destination) {
        return destination.latencies.count < MIN_LATENCY_SAMPLES ? INITIAL_COPY_DELAY_MICROS : destination.latencies.percentile(COPY_DELAY_PERCENTILE);
    }

    /** The delay has passed with no answer: a copy to another endpoint, if there is room for one. */
    private void considerCopy(Attempt attempt) {
        Message message = attempt.message;
        if (attempt.ended) {
            return;
        }
        if (!attempt.overdue) {
            attempt.overdue = true;
            attempt.endpoint.overdueAttempts++;
            message.destination.overdueAttempts++;
        }
        if (handingOver || message.ended || message.copiesSent >= MAX_COPIES || message.messageClass.effect() == Effect.UNSAFE
            || !settings.limits().copiesAllowed()) {
            return;
        }
        EndpointState choice = null;
        // Unsent messages go first; and copies are held to a share of sends, lest an overload, in which every
        // call trips the delay, pile them onto a full destination.
        if (message.destination.waitingMessages == 0 && message.destination.copyTokens >= 1 && !isSlow(message.destination)) {
            double lowestCost = Double.MAX_VALUE;
            for (EndpointState endpoint : message.destination.endpoints.values()) {
                double cost = cost(message, endpoint);
                boolean permitted = earliestSend(message, endpoint, true) <= now && endpoint.limitScope.bucket.tokens >= MIN_TOKENS_FOR_COPY;
                if (endpoint != attempt.endpoint && endpoint.health == Health.GOOD && permitted && cost < lowestCost) {
                    lowestCost = cost;
                    choice = endpoint;
                }
            }
        }
        if (choice != null) {
            message.copiesSent++;
            message.destination.copyTokens--;
            send(message, choice, true);
        }
    }

    // ---- Window and pace ------------------------------------------------------------------------
    /** Calls that a destination may have out: its window, under a cap lower while failing or slow. */
    private int callLimit(Destination destination) {
        boolean allOut = destination.endpoints.values().stream().allMatch(endpoint -> endpoint.health == Health.OUT);
        boolean degraded = isSlow(destination) || 2 * destination.overdueAttempts > destination.openCalls || allOut;
        // Guards the slots against places that take calls and do not answer, before a time-out tells.
        double cap = (degraded ? DEGRADED_SLOT_SHARE : MAX_WINDOW_SLOT_SHARE) * settings.limits().callSlots();
        return (int) Math.max(1, Math.min(destination.congestionWindow, cap));
    }

    private static boolean isSlow(Destination destination) {
        return destination.baselineLatency > 0 && destination.recentLatency > SLOW_LATENCY_FACTOR * destination.baselineLatency;
    }

    /** Learns from how an attempt ended. */
    private void recordOutcome(Attempt attempt, AttemptEnded event) {
        Destination destination = attempt.endpoint.destination;
        LimitScope scope = attempt.endpoint.limitScope;
        int kind = attempt.endpoint.kind;
        // A bundle's answer may carry a wait whatever became of this message.
        scope.retryAfterUntil = Math.max(scope.retryAfterUntil, now + event.retryAfter());
        // The messages of a bundle share one fate, which tells no more than that of a single one.
        if (attempt.call.lastOutcome == event.outcome()) {
            return;
        }
        attempt.call.lastOutcome = event.outcome();
        if (attempt.afterRefusal && (event.outcome() == Outcome.OK || event.outcome() == Outcome.FULL)) {
            retrySuccess[kind] += RETRY_SUCCESS_WEIGHT * ((event.outcome() == Outcome.OK ? 1 : 0) - retrySuccess[kind]);
        }
        attempt.endpoint.consecutiveSocketFailures = event.outcome() == Outcome.NO_SOCKET ? attempt.endpoint.consecutiveSocketFailures + 1 : 0;
        switch (event.outcome()) {
            case OK -> {
                recordLatency(destination, attempt.endpoint, event.latency());
                idleHoldMicros[kind] = Math.min(settings.limits().keepAlive(), idleHoldMicros[kind] * IDLE_HOLD_GROWTH);
                double trust = Math.max(idleTrustMicros[kind] * IDLE_HOLD_GROWTH, attempt.connectionIdleTime * IDLE_TRUST_FACTOR);
                idleTrustMicros[kind] = Math.min(settings.limits().keepAlive(), trust);
                destination.congestionWindow = Math.min(destination.congestionWindow + 1, Math.max(1, MAX_WINDOW_SLOT_SHARE * settings.limits().callSlots()));
                recordSuccess(attempt);
            }
            case FULL -> {
                destination.congestionWindow = Math.max(1, destination.congestionWindow / 2);
                recordRefusal(scope, event.retryAfter(), attempt);
            }
            case TIMEOUT -> {
                destination.congestionWindow = Math.max(1, destination.congestionWindow / 2);
                adjustIdleTrust(attempt);
                recordFailure(attempt);
            }
            case CONNECT_FAILED -> {
                idleHoldMicros[kind] = Math.max(MIN_IDLE_HOLD_MICROS, idleHoldMicros[kind] * IDLE_HOLD_CUT);
                recordFailure(attempt);
                attempt.endpoint.backoffUntil = now + randomBackoff(destination, attempt.endpoint.consecutiveFailures);
            }
            case RESET -> {
                adjustIdleTrust(attempt);
                recordFailure(attempt);
            }
            case ERROR -> recordFailure(attempt);
            case NO_SOCKET -> recordSocketFailure(attempt);
            default -> { }
        }
        if (event.limitPerSecond() > 0) {
            scope.weight = event.limitPerSecond();
            scope.sendRate = Math.min(scope.sendRate, event.limitPerSecond());
            if (event.remainingShare() >= 0 && event.remainingShare() < LOW_REMAINING_SHARE) {
                scope.sendRate = Math.max(minSendRate(scope), scope.sendRate * LOW_REMAINING_RATE_FACTOR);
            }
        }
    }

    /** Guards a route that is well against this machine's own trouble, unless that lasts. */
    private void recordSocketFailure(Attempt attempt) {
        if (attempt.endpoint.consecutiveSocketFailures >= NO_SOCKET_FAILURES) {
            recordFailure(attempt);
        }
        long gap = NO_SOCKET_BACKOFF_MICROS << Math.min(attempt.endpoint.consecutiveSocketFailures, NO_SOCKET_FAILURES);
        attempt.endpoint.backoffUntil = Math.max(attempt.endpoint.backoffUntil, now + Math.min(MAX_INITIAL_BACKOFF_MICROS, gap));
    }

    /** Guards against idle connections dropped unseen; failures in a row or on new ones tell otherwise. */
    private void adjustIdleTrust(Attempt attempt) {
        double trust = idleTrustMicros[attempt.endpoint.kind];
        if (attempt.connectionIdleTime < 0) {
            idleTrustMicros[attempt.endpoint.kind] = Math.min(settings.limits().keepAlive(), trust * 2);
        } else if (attempt.connectionIdleTime >= MIN_IDLE_TRUST_MICROS && attempt.endpoint.consecutiveFailures == 0 && !isSlow(attempt.endpoint.destination)) {
            idleTrustMicros[attempt.endpoint.kind] = Math.min(trust, Math.max(MIN_IDLE_TRUST_MICROS, attempt.connectionIdleTime / 2.0));
        }
    }

    private void recordLatency(Destination destination, EndpointState endpoint, long latency) {
        destination.latencies.add(latency);
        endpoint.latency = endpoint.latency == 0 ? latency : endpoint.latency + RECENT_LATENCY_WEIGHT * (latency - endpoint.latency);
        destination.recentLatency = destination.recentLatency == 0 ? latency : destination.recentLatency + RECENT_LATENCY_WEIGHT * (latency - destination.recentLatency);
        double sample = destination.baselineLatency == 0 ? latency : Math.min(latency, SLOW_LATENCY_FACTOR * destination.baselineLatency);
        double weight = destination.latencies.count < 2 * MIN_LATENCY_SAMPLES ? RECENT_LATENCY_WEIGHT : BASELINE_LATENCY_WEIGHT;
        destination.baselineLatency = destination.baselineLatency == 0 ? latency : destination.baselineLatency + weight * (sample - destination.baselineLatency);
    }

    /** Listed calls a second that a lane takes from all relays together. */
    private double listedRate(LimitScope scope) {
        return settings.weights() == Weights.NONE ? UNLISTED_CALLS_PER_SECOND : scope.weight;
    }

    private double maxSendRate(LimitScope scope) {
        return MAX_LISTED_RATE_FACTOR * listedRate(scope);
    }

    private double minSendRate(LimitScope scope) {
        return settings.weights() == Weights.NONE ? Math.min(MIN_CALLS_PER_SECOND, 1.0 / settings.relayCount())
            : Math.max(MIN_CALLS_PER_SECOND, MIN_EVEN_SHARE_FACTOR * listedRate(scope) / settings.relayCount());
    }

    /**
     * Where no rate is listed: back from the dip to where the limit was last met, slowly past it, then
     * faster. Refusals sum up over a fleet: the more relays, the more calls from one to the next. A limit
     * not met yet gives way to what usually comes in, and to a multiple of what it has carried.
     */
    private void regainSendRate(EndpointState endpoint) {
        LimitScope scope = endpoint.limitScope;
        if (settings.weights() == Weights.NONE && scope.limitRate == 0) {
            int maxMessagesPerCall = settings.kinds().get(endpoint.kind).maxMessagesPerCall();
            double startRate = startRate(endpoint.kind);
            double observedRate = Math.max(endpoint.destination.acceptedPerSecond / maxMessagesPerCall, scope.callRate.perSecond(now, CALL_RATE_SPAN_MICROS, CALL_RATE_SPAN_MICROS));
            // After a restart all relays hold what came in meanwhile: that is no rate to begin with.
            double maxRate = startRate * Math.pow(RATE_GROWTH_FACTOR, (double) scope.callRate.age(now) / SECOND);
            scope.sendRate = Math.min(maxRate, Math.max(startRate, RATE_GROWTH_FACTOR * observedRate));
        } else if (settings.weights() == Weights.NONE) {
            double span = (REGAIN_CALLS + settings.relayCount()) / scope.limitRate * SECOND;
            span = Math.max(MIN_REGAIN_MICROS, Math.min(MAX_REGAIN_MICROS, span));
            double progress = (now - scope.limitMetAt) / span - 1;
            double maxRate = RATE_GROWTH_FACTOR * Math.max(scope.limitRate, scope.callRate.perSecond(now, CALL_RATE_SPAN_MICROS));
            scope.sendRate = Math.min(maxRate, scope.limitRate * (1 + LIMIT_RATE_DROP * progress * progress * progress));
        }
    }

    private void recordRefusal(LimitScope scope, long retryAfter, Attempt attempt) {
        Destination destination = attempt.endpoint.destination;
        if (attempt.sentAt >= destination.lastRefusalAt) {
            destination.consecutiveRefusals++;
        }
        if (settings.weights() != Weights.NONE) {
            scope.sendRate = Math.max(minSendRate(scope), scope.sendRate * REFUSAL_RATE_FACTOR);
        } else if (attempt.sentAt >= scope.limitMetAt && attempt.endpoint.health == Health.GOOD) {
            // What was sent of late was too much; calls already out then say nothing new, and what a cold
            // partner bears is no limit.
            double recentRate = Math.min(scope.sendRate, scope.callRate.perSecond(now, CALL_RATE_SPAN_MICROS));
            double limitRate = recentRate * (destination.consecutiveRefusals > 1 ? REPEATED_LIMIT_FACTOR : 1);
            // No slower than what comes in, in full bundles: else it is the pace that makes messages late.
            // Many relays that each insist on that would run into a limit below it all the time.
            int maxMessagesPerCall = settings.kinds().get(attempt.endpoint.kind).maxMessagesPerCall();
            double acceptedCallRate = destination.acceptedPerSecond / maxMessagesPerCall * (maxMessagesPerCall > 1 ? 1 : Math.min(1, SMALL_FLEET_RELAYS / settings.relayCount()));
            scope.limitRate = Math.max(Math.max(minSendRate(scope), acceptedCallRate), limitRate);
            scope.limitMetAt = now;
        }
        destination.lastRefusalAt = now;
        long spread = (long) (Math.min(retryAfter, INITIAL_BACKOFF_GAPS * SECOND / destination.acceptedPerSecond) * random.nextDouble());
        spread = Math.max(spread, randomBackoff(destination, destination.consecutiveRefusals - (retryAfter > 0 ? 1 : 0)));
        scope.backoffUntil = Math.max(scope.backoffUntil, now + retryAfter + spread);
        // Once all routes refused in a row, the back-off is for all: a shut place is not asked by turns.
        destination.backoffUntil = destination.consecutiveRefusals >= destination.endpoints.size() ? scope.backoffUntil : destination.backoffUntil;
        scope.bucket.tokens = Math.min(scope.bucket.tokens, 1);
        boolean longSilent = destination.consecutiveRefusals > 1 && attempt.endpoint.lastSuccessSentAt >= 0 && attempt.sentAt - attempt.endpoint.lastSuccessSentAt > LONG_SILENCE_MICROS;
        if (retryAfter > OUTAGE_RETRY_AFTER_MICROS || destination.consecutiveRefusals >= OUTAGE_REFUSALS || longSilent || attempt.endpoint.health == Health.OUT) {
            eject(attempt.endpoint, true, HealthReason.REFUSALS);
        }
    }

    /** By this relay's own usual gap between messages there, so that a fleet's tries fit together. */
    private long randomBackoff(Destination destination, int failures) {
        double gap = SECOND / Math.max(MIN_ACCEPTED_PER_SECOND, destination.acceptedPerSecond);
        double first = Math.max(MIN_INITIAL_BACKOFF_MICROS, Math.min(MAX_INITIAL_BACKOFF_MICROS, gap * INITIAL_BACKOFF_GAPS));
        double cap = Math.max(MIN_BACKOFF_CAP_MICROS, Math.min(MAX_BACKOFF_CAP_MICROS, gap * MAX_BACKOFF_GAPS));
        // Where limits count refused calls too, asking again keeps them shut: back off longer there.
        double success = Math.min(1, Math.max(MIN_RETRY_SUCCESS, retrySuccess[destination.kind]) / USUAL_RETRY_SUCCESS);
        double span = Math.min(cap, first * Math.pow(BACKOFF_GROWTH, failures - 1)) / success;
        return failures < 1 ? 0 : (long) (span * (0.5 + random.nextDouble()));
    }

    // ---- Health and slow start ------------------------------------------------------------------
    private void recordSuccess(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint;
        LimitScope scope = endpoint.limitScope;
        endpoint.destination.consecutiveRefusals = 0;
        if (settings.weights() != Weights.NONE && scope.bucket.tokens < 1) {
            double grown = scope.sendRate + RATE_GROWTH_SHARE * minSendRate(scope);
            scope.sendRate = Math.max(scope.sendRate, Math.min(maxSendRate(scope), grown));
        }
        scope.deliveryRate.record(now, RATE_SPAN_MICROS);
        // A quiet route sees one failure of an outage: only one that answered just before was not out.
        endpoint.outageConfirmed |= endpoint.health == Health.OUT
            && (attempt.sentAt - endpoint.outSince > SUSPICION_MICROS || attempt.sentAt - endpoint.lastSuccessSentAt > LONG_SILENCE_MICROS);
        endpoint.lastSuccessAt = now;
        endpoint.lastSuccessSentAt = Math.max(endpoint.lastSuccessSentAt, attempt.sentAt);
        endpoint.failureShare *= 1 - OUTCOME_WEIGHT;
        if (endpoint.health != Health.OUT || attempt.sentAt >= endpoint.outSince) {
            endpoint.consecutiveFailures = 0;
        }
        if (endpoint.health == Health.OUT && attempt.sentAt >= endpoint.outSince) {
            endpoint.health = endpoint.outageConfirmed ? Health.RETURNING : Health.GOOD;
            endpoint.returnedAt = now;
            reportHealth(endpoint, endpoint.outageConfirmed ? HealthReason.TRIAL_ANSWERED : HealthReason.SUSPICION_CLEARED);
        }
        updateUnavailable(endpoint);
    }

    /** A failed call counts only while no call sent after it has been answered, or once failures prevail. */
    private void recordFailure(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint;
        endpoint.failureShare += OUTCOME_WEIGHT * (1 - endpoint.failureShare);
        if (endpoint.limitScope.slowStart != null) {
            endpoint.limitScope.slowStart.discardCallsUpTo(attempt.sentAt);
        }
        boolean prevails = endpoint.failureShare >= OUTAGE_FAILURE_SHARE;
        if (attempt.sentAt >= endpoint.lastSuccessSentAt) {
            endpoint.consecutiveFailures++;
        }
        // A busy route that fails part of its calls answers the others: no outage while answers are recent.
        boolean silent = now - endpoint.lastSuccessAt >= RECENT_SUCCESS_MICROS;
        boolean probe = endpoint.health == Health.OUT && attempt.sentAt >= endpoint.outSince;
        endpoint.lastFailureTimedOut = attempt.call.lastOutcome == Outcome.TIMEOUT;
        if (prevails || probe || silent && endpoint.consecutiveFailures >= OUTAGE_FAILURES) {
            eject(endpoint, true, probe ? HealthReason.TRIAL_FAILED : HealthReason.FAILURES);
        } else if (endpoint.health == Health.RETURNING && attempt.sentAt >= endpoint.returnedAt) {
            // It may still have been out then: what it bears grows from now on at the earliest.
            endpoint.returnedAt = now;
            reportHealth(endpoint, HealthReason.FAILED_IN_SLOW_START);
        } else if (endpoint.consecutiveFailures > 0 && silent && endpoint.health != Health.RETURNING) {
            eject(endpoint, false, HealthReason.SUSPECTED);
        }
    }

    /** Trials only. One failure is a suspicion, which one answer clears; an outage ends in a slow start. */
    private void eject(EndpointState endpoint, boolean confirmed, HealthReason reason) {
        boolean wasOut = endpoint.health == Health.OUT;
        if (!wasOut) {
            beginSlowStart(endpoint);
            endpoint.outageConfirmed = false;
            endpoint.outSince = now;
        }
        endpoint.health = Health.OUT;
        boolean newlyConfirmed = confirmed && !endpoint.outageConfirmed;
        if (newlyConfirmed) {
            endpoint.outageConfirmed = true;
            endpoint.limitScope.slowStart.confirmOutage();
            updateUnavailable(endpoint);
        }
        if (!wasOut || newlyConfirmed) {
            reportHealth(endpoint, reason);
        }
        if (newlyConfirmed) {
            suspectSiblings(endpoint);
        }
    }

    /** Routes of a destination mostly fail together: those not heard from must answer a trial. */
    private void suspectSiblings(EndpointState endpoint) {
        for (EndpointState other : endpoint.destination.endpoints.values()) {
            boolean silent = other.lastSuccessSentAt < endpoint.outSince - SIBLING_SUCCESS_MICROS;
            if (other.limitScope == endpoint.limitScope && other.health == Health.GOOD && silent) {
                eject(other, false, HealthReason.SIBLING_OUT);
            }
        }
    }

    /** When the route may take another message: waits, back-off, pace, trials, slow start. */
    private long nextCallAt(EndpointState endpoint, boolean joinsCall) {
        LimitScope scope = endpoint.limitScope;
        long openAt = endpoint.unavailableUntil();
        if (endpoint.health == Health.RETURNING && now - endpoint.returnedAt >= settings.rules().warmUpTime()) {
            endpoint.health = Health.GOOD;
            endpoint.failureShare = 0;
            reportHealth(endpoint, HealthReason.WARM);
        }
        if (endpoint.health == Health.OUT) {
            if (endpoint.openProbes > 0) {
                return NEVER;
            }
            openAt = Math.max(openAt, Math.max(endpoint.outSince, endpoint.lastProbeAt) + PROBE_GAP_MICROS);
        }
        if (!joinsCall && isSlowStarting(endpoint)) {
            openAt = Math.max(openAt, scope.slowStart.nextCallAt(settings, slowStartBudget(endpoint), now));
        }
        regainSendRate(endpoint);
        scope.bucket.refill(scope.sendRate, Math.max(MIN_BURST_CALLS, scope.sendRate * BURST_SECONDS), now);
        if (!joinsCall && scope.bucket.tokens < 1) {
            openAt = Math.max(openAt, now + (long) ((1 - scope.bucket.tokens) / scope.sendRate * SECOND) + 1);
        }
        return openAt;
    }

    private static boolean isSlowStarting(EndpointState endpoint) {
        // One call that failed at once may be a stray one; one that timed out met whatever it met long ago.
        boolean suspected = endpoint.health == Health.OUT && !endpoint.outageConfirmed && !endpoint.lastFailureTimedOut
            && !endpoint.limitScope.slowStart.isOutageConfirmed();
        return endpoint.health != Health.GOOD && !suspected;
    }

    /** Opens the account of a lane none of whose routes has been out or returning. */
    private void beginSlowStart(EndpointState endpoint) {
        if (endpoint.destination.unhealthyEndpoints(endpoint.limitScope) == 0) {
            double deliveredPerSecond = endpoint.limitScope.deliveryRate.perSecond(now, RATE_SPAN_MICROS, Math.max(MIN_RATE_AGE_MICROS, now - startedAt));
            endpoint.limitScope.slowStart = new SlowStart(deliveredPerSecond, now, 2 * random.nextDouble());
        }
    }

    /** This relay's part of the calls that a lane bears in a window. */
    private double slowStartBudget(EndpointState endpoint) {
        boolean out = endpoint.health == Health.OUT;
        double unhealthyShare = endpoint.limitScope == endpoint.destination.sharedScope
            ? (double) Math.max(1, endpoint.destination.unhealthyEndpoints(endpoint.limitScope)) / Math.max(1, endpoint.destination.endpoints.size()) : 1;
        return endpoint.limitScope.slowStart.callBudget(settings, SlowStart.capacityShare(settings.rules(), out ? 0 : now - endpoint.returnedAt),
            (out ? OUTAGE_RATE_SHARE : 1) * endpoint.destination.acceptedPerSecond, listedRate(endpoint.limitScope), Math.min(1, unhealthyShare));
    }

    private void recordCallWhileUnhealthy(EndpointState endpoint, Attempt attempt) {
        if (attempt.call.messageCount == 1 && endpoint.health != Health.GOOD) {
            endpoint.limitScope.slowStart.recordCall(now, 0.5 + random.nextDouble());
        }
        if (endpoint.health == Health.OUT) {
            endpoint.openProbes++;
            endpoint.lastProbeAt = now;
            attempt.isProbe = true;
        }
    }

    /** Keeps the count of those that are ready by the list and out. */
    private void updateUnavailable(EndpointState endpoint) {
        boolean listed = endpoint.destination.endpoints.get(endpoint.id) == endpoint;
        boolean unavailable = listed && endpoint.ready && endpoint.health == Health.OUT && endpoint.outageConfirmed;
        unavailableCount += unavailable == endpoint.countedUnavailable ? 0 : unavailable ? 1 : -1;
        endpoint.countedUnavailable = unavailable;
    }

    /** Tells of a change of a route's health, with what its slow start allows and has used. */
    private void reportHealth(EndpointState endpoint, HealthReason reason) {
        long since = endpoint.health == Health.OUT ? endpoint.outSince : endpoint.returnedAt;
        SlowStart slowStart = endpoint.limitScope.slowStart;
        actions.add(new HealthChanged(endpoint.id, endpoint.health, since, slowStart.rateBeforeOutage(), reason,
            slowStart.sentInWindow(now, settings.rules()), slowStartBudget(endpoint)));
    }

    /**
     * What the next process must know of each listed endpoint, in this clock's time. First what binds, then
     * what was found out the hard way, for there may be no room for all of it.
     */
    public List<EndpointSnapshot> endpointSnapshots() {
        Comparator<EndpointState> first = Comparator.comparingInt(endpoint -> endpoint.limitScope.retryAfterUntil > now ? 0
            : endpoint.health != Health.GOOD || endpoint.unavailableUntil() > now ? 1 : 2);
        return endpoints.values().stream().sorted(first).map(this::carryOver).toList();
    }

    private EndpointSnapshot carryOver(EndpointState endpoint) {
        long since = endpoint.health == Health.OUT ? endpoint.outSince : endpoint.returnedAt;
        double deliveredPerSecond = endpoint.health == Health.GOOD ? 0 : endpoint.limitScope.slowStart.rateBeforeOutage();
        return new EndpointSnapshot(endpoint.id, endpoint.limitScope.retryAfterUntil, endpoint.unavailableUntil(), endpoint.health, since, deliveredPerSecond, endpoint.limitScope.sendRate,
            endpoint.destination.congestionWindow, endpoint.latency);
    }

    /** Goes on where the process before stood: its waits bind, and what it found out is not tried again. */
    private void carryOver(EndpointSnapshot snapshot) {
        EndpointState endpoint = endpoints.get(snapshot.endpoint());
        if (endpoint == null) {
            return;
        }
        endpoint.limitScope.retryAfterUntil = Math.max(endpoint.limitScope.retryAfterUntil, snapshot.waitUntil());
        endpoint.backoffUntil = Math.max(endpoint.backoffUntil, snapshot.unavailableUntil());
        if (snapshot.sendRate() > 0) {
            endpoint.limitScope.sendRate = Math.min(endpoint.limitScope.sendRate, snapshot.sendRate());
            endpoint.limitScope.limitRate = settings.weights() == Weights.NONE ? snapshot.sendRate() : 0;
            endpoint.limitScope.limitMetAt = now;
            endpoint.latency = snapshot.latency();
            endpoint.destination.recentLatency = Math.max(endpoint.destination.recentLatency, snapshot.latency());
            endpoint.destination.congestionWindow = Math.max(endpoint.destination.congestionWindow, snapshot.congestionWindow());
        }
        if (snapshot.health() != Health.GOOD) {
            restoreOutage(endpoint, snapshot);
        }
    }

    /** An outage, or the return from one, that the process before this one knew of; never less cautious. */
    private void restoreOutage(EndpointState endpoint, EndpointSnapshot snapshot) {
        if (endpoint.health == Health.OUT) {
            return;
        }
        boolean firstOfScope = endpoint.health == Health.GOOD && endpoint.destination.unhealthyEndpoints(endpoint.limitScope) == 0;
        if (firstOfScope) {
            endpoint.limitScope.slowStart = new SlowStart(snapshot.carriedPerSecond(), now, 0.5 + random.nextDouble());
        }
        endpoint.outageConfirmed = true;
        endpoint.limitScope.slowStart.confirmOutage();
        endpoint.returnedAt = endpoint.health == Health.RETURNING ? Math.max(endpoint.returnedAt, snapshot.since()) : snapshot.since();
        endpoint.health = snapshot.health();
        endpoint.outSince = now;
        if (firstOfScope) {
            endpoint.limitScope.slowStart.assumeBudgetSpent(settings, slowStartBudget(endpoint), now);
        }
        updateUnavailable(endpoint);
        reportHealth(endpoint, HealthReason.RESTORED);
    }

    // ---- List of endpoints ----------------------------------------------------------------------
    private Destination destination(long id) {
        Destination destination = destinations.computeIfAbsent(id, k -> new Destination(k, settings.classes().size() * 3, LATENCY_SAMPLES));
        markUsed(destination);
        return destination;
    }

    /** It is of use now, and stands last among those that may be released. */
    private void markUsed(Destination destination) {
        destination.lastUsedAt = now;
        byLastUse.remove(destination);
        byLastUse.add(destination);
    }

    private void applyList(ListUpdated update) {
        if (listAwaitedUntil != Long.MIN_VALUE) {
            listAwaitedUntil = Long.MIN_VALUE;
            destinations.values().stream().filter(destination -> destination.waitingMessages > 0).forEach(dispatchCandidates::add);
        }
        Set<Long> listedIds = new HashSet<>();
        for (Endpoint listed : update.endpoints()) {
            listedIds.add(listed.id());
            applyList(listed, false);
        }
        if (update.kind() == ListKind.WHOLE) {
            endpoints.values().stream().filter(endpoint -> !listedIds.contains(endpoint.id)).forEach(this::removeEndpoint);
        }
    }

    /** {@code known}: the list may have named it for long, only the module has not heard. */
    private void applyList(Endpoint listed, boolean newToModule) {
        EndpointState endpoint = endpoints.get(listed.id());
        if (endpoint != null && listed.listing() != Listing.GONE && endpoint.destination.id != listed.destination()) {
            removeEndpoint(endpoint);
            endpoints.remove(endpoint.id);
            EndpointState moved = addEndpoint(listed, false);
            // A wait binds the endpoint wherever it stands.
            moved.backoffUntil = endpoint.limitScope.retryAfterUntil;
            endpoint = moved;
        }
        if (listed.listing() != Listing.GONE) {
            endpoint = endpoint == null ? addEndpoint(listed, newToModule) : endpoint;
            if (endpoint.destination.endpoints.put(endpoint.id, endpoint) == null && endpoint.removedAt >= 0) {
                endpoint.removedAt = -1;
                endpoint.destination.removedEndpoints--;
            }
            endpoint.ready = listed.listing() == Listing.READY;
            updateUnavailable(endpoint);
            endpoint.limitScope.weight = listed.weight() > 0 ? listed.weight() : endpoint.limitScope.weight;
            if (settings.weights() != Weights.NONE) {
                endpoint.limitScope.sendRate = Math.min(endpoint.limitScope.sendRate, maxSendRate(endpoint.limitScope));
            }
            dispatchCandidates.add(endpoint.destination);
        } else if (endpoint != null) {
            removeEndpoint(endpoint);
        }
    }

    private EndpointState addEndpoint(Endpoint listed, boolean newToModule) {
        EndpointState endpoint = new EndpointState();
        endpoint.id = listed.id();
        endpoint.zone = listed.zone();
        endpoint.kind = listed.kind();
        endpoint.destination = destination(listed.destination());
        endpoint.destination.kind = listed.kind();
        boolean apart = settings.kinds().get(listed.kind()).independentEndpoints();
        endpoint.limitScope = apart || endpoint.destination.sharedScope == null ? new LimitScope() : endpoint.destination.sharedScope;
        endpoint.destination.sharedScope = apart ? endpoint.destination.sharedScope : endpoint.limitScope;
        if (endpoint.limitScope.sendRate == 0) {
            endpoint.limitScope.weight = listed.weight();
            endpoint.limitScope.sendRate = INITIAL_EVEN_SHARE_FACTOR * minSendRate(endpoint.limitScope) / MIN_EVEN_SHARE_FACTOR;
            if (settings.relayCount() > SMALL_FLEET_RELAYS) {
                // A first call of each relay at once, out of a full bucket, would be more than a place bears.
                double randomTokens = random.nextDouble();
                endpoint.limitScope.bucket.refill(0, newToModule ? initialTokens(listed, randomTokens) : randomTokens, now);
            }
        }
        // A new endpoint is cold, and the messages held for a failing destination would all go there at once.
        if (!endpoint.destination.endpoints.isEmpty() && !endpoint.destination.hasHealthyEndpoint()) {
            eject(endpoint, true, HealthReason.NEW_AMONG_OUT);
            endpoint.limitScope.slowStart.restartSpacing(now);
        }
        endpoints.put(endpoint.id, endpoint);
        return endpoint;
    }

    /** What a bucket holds that has filled by the first pace since the relay began, or since it was spent. */
    private double initialTokens(Endpoint listed, double randomTokens) {
        double perMicro = startRate(listed.kind()) / SECOND;
        Long fullAt = releasedBucketFullAt.get(listed.destination());
        double tokens = fullAt == null ? randomTokens + (now - startedAt) * perMicro
            : MIN_BURST_CALLS - (fullAt - now) * perMicro;
        return Math.min(MIN_BURST_CALLS, tokens);
    }

    /** Calls a second of this relay to a place that has not shown its limit. */
    private double startRate(int kind) {
        return (settings.kinds().get(kind).maxMessagesPerCall() > 1 ? FLEET_START_BATCHES_PER_SECOND : FLEET_START_CALLS_PER_SECOND) / settings.relayCount();
    }

    /** Takes a route off; what is known of it is kept a while: waits and health outlast a gap. */
    private void removeEndpoint(EndpointState endpoint) {
        endpoint.ready = false;
        if (endpoint.destination.endpoints.remove(endpoint.id) != null) {
            endpoint.removedAt = now;
            endpoint.destination.removedEndpoints++;
            schedule(now + FORGET_AFTER_MICROS, TimerKind.FORGET_ENDPOINT, endpoint);
        }
        updateUnavailable(endpoint);
    }

    private void forgetEndpoint(EndpointState endpoint) {
        if (endpoint.removedAt < 0 || endpoint.removedAt + FORGET_AFTER_MICROS > now) {
            return;
        }
        if (endpoint.inFlight > 0) {
            schedule(now + FORGET_AFTER_MICROS, TimerKind.FORGET_ENDPOINT, endpoint);
            return;
        }
        endpoint.removedAt = -1;
        endpoint.destination.removedEndpoints--;
        if (endpoints.remove(endpoint.id, endpoint)) {
            actions.add(new EndpointForgotten(endpoint.id));
        }
    }

    /**
     * Forgets destinations, those not used for longest first. A fleet's relay meets each of them once in
     * many minutes: what it learned then is worth nothing by the next time, and all together would not fit.
     */
    private void releaseUnused() {
        releasedBucketFullAt.values().removeIf(fullAt -> fullAt <= now);
        long minUnused = Math.max(settings.rules().warmUpTime() + settings.rules().overloadWindow(), settings.rules().keyPause());
        for (MessageClass messageClass : settings.classes()) {
            minUnused = Math.max(minUnused, messageClass.dedupWindow());
        }
        for (var it = byLastUse.iterator(); it.hasNext();) {
            Destination destination = it.next();
            if (now - destination.lastUsedAt <= (destinations.size() > MANY_DESTINATIONS ? minUnused : Math.max(MIN_UNUSED_MICROS, minUnused))) {
                return;
            }
            if (!isInUse(destination)) {
                it.remove();
                destinations.remove(destination.id);
                dispatchCandidates.remove(destination);
                for (EndpointState endpoint : destination.endpoints.values()) {
                    endpoints.remove(endpoint.id);
                    unavailableCount -= endpoint.countedUnavailable ? 1 : 0;
                    endpoint.limitScope.bucket.refill(startRate(endpoint.kind), MIN_BURST_CALLS, now);
                    double missingTokens = settings.relayCount() > SMALL_FLEET_RELAYS ? MIN_BURST_CALLS - endpoint.limitScope.bucket.tokens : 0;
                    if (missingTokens > 0) {
                        releasedBucketFullAt.merge(destination.id, now + (long) (missingTokens / startRate(endpoint.kind) * SECOND), Math::max);
                    }
                }
                actions.add(new DestinationReleased(destination.id));
            }
        }
    }

    /** True while something rests on it: a message, a wait, an outage, a warm-up, or a gone route. */
    private boolean isInUse(Destination destination) {
        boolean inUse = destination.unsettledMessages > 0 || destination.openCalls > 0 || destination.externalCalls > 0 || destination.removedEndpoints > 0;
        for (EndpointState endpoint : destination.endpoints.values()) {
            inUse |= endpoint.inFlight > 0 || endpoint.unavailableUntil() > now
                || endpoint.health == Health.OUT && now - destination.lastUsedAt < FORGET_AFTER_MICROS
                || endpoint.health == Health.RETURNING && now - endpoint.returnedAt < settings.rules().warmUpTime();
        }
        return inUse;
    }

    // ---- Clockwork ------------------------------------------------------------------------------
    private void schedule(long when, TimerKind kind, Object subject) {
        timers.add(new TimerEntry(when, timerSequence++, kind, subject));
    }

    private void runTimers() {
        while (!timers.isEmpty() && timers.peek().dueAt() <= now) {
            TimerEntry timer = timers.poll();
            switch (timer.kind()) {
                case DEADLINE -> refuseOrFail((Message) timer.subject());
                case COPY -> considerCopy((Attempt) timer.subject());
                case RECHECK -> dispatchCandidates.add((Destination) timer.subject());
                case FORGET_ENDPOINT -> forgetEndpoint((EndpointState) timer.subject());
                case ORDERING_KEY -> advanceKey((OrderingKey) timer.subject());
            }
        }
    }

    private static boolean isObsolete(TimerEntry timer) {
        return timer.subject() instanceof Attempt attempt && attempt.ended || timer.kind() == TimerKind.DEADLINE && ((Message) timer.subject()).ended;
    }

    private void setTimer() {
        while (!timers.isEmpty() && isObsolete(timers.peek())) {
            timers.poll();
        }
        if (!timers.isEmpty() && timers.peek().dueAt() < timerSetFor) {
            timerSetFor = timers.peek().dueAt();
            actions.add(new SetTimer(Math.max(1, timerSetFor - now)));
        }
    }
}
