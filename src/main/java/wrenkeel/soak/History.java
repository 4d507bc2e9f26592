package wrenkeel.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records of one run: what the stand-ins observed and which faults were injected. All times are milliseconds
 * since the start of the traffic on one monotonic clock. Any thread may add records; the oracle reads them
 * after the run.
 */
final class History {
    /** What happens if a message is executed more than once. Findings print the names. */
    enum Effect {
        /** Nothing: it may be repeated at any time. */ SAFE,
        /** The destination drops a repeat with the same idempotency key within the dedup window. */ KEYED,
        /** It takes effect twice, so it must not be repeated. */ UNSAFE
    }

    /** One message and all that was observed of it. */
    static final class Message {
        /** The value of X-Request-ID. */
        final String id;
        /** Number of the relay to which the client sends it. */
        final int relay;
        final int destination;
        final Effect effect;
        /** Time in which a repeat is dropped; only for {@link Effect#KEYED}. */
        final long dedupWindowMillis;
        /** When the client was due to send it. */
        final long submittedAt;
        /** Time from submission to its deadline. */
        final long lifetimeMillis;
        /** HTTP status of the relay's response to the client; 0 for none. */
        int status;
        /** When the client's request ended; -1 before. */
        long requestEndedAt = -1;
        /** The connection ended without a response after the last byte of the request was written. */
        boolean connectionLost;
        /** When an endpoint received it in a call that it executed or may have executed. */
        final List<Long> executions = new ArrayList<>();
        /** When an endpoint answered it with 200. */
        final List<Long> deliveries = new ArrayList<>();
        /** When the agent received a notice about its end. */
        final List<Long> notices = new ArrayList<>();
        /** Whether a notice has the outcome handed_back, that is, says that it was not executed. */
        boolean returned;

        Message(String id, int relay, int destination, Effect effect, long dedupWindowMillis,
                long submittedAt, long lifetimeMillis) {
            this.id = id;
            this.relay = relay;
            this.destination = destination;
            this.effect = effect;
            this.dedupWindowMillis = dedupWindowMillis;
            this.submittedAt = submittedAt;
            this.lifetimeMillis = lifetimeMillis;
        }

        /** Whether the relay has taken responsibility for it: its response was 200 or 202. */
        boolean isAccepted() {
            return status == 200 || status == 202;
        }
    }

    /**
     * A call that an endpoint received.
     *
     * @param atMillis when its last byte was received
     * @param retryAfterMillis Retry-After of the response; 0 for none
     */
    record Call(int relay, int endpoint, int destination, String messageId, long atMillis,
                long retryAfterMillis) { }

    /** A closed time interval; {@code to} is {@link Long#MAX_VALUE} if the condition did not end. */
    record Interval(long from, long to) {
        boolean overlaps(long begin, long end) {
            return from <= end && to >= begin;
        }
    }

    /**
     * How a relay treated a {@link BadClient}.
     *
     * @param payload name of what the client sent
     * @param endedAt when the client received an error or a close; -1 for never
     */
    record BadClientResult(int relay, String payload, long connectedAt, long endedAt) { }

    /** A read of a relay's connection to an endpoint that was made to fail: what had come was never read. */
    record FailedRead(int relay, int endpoint, long atMillis) { }

    private final Map<String, Message> messages = new HashMap<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<BadClientResult> badClients = new ArrayList<>();
    private final List<Finding> findings = new ArrayList<>();
    private final List<FailedRead> failedReads = new ArrayList<>();
    /** By relay: from the first signal that ends the process until its successor serves. */
    private final Map<Integer, List<Interval>> downtimes = new HashMap<>();
    /** By relay: from SIGKILL, sent even if the process has ended before, until its successor serves. */
    private final Map<Integer, List<Interval>> processAbsences = new HashMap<>();
    /** By relay: a fault delayed its process, its system calls or its exchange with the agent. */
    private final Map<Integer, List<Interval>> relayFaults = new HashMap<>();
    /** By relay: reads of its sockets failed, which closes connections of clients. */
    private final Map<Integer, List<Interval>> readFailures = new HashMap<>();
    /** By relay: idle clients used up its connections, so it may close new ones without reading. */
    private final Map<Integer, List<Interval>> floods = new HashMap<>();
    /** By endpoint: its outages, after each of which it is cold and takes fewer calls. */
    private final Map<Integer, List<Interval>> outages = new HashMap<>();
    /** By endpoint: calls a second that it takes when it is warm. */
    private final Map<Integer, Double> capacities = new HashMap<>();
    /** By relay: it could not send anything to its agent. */
    private final Map<Integer, List<Interval>> agentOutages = new HashMap<>();
    /** By endpoint: it or its link had a fault. */
    private final Map<Integer, List<Interval>> linkFaults = new HashMap<>();
    /** By endpoint: the list showed it as draining. */
    private final Map<Integer, List<Interval>> drains = new HashMap<>();

    /** A client is about to send the message. */
    synchronized void recordSubmission(Message message) {
        messages.put(message.id, message);
    }

    /** Returns null for an id that no client has sent. */
    synchronized Message message(String id) {
        return messages.get(id);
    }

    /** The client's request has ended: {@code status} 0 means without a response. */
    synchronized void recordRequestEnd(String id, int status, boolean connectionLost, long atMillis) {
        Message message = messages.get(id);
        message.status = status;
        message.connectionLost = connectionLost;
        message.requestEndedAt = atMillis;
    }

    /** {@code mayExecute}: whether the endpoint executed the message or may have done so. */
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

    synchronized void recordFailedRead(FailedRead read) {
        failedReads.add(read);
    }

    /** Adds a violation that the run itself has detected. */
    synchronized void addFinding(Finding finding) {
        findings.add(finding);
    }

    // Each of the following methods adds one record to the field that is named like it or like its subject.

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

    // All of the following methods return unmodifiable copies; the order of messages is arbitrary.

    synchronized List<Message> messages() {
        return List.copyOf(messages.values());
    }

    synchronized List<Call> calls() {
        return List.copyOf(calls);
    }

    synchronized List<FailedRead> failedReads() {
        return List.copyOf(failedReads);
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
