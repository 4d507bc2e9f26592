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
            Outcome o = outcomes.get(attempt);
            return o == null || !o.neverRan();
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

    RuleChecker(Settings set) {
        this.settings = set;
    }

    /** The lane that a wait binds: the destination, or the route where routes are apart. */
    private long limitScope(Endpoint e) {
        return settings.kinds().get(e.kind()).apart() ? e.id() : -1 - e.destination();
    }

    void recordEvent(long now, Event event) {
        if (event instanceof Accepted e) {
            TrackedMessage s = new TrackedMessage();
            s.accepted = e;
            s.messageClass = settings.classes().get(e.messageClass());
            messages.put(e.id(), s);
            if (s.messageClass.inOrder() && e.key() != null) {
                messagesByKey.computeIfAbsent(e.key(), k -> new ArrayList<>()).add(s);
            }
        } else if (event instanceof Ended e) {
            TrackedMessage s = messages.get(e.id());
            s.outcomes.put(e.attempt(), e.outcome());
            if (e.outcome() == Outcome.OK || e.over()) {
                finish(s, now);
            }
            if (e.waitFor() > 0) {
                waitUntil.merge(limitScope(endpoints.get(e.endpoint())), now + e.waitFor(), Math::max);
            }
            boolean rests = e.outcome() == Outcome.TIMEOUT || e.outcome() == Outcome.RESET
                || e.outcome() == Outcome.CANCELLED;
            if (s.accepted.key() != null && s.messageClass.inOrder() && rests) {
                keyPausedUntil.put(s.accepted.key(), now + settings.rules().keyRest());
            }
        } else if (event instanceof Withdrawn e) {
            finish(messages.get(e.id()), now);
        } else if (event instanceof Listed e) {
            e.endpoints().forEach(p -> recordListing(now, p));
            if (e.kind() == ListKind.WHOLE) {
                List<Long> named = e.endpoints().stream().map(Endpoint::id).toList();
                endpoints.keySet().stream().filter(id -> !named.contains(id))
                    .forEach(id -> notReadySince.putIfAbsent(id, now));
            }
        } else if (event instanceof Introduced e) {
            e.endpoints().forEach(p -> recordListing(now, p));
        }
    }

    private void recordListing(long now, Endpoint p) {
        endpoints.put(p.id(), p);
        if (p.listing() == Listing.READY) {
            notReadySince.remove(p.id());
        } else {
            notReadySince.putIfAbsent(p.id(), now);
        }
    }

    /** What rests on a destination may not be forgotten; from here on it must be introduced before a send. */
    private void checkRelease(long now, long destination) {
        require(messages.values().stream().allMatch(s -> s.accepted.destination() != destination
            || s.finished && !s.hasOpenAttempts()), "released with a message that is not over");
        for (Endpoint e : List.copyOf(endpoints.values())) {
            if (e.destination() == destination) {
                require(now >= waitUntil.getOrDefault(limitScope(e), 0L), "released inside a wait");
                Long cold = coldSince.get(e.id());
                require(cold == null || now - cold >= settings.rules().cold(), "released while it warms up");
                endpoints.remove(e.id());
            }
        }
    }

    private static void finish(TrackedMessage s, long now) {
        if (!s.finished) {
            s.finished = true;
            s.finishedAt = now;
        }
    }

    void checkAction(long now, Action action) {
        if (action instanceof Send a) {
            checkSend(now, a);
        } else if (action instanceof Refuse a) {
            TrackedMessage s = messages.get(a.id());
            require(!s.finished, "1: a second final answer");
            boolean zoneBound = s.messageClass.effect() == Effect.KEYED && s.messageClass.zoneGroup();
            require(s.messageClass.effect() == Effect.SAFE || s.messageClass.effect() == Effect.KEYED && !zoneBound || !s.anyMayHaveRun(),
                "2: refused though it may have run");
            finish(s, now);
        } else if (action instanceof Fail a) {
            TrackedMessage s = messages.get(a.id());
            require(!s.finished, "1: a second final answer");
            finish(s, now);
        } else if (action instanceof Cancel a) {
            require(settings.allowed().cancel(), "cancel is not allowed");
            require(a.attempt() < messages.get(a.id()).sends.size(), "cancel of an attempt never made");
        } else if (action instanceof Released a) {
            checkRelease(now, a.destination());
        }
    }

    private void checkSend(long now, Send a) {
        TrackedMessage s = messages.get(a.id());
        Endpoint to = endpoints.get(a.endpoint());
        require(s != null && !s.finished, "1: sent after its end");
        require(to != null && to.destination() == s.accepted.destination(), "sent to another destination");
        require(s.countAttemptsMade() < settings.classes().get(s.accepted.messageClass()).tries(), "too many attempts");
        require(a.timeout() > 0 && now + a.timeout() <= s.accepted.deadline(), "time-out beyond the deadline");
        Long told = notReadySince.get(a.endpoint());
        require(told == null || now <= told + settings.rules().drainGrace(), "3: sent to a drained endpoint");
        require(now >= waitUntil.getOrDefault(limitScope(to), 0L), "5: sent inside a wait");
        require(settings.allowed().copies() || !s.hasOpenAttempts(), "2: two attempts out together");
        checkEffects(now, s, to);
        checkKeyOrder(now, s);
        checkReturnBudget(now, to);
        s.sends.add(a);
        s.sentAt.add(now);
    }

    private void checkEffects(long now, TrackedMessage s, Endpoint to) {
        for (int i = 0; i < s.sends.size(); i++) {
            if (!s.mayHaveRun(i) || s.messageClass.effect() == Effect.SAFE) {
                continue;
            }
            require(s.messageClass.effect() == Effect.KEYED, "2: an unsafe message sent again");
            require(now < s.sentAt.get(i) + s.messageClass.window(), "2: sent again outside the window");
            Endpoint before = endpoints.get(s.sends.get(i).endpoint());
            require(!s.messageClass.zoneGroup() || before.zone() == to.zone(), "2: sent again outside the group");
        }
    }

    private void checkKeyOrder(long now, TrackedMessage s) {
        if (s.accepted.key() == null || !s.messageClass.inOrder()) {
            return;
        }
        for (TrackedMessage earlier : messagesByKey.get(s.accepted.key())) {
            if (earlier == s) {
                break;
            }
            require(earlier.finished && !earlier.hasOpenAttempts(), "6: sent before an earlier message of its key was over");
        }
        require(!s.sends.isEmpty() || now >= keyPausedUntil.getOrDefault(s.accepted.key(), 0L), "6: sent while the key rests");
    }

    private void checkReturnBudget(long now, Endpoint to) {
        Long cold = coldSince.get(to.id());
        if (cold == null || now - cold >= settings.rules().cold()) {
            return;
        }
        ArrayDeque<Long> recent = recentSends.computeIfAbsent(to.id(), k -> new ArrayDeque<>());
        recent.addLast(now);
        recent.removeIf(t -> t <= now - settings.rules().tipAfter());
        double warm = settings.rules().coldFrom()
            + (1 - settings.rules().coldFrom()) * Math.min(1.0, (double) Math.max(0, now - cold) / settings.rules().cold());
        double limit = settings.rules().fallMultiple() * to.weight() * warm * settings.rules().tipAfter() / 1e6
            / settings.relays();
        require(recent.size() <= Math.max(1, limit), "4: pushed a returning endpoint, " + recent.size() + " > " + limit);
    }

    /** Every message whose time is up must be over; call at the end of each turn. */
    void checkDeadlines(long now) {
        for (TrackedMessage s : messages.values()) {
            long due = s.accepted.deadline() + settings.rules().answerSlack();
            require(s.finished || now <= due, "1: no final answer in time for " + s.accepted.id());
        }
        messages.values().removeIf(s -> s.finished && !s.hasOpenAttempts() && s.finishedAt + 60_000_000L < now);
    }

    private void require(boolean kept, String breach) {
        if (!kept) {
            violations++;
            throw new AssertionError("rule " + breach);
        }
    }
}
