package wrenkeel.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the stand-ins saw and the run did, by one monotonic clock in milliseconds after the traffic's start.
 * Any thread may write; it is read once the run is over.
 */
final class History {
    /** What a repeat of a message does. */
    enum Effect {
        /** May be repeated at will. */ SAFE,
        /** A repeat is dropped within a window. */ KEYED,
        /** A second run would take effect twice. */ UNSAFE
    }

    /** One message, and all that was seen of it. */
    static final class Message {
        final String id;
        final int relay;
        final int destination;
        final Effect effect;
        final long dedupWindowMillis;
        final long submittedAt;
        final long lifetimeMillis;
        /** Status of the answer; 0 for none. */
        int status;
        /** When the handing in ended; -1 while it has not. */
        long requestEndedAt = -1;
        /** The connection ended on the request after its last byte was written. */
        boolean connectionLost;
        /** When calls with it began to run, or may have. */
        final List<Long> executions = new ArrayList<>();
        final List<Long> deliveries = new ArrayList<>();
        final List<Long> notices = new ArrayList<>();
        boolean returned;

        Message(String id, int relay, int destination, Effect effect, long dedupWindowMillis, long submittedAt,
                long lifetimeMillis) {
            this.id = id;
            this.relay = relay;
            this.destination = destination;
            this.effect = effect;
            this.dedupWindowMillis = dedupWindowMillis;
            this.submittedAt = submittedAt;
            this.lifetimeMillis = lifetimeMillis;
        }

        boolean isAccepted() {
            return status == 200 || status == 202;
        }
    }

    /** A call that an endpoint got. {@code retryAfterMillis}: what its answer told to wait; 0 for nothing. */
    record Call(int relay, int endpoint, int destination, String messageId, long atMillis, long retryAfterMillis) { }

    /** A span in which something was so; {@code to} is {@link Long#MAX_VALUE} while it lasts. */
    record Interval(long from, long to) {
        boolean overlaps(long begin, long end) {
            return from <= end && to >= begin;
        }
    }

    /** A peer that sent no proper request, and when it had an error or a close; -1 for never. */
    record BadClientResult(int relay, String payload, long connectedAt, long endedAt) { }

    private final Map<String, Message> messages = new HashMap<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<BadClientResult> badClients = new ArrayList<>();
    private final List<Finding> findings = new ArrayList<>();
    /** By relay: from a signal that ends the process until the next one serves. */
    private final Map<Integer, List<Interval>> downtimes = new HashMap<>();
    /** By relay: from SIGKILL, or the process's own end, until the next one serves. */
    private final Map<Integer, List<Interval>> processAbsences = new HashMap<>();
    /** By relay: its process, machine or agent was in trouble. */
    private final Map<Integer, List<Interval>> relayFaults = new HashMap<>();
    /** By relay: reads of its sockets failed, which ends connections of clients. */
    private final Map<Integer, List<Interval>> readFailures = new HashMap<>();
    /** By relay: idle clients took all places, new connections may be shut unread. */
    private final Map<Integer, List<Interval>> floods = new HashMap<>();
    /** By endpoint: its outages, after each of which it is cold. */
    private final Map<Integer, List<Interval>> outages = new HashMap<>();
    /** By endpoint: calls a second that it takes when warm. */
    private final Map<Integer, Double> capacities = new HashMap<>();
    /** By relay: nothing could be told to its agent. */
    private final Map<Integer, List<Interval>> agentOutages = new HashMap<>();
    /** By endpoint: its link or itself was in trouble. */
    private final Map<Integer, List<Interval>> linkFaults = new HashMap<>();
    /** By endpoint: draining by the list. */
    private final Map<Integer, List<Interval>> drains = new HashMap<>();

    synchronized void recordSubmission(Message message) {
        messages.put(message.id, message);
    }

    synchronized Message message(String id) {
        return messages.get(id);
    }

    synchronized void recordRequestEnd(String id, int status, boolean connectionLost, long atMillis) {
        Message message = messages.get(id);
        message.status = status;
        message.connectionLost = connectionLost;
        message.requestEndedAt = atMillis;
    }

    synchronized void recordCall(Call call, boolean mayExecute) {
        calls.add(call);
        Message message = messages.get(call.messageId);
        if (message != null && mayExecute) {
            message.executions.add(call.atMillis);
        }
    }

    synchronized void recordDelivery(String id, long atMillis) {
        Message message = messages.get(id);
        if (message != null) {
            message.deliveries.add(atMillis);
        }
    }

    synchronized void recordNotice(String id, boolean returned, long atMillis) {
        Message message = messages.get(id);
        if (message != null) {
            message.notices.add(atMillis);
            message.returned |= returned;
        }
    }

    synchronized void recordBadClient(BadClientResult client) {
        badClients.add(client);
    }

    /** Something that the run itself has seen to break a rule. */
    synchronized void addFinding(Finding finding) {
        findings.add(finding);
    }

    synchronized void downtimes(int relay, Interval interval) {
        downtimes.computeIfAbsent(relay, r -> new ArrayList<>()).add(interval);
    }

    synchronized void processAbsences(int relay, Interval interval) {
        processAbsences.computeIfAbsent(relay, r -> new ArrayList<>()).add(interval);
    }

    synchronized void relayFaults(int relay, Interval interval) {
        relayFaults.computeIfAbsent(relay, r -> new ArrayList<>()).add(interval);
    }

    synchronized void readFailures(int relay, Interval interval) {
        readFailures.computeIfAbsent(relay, r -> new ArrayList<>()).add(interval);
    }

    synchronized void floods(int relay, Interval interval) {
        floods.computeIfAbsent(relay, r -> new ArrayList<>()).add(interval);
    }

    synchronized void recordOutage(int endpoint, Interval interval) {
        outages.computeIfAbsent(endpoint, e -> new ArrayList<>()).add(interval);
    }

    synchronized void recordCapacity(int endpoint, double callsPerSecond) {
        capacities.put(endpoint, callsPerSecond);
    }

    synchronized void agentOutages(int relay, Interval interval) {
        agentOutages.computeIfAbsent(relay, r -> new ArrayList<>()).add(interval);
    }

    synchronized void recordLinkFault(int endpoint, Interval interval) {
        linkFaults.computeIfAbsent(endpoint, e -> new ArrayList<>()).add(interval);
    }

    synchronized void drains(int endpoint, Interval interval) {
        drains.computeIfAbsent(endpoint, e -> new ArrayList<>()).add(interval);
    }

    synchronized List<Message> messages() {
        return List.copyOf(messages.values());
    }

    synchronized List<Call> calls() {
        return List.copyOf(calls);
    }

    synchronized List<BadClientResult> badClients() {
        return List.copyOf(badClients);
    }

    synchronized List<Finding> findings() {
        return List.copyOf(findings);
    }

    synchronized List<Interval> downtimes(int relay) {
        return List.copyOf(downtimes.getOrDefault(relay, List.of()));
    }

    synchronized List<Interval> processAbsences(int relay) {
        return List.copyOf(processAbsences.getOrDefault(relay, List.of()));
    }

    synchronized List<Interval> relayFaults(int relay) {
        return List.copyOf(relayFaults.getOrDefault(relay, List.of()));
    }

    synchronized List<Interval> readFailures(int relay) {
        return List.copyOf(readFailures.getOrDefault(relay, List.of()));
    }

    synchronized List<Interval> floods(int relay) {
        return List.copyOf(floods.getOrDefault(relay, List.of()));
    }

    synchronized Map<Integer, List<Interval>> outages() {
        return Map.copyOf(outages);
    }

    synchronized Map<Integer, Double> capacities() {
        return Map.copyOf(capacities);
    }

    synchronized List<Interval> agentOutages(int relay) {
        return List.copyOf(agentOutages.getOrDefault(relay, List.of()));
    }

    synchronized List<Interval> linkFaults(int endpoint) {
        return List.copyOf(linkFaults.getOrDefault(endpoint, List.of()));
    }

    synchronized Map<Integer, List<Interval>> drains() {
        return Map.copyOf(drains);
    }
}
