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
    private static final long END_DUE_MS = 350;
    /** ms after a restarted relay is ready in which no end is overdue. */
    private static final long RESTART_GRACE_MS = 1_500;
    /** ms after the agent can be told again in which an end reaches it. */
    private static final long AGENT_GRACE_MS = 1_000;
    /** ms that the tool may be late itself. */
    private static final long TOOL_SLACK_MS = 300;
    /** ms; calls that come so soon after the word to wait are let through. */
    private static final long RETRY_AFTER_SLACK_MS = 100;
    /** ms after which a change of the list counts as told, and in which a relay must have stopped sending. */
    private static final long LIST_PROPAGATION_MS = 6_000, QUIET_LIST_PROPAGATION_MS = 1_000, STOP_SENDING_MS = 300;
    /** ms from connecting in which a bad peer must have an error or a close. */
    private static final long BAD_CLIENT_TIMEOUT_MS = 3_000;
    /** Messages handed in in a row without an answer, over so many ms, that mean nobody is served. */
    private static final int UNSERVED_MESSAGES = 15;
    private static final long UNSERVED_MS = 4_000;

    /** How endpoints of the soak come back from an outage, as the relays' settings tell it. */
    static final double COLD_CAPACITY_SHARE = 0.2, OVERLOAD_MULTIPLE = 2;
    static final long COLD_MS = 10_000, OVERLOAD_WINDOW_MS = 2_000;

    private final History history;
    private final List<Finding> findings;

    private Oracle(History history) {
        this.history = history;
        this.findings = new ArrayList<>(history.findings());
    }

    /** What broke a rule, in the order of time. */
    static List<Finding> check(History history) {
        Oracle oracle = new Oracle(history);
        for (History.Message message : history.messages()) {
            oracle.check(message);
        }
        oracle.checkRetryAfter();
        oracle.checkDrains();
        oracle.checkColdStartBudgets();
        oracle.checkBadClients();
        oracle.checkService();
        oracle.findings.sort(Comparator.comparingLong(Finding::atMillis));
        return oracle.findings;
    }

    private void addFinding(String rule, long at, String detail) {
        findings.add(new Finding(rule, at, detail));
    }

    private void check(History.Message message) {
        String description = message.effect + " message " + message.id + " of relay " + message.relay;
        if (message.isAccepted()) {
            checkEnd(message, description);
        }
        checkExecutions(message, description);
        if (message.connectionLost && firstOverlap(history.processAbsences(message.relay), message.submittedAt, message.requestEndedAt + TOOL_SLACK_MS) == null
            && firstOverlap(history.readFailures(message.relay), message.submittedAt - TOOL_SLACK_MS, message.requestEndedAt + TOOL_SLACK_MS) == null
            && firstOverlap(history.floods(message.relay), message.submittedAt - TOOL_SLACK_MS, message.requestEndedAt + TOOL_SLACK_MS) == null) {
            addFinding("closed unanswered", message.requestEndedAt, description);
        }
        if (message.effect == History.Effect.UNSAFE && message.returned && !message.executions.isEmpty()) {
            addFinding("handed back although it may have run", message.notices.get(0), description);
        }
    }

    private void checkEnd(History.Message message, String description) {
        long first = Math.min(message.deliveries.stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE),
            message.notices.stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE));
        long due = endDueAt(message);
        if (first == Long.MAX_VALUE) {
            addFinding("lost", due, description + ", handed in at " + message.submittedAt + ", " + message.executions.size() + " calls");
        } else if (first > due + TOOL_SLACK_MS) {
            addFinding("end too late", first, description + ", by " + (first - due) + " ms, " + message.executions.size() + " calls");
        }
    }

    /** When its end is due; a restart puts that off. */
    private long endDueAt(History.Message message) {
        long due = message.submittedAt + message.lifetimeMillis + END_DUE_MS;
        for (History.Interval downtime : history.downtimes(message.relay)) {
            if (downtime.overlaps(message.submittedAt, due)) {
                due = Math.max(due, downtime.to() == Long.MAX_VALUE ? due : downtime.to() + RESTART_GRACE_MS);
            }
        }
        for (History.Interval agentOutage : history.agentOutages(message.relay)) {
            if (agentOutage.overlaps(message.submittedAt, due)) {
                due = Math.max(due, agentOutage.to() + AGENT_GRACE_MS);
            }
        }
        return due;
    }

    private void checkExecutions(History.Message message, String description) {
        long allowedMillis = switch (message.effect) {
            case SAFE -> Long.MAX_VALUE;
            case KEYED -> message.dedupWindowMillis;
            case UNSAFE -> -1;
        };
        List<Long> executions = message.executions.stream().sorted().toList();
        if (executions.size() > 1) {
            long spreadMillis = executions.get(executions.size() - 1) - executions.get(0);
            if (spreadMillis > allowedMillis) {
                addFinding("run again", executions.get(executions.size() - 1), description + ", " + executions.size() + " calls, " + spreadMillis
                    + " ms apart");
            }
        }
    }

    private void checkRetryAfter() {
        List<History.Call> calls = history.calls().stream()
            .sorted(Comparator.comparingLong(History.Call::atMillis)).toList();
        for (History.Call notice : calls) {
            long until = notice.atMillis() + notice.retryAfterMillis();
            if (notice.retryAfterMillis() == 0
                || firstOverlap(history.linkFaults(notice.endpoint()), notice.atMillis() - TOOL_SLACK_MS, notice.atMillis() + TOOL_SLACK_MS) != null) {
                continue;
            }
            for (History.Call call : calls) {
                boolean early = call.relay() == notice.relay() && call.destination() == notice.destination()
                    && call.atMillis() > notice.atMillis() + RETRY_AFTER_SLACK_MS + TOOL_SLACK_MS && call.atMillis() < until - TOOL_SLACK_MS / 10;
                if (early && firstOverlap(history.linkFaults(call.endpoint()), notice.atMillis(), call.atMillis()) == null
                    && firstOverlap(history.downtimes(call.relay()), notice.atMillis(), call.atMillis()) == null) {
                    addFinding("sent within a wait", call.atMillis(), "message " + call.messageId() + " of relay "
                        + call.relay() + " to destination " + call.destination() + ", "
                        + (until - call.atMillis()) + " ms early");
                }
            }
        }
    }

    private void checkDrains() {
        for (Map.Entry<Integer, List<History.Interval>> entry : history.drains().entrySet()) {
            for (History.Interval drain : entry.getValue()) {
                for (History.Call call : history.calls()) {
                    if (call.endpoint() == entry.getKey()
                        && firstOverlap(history.linkFaults(call.endpoint()), drain.from(), call.atMillis()) == null) {
                        checkDrain(drain, call);
                    }
                }
            }
        }
    }

    private void checkDrain(History.Interval drain, History.Call call) {
        boolean undisturbed = firstOverlap(history.relayFaults(call.relay()), drain.from() - LIST_PROPAGATION_MS, call.atMillis()) == null
            && firstOverlap(history.downtimes(call.relay()), drain.from() - TOOL_SLACK_MS, call.atMillis()) == null;
        long notice = drain.from() + (undisturbed ? QUIET_LIST_PROPAGATION_MS : LIST_PROPAGATION_MS);
        for (History.Interval fault : history.relayFaults(call.relay())) {
            if (!undisturbed && fault.overlaps(drain.from(), call.atMillis())) {
                long faultEnd = Math.min(fault.to(), Long.MAX_VALUE / 2);
                notice = Math.max(notice, faultEnd + LIST_PROPAGATION_MS);
            }
        }
        long lastAllowedAt = notice + STOP_SENDING_MS + TOOL_SLACK_MS;
        if (call.atMillis() > lastAllowedAt && call.atMillis() < drain.to()) {
            addFinding("sent while draining", call.atMillis(), "message " + call.messageId() + " of relay " + call.relay()
                + " to endpoint " + call.endpoint() + ", which drains since " + drain.from());
        }
    }

    /** All relays together count, whatever each of them has been told: what an endpoint bears is one sum. */
    private void checkColdStartBudgets() {
        history.outages().forEach((endpoint, outages) -> {
            double capacity = history.capacities().get(endpoint);
            ColdStartBudget budget = new ColdStartBudget(capacity, COLD_CAPACITY_SHARE, COLD_MS, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MS);
            for (History.Interval outage : outages) {
                long nextOutageAt = outages.stream().mapToLong(History.Interval::from).filter(from -> from > outage.to())
                    .min().orElse(Long.MAX_VALUE);
                List<Long> calls = history.calls().stream().filter(call -> call.endpoint() == endpoint)
                    .map(History.Call::atMillis).filter(at -> at < nextOutageAt).sorted().toList();
                ColdStartBudget.WorstWindow worstWindow = budget.worstWindow(outage.to(), calls);
                if (worstWindow.ratio() > 1) {
                    addFinding("cold endpoint overrun", worstWindow.endMillis(), "endpoint " + endpoint + ", out until "
                        + outage.to() + ": " + worstWindow.calls() + " calls in " + OVERLOAD_WINDOW_MS + " ms, it bears "
                        + Math.round(worstWindow.bound()));
                }
            }
        });
    }

    private void checkBadClients() {
        for (History.BadClientResult client : history.badClients()) {
            long due = client.connectedAt() + BAD_CLIENT_TIMEOUT_MS + TOOL_SLACK_MS;
            boolean late = client.endedAt() < 0 || client.endedAt() > due;
            if (late && firstOverlap(history.downtimes(client.relay()), client.connectedAt() - TOOL_SLACK_MS, due) == null) {
                addFinding("bad peer held", due, client.payload() + " at relay " + client.relay() + ", "
                    + (client.endedAt() < 0 ? "never closed" : "closed after "
                    + (client.endedAt() - client.connectedAt()) + " ms"));
            }
        }
    }

    /** A relay that lives and answers none of those who come to it for seconds. */
    private void checkService() {
        Map<Integer, List<History.Message>> byRelay = new HashMap<>();
        history.messages().forEach(message -> byRelay.computeIfAbsent(message.relay, r -> new ArrayList<>()).add(message));
        byRelay.forEach((relay, all) -> {
            List<History.Message> unserved = new ArrayList<>();
            all.sort(Comparator.comparingLong(message -> message.submittedAt));
            for (History.Message message : all) {
                long from = message.submittedAt - TOOL_SLACK_MS;
                boolean faultInjected = firstOverlap(history.downtimes(relay), from, message.submittedAt + 1_000) != null
                    || firstOverlap(history.floods(relay), from, message.submittedAt + 1_000) != null;
                if (message.status != 0 || faultInjected) {
                    unserved.clear();
                    continue;
                }
                unserved.add(message);
                if (unserved.size() == UNSERVED_MESSAGES
                    && message.submittedAt - unserved.get(0).submittedAt >= UNSERVED_MS) {
                    addFinding("nobody served", message.submittedAt, "relay " + relay + " since "
                        + unserved.get(0).submittedAt);
                }
            }
        });
    }

    private static History.Interval firstOverlap(List<History.Interval> spans, long from, long to) {
        return spans.stream().filter(interval -> interval.overlaps(from, to)).findFirst().orElse(null);
    }
}
