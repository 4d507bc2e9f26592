package wrenkeel;

import java.util.*;
import wrenkeel.Relay.*;
import wrenkeel.State.*;

/**
 * The decision module: makes all decisions of one relay. It chooses which message is sent to which endpoint
 * and when, sends hedged copies of slow attempts, adapts its send rates to the limits of the endpoints,
 * ejects failing endpoints and lets them return through a slow start ({@link SlowStart}), sheds load, and
 * gives each message its final answer. On the ordinary path this is speculative execution: an attempt that is
 * slow to answer is repeated at another endpoint.
 *
 * <p>Call {@link #turn} with the time and the events since the last turn, and carry out the actions that it
 * returns, in order. The module does no I/O, reads no clock and is not thread-safe: use it from one thread.
 * Its settings, events and actions are defined in {@link Relay}, the data that it keeps in {@link State}.
 *
 * <p>Times and spans are in microseconds, rates per second. Calls carry one or several messages each; rate
 * limits, windows and slots count calls.
 */
public final class Control {
    // ---- Constants ------------------------------------------------------------------------------
    /** Microseconds in a millisecond. */
    private static final long MS = 1_000L;
    /** Microseconds in a second. */
    private static final long SECOND = 1_000_000L;
    private static final long NEVER = Long.MAX_VALUE;

    // Copies (hedged requests).
    /** Copy delay until enough response times of a destination are known. */
    private static final long INITIAL_COPY_DELAY_MICROS = 200 * MS;
    /** Share of recent response times, 0 to 1, below the copy delay; hedging asks for about 0.9. */
    private static final double COPY_DELAY_PERCENTILE = 0.95;
    /** Response times kept for the copy delay: enough to have a tail, few enough to follow changes. */
    private static final int LATENCY_SAMPLES = 48;
    /** Copies of one message. The usual example of speculative execution has one as well. */
    private static final int MAX_COPIES = 1;
    /** Tokens that the rate limit's bucket must hold for a copy to be sent. */
    private static final double MIN_TOKENS_FOR_COPY = 2;
    /** Copy tokens earned by each ordinary send. This and the next bound keep copies from piling up. */
    private static final double COPY_TOKENS_PER_SEND = 0.05;
    /** Copy tokens that a destination may save. */
    private static final double MAX_COPY_TOKENS = 2;

    // Congestion window and response times.
    /** Share of all slots that one destination may occupy. */
    private static final double MAX_WINDOW_SLOT_SHARE = 0.75;
    /** The same while the destination fails or is slow. */
    private static final double DEGRADED_SLOT_SHARE = 0.3;

    // Attempt timeouts.
    /** Attempt timeout as a multiple of the copy delay. */
    private static final double TIMEOUT_FACTOR = 4.5;
    private static final long MIN_TIMEOUT_MICROS = 3 * SECOND / 2;
    private static final long MAX_TIMEOUT_MICROS = 6 * SECOND;
    /** Attempt timeout until enough response times of a destination are known. */
    private static final long INITIAL_TIMEOUT_MICROS = 3 * SECOND;
    /** Timeouts are longer by this factor for unsafe messages, which a timeout loses. */
    private static final double UNSAFE_TIMEOUT_FACTOR = 3;

    // Choice of message and endpoint.
    /** Priority: weight of the worth lost by waiting another second, relative to the worth itself. */
    private static final double URGENCY_WEIGHT = 2;
    /** Endpoint choice: cost of opening a connection. */
    private static final long CONNECT_COST_MICROS = 100 * MS;
    /** Endpoint choice: cost of each 0.01 of the deductions in {@link Relay.Costs}. */
    private static final long COST_PER_PERCENT_MICROS = 50 * MS;
    /** Endpoint choice: cost of each failure in a row, overdue attempt and earlier attempt of the message. */
    private static final long FAILURE_COST_MICROS = 2 * SECOND;

    // Send rate where rates are listed.
    /** Highest send rate as a multiple of the listed rate. */
    private static final double MAX_LISTED_RATE_FACTOR = 1.4;
    /** A refusal reduces the send rate to this share. */
    private static final double REFUSAL_RATE_FACTOR = 0.75;
    /** An answer raises the send rate by this share of the lowest one. */
    private static final double RATE_GROWTH_SHARE = 0.2;
    /** Lowest send rate as a share of an even split of the listed rate among the relays. */
    private static final double MIN_EVEN_SHARE_FACTOR = 0.5;
    /** First send rate as a multiple of an even split. */
    private static final double INITIAL_EVEN_SHARE_FACTOR = 2;

    // Bounds of rates.
    /** Assumed for a rate that is not listed. */
    private static final double UNLISTED_CALLS_PER_SECOND = 1e6;
    /** Lowest send rate, as less would amount to a ban; lower only in a large fleet without listed rates. */
    private static final double MIN_CALLS_PER_SECOND = 0.25;
    /** Replaces an accepted rate of 0, for which no gap between messages could be computed. */
    private static final double MIN_ACCEPTED_PER_SECOND = 1e-6;

    // Send rate where no rates are listed.
    /** First rate, of all relays together, to a destination whose limit is unknown. */
    private static final double FLEET_START_CALLS_PER_SECOND = 40;
    /** The same for a destination whose calls may carry several messages. */
    private static final double FLEET_START_BATCHES_PER_SECOND = 20;
    /** The send rate is regained over the time of this many calls and one for each relay. */
    private static final double REGAIN_CALLS = 3;
    /** Lower bound of that time. */
    private static final long MIN_REGAIN_MICROS = SECOND / 4;
    /** Upper bound of that time. */
    private static final long MAX_REGAIN_MICROS = 6 * SECOND;
    /**
     * In a fleet of up to this many relays, each relay takes a limit to be no lower than the rate at which it
     * accepts messages, even after refusals. In a larger fleet it does so only for a part of that rate: this
     * number divided by the number of relays. It then also begins with partly filled token buckets.
     */
    private static final double SMALL_FLEET_RELAYS = 3;
    /** Share by which the send rate drops below the limit when the limit is met. */
    private static final double LIMIT_RATE_DROP = 0.3;
    /** The assumed limit is reduced to this share when it is met again at once. */
    private static final double REPEATED_LIMIT_FACTOR = 0.7;
    /** The send rate grows at most to this multiple of the rate at which calls were sent lately. */
    private static final double RATE_GROWTH_FACTOR = 2;

    // Send rate in general.
    /** Span over which the calls in a limit scope are counted. */
    private static final long CALL_RATE_SPAN_MICROS = 3 * SECOND;
    /** A limit scope may send as much at once as its send rate yields in this time. */
    private static final double BURST_SECONDS = 0.7;
    /** Calls that may be saved up at any send rate: the first for a message, and a retry if it is refused. */
    private static final double MIN_BURST_CALLS = 2;
    /** Reported share of a limit below which the send rate is reduced. */
    private static final double LOW_REMAINING_SHARE = 0.15;
    /** Each answer with such a report reduces the send rate to this share. */
    private static final double LOW_REMAINING_RATE_FACTOR = 0.9;

    // Backoff after refusals and failed connects.
    /** Lower bound of the success share of calls that follow a refusal. */
    private static final double MIN_RETRY_SUCCESS = 0.03;
    /** Weight of a new outcome in that share. */
    private static final double RETRY_SUCCESS_WEIGHT = 0.1;
    /** Usual value of that share; below it, backoffs are longer in proportion. */
    private static final double USUAL_RETRY_SUCCESS = 0.3;
    /** Growth of the backoff with each refusal or failure in a row. */
    private static final double BACKOFF_GROWTH = 3;
    /** First backoff in gaps, where a gap is the mean time between messages accepted for a destination. */
    private static final double INITIAL_BACKOFF_GAPS = 0.5;
    /** Longest backoff in gaps. */
    private static final double MAX_BACKOFF_GAPS = 10;
    /** Upper bound of the first backoff. */
    private static final long MAX_INITIAL_BACKOFF_MICROS = 500 * MS;
    /** Lower bound of the first backoff. */
    private static final long MIN_INITIAL_BACKOFF_MICROS = 150 * MS;
    /** Lower bound of the longest backoff. */
    private static final long MIN_BACKOFF_CAP_MICROS = 2 * SECOND;
    /** Upper bound of the longest backoff. */
    private static final long MAX_BACKOFF_CAP_MICROS = 8 * SECOND;

    // Outlier detection.
    /** A longer Retry-After means an outage, not a met limit: it exceeds the span of any limit. */
    private static final long OUTAGE_RETRY_AFTER_MICROS = 5 * SECOND / 2;
    /** Refusals in a row that mean an outage, not a met limit. */
    private static final long OUTAGE_REFUSALS = 3;
    /** Failures in a row that mean an outage. */
    private static final int OUTAGE_FAILURES = 3;
    /** Share of failures among recent calls that means an outage. */
    private static final double OUTAGE_FAILURE_SHARE = 0.6;
    /** Weight of a new outcome in that share. */
    private static final double OUTCOME_WEIGHT = 0.2;
    /** An endpoint that answered within this is not suspected because of single failures. */
    private static final long RECENT_SUCCESS_MICROS = 700 * MS;
    /** An endpoint that answered a call sent up to this long before a sibling's outage is not suspected. */
    private static final long SIBLING_SUCCESS_MICROS = 500 * MS;

    // Measured rates.
    /** Span over which a relay measures the rate of messages that it accepts, and of calls that deliver. */
    private static final long RATE_SPAN_MICROS = 15 * SECOND;
    /** Such a rate counts as measured over this time at least. */
    private static final long MIN_RATE_AGE_MICROS = 3 * SECOND;

    // Idle connections.
    /** Connections stay open where this many uses of one are expected within the time it would be held. */
    private static final double MIN_EXPECTED_USES = 0.5;
    /** A failed connect reduces the time for which idle connections are held to this share. */
    private static final double IDLE_HOLD_CUT = 0.5;
    /** An answer raises it, and the time for which they are trusted to be alive, by this factor. */
    private static final double IDLE_HOLD_GROWTH = 1.02;
    /**
     * Lower bound of that time. A connection that is reused sooner harms nobody, and the failed connects of
     * an outage would otherwise reduce the time without end.
     */
    private static final double MIN_IDLE_HOLD_MICROS = 2 * SECOND;
    /** Shortest idle time after which a connection may be assumed to have been dropped. */
    private static final double MIN_IDLE_TRUST_MICROS = 250 * MS;
    /** An idle time after which a connection still worked proves this multiple of it as safe. */
    private static final double IDLE_TRUST_FACTOR = 1.25;

    // Probes and slow start.
    /** Shortest time between probes of an endpoint. */
    private static final long MIN_PROBE_GAP_MICROS = 300 * MS;
    /** Random part of the time between probes. */
    private static final long PROBE_GAP_SPREAD_MICROS = 200 * MS;
    /**
     * Within this, the relays that met a likely outage at the same time send their first probes, however
     * little traffic they have.
     */
    private static final long FIRST_PROBE_SPREAD_MICROS = 15 * SECOND;
    /** The same after a refusal, which is mostly due to a limit. */
    private static final long FIRST_PROBE_AFTER_REFUSAL_SPREAD_MICROS = 10 * SECOND;
    /**
     * In a fleet of up to this many relays, each sees enough of the traffic to tell an outage from an
     * isolated failure in time: what all of them send until then fits into a cold destination's slack.
     */
    private static final int FEW_RELAYS = 8;
    /** A call that fails after this long may have been cut off by the end of an outage. */
    private static final long HUNG_CALL_MICROS = 400 * MS;
    /** A suspicion that is cleared within this leaves no slow start. */
    private static final long SUSPICION_MICROS = 2 * SECOND;
    /**
     * When the latest answered call was sent longer than this before one that failed or was refused, the
     * endpoint may have been out all that time.
     */
    private static final long LONG_SILENCE_MICROS = 5 * SECOND;
    /**
     * The slow start of an endpoint that is out assumes that this relay delivered at least this share of the
     * rate at which it accepts messages, though it delivered less before the outage. Once the endpoint has
     * returned, the share is 1.
     */
    private static final double OUTAGE_RATE_SHARE = 0.5;

    // Quotas, waiting, and what is forgotten when.
    /** A tenant within its quota may run ahead of it by this much. */
    private static final double QUOTA_BURST_SECONDS = 2;
    /** A waiting message whose limit scope is closed is considered again after this at the latest. */
    private static final long RECHECK_MICROS = 500 * MS;
    /** After a start, nothing is sent by an old list while a newer one may still arrive within this. */
    private static final long LIST_WAIT_MICROS = SECOND;
    /** An endpoint off the list is forgotten after this, which exceeds any Retry-After or warm-up time. */
    private static final long FORGET_AFTER_MICROS = 600 * SECOND;
    /** An unused destination is kept for this long, or longer for warm-up, key pause and dedup window. */
    private static final long MIN_UNUSED_MICROS = 60 * SECOND;
    /** With more destinations than this, unused ones are kept only for those three. */
    private static final int MANY_DESTINATIONS = 4_096;

    // Failures of the relay's own machine.
    /** First backoff of an endpoint for which this machine had no socket. */
    private static final long NO_SOCKET_BACKOFF_MICROS = 50 * MS;
    /** With this many such failures in a row, the endpoint is taken to be at fault. */
    private static final int NO_SOCKET_FAILURES = 6;

    // ---- State ----------------------------------------------------------------------------------
    /** A message that may be sent now, and the best endpoint for it. */
    private record Candidate(Message message, EndpointState endpoint, double priority) { }

    private Settings settings;
    private final SplittableRandom random;
    /** Messages that have not ended or have attempts in flight, by id. */
    private final Map<String, Message> messages = new HashMap<>();
    private final Map<String, OrderingKey> orderingKeys = new HashMap<>();
    private final Map<Long, Destination> destinations = new TreeMap<>();
    /** All endpoints, including those that are off the list and not yet forgotten. */
    private final Map<Long, EndpointState> endpoints = new TreeMap<>();
    /** Destinations that the next dispatch considers. */
    private final Set<Destination> dispatchCandidates = new LinkedHashSet<>();
    /** All destinations, the most recently used last. */
    private final Set<Destination> byLastUse = new LinkedHashSet<>();
    /** For destinations that were released before their token bucket was full: when it will be, by id. */
    private final Map<Long, Long> releasedBucketFullAt = new LinkedHashMap<>();
    /** Token buckets of the tenants' quotas, in the order of {@link Settings#tenants()}. */
    private TokenBucket[] quotaBuckets;
    /** By kind: how long idle connections are held, as endpoints may take only few connections. */
    private final double[] idleHoldMicros;
    /** By kind: how long idle connections are assumed to stay alive. */
    private final double[] idleTrustMicros;
    /** By kind: moving average of the share of calls after a refusal that are accepted. */
    private final double[] retrySuccess;
    private final PriorityQueue<TimerEntry> timers = new PriorityQueue<>();
    /** The actions of the present turn. */
    private List<Action> actions = new ArrayList<>();
    /** Time of the present turn. */
    private long now;
    /** Time of the first turn. */
    private long startedAt;
    private long timerSequence;
    private long turnCount;
    /** When the timer that the caller was asked for is due. */
    private long timerSetFor = NEVER;
    /** Nothing is sent before this, as a newer list has been requested. */
    private long listAwaitedUntil = Long.MIN_VALUE;
    /** Calls in flight from this process. */
    private int slotsUsed;
    /** Calls that the previous process still has in flight. */
    private int externalCalls;
    /** Messages that have not ended. */
    private int openMessages;
    /** Endpoints that are listed as ready and are out with a confirmed outage. */
    private int unavailableCount;
    /** Another process takes over; nothing more is sent from here. */
    private boolean handingOver;
    private boolean releaseRequested;
    /** Attempts cannot be written to the journal, so none may be made. */
    private boolean storageUnwritable;

    /**
     * Creates the module of one relay, with no endpoints and no messages.
     *
     * @param seed seed of all random decisions
     */
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
    /**
     * Runs one turn.
     *
     * @param time the present time, which must not be before that of the previous turn
     * @param events what has happened since the previous turn, in order
     * @return what the caller is to do, in order
     * @throws IllegalArgumentException if the time is before that of the previous turn
     */
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
        // After all events: a later event may have made room, or ended the message that would be refused.
        for (int excess = openMessages - settings.limits().maxOpenMessages(); excess >= 0; excess--) {
            shedLowestWorth();
        }
        runTimers();
        dispatch();
        if (releaseRequested) {
            // After dispatch: a destination may have its first message in a long time in this very turn.
            releaseRequested = false;
            releaseUnusedDestinations();
        }
        setTimer();
        return actions;
    }

    /**
     * The number of endpoints that are out although the list calls them ready. Endpoints that only wait for a
     * rate limit or a backoff are not counted.
     */
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
            applySnapshot(e);
        } else if (event instanceof ExternalCalls e) {
            Destination destination = destination(e.destination());
            externalCalls += e.calls() - destination.externalCalls;
            destination.externalCalls = e.calls();
            dispatchCandidates.add(destination);
        } else if (event instanceof ExternalOrderingKeys e) {
            applyExternalKeys(e.orderingKeys());
        } else if (event instanceof MessageWithdrawn e && messages.containsKey(e.id())) {
            endMessage(messages.get(e.id()));
        } else if (event instanceof StorageChanged e) {
            storageUnwritable = !e.writable();
            destinations.values().stream().filter(destination -> destination.waitingMessages > 0)
                .forEach(dispatchCandidates::add);
        } else if (event instanceof TimerDue && timerSetFor <= now) {
            timerSetFor = NEVER;
        }
    }

    /** Applies new settings. What is known about endpoints stays, and messages keep their class. */
    private void applySettings(Settings newSettings) {
        Map<String, TokenBucket> quotasByTenant = new HashMap<>();
        for (int i = 0; i < quotaBuckets.length; i++) {
            quotasByTenant.put(settings.tenants().get(i).name(), quotaBuckets[i]);
        }
        settings = newSettings;
        quotaBuckets = settings.tenants().stream()
            .map(tenant -> quotasByTenant.getOrDefault(tenant.name(), new TokenBucket()))
            .toArray(TokenBucket[]::new);
        for (Destination destination : destinations.values()) {
            destination.growQueues(settings.classes().size() * 3);
            dispatchCandidates.add(destination);
        }
    }

    // ---- Message lifecycle ----------------------------------------------------------------------
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
            // Recovered messages were accepted over several seconds, so they say nothing about the rate now.
            message.destination.recordAccepted(now, RATE_SPAN_MICROS,
                Math.max(MIN_RATE_AGE_MICROS, now - startedAt));
        }
        message.recovered = event.recovered();
        message.deadline = event.deadline();
        message.aim = message.deadline + event.answerReserve() - message.messageClass.lifetime()
            + message.messageClass.aim();
        // A recovered message counted against the quota when it was accepted.
        boolean inQuota = event.recovered() || withinQuota(event.tenant());
        message.queueIndex = event.messageClass() * 3 + (inQuota ? 0 : 1);
        message.fullWorth = message.messageClass.worth() * (inQuota ? 1 : settings.overShareWorth());
        messages.put(message.id, message);
        openMessages++;
        schedule(message.deadline, TimerKind.DEADLINE, message);
        if (message.messageClass.inOrder() && event.orderingKey() != null) {
            message.orderingKey = orderingKeys.computeIfAbsent(event.orderingKey(), OrderingKey::new);
            message.orderingKey.add(message);
        }
        for (EarlierAttempt earlier : event.earlierAttempts()) {
            message.attempts.add(recoveredAttempt(message, earlier));
        }
        message.recoveredUntried = event.recovered() && message.attempts.isEmpty();
        if (!message.attempts.isEmpty() && (message.attemptCount() >= message.messageClass.maxAttempts()
            || message.messageClass.effect() == Effect.UNSAFE && message.mayHaveRun())) {
            refuseOrFail(message);
        } else if (message.orderingKey == null || message.orderingKey.isHead(message)) {
            enqueue(message, false);
        }
    }

    /** Creates an attempt made before a restart. One that was in flight then may have run. */
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

    /** Counts a message against this relay's share of its tenant's quota; false if it exceeds the quota. */
    private boolean withinQuota(int tenant) {
        if (tenant >= quotaBuckets.length) {
            return true;
        }
        double rate = settings.tenants().get(tenant).quotaPerSecond() / settings.relayCount();
        quotaBuckets[tenant].refill(rate, rate * QUOTA_BURST_SECONDS, now);
        return quotaBuckets[tenant].tryTake();
    }

    /**
     * Makes a message wait to be sent, or hands it over.
     *
     * @param retried the message goes to the head of its queue, as an attempt has just failed
     */
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

    /** Leaves a message without open attempts to the next process; the next of its key may follow it. */
    private void handOver(Message message) {
        actions.add(new HandOver(message.id));
        endMessage(message);
    }

    /** True when the sender may safely hand the message in again. */
    private boolean mayRefuse(Message message) {
        return message.messageClass.effect() == Effect.SAFE || !message.mayHaveRun()
            || message.messageClass.effect() == Effect.KEYED && !message.messageClass.dedupPerZone();
    }

    /** Ends a message that was not delivered: refuses it where the rules permit that, else fails it. */
    private void refuseOrFail(Message message) {
        if (message.ended) {
            return;
        }
        actions.add(mayRefuse(message) && now < message.deadline
            ? new Refuse(message.id, retryAfter(message.destination)) : new Fail(message.id));
        endMessage(message);
    }

    /** When to hand in a refused message again: once an endpoint is available and the queue has drained. */
    private long retryAfter(Destination destination) {
        long availableAt = destination.endpoints.values().stream()
            .mapToLong(EndpointState::unavailableUntil).min().orElse(now);
        long queueTime = (long) (destination.waitingMessages / destination.congestionWindow
            * Math.max(destination.recentLatency, INITIAL_COPY_DELAY_MICROS));
        return Math.min(settings.limits().maxRetryAfter(), Math.max(availableAt - now, queueTime));
    }

    /** Ends a message: it is not sent any more, and its attempts in flight are cancelled if permitted. */
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

    /** Forgets an ended message when its last attempt has ended, and lets the next of its key proceed. */
    private void forgetIfSettled(Message message) {
        if (!message.ended || message.openAttempts > 0) {
            return;
        }
        message.destination.unsettledMessages -= messages.remove(message.id) == null ? 0 : 1;
        if (message.orderingKey != null) {
            advanceKey(message.orderingKey);
        }
    }

    /** Removes the settled messages at the head of a key, and queues the next one when its pause is over. */
    private void advanceKey(OrderingKey key) {
        while (!key.messages.isEmpty() && key.messages.peekFirst().ended
                && key.messages.peekFirst().openAttempts == 0) {
            key.messages.pollFirst();
        }
        Message head = key.messages.peekFirst();
        boolean idle = head == null || !head.ended && !head.queued && head.openAttempts == 0;
        if (key.heldElsewhere) {
            return;
        }
        if (idle && key.pausedUntil > now) {
            schedule(key.pausedUntil, TimerKind.ORDERING_KEY, key);
        } else if (head == null) {
            orderingKeys.remove(key.name);
        } else if (idle) {
            enqueue(head, false);
        } else {
            dispatchCandidates.add(head.destination);
        }
    }

    /**
     * Holds the keys of which the previous process still has messages, and lets the messages of the others
     * proceed. The last call there may still be running when its message has ended, so a key pauses then.
     */
    private void applyExternalKeys(Set<String> held) {
        for (OrderingKey key : List.copyOf(orderingKeys.values())) {
            if (key.heldElsewhere && !held.contains(key.name)) {
                key.release(now + settings.rules().keyPause());
                schedule(key.pausedUntil, TimerKind.ORDERING_KEY, key);
            }
        }
        held.forEach(name -> orderingKeys.computeIfAbsent(name, OrderingKey::new).heldElsewhere = true);
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
        if (message.orderingKey != null
            && (event.outcome() == Outcome.TIMEOUT || event.outcome() == Outcome.RESET
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

    /** All attempts have ended without delivering the message: queues it again or ends it. */
    private void retryOrEnd(Message message) {
        boolean exhausted = message.attemptCount() >= message.messageClass.maxAttempts()
            || now >= message.deadline;
        if (exhausted || message.messageClass.effect() == Effect.UNSAFE && message.mayHaveRun()) {
            refuseOrFail(message);
        } else {
            enqueue(message, true);
        }
    }

    /** Updates the counts of calls in flight, and frees the slot with the last message of a call. */
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
            closeRarelyUsedConnections(endpoint);
        }
        endpoint.openProbes -= attempt.isProbe ? 1 : 0;
        endpoint.overdueAttempts -= attempt.overdue ? 1 : 0;
        endpoint.destination.overdueAttempts -= attempt.overdue ? 1 : 0;
        dispatchCandidates.add(endpoint.destination);
    }

    /**
     * Closes the idle connections of an endpoint that is used too rarely to keep them. Endpoints may accept
     * few connections, idle ones included, and every relay of a fleet would otherwise keep its own.
     */
    private void closeRarelyUsedConnections(EndpointState endpoint) {
        double heldFor = Math.min(idleHoldMicros[endpoint.kind], idleTrustMicros[endpoint.kind]);
        double expectedUses = endpoint.destination.acceptedPerSecond
            / Math.max(1, endpoint.destination.endpoints.size()) * heldFor / SECOND;
        if (expectedUses < MIN_EXPECTED_USES && endpoint.inFlight == 0) {
            closeIdleConnections(endpoint);
        }
    }

    private void closeIdleConnections(EndpointState endpoint) {
        endpoint.idleSince.clear();
        actions.add(new CloseIdleConnections(endpoint.id));
    }

    /** Load shedding: refuses the waiting message that has the least worth left to earn. */
    private void shedLowestWorth() {
        Message leastWorthy = null;
        double leastWorth = Double.MAX_VALUE;
        for (Destination destination : destinations.values()) {
            if (destination.waitingMessages == 0) {
                continue;
            }
            double wait = destination.waitingMessages / destination.congestionWindow
                * Math.max(destination.recentLatency, INITIAL_COPY_DELAY_MICROS);
            for (MessageQueue queue : destination.queues) {
                if (queue == null) {
                    continue;
                }
                Message message = MessageQueue.firstQueued(queue.late) != null
                    ? MessageQueue.firstQueued(queue.late) : MessageQueue.lastQueued(queue.onTime);
                double worth = message != null && mayRefuse(message)
                    ? message.worthAt(now + (long) wait) : leastWorth;
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

    // ---- Dispatch and the conditions for a send -------------------------------------------------
    /** Recovered messages that were never sent go first: a restart must not end them without an attempt. */
    private double priority(Message message) {
        if (message.recoveredUntried) {
            return Double.MAX_VALUE;
        }
        long when = now + (long) message.destination.recentLatency;
        double worth = message.worthAt(when);
        return worth + URGENCY_WEIGHT * (worth - message.worthAt(when + SECOND));
    }

    /**
     * Sends the messages that may be sent now, in order of priority. The others are considered again when a
     * timer is due or an attempt ends.
     */
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
            Candidate next = slotsUsed < availableSlots() || canJoinCall(best.endpoint)
                ? chooseCandidate(best.message.destination) : null;
            if (next != null) {
                candidates.add(next);
            }
        }
    }

    /**
     * The message of a destination with the highest priority among those that may be sent now, and the
     * endpoint for it. If there is none, sets a timer to consider the destination again and returns null.
     */
    private Candidate chooseCandidate(Destination destination) {
        Candidate best = null;
        long recheckAt = now + RECHECK_MICROS;
        for (int i = -1; i < destination.queues.length; i++) {
            Message message = destination.waitingMessages == 0 ? null
                : i < 0 ? destination.firstRecovered() : nextMessage(destination.queues[i]);
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
        if (best == null && destination.waitingMessages > 0
            && (destination.recheckAt <= now || recheckAt < destination.recheckAt)) {
            destination.recheckAt = recheckAt;
            schedule(recheckAt, TimerKind.RECHECK, destination);
        }
        return best;
    }

    /** Within the target time the oldest message is next; past it the newest, which has most worth left. */
    private Message nextMessage(MessageQueue queue) {
        if (queue == null) {
            return null;
        }
        for (Message message = MessageQueue.firstQueued(queue.onTime); message != null;
                message = MessageQueue.firstQueued(queue.onTime)) {
            if (now + (long) message.destination.recentLatency <= message.aim) {
                return message;
            }
            queue.late.addLast(queue.onTime.pollFirst());
        }
        return MessageQueue.lastQueued(queue.late);
    }

    /** Cost of sending a message to an endpoint: the expected response time, in us, and surcharges. */
    private double cost(Message message, EndpointState endpoint) {
        double latency = endpoint.latency > 0 ? endpoint.latency
            : Math.max(endpoint.destination.recentLatency, INITIAL_COPY_DELAY_MICROS);
        double deductions = endpoint.zone == settings.zone() ? 0 : settings.costs().crossZone();
        if (settings.kinds().get(endpoint.kind).independentEndpoints()
            && endpoint.zone < settings.costs().zoneFees().size()) {
            deductions += settings.costs().zoneFees().get(endpoint.zone);
        }
        int maxStreams = Math.max(1, settings.limits().maxStreams());
        boolean connected = endpoint.hasIdleConnection(now - settings.limits().keepAlive())
            || endpoint.inFlight % maxStreams != 0;
        return latency * (1 + endpoint.inFlight) * (1 + 0.1 * random.nextDouble())
            + (connected ? 0 : CONNECT_COST_MICROS)
            + deductions * 100 * COST_PER_PERCENT_MICROS
            + (double) (endpoint.consecutiveFailures + endpoint.overdueAttempts
                + message.attemptCount(endpoint)) * FAILURE_COST_MICROS;
    }

    /** Slots that this process may use: the limit holds together with calls of the previous process. */
    private int availableSlots() {
        return settings.limits().callSlots() - externalCalls;
    }

    /** True when a message can still join the call that was made to this endpoint in the same turn. */
    private boolean canJoinCall(EndpointState endpoint) {
        return endpoint.latestCallTurn == turnCount
            && endpoint.latestCall.messageCount < settings.kinds().get(endpoint.kind).maxMessagesPerCall();
    }

    /**
     * The earliest time at which this message may be sent to this endpoint; it may be sent now if that is not
     * after the present time. Every send must be permitted by this method.
     */
    private long earliestSend(Message message, EndpointState endpoint, boolean copy) {
        if (storageUnwritable || !endpoint.ready || message.ended
            || message.destination != endpoint.destination
            || message.attemptCount() >= message.messageClass.maxAttempts()
            || message.deadline <= now || !effectAllows(message, endpoint, copy)) {
            return NEVER;
        }
        if (message.orderingKey != null && !message.orderingKey.isTurnOf(message, now)) {
            return NEVER;
        }
        boolean joinsCall = canJoinCall(endpoint);
        if (!joinsCall && (slotsUsed >= availableSlots()
            || endpoint.destination.openCalls + endpoint.destination.externalCalls
                >= callLimit(endpoint.destination))) {
            return NEVER;
        }
        return Math.max(listAwaitedUntil, nextCallAt(endpoint, joinsCall));
    }

    /** The rule on effects: after an attempt that may have run, only what the class permits may be sent. */
    private boolean effectAllows(Message message, EndpointState endpoint, boolean copy) {
        if (copy ? !settings.limits().copiesAllowed() || message.messageClass.effect() == Effect.UNSAFE
            : message.openAttempts > 0) {
            return false;
        }
        if (message.messageClass.effect() == Effect.SAFE) {
            return true;
        }
        for (Attempt attempt : message.attempts) {
            if (attempt.mayHaveRun && (message.messageClass.effect() == Effect.UNSAFE
                || now >= attempt.sentAt + message.messageClass.dedupWindow()
                || message.messageClass.dedupPerZone() && attempt.endpoint.zone != endpoint.zone)) {
                return false;
            }
        }
        return true;
    }

    /** Sends a message, in a call of its own or in the one made to the endpoint in this turn. */
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
            if (!endpoint.idleSince.isEmpty()
                && endpoint.idleSince.peekLast() < now - idleTrustMicros[endpoint.kind]) {
                closeIdleConnections(endpoint);
            }
            attempt.connectionIdleTime = endpoint.idleSince.isEmpty() ? -1
                : now - endpoint.idleSince.pollLast();
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
            message.destination.copyTokens = Math.min(MAX_COPY_TOKENS,
                message.destination.copyTokens + COPY_TOKENS_PER_SEND);
        }
        schedule(now + copyDelay(message.destination), TimerKind.COPY, attempt);
    }

    private long attemptTimeout(Message message) {
        Destination destination = message.destination;
        double base = Math.max(MIN_TIMEOUT_MICROS, TIMEOUT_FACTOR * copyDelay(destination));
        base = !destination.latencies.isSufficient() ? INITIAL_TIMEOUT_MICROS
            : Math.min(MAX_TIMEOUT_MICROS, base);
        base *= message.messageClass.effect() == Effect.UNSAFE ? UNSAFE_TIMEOUT_FACTOR : 1;
        return Math.min(message.deadline - now, (long) base);
    }

    // ---- Copies (hedged requests) ---------------------------------------------------------------
    /** The time after which an attempt without an answer is worth a copy; most answers arrive before it. */
    private long copyDelay(Destination destination) {
        return !destination.latencies.isSufficient() ? INITIAL_COPY_DELAY_MICROS
            : destination.latencies.percentile(COPY_DELAY_PERCENTILE);
    }

    /** The copy delay has passed: sends a copy to another endpoint if the limits leave room for one. */
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
        if (handingOver || message.ended || message.copiesSent >= MAX_COPIES
            || message.messageClass.effect() == Effect.UNSAFE || !settings.limits().copiesAllowed()) {
            return;
        }
        EndpointState choice = null;
        // Unsent messages go first. Copies are limited to a share of all sends, since in an overload every
        // call exceeds the copy delay, and unlimited copies would add to the load of a full destination.
        if (message.destination.waitingMessages == 0 && message.destination.copyTokens >= 1
            && !message.destination.isSlow()) {
            double lowestCost = Double.MAX_VALUE;
            for (EndpointState endpoint : message.destination.endpoints.values()) {
                double cost = cost(message, endpoint);
                boolean permitted = earliestSend(message, endpoint, true) <= now
                    && endpoint.limitScope.bucket.tokens >= MIN_TOKENS_FOR_COPY;
                if (endpoint != attempt.endpoint && endpoint.health == Health.GOOD && permitted
                    && cost < lowestCost) {
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

    // ---- Congestion window and send rate --------------------------------------------------------
    /** Calls that a destination may have in flight: its window, capped at a share of the slots. */
    private int callLimit(Destination destination) {
        boolean allOut = destination.endpoints.values().stream()
            .allMatch(endpoint -> endpoint.health == Health.OUT);
        boolean degraded = destination.isSlow() || 2 * destination.overdueAttempts > destination.openCalls
            || allOut;
        // A destination that takes calls and does not answer must not occupy the slots until they time out.
        double cap = (degraded ? DEGRADED_SLOT_SHARE : MAX_WINDOW_SLOT_SHARE) * settings.limits().callSlots();
        return (int) Math.max(1, Math.min(destination.congestionWindow, cap));
    }

    /** Updates rates, windows and health by the outcome of an attempt. */
    private void recordOutcome(Attempt attempt, AttemptEnded event) {
        Destination destination = attempt.endpoint.destination;
        LimitScope scope = attempt.endpoint.limitScope;
        int kind = attempt.endpoint.kind;
        // The answer to a call may carry a Retry-After whatever the outcome of this message.
        scope.retryAfterUntil = Math.max(scope.retryAfterUntil, now + event.retryAfter());
        // Messages of one call mostly end the same way, which shows no more than the end of a single one.
        if (attempt.call.lastOutcome == event.outcome()) {
            return;
        }
        attempt.call.lastOutcome = event.outcome();
        if (attempt.afterRefusal && (event.outcome() == Outcome.OK || event.outcome() == Outcome.FULL)) {
            retrySuccess[kind] += RETRY_SUCCESS_WEIGHT
                * ((event.outcome() == Outcome.OK ? 1 : 0) - retrySuccess[kind]);
        }
        attempt.endpoint.consecutiveSocketFailures = event.outcome() == Outcome.NO_SOCKET
            ? attempt.endpoint.consecutiveSocketFailures + 1 : 0;
        switch (event.outcome()) {
            case OK -> {
                destination.recordLatency(attempt.endpoint, event.latency());
                idleHoldMicros[kind] = Math.min(settings.limits().keepAlive(),
                    idleHoldMicros[kind] * IDLE_HOLD_GROWTH);
                double trust = Math.max(idleTrustMicros[kind] * IDLE_HOLD_GROWTH,
                    attempt.connectionIdleTime * IDLE_TRUST_FACTOR);
                idleTrustMicros[kind] = Math.min(settings.limits().keepAlive(), trust);
                destination.congestionWindow = Math.min(destination.congestionWindow + 1,
                    Math.max(1, MAX_WINDOW_SLOT_SHARE * settings.limits().callSlots()));
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
                attempt.endpoint.backoffUntil = now
                    + randomBackoff(destination, attempt.endpoint.consecutiveFailures);
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

    /** Backs off. A failure of this machine counts against the endpoint only when it persists. */
    private void recordSocketFailure(Attempt attempt) {
        if (attempt.endpoint.consecutiveSocketFailures >= NO_SOCKET_FAILURES) {
            recordFailure(attempt);
        }
        long gap = NO_SOCKET_BACKOFF_MICROS
            << Math.min(attempt.endpoint.consecutiveSocketFailures, NO_SOCKET_FAILURES);
        attempt.endpoint.backoffUntil = Math.max(attempt.endpoint.backoffUntil,
            now + Math.min(MAX_INITIAL_BACKOFF_MICROS, gap));
    }

    /**
     * After a timeout or reset: an idle connection may have been dropped without notice, so idle connections
     * are trusted for a shorter time. A failure on a new connection, or one of several in a row, has another
     * cause.
     */
    private void adjustIdleTrust(Attempt attempt) {
        double trust = idleTrustMicros[attempt.endpoint.kind];
        if (attempt.connectionIdleTime < 0) {
            idleTrustMicros[attempt.endpoint.kind] = Math.min(settings.limits().keepAlive(), trust * 2);
        } else if (attempt.connectionIdleTime >= MIN_IDLE_TRUST_MICROS
            && attempt.endpoint.consecutiveFailures == 0 && !attempt.endpoint.destination.isSlow()) {
            idleTrustMicros[attempt.endpoint.kind] = Math.min(trust,
                Math.max(MIN_IDLE_TRUST_MICROS, attempt.connectionIdleTime / 2.0));
        }
    }

    /** Listed calls per second that a limit scope accepts from all relays together. */
    private double listedRate(LimitScope scope) {
        return settings.weights() == Weights.NONE ? UNLISTED_CALLS_PER_SECOND : scope.weight;
    }

    private double maxSendRate(LimitScope scope) {
        return MAX_LISTED_RATE_FACTOR * listedRate(scope);
    }

    private double minSendRate(LimitScope scope) {
        return settings.weights() == Weights.NONE
            ? Math.min(MIN_CALLS_PER_SECOND, 1.0 / settings.relayCount())
            : Math.max(MIN_CALLS_PER_SECOND,
                MIN_EVEN_SHARE_FACTOR * listedRate(scope) / settings.relayCount());
    }

    /**
     * Sets the send rate as a function of time where no rates are listed.
     *
     * <p>While no limit has been met, the rate follows the usual rate of accepted messages, up to a multiple
     * of the rate reached so far. After a limit has been met, the rate follows a cubic curve: it rises from
     * below the limit back to it, grows slowly past it, then faster. The refusals of all relays add up, so
     * the curve is slower the more relays there are.
     */
    private void regainSendRate(EndpointState endpoint) {
        LimitScope scope = endpoint.limitScope;
        if (settings.weights() == Weights.NONE && scope.limitRate == 0) {
            int maxMessagesPerCall = settings.kinds().get(endpoint.kind).maxMessagesPerCall();
            double startRate = startRate(endpoint.kind);
            double observedRate = Math.max(endpoint.destination.acceptedPerSecond / maxMessagesPerCall,
                scope.callRate.perSecond(now, CALL_RATE_SPAN_MICROS, CALL_RATE_SPAN_MICROS));
            // After a restart all relays hold the messages of the time in between, which must not set the
            // rate to begin with.
            double maxRate = startRate * Math.pow(RATE_GROWTH_FACTOR,
                (double) scope.callRate.age(now) / SECOND);
            scope.sendRate = Math.min(maxRate, Math.max(startRate, RATE_GROWTH_FACTOR * observedRate));
        } else if (settings.weights() == Weights.NONE) {
            double span = (REGAIN_CALLS + settings.relayCount()) / scope.limitRate * SECOND;
            span = Math.max(MIN_REGAIN_MICROS, Math.min(MAX_REGAIN_MICROS, span));
            double progress = (now - scope.limitMetAt) / span - 1;
            double maxRate = RATE_GROWTH_FACTOR
                * Math.max(scope.limitRate, scope.callRate.perSecond(now, CALL_RATE_SPAN_MICROS));
            scope.sendRate = Math.min(maxRate,
                scope.limitRate * (1 + LIMIT_RATE_DROP * progress * progress * progress));
        }
    }

    /** Reduces the send rate after a refusal and backs off; ejects the endpoint if it seems to be out. */
    private void recordRefusal(LimitScope scope, long retryAfter, Attempt attempt) {
        Destination destination = attempt.endpoint.destination;
        if (attempt.sentAt >= destination.lastRefusalAt) {
            destination.consecutiveRefusals++;
        }
        if (settings.weights() != Weights.NONE) {
            scope.sendRate = Math.max(minSendRate(scope), scope.sendRate * REFUSAL_RATE_FACTOR);
        } else if (attempt.sentAt >= scope.limitMetAt && attempt.endpoint.health == Health.GOOD) {
            // The recent rate exceeds the limit. Refusals of calls that were in flight when the limit was met
            // show nothing new, and what an endpoint in slow start can serve is not its limit.
            double recentRate = Math.min(scope.sendRate,
                scope.callRate.perSecond(now, CALL_RATE_SPAN_MICROS));
            double limitRate = recentRate * (destination.consecutiveRefusals > 1 ? REPEATED_LIMIT_FACTOR : 1);
            // The limit is assumed to be no lower than the rate of accepted messages, in full calls, since
            // the send rate itself would make messages late otherwise. In a large fleet with single-message
            // calls only a part of that rate counts: many relays that all kept to it would exceed a lower
            // limit all the time.
            int maxMessagesPerCall = settings.kinds().get(attempt.endpoint.kind).maxMessagesPerCall();
            double acceptedCallRate = destination.acceptedPerSecond / maxMessagesPerCall
                * (maxMessagesPerCall > 1 ? 1 : Math.min(1, SMALL_FLEET_RELAYS / settings.relayCount()));
            scope.limitRate = Math.max(Math.max(minSendRate(scope), acceptedCallRate), limitRate);
            scope.limitMetAt = now;
        }
        destination.lastRefusalAt = now;
        long spread = (long) (Math.min(retryAfter,
            INITIAL_BACKOFF_GAPS * SECOND / destination.acceptedPerSecond) * random.nextDouble());
        spread = Math.max(spread,
            randomBackoff(destination, destination.consecutiveRefusals - (retryAfter > 0 ? 1 : 0)));
        scope.backoffUntil = Math.max(scope.backoffUntil, now + retryAfter + spread);
        // After as many refusals in a row as there are endpoints, the backoff applies to all of them, so that
        // a destination that refuses everything is not tried at one endpoint after the other.
        destination.backoffUntil = destination.consecutiveRefusals >= destination.endpoints.size()
            ? scope.backoffUntil : destination.backoffUntil;
        scope.bucket.tokens = Math.min(scope.bucket.tokens, 1);
        if (retryAfter > OUTAGE_RETRY_AFTER_MICROS || destination.consecutiveRefusals >= OUTAGE_REFUSALS
            || attempt.endpoint.health == Health.OUT) {
            eject(attempt.endpoint, true, HealthReason.REFUSALS);
        } else if (attempt.endpoint.health == Health.GOOD && settings.relayCount() > FEW_RELAYS
            && attempt.sentAt - attempt.endpoint.limitScope.lastSuccessSentAt > LONG_SILENCE_MICROS) {
            attempt.endpoint.outageLikely = true;
            eject(attempt.endpoint, false, HealthReason.REFUSED_AFTER_SILENCE);
        }
    }

    /**
     * A random backoff after so many failures in a row. It is proportional to the mean gap between the
     * messages that this relay accepts for the destination, so that the retries of a whole fleet add up to a
     * rate that the destination can take.
     */
    private long randomBackoff(Destination destination, int failures) {
        double gap = SECOND / Math.max(MIN_ACCEPTED_PER_SECOND, destination.acceptedPerSecond);
        double first = Math.max(MIN_INITIAL_BACKOFF_MICROS,
            Math.min(MAX_INITIAL_BACKOFF_MICROS, gap * INITIAL_BACKOFF_GAPS));
        double cap = Math.max(MIN_BACKOFF_CAP_MICROS,
            Math.min(MAX_BACKOFF_CAP_MICROS, gap * MAX_BACKOFF_GAPS));
        // Where refused calls count against the limit as well, retries keep it exhausted. There few calls
        // after a refusal succeed, and the backoff is longer.
        double success = Math.min(1,
            Math.max(MIN_RETRY_SUCCESS, retrySuccess[destination.kind]) / USUAL_RETRY_SUCCESS);
        double span = Math.min(cap, first * Math.pow(BACKOFF_GROWTH, failures - 1)) / success;
        return failures < 1 ? 0 : (long) (span * (0.5 + random.nextDouble()));
    }

    // ---- Health and slow start ------------------------------------------------------------------
    /** Updates the endpoint's health by an answered call: a probe's answer ends its ejection. */
    private void recordSuccess(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint;
        LimitScope scope = endpoint.limitScope;
        endpoint.destination.consecutiveRefusals = 0;
        if (settings.weights() != Weights.NONE && scope.bucket.tokens < 1) {
            double grown = scope.sendRate + RATE_GROWTH_SHARE * minSendRate(scope);
            scope.sendRate = Math.max(scope.sendRate, Math.min(maxSendRate(scope), grown));
        }
        scope.deliveryRate.record(now, RATE_SPAN_MICROS);
        // An endpoint with little traffic shows a single failure in an outage. The outage therefore counts as
        // confirmed unless the probe came soon after the failure and the endpoint had answered just before.
        endpoint.outageConfirmed |= endpoint.health == Health.OUT
            && (endpoint.outageLikely || attempt.sentAt - endpoint.outSince > SUSPICION_MICROS
                || attempt.sentAt - endpoint.lastSuccessSentAt > LONG_SILENCE_MICROS);
        endpoint.lastSuccessAt = now;
        endpoint.lastSuccessSentAt = Math.max(endpoint.lastSuccessSentAt, attempt.sentAt);
        scope.lastSuccessSentAt = Math.max(scope.lastSuccessSentAt, attempt.sentAt);
        endpoint.failureShare *= 1 - OUTCOME_WEIGHT;
        if (endpoint.health != Health.OUT || attempt.sentAt >= endpoint.outSince) {
            endpoint.consecutiveFailures = 0;
        }
        if (endpoint.health == Health.OUT && attempt.sentAt >= endpoint.outSince) {
            endpoint.health = endpoint.outageConfirmed ? Health.RETURNING : Health.GOOD;
            endpoint.returnedAt = now;
            reportHealth(endpoint,
                endpoint.outageConfirmed ? HealthReason.TRIAL_ANSWERED : HealthReason.SUSPICION_CLEARED);
        }
        updateUnavailable(endpoint);
    }

    /**
     * Updates the endpoint's health by a failed call. The failure counts only while no call sent later has
     * been answered, or when most recent calls fail.
     */
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
        // A busy endpoint that fails part of its calls answers the others: recent answers mean no outage.
        boolean silent = now - endpoint.lastSuccessAt >= RECENT_SUCCESS_MICROS;
        boolean probe = endpoint.health == Health.OUT && attempt.sentAt >= endpoint.outSince;
        boolean longSilent = attempt.sentAt - endpoint.lastSuccessSentAt > LONG_SILENCE_MICROS;
        endpoint.outageLikely = attempt.call.lastOutcome == Outcome.TIMEOUT
            || settings.relayCount() > FEW_RELAYS
                && (longSilent || now - attempt.sentAt >= HUNG_CALL_MICROS);
        if (prevails || probe || silent && endpoint.consecutiveFailures >= OUTAGE_FAILURES) {
            eject(endpoint, true, probe ? HealthReason.TRIAL_FAILED : HealthReason.FAILURES);
        } else if (endpoint.health == Health.RETURNING && attempt.sentAt >= endpoint.returnedAt) {
            // It may still have been out when the call was sent: its warm-up began now at the earliest.
            endpoint.returnedAt = now;
            reportHealth(endpoint, HealthReason.FAILED_IN_SLOW_START);
        } else if (endpoint.consecutiveFailures > 0 && silent && endpoint.health != Health.RETURNING) {
            eject(endpoint, false, HealthReason.SUSPECTED);
        }
    }

    /**
     * Ejects an endpoint, so that it gets single probes only.
     *
     * @param confirmed false for a suspicion from a single failure, which one answer clears; a confirmed
     *     outage ends in a slow start
     */
    private void eject(EndpointState endpoint, boolean confirmed, HealthReason reason) {
        boolean wasOut = endpoint.health == Health.OUT;
        if (!wasOut) {
            beginSlowStart(endpoint);
            endpoint.outageConfirmed = false;
            endpoint.outSince = now;
            endpoint.nextProbeAt = now + randomProbeGap();
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
        if (newlyConfirmed || !wasOut && endpoint.outageLikely) {
            suspectSiblings(endpoint);
        }
    }

    /**
     * The endpoints of a destination mostly fail together: those in the same limit scope that have not
     * answered lately must answer a probe first.
     */
    private void suspectSiblings(EndpointState endpoint) {
        for (EndpointState other : endpoint.destination.endpoints.values()) {
            boolean silent = other.lastSuccessSentAt < endpoint.outSince - SIBLING_SUCCESS_MICROS;
            if (other.limitScope == endpoint.limitScope && other.health == Health.GOOD && silent) {
                other.outageLikely = endpoint.outageLikely;
                eject(other, false, HealthReason.SIBLING_OUT);
            }
        }
    }

    /**
     * The earliest time for another message to this endpoint, by Retry-After, backoff, probe gap, slow start
     * and send rate. Also ends a slow start that is complete.
     *
     * @param joinsCall the message joins a call that has already been counted
     */
    private long nextCallAt(EndpointState endpoint, boolean joinsCall) {
        LimitScope scope = endpoint.limitScope;
        long openAt = endpoint.unavailableUntil();
        if (endpoint.health == Health.RETURNING
            && now - endpoint.returnedAt >= settings.rules().warmUpTime()) {
            endpoint.health = Health.GOOD;
            endpoint.failureShare = 0;
            reportHealth(endpoint, HealthReason.WARM);
        }
        if (endpoint.health == Health.OUT) {
            if (endpoint.openProbes > 0) {
                return NEVER;
            }
            openAt = Math.max(openAt, endpoint.nextProbeAt);
        }
        if (!joinsCall && isSlowStarting(endpoint)) {
            openAt = Math.max(openAt, scope.slowStart.nextCallAt(settings, slowStartBudget(endpoint), now));
        }
        regainSendRate(endpoint);
        scope.bucket.refill(scope.sendRate, Math.max(MIN_BURST_CALLS, scope.sendRate * BURST_SECONDS), now);
        if (!joinsCall && scope.bucket.tokens < 1) {
            openAt = Math.max(openAt,
                now + (long) ((1 - scope.bucket.tokens) / scope.sendRate * SECOND) + 1);
        }
        return openAt;
    }

    /** True when the slow start limits the calls to an endpoint. */
    private static boolean isSlowStarting(EndpointState endpoint) {
        // A single call that failed at once, soon after others were answered, may be an isolated failure.
        boolean suspected = endpoint.health == Health.OUT && !endpoint.outageConfirmed
            && !endpoint.outageLikely && !endpoint.limitScope.slowStart.isOutageConfirmed();
        return endpoint.health != Health.GOOD && !suspected;
    }

    /** Begins a slow start, unless an endpoint of the scope is out or returning, whose slow start applies. */
    private void beginSlowStart(EndpointState endpoint) {
        if (endpoint.destination.unhealthyEndpoints(endpoint.limitScope) == 0) {
            double deliveredPerSecond = endpoint.limitScope.deliveryRate.perSecond(now, RATE_SPAN_MICROS,
                Math.max(MIN_RATE_AGE_MICROS, now - startedAt));
            long firstProbeSpread = endpoint.destination.consecutiveRefusals > 0
                ? FIRST_PROBE_AFTER_REFUSAL_SPREAD_MICROS : FIRST_PROBE_SPREAD_MICROS;
            endpoint.limitScope.slowStart = new SlowStart(deliveredPerSecond, now, 2 * random.nextDouble(),
                now + (long) (firstProbeSpread * random.nextDouble()));
        }
    }

    /** This relay's share of the calls that an endpoint's limit scope can serve in a window. */
    private double slowStartBudget(EndpointState endpoint) {
        boolean out = endpoint.health == Health.OUT;
        double unhealthyShare = endpoint.limitScope == endpoint.destination.sharedScope
            ? (double) Math.max(1, endpoint.destination.unhealthyEndpoints(endpoint.limitScope))
                / Math.max(1, endpoint.destination.endpoints.size()) : 1;
        return endpoint.limitScope.slowStart.callBudget(settings,
            SlowStart.capacityShare(settings.rules(), out ? 0 : now - endpoint.returnedAt),
            (out ? OUTAGE_RATE_SHARE : 1) * endpoint.destination.acceptedPerSecond,
            listedRate(endpoint.limitScope), Math.min(1, unhealthyShare));
    }

    /** Counts a call to an endpoint that is out or returning for the slow start, and as a probe if out. */
    private void recordCallWhileUnhealthy(EndpointState endpoint, Attempt attempt) {
        if (attempt.call.messageCount == 1 && endpoint.health != Health.GOOD) {
            endpoint.limitScope.slowStart.recordCall(now, 0.5 + random.nextDouble());
        }
        if (endpoint.health == Health.OUT) {
            endpoint.openProbes++;
            endpoint.nextProbeAt = now + randomProbeGap();
            attempt.isProbe = true;
        }
    }

    /** Time to the next probe: relays that met an outage in one instant must not probe in one instant. */
    private long randomProbeGap() {
        return MIN_PROBE_GAP_MICROS + (long) (PROBE_GAP_SPREAD_MICROS * random.nextDouble());
    }

    /** Updates the number of endpoints that are listed as ready and are out with a confirmed outage. */
    private void updateUnavailable(EndpointState endpoint) {
        boolean listed = endpoint.destination.endpoints.get(endpoint.id) == endpoint;
        boolean unavailable = listed && endpoint.ready && endpoint.health == Health.OUT
            && endpoint.outageConfirmed;
        unavailableCount += unavailable == endpoint.countedUnavailable ? 0 : unavailable ? 1 : -1;
        endpoint.countedUnavailable = unavailable;
    }

    /** Reports the changed health of an endpoint, with what its slow start allows and has used. */
    private void reportHealth(EndpointState endpoint, HealthReason reason) {
        long since = endpoint.health == Health.OUT ? endpoint.outSince : endpoint.returnedAt;
        SlowStart slowStart = endpoint.limitScope.slowStart;
        actions.add(new HealthChanged(endpoint.id, endpoint.health, since, slowStart.rateBeforeOutage(),
            reason, slowStart.sentInWindow(now, settings.rules()), slowStartBudget(endpoint)));
    }

    /**
     * What the next process must know about each endpoint, in this clock's time. The caller may have no room
     * for all of it, so the order is: endpoints that asked to wait, then those that are out, returning or
     * backed off, then the others.
     */
    public List<EndpointSnapshot> endpointSnapshots() {
        Comparator<EndpointState> byImportance = Comparator.comparingInt(endpoint ->
            endpoint.limitScope.retryAfterUntil > now ? 0
                : endpoint.health != Health.GOOD || endpoint.unavailableUntil() > now ? 1 : 2);
        return endpoints.values().stream().sorted(byImportance).map(this::snapshotOf).toList();
    }

    /** The snapshot of an endpoint for the next process. */
    private EndpointSnapshot snapshotOf(EndpointState endpoint) {
        long since = endpoint.health == Health.OUT ? endpoint.outSince : endpoint.returnedAt;
        double deliveredPerSecond = endpoint.health == Health.GOOD ? 0
            : endpoint.limitScope.slowStart.rateBeforeOutage();
        return new EndpointSnapshot(endpoint.id, endpoint.limitScope.retryAfterUntil,
            endpoint.unavailableUntil(), endpoint.health, since, deliveredPerSecond,
            endpoint.limitScope.sendRate,
            endpoint.destination.congestionWindow, endpoint.latency);
    }

    /** Applies a snapshot of the previous process: its waits bind, its findings are not tried out again. */
    private void applySnapshot(EndpointSnapshot snapshot) {
        EndpointState endpoint = endpoints.get(snapshot.endpoint());
        if (endpoint == null) {
            return;
        }
        endpoint.limitScope.retryAfterUntil = Math.max(endpoint.limitScope.retryAfterUntil,
            snapshot.waitUntil());
        endpoint.backoffUntil = Math.max(endpoint.backoffUntil, snapshot.unavailableUntil());
        if (snapshot.sendRate() > 0) {
            endpoint.limitScope.sendRate = Math.min(endpoint.limitScope.sendRate, snapshot.sendRate());
            endpoint.limitScope.limitRate = settings.weights() == Weights.NONE ? snapshot.sendRate() : 0;
            endpoint.limitScope.limitMetAt = now;
            endpoint.latency = snapshot.latency();
            endpoint.destination.recentLatency = Math.max(endpoint.destination.recentLatency,
                snapshot.latency());
            endpoint.destination.congestionWindow = Math.max(endpoint.destination.congestionWindow,
                snapshot.congestionWindow());
        }
        if (snapshot.health() != Health.GOOD) {
            restoreOutage(endpoint, snapshot);
        }
    }

    /**
     * Restores an outage, or the return from one, that the previous process had observed. The result is never
     * less cautious than what this process has observed itself.
     */
    private void restoreOutage(EndpointState endpoint, EndpointSnapshot snapshot) {
        if (endpoint.health == Health.OUT) {
            return;
        }
        boolean firstOfScope = endpoint.health == Health.GOOD
            && endpoint.destination.unhealthyEndpoints(endpoint.limitScope) == 0;
        if (firstOfScope) {
            endpoint.limitScope.slowStart = new SlowStart(snapshot.carriedPerSecond(), now,
                0.5 + random.nextDouble(), NEVER);
        }
        endpoint.outageConfirmed = true;
        endpoint.limitScope.slowStart.confirmOutage();
        endpoint.returnedAt = endpoint.health == Health.RETURNING
            ? Math.max(endpoint.returnedAt, snapshot.since()) : snapshot.since();
        endpoint.health = snapshot.health();
        endpoint.outSince = now;
        if (firstOfScope) {
            endpoint.limitScope.slowStart.assumeBudgetSpent(settings, slowStartBudget(endpoint), now);
        }
        updateUnavailable(endpoint);
        reportHealth(endpoint, HealthReason.RESTORED);
    }

    // ---- List of endpoints ----------------------------------------------------------------------
    /** The destination with this id, created when first used; marks it as used. */
    private Destination destination(long id) {
        Destination destination = destinations.computeIfAbsent(id,
            k -> new Destination(k, settings.classes().size() * 3, LATENCY_SAMPLES));
        markUsed(destination);
        return destination;
    }

    /** Records the use of a destination, which makes it the last one to be released. */
    private void markUsed(Destination destination) {
        destination.lastUsedAt = now;
        byLastUse.remove(destination);
        byLastUse.add(destination);
    }

    private void applyList(ListUpdated update) {
        if (listAwaitedUntil != Long.MIN_VALUE) {
            listAwaitedUntil = Long.MIN_VALUE;
            destinations.values().stream().filter(destination -> destination.waitingMessages > 0)
                .forEach(dispatchCandidates::add);
        }
        Set<Long> listedIds = new HashSet<>();
        for (Endpoint listed : update.endpoints()) {
            listedIds.add(listed.id());
            applyList(listed, false);
        }
        if (update.kind() == ListKind.WHOLE) {
            endpoints.values().stream().filter(endpoint -> !listedIds.contains(endpoint.id))
                .forEach(this::removeEndpoint);
        }
    }

    /**
     * Adds, updates, moves or removes an endpoint as listed.
     *
     * @param introduced the endpoint's destination is introduced to the module: the endpoint may have been
     *     listed for long
     */
    private void applyList(Endpoint listed, boolean introduced) {
        EndpointState endpoint = endpoints.get(listed.id());
        if (endpoint != null && listed.listing() != Listing.GONE
            && endpoint.destination.id != listed.destination()) {
            removeEndpoint(endpoint);
            endpoints.remove(endpoint.id);
            EndpointState moved = addEndpoint(listed, false);
            // A Retry-After binds the endpoint in its new destination too.
            moved.backoffUntil = endpoint.limitScope.retryAfterUntil;
            endpoint = moved;
        }
        if (listed.listing() != Listing.GONE) {
            endpoint = endpoint == null ? addEndpoint(listed, introduced) : endpoint;
            if (endpoint.destination.endpoints.put(endpoint.id, endpoint) == null
                && endpoint.removedAt >= 0) {
                endpoint.removedAt = -1;
                endpoint.destination.removedEndpoints--;
            }
            endpoint.ready = listed.listing() == Listing.READY;
            updateUnavailable(endpoint);
            endpoint.limitScope.weight = listed.weight() > 0 ? listed.weight() : endpoint.limitScope.weight;
            if (settings.weights() != Weights.NONE) {
                endpoint.limitScope.sendRate = Math.min(endpoint.limitScope.sendRate,
                    maxSendRate(endpoint.limitScope));
            }
            dispatchCandidates.add(endpoint.destination);
        } else if (endpoint != null) {
            removeEndpoint(endpoint);
        }
    }

    private EndpointState addEndpoint(Endpoint listed, boolean introduced) {
        EndpointState endpoint = new EndpointState();
        endpoint.id = listed.id();
        endpoint.zone = listed.zone();
        endpoint.kind = listed.kind();
        endpoint.destination = destination(listed.destination());
        endpoint.destination.kind = listed.kind();
        boolean independent = settings.kinds().get(listed.kind()).independentEndpoints();
        endpoint.limitScope = independent || endpoint.destination.sharedScope == null ? new LimitScope()
            : endpoint.destination.sharedScope;
        endpoint.destination.sharedScope = independent ? endpoint.destination.sharedScope
            : endpoint.limitScope;
        if (endpoint.limitScope.sendRate == 0) {
            endpoint.limitScope.weight = listed.weight();
            endpoint.limitScope.sendRate = INITIAL_EVEN_SHARE_FACTOR * minSendRate(endpoint.limitScope)
                / MIN_EVEN_SHARE_FACTOR;
            if (settings.relayCount() > SMALL_FLEET_RELAYS) {
                // With full buckets, the first calls of all relays at once would exceed what it can serve.
                double randomTokens = random.nextDouble();
                endpoint.limitScope.bucket.refill(0,
                    introduced ? initialTokens(listed, randomTokens) : randomTokens, now);
            }
        }
        // A new endpoint is cold: all messages that wait for a failing destination would go there at once.
        if (!endpoint.destination.endpoints.isEmpty() && !endpoint.destination.hasHealthyEndpoint()) {
            eject(endpoint, true, HealthReason.NEW_AMONG_OUT);
            endpoint.limitScope.slowStart.restartSpacing(now);
        }
        endpoints.put(endpoint.id, endpoint);
        return endpoint;
    }

    /**
     * The tokens of a bucket that has been filled at the start rate since the relay began or, if the
     * destination was released before, since its last use.
     */
    private double initialTokens(Endpoint listed, double randomTokens) {
        double perMicro = startRate(listed.kind()) / SECOND;
        Long fullAt = releasedBucketFullAt.get(listed.destination());
        double tokens = fullAt == null ? randomTokens + (now - startedAt) * perMicro
            : MIN_BURST_CALLS - (fullAt - now) * perMicro;
        return Math.min(MIN_BURST_CALLS, tokens);
    }

    /** Calls per second that this relay may send to a destination whose limit is unknown. */
    private double startRate(int kind) {
        return (settings.kinds().get(kind).maxMessagesPerCall() > 1 ? FLEET_START_BATCHES_PER_SECOND
            : FLEET_START_CALLS_PER_SECOND) / settings.relayCount();
    }

    /**
     * Takes an endpoint off its destination. What is known about it is kept for a while, so that its
     * Retry-After and health outlast a gap in the list.
     */
    private void removeEndpoint(EndpointState endpoint) {
        endpoint.ready = false;
        if (endpoint.destination.endpoints.remove(endpoint.id) != null) {
            endpoint.removedAt = now;
            endpoint.destination.removedEndpoints++;
            schedule(now + FORGET_AFTER_MICROS, TimerKind.FORGET_ENDPOINT, endpoint);
        }
        updateUnavailable(endpoint);
    }

    /** Forgets an endpoint that has been off the list for long enough, unless it has calls in flight. */
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
     * Releases destinations that are not in use, least recently used first. In a large fleet a relay sends to
     * each of them once in many minutes: what it learned then is outdated by the next time, and the data of
     * all destinations together would not fit into memory.
     */
    private void releaseUnusedDestinations() {
        releasedBucketFullAt.values().removeIf(fullAt -> fullAt <= now);
        long minUnused = Math.max(settings.rules().warmUpTime() + settings.rules().overloadWindow(),
            settings.rules().keyPause());
        for (MessageClass messageClass : settings.classes()) {
            minUnused = Math.max(minUnused, messageClass.dedupWindow());
        }
        for (var it = byLastUse.iterator(); it.hasNext();) {
            Destination destination = it.next();
            if (now - destination.lastUsedAt
                    <= (destinations.size() > MANY_DESTINATIONS ? minUnused
                        : Math.max(MIN_UNUSED_MICROS, minUnused))) {
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
                    double missingTokens = settings.relayCount() > SMALL_FLEET_RELAYS
                        ? MIN_BURST_CALLS - endpoint.limitScope.bucket.tokens : 0;
                    if (missingTokens > 0) {
                        releasedBucketFullAt.merge(destination.id,
                            now + (long) (missingTokens / startRate(endpoint.kind) * SECOND), Math::max);
                    }
                }
                actions.add(new DestinationReleased(destination.id));
            }
        }
    }

    /**
     * True while a destination must not be released: it has messages, calls, a Retry-After or backoff, an
     * outage, a slow start, or endpoints that are off the list and not forgotten.
     */
    private boolean isInUse(Destination destination) {
        boolean inUse = destination.unsettledMessages > 0 || destination.openCalls > 0
            || destination.externalCalls > 0 || destination.removedEndpoints > 0;
        for (EndpointState endpoint : destination.endpoints.values()) {
            inUse |= endpoint.inFlight > 0 || endpoint.unavailableUntil() > now
                || endpoint.health == Health.OUT && now - destination.lastUsedAt < FORGET_AFTER_MICROS
                || endpoint.health == Health.RETURNING
                    && now - endpoint.returnedAt < settings.rules().warmUpTime();
        }
        return inUse;
    }

    // ---- Timers ---------------------------------------------------------------------------------
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

    /** True for the timer of an attempt or message that has ended. */
    private static boolean isObsolete(TimerEntry timer) {
        return timer.subject() instanceof Attempt attempt && attempt.ended
            || timer.kind() == TimerKind.DEADLINE && ((Message) timer.subject()).ended;
    }

    /** Asks the caller for a timer if one is due before the timer that it was asked for last. */
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
