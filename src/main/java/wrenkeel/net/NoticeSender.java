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
 * Posts notices, which tell the platform how messages ended, until the platform acknowledges them. Not
 * thread-safe: all methods run on the event loop.
 *
 * <p>A notice is due 350 ms after its message's deadline, and the end may be decided as late as at the
 * deadline. A post that gets no response in time is therefore repeated on another connection: if one
 * connection is silent and the next can't be established, the third try is sent {@code 3 * FIRST_RETRY_MS}
 * (180 ms) after the decision. The silent connection stays open for a while, because a late response on it
 * counts. Notices may arrive more than once; the platform ignores a notice for a message that has ended.
 */
final class NoticeSender {
    private static final Logger LOG = LoggerFactory.getLogger(NoticeSender.class);
    /** Time after which a post without a response is repeated; it doubles with each failure in a row. */
    private static final long FIRST_RETRY_MS = 60;
    private static final long MAX_RETRY_MS = 600;
    /** Gap before a notice that the platform could not read is posted again; it doubles each time. */
    private static final long FIRST_REFUSAL_GAP_MS = 200;
    private static final long MAX_REFUSAL_GAP_MS = 10_000;
    /** Number of doublings after which both times have reached their maximum. */
    private static final int MAX_DOUBLINGS = 10;
    private static final int MAX_CONNECTIONS = 3;
    private static final int MAX_BATCH_NOTICES = 100;
    /** The platform accepts bodies of 64 KiB. */
    private static final int MAX_BATCH_BYTES = 48 * 1024;

    /** The end of one message, not acknowledged yet. */
    private static final class Notice {
        final Journal.Entry entry;
        /**
         * It was part of a post that the platform could not read: it is posted alone, so that it delays no
         * other.
         */
        boolean alone;
        /** How often the platform could not read a post of this notice alone. */
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

    /** An open connection, and the post on it that awaits a response, which is null while it is idle. */
    private static final class Link {
        final NoticeConnection connection;
        Post post;
        /** It has carried a post before the current one. */
        boolean reused;

        Link(NoticeConnection connection) {
            this.connection = connection;
        }

        /**
         * True if its post has been repeated on another connection, so that only a late response is of use.
         */
        boolean isOverdue() {
            return post != null && post.settled;
        }
    }

    /** One attempt to deliver some notices. */
    private static final class Post {
        final long number;
        final List<Notice> notices;
        final Link link;
        /** Consecutive failures before this post. */
        final int failuresBefore;
        Future<?> retry;
        /** It got a response, or its notices are posted again in another post. */
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
    /** All notices that are not acknowledged, by their entry's number. */
    private final Map<Long, Notice> pending = new HashMap<>();
    /** Notices to be posted now, the earliest deadline first. */
    private final TreeSet<Notice> ready = new TreeSet<>(
        Comparator.comparingLong(Notice::deadline).thenComparingLong(Notice::number));
    /** All open connections in the order of opening; at most {@link #MAX_CONNECTIONS}. */
    private final List<Link> links = new ArrayList<>();
    /** Posts that are not settled; at most {@link #MAX_CONNECTIONS}. */
    private final Set<Post> posts = new LinkedHashSet<>();
    private long lastPost;
    /** Consecutive failures. */
    private int failures;
    private boolean sendScheduled;
    private boolean failureLogged;

    /**
     * {@code connections} opens connections to the agent's current address. {@code onAcknowledged} receives
     * each entry whose notice the platform has acknowledged.
     */
    NoticeSender(EventLoop loop, Supplier<NoticeConnection> connections,
            Consumer<Journal.Entry> onAcknowledged) {
        this.loop = loop;
        this.connections = connections;
        this.onAcknowledged = onAcknowledged;
    }

    /** Posts the end of a message, repeatedly until the platform acknowledges it. */
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

    /**
     * Called when the agent's address has changed: posts all notices that aren't acknowledged there at
     * once.
     */
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

    /**
     * Sends after the current turn of the event loop, so that other ends decided in this turn join the
     * post.
     */
    private void scheduleSend() {
        if (!sendScheduled) {
            sendScheduled = true;
            loop.execute(() -> {
                sendScheduled = false;
                sendReady();
            });
        }
    }

    /** Posts the ready notices, as far as the limit of posts allows. */
    private void sendReady() {
        while (!ready.isEmpty() && posts.size() < MAX_CONNECTIONS) {
            send(takeBatch(), takeLink());
        }
    }

    /** Takes the notices of the next post out of the ready ones. */
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
     * Returns an idle connection, or else a new one. If the limit of connections is reached, the one that has
     * been overdue longest is closed first. As there are fewer unsettled posts than connections allowed, one
     * of the three is always possible.
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

    /** Handles the end of a post, with or without a response. */
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
     * Closes the idle connections except this one. As each post takes the idle connection if there is one, an
     * idle connection has responded after all posts in progress were sent: a repeated post can rely on it.
     */
    private void closeOtherIdleLinks(Link kept) {
        for (Link link : List.copyOf(links)) {
            if (link != kept && link.post == null) {
                close(link);
            }
        }
    }

    /** The platform has acknowledged the notices of a post. */
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

    /**
     * The platform could not read a post. Its notices are posted one by one, so that the one which can't be
     * read delays no other; that one is posted again after a gap.
     */
    private void handleRefused(Post post) {
        if (post.settled) {
            return;
        }
        settle(post);
        logFailure(post, "refused");
        List<Notice> remaining = unacknowledged(post);
        if (post.notices.size() > 1) {
            remaining.forEach(notice -> notice.alone = true);
            ready.addAll(remaining);
            return;
        }
        for (Notice notice : remaining) {
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
     * The connection was closed without a response. If it had been used before, the agent may have closed it
     * as idle at that moment, so the notices are posted again at once. Otherwise they wait for the post's
     * retry.
     */
    private void handleNoResponse(Post post) {
        close(post.link);
        if (!post.settled) {
            logFailure(post, "no response");
            if (post.link.reused) {
                settle(post);
                ready.addAll(unacknowledged(post));
            }
        }
    }

    /** Repeats a post that was not acknowledged in time. */
    private void retry(Post post) {
        settle(post);
        List<Notice> remaining = unacknowledged(post);
        if (!remaining.isEmpty()) {
            logFailure(post, "no response");
            // Posts that fail at the same time count as one failure.
            failures = Math.max(failures, Math.min(post.failuresBefore + 1, MAX_DOUBLINGS));
            ready.addAll(remaining);
        }
        closeOverdueLinks();
        sendReady();
    }

    /** Closes overdue connections whose notices have all been acknowledged by another post. */
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

    /** Logs the first failure after an acknowledgement only. */
    private void logFailure(Post post, String reason) {
        if (!failureLogged) {
            LOG.warn("{} notices not acknowledged ({}), retrying", post.notices.size(), reason);
        }
        failureLogged = true;
    }
}
