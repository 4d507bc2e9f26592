package wrenkeel.net;

import io.netty.channel.Channel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The connections to one server, at most so many of them, and which gives way when all places are taken: one
 * that only lingers, else one that has brought nothing since it connected or was last answered, else one
 * whose first request is incomplete. None of the latter two is closed before its socket has been read dry,
 * and no connection that has brought a whole request is closed within the next. One thread.
 */
final class ConnectionLimiter {
    private int maxConnections;
    private final Set<Channel> all = new HashSet<>();
    /** Those that have brought a whole request. */
    private final Set<Channel> completedRequest = new HashSet<>();
    /** Those that have brought nothing since they connected or were last answered, the longest so first. */
    private final Set<Channel> withoutBytes = new LinkedHashSet<>();
    /** Those that have brought part of a request, the one that brought nothing for the longest first. */
    private final Set<Channel> withPartialRequest = new LinkedHashSet<>();
    /** Those that have had their last response and wait for the peer to close, the longest so first. */
    private final Set<Channel> lingering = new LinkedHashSet<>();

    ConnectionLimiter(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** From now on so many; of those beyond that, the ones that may be closed leave. */
    void setMaxConnections(int max) {
        maxConnections = max;
        Channel evicted = all.size() > maxConnections ? nextToClose() : null;
        while (evicted != null) {
            evict(evicted);
            evicted = all.size() > maxConnections ? nextToClose() : null;
        }
    }

    /**
     * One more has connected. When all places are taken, another gives way, for a crowd that only holds
     * connections must not keep out who has something to say; if none may be closed, the newcomer leaves.
     */
    void connected(Channel channel) {
        if (all.size() >= maxConnections) {
            Channel evicted = nextToClose();
            evict(evicted == null ? channel : evicted);
        }
        if (channel.isActive()) {
            all.add(channel);
        }
    }

    /** The connection to close for a newcomer; null if none may be closed. */
    private Channel nextToClose() {
        if (!lingering.isEmpty()) {
            return lingering.iterator().next();
        }
        Channel evicted = firstWithoutUnreadBytes(withoutBytes, channel -> true);
        return evicted != null ? evicted : firstWithoutUnreadBytes(withPartialRequest, channel -> !completedRequest.contains(channel));
    }

    /** The first of these whose socket holds no unread bytes; what the others' hold is read. */
    private static Channel firstWithoutUnreadBytes(Set<Channel> candidates, Predicate<Channel> mayLeave) {
        for (Channel channel : List.copyOf(candidates)) {
            if (candidates.contains(channel) && mayLeave.test(channel) && !SocketReader.readNow(channel)) {
                return channel;
            }
        }
        return null;
    }

    /** Its end is only told later, and the next newcomer must not count on its place again. */
    private void evict(Channel channel) {
        disconnected(channel);
        LingeringClose.closeNow(channel);
    }

    void disconnected(Channel channel) {
        all.remove(channel);
        completedRequest.remove(channel);
        removeState(channel);
    }

    private void removeState(Channel channel) {
        withoutBytes.remove(channel);
        withPartialRequest.remove(channel);
        lingering.remove(channel);
    }

    private void setState(Channel channel, Set<Channel> channelsInState) {
        removeState(channel);
        if (all.contains(channel)) {
            channelsInState.add(channel);
        }
    }

    /** It has connected or been answered, and owes the next request. */
    void awaitingRequest(Channel channel) {
        setState(channel, withoutBytes);
    }

    /** It has sent bytes. */
    void bytesReceived(Channel channel) {
        if (withoutBytes.contains(channel) || withPartialRequest.contains(channel)) {
            setState(channel, withPartialRequest);
        }
    }

    /** Its request is whole and must have its answer. */
    void requestReceived(Channel channel) {
        removeState(channel);
        if (all.contains(channel)) {
            completedRequest.add(channel);
        }
    }

    /** It has had its last response and is only kept until its peer has read that. */
    void startedLingering(Channel channel) {
        setState(channel, lingering);
    }

    int size() {
        return all.size();
    }
}
