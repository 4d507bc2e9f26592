package wrenkeel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wrenkeel.Relay.*;

/** Watches one relay's events and actions and throws on the first breach of a rule. */
final class RuleChecker {
    /** What is known of one message. */
    static final class TrackedMessage {
        Accepted accepted;
        MessageClass messageClass;
        boolean finished;
        long finishedAt;
        final List<Send> sends = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        final Map<Integer, Outcome> outcomes = new HashMap<>();

        boolean mayHaveRun(int attempt) {
            Outcome outcome = outcomes.get(attempt);
            return outcome == null || !outcome.neverRan();
        }

        boolean anyMayHaveRun() {
            for (int i = 0; i < sends.size(); i++) {
                if (mayHaveRun(i)) {
                    return true;
                }
            }
            return false;
        }

        /** Sends that the relay's own machine did not keep from being made. */
        long countAttemptsMade() {
            return sends.size() - outcomes.values().stream().filter(Outcome::neverMade).count();
        }

        boolean hasOpenAttempts() {
            return outcomes.size() < sends.size();
        }
    }

    final Settings settings;
    final Map<String, TrackedMessage> messages = new LinkedHashMap<>();
    private final Map<String, List<TrackedMessage>> messagesByKey = new HashMap<>();
    private final Map<String, Long> keyPausedUntil = new HashMap<>();
    final Map<Long, Endpoint> endpoints = new HashMap<>();
    private final Map<Long, Long> notReadySince = new HashMap<>();
    private final Map<Long, Long> waitUntil = new HashMap<>();
    /** Endpoints under the return budget: set by a test that declares an outage and its end. */
    final Map<Long, Long> coldSince = new HashMap<>();
    private final Map<Long, ArrayDeque<Long>> recentSends = new HashMap<>();
    int violations;

    RuleChecker(Settings settings) {
        this.settings = settings;
    }

    /** The lane that a wait binds: the destination, or the route where routes are apart. */
    private long limitScope(Endpoint endpoint) {
        return settings.kinds().get(endpoint.kind()).apart() ? endpoint.id() : -1 - endpoint.destination();
    }

    void recordEvent(long now, Event event) {
        if (event instanceof Accepted e) {
            TrackedMessage message = new TrackedMessage();
            message.accepted = e;
            message.messageClass = settings.classes().get(e.messageClass());
            messages.put(e.id(), message);
            if (message.messageClass.inOrder() && e.key() != null) {
                messagesByKey.computeIfAbsent(e.key(), k -> new ArrayList<>()).add(message);
            }
        } else if (event instanceof Ended e) {
            TrackedMessage message = messages.get(e.id());
            message.outcomes.put(e.attempt(), e.outcome());
            if (e.outcome() == Outcome.OK || e.over()) {
                finish(message, now);
            }
            if (e.waitFor() > 0) {
                waitUntil.merge(limitScope(endpoints.get(e.endpoint())), now + e.waitFor(), Math::max);
            }
            boolean rests = e.outcome() == Outcome.TIMEOUT || e.outcome() == Outcome.RESET
                || e.outcome() == Outcome.CANCELLED;
            if (message.accepted.key() != null && message.messageClass.inOrder() && rests) {
                keyPausedUntil.put(message.accepted.key(), now + settings.rules().keyRest());
            }
        } else if (event instanceof Withdrawn e) {
            finish(messages.get(e.id()), now);
        } else if (event instanceof Listed e) {
            e.endpoints().forEach(endpoint -> recordListing(now, endpoint));
            if (e.kind() == ListKind.WHOLE) {
                List<Long> named = e.endpoints().stream().map(Endpoint::id).toList();
                endpoints.keySet().stream().filter(id -> !named.contains(id))
                    .forEach(id -> notReadySince.putIfAbsent(id, now));
            }
        } else if (event instanceof Introduced e) {
            e.endpoints().forEach(endpoint -> recordListing(now, endpoint));
        }
    }

    private void recordListing(long now, Endpoint endpoint) {
        endpoints.put(endpoint.id(), endpoint);
        if (endpoint.listing() == Listing.READY) {
            notReadySince.remove(endpoint.id());
        } else {
            notReadySince.putIfAbsent(endpoint.id(), now);
        }
    }

    /** What rests on a destination may not be forgotten; from here on it must be introduced before a send. */
    private void checkRelease(long now, long destination) {
        require(messages.values().stream().allMatch(message -> message.accepted.destination() != destination
            || message.finished && !message.hasOpenAttempts()), "released with a message that is not over");
        for (Endpoint endpoint : List.copyOf(endpoints.values())) {
            if (endpoint.destination() == destination) {
                require(now >= waitUntil.getOrDefault(limitScope(endpoint), 0L), "released inside a wait");
                Long since = coldSince.get(endpoint.id());
                require(since == null || now - since >= settings.rules().cold(), "released while it warms up");
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

    void checkAction(long now, Action action) {
        if (action instanceof Send a) {
            checkSend(now, a);
        } else if (action instanceof Refuse a) {
            TrackedMessage message = messages.get(a.id());
            require(!message.finished, "1: a second final answer");
            boolean zoneBound = message.messageClass.effect() == Effect.KEYED && message.messageClass.zoneGroup();
            require(message.messageClass.effect() == Effect.SAFE || message.messageClass.effect() == Effect.KEYED && !zoneBound || !message.anyMayHaveRun(),
                "2: refused though it may have run");
            finish(message, now);
        } else if (action instanceof Fail a) {
            TrackedMessage message = messages.get(a.id());
            require(!message.finished, "1: a second final answer");
            finish(message, now);
        } else if (action instanceof Cancel a) {
            require(settings.allowed().cancel(), "cancel is not allowed");
            require(a.attempt() < messages.get(a.id()).sends.size(), "cancel of an attempt never made");
        } else if (action instanceof Released a) {
            checkRelease(now, a.destination());
        }
    }

    private void checkSend(long now, Send send) {
        TrackedMessage message = messages.get(send.id());
        Endpoint to = endpoints.get(send.endpoint());
        require(message != null && !message.finished, "1: sent after its end");
        require(to != null && to.destination() == message.accepted.destination(), "sent to another destination");
        require(message.countAttemptsMade() < settings.classes().get(message.accepted.messageClass()).tries(), "too many attempts");
        require(send.timeout() > 0 && now + send.timeout() <= message.accepted.deadline(), "time-out beyond the deadline");
        Long since = notReadySince.get(send.endpoint());
        require(since == null || now <= since + settings.rules().drainGrace(), "3: sent to a drained endpoint");
        require(now >= waitUntil.getOrDefault(limitScope(to), 0L), "5: sent inside a wait");
        require(settings.allowed().copies() || !message.hasOpenAttempts(), "2: two attempts out together");
        checkEffects(now, message, to);
        checkKeyOrder(now, message);
        checkReturnBudget(now, to);
        message.sends.add(send);
        message.sentAt.add(now);
    }

    private void checkEffects(long now, TrackedMessage message, Endpoint to) {
        for (int i = 0; i < message.sends.size(); i++) {
            if (!message.mayHaveRun(i) || message.messageClass.effect() == Effect.SAFE) {
                continue;
            }
            require(message.messageClass.effect() == Effect.KEYED, "2: an unsafe message sent again");
            require(now < message.sentAt.get(i) + message.messageClass.window(), "2: sent again outside the window");
            Endpoint before = endpoints.get(message.sends.get(i).endpoint());
            require(!message.messageClass.zoneGroup() || before.zone() == to.zone(), "2: sent again outside the group");
        }
    }

    private void checkKeyOrder(long now, TrackedMessage message) {
        if (message.accepted.key() == null || !message.messageClass.inOrder()) {
            return;
        }
        for (TrackedMessage earlier : messagesByKey.get(message.accepted.key())) {
            if (earlier == message) {
                break;
            }
            require(earlier.finished && !earlier.hasOpenAttempts(), "6: sent before an earlier message of its key was over");
        }
        require(!message.sends.isEmpty() || now >= keyPausedUntil.getOrDefault(message.accepted.key(), 0L), "6: sent while the key rests");
    }

    private void checkReturnBudget(long now, Endpoint to) {
        Long since = coldSince.get(to.id());
        if (since == null || now - since >= settings.rules().cold()) {
            return;
        }
        ArrayDeque<Long> recent = recentSends.computeIfAbsent(to.id(), k -> new ArrayDeque<>());
        recent.addLast(now);
        recent.removeIf(time -> time <= now - settings.rules().tipAfter());
        double warmth = settings.rules().coldFrom()
            + (1 - settings.rules().coldFrom()) * Math.min(1.0, (double) Math.max(0, now - since) / settings.rules().cold());
        double limit = settings.rules().fallMultiple() * to.weight() * warmth * settings.rules().tipAfter() / 1e6
            / settings.relays();
        require(recent.size() <= Math.max(1, limit), "4: pushed a returning endpoint, " + recent.size() + " > " + limit);
    }

    /** Every message whose time is up must be over; call at the end of each turn. */
    void checkDeadlines(long now) {
        for (TrackedMessage message : messages.values()) {
            long due = message.accepted.deadline() + settings.rules().answerSlack();
            require(message.finished || now <= due, "1: no final answer in time for " + message.accepted.id());
        }
        messages.values().removeIf(message -> message.finished && !message.hasOpenAttempts() && message.finishedAt + 60_000_000L < now);
    }

    private void require(boolean condition, String violation) {
        if (!condition) {
            violations++;
            throw new AssertionError("rule " + violation);
        }
    }
}
