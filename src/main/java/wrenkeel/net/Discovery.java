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

/**
 * The client of the local discovery agent: watches the list of hosts by long polling, and posts notices. Not
 * thread-safe: all methods run on the event loop.
 */
final class Discovery {
    private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);
    /** How long a watch asks the agent to wait for a change. */
    static final long WATCH_WAIT_MS = ListTiming.WATCH_WAIT_MS;
    /** How long after that wait the response may come. */
    static final long WATCH_SLACK_MS = ListTiming.WATCH_SLACK_MS;
    /** The shortest wait that can be requested: the agent responds at once. */
    private static final long SHORTEST_WAIT_MS = 1;
    /** How long the response to a post of notices is awaited: a late one still acknowledges them. */
    private static final long NOTICE_TIMEOUT_MS = 2_000;
    /** Number of doublings after which the gap has reached its maximum. */
    private static final int MAX_DOUBLINGS = 10;

    private final EventLoop loop;
    private final long responseTimeoutMs;
    private final HostList hostList;
    /** Is notified of each update of the list after it has been applied. */
    interface Listener {
        void onListChanged(HostList.Change change);
    }

    private final Listener listener;
    private final AgentConnection listConnection;
    private final NoticeSender notices;
    private InetSocketAddress agent;
    /** Where the agent may be as well; null if that is known, as after the first list. */
    private InetSocketAddress otherAddress;
    /** The latest scheduled call for the list; null before the first. */
    private Future<?> nextCall;
    /** A fault has been logged since the last success. */
    private boolean faultLogged;
    /** The latest call for the list returned one: only then may the next call wait for a change. */
    private boolean lastCallReturnedList;
    /** Number of lists rejected since the start. */
    private long faultCount;
    /** Number of calls in a row whose list was rejected. */
    private long consecutiveFaults;

    /** {@code onAcknowledged} receives each entry whose notice the platform has acknowledged. */
    Discovery(EventLoop loop, Bootstrap bootstrap, InetSocketAddress agent, HostList hostList,
              Listener listener, Consumer<Journal.Entry> onAcknowledged) {
        this(loop, bootstrap, agent, hostList, listener, onAcknowledged, ListTiming.RESPONSE_TIMEOUT_MS);
    }

    /** {@code responseTimeoutMs} is the timeout of calls for the list that don't wait for a change. */
    Discovery(EventLoop loop, Bootstrap bootstrap, InetSocketAddress agent, HostList hostList,
              Listener listener, Consumer<Journal.Entry> onAcknowledged, long responseTimeoutMs) {
        this.responseTimeoutMs = responseTimeoutMs;
        this.loop = loop;
        this.hostList = hostList;
        this.listener = listener;
        this.listConnection =
            new AgentConnection(loop, bootstrap, agent, (int) ListTiming.CONNECT_TIMEOUT_MS);
        this.agent = agent;
        this.notices = new NoticeSender(loop, () -> new AgentNoticeConnection(bootstrap), onAcknowledged);
    }

    /**
     * Requests what is newer than the current list; the next call follows as soon as a list has been
     * received. The first call, and a call after a failed one, don't wait for a change: the relay is already
     * bound by what the agent has.
     */
    void watch() {
        long waitMs = lastCallReturnedList ? WATCH_WAIT_MS : SHORTEST_WAIT_MS;
        String query = hostList.version() < 0 ? "" : "?after=" + hostList.version() + "&wait_ms=" + waitMs;
        long timeoutMs = lastCallReturnedList ? WATCH_WAIT_MS + WATCH_SLACK_MS : responseTimeoutMs;
        listConnection.send(HttpMethod.GET, "/v1/servers" + query, "", timeoutMs, hostList::beginUpdate,
            this::handleResponse);
    }

    private void handleResponse(AgentConnection.Response response) {
        lastCallReturnedList = false;
        long gapMs = ListTiming.RETRY_GAP_MS;
        try {
            if (response.listChange != null) {
                listener.onListChanged(response.listChange);
                faultLogged = false;
                lastCallReturnedList = true;
                consecutiveFaults = 0;
                otherAddress = null;
                watch();
                return;
            }
            if (response.fault != null) {
                gapMs = faultGapMs(consecutiveFaults++, ThreadLocalRandom.current().nextDouble());
                faultCount++;
                logFault("list from discovery rejected: " + response.fault, null);
            } else {
                consecutiveFaults = 0;
                logFault("no list from discovery, HTTP status "
                    + (response.status == 0 ? "none" : response.status), null);
                if (response.status == 0) {
                    useOtherAddress();
                }
            }
        } catch (RuntimeException e) {
            // The watch must go on whatever the list contains.
            logFault("list from discovery could not be processed", e);
        }
        nextCall = loop.schedule(this::watch, gapMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Time until the list is requested again after one that was rejected: exponential backoff with jitter.
     *
     * @param previousFaults number of consecutive faults before this one
     * @param random a random number from 0 to 1
     */
    static long faultGapMs(long previousFaults, double random) {
        long maxGapMs = Math.min(ListTiming.MAX_FAULT_GAP_MS,
            ListTiming.FIRST_FAULT_GAP_MS << Math.min(previousFaults, MAX_DOUBLINGS));
        return previousFaults == 0 ? maxGapMs : (long) (maxGapMs * (1 - random / 2));
    }

    /** The number of lists rejected since the start. */
    long faultCount() {
        return faultCount;
    }

    /** Reads and applies what the agent has already sent. */
    void readAvailable() {
        listConnection.readAvailable();
    }

    /** Changes the agent's address. Calls and posts in progress are repeated at the new address. */
    void moveTo(InetSocketAddress agent) {
        otherAddress = null;
        if (agent.equals(this.agent)) {
            return;
        }
        useAddress(agent);
        // The backoff after faults at the old address doesn't apply to the new one.
        consecutiveFaults = 0;
        if (nextCall != null && nextCall.cancel(false)) {
            watch();
        }
    }

    /**
     * Names a second address at which the agent may be. Until one of both has returned a list, the address
     * changes after each call without a response.
     */
    void tryAlso(InetSocketAddress other) {
        otherAddress = other;
    }

    private void useAddress(InetSocketAddress address) {
        agent = address;
        listConnection.moveTo(address);
        notices.reconnect();
    }

    /** Changes to the other address that the agent may have, if there is one. */
    private void useOtherAddress() {
        if (otherAddress != null) {
            InetSocketAddress next = otherAddress;
            otherAddress = agent;
            LOG.warn("no response from discovery at {}, trying {}", agent, next);
            useAddress(next);
        }
    }

    /** Logs the first fault after a success only: there may be many calls a second. */
    private void logFault(String fault, RuntimeException cause) {
        if (!faultLogged) {
            LOG.warn("{}; keeping list version {}", fault, hostList.version(), cause);
        }
        faultLogged = true;
    }

    /** Posts the end of a message, repeatedly until the platform acknowledges it. */
    void postNotice(Journal.Entry entry) {
        notices.add(entry);
    }

    /** True while a call for the list is in progress, false during the gap before the next one. */
    boolean isCallPending() {
        return listConnection.isBusy();
    }

    /** True while a notice has not been acknowledged. */
    boolean hasPendingNotices() {
        return notices.hasPending();
    }

    /** A connection for notices to the agent's address at the time of its creation. */
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
