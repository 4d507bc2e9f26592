package wrenkeel.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Posts the ends of messages to the platform until it acknowledges them. Runs on one event loop. */
final class NoticeSender {
    private static final Logger LOG = LoggerFactory.getLogger(NoticeSender.class);
    /** ms between tries. */
    private static final long AGAIN = 100;
    private static final int NOTICES_MOST = 100;

    private final EventLoop loop;
    private final Supplier<NoticeConnection> connections;
    private final Consumer<Journal.Entry> whenNoticed;
    private final Map<Long, Journal.Entry> notices = new LinkedHashMap<>();
    private NoticeConnection connection;
    private boolean posting;
    /** The platform could not read one of them: each goes alone, so that it holds up no other. */
    private boolean singly;
    private boolean unheard;

    /** {@code connections} makes connections to the agent's present address. */
    NoticeSender(EventLoop loop, Supplier<NoticeConnection> connections, Consumer<Journal.Entry> whenNoticed) {
        this.loop = loop;
        this.connections = connections;
        this.whenNoticed = whenNoticed;
        this.connection = connections.get();
    }

    /** Posts the end of a message, again and again until the platform has it. */
    void add(Journal.Entry entry) {
        notices.put(entry.number, entry);
        if (!posting) {
            posting = true;
            loop.execute(this::post);
        }
    }

    /** True while a notice has not been acknowledged. */
    boolean hasPending() {
        return !notices.isEmpty();
    }

    /** The agent's address has changed: what is under way is posted again there. */
    void reconnect() {
        NoticeConnection old = connection;
        connection = connections.get();
        old.close();
    }

    private void post() {
        if (notices.isEmpty()) {
            posting = false;
            singly = false;
            return;
        }
        List<Journal.Entry> batch = notices.values().stream().limit(singly ? 1 : NOTICES_MOST).toList();
        connection.post(NoticeBody.of(batch), status -> answered(batch, status));
    }

    private void answered(List<Journal.Entry> batch, int status) {
        if (status == HttpResponseStatus.NO_CONTENT.code()) {
            unheard = false;
            for (Journal.Entry entry : batch) {
                notices.remove(entry.number);
                whenNoticed.accept(entry);
            }
            post();
            return;
        }
        if (!unheard) {
            LOG.warn("{} notices not acknowledged ({}), posted until they are", batch.size(),
                status == NoticeConnection.NO_ANSWER ? "no answer" : status);
        }
        unheard = true;
        if (status == HttpResponseStatus.BAD_REQUEST.code()) {
            singly = true;
            // Behind the others; it is still owed, and tried again.
            batch.forEach(entry -> notices.put(entry.number, notices.remove(entry.number)));
        }
        loop.schedule(this::post, AGAIN, TimeUnit.MILLISECONDS);
    }
}
