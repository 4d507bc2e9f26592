package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** {@link NoticeSender} on a manual clock, over connections on which the test gives the responses. */
class NoticeSenderTest {
    /** HTTP status: the platform has accepted the notices. */
    private static final int ACKNOWLEDGED = 204;
    /** HTTP status: the platform can't read the notices. */
    private static final int REJECTED = 400;
    /** HTTP status: a failure of the platform, which doesn't depend on the notices. */
    private static final int UNAVAILABLE = 503;
    /** Time after its message's deadline at which a notice is due. */
    private static final long DUE_AFTER_DEADLINE_MS = 350;
    /** The part of that time which is reserved for round trips and for a relay that is busy. */
    private static final long RESERVE_MS = 100;

    @TempDir
    Path folder;
    /** Its event loop runs the sender; its time advances only in {@link #advanceClock}. */
    private final EmbeddedChannel clock = new EmbeddedChannel();
    /** All connections that the sender has opened, in order. */
    private final List<Connection> connections = new ArrayList<>();
    /** The ids of messages whose notices were acknowledged, in order. */
    private final List<String> acknowledged = new ArrayList<>();
    /** Connections that have been used and are not closed. */
    private int openCount;
    private int maxOpenCount;
    private int postCount;
    private Journal journal;
    private NoticeSender sender;

    /** A connection on which a post gets its response by {@link #respond}. */
    private final class Connection implements NoticeConnection {
        /** The callback of the post that awaits its response; null if there is none. */
        private IntConsumer pendingCallback;
        /** The body of the latest post; null before the first. */
        private String body;
        private boolean closed;

        @Override
        public void post(String newBody, IntConsumer onStatus) {
            assertFalse(closed, "posted on a closed connection");
            assertNull(pendingCallback, "posted while another post is unanswered");
            if (body == null) {
                openCount++;
                maxOpenCount = Math.max(maxOpenCount, openCount);
            }
            postCount++;
            body = newBody;
            pendingCallback = onStatus;
        }

        @Override
        public void close() {
            if (!closed && body != null) {
                openCount--;
            }
            closed = true;
            IntConsumer onStatus = pendingCallback;
            pendingCallback = null;
            if (onStatus != null) {
                onStatus.accept(NO_RESPONSE);
            }
        }

        /** Ends the current post with this HTTP status. */
        void respond(int status) {
            IntConsumer onStatus = pendingCallback;
            pendingCallback = null;
            onStatus.accept(status);
            clock.runPendingTasks();
        }

        /** True if a post with the notice of this message awaits its response. */
        boolean awaitsResponseFor(String id) {
            return pendingCallback != null && body.contains("\"" + id + "\"");
        }
    }

    @BeforeEach
    void createSender() throws Exception {
        clock.freezeTime();
        journal = new Journal(folder, 300_000_000);
        journal.adopt(entry -> { });
        sender = new NoticeSender(clock.eventLoop(), () -> {
            Connection connection = new Connection();
            connections.add(connection);
            return connection;
        }, entry -> acknowledged.add(entry.message.id()));
    }

    @AfterEach
    void closeJournal() throws Exception {
        journal.close();
    }

    /** Adds the notice of a message with this deadline; the sender posts it in a later task. */
    private void addNotice(String id, long deadline) throws Exception {
        Journal.Entry entry = journal.accept(
            new Message(id, "bill", 0, null, "key-" + id, 7, deadline, new byte[3]), null);
        journal.recordEnd(entry, new Journal.End(false, 0));
        sender.add(entry);
    }

    /** Adds a notice and lets the sender post it. */
    private void addNotice(String id) throws Exception {
        addNotice(id, 1_900_000_000_000L);
        clock.runPendingTasks();
    }

    /** Advances the manual clock by this time and runs what is due. */
    private void advanceClock(long ms) {
        // In steps of 1 ms, so that timers which are set by other timers run at their time too.
        for (long i = 0; i < ms; i++) {
            clock.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            clock.runPendingTasks();
        }
    }

    /** Advances the manual clock until this many connections carry the notice. */
    private void awaitConnectionsCarrying(String id, int count) {
        for (int i = 0; i < 10_000 && connectionsCarrying(id).size() < count; i++) {
            advanceClock(1);
        }
        assertEquals(count, connectionsCarrying(id).size());
    }

    /** The connections on which this notice awaits a response, in the order of opening. */
    private List<Connection> connectionsCarrying(String id) {
        return connections.stream().filter(connection -> connection.awaitsResponseFor(id)).toList();
    }

    /** The connection that carries this notice; there must be exactly one. */
    private Connection onlyConnectionCarrying(String id) {
        List<Connection> found = connectionsCarrying(id);
        assertEquals(1, found.size(), "connections that carry " + id);
        return found.get(0);
    }

    /**
     * Guards against notices that come too late because one connection is silent and the next can't be
     * established: the third connection must be tried in time.
     */
    @Test
    void noticeIsAcknowledgedInTimeAfterTwoUnresponsiveConnections() throws Exception {
        addNotice("a");
        long elapsedMs = 0;
        while (connectionsCarrying("a").size() < 3 && elapsedMs <= DUE_AFTER_DEADLINE_MS - RESERVE_MS) {
            advanceClock(1);
            elapsedMs++;
        }
        assertTrue(elapsedMs <= DUE_AFTER_DEADLINE_MS - RESERVE_MS,
            "no third connection after " + elapsedMs + " ms");
        connectionsCarrying("a").get(2).respond(ACKNOWLEDGED);
        assertEquals(List.of("a"), acknowledged);
        assertFalse(sender.hasPending());
        assertEquals(1, openCount, "the two connections without a response are closed");
    }

    /** Guards against notices that wait for the response on a silent connection. */
    @Test
    void noticeAddedDuringAPostIsSentAtOnceOnAnotherConnection() throws Exception {
        addNotice("a");
        addNotice("b");
        assertNotSame(onlyConnectionCarrying("a"), onlyConnectionCarrying("b"));
        onlyConnectionCarrying("b").respond(ACKNOWLEDGED);
        assertEquals(List.of("b"), acknowledged);
        onlyConnectionCarrying("a").respond(ACKNOWLEDGED);
        assertEquals(List.of("b", "a"), acknowledged);
        assertEquals(1, openCount, "one idle connection is kept");
    }

    /** A post without a response is repeated on a connection that has responded since, or on a new one. */
    @Test
    void retryUsesAConnectionThatHasRespondedOrANewOne() throws Exception {
        addNotice("a");
        addNotice("b");
        Connection responsive = onlyConnectionCarrying("a");
        responsive.respond(ACKNOWLEDGED);
        Connection silent = onlyConnectionCarrying("b");
        awaitConnectionsCarrying("b", 2);
        assertEquals(List.of(responsive, silent), connectionsCarrying("b"));
        awaitConnectionsCarrying("b", 3);
        assertEquals(3, connections.size(), "the third connection is new");
    }

    /**
     * A response that comes after the post was repeated still counts, and a notice is acknowledged only
     * once.
     */
    @Test
    void lateResponseCountsExactlyOnce() throws Exception {
        addNotice("a");
        awaitConnectionsCarrying("a", 2);
        Connection first = connectionsCarrying("a").get(0);
        Connection second = connectionsCarrying("a").get(1);
        first.respond(ACKNOWLEDGED);
        assertEquals(List.of("a"), acknowledged);
        second.respond(ACKNOWLEDGED);
        assertEquals(List.of("a"), acknowledged);
        int postsBefore = postCount;
        advanceClock(10_000);
        assertEquals(postsBefore, postCount, "an acknowledged notice is not posted again");
        assertEquals(1, openCount);
    }

    /**
     * While the agent does not respond, the number of connections is limited and the gaps between posts
     * grow.
     */
    @Test
    void unresponsiveAgentGetsFewPostsAndFewConnections() throws Exception {
        for (int i = 0; i < 10_000; i++) {
            if (i % 10 == 0) {
                addNotice("m" + i);
            }
            advanceClock(1);
        }
        assertEquals(3, maxOpenCount);
        assertTrue(postCount <= 3 * 10_000 / 500, postCount + " posts in 10 s");
        assertTrue(acknowledged.isEmpty());
        assertTrue(sender.hasPending());
    }

    /**
     * An agent that responds at once with errors, or refuses connections, must not be called without gaps.
     */
    @Test
    void immediateFailuresAreRetriedWithGaps() throws Exception {
        addNotice("a");
        for (int i = 0; i < 10_000; i++) {
            connectionsCarrying("a").forEach(connection -> connection.respond(
                postCount % 2 == 0 ? UNAVAILABLE : NoticeConnection.NO_RESPONSE));
            advanceClock(1);
        }
        assertTrue(postCount >= 10 && postCount <= 40, postCount + " posts in 10 s");
        assertEquals(1, maxOpenCount);
        awaitConnectionsCarrying("a", 1);
        onlyConnectionCarrying("a").respond(ACKNOWLEDGED);
        assertEquals(List.of("a"), acknowledged);
    }

    /** The agent may close an idle connection at any time, so its close during a post is not a failure. */
    @Test
    void reusedConnectionThatClosesDuringAPostIsReplacedAtOnce() throws Exception {
        addNotice("a");
        onlyConnectionCarrying("a").respond(ACKNOWLEDGED);
        addNotice("b");
        Connection reused = onlyConnectionCarrying("b");
        assertSame(connections.get(0), reused);
        reused.respond(NoticeConnection.NO_RESPONSE);
        assertNotSame(reused, onlyConnectionCarrying("b"));
    }

    /**
     * When many notices are pending at once, as after a restart, those that are due first must not wait.
     */
    @Test
    void noticesWithTheNearestDeadlinesAreSentFirstInLimitedBatches() throws Exception {
        String padding = "x".repeat(200);
        for (int i = 0; i < 1_000; i++) {
            addNotice(padding + i, 1_900_000_000_000L - i);
        }
        clock.runPendingTasks();
        List<String> bodies = connections.stream().map(connection -> connection.body).toList();
        assertEquals(3, bodies.size());
        String first = bodies.get(0).lines().findFirst().orElseThrow();
        assertTrue(first.contains("\"" + padding + "999\""),
            "the notice with the nearest deadline comes first");
        assertTrue(bodies.stream().allMatch(
            body -> body.lines().count() <= 100 && body.length() < 64 * 1024));
        for (int i = 0; i < 1_000 && sender.hasPending(); i++) {
            connections.stream().filter(connection -> connection.pendingCallback != null).findFirst()
                .orElseThrow().respond(ACKNOWLEDGED);
        }
        assertEquals(1_000, acknowledged.size());
        assertEquals(1_000, acknowledged.stream().distinct().count());
    }

    /** The platform accepts bodies of 64 KiB; long ids must not lead to longer ones. */
    @Test
    void bodySizeIsLimitedEvenWithLongIds() throws Exception {
        for (int i = 0; i < 200; i++) {
            addNotice("y".repeat(4_000) + i, 1_900_000_000_000L);
        }
        clock.runPendingTasks();
        assertTrue(connections.stream().allMatch(connection -> connection.body.length() < 64 * 1024));
    }

    /** A notice that the platform can't read must neither delay others nor be posted again without gaps. */
    @Test
    void rejectedNoticeIsRetriedWithBackoffAndDelaysNoOther() throws Exception {
        addNotice("bad", 1);
        addNotice("good", 2);
        clock.runPendingTasks();
        int rejections = 0;
        for (int i = 0; i < 10_000; i++) {
            for (Connection connection : List.copyOf(connections)) {
                if (connection.awaitsResponseFor("bad")) {
                    rejections++;
                    connection.respond(REJECTED);
                } else if (connection.awaitsResponseFor("good") || connection.awaitsResponseFor("later")) {
                    connection.respond(ACKNOWLEDGED);
                }
            }
            if (i == 5) {
                assertEquals(List.of("good"), acknowledged);
            }
            if (i == 100) {
                addNotice("later");
                onlyConnectionCarrying("later").respond(ACKNOWLEDGED);
            }
            advanceClock(1);
        }
        assertEquals(List.of("good", "later"), acknowledged);
        assertTrue(rejections >= 3 && rejections <= 20, rejections + " posts of the rejected notice in 10 s");
        assertTrue(sender.hasPending());
    }

    /**
     * After a reload has changed the agent's address, pending notices are posted to the new one at once.
     */
    @Test
    void reconnectPostsAllPendingNoticesAgainAtOnce() throws Exception {
        addNotice("a");
        addNotice("b");
        advanceClock(400);
        int connectionsBefore = connections.size();
        sender.reconnect();
        clock.runPendingTasks();
        assertTrue(connections.subList(0, connectionsBefore).stream()
            .allMatch(connection -> connection.closed));
        assertTrue(connections.indexOf(onlyConnectionCarrying("a")) >= connectionsBefore);
        assertTrue(connections.indexOf(onlyConnectionCarrying("b")) >= connectionsBefore);
        onlyConnectionCarrying("a").respond(ACKNOWLEDGED);
        connectionsCarrying("b").forEach(connection -> connection.respond(ACKNOWLEDGED));
        assertEquals(2, acknowledged.size());
        assertFalse(sender.hasPending());
    }
}
