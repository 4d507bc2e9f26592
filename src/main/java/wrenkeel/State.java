package wrenkeel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * The data that {@link Control} keeps between turns: plain records and containers without decisions. Times
 * and spans are in microseconds of the module's clock. Nothing here is safe for use by several threads.
 */
final class State {
    /** A time before all others, whose distance from any of them can be computed. */
    static final long LONG_AGO = Long.MIN_VALUE / 2;

    private State() { }

    /** What is to happen when a timer is due. */
    enum TimerKind {
        /** A message without a final answer reaches its deadline. */ DEADLINE,
        /** An attempt has reached the copy delay without an answer. */ COPY,
        /** The waiting messages of a destination are considered again. */ RECHECK,
        /** The pause of an ordering key ends. */ ORDERING_KEY,
        /** What is known about an endpoint that is no longer listed is removed. */ FORGET_ENDPOINT
    }

    /**
     * A timer. Timers that are due at the same time run in the order of their sequence numbers.
     *
     * @param subject what the timer is for, of the type that its kind implies
     */
    record TimerEntry(long dueAt, long sequence, TimerKind kind, Object subject)
        implements Comparable<TimerEntry> {
        @Override
        public int compareTo(TimerEntry other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt)
                : Long.compare(sequence, other.sequence);
        }
    }

    /** One message: waiting in a queue, held back behind others of its ordering key, in flight, or ended. */
    static final class Message {
        String id;
        Relay.MessageClass messageClass;
        Destination destination;
        /** Null for a message without an ordering key. */
        OrderingKey orderingKey;
        /** An earlier process has accepted it. */
        boolean recovered;
        /** When its final answer is due. */
        long deadline;
        /** End of its target time: a delivery after this earns less. */
        long aim;
        /** Index into {@link Destination#queues}. */
        int queueIndex;
        /** Copies sent: attempts in parallel to an earlier one. */
        int copiesSent;
        /** Attempts in flight. */
        int openAttempts;
        /** It waits to be sent. */
        boolean queued;
        /** It needs no further attempt: it was delivered, answered, withdrawn or handed over. */
        boolean ended;
        /** The worth halves with every target time that it is late, instead of falling linearly. */
        boolean lateWorthHalves;
        /** It was recovered after a restart and has never been sent. */
        boolean recoveredUntried;
        /** Worth of a delivery within the target time. */
        double fullWorth;
        final List<Attempt> attempts = new ArrayList<>(2);

        /** True when some attempt is in flight or may have taken effect. */
        boolean mayHaveRun() {
            for (Attempt attempt : attempts) {
                if (attempt.mayHaveRun) {
                    return true;
                }
            }
            return false;
        }

        /** Worth of a delivery at the given time, by the message's class and its tenant's quota. */
        double worthAt(long when) {
            if (when <= aim) {
                return fullWorth;
            }
            if (when > deadline) {
                return 0;
            }
            if (lateWorthHalves) {
                return fullWorth * Math.max(messageClass.lateWorth(),
                    Math.pow(0.5, (double) (when - aim) / messageClass.aim()));
            }
            double part = (double) (when - aim) / Math.max(1, deadline - aim);
            return fullWorth * (1 - part * (1 - messageClass.lateWorth()));
        }

        /** Attempts that count towards the maximum of the message's class. */
        int attemptCount() {
            int count = 0;
            for (Attempt attempt : attempts) {
                count += attempt.failedLocally ? 0 : 1;
            }
            return count;
        }

        /** Attempts to one endpoint, including those that failed locally. */
        int attemptCount(EndpointState endpoint) {
            int count = 0;
            for (Attempt attempt : attempts) {
                count += attempt.endpoint == endpoint ? 1 : 0;
            }
            return count;
        }
    }

    /** One attempt to deliver a message. */
    static final class Attempt {
        Message message;
        EndpointState endpoint;
        /** Null for an attempt made before a restart. */
        Call call;
        long sentAt;
        /** How long its connection had been idle; -1 for a new connection. */
        long connectionIdleTime = -1;
        boolean ended;
        boolean cancelled;
        /** It was sent while the endpoint was out. */
        boolean isProbe;
        /** It was sent after one or more refusals in a row. */
        boolean afterRefusal;
        /** It has been in flight for longer than the copy delay. */
        boolean overdue;
        /** True until its outcome proves that it had no effect. */
        boolean mayHaveRun = true;
        /** The relay's own machine failed, and the attempt was never made. */
        boolean failedLocally;
    }

    /** One request to an endpoint. It occupies one slot and carries one or several messages. */
    static final class Call {
        int openAttempts;
        int messageCount;
        /** The latest outcome of one of its messages that has been recorded; null before the first. */
        Relay.Outcome lastOutcome;
    }

    /** The messages that share an ordering key, in order of acceptance. Only the first may be sent. */
    static final class OrderingKey {
        final String name;
        /** No message of the key is sent for the first time before this. */
        long pausedUntil;
        /** The previous process still has earlier messages of the key: none is sent until it has none. */
        boolean heldElsewhere;
        /** In the order in which the relay accepted them. */
        final ArrayDeque<Message> messages = new ArrayDeque<>();

        OrderingKey(String name) {
            this.name = name;
        }

        /**
         * Adds a message. One of an earlier process was accepted before all that this process has accepted
         * itself, and after those of earlier processes that were added before.
         */
        void add(Message message) {
            ArrayDeque<Message> later = new ArrayDeque<>();
            while (message.recovered && !messages.isEmpty() && !messages.peekLast().recovered) {
                later.addFirst(messages.pollLast());
            }
            messages.addLast(message);
            messages.addAll(later);
        }

        /** The previous process has no more messages of the key; none is sent before {@code pauseEnd}. */
        void release(long pauseEnd) {
            heldElsewhere = false;
            pausedUntil = Math.max(pausedUntil, pauseEnd);
        }

        /** True if no earlier message of the key comes before this one, here or in the previous process. */
        boolean isHead(Message message) {
            return messages.peekFirst() == message && (!heldElsewhere || message.recovered);
        }

        /** True if this message may be sent as far as the order is concerned. */
        boolean isTurnOf(Message message, long now) {
            return isHead(message) && (!message.attempts.isEmpty() || pausedUntil <= now);
        }
    }

    /**
     * Messages that wait for the same destination with the same index in {@link Destination#queues}. Messages
     * that are no longer queued stay in it until they come to an end of it, where they are skipped.
     */
    static final class MessageQueue {
        /** Messages that could still be delivered within their target time when last looked at. */
        final ArrayDeque<Message> onTime = new ArrayDeque<>();
        final ArrayDeque<Message> late = new ArrayDeque<>();

        /** The first message that is still queued, or null; removes those before it. */
        static Message firstQueued(ArrayDeque<Message> messages) {
            while (!messages.isEmpty() && !messages.peekFirst().queued) {
                messages.pollFirst();
            }
            return messages.peekFirst();
        }

        /** The last message that is still queued, or null; removes those after it. */
        static Message lastQueued(ArrayDeque<Message> messages) {
            while (!messages.isEmpty() && !messages.peekLast().queued) {
                messages.pollLast();
            }
            return messages.peekLast();
        }

        /** Removes a message that is the first of those on time or the last of the late ones. */
        void remove(Message message) {
            if (onTime.peekFirst() == message) {
                onTime.pollFirst();
            } else if (late.peekLast() == message) {
                late.pollLast();
            }
        }
    }

    /** A token bucket, which is full when first refilled. */
    static final class TokenBucket {
        double tokens = Double.MAX_VALUE;
        private long filledAt;

        /** Adds the tokens of the time since the last call, up to the capacity. */
        void refill(double perSecond, double capacity, long now) {
            tokens = Math.min(capacity, tokens + perSecond * (now - filledAt) / 1e6);
            filledAt = now;
        }

        /** Takes one token if there is one; returns whether there was. */
        boolean tryTake() {
            boolean enough = tokens >= 1;
            tokens -= enough ? 1 : 0;
            return enough;
        }
    }

    /**
     * What a rate limit and a Retry-After apply to: all endpoints of a destination together, or each endpoint
     * where the kind of the destination makes them independent.
     */
    static final class LimitScope {
        final TokenBucket bucket = new TokenBucket();
        /** Calls per second from all relays, as listed or as last reported by an endpoint. */
        double weight;
        /** Calls per second at which the bucket fills. */
        double sendRate;
        /** Send rate of this relay at which the limit was last met; 0 if it has not been met. */
        double limitRate;
        /** End of the wait that an endpoint asked for. */
        long retryAfterUntil;
        long backoffUntil;
        /** The latest time at which a call that it answered was sent. */
        long lastSuccessSentAt = LONG_AGO;
        /** When the limit was last met. */
        long limitMetAt;
        /** All calls. */
        final DecayingRate callRate = new DecayingRate();
        /** Calls that delivered. */
        final DecayingRate deliveryRate = new DecayingRate();
        /** Slow start of the latest outage and the return from it; null before the first outage. */
        SlowStart slowStart;
    }

    /** Points in time, in ascending order. */
    static final class TimestampLog {
        private final ArrayDeque<Long> times = new ArrayDeque<>(2);

        void add(long time) {
            times.addLast(time);
        }

        int size() {
            return times.size();
        }

        /** Removes the given time and all earlier ones. */
        void removeUpTo(long time) {
            while (!times.isEmpty() && times.peekFirst() <= time) {
                times.pollFirst();
            }
        }

        /** The earliest time, from now on, with fewer than {@code limit} entries in the span before it. */
        long earliestWithFewerThan(int limit, long now, long span) {
            removeUpTo(now - span);
            int excess = times.size() - limit;
            return excess < 0 ? now : times.stream().skip(excess).findFirst().orElseThrow() + span;
        }
    }

    /** Counts events with exponential decay. The span is the time after which an event counts 1/e. */
    static final class DecayingRate {
        private double count;
        private long countedAt;
        private long firstEventAt = -1;

        /** Counts an event. */
        void record(long now, long span) {
            count = decayedCount(now, span) + 1;
            countedAt = now;
            firstEventAt = firstEventAt < 0 ? now : firstEventAt;
        }

        /** The number of events, where an event counts less the longer ago it was. */
        double decayedCount(long now, long span) {
            return count * Math.exp((double) (countedAt - now) / span);
        }

        /** Time since the first event; 0 if there was none. */
        long age(long now) {
            return firstEventAt < 0 ? 0 : now - firstEventAt;
        }

        /** Recent events per second; correct also while the first event is less than the span ago. */
        double perSecond(long now, long span) {
            return perSecond(now, span, 1);
        }

        /** The same, as if counting began at least {@code minAge} ago: one or two events make no rate. */
        double perSecond(long now, long span, long minAge) {
            long age = Math.max(minAge, now - firstEventAt);
            return decayedCount(now, span) * 1e6 / (span * -Math.expm1(-(double) age / span));
        }
    }

    /** One endpoint: whether it is listed, its health, and its connections. */
    static final class EndpointState {
        long id;
        int zone;
        int kind;
        Destination destination;
        LimitScope limitScope;
        /** The list calls it ready for calls. */
        boolean ready;
        /** The present or latest outage is confirmed, not only suspected from a single failure. */
        boolean outageConfirmed;
        /** It is included in the number of endpoints that are listed as ready and are out. */
        boolean countedUnavailable;
        /** Its latest failure may belong to an outage, so that a slow start follows the suspicion. */
        boolean outageLikely;
        Relay.Health health = Relay.Health.GOOD;
        /** Attempts in flight. */
        int inFlight;
        int consecutiveFailures;
        /** Probes in flight. */
        int openProbes;
        /** Attempts in flight for longer than the copy delay. */
        int overdueAttempts;
        /** Attempts in a row for which this machine had no socket. */
        int consecutiveSocketFailures;
        /** Moving average of its response time; 0 before the first answer. */
        double latency;
        /** Moving average of the share of its calls that fail. */
        double failureShare;
        long backoffUntil;
        /** When it last answered. */
        long lastSuccessAt;
        /** The latest time at which a call that it answered was sent. */
        long lastSuccessSentAt = LONG_AGO;
        /** When the present or latest outage began. */
        long outSince;
        /** When the latest outage ended, or slow start last began again. */
        long returnedAt;
        /** Earliest time of the next probe while it is out. */
        long nextProbeAt;
        /** For each idle connection, the time at which it became idle; oldest first. */
        final ArrayDeque<Long> idleSince = new ArrayDeque<>(2);
        /** The latest call, which further messages of the same turn may join. */
        Call latestCall;
        /** Number of the turn in which the latest call was made. */
        long latestCallTurn = -1;
        /** When it was removed from the list; -1 while it is listed. */
        long removedAt = -1;

        /** End of the wait that was asked for and of all backoffs. */
        long unavailableUntil() {
            return Math.max(Math.max(backoffUntil, destination.backoffUntil),
                Math.max(limitScope.retryAfterUntil, limitScope.backoffUntil));
        }

        /** True when a connection is left that became idle after the given time; forgets older ones. */
        boolean hasIdleConnection(long since) {
            while (!idleSince.isEmpty() && idleSince.peekFirst() <= since) {
                idleSince.pollFirst();
            }
            return !idleSince.isEmpty();
        }
    }

    /**
     * One destination: its endpoints, waiting messages, congestion window and response times. In a large
     * fleet a relay sends only an occasional single message to most destinations, so containers are allocated
     * when first needed.
     */
    static final class Destination {
        /** A destination is slow when its recent response time is over this multiple of its usual one. */
        private static final double SLOW_LATENCY_FACTOR = 2.5;
        /** Weight of a new answer in the recent response time. */
        private static final double RECENT_LATENCY_WEIGHT = 0.3;
        /** Weight of a new answer in the usual response time. */
        private static final double BASELINE_LATENCY_WEIGHT = 0.03;

        final long id;
        /** Its listed endpoints, by id. */
        final Map<Long, EndpointState> endpoints = new TreeMap<>();
        /** Recovered messages that were never sent, earliest deadline first; null before the first. */
        private PriorityQueue<Message> recoveredMessages;
        /**
         * Three queues for each class: messages within their tenant's quota, messages beyond it, and messages
         * with {@link Relay.Effect#KEYED} that may have run. An element is null until a message waits in it.
         */
        MessageQueue[] queues;
        final LatencySamples latencies;
        /** The limit scope of all its endpoints; null where endpoints are independent. */
        LimitScope sharedScope;
        /** Messages that are accepted for it. */
        private final DecayingRate acceptedRate = new DecayingRate();
        /** Messages per second that are accepted for it, as of the latest one. */
        double acceptedPerSecond;
        /** Calls that may be in flight to it, apart from the limit on its share of the slots. */
        double congestionWindow = 1;
        /** Budget for copies: each copy takes 1, each other send adds a part. */
        double copyTokens = 1;
        /** Moving average of its response time that follows the latest answers; 0 before the first. */
        double recentLatency;
        /** Moving average of its usual response time, which follows slowly; 0 before the first. */
        double baselineLatency;
        int kind = -1;
        /** Calls in flight from this process. */
        int openCalls;
        /** Calls that the previous process still has in flight. */
        int externalCalls;
        int waitingMessages;
        /** Attempts in flight for longer than the copy delay. */
        int overdueAttempts;
        /** Refusals since the latest success; those of calls sent before the previous refusal count once. */
        int consecutiveRefusals;
        /** Messages that have not ended or have attempts in flight. */
        int unsettledMessages;
        /** Endpoints that are no longer listed and not yet forgotten. */
        int removedEndpoints;
        /** When its waiting messages are next considered, if nothing else happens before. */
        long recheckAt;
        long lastRefusalAt;
        long backoffUntil;
        long lastUsedAt;

        Destination(long id, int queueCount, int sampleCapacity) {
            this.id = id;
            this.queues = new MessageQueue[queueCount];
            this.latencies = new LatencySamples(sampleCapacity);
        }

        /** Queues a recovered message that was never sent. */
        void addRecovered(Message message) {
            if (recoveredMessages == null) {
                recoveredMessages = new PriorityQueue<>(Comparator.comparingLong(other -> other.deadline));
            }
            recoveredMessages.add(message);
        }

        /** The recovered message with the earliest deadline that still waits unsent; null if none. */
        Message firstRecovered() {
            if (recoveredMessages == null) {
                return null;
            }
            while (!recoveredMessages.isEmpty()
                    && !(recoveredMessages.peek().queued && recoveredMessages.peek().recoveredUntried)) {
                recoveredMessages.poll();
            }
            return recoveredMessages.peek();
        }

        /** True when an endpoint is neither out nor in slow start. */
        boolean hasHealthyEndpoint() {
            return endpoints.values().stream().anyMatch(endpoint -> endpoint.health == Relay.Health.GOOD);
        }

        /** Number of endpoints in the scope that are out or in slow start. */
        long unhealthyEndpoints(LimitScope scope) {
            return endpoints.values().stream()
                .filter(endpoint -> endpoint.limitScope == scope && endpoint.health != Relay.Health.GOOD)
                .count();
        }

        /** Records the response time of an answered call to one of its endpoints. */
        void recordLatency(EndpointState endpoint, long latency) {
            latencies.add(latency);
            endpoint.latency = endpoint.latency == 0 ? latency
                : endpoint.latency + RECENT_LATENCY_WEIGHT * (latency - endpoint.latency);
            recentLatency = recentLatency == 0 ? latency
                : recentLatency + RECENT_LATENCY_WEIGHT * (latency - recentLatency);
            double sample = baselineLatency == 0 ? latency
                : Math.min(latency, SLOW_LATENCY_FACTOR * baselineLatency);
            double weight = latencies.count < 2 * LatencySamples.MIN_SAMPLES ? RECENT_LATENCY_WEIGHT
                : BASELINE_LATENCY_WEIGHT;
            baselineLatency = baselineLatency == 0 ? latency
                : baselineLatency + weight * (sample - baselineLatency);
        }

        /** True while its recent response time is far above its usual one. */
        boolean isSlow() {
            return baselineLatency > 0 && recentLatency > SLOW_LATENCY_FACTOR * baselineLatency;
        }

        /** Makes room for the queues of further classes. */
        void growQueues(int queueCount) {
            queues = Arrays.copyOf(queues, queueCount);
        }

        /** The queue at an index of {@link #queues}, created when first needed. */
        MessageQueue queue(int index) {
            queues[index] = queues[index] == null ? new MessageQueue() : queues[index];
            return queues[index];
        }

        /** Counts an accepted message into the rate; see {@link DecayingRate#perSecond(long, long, long)}. */
        void recordAccepted(long now, long span, long minAge) {
            acceptedRate.record(now, span);
            acceptedPerSecond = acceptedRate.perSecond(now, span, minAge);
        }
    }

    /** The most recent response times, in a ring buffer. */
    static final class LatencySamples {
        /** Samples that must be known before a percentile is used. */
        static final int MIN_SAMPLES = 8;
        private static final int INITIAL_CAPACITY = 4;
        private final int capacity;
        /** Grows up to the capacity. */
        private long[] ring = {};
        /** The samples in ascending order; null when it has to be computed again. */
        private long[] sorted = {};
        /** Samples added so far, including overwritten ones. */
        int count;

        LatencySamples(int capacity) {
            this.capacity = capacity;
        }

        /** Adds a sample and overwrites the oldest one when full. */
        void add(long latency) {
            if (count == ring.length && count < capacity) {
                ring = Arrays.copyOf(ring, Math.min(capacity, Math.max(INITIAL_CAPACITY, 2 * count)));
            }
            ring[count++ % capacity] = latency;
            sorted = null;
        }

        /** True when there are enough samples for a percentile. */
        boolean isSufficient() {
            return count >= MIN_SAMPLES;
        }

        /** The response time that the given share, 0 to 1, of the samples is below. Needs a sample. */
        long percentile(double share) {
            if (sorted == null) {
                sorted = Arrays.copyOf(ring, Math.min(count, ring.length));
                Arrays.sort(sorted);
            }
            return sorted[(int) Math.min(sorted.length - 1, Math.ceil(share * sorted.length))];
        }
    }
}
