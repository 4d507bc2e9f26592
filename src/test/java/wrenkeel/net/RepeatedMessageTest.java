package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;
import static wrenkeel.net.Platform.hostJson;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a second execution: a client submits an id again that it submitted before, while the first
 * call is out, after its end, after a kill, or at another process of the relay.
 */
@Timeout(120)
class RepeatedMessageTest {
    private static final String ACCEPTED = "HTTP/1.1 202 Accepted";
    private static final String FAILED = "HTTP/1.1 504 Gateway Timeout";

    @TempDir
    Path folder;
    private Platform platform;
    private StubHost host;
    private Config config;
    private int otherMessages;
    private InetSocketAddress address;

    @BeforeEach
    void setUp() throws Exception {
        platform = new Platform(folder);
        host = new StubHost();
        address = new InetSocketAddress(Platform.LOOPBACK, platform.freePort());
        config = platform.writeConfig("127.0.0.1:" + address.getPort(),
            new String[] {hostJson("s-1", host.port(), 7, "ready")});
    }

    @AfterEach
    void tearDown() throws Exception {
        host.close();
        platform.close();
    }

    /** Submits a message on a new connection; returns the status line of the response. */
    private String submit(String id, String messageClass) throws Exception {
        try (var client = new Platform.Client(address)) {
            return client.post(id, messageClass, 7, 60_000).get(0);
        }
    }

    /** Submits a message and returns its call. */
    private StubHost.Call submitAndAwaitCall(String id, String messageClass) throws Exception {
        assertEquals(ACCEPTED, submit(id, messageClass));
        StubHost.Call call = host.nextCall();
        assertEquals(id, call.header("X-Request-ID"));
        return call;
    }

    private void deliver(Node relay, String id, String messageClass) throws Exception {
        submitAndAwaitCall(id, messageClass).respond(StubHost.OK);
        awaitIdle(relay);
    }

    private static void awaitIdle(Node relay) throws Exception {
        while (!relay.isIdle()) {
            Thread.sleep(5);
        }
    }

    /** Lets a new message be delivered, and fails if another call came before it. */
    private void assertNothingElseIsSent(Node relay) throws Exception {
        deliver(relay, "other-" + ++otherMessages, "bill");
        assertTrue(host.hasNoCalls());
    }

    @ParameterizedTest
    @ValueSource(strings = {"bill", "pay"})
    void anIdWhoseCallIsOutIsNotSentAgain(String messageClass) throws Exception {
        try (Node relay = new Node(config)) {
            StubHost.Call call = submitAndAwaitCall("a", messageClass);
            assertEquals(ACCEPTED, submit("a", messageClass));
            call.respond(StubHost.OK);
            awaitIdle(relay);
            assertNothingElseIsSent(relay);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"bill", "pay"})
    void aDeliveredIdIsNotSentAgain(String messageClass) throws Exception {
        try (Node relay = new Node(config)) {
            deliver(relay, "a", messageClass);
            assertEquals(ACCEPTED, submit("a", messageClass));
            assertNothingElseIsSent(relay);
        }
    }

    /** Two starts: the second one finds what the first one has copied. */
    @ParameterizedTest
    @ValueSource(strings = {"bill", "pay"})
    void aDeliveredIdIsNotSentAgainAfterKills(String messageClass) throws Exception {
        Node killed = new Node(config);
        deliver(killed, "a", messageClass);
        killed.close();
        new Node(config).close();
        try (Node relay = new Node(config)) {
            assertEquals(ACCEPTED, submit("a", messageClass));
            assertNothingElseIsSent(relay);
        }
    }

    /** After the kill the message is given up, because it may have run. */
    @Test
    void anIdWhoseCallWasOutAtAKillIsNotSentAgain() throws Exception {
        Node killed = new Node(config);
        submitAndAwaitCall("a", "pay");
        killed.close();
        // The notice is not acknowledged at first: the message is over, and still in the journal.
        platform.noticeStatuses.add(500);
        try (Node relay = new Node(config)) {
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.nextNotice());
            assertEquals(FAILED, submit("a", "pay"));
            awaitIdle(relay);
            assertEquals(FAILED, submit("a", "pay"));
            assertNothingElseIsSent(relay);
        }
        new Node(config).close();
        try (Node relay = new Node(config)) {
            assertTrue(relay.isIdle());
            assertEquals(FAILED, submit("a", "pay"));
            assertNothingElseIsSent(relay);
        }
    }

    /** The call ends with a reset, so the message may have run. */
    @Test
    void anIdThatWasGivenUpIsNotSentAgain() throws Exception {
        try (Node relay = new Node(config)) {
            assertTrue(relay.isIdle());
            submitAndAwaitCall("a", "pay").socket().close();
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.nextNotice());
            assertEquals(FAILED, submit("a", "pay"));
            assertTrue(host.hasNoCalls());
        }
    }

    /** Nothing has run: the client may submit the message again, and it is a new one. */
    @Test
    void anIdThatWasNeverSentIsAcceptedAnew() throws Exception {
        try (Node relay = new Node(config)) {
            submitAndAwaitCall("a", "pay").respond("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
            host.nextCall().respond("HTTP/1.1 410 x\r\nContent-Length: 0\r\n\r\n");
            awaitIdle(relay);
            deliver(relay, "a", "pay");
        }
    }

    /** The call ends in the old process, before or after the id comes to the new one. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anIdIsNotSentAgainByTheProcessThatTakesOver(boolean callIsOut) throws Exception {
        Node old = new Node(config);
        StubHost.Call call = submitAndAwaitCall("a", "pay");
        if (!callIsOut) {
            call.respond(StubHost.OK);
            awaitIdle(old);
        }
        try (Node next = new Node(config)) {
            Thread shutdown = new Thread(old::shutDown);
            shutdown.start();
            next.awaitServing();
            try (var client = Platform.Client.ofServingProcess(address)) {
                assertEquals(ACCEPTED, client.post("a", "pay", 7, 60_000).get(0));
                if (callIsOut) {
                    call.respond(StubHost.OK);
                }
                shutdown.join();
                assertEquals(ACCEPTED, client.post("a", "pay", 7, 60_000).get(0));
            }
            assertNothingElseIsSent(next);
        }
    }

    /** A call in flight keeps the old process alive, and a client has kept its connection to it. */
    @Test
    void anIdOfTheProcessThatTakesOverIsNotSentAgainByTheOldOne() throws Exception {
        Node old = new Node(config);
        try (var kept = new Platform.Client(old); Node next = new Node(config)) {
            // After these the module allows more than one call in flight.
            for (int i = 0; i < 8; i++) {
                deliver(old, "warm-" + i, "bill");
            }
            assertEquals(ACCEPTED, kept.post("out", "pay", 7, 60_000).get(0));
            StubHost.Call out = host.nextCall();
            Thread shutdown = new Thread(old::shutDown);
            shutdown.start();
            next.awaitServing();
            try (var client = Platform.Client.ofServingProcess(address)) {
                assertEquals(ACCEPTED, client.post("a", "pay", 7, 60_000).get(0));
            }
            StubHost.Call call = host.nextCall();
            assertEquals("a", call.header("X-Request-ID"));
            call.respond(StubHost.OK);
            awaitIdle(next);
            assertEquals(ACCEPTED, kept.post("a", "pay", 7, 60_000).get(0));
            out.respond(StubHost.OK);
            shutdown.join();
            assertNothingElseIsSent(next);
        }
    }
}
