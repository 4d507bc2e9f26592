package wrenkeel.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The platform's agent: watches the list of hosts and posts notices. One thread. */
final class Discovery {
    private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);
    static final long WATCH_WAIT_MS = ListTiming.WATCH_WAIT_MS;
    static final long WATCH_SLACK_MS = ListTiming.WATCH_SLACK_MS;
    /** The shortest wait, of which an answer is had at once. */
    private static final long AT_ONCE_MS = 1;
    /** How long a late answer to a post of notices is of use. */
    private static final long NOTICE_TIMEOUT_MS = 2_000;
    /** Doublings after which the gap has certainly reached its maximum. */
    private static final int MAX_DOUBLINGS = 10;

    private final EventLoop loop;
    private final long answerTimeoutMs;
    private final HostList hosts;
    /** Told what a list or its changes, taken in whole, have changed. */
    interface Listener {
        void onListChanged(HostList.Change change);
    }

    private final Listener whenListed;
    private final AgentConnection watch;
    private final NoticeSender notices;
    private InetSocketAddress agent;
    /** The next call for the list, while there is a gap before it; null at first. */
    private Future<?> next;
    private boolean silent;
    /** The latest call for the list was answered: only then may the next one wait. */
    private boolean current;
    /** Lists that came and could not be taken in: since the start, and since the last that could. */
    private long faults, faultsInARow;

    Discovery(EventLoop loop, Bootstrap bootstrap, InetSocketAddress agent, HostList hosts,
              Listener whenListed, Consumer<Journal.Entry> whenNoticed) {
        this(loop, bootstrap, agent, hosts, whenListed, whenNoticed, ListTiming.ANSWER_TIMEOUT_MS);
    }

    /** {@code answerTimeoutMs}: how long the answer to a call for the list that need not wait is awaited. */
    Discovery(EventLoop loop, Bootstrap bootstrap, InetSocketAddress agent, HostList hosts,
              Listener whenListed, Consumer<Journal.Entry> whenNoticed, long answerTimeoutMs) {
        this.answerTimeoutMs = answerTimeoutMs;
        this.loop = loop;
        this.hosts = hosts;
        this.whenListed = whenListed;
        this.watch = new AgentConnection(loop, bootstrap, agent, (int) ListTiming.CONNECT_TIMEOUT_MS);
        this.agent = agent;
        this.notices = new NoticeSender(loop, () -> new NoticePost(bootstrap), whenNoticed);
    }

    /**
     * Asks for what is newer than the list held; the next call follows the answer at once. The first call,
     * and those after one without an answer, do not wait: what the agent has binds already.
     */
    void watch() {
        long wait = current ? WATCH_WAIT_MS : AT_ONCE_MS;
        String query = hosts.version() < 0 ? "" : "?after=" + hosts.version() + "&wait_ms=" + wait;
        long patience = current ? WATCH_WAIT_MS + WATCH_SLACK_MS : answerTimeoutMs;
        watch.send(HttpMethod.GET, "/v1/servers" + query, "", patience, hosts::beginUpdate, this::answered);
    }

    private void answered(AgentConnection.Response answer) {
        current = false;
        long gap = ListTiming.RETRY_GAP_MS;
        try {
            if (answer.listChange != null) {
                whenListed.onListChanged(answer.listChange);
                silent = false;
                current = true;
                faultsInARow = 0;
                watch();
                return;
            }
            if (answer.fault != null) {
                gap = faultGapMs(faultsInARow++, ThreadLocalRandom.current().nextDouble());
                faults++;
                complain("discovery's list cannot be taken in: " + answer.fault, null);
            } else {
                faultsInARow = 0;
                complain("discovery answered " + (answer.status == 0 ? "nothing" : answer.status), null);
            }
        } catch (RuntimeException e) {
            // Guards the watch: it must go on whatever the list held.
            complain("discovery's list could not be taken in", e);
        }
        next = loop.schedule(this::watch, gap, TimeUnit.MILLISECONDS);
    }

    /** ms until the list is asked for again, after so many faults in a row before this one. */
    static long faultGapMs(long before, double random) {
        long most = Math.min(ListTiming.MAX_FAULT_GAP_MS,
            ListTiming.FIRST_FAULT_GAP_MS << Math.min(before, MAX_DOUBLINGS));
        return before == 0 ? most : (long) (most * (1 - random / 2));
    }

    /** Lists that came and could not be taken in, since the start. */
    long faultCount() {
        return faults;
    }

    /** Takes in what the agent has written by now. */
    void readAvailable() {
        watch.readNow();
    }

    /** Goes on at another address; what is under way at the old one is asked or posted there again. */
    void moveTo(InetSocketAddress agent) {
        if (agent.equals(this.agent)) {
            return;
        }
        this.agent = agent;
        watch.moveTo(agent);
        // A gap after faults of the old address binds nothing at the new one.
        faultsInARow = 0;
        if (next != null && next.cancel(false)) {
            watch();
        }
        notices.reconnect();
    }

    /** Once until the watch works again: it asks many times a second. */
    private void complain(String fault, RuntimeException cause) {
        if (!silent) {
            LOG.warn("{}; the list of version {} is kept", fault, hosts.version(), cause);
        }
        silent = true;
    }

    /** Posts the end of a message, again and again until the platform has it. */
    void postNotice(Journal.Entry entry) {
        notices.add(entry);
    }

    /** True while a call for the list is under way, false in a gap before one. */
    boolean isCallPending() {
        return watch.isBusy();
    }

    boolean hasPendingNotices() {
        return notices.hasPending();
    }

    /** Posts notices over a kept connection to the agent's address of now. */
    private final class NoticePost implements NoticeConnection {
        private final AgentConnection connection;

        NoticePost(Bootstrap bootstrap) {
            connection = new AgentConnection(loop, bootstrap, agent, (int) NOTICE_TIMEOUT_MS);
        }

        @Override
        public void post(String body, IntConsumer whenAnswered) {
            connection.send(HttpMethod.POST, "/reports", body, NOTICE_TIMEOUT_MS, null,
                answer -> whenAnswered.accept(answer.status));
        }

        @Override
        public void close() {
            connection.close();
        }
    }
}
