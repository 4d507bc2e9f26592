package wrenkeel.net;

import io.netty.channel.Channel;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** The connections to one server, at most so many of them. One thread. */
final class Callers {
    private int most;
    private final Set<Channel> all = new HashSet<>();
    /** Those with no request that awaits its answer, the one quiet for the longest first. */
    private final Set<Channel> quiet = new LinkedHashSet<>();

    Callers(int most) {
        this.most = most;
    }

    /** From now on so many; the quietest beyond that leave. */
    void allow(int connections) {
        most = connections;
        while (all.size() > most && !quiet.isEmpty()) {
            Channel leaves = quiet.iterator().next();
            gone(leaves);
            leaves.close();
        }
    }

    /**
     * One more has connected. When all places are taken, the one quiet for the longest gives way:
     * a crowd that only holds connections must not keep out who has something to say.
     */
    void connected(Channel channel) {
        if (all.size() >= most) {
            Iterator<Channel> longest = quiet.iterator();
            Channel leaves = longest.hasNext() ? longest.next() : channel;
            // At once: its end is only told later, and the next newcomer must not count on it again.
            gone(leaves);
            leaves.close();
        }
        if (channel.isActive()) {
            all.add(channel);
        }
    }

    void gone(Channel channel) {
        all.remove(channel);
        quiet.remove(channel);
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
