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
        final long windowMillis;
        final long handedInAt;
        final long lifeMillis;
        /** Status of the answer; 0 for none. */
        int status;
        /** When the handing in ended; -1 while it has not. */
        long endedAt = -1;
        /** The connection ended on the request after its last byte was written. */
        boolean cutOff;
        /** When calls with it began to run, or may have. */
        final List<Long> runs = new ArrayList<>();
        final List<Long> delivered = new ArrayList<>();
        final List<Long> notices = new ArrayList<>();
        boolean handedBack;

        Message(String id, int relay, int destination, Effect effect, long windowMillis, long handedInAt,
                long lifeMillis) {
            this.id = id;
            this.relay = relay;
            this.destination = destination;
            this.effect = effect;
            this.windowMillis = windowMillis;
            this.handedInAt = handedInAt;
            this.lifeMillis = lifeMillis;
        }

        boolean takenOn() {
            return status == 200 || status == 202;
        }
    }

    /** A call that an endpoint got. {@code waitMillis}: what its answer told to wait; 0 for nothing. */
    record Call(int relay, int endpoint, int destination, String id, long at, long waitMillis) { }

    /** A span in which something was so; {@code to} is {@link Long#MAX_VALUE} while it lasts. */
    record Span(long from, long to) {
        boolean overlaps(long begin, long end) {
            return from <= end && to >= begin;
        }
    }

    /** A peer that sent no proper request, and when it had an error or a close; -1 for never. */
    record BadPeer(int relay, String sort, long connectedAt, long endedAt) { }

    private final Map<String, Message> messages = new HashMap<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<BadPeer> badPeers = new ArrayList<>();
    private final List<Finding> seen = new ArrayList<>();
    /** By relay: from a signal that ends the process until the next one serves. */
    private final Map<Integer, List<Span>> down = new HashMap<>();
    /** By relay: from SIGKILL, or the process's own end, until the next one serves. */
    private final Map<Integer, List<Span>> dead = new HashMap<>();
    /** By relay: its process, machine or agent was in trouble. */
    private final Map<Integer, List<Span>> troubled = new HashMap<>();
    /** By relay: reads of its sockets failed, which ends connections of clients. */
    private final Map<Integer, List<Span>> cut = new HashMap<>();
    /** By relay: idle clients took all places, new connections may be shut unread. */
    private final Map<Integer, List<Span>> crowded = new HashMap<>();
    /** By endpoint: its outages, after each of which it is cold. */
    private final Map<Integer, List<Span>> outages = new HashMap<>();
    /** By endpoint: calls a second that it takes when warm. */
    private final Map<Integer, Double> capacities = new HashMap<>();
    /** By relay: nothing could be told to its agent. */
    private final Map<Integer, List<Span>> untold = new HashMap<>();
    /** By endpoint: its link or itself was in trouble. */
    private final Map<Integer, List<Span>> links = new HashMap<>();
    /** By endpoint: draining by the list. */
    private final Map<Integer, List<Span>> draining = new HashMap<>();

    synchronized void handedIn(Message message) {
        messages.put(message.id, message);
    }

    synchronized Message message(String id) {
        return messages.get(id);
    }

    synchronized void ended(String id, int status, boolean cutOff, long at) {
        Message message = messages.get(id);
        message.status = status;
        message.cutOff = cutOff;
        message.endedAt = at;
    }

    synchronized void called(Call call, boolean runs) {
        calls.add(call);
        Message message = messages.get(call.id);
        if (message != null && runs) {
            message.runs.add(call.at);
        }
    }

    synchronized void delivered(String id, long at) {
        Message message = messages.get(id);
        if (message != null) {
            message.delivered.add(at);
        }
    }

    synchronized void noticed(String id, boolean handedBack, long at) {
        Message message = messages.get(id);
        if (message != null) {
            message.notices.add(at);
            message.handedBack |= handedBack;
        }
    }

    synchronized void badPeer(BadPeer peer) {
        badPeers.add(peer);
    }

    /** Something that the run itself has seen to break a rule. */
    synchronized void found(Finding finding) {
        seen.add(finding);
    }

    synchronized void down(int relay, Span span) {
        down.computeIfAbsent(relay, r -> new ArrayList<>()).add(span);
    }

    synchronized void dead(int relay, Span span) {
        dead.computeIfAbsent(relay, r -> new ArrayList<>()).add(span);
    }

    synchronized void troubled(int relay, Span span) {
        troubled.computeIfAbsent(relay, r -> new ArrayList<>()).add(span);
    }

    synchronized void cut(int relay, Span span) {
        cut.computeIfAbsent(relay, r -> new ArrayList<>()).add(span);
    }

    synchronized void crowded(int relay, Span span) {
        crowded.computeIfAbsent(relay, r -> new ArrayList<>()).add(span);
    }

    synchronized void outage(int endpoint, Span span) {
        outages.computeIfAbsent(endpoint, e -> new ArrayList<>()).add(span);
    }

    synchronized void capacity(int endpoint, double callsPerSecond) {
        capacities.put(endpoint, callsPerSecond);
    }

    synchronized void untold(int relay, Span span) {
        untold.computeIfAbsent(relay, r -> new ArrayList<>()).add(span);
    }

    synchronized void link(int endpoint, Span span) {
        links.computeIfAbsent(endpoint, e -> new ArrayList<>()).add(span);
    }

    synchronized void draining(int endpoint, Span span) {
        draining.computeIfAbsent(endpoint, e -> new ArrayList<>()).add(span);
    }

    synchronized List<Message> messages() {
        return List.copyOf(messages.values());
    }

    synchronized List<Call> calls() {
        return List.copyOf(calls);
    }

    synchronized List<BadPeer> badPeers() {
        return List.copyOf(badPeers);
    }

    synchronized List<Finding> seen() {
        return List.copyOf(seen);
    }

    synchronized List<Span> down(int relay) {
        return List.copyOf(down.getOrDefault(relay, List.of()));
    }

    synchronized List<Span> dead(int relay) {
        return List.copyOf(dead.getOrDefault(relay, List.of()));
    }

    synchronized List<Span> troubled(int relay) {
        return List.copyOf(troubled.getOrDefault(relay, List.of()));
    }

    synchronized List<Span> cut(int relay) {
        return List.copyOf(cut.getOrDefault(relay, List.of()));
    }

    synchronized List<Span> crowded(int relay) {
        return List.copyOf(crowded.getOrDefault(relay, List.of()));
    }

    synchronized Map<Integer, List<Span>> outages() {
        return Map.copyOf(outages);
    }

    synchronized Map<Integer, Double> capacities() {
        return Map.copyOf(capacities);
    }

    synchronized List<Span> untold(int relay) {
        return List.copyOf(untold.getOrDefault(relay, List.of()));
    }

    synchronized List<Span> links(int endpoint) {
        return List.copyOf(links.getOrDefault(endpoint, List.of()));
    }

    synchronized Map<Integer, List<Span>> draining() {
        return Map.copyOf(draining);
    }
}
