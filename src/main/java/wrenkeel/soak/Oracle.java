package wrenkeel.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges a run by the stand-ins' records alone. Bounds are those of the protocol's page, with some slack for
 * the tool's own threads. Where the tool itself may have caused what it sees (a link that it cut, a process
 * that it killed), it says nothing.
 */
final class Oracle {
    /** ms past a message's time by which it has its end: 300, and 50 on sockets. */
    private static final long END_DUE = 350;
    /** ms after a restarted relay is ready in which no end is overdue. */
    private static final long AFTER_READY = 1_500;
    /** ms after the agent can be told again in which an end reaches it. */
    private static final long AFTER_UNTOLD = 1_000;
    /** ms that the tool may be late itself. */
    private static final long SLACK = 300;
    /** ms; calls that come so soon after the word to wait are let through. */
    private static final long WAIT_SLACK = 100;
    /** ms after which a change of the list counts as told, and in which a relay must have stopped sending. */
    private static final long TOLD = 6_000, TOLD_QUIETLY = 1_000, STOP_SENDING = 300;
    /** ms from connecting in which a bad peer must have an error or a close. */
    private static final long BAD_PEER = 3_000;
    /** Messages handed in in a row without an answer, over so many ms, that mean nobody is served. */
    private static final int UNSERVED = 15;
    private static final long UNSERVED_MILLIS = 4_000;

    /** How endpoints of the soak come back from an outage, as the relays' settings tell it. */
    static final double COLD_FROM = 0.2, FALL_MULTIPLE = 2;
    static final long COLD_MILLIS = 10_000, TIP_MILLIS = 2_000;

    private final History history;
    private final List<Finding> findings;

    private Oracle(History history) {
        this.history = history;
        this.findings = new ArrayList<>(history.seen());
    }

    /** What broke a rule, in the order of time. */
    static List<Finding> judge(History history) {
        Oracle oracle = new Oracle(history);
        for (History.Message message : history.messages()) {
            oracle.judge(message);
        }
        oracle.judgeWaits();
        oracle.judgeDrains();
        oracle.judgeColdBudgets();
        oracle.judgeBadPeers();
        oracle.judgeService();
        oracle.findings.sort(Comparator.comparingLong(Finding::atMillis));
        return oracle.findings;
    }

    private void found(String rule, long at, String detail) {
        findings.add(new Finding(rule, at, detail));
    }

    private void judge(History.Message m) {
        String who = m.effect + " message " + m.id + " of relay " + m.relay;
        if (m.takenOn()) {
            judgeEnd(m, who);
        }
        judgeRuns(m, who);
        if (m.cutOff && overlaps(history.dead(m.relay), m.handedInAt, m.endedAt + SLACK) == null
            && overlaps(history.cut(m.relay), m.handedInAt - SLACK, m.endedAt + SLACK) == null
            && overlaps(history.crowded(m.relay), m.handedInAt - SLACK, m.endedAt + SLACK) == null) {
            found("closed unanswered", m.endedAt, who);
        }
        if (m.effect == History.Effect.UNSAFE && m.handedBack && !m.runs.isEmpty()) {
            found("handed back although it may have run", m.notices.get(0), who);
        }
    }

    private void judgeEnd(History.Message m, String who) {
        long first = Math.min(m.delivered.stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE),
            m.notices.stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE));
        long due = due(m);
        if (first == Long.MAX_VALUE) {
            found("lost", due, who + ", handed in at " + m.handedInAt + ", " + m.runs.size() + " calls");
        } else if (first > due + SLACK) {
            found("end too late", first, who + ", by " + (first - due) + " ms, " + m.runs.size() + " calls");
        }
    }

    /** When its end is due; a restart puts that off. */
    private long due(History.Message m) {
        long due = m.handedInAt + m.lifeMillis + END_DUE;
        for (History.Span down : history.down(m.relay)) {
            if (down.overlaps(m.handedInAt, due)) {
                due = Math.max(due, down.to() == Long.MAX_VALUE ? due : down.to() + AFTER_READY);
            }
        }
        for (History.Span untold : history.untold(m.relay)) {
            if (untold.overlaps(m.handedInAt, due)) {
                due = Math.max(due, untold.to() + AFTER_UNTOLD);
            }
        }
        return due;
    }

    private void judgeRuns(History.Message m, String who) {
        long allowed = switch (m.effect) {
            case SAFE -> Long.MAX_VALUE;
            case KEYED -> m.windowMillis;
            case UNSAFE -> -1;
        };
        List<Long> runs = m.runs.stream().sorted().toList();
        if (runs.size() > 1) {
            long apart = runs.get(runs.size() - 1) - runs.get(0);
            if (apart > allowed) {
                found("run again", runs.get(runs.size() - 1), who + ", " + runs.size() + " calls, " + apart
                    + " ms apart");
            }
        }
    }

    private void judgeWaits() {
        List<History.Call> calls = history.calls().stream()
            .sorted(Comparator.comparingLong(History.Call::at)).toList();
        for (History.Call told : calls) {
            long until = told.at() + told.waitMillis();
            if (told.waitMillis() == 0
                || overlaps(history.links(told.endpoint()), told.at() - SLACK, told.at() + SLACK) != null) {
                continue;
            }
            for (History.Call call : calls) {
                boolean within = call.relay() == told.relay() && call.destination() == told.destination()
                    && call.at() > told.at() + WAIT_SLACK + SLACK && call.at() < until - SLACK / 10;
                if (within && overlaps(history.links(call.endpoint()), told.at(), call.at()) == null
                    && overlaps(history.down(call.relay()), told.at(), call.at()) == null) {
                    found("sent within a wait", call.at(), "message " + call.id() + " of relay "
                        + call.relay() + " to destination " + call.destination() + ", "
                        + (until - call.at()) + " ms early");
                }
            }
        }
    }

    private void judgeDrains() {
        for (Map.Entry<Integer, List<History.Span>> entry : history.draining().entrySet()) {
            for (History.Span drain : entry.getValue()) {
                for (History.Call call : history.calls()) {
                    if (call.endpoint() == entry.getKey()
                        && overlaps(history.links(call.endpoint()), drain.from(), call.at()) == null) {
                        judgeDrain(drain, call);
                    }
                }
            }
        }
    }

    private void judgeDrain(History.Span drain, History.Call call) {
        boolean quiet = overlaps(history.troubled(call.relay()), drain.from() - TOLD, call.at()) == null
            && overlaps(history.down(call.relay()), drain.from() - SLACK, call.at()) == null;
        long told = drain.from() + (quiet ? TOLD_QUIETLY : TOLD);
        for (History.Span trouble : history.troubled(call.relay())) {
            if (!quiet && trouble.overlaps(drain.from(), call.at())) {
                long over = Math.min(trouble.to(), Long.MAX_VALUE / 2);
                told = Math.max(told, over + TOLD);
            }
        }
        long last = told + STOP_SENDING + SLACK;
        if (call.at() > last && call.at() < drain.to()) {
            found("sent while draining", call.at(), "message " + call.id() + " of relay " + call.relay()
                + " to endpoint " + call.endpoint() + ", which drains since " + drain.from());
        }
    }

    /** All relays together count, whatever each of them has been told: what an endpoint bears is one sum. */
    private void judgeColdBudgets() {
        history.outages().forEach((endpoint, outages) -> {
            double capacity = history.capacities().get(endpoint);
            ColdStartBudget budget = new ColdStartBudget(capacity, COLD_FROM, COLD_MILLIS, FALL_MULTIPLE, TIP_MILLIS);
            for (History.Span outage : outages) {
                long next = outages.stream().mapToLong(History.Span::from).filter(from -> from > outage.to())
                    .min().orElse(Long.MAX_VALUE);
                List<Long> calls = history.calls().stream().filter(call -> call.endpoint() == endpoint)
                    .map(History.Call::at).filter(at -> at < next).sorted().toList();
                ColdStartBudget.WorstWindow worst = budget.worstWindow(outage.to(), calls);
                if (worst.ratio() > 1) {
                    found("cold endpoint overrun", worst.endMillis(), "endpoint " + endpoint + ", out until "
                        + outage.to() + ": " + worst.calls() + " calls in " + TIP_MILLIS + " ms, it bears "
                        + Math.round(worst.bound()));
                }
            }
        });
    }

    private void judgeBadPeers() {
        for (History.BadPeer peer : history.badPeers()) {
            long due = peer.connectedAt() + BAD_PEER + SLACK;
            boolean late = peer.endedAt() < 0 || peer.endedAt() > due;
            if (late && overlaps(history.down(peer.relay()), peer.connectedAt() - SLACK, due) == null) {
                found("bad peer held", due, peer.sort() + " at relay " + peer.relay() + ", "
                    + (peer.endedAt() < 0 ? "never closed" : "closed after "
                    + (peer.endedAt() - peer.connectedAt()) + " ms"));
            }
        }
    }

    /** A relay that lives and answers none of those who come to it for seconds. */
    private void judgeService() {
        Map<Integer, List<History.Message>> byRelay = new HashMap<>();
        history.messages().forEach(m -> byRelay.computeIfAbsent(m.relay, r -> new ArrayList<>()).add(m));
        byRelay.forEach((relay, all) -> {
            List<History.Message> unserved = new ArrayList<>();
            all.sort(Comparator.comparingLong(m -> m.handedInAt));
            for (History.Message m : all) {
                long from = m.handedInAt - SLACK;
                boolean excused = overlaps(history.down(relay), from, m.handedInAt + 1_000) != null
                    || overlaps(history.crowded(relay), from, m.handedInAt + 1_000) != null;
                if (m.status != 0 || excused) {
                    unserved.clear();
                    continue;
                }
                unserved.add(m);
                if (unserved.size() == UNSERVED
                    && m.handedInAt - unserved.get(0).handedInAt >= UNSERVED_MILLIS) {
                    found("nobody served", m.handedInAt, "relay " + relay + " since "
                        + unserved.get(0).handedInAt);
                }
            }
        });
    }

    private static History.Span overlaps(List<History.Span> spans, long from, long to) {
        return spans.stream().filter(span -> span.overlaps(from, to)).findFirst().orElse(null);
    }
}
