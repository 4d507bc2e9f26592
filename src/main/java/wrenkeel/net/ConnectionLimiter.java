package wrenkeel.net;

import io.netty.channel.Channel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Limits the connections to one server. At the limit, a new connection evicts another one: first one that
 * only lingers after its last response, then one that has sent nothing since it connected or was last
 * answered, then one whose first request is incomplete. A connection of the latter two kinds is evicted only
 * if its socket holds no unread bytes, and one that has sent a whole request is never evicted while it sends
 * the next. Not thread-safe.
 */
final class ConnectionLimiter {
    private int maxConnections;
    /** All open connections. */
    private final Set<Channel> all = new HashSet<>();
    /** Connections that have sent at least one whole request. */
    private final Set<Channel> withCompletedRequest = new HashSet<>();
    /** Connections that have sent nothing since they connected or were last answered, longest first. */
    private final Set<Channel> withoutBytes = new LinkedHashSet<>();
    /** Connections that have sent part of a request, the one without new bytes for the longest first. */
    private final Set<Channel> withPartialRequest = new LinkedHashSet<>();
    /** Connections whose last response is sent and whose peer has yet to close them, longest first. */
    private final Set<Channel> lingering = new LinkedHashSet<>();

    ConnectionLimiter(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Changes the limit and closes connections above it, as far as they may be evicted. */
    void setMaxConnections(int max) {
        maxConnections = max;
        Channel evicted = all.size() > maxConnections ? nextToEvict() : null;
        while (evicted != null) {
            evict(evicted);
            evicted = all.size() > maxConnections ? nextToEvict() : null;
        }
    }

    /**
     * Adds a new connection. At the limit it evicts another one, since many clients that only hold
     * connections must not keep out one that has a request; if no other may be evicted, the new connection is
     * closed.
     */
    void connected(Channel channel) {
        if (all.size() >= maxConnections) {
            Channel evicted = nextToEvict();
            evict(evicted == null ? channel : evicted);
        }
        if (channel.isActive()) {
            all.add(channel);
        }
    }

    /** Returns the connection to evict next; null if none may be evicted. */
    private Channel nextToEvict() {
        if (!lingering.isEmpty()) {
            return lingering.iterator().next();
        }
        Channel evicted = firstWithoutUnreadBytes(withoutBytes, channel -> true);
        return evicted != null ? evicted
            : firstWithoutUnreadBytes(withPartialRequest, channel -> !withCompletedRequest.contains(channel));
    }

    /**
     * Returns the first evictable candidate whose socket holds no unread bytes, and reads the unread bytes of
     * those before it.
     */
    private static Channel firstWithoutUnreadBytes(Set<Channel> candidates, Predicate<Channel> evictable) {
        for (Channel channel : List.copyOf(candidates)) {
            if (candidates.contains(channel) && evictable.test(channel) && !SocketReader.readNow(channel)) {
                return channel;
            }
        }
        return null;
    }

    /**
     * Closes a connection and removes it at once: the notification of its end comes later, and until then the
     * next new connection could evict it once more, which frees no place.
     */
    private void evict(Channel channel) {
        disconnected(channel);
        LingeringClose.closeNow(channel);
    }

    /**
     * Removes, from those that may be evicted, the connection with an incomplete request that has sent no
     * bytes for the longest; returns null if there is none.
     */
    Channel takeLongestPartialRequest() {
        Channel longest = withPartialRequest.isEmpty() ? null : withPartialRequest.iterator().next();
        withPartialRequest.remove(longest);
        return longest;
    }

    /** A connection has ended. */
    void disconnected(Channel channel) {
        all.remove(channel);
        withCompletedRequest.remove(channel);
        removeState(channel);
    }

    private void removeState(Channel channel) {
        withoutBytes.remove(channel);
        withPartialRequest.remove(channel);
        lingering.remove(channel);
    }

    /** Moves a connection to the end of one of the sets by state, and out of the others. */
    private void setState(Channel channel, Set<Channel> channelsInState) {
        removeState(channel);
        if (all.contains(channel)) {
            channelsInState.add(channel);
        }
    }

    /** A connection was opened or answered, and its next request is awaited. */
    void awaitingRequest(Channel channel) {
        setState(channel, withoutBytes);
    }

    /** A connection has sent bytes. */
    void bytesReceived(Channel channel) {
        if (withoutBytes.contains(channel) || withPartialRequest.contains(channel)) {
            setState(channel, withPartialRequest);
        }
    }

    /** A connection has sent a whole request: it must not be evicted before the response. */
    void requestReceived(Channel channel) {
        removeState(channel);
        if (all.contains(channel)) {
            withCompletedRequest.add(channel);
        }
    }

    /** A connection's last response is sent; it stays open only until its peer has read that. */
    void startedLingering(Channel channel) {
        setState(channel, lingering);
    }

    /** Returns the number of open connections. */
    int size() {
        return all.size();
    }
}
