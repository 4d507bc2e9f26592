package wrenkeel.net;

import io.netty.channel.Channel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/** The connections to one server, at most so many of them. One thread. */
final class Callers {
    private int most;
    private final Set<Channel> all = new HashSet<>();
    /** Those with no request that awaits its answer, the one quiet for the longest first. */
    private final Set<Channel> quiet = new LinkedHashSet<>();
    /** Those that have had their last response and wait for the peer to close, the first to do so first. */
    private final Set<Channel> lingering = new LinkedHashSet<>();

    Callers(int most) {
        this.most = most;
    }

    /** From now on so many; the quietest beyond that leave. */
    void allow(int connections) {
        most = connections;
        while (all.size() > most && (!lingering.isEmpty() || !quiet.isEmpty())) {
            giveWay(firstToLeave());
        }
    }

    private Channel firstToLeave() {
        return (lingering.isEmpty() ? quiet : lingering).iterator().next();
    }

    /** Its end is only told later, and the next newcomer must not count on its place again. */
    private void giveWay(Channel channel) {
        gone(channel);
        LingeringClose.closeNow(channel);
    }

    /**
     * One more has connected. When all places are taken, one that lingers gives way, else the one quiet for
     * the longest: a crowd that only holds connections must not keep out who has something to say.
     */
    void connected(Channel channel) {
        if (all.size() >= most) {
            giveWay(lingering.isEmpty() && quiet.isEmpty() ? channel : firstToLeave());
        }
        if (channel.isActive()) {
            all.add(channel);
        }
    }

    /** It has had its last response and is only kept until its peer has read that. */
    void lingering(Channel channel) {
        quiet.remove(channel);
        if (all.contains(channel)) {
            lingering.add(channel);
        }
    }

    void gone(Channel channel) {
        all.remove(channel);
        quiet.remove(channel);
        lingering.remove(channel);
    }

    /** It owes the next request, or more of it. */
    void awaited(Channel channel) {
        quiet.remove(channel);
        if (all.contains(channel)) {
            quiet.add(channel);
        }
    }

    /** It has sent bytes. */
    void heard(Channel channel) {
        if (quiet.remove(channel)) {
            quiet.add(channel);
        }
    }

    /** Its request is whole and must have its answer. */
    void asked(Channel channel) {
        quiet.remove(channel);
    }

    int size() {
        return all.size();
    }
}
