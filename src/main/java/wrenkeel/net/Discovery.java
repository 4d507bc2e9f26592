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
    private static final long SHORTEST_WAIT_MS = 1;
    /** How long a late answer to a post of notices is of use. */
    private static final long NOTICE_TIMEOUT_MS = 2_000;
    /** Doublings after which the gap has certainly reached its maximum. */
    private static final int MAX_DOUBLINGS = 10;

    private final EventLoop loop;
    private final long answerTimeoutMs;
    private final HostList hostList;
    /** Told what a list or its changes, taken in whole, have changed. */
    interface Listener {
        void onListChanged(HostList.Change change);
    }

    private final Listener listener;
    private final AgentConnection watch;
    private final NoticeSender notices;
    private InetSocketAddress agent;
    /** The next call for the list, while there is a gap before it; null at first. */
    private Future<?> nextCall;
    private boolean faultLogged;
    /** The latest call for the list was answered: only then may the next one wait. */
    private boolean lastCallAnswered;
    /** Lists that came and could not be taken in: since the start, and since the last that could. */
    private long faultCount, consecutiveFaults;

    Discovery(EventLoop loop, Bootstrap bootstrap, InetSocketAddress agent, HostList hostList,
              Listener listener, Consumer<Journal.Entry> onAcknowledged) {
        this(loop, bootstrap, agent, hostList, listener, onAcknowledged, ListTiming.ANSWER_TIMEOUT_MS);
    }

    /** {@code answerTimeoutMs}: how long the answer to a call for the list that need not wait is awaited. */
    Discovery(EventLoop loop, Bootstrap bootstrap, InetSocketAddress agent, HostList hostList,
              Listener listener, Consumer<Journal.Entry> onAcknowledged, long answerTimeoutMs) {
        this.answerTimeoutMs = answerTimeoutMs;
        this.loop = loop;
        this.hostList = hostList;
        this.listener = listener;
        this.watch = new AgentConnection(loop, bootstrap, agent, (int) ListTiming.CONNECT_TIMEOUT_MS);
        this.agent = agent;
        this.notices = new NoticeSender(loop, () -> new AgentNoticeConnection(bootstrap), onAcknowledged);
    }

    /**
     * Asks for what is newer than the list held; the next call follows the answer at once. The first call,
     * and those after one without an answer, do not wait: what the agent has binds already.
     */
    void watch() {
        long waitMs = lastCallAnswered ? WATCH_WAIT_MS : SHORTEST_WAIT_MS;
        String query = hostList.version() < 0 ? "" : "?after=" + hostList.version() + "&wait_ms=" + waitMs;
        long timeoutMs = lastCallAnswered ? WATCH_WAIT_MS + WATCH_SLACK_MS : answerTimeoutMs;
        watch.send(HttpMethod.GET, "/v1/servers" + query, "", timeoutMs, hostList::beginUpdate, this::handleResponse);
    }

    private void handleResponse(AgentConnection.Response response) {
        lastCallAnswered = false;
        long gapMs = ListTiming.RETRY_GAP_MS;
        try {
            if (response.listChange != null) {
                listener.onListChanged(response.listChange);
                faultLogged = false;
                lastCallAnswered = true;
                consecutiveFaults = 0;
                watch();
                return;
            }
            if (response.fault != null) {
                gapMs = faultGapMs(consecutiveFaults++, ThreadLocalRandom.current().nextDouble());
                faultCount++;
                logFault("discovery's list cannot be taken in: " + response.fault, null);
            } else {
                consecutiveFaults = 0;
                logFault("discovery answered " + (response.status == 0 ? "nothing" : response.status), null);
            }
        } catch (RuntimeException e) {
            // Guards the watch: it must go on whatever the list held.
            logFault("discovery's list could not be taken in", e);
        }
        nextCall = loop.schedule(this::watch, gapMs, TimeUnit.MILLISECONDS);
    }

    /** ms until the list is asked for again, after so many faults in a row before this one. */
    static long faultGapMs(long previousFaults, double random) {
        long maxGapMs = Math.min(ListTiming.MAX_FAULT_GAP_MS,
            ListTiming.FIRST_FAULT_GAP_MS << Math.min(previousFaults, MAX_DOUBLINGS));
        return previousFaults == 0 ? maxGapMs : (long) (maxGapMs * (1 - random / 2));
    }

    /** Lists that came and could not be taken in, since the start. */
    long faultCount() {
        return faultCount;
    }

    /** Takes in what the agent has written by now. */
    void readAvailable() {
        watch.readAvailable();
    }

    /** Goes on at another address; what is under way at the old one is asked or posted there again. */
    void moveTo(InetSocketAddress agent) {
        if (agent.equals(this.agent)) {
            return;
        }
        this.agent = agent;
        watch.moveTo(agent);
        // A gap after faults of the old address binds nothing at the new one.
        consecutiveFaults = 0;
        if (nextCall != null && nextCall.cancel(false)) {
            watch();
        }
        notices.reconnect();
    }

    /** Once until the watch works again: it asks many times a second. */
    private void logFault(String fault, RuntimeException cause) {
        if (!faultLogged) {
            LOG.warn("{}; the list of version {} is kept", fault, hostList.version(), cause);
        }
        faultLogged = true;
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
    private final class AgentNoticeConnection implements NoticeConnection {
        private final AgentConnection connection;

        AgentNoticeConnection(Bootstrap bootstrap) {
            connection = new AgentConnection(loop, bootstrap, agent, (int) NOTICE_TIMEOUT_MS);
        }

        @Override
        public void post(String body, IntConsumer onStatus) {
            connection.send(HttpMethod.POST, "/reports", body, NOTICE_TIMEOUT_MS, null,
                response -> onStatus.accept(response.status));
        }

        @Override
        public void close() {
            connection.close();
        }
    }
}
