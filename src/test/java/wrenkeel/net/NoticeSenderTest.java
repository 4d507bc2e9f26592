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

/** Notices by a manual clock, over connections whose answers the test gives. */
class NoticeSenderTest {
    private static final int ACKNOWLEDGED = 204;
    private static final int UNREADABLE = 400;
    private static final int BROKEN_DOWN = 503;
    /** ms; a notice is due so long after its message's deadline. */
    private static final long DUE = 350;
    /** ms of that kept for a busy relay and its round trips. */
    private static final long RESERVE = 100;

    @TempDir
    Path folder;
    private final EmbeddedChannel clock = new EmbeddedChannel();
    private final List<Connection> connections = new ArrayList<>();
    private final List<String> acknowledged = new ArrayList<>();
    private int openNow;
    private int openMost;
    private int posts;
    private Journal journal;
    private NoticeSender sender;

    /** A connection that answers only when told to. */
    private final class Connection implements NoticeConnection {
        private IntConsumer whenAnswered;
        private String body;
        private boolean closed;

        @Override
        public void post(String posted, IntConsumer answered) {
            assertFalse(closed, "posted on a closed connection");
            assertNull(whenAnswered, "one post at a time");
            if (body == null) {
                openNow++;
                openMost = Math.max(openMost, openNow);
            }
            posts++;
            body = posted;
            whenAnswered = answered;
        }

        @Override
        public void close() {
            if (!closed && body != null) {
                openNow--;
            }
            closed = true;
            IntConsumer answered = whenAnswered;
            whenAnswered = null;
            if (answered != null) {
                answered.accept(NO_RESPONSE);
            }
        }

        void answer(int status) {
            IntConsumer answered = whenAnswered;
            whenAnswered = null;
            answered.accept(status);
            clock.runPendingTasks();
        }

        boolean carries(String id) {
            return whenAnswered != null && body.contains("\"" + id + "\"");
        }
    }

    @BeforeEach
    void begin() throws Exception {
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
    void end() throws Exception {
        journal.close();
    }

    /** Decides the end of a message with this deadline; the sender's turn comes later. */
    private void decide(String id, long deadline) throws Exception {
        Journal.Entry entry = journal.take(
            new Message(id, "bill", 0, null, "key-" + id, 7, deadline, new byte[3]), null);
        journal.ended(entry, new Journal.End(false, 0));
        sender.add(entry);
    }

    private void decide(String id) throws Exception {
        decide(id, 1_900_000_000_000L);
        clock.runPendingTasks();
    }

    private void pass(long ms) {
        // In steps, as timers set by timers come due too.
        for (long i = 0; i < ms; i++) {
            clock.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            clock.runPendingTasks();
        }
    }

    /** Waits, by the manual clock, until so many connections carry this notice. */
    private void awaitCarrying(String id, int count) {
        for (int i = 0; i < 10_000 && carrying(id).size() < count; i++) {
            pass(1);
        }
        assertEquals(count, carrying(id).size());
    }

    /** The connections on which this notice awaits an answer, the first used first. */
    private List<Connection> carrying(String id) {
        return connections.stream().filter(c -> c.carries(id)).toList();
    }

    private Connection only(String id) {
        List<Connection> found = carrying(id);
        assertEquals(1, found.size(), "connections that carry " + id);
        return found.get(0);
    }

    /** Guards the time of ends: one connection is silent, the next never comes up. */
    @Test
    void aNoticeIsAcknowledgedInTimeBehindASilentConnectionAndOneThatNeverComesUp() throws Exception {
        decide("a");
        long passed = 0;
        while (carrying("a").size() < 3 && passed <= DUE - RESERVE) {
            pass(1);
            passed++;
        }
        assertTrue(passed <= DUE - RESERVE, "no third connection after " + passed + " ms");
        carrying("a").get(2).answer(ACKNOWLEDGED);
        assertEquals(List.of("a"), acknowledged);
        assertFalse(sender.hasPending());
        assertEquals(1, openNow, "those that did not answer are closed");
    }

    /** Guards the ends behind a silent connection. */
    @Test
    void aNoticeDecidedWhileAnotherIsOutGoesAtOnceOnAnotherConnection() throws Exception {
        decide("a");
        decide("b");
        assertNotSame(only("a"), only("b"));
        only("b").answer(ACKNOWLEDGED);
        assertEquals(List.of("b"), acknowledged);
        only("a").answer(ACKNOWLEDGED);
        assertEquals(List.of("b", "a"), acknowledged);
        assertEquals(1, openNow, "one idle connection is kept");
    }

    /** The next try goes out on a new connection, or on one that has answered since the silent post. */
    @Test
    void aTryAfterASilenceGoesOnAConnectionThatIsKnownToAnswer() throws Exception {
        decide("a");
        decide("b");
        Connection answers = only("a");
        answers.answer(ACKNOWLEDGED);
        Connection silent = only("b");
        awaitCarrying("b", 2);
        assertEquals(List.of(answers, silent), carrying("b"));
        awaitCarrying("b", 3);
        assertEquals(3, connections.size(), "the third is new");
    }

    /** Guards the count of ends: an answer that comes late counts, and none counts twice. */
    @Test
    void anAnswerOnTheFirstConnectionStillCountsAndOnlyOnce() throws Exception {
        decide("a");
        awaitCarrying("a", 2);
        Connection first = carrying("a").get(0);
        Connection second = carrying("a").get(1);
        first.answer(ACKNOWLEDGED);
        assertEquals(List.of("a"), acknowledged);
        second.answer(ACKNOWLEDGED);
        assertEquals(List.of("a"), acknowledged);
        int before = posts;
        pass(10_000);
        assertEquals(before, posts, "nothing is posted again");
        assertEquals(1, openNow);
    }

    /** Guards descriptors and the agent while it is down: few connections, and gaps that grow. */
    @Test
    void anAgentThatIsDownIsNotHammeredHoweverManyNoticesCome() throws Exception {
        for (int i = 0; i < 10_000; i++) {
            if (i % 10 == 0) {
                decide("m" + i);
            }
            pass(1);
        }
        assertEquals(3, openMost);
        assertTrue(posts <= 3 * 10_000 / 500, posts + " posts in 10 s");
        assertTrue(acknowledged.isEmpty());
        assertTrue(sender.hasPending());
    }

    /** An agent that answers at once with errors, or whose port refuses, is asked with gaps too. */
    @Test
    void quickFailuresAreRetriedWithGaps() throws Exception {
        decide("a");
        for (int i = 0; i < 10_000; i++) {
            carrying("a").forEach(c -> c.answer(posts % 2 == 0 ? BROKEN_DOWN : NoticeConnection.NO_RESPONSE));
            pass(1);
        }
        assertTrue(posts >= 10 && posts <= 40, posts + " posts in 10 s");
        assertEquals(1, openMost);
        awaitCarrying("a", 1);
        only("a").answer(ACKNOWLEDGED);
        assertEquals(List.of("a"), acknowledged);
    }

    /** The agent may close a kept connection at any time: that is no failure of the agent. */
    @Test
    void aKeptConnectionThatEndsUnderAPostIsReplacedAtOnce() throws Exception {
        decide("a");
        only("a").answer(ACKNOWLEDGED);
        decide("b");
        Connection kept = only("b");
        assertSame(connections.get(0), kept);
        kept.answer(NoticeConnection.NO_RESPONSE);
        assertNotSame(kept, only("b"));
    }

    /** Guards the ends whose time is nearest when many are owed at once, as after a restart. */
    @Test
    void theMostUrgentNoticesGoFirstInBatchesOfLimitedSize() throws Exception {
        String padding = "x".repeat(200);
        for (int i = 0; i < 1_000; i++) {
            decide(padding + i, 1_900_000_000_000L - i);
        }
        clock.runPendingTasks();
        List<String> bodies = connections.stream().map(c -> c.body).toList();
        assertEquals(3, bodies.size());
        String first = bodies.get(0).lines().findFirst().orElseThrow();
        assertTrue(first.contains("\"" + padding + "999\""), "the nearest deadline comes first");
        assertTrue(bodies.stream().allMatch(body -> body.lines().count() <= 100 && body.length() < 64 * 1024));
        for (int i = 0; i < 1_000 && sender.hasPending(); i++) {
            connections.stream().filter(c -> c.whenAnswered != null).findFirst().orElseThrow().answer(ACKNOWLEDGED);
        }
        assertEquals(1_000, acknowledged.size());
        assertEquals(1_000, acknowledged.stream().distinct().count());
    }

    /** Guards the bound on a body: ids may be long. */
    @Test
    void aBodyStaysWithinItsBoundWhateverTheIds() throws Exception {
        for (int i = 0; i < 200; i++) {
            decide("y".repeat(4_000) + i, 1_900_000_000_000L);
        }
        clock.runPendingTasks();
        assertTrue(connections.stream().allMatch(c -> c.body.length() < 64 * 1024));
    }

    /** Guards the other ends, and the agent, against a notice that the platform cannot read. */
    @Test
    void aRefusedNoticeStepsBackAndHoldsUpNoOther() throws Exception {
        decide("bad", 1);
        decide("good", 2);
        clock.runPendingTasks();
        int refused = 0;
        for (int i = 0; i < 10_000; i++) {
            for (Connection c : List.copyOf(connections)) {
                if (c.carries("bad")) {
                    refused++;
                    c.answer(UNREADABLE);
                } else if (c.carries("good") || c.carries("later")) {
                    c.answer(ACKNOWLEDGED);
                }
            }
            if (i == 5) {
                assertEquals(List.of("good"), acknowledged);
            }
            if (i == 100) {
                decide("later");
                only("later").answer(ACKNOWLEDGED);
            }
            pass(1);
        }
        assertEquals(List.of("good", "later"), acknowledged);
        assertTrue(refused >= 3 && refused <= 20, refused + " tries of the refused one in 10 s");
        assertTrue(sender.hasPending());
    }

    /** Guards the ends across a reload: all that is not acknowledged goes to the new address at once. */
    @Test
    void atAnotherAddressAllIsPostedAgainAtOnce() throws Exception {
        decide("a");
        decide("b");
        pass(400);
        int before = connections.size();
        sender.reconnect();
        clock.runPendingTasks();
        assertTrue(connections.subList(0, before).stream().allMatch(c -> c.closed));
        assertTrue(connections.indexOf(only("a")) >= before);
        assertTrue(connections.indexOf(only("b")) >= before);
        only("a").answer(ACKNOWLEDGED);
        carrying("b").forEach(c -> c.answer(ACKNOWLEDGED));
        assertEquals(2, acknowledged.size());
        assertFalse(sender.hasPending());
    }
}
