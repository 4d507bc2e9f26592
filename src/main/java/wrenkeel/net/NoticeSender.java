package wrenkeel.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Posts the ends of messages to the platform until it acknowledges them. Runs on one event loop.
 *
 * <p>A notice is due 350 ms after its message's deadline, and the end may be decided at the deadline. A post
 * that is not answered in time is therefore repeated on another connection: with one connection silent and
 * the next never coming up, the third try goes out {@code 3 * FIRST_RETRY_MS} (180 ms) after the decision.
 * The silent connection stays open for a while, because a late answer on it counts. Notices may arrive more
 * than once; the platform ignores a notice for a message that is over.
 */
final class NoticeSender {
    private static final Logger LOG = LoggerFactory.getLogger(NoticeSender.class);
    /** Time after which a post without an answer is repeated; doubled by each failure in a row. */
    private static final long FIRST_RETRY_MS = 60;
    private static final long MAX_RETRY_MS = 600;
    /** Gap before a notice that the platform could not read is tried again; doubled each time. */
    private static final long FIRST_REFUSAL_GAP_MS = 200;
    private static final long MAX_REFUSAL_GAP_MS = 10_000;
    /** Doublings after which either span has certainly reached its maximum. */
    private static final int MAX_DOUBLINGS = 10;
    private static final int MAX_CONNECTIONS = 3;
    private static final int MAX_BATCH_NOTICES = 100;
    /** The platform accepts bodies of 64 KiB. */
    private static final int MAX_BATCH_BYTES = 48 * 1024;

    /** The end of one message, not acknowledged yet. */
    private static final class Notice {
        final Journal.Entry entry;
        /** It was part of a post that the platform could not read: it goes alone, and holds up no other. */
        boolean alone;
        int refusals;

        Notice(Journal.Entry entry) {
            this.entry = entry;
        }

        long deadline() {
            return entry.message.deadline();
        }

        long number() {
            return entry.number;
        }
    }

    /** An open connection, and the post on it that has no answer yet; null while it is idle. */
    private static final class Link {
        final NoticeConnection connection;
        Post post;
        boolean reused;

        Link(NoticeConnection connection) {
            this.connection = connection;
        }

        /** Its post has been repeated elsewhere: only a late answer is still of use. */
        boolean isOverdue() {
            return post != null && post.settled;
        }
    }

    /** One try to deliver some notices. */
    private static final class Post {
        final long number;
        final List<Notice> notices;
        final Link link;
        /** Failures in a row before this post. */
        final int failuresBefore;
        Future<?> retry;
        /** It has been answered, or its notices go out again in another post. */
        boolean settled;

        Post(long number, List<Notice> notices, Link link, int failuresBefore) {
            this.number = number;
            this.notices = notices;
            this.link = link;
            this.failuresBefore = failuresBefore;
        }
    }

    private final EventLoop loop;
    private final Supplier<NoticeConnection> connections;
    private final Consumer<Journal.Entry> onAcknowledged;
    private final Map<Long, Notice> pending = new HashMap<>();
    /** Notices to be posted now, the nearest deadline first. */
    private final TreeSet<Notice> ready = new TreeSet<>(
        Comparator.comparingLong(Notice::deadline).thenComparingLong(Notice::number));
    /** All open connections, the one opened first in front; at most {@link #MAX_CONNECTIONS}. */
    private final List<Link> links = new ArrayList<>();
    /** Posts not settled; at most {@link #MAX_CONNECTIONS}. */
    private final Set<Post> posts = new LinkedHashSet<>();
    private long lastPost;
    private int failures;
    private boolean sendScheduled;
    private boolean failureLogged;

    /** {@code connections} opens connections to the agent's present address. */
    NoticeSender(EventLoop loop, Supplier<NoticeConnection> connections,
            Consumer<Journal.Entry> onAcknowledged) {
        this.loop = loop;
        this.connections = connections;
        this.onAcknowledged = onAcknowledged;
    }

    /** Posts the end of a message, again and again until the platform has it. */
    void add(Journal.Entry entry) {
        Notice notice = new Notice(entry);
        if (pending.putIfAbsent(entry.number, notice) == null) {
            ready.add(notice);
            scheduleSend();
        }
    }

    /** True while a notice has not been acknowledged. */
    boolean hasPending() {
        return !pending.isEmpty();
    }

    /** The agent's address has changed: all that is not acknowledged is posted there at once. */
    void reconnect() {
        List<Link> old = List.copyOf(links);
        links.clear();
        for (Post post : List.copyOf(posts)) {
            settle(post);
            ready.addAll(unacknowledged(post));
        }
        old.forEach(link -> link.connection.close());
        failures = 0;
        scheduleSend();
    }

    /** What else is decided in this turn joins the same post. */
    private void scheduleSend() {
        if (!sendScheduled) {
            sendScheduled = true;
            loop.execute(() -> {
                sendScheduled = false;
                sendReady();
            });
        }
    }

    private void sendReady() {
        while (!ready.isEmpty() && posts.size() < MAX_CONNECTIONS) {
            send(takeBatch(), takeLink());
        }
    }

    private List<Notice> takeBatch() {
        List<Notice> batch = new ArrayList<>();
        Notice first = ready.pollFirst();
        batch.add(first);
        int bytes = NoticeBody.maxLineBytes(first.entry);
        for (Notice notice : first.alone ? List.<Notice>of() : ready) {
            if (notice.alone) {
                continue;
            }
            bytes += NoticeBody.maxLineBytes(notice.entry);
            if (batch.size() == MAX_BATCH_NOTICES || bytes > MAX_BATCH_BYTES) {
                break;
            }
            batch.add(notice);
        }
        batch.forEach(ready::remove);
        return batch;
    }

    /**
     * An idle connection, or else a new one; if there is no room, the one overdue for the longest gives
     * way. With fewer posts than connections allowed, one of the three is always possible.
     */
    private Link takeLink() {
        for (Link link : links) {
            if (link.post == null) {
                link.reused = true;
                return link;
            }
        }
        if (links.size() == MAX_CONNECTIONS) {
            close(links.stream().filter(Link::isOverdue)
                .min(Comparator.comparingLong(link -> link.post.number)).orElseThrow());
        }
        Link opened = new Link(connections.get());
        links.add(opened);
        return opened;
    }

    private void send(List<Notice> batch, Link link) {
        Post post = new Post(++lastPost, batch, link, failures);
        posts.add(post);
        link.post = post;
        post.retry = loop.schedule(() -> retry(post), backoffMs(FIRST_RETRY_MS, failures, MAX_RETRY_MS),
            TimeUnit.MILLISECONDS);
        String body = NoticeBody.encode(batch.stream().map(notice -> notice.entry).toList());
        link.connection.post(body, status -> handleResponse(post, status));
    }

    private static long backoffMs(long firstMs, int doublings, long maxMs) {
        return Math.min(maxMs, firstMs << Math.min(doublings, MAX_DOUBLINGS));
    }

    private void handleResponse(Post post, int status) {
        Link link = post.link;
        link.post = null;
        if (status == NoticeConnection.NO_RESPONSE) {
            handleNoResponse(post);
        } else {
            closeOtherIdleLinks(link);
            if (status == HttpResponseStatus.NO_CONTENT.code()) {
                handleAcknowledged(post);
            } else if (status == HttpResponseStatus.BAD_REQUEST.code()) {
                handleRefused(post);
            } else {
                logFailure(post, "status " + status);
            }
        }
        scheduleSend();
    }

    /**
     * One idle connection is enough. As a post always takes it, an idle connection has answered since every
     * post under way went out: a repeated post may trust it.
     */
    private void closeOtherIdleLinks(Link kept) {
        for (Link link : List.copyOf(links)) {
            if (link != kept && link.post == null) {
                close(link);
            }
        }
    }

    private void handleAcknowledged(Post post) {
        settle(post);
        failures = 0;
        failureLogged = false;
        for (Notice notice : post.notices) {
            if (pending.remove(notice.number()) != null) {
                ready.remove(notice);
                onAcknowledged.accept(notice.entry);
            }
        }
        closeOverdueLinks();
    }

    /** The platform could not read the post: one notice is to blame, and holds up no other from now on. */
    private void handleRefused(Post post) {
        if (post.settled) {
            return;
        }
        settle(post);
        logFailure(post, "refused");
        List<Notice> left = unacknowledged(post);
        if (post.notices.size() > 1) {
            left.forEach(notice -> notice.alone = true);
            ready.addAll(left);
            return;
        }
        for (Notice notice : left) {
            long gapMs = backoffMs(FIRST_REFUSAL_GAP_MS, notice.refusals++, MAX_REFUSAL_GAP_MS);
            notice.alone = true;
            loop.schedule(() -> makeReadyAgain(notice), gapMs, TimeUnit.MILLISECONDS);
        }
    }

    private void makeReadyAgain(Notice notice) {
        if (pending.containsKey(notice.number())) {
            ready.add(notice);
            sendReady();
        }
    }

    /**
     * The connection ended without an answer. A kept one may have been closed by the agent just then: its
     * notices go out again at once. Otherwise they wait for the post's retry.
     */
    private void handleNoResponse(Post post) {
        close(post.link);
        if (!post.settled) {
            logFailure(post, "no answer");
            if (post.link.reused) {
                settle(post);
                ready.addAll(unacknowledged(post));
            }
        }
    }

    /** The post has not been acknowledged in time. */
    private void retry(Post post) {
        settle(post);
        List<Notice> left = unacknowledged(post);
        if (!left.isEmpty()) {
            logFailure(post, "no answer");
            // Posts that fail side by side count as one failure.
            failures = Math.max(failures, Math.min(post.failuresBefore + 1, MAX_DOUBLINGS));
            ready.addAll(left);
        }
        closeOverdueLinks();
        sendReady();
    }

    /** An overdue connection is kept only for notices that an answer could still acknowledge. */
    private void closeOverdueLinks() {
        for (Link link : List.copyOf(links)) {
            if (link.isOverdue() && unacknowledged(link.post).isEmpty()) {
                close(link);
            }
        }
    }

    private void close(Link link) {
        if (links.remove(link)) {
            link.connection.close();
        }
    }

    private void settle(Post post) {
        post.settled = true;
        post.retry.cancel(false);
        posts.remove(post);
    }

    private List<Notice> unacknowledged(Post post) {
        return post.notices.stream().filter(notice -> pending.containsKey(notice.number())).toList();
    }

    /** Once until a notice is acknowledged again. */
    private void logFailure(Post post, String reason) {
        if (!failureLogged) {
            LOG.warn("{} notices not acknowledged ({}), posted until they are", post.notices.size(), reason);
        }
        failureLogged = true;
    }
}
