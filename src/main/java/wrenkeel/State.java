package wrenkeel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/** What {@link Control} remembers: plain records of fact and containers. Nothing here decides. */
final class State {
    private State() { }

    /** What an entry of the agenda is for. */
    enum TimerKind { DEADLINE, COPY, RECHECK, ORDERING_KEY, FORGET_ENDPOINT }

    /** Something due at a time; entries of one time keep their order. */
    record TimerEntry(long dueAt, long sequence, TimerKind kind, Object subject) implements Comparable<TimerEntry> {
        @Override
        public int compareTo(TimerEntry other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }
    }

    /** One message: waiting in a band, parked behind its key, in flight, or ended. */
    static final class Message {
        String id;
        Relay.MessageClass messageClass;
        Destination destination;
        OrderingKey orderingKey;
        long deadline, aim;
        int queueIndex, copiesSent, openAttempts;
        /** {@code recoveredUntried}: taken up after a restart and not tried since it was taken on. */
        boolean queued, ended, lateWorthHalves, recoveredUntried;
        double fullWorth;
        final List<Attempt> attempts = new ArrayList<>(2);

        /** True when some attempt is out or may have taken effect. */
        boolean mayHaveRun() {
            for (Attempt attempt : attempts) {
                if (attempt.mayHaveRun) {
                    return true;
                }
            }
            return false;
        }

        /** Worth of delivering at a time, as the settings of its class and the tenant's share have it. */
        double worthAt(long when) {
            if (when <= aim) {
                return fullWorth;
            }
            if (when > deadline) {
                return 0;
            }
            if (lateWorthHalves) {
                return fullWorth * Math.max(messageClass.lateWorth(), Math.pow(0.5, (double) (when - aim) / messageClass.aim()));
            }
            double part = (double) (when - aim) / Math.max(1, deadline - aim);
            return fullWorth * (1 - part * (1 - messageClass.lateWorth()));
        }

        /** Attempts that count against those it has. */
        int attemptCount() {
            int n = 0;
            for (Attempt attempt : attempts) {
                n += attempt.failedLocally ? 0 : 1;
            }
            return n;
        }

        int attemptCount(EndpointState endpoint) {
            int n = 0;
            for (Attempt attempt : attempts) {
                n += attempt.endpoint == endpoint ? 1 : 0;
            }
            return n;
        }
    }

    /** One send of a message. {@code mayHaveRun} holds until its outcome proves otherwise. */
    static final class Attempt {
        Message message;
        EndpointState endpoint;
        Call call;
        /** {@code connectionIdleTime}: how long its connection had been idle; -1 for a new one. */
        long sentAt, connectionIdleTime = -1;
        boolean ended, cancelled, isProbe, afterRefusal, overdue, mayHaveRun = true;
        /** The relay's own machine failed: it was never made. */
        boolean failedLocally;
    }

    /** What holds one slot: one message, or a bundle. */
    static final class Call {
        int openAttempts, messageCount;
        /** The latest outcome that was learned from it. */
        Relay.Outcome lastOutcome;
    }

    /** Messages that share a key, in the order in which they were taken. */
    static final class OrderingKey {
        String name;
        long pausedUntil;
        final ArrayDeque<Message> messages = new ArrayDeque<>();
    }

    /** Waiting messages of one sort: inside their aim, and past it; ones no longer queued are skipped. */
    static final class MessageQueue {
        final ArrayDeque<Message> onTime = new ArrayDeque<>(), late = new ArrayDeque<>();

        static Message firstQueued(ArrayDeque<Message> messages) {
            while (!messages.isEmpty() && !messages.peekFirst().queued) {
                messages.pollFirst();
            }
            return messages.peekFirst();
        }

        static Message lastQueued(ArrayDeque<Message> messages) {
            while (!messages.isEmpty() && !messages.peekLast().queued) {
                messages.pollLast();
            }
            return messages.peekLast();
        }

        /** Takes out a message that stands at the head of the fresh or the tail of the late. */
        void remove(Message message) {
            if (onTime.peekFirst() == message) {
                onTime.pollFirst();
            } else if (late.peekLast() == message) {
                late.pollLast();
            }
        }
    }

    /** A token bucket, full at its first use. */
    static final class TokenBucket {
        double tokens = Double.MAX_VALUE;
        private long filledAt;

        void refill(double perSecond, double capacity, long now) {
            tokens = Math.min(capacity, tokens + perSecond * (now - filledAt) / 1e6);
            filledAt = now;
        }

        boolean tryTake() {
            boolean enough = tokens >= 1;
            tokens -= enough ? 1 : 0;
            return enough;
        }
    }

    /** What a limit and a wait belong to: a destination, or one route where routes are apart. */
    static final class LimitScope {
        final TokenBucket bucket = new TokenBucket();
        /** {@code limitRate}: the pace at which the limit was last met, at {@code limitMetAt}. */
        double weight, sendRate, limitRate;
        long retryAfterUntil, backoffUntil, limitMetAt;
        /** Its calls, and those of them that delivered. */
        final DecayingRate callRate = new DecayingRate(), deliveryRate = new DecayingRate();
        /** Of its latest outage and the return from it; null before the first. */
        SlowStart slowStart;
    }

    /** Points in time, in order. */
    static final class TimestampLog {
        private final ArrayDeque<Long> times = new ArrayDeque<>(2);

        void add(long time) {
            times.addLast(time);
        }

        int size() {
            return times.size();
        }

        void removeUpTo(long time) {
            while (!times.isEmpty() && times.peekFirst() <= time) {
                times.pollFirst();
            }
        }

        /** The earliest time, from now on, at which fewer than so many lie within the span up to it. */
        long earliestWithFewerThan(int limit, long now, long span) {
            removeUpTo(now - span);
            int excess = times.size() - limit;
            return excess < 0 ? now : times.stream().skip(excess).findFirst().orElseThrow() + span;
        }
    }

    /** Counts what happens over an exponential span. */
    static final class DecayingRate {
        private double count;
        private long countedAt, firstEventAt = -1;

        void record(long now, long span) {
            count = decayedCount(now, span) + 1;
            countedAt = now;
            firstEventAt = firstEventAt < 0 ? now : firstEventAt;
        }

        /** How many of late: each counts the less, the longer ago it was. */
        double decayedCount(long now, long span) {
            return count * Math.exp((double) (countedAt - now) / span);
        }

        /** How long ago the first was counted; 0 before that. */
        long age(long now) {
            return firstEventAt < 0 ? 0 : now - firstEventAt;
        }

        /** How many a second of late; the span may be longer than it has counted. */
        double perSecond(long now, long span) {
            return perSecond(now, span, 1);
        }

        /** The same, taken to have counted for some time at least: a first one or two make no rate. */
        double perSecond(long now, long span, long minAge) {
            long age = Math.max(minAge, now - firstEventAt);
            return decayedCount(now, span) * 1e6 / (span * -Math.expm1(-(double) age / span));
        }
    }

    /** One endpoint: its standing, health and connections. */
    static final class EndpointState {
        long id;
        int zone, kind;
        Destination destination;
        LimitScope limitScope;
        /** {@code countedUnavailable}: counted among those that the list calls ready and that are out. */
        /** {@code lastFailureTimedOut}: its latest failure was a time-out. */
        boolean ready, outageConfirmed, countedUnavailable, lastFailureTimedOut;
        Relay.Health health = Relay.Health.GOOD;
        int inFlight, consecutiveFailures, openProbes, overdueAttempts;
        /** Attempts in a row for which this machine had no socket. */
        int consecutiveSocketFailures;
        double latency, failureShare;
        /** {@code lastProbeAt}: when the latest call went out while it was out. */
        long backoffUntil, lastSuccessAt, lastSuccessSentAt = -1, outSince, returnedAt, lastProbeAt;
        final ArrayDeque<Long> idleSince = new ArrayDeque<>(2);
        Call latestCall;
        /** {@code removedAt}: -1 while it is not off the list. */
        long latestCallTurn = -1, removedAt = -1;

        /** When the told wait and the back-offs are over. */
        long unavailableUntil() {
            return Math.max(Math.max(backoffUntil, destination.backoffUntil),
                Math.max(limitScope.retryAfterUntil, limitScope.backoffUntil));
        }

        /** True when a connection idle since no earlier than that is left. */
        boolean hasIdleConnection(long since) {
            while (!idleSince.isEmpty() && idleSince.peekFirst() <= since) {
                idleSince.pollFirst();
            }
            return !idleSince.isEmpty();
        }
    }

    /**
     * One destination: its routes, waiting messages, window and answers. A fleet's relay meets most of them
     * now and then with one message, so what holds many is made as it is first needed.
     */
    static final class Destination {
        final long id;
        final Map<Long, EndpointState> endpoints = new TreeMap<>();
        /** Messages taken up untried, the one whose time is up first ahead; null before the first. */
        private PriorityQueue<Message> recoveredMessages;
        /** Null where no message of that sort has waited yet. */
        MessageQueue[] queues;
        final LatencySamples latencies;
        LimitScope sharedScope;
        /** Messages that come in for it. */
        private final DecayingRate acceptedRate = new DecayingRate();
        /** Messages a second that come in for it, when the last one came. */
        double acceptedPerSecond;
        double congestionWindow = 1, copyTokens = 1, recentLatency, baselineLatency;
        /** {@code externalCalls}: calls that the process before this one still has out. */
        int kind = -1, openCalls, externalCalls, waitingMessages, overdueAttempts, consecutiveRefusals;
        /** Messages that are not settled, and routes that are off the list and not forgotten. */
        int unsettledMessages, removedEndpoints;
        long recheckAt, lastRefusalAt, backoffUntil, lastUsedAt;

        Destination(long id, int queueCount, int sampleCapacity) {
            this.id = id;
            this.queues = new MessageQueue[queueCount];
            this.latencies = new LatencySamples(sampleCapacity);
        }

        void addRecovered(Message message) {
            if (recoveredMessages == null) {
                recoveredMessages = new PriorityQueue<>(Comparator.comparingLong(other -> other.deadline));
            }
            recoveredMessages.add(message);
        }

        /** The first of those taken up untried that still waits; null when there is none. */
        Message firstRecovered() {
            if (recoveredMessages == null) {
                return null;
            }
            while (!recoveredMessages.isEmpty() && !(recoveredMessages.peek().queued && recoveredMessages.peek().recoveredUntried)) {
                recoveredMessages.poll();
            }
            return recoveredMessages.peek();
        }

        /** True when a route answers and is not in slow start. */
        boolean hasHealthyEndpoint() {
            return endpoints.values().stream().anyMatch(endpoint -> endpoint.health == Relay.Health.GOOD);
        }

        /** Routes of a lane that are out or returning. */
        long unhealthyEndpoints(LimitScope scope) {
            return endpoints.values().stream()
                .filter(endpoint -> endpoint.limitScope == scope && endpoint.health != Relay.Health.GOOD).count();
        }

        /** Makes room for the bands of further classes. */
        void growQueues(int queueCount) {
            queues = Arrays.copyOf(queues, queueCount);
        }

        MessageQueue queue(int index) {
            queues[index] = queues[index] == null ? new MessageQueue() : queues[index];
            return queues[index];
        }

        /** Counts a message into the rate over an exponential span; {@code age}: counted how long. */
        void recordAccepted(long now, long span, long minAge) {
            acceptedRate.record(now, span);
            acceptedPerSecond = acceptedRate.perSecond(now, span, minAge);
        }
    }

    /** The times of the most recent answers. */
    static final class LatencySamples {
        private static final int INITIAL_CAPACITY = 4;
        private final int capacity;
        /** Grows up to the size. */
        private long[] ring = {};
        private long[] sorted = {};
        int count;

        LatencySamples(int capacity) {
            this.capacity = capacity;
        }

        void add(long latency) {
            if (count == ring.length && count < capacity) {
                ring = Arrays.copyOf(ring, Math.min(capacity, Math.max(INITIAL_CAPACITY, 2 * count)));
            }
            ring[count++ % capacity] = latency;
            sorted = null;
        }

        /** The time above this share of the answers held. */
        long percentile(double share) {
            if (sorted == null) {
                sorted = Arrays.copyOf(ring, Math.min(count, ring.length));
                Arrays.sort(sorted);
            }
            return sorted[(int) Math.min(sorted.length - 1, Math.ceil(share * sorted.length))];
        }
    }
}
