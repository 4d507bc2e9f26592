package wrenkeel.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The platform's agent: watches the list of hosts and posts notices. One thread. */
final class Discovery {
    private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);
    private static final JsonFactory JSON = new JsonFactory();
    /**
     * ms; how long a watch may wait, and how long past that its answer is awaited. What a silent watch
     * misses counts as told 6 s after it fell silent: by then the list has been asked for anew, with time
     * left to stop sending.
     */
    static final long WAIT = 4_000, WAIT_SLACK = 1_000;
    /** ms; the shortest wait, of which an answer is had at once, and how long that answer is awaited. */
    private static final long AT_ONCE = 1, AT_ONCE_PATIENCE = 500;
    /** ms; a notice not acknowledged within this is posted again; gap between tries of either sort. */
    private static final long NOTICE_PATIENCE = 2_000, AGAIN = 100;
    /**
     * ms; gap after a list that came and could not be taken in: doubled each time up to the most, a random
     * part of it taken off. With the calls themselves it stays inside the 6 s after which a change is told.
     */
    static final long FAULT_GAP = 100, FAULT_GAP_MOST = 4_000;
    private static final int CONNECT_TIMEOUT = (int) NOTICE_PATIENCE;
    private static final int NOTICES_MOST = 100;

    private final EventLoop loop;
    private final HostList hosts;
    /** Told what a list or its changes, taken in whole, have changed. */
    interface Listener {
        void listed(HostList.Change change);
    }

    private final Listener whenListed;
    private final Consumer<Journal.Entry> whenNoticed;
    private final AgentConnection watch;
    private final AgentConnection reports;
    private final Map<Long, Journal.Entry> notices = new LinkedHashMap<>();
    private boolean posting;
    /** The platform could not read one of them: each goes alone, so that it holds up no other. */
    private boolean singly;
    private boolean silent;
    /** The latest call for the list was answered: only then may the next one wait. */
    private boolean current;
    private boolean unheard;
    /** Lists that came and could not be taken in: since the start, and since the last that could. */
    private long faults, faultsInARow;

    Discovery(EventLoop loop, Bootstrap bootstrap, InetSocketAddress agent, HostList hosts,
              Listener whenListed, Consumer<Journal.Entry> whenNoticed) {
        this.loop = loop;
        this.hosts = hosts;
        this.whenListed = whenListed;
        this.whenNoticed = whenNoticed;
        this.watch = new AgentConnection(loop, bootstrap, agent, CONNECT_TIMEOUT);
        this.reports = new AgentConnection(loop, bootstrap, agent, CONNECT_TIMEOUT);
    }

    /**
     * Asks for what is newer than the list held; the next call follows the answer at once. The first call,
     * and those after one without an answer, do not wait: what the agent has binds already.
     */
    void watch() {
        long wait = current ? WAIT : AT_ONCE;
        String query = hosts.version() < 0 ? "" : "?after=" + hosts.version() + "&wait_ms=" + wait;
        long patience = current ? WAIT + WAIT_SLACK : AT_ONCE_PATIENCE;
        watch.ask(HttpMethod.GET, "/v1/servers" + query, "", patience, hosts::read, this::answered);
    }

    private void answered(AgentConnection.Answer answer) {
        current = false;
        long gap = AGAIN;
        try {
            if (answer.list != null) {
                whenListed.listed(answer.list);
                silent = false;
                current = true;
                faultsInARow = 0;
                watch();
                return;
            }
            if (answer.fault != null) {
                gap = gap(faultsInARow++, ThreadLocalRandom.current().nextDouble());
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
        loop.schedule(this::watch, gap, TimeUnit.MILLISECONDS);
    }

    /** ms until the list is asked for again, after so many faults in a row before this one. */
    static long gap(long before, double random) {
        long most = Math.min(FAULT_GAP_MOST, FAULT_GAP << Math.min(before, 10));
        return before == 0 ? most : (long) (most * (1 - random / 2));
    }

    /** Lists that came and could not be taken in, since the start. */
    long faults() {
        return faults;
    }

    /** Goes on at another address; what is under way at the old one is asked or posted there again. */
    void moveTo(InetSocketAddress agent) {
        if (watch.isTo(agent)) {
            return;
        }
        watch.moveTo(agent);
        reports.moveTo(agent);
    }

    /** Once until the watch works again: it asks many times a second. */
    private void complain(String fault, RuntimeException cause) {
        if (!silent) {
            LOG.warn("{}; the list of version {} is kept", fault, hosts.version(), cause);
        }
        silent = true;
    }

    /** Posts the end of a message, again and again until the platform has it. */
    void notice(Journal.Entry entry) {
        notices.put(entry.number, entry);
        if (!posting) {
            posting = true;
            loop.execute(this::post);
        }
    }

    boolean noticesLeft() {
        return !notices.isEmpty();
    }

    private void post() {
        if (notices.isEmpty()) {
            posting = false;
            singly = false;
            return;
        }
        List<Journal.Entry> batch = notices.values().stream().limit(singly ? 1 : NOTICES_MOST).toList();
        reports.ask(HttpMethod.POST, "/reports", lines(batch), NOTICE_PATIENCE, null, answer -> {
            if (answer.status == 204) {
                unheard = false;
                for (Journal.Entry entry : batch) {
                    notices.remove(entry.number);
                    whenNoticed.accept(entry);
                }
                post();
            } else {
                if (!unheard) {
                    LOG.warn("{} notices not acknowledged ({}), posted until they are", batch.size(),
                        answer.status == 0 ? "no answer" : answer.status);
                }
                unheard = true;
                if (answer.status == 400) {
                    singly = true;
                    // Behind the others; it is still owed, and tried again.
                    batch.forEach(entry -> notices.put(entry.number, notices.remove(entry.number)));
                }
                loop.schedule(this::post, AGAIN, TimeUnit.MILLISECONDS);
            }
        });
    }

    static String lines(List<Journal.Entry> batch) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.setRootValueSeparator(null);
            for (Journal.Entry entry : batch) {
                out.writeStartObject();
                out.writeStringField("message", entry.message.id());
                out.writeStringField("outcome", entry.end.handedBack() ? "handed_back" : "given_up");
                if (entry.end.handedBack() && entry.end.retryAfter() > 0) {
                    out.writeNumberField("retry_in_ms", (entry.end.retryAfter() + 999) / 1_000);
                }
                out.writeEndObject();
                out.writeRaw('\n');
            }
        } catch (IOException e) {
            throw new IllegalStateException("a string cannot fail to be written", e);
        }
        return text.toString();
    }
}
