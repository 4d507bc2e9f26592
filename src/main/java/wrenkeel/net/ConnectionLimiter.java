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
    private int most;
    private final Set<Channel> all = new HashSet<>();
    /** Those that have brought a whole request. */
    private final Set<Channel> served = new HashSet<>();
    /** Those that have brought nothing since they connected or were last answered, the longest so first. */
    private final Set<Channel> silent = new LinkedHashSet<>();
    /** Those that have brought part of a request, the one that brought nothing for the longest first. */
    private final Set<Channel> partial = new LinkedHashSet<>();
    /** Those that have had their last response and wait for the peer to close, the longest so first. */
    private final Set<Channel> lingering = new LinkedHashSet<>();

    ConnectionLimiter(int most) {
        this.most = most;
    }

    /** From now on so many; of those beyond that, the ones that may be closed leave. */
    void allow(int connections) {
        most = connections;
        Channel leaves = all.size() > most ? nextToLeave() : null;
        while (leaves != null) {
            giveWay(leaves);
            leaves = all.size() > most ? nextToLeave() : null;
        }
    }

    /**
     * One more has connected. When all places are taken, another gives way, for a crowd that only holds
     * connections must not keep out who has something to say; if none may be closed, the newcomer leaves.
     */
    void connected(Channel channel) {
        if (all.size() >= most) {
            Channel leaves = nextToLeave();
            giveWay(leaves == null ? channel : leaves);
        }
        if (channel.isActive()) {
            all.add(channel);
        }
    }

    /** The connection to close for a newcomer; null if none may be closed. */
    private Channel nextToLeave() {
        if (!lingering.isEmpty()) {
            return lingering.iterator().next();
        }
        Channel leaves = firstReadDry(silent, channel -> true);
        return leaves != null ? leaves : firstReadDry(partial, channel -> !served.contains(channel));
    }

    /** The first of these whose socket holds no unread bytes; what the others' hold is read. */
    private static Channel firstReadDry(Set<Channel> candidates, Predicate<Channel> mayLeave) {
        for (Channel channel : List.copyOf(candidates)) {
            if (candidates.contains(channel) && mayLeave.test(channel) && !SocketReader.readNow(channel)) {
                return channel;
            }
        }
        return null;
    }

    /** Its end is only told later, and the next newcomer must not count on its place again. */
    private void giveWay(Channel channel) {
        gone(channel);
        LingeringClose.closeNow(channel);
    }

    void gone(Channel channel) {
        all.remove(channel);
        served.remove(channel);
        removeStanding(channel);
    }

    private void removeStanding(Channel channel) {
        silent.remove(channel);
        partial.remove(channel);
        lingering.remove(channel);
    }

    private void stand(Channel channel, Set<Channel> standing) {
        removeStanding(channel);
        if (all.contains(channel)) {
            standing.add(channel);
        }
    }

    /** It has connected or been answered, and owes the next request. */
    void awaited(Channel channel) {
        stand(channel, silent);
    }

    /** It has sent bytes. */
    void heard(Channel channel) {
        if (silent.contains(channel) || partial.contains(channel)) {
            stand(channel, partial);
        }
    }

    /** Its request is whole and must have its answer. */
    void asked(Channel channel) {
        removeStanding(channel);
        if (all.contains(channel)) {
            served.add(channel);
        }
    }

    /** It has had its last response and is only kept until its peer has read that. */
    void lingering(Channel channel) {
        stand(channel, lingering);
    }

    int size() {
        return all.size();
    }
}
