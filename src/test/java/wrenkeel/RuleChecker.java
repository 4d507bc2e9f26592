package wrenkeel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wrenkeel.Relay.*;

/**
 * Receives all events and actions of one relay's {@link Control} and throws an {@link AssertionError} on the
 * first violation of a rule. Times are microseconds of the relay's clock. One thread.
 *
 * <p>The text of the error begins with "rule" and one of these numbers, or the subject of a rule without a
 * number:
 * <ol>
 * <li>Each message gets exactly one final answer, in time, and nothing is sent for it afterwards.
 * <li>A message takes effect at most once, unless it is safe to repeat.
 * <li>Nothing is sent to an endpoint that is draining or off the list, after a short grace period.
 * <li>An endpoint that has just returned from an outage gets no more calls than this relay's share of its
 *     budget.
 * <li>Nothing is sent to a destination or endpoint before the wait that it asked for is over.
 * <li>Messages that share a key are sent one at a time and in order, with a pause after an attempt of unknown
 *     outcome.
 * </ol>
 */
final class RuleChecker {
    /** One message and all its attempts. */
    static final class TrackedMessage {
        MessageAccepted accepted;
        MessageClass messageClass;
        /** True once the message has a final answer, was delivered or was withdrawn. */
        boolean finished;
        long finishedAt;
        /** The send of each attempt, by the attempt's number. */
        final List<Send> sends = new ArrayList<>();
        /** The time of each send. */
        final List<Long> sentAt = new ArrayList<>();
        /** The outcomes of the attempts that have ended, by the attempt's number. */
        final Map<Integer, Outcome> outcomes = new HashMap<>();

        /** True unless the outcome of the attempt of this number proves that it had no effect. */
        boolean mayHaveRun(int attempt) {
            Outcome outcome = outcomes.get(attempt);
            return outcome == null || !outcome.provesNotExecuted();
        }

        /** True if any attempt may have had an effect. */
        boolean anyMayHaveRun() {
            for (int i = 0; i < sends.size(); i++) {
                if (mayHaveRun(i)) {
                    return true;
                }
            }
            return false;
        }

        /** The number of sends without those that the relay's own machine could not carry out. */
        long countAttemptsMade() {
            return sends.size() - outcomes.values().stream().filter(Outcome::isLocalFailure).count();
        }

        /** True while an attempt is in flight. */
        boolean hasOpenAttempts() {
            return outcomes.size() < sends.size();
        }
    }

    final Settings settings;
    /** Messages by id; finished ones are dropped a minute after their end. */
    final Map<String, TrackedMessage> messages = new LinkedHashMap<>();
    /** Messages that are sent in order, by key, in the order of acceptance. */
    private final Map<String, List<TrackedMessage>> messagesByKey = new HashMap<>();
    /** When the pause of a key is over that follows an attempt of unknown outcome. */
    private final Map<String, Long> keyPausedUntil = new HashMap<>();
    /** Keys of which the previous process has messages. */
    private Set<String> keysElsewhere = Set.of();
    /** Endpoints by id, as listed last. */
    final Map<Long, Endpoint> endpoints = new HashMap<>();
    /** By endpoint: since when it has been draining or off the list. */
    private final Map<Long, Long> notReadySince = new HashMap<>();
    /** By {@linkplain #limitScope scope}: when the wait is over that an endpoint asked for. */
    private final Map<Long, Long> waitUntil = new HashMap<>();
    /** By endpoint: when its outage ended. Set by a test that checks the budget of rule 4. */
    final Map<Long, Long> coldSince = new HashMap<>();
    /** By endpoint that is held to its budget: the times of recent sends. */
    private final Map<Long, ArrayDeque<Long>> recentSends = new HashMap<>();
    /** Number of violations so far. */
    int violations;

    RuleChecker(Settings settings) {
        this.settings = settings;
    }

    /**
     * The scope of an endpoint's limits and waits: its destination, or the endpoint alone where the kind says
     * that endpoints are apart. Destinations are mapped to negative numbers to keep them distinct from
     * endpoints.
     */
    private long limitScope(Endpoint endpoint) {
        return settings.kinds().get(endpoint.kind()).independentEndpoints() ? endpoint.id() : -1 - endpoint.destination();
    }

    /** Records an event; to be called before the module receives it. */
    void recordEvent(long now, Event event) {
        if (event instanceof MessageAccepted e) {
            TrackedMessage message = new TrackedMessage();
            message.accepted = e;
            message.messageClass = settings.classes().get(e.messageClass());
            messages.put(e.id(), message);
            if (message.messageClass.inOrder() && e.orderingKey() != null) {
                insertByKey(messagesByKey.computeIfAbsent(e.orderingKey(), k -> new ArrayList<>()), message);
            }
        } else if (event instanceof AttemptEnded e) {
            TrackedMessage message = messages.get(e.id());
            message.outcomes.put(e.attempt(), e.outcome());
            if (e.outcome() == Outcome.OK || e.messageOver()) {
                finish(message, now);
            }
            if (e.retryAfter() > 0) {
                waitUntil.merge(limitScope(endpoints.get(e.endpoint())), now + e.retryAfter(), Math::max);
            }
            boolean unknownOutcome = e.outcome() == Outcome.TIMEOUT || e.outcome() == Outcome.RESET
                || e.outcome() == Outcome.CANCELLED;
            if (message.accepted.orderingKey() != null && message.messageClass.inOrder() && unknownOutcome) {
                keyPausedUntil.put(message.accepted.orderingKey(), now + settings.rules().keyPause());
            }
        } else if (event instanceof ExternalOrderingKeys e) {
            keysElsewhere = e.orderingKeys();
        } else if (event instanceof MessageWithdrawn e) {
            finish(messages.get(e.id()), now);
        } else if (event instanceof ListUpdated e) {
            e.endpoints().forEach(endpoint -> recordListing(now, endpoint));
            if (e.kind() == ListKind.WHOLE) {
                List<Long> named = e.endpoints().stream().map(Endpoint::id).toList();
                endpoints.keySet().stream().filter(id -> !named.contains(id))
                    .forEach(id -> notReadySince.putIfAbsent(id, now));
            }
        } else if (event instanceof DestinationIntroduced e) {
            e.endpoints().forEach(endpoint -> recordListing(now, endpoint));
        }
    }

    /** Records how discovery lists an endpoint, and since when it has been draining or off the list. */
    private void recordListing(long now, Endpoint endpoint) {
        endpoints.put(endpoint.id(), endpoint);
        if (endpoint.listing() == Listing.READY) {
            notReadySince.remove(endpoint.id());
        } else {
            notReadySince.putIfAbsent(endpoint.id(), now);
        }
    }

    /**
     * A destination may be released only without unfinished messages, waits and warm-ups. From then on its
     * endpoints are unknown, and it has to be introduced again before a send.
     */
    private void checkRelease(long now, long destination) {
        require(messages.values().stream().allMatch(message -> message.accepted.destination() != destination
            || message.finished && !message.hasOpenAttempts()),
            "on releases: destination released with an unfinished message");
        for (Endpoint endpoint : List.copyOf(endpoints.values())) {
            if (endpoint.destination() == destination) {
                require(now >= waitUntil.getOrDefault(limitScope(endpoint), 0L),
                    "on releases: destination released before the end of a wait");
                Long since = coldSince.get(endpoint.id());
                require(since == null || now - since >= settings.rules().warmUpTime(),
                    "on releases: destination released during its warm-up");
                endpoints.remove(endpoint.id());
            }
        }
    }

    private static void finish(TrackedMessage message, long now) {
        if (!message.finished) {
            message.finished = true;
            message.finishedAt = now;
        }
    }

    /**
     * Checks an action.
     *
     * @throws AssertionError if the action violates a rule
     */
    void checkAction(long now, Action action) {
        if (action instanceof Send a) {
            checkSend(now, a);
        } else if (action instanceof Refuse a) {
            TrackedMessage message = messages.get(a.id());
            require(!message.finished, "1: second final answer (refused)");
            boolean zoneBound = message.messageClass.effect() == Effect.KEYED
                && message.messageClass.dedupPerZone();
            require(message.messageClass.effect() == Effect.SAFE
                || message.messageClass.effect() == Effect.KEYED && !zoneBound || !message.anyMayHaveRun(),
                "2: refused, which invites a retry, though an attempt may have run");
            finish(message, now);
        } else if (action instanceof Fail a) {
            TrackedMessage message = messages.get(a.id());
            require(!message.finished, "1: second final answer (failed)");
            finish(message, now);
        } else if (action instanceof CancelAttempt a) {
            require(settings.limits().cancelAllowed(), "on cancels: the settings do not allow cancels");
            require(a.attempt() < messages.get(a.id()).sends.size(),
                "on cancels: cancelled an attempt that was never sent");
        } else if (action instanceof DestinationReleased a) {
            checkRelease(now, a.destination());
        }
    }

    private void checkSend(long now, Send send) {
        TrackedMessage message = messages.get(send.id());
        Endpoint to = endpoints.get(send.endpoint());
        require(message != null && !message.finished, "1: sent an unknown or finished message");
        require(to != null && to.destination() == message.accepted.destination(),
            "on destinations: sent to an unknown endpoint or another destination");
        require(message.countAttemptsMade() < settings.classes().get(message.accepted.messageClass()).maxAttempts(),
            "on attempts: more attempts than the message class allows");
        require(send.timeout() > 0 && now + send.timeout() <= message.accepted.deadline(),
            "on timeouts: attempt timeout not positive or past the deadline");
        Long since = notReadySince.get(send.endpoint());
        require(since == null || now <= since + settings.rules().drainGrace(),
            "3: sent to an endpoint that is draining or off the list");
        require(now >= waitUntil.getOrDefault(limitScope(to), 0L), "5: sent before the end of a wait");
        require(settings.limits().copiesAllowed() || !message.hasOpenAttempts(),
            "2: two attempts in flight though the settings allow no copies");
        checkEffects(now, message, to);
        checkKeyOrder(now, message);
        checkReturnBudget(now, to);
        message.sends.add(send);
        message.sentAt.add(now);
    }

    /** Checks that a send cannot repeat an effect, where an earlier attempt may have run (rule 2). */
    private void checkEffects(long now, TrackedMessage message, Endpoint to) {
        for (int i = 0; i < message.sends.size(); i++) {
            if (!message.mayHaveRun(i) || message.messageClass.effect() == Effect.SAFE) {
                continue;
            }
            require(message.messageClass.effect() == Effect.KEYED,
                "2: resent an unsafe message that may have run");
            require(now < message.sentAt.get(i) + message.messageClass.dedupWindow(),
                "2: resent a keyed message after its deduplication window");
            Endpoint before = endpoints.get(message.sends.get(i).endpoint());
            require(!message.messageClass.dedupPerZone() || before.zone() == to.zone(),
                "2: resent a keyed message to a zone that does not know its earlier attempt");
        }
    }

    /**
     * Adds a message to those of its key. One of an earlier process was accepted before those that this
     * process has accepted itself.
     */
    private static void insertByKey(List<TrackedMessage> sameKey, TrackedMessage message) {
        int index = sameKey.size();
        while (message.accepted.recovered() && index > 0 && !sameKey.get(index - 1).accepted.recovered()) {
            index--;
        }
        sameKey.add(index, message);
    }

    /** Checks the order of messages that share a key (rule 6). */
    private void checkKeyOrder(long now, TrackedMessage message) {
        if (message.accepted.orderingKey() == null || !message.messageClass.inOrder()) {
            return;
        }
        require(!keysElsewhere.contains(message.accepted.orderingKey()) || message.accepted.recovered(),
            "6: sent while the previous process has earlier messages of its key");
        for (TrackedMessage earlier : messagesByKey.get(message.accepted.orderingKey())) {
            if (earlier == message) {
                break;
            }
            require(earlier.finished && !earlier.hasOpenAttempts(),
                "6: sent before an earlier message of its key had ended");
        }
        require(!message.sends.isEmpty() || now >= keyPausedUntil.getOrDefault(message.accepted.orderingKey(), 0L),
            "6: sent during the pause of its key");
    }

    /**
     * Checks that a cold endpoint gets at most this relay's even share of the calls it bears in a window
     * (rule 4).
     */
    private void checkReturnBudget(long now, Endpoint to) {
        Long since = coldSince.get(to.id());
        if (since == null || now - since >= settings.rules().warmUpTime()) {
            return;
        }
        ArrayDeque<Long> recent = recentSends.computeIfAbsent(to.id(), k -> new ArrayDeque<>());
        recent.addLast(now);
        recent.removeIf(time -> time <= now - settings.rules().overloadWindow());
        double warmth = settings.rules().coldCapacity()
            + (1 - settings.rules().coldCapacity())
            * Math.min(1.0, (double) Math.max(0, now - since) / settings.rules().warmUpTime());
        double limit = settings.rules().overloadFactor() * to.weight() * warmth
            * settings.rules().overloadWindow() / 1e6
            / settings.relayCount();
        require(recent.size() <= Math.max(1, limit),
            "4: too many calls to a returning endpoint, " + recent.size() + " > " + limit);
    }

    /**
     * Checks that every message past its deadline has ended; to be called at the end of each turn.
     *
     * @throws AssertionError if one has not
     */
    void checkDeadlines(long now) {
        for (TrackedMessage message : messages.values()) {
            long due = message.accepted.deadline() + settings.rules().answerSlack();
            require(message.finished || now <= due,
                "1: no final answer by the deadline for " + message.accepted.id());
        }
        messages.values().removeIf(message -> message.finished && !message.hasOpenAttempts()
            && message.finishedAt + 60_000_000L < now);
    }

    private void require(boolean condition, String violation) {
        if (!condition) {
            violations++;
            throw new AssertionError("rule " + violation);
        }
    }
}
