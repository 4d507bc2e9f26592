package wrenkeel.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the history of a run against the rules of the protocol, using only what the stand-ins recorded and
 * which faults were injected. The bounds are those of the protocol plus some slack for scheduling delays of
 * the soak's own threads. What an injected fault may have caused, such as a connection that is lost with a
 * killed process, is not reported.
 */
final class Oracle {
    /**
     * Time after a message's deadline within which it must be delivered or its notice must reach the
     * platform: 300 ms for the relay, and 50 ms for the sockets.
     */
    private static final long END_DUE_MS = 350;
    /** Time after a restarted relay is ready before which no message's end is overdue. */
    private static final long RESTART_GRACE_MS = 1_500;
    /** Time after the agent is reachable again within which a notice must reach it. */
    private static final long AGENT_GRACE_MS = 1_000;
    /** Delays of the soak's own threads that no rule counts. */
    private static final long TOOL_SLACK_MS = 300;
    /** Times of one moment may differ by so much, because different clocks round them. */
    private static final long CLOCK_ROUNDING_MS = 2;
    /** Time after a response with Retry-After in which calls that were already on their way may arrive. */
    private static final long RETRY_AFTER_SLACK_MS = 100;
    /** Time after which a relay counts as notified of a list change: if the relay had a fault, and if not. */
    private static final long LIST_PROPAGATION_MS = 6_000, QUIET_LIST_PROPAGATION_MS = 1_000;
    /** Time from the notification within which the relay must stop sending to a draining endpoint. */
    private static final long STOP_SENDING_MS = 300;
    /** Time from connecting within which a bad client must receive an error or a close. */
    private static final long BAD_CLIENT_TIMEOUT_MS = 3_000;
    /** So many unanswered messages in a row, submitted over this time or more, mean that nobody is served. */
    private static final int UNSERVED_MESSAGES = 15;
    private static final long UNSERVED_MS = 4_000;

    /** How the endpoints' capacity grows back after an outage, as in the relays' settings. */
    static final double COLD_CAPACITY_SHARE = 0.2, OVERLOAD_MULTIPLE = 2;
    static final long COLD_MS = 10_000, OVERLOAD_WINDOW_MS = 2_000;

    private final History history;
    private final List<Finding> findings;

    private Oracle(History history) {
        this.history = history;
        this.findings = new ArrayList<>(history.findings());
    }

    /** Returns all violations of the run, including those in the history, in ascending order of time. */
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
        if (message.connectionLost
            && firstOverlap(history.processAbsences(message.relay), message.submittedAt,
                message.requestEndedAt + TOOL_SLACK_MS) == null
            && firstOverlap(history.readFailures(message.relay), message.submittedAt - TOOL_SLACK_MS,
                message.requestEndedAt + TOOL_SLACK_MS) == null
            && firstOverlap(history.floods(message.relay), message.submittedAt - TOOL_SLACK_MS,
                message.requestEndedAt + TOOL_SLACK_MS) == null) {
            addFinding("closed unanswered", message.requestEndedAt, description);
        }
        if (message.effect == History.Effect.UNSAFE && message.returned && !message.executions.isEmpty()) {
            addFinding("handed back although it may have run", message.notices.get(0), description);
        }
    }

    /** Checks that an accepted message is delivered, or that the platform is notified of its end, in time. */
    private void checkEnd(History.Message message, String description) {
        long first = Math.min(message.deliveries.stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE),
            message.notices.stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE));
        long due = endDueAt(message);
        if (first == Long.MAX_VALUE) {
            addFinding("lost", due, description + ", handed in at " + message.submittedAt + ", "
                + message.executions.size() + " calls");
        } else if (first > due + TOOL_SLACK_MS) {
            addFinding("end too late", first, description + ", by " + (first - due) + " ms, "
                + message.executions.size() + " calls");
        }
    }

    /** Returns when the message's end is due; a restart or an unreachable agent in that time extends it. */
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

    /** Checks that repeated executions are allowed by the message's effect. */
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
                addFinding("run again", executions.get(executions.size() - 1), description + ", "
                    + executions.size() + " calls, " + spreadMillis + " ms apart");
            }
        }
    }

    /** Whether the relay could not read the response: its read of a connection to that endpoint failed. */
    private boolean wasResponseUnread(History.Call call) {
        return history.failedReads().stream().anyMatch(read -> read.relay() == call.relay()
            && read.endpoint() == call.endpoint() && read.atMillis() >= call.atMillis() - CLOCK_ROUNDING_MS
            && read.atMillis() <= call.atMillis() + TOOL_SLACK_MS);
    }

    /**
     * Checks that a relay sends nothing to any endpoint of a destination before the end of a Retry-After that
     * it has received from one of them. A relay that was restarted in between, or whose read of the response
     * failed, need not know of it.
     */
    private void checkRetryAfter() {
        List<History.Call> calls = history.calls().stream()
            .sorted(Comparator.comparingLong(History.Call::atMillis)).toList();
        for (History.Call refused : calls) {
            long until = refused.atMillis() + refused.retryAfterMillis();
            if (refused.retryAfterMillis() == 0 || wasResponseUnread(refused)
                || firstOverlap(history.linkFaults(refused.endpoint()), refused.atMillis() - TOOL_SLACK_MS,
                    refused.atMillis() + TOOL_SLACK_MS) != null) {
                continue;
            }
            for (History.Call call : calls) {
                boolean early = call.relay() == refused.relay() && call.destination() == refused.destination()
                    && call.atMillis() > refused.atMillis() + RETRY_AFTER_SLACK_MS + TOOL_SLACK_MS
                    && call.atMillis() < until - TOOL_SLACK_MS / 10;
                if (early
                    && firstOverlap(history.linkFaults(call.endpoint()), refused.atMillis(),
                        call.atMillis()) == null
                    && firstOverlap(history.downtimes(call.relay()), refused.atMillis(),
                        call.atMillis()) == null) {
                    addFinding("sent within a wait", call.atMillis(), "message " + call.messageId()
                        + " of relay " + call.relay() + " to destination " + call.destination() + ", "
                        + (until - call.atMillis()) + " ms early");
                }
            }
        }
    }

    /** Checks that relays stop sending to an endpoint that the list shows as draining. */
    private void checkDrains() {
        for (Map.Entry<Integer, List<History.Interval>> entry : history.drains().entrySet()) {
            for (History.Interval drain : entry.getValue()) {
                for (History.Call call : history.calls()) {
                    if (call.endpoint() == entry.getKey()
                        && firstOverlap(history.linkFaults(call.endpoint()), drain.from(),
                            call.atMillis()) == null) {
                        checkDrain(drain, call);
                    }
                }
            }
        }
    }

    private void checkDrain(History.Interval drain, History.Call call) {
        boolean undisturbed = firstOverlap(history.relayFaults(call.relay()),
            drain.from() - LIST_PROPAGATION_MS, call.atMillis()) == null
            && firstOverlap(history.downtimes(call.relay()), drain.from() - TOOL_SLACK_MS,
                call.atMillis()) == null;
        long notifiedAt = drain.from() + (undisturbed ? QUIET_LIST_PROPAGATION_MS : LIST_PROPAGATION_MS);
        for (History.Interval fault : history.relayFaults(call.relay())) {
            if (!undisturbed && fault.overlaps(drain.from(), call.atMillis())) {
                long faultEnd = Math.min(fault.to(), Long.MAX_VALUE / 2);
                notifiedAt = Math.max(notifiedAt, faultEnd + LIST_PROPAGATION_MS);
            }
        }
        long lastAllowedAt = notifiedAt + STOP_SENDING_MS + TOOL_SLACK_MS;
        if (call.atMillis() > lastAllowedAt && call.atMillis() < drain.to()) {
            addFinding("sent while draining", call.atMillis(), "message " + call.messageId() + " of relay "
                + call.relay() + " to endpoint " + call.endpoint() + ", which drains since " + drain.from());
        }
    }

    /**
     * Checks that no endpoint is overloaded in the time after an outage. The calls of all relays are counted
     * together, whatever each of them knows of the outage, because they share the endpoint's capacity.
     */
    private void checkColdStartBudgets() {
        history.outages().forEach((endpoint, outages) -> {
            double capacity = history.capacities().get(endpoint);
            ColdStartBudget budget = new ColdStartBudget(capacity, COLD_CAPACITY_SHARE, COLD_MS,
                OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MS);
            for (History.Interval outage : outages) {
                long nextOutageAt = outages.stream().mapToLong(History.Interval::from)
                    .filter(from -> from > outage.to()).min().orElse(Long.MAX_VALUE);
                List<ColdStartBudget.TimedCall> calls = history.calls().stream()
                    .filter(call -> call.endpoint() == endpoint && call.atMillis() < nextOutageAt)
                    .sorted(Comparator.comparingLong(History.Call::atMillis))
                    .map(call -> new ColdStartBudget.TimedCall(call.atMillis(),
                        wasCalledDuring(outage, endpoint, call.relay()))).toList();
                ColdStartBudget.WorstWindow worstWindow = budget.worstWindow(outage.to(), calls);
                if (worstWindow.ratio() > 1) {
                    ColdStartBudget.Overload first =
                        budget.firstOverload(outage.to(), calls).orElseThrow();
                    addFinding("cold endpoint overrun", worstWindow.endMillis(), "endpoint " + endpoint
                        + ", out until " + outage.to() + ": " + worstWindow.calls() + " calls in "
                        + OVERLOAD_WINDOW_MS + " ms, it bears " + Math.round(worstWindow.bound())
                        + "; first overrun with " + first.calls() + " calls, " + first.toldCalls()
                        + " of relays that had met the outage");
                }
            }
        });
    }

    /** True if a call of the relay reached the endpoint in an outage. */
    private boolean wasCalledDuring(History.Interval outage, int endpoint, int relay) {
        return history.calls().stream().anyMatch(call -> call.endpoint() == endpoint && call.relay() == relay
            && call.atMillis() >= outage.from() && call.atMillis() < outage.to());
    }

    /** Checks that bad clients receive an error or a close in time. */
    private void checkBadClients() {
        for (History.BadClientResult client : history.badClients()) {
            long due = client.connectedAt() + BAD_CLIENT_TIMEOUT_MS + TOOL_SLACK_MS;
            boolean late = client.endedAt() < 0 || client.endedAt() > due;
            if (late && firstOverlap(history.downtimes(client.relay()),
                client.connectedAt() - TOOL_SLACK_MS, due) == null) {
                addFinding("bad peer held", due, client.payload() + " at relay " + client.relay() + ", "
                    + (client.endedAt() < 0 ? "never closed" : "closed after "
                    + (client.endedAt() - client.connectedAt()) + " ms"));
            }
        }
    }

    /** Checks that no running relay leaves all its clients without a response for seconds. */
    private void checkService() {
        Map<Integer, List<History.Message>> byRelay = new HashMap<>();
        history.messages().forEach(message ->
            byRelay.computeIfAbsent(message.relay, r -> new ArrayList<>()).add(message));
        byRelay.forEach((relay, all) -> {
            List<History.Message> unserved = new ArrayList<>();
            all.sort(Comparator.comparingLong(message -> message.submittedAt));
            for (History.Message message : all) {
                long from = message.submittedAt - TOOL_SLACK_MS;
                boolean faultInjected = firstOverlap(history.downtimes(relay), from,
                    message.submittedAt + 1_000) != null
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

    /** Returns the first interval that overlaps the given time, or null. */
    private static History.Interval firstOverlap(List<History.Interval> intervals, long from, long to) {
        return intervals.stream().filter(interval -> interval.overlaps(from, to)).findFirst().orElse(null);
    }
}
