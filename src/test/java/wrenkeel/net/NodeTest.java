package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;
import static wrenkeel.net.Platform.hostJson;
import static wrenkeel.net.Platform.listJson;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The whole relay over loopback sockets, with a scripted host and a scripted agent. Each test guards against
 * one failure.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class NodeTest {
    private static final String ACCEPTED = "HTTP/1.1 202 Accepted";

    @TempDir
    Path folder;
    private Platform platform;
    private StubHost host;

    @BeforeEach
    void setUp() throws IOException {
        platform = new Platform(folder);
        host = new StubHost();
    }

    @AfterEach
    void tearDown() throws IOException {
        host.close();
        platform.close();
    }

    private Node startRelay() throws Exception {
        return platform.startRelay(hostJson("s-1", host.port(), 7, "ready"));
    }

    /** Waits until every message has ended and every notice is acknowledged. */
    private void awaitIdle(Node relay) throws Exception {
        while (!relay.isIdle()) {
            Thread.sleep(5);
        }
    }

    @Test
    void aMessageIsForwardedUnchangedAndItsConnectionIsReused() throws Exception {
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 16_000).get(0));
            StubHost.Call first = host.nextCall();
            assertEquals("POST /v1/messages HTTP/1.1", first.head().get(0));
            assertEquals("a", first.header("X-Request-ID"));
            assertEquals("key-a", first.header("Idempotency-Key"));
            assertEquals("bill \u00e4\0 of a", first.body());
            assertTrue(Long.parseLong(first.header("X-Timeout-Ms")) > 0);
            first.respond(StubHost.OK);
            awaitIdle(relay);
            assertEquals(ACCEPTED, client.post("b", "bill", 7, 16_000).get(0));
            // A connection for each message would cost a handshake each.
            assertSame(first.socket(), host.nextCall().socket());
        }
    }

    /**
     * Guards destinations that count calls: messages that one turn sends to a host of such a kind share a
     * call.
     */
    @Test
    void queuedMessagesAreSentInOneCallToAHostKindThatTakesBatches() throws Exception {
        try (Node relay = platform.startRelay(hostJson("s-1", "m3", host.port(), 7, "ready"));
                var client = new Platform.Client(relay)) {
            for (String id : List.of("a", "b", "c")) {
                assertEquals(ACCEPTED, client.post(id, "bill", 7, 16_000).get(0));
            }
            StubHost.Call first = host.nextCall();
            assertEquals("a", first.header("X-Request-ID"));
            first.respond(StubHost.OK);
            StubHost.Call batch = host.nextCall();
            assertEquals("POST /v1/messages:batch HTTP/1.1", batch.head().get(0));
            assertTrue(batch.body().contains("\"id\":\"b\",\"key\":\"key-b\""), batch.body());
            assertTrue(batch.body().contains("\"id\":\"c\",\"key\":\"key-c\""), batch.body());
            String states = "[{\"id\":\"b\",\"state\":\"accepted\"},{\"id\":\"c\",\"state\":\"accepted\"}]";
            batch.respond("HTTP/1.1 200 OK\r\nContent-Length: " + states.length() + "\r\n\r\n" + states);
            awaitIdle(relay);
            assertTrue(host.hasNoCalls());
        }
        assertTrue(platform.notices.isEmpty(), "a delivered message needs no notice");
    }

    /**
     * Guards messages with different deadlines in one call: the call must not end at the earliest of them. It
     * takes its deadline from the first message.
     */
    @Test
    void aBatchBeginsWithTheMessageWithTheLatestDeadline() throws Exception {
        try (Node relay = platform.startRelay(hostJson("s-1", "m3", host.port(), 7, "ready"));
                var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 16_000).get(0));
            StubHost.Call first = host.nextCall();
            assertEquals(ACCEPTED, client.post("short", "bill", 7, 15_500).get(0));
            assertEquals(ACCEPTED, client.post("long", "bill", 7, 16_000).get(0));
            first.respond(StubHost.OK);
            String batch = host.nextCall().body();
            assertTrue(batch.startsWith("[{\"id\":\"long\"") && batch.contains("\"id\":\"short\""), batch);
        }
    }

    @Test
    void healthChecksAreAnsweredAndInvalidRequestsRejectedWithoutJournaling() throws Exception {
        try (Node relay = startRelay()) {
            long journalBytes = Files.size(platform.journalFile());
            List<String> validHeaders = Platform.Client.headers("x", "bill", 7, 900);
            try (var client = new Platform.Client(relay)) {
                assertEquals("HTTP/1.1 200 OK",
                    client.exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]).get(0));
            }
            assertStatus(404, relay, client -> client.post("x", "wobble", 7, 900));
            assertStatus(404, relay, client -> client.post("x", "bill", 8, 900));
            assertStatus(404, relay, client -> client.post("/other", validHeaders, ""));
            assertStatus(400, relay, client -> client.post("x", "bill", 7, 0));
            assertStatus(400, relay, client -> client.post("x", "bill", 7, Long.MAX_VALUE));
            for (int omitted = 0; omitted < validHeaders.size(); omitted++) {
                List<String> headers = new java.util.ArrayList<>(validHeaders);
                if (!headers.remove(omitted).startsWith("X-Priority-Class")) {
                    assertStatus(400, relay, client -> client.post("/bill", headers, ""));
                }
            }
            assertStatus(405, relay,
                client -> client.exchange("GET /bill HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]));
            assertStatus(413, relay, client -> client.post("/bill", validHeaders, "x".repeat(64 * 1024 + 1)));
            assertStatus(400, relay, client -> client.exchange("nonsense\r\n\r\n", new byte[0]));
            assertEquals(journalBytes, Files.size(platform.journalFile()));
        }
    }

    private interface Request {
        List<String> send(Platform.Client client) throws IOException;
    }

    /**
     * Asserts that a request gets this status and that the connection is closed: the relay must not spend CPU
     * time on a peer that sends what no client does.
     */
    private static void assertStatus(int status, Node relay, Request request) throws IOException {
        try (var client = new Platform.Client(relay)) {
            List<String> head = request.send(client);
            assertTrue(head.get(0).startsWith("HTTP/1.1 " + status), head.get(0));
            assertTrue(client.isClosed());
        }
    }

    /**
     * Guards the limit of open messages: the client above it is refused at once, so that it submits its
     * message again later. It must not be left without a response.
     */
    @Test
    void aMessageAboveTheLimitOfOpenMessagesIsRefused() throws Exception {
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            // At the limit the module refuses an accepted message to make room, if it may. It must not refuse
            // an unsafe one in flight, so such messages keep the limit reached.
            int acceptedCount = 0;
            List<String> response = client.post("m0", "pay", 7, 16_000);
            while (response.get(0).equals(ACCEPTED) && acceptedCount < 20) {
                acceptedCount++;
                response = client.post("m" + acceptedCount, "pay", 7, 16_000);
            }
            assertTrue(acceptedCount >= 3 && acceptedCount <= 4, acceptedCount + " were accepted");
            assertTrue(response.get(0).startsWith("HTTP/1.1 503 "), response.get(0));
        }
    }

    /** Guards against an unreported end: the notice is posted until the platform acknowledges it. */
    @Test
    void theNoticeOfAFailedMessageIsRepeatedUntilAcknowledged() throws Exception {
        platform.noticeStatuses.add(500);
        platform.noticeStatuses.add(503);
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 300).get(0));
            assertNotNull(host.nextCall());
            String notice = "{\"message\":\"a\",\"outcome\":\"given_up\"}";
            for (int i = 0; i < 3; i++) {
                assertEquals(notice, platform.nextNotice());
            }
            awaitIdle(relay);
        }
        try (Journal journal = platform.openJournal()) {
            assertTrue(journal.openEntries().isEmpty());
        }
    }

    /** Guards the notices of all other messages against one that the platform cannot parse. */
    @Test
    void aNoticeThatThePlatformRejectsDoesNotBlockOthers() throws Exception {
        platform.rejectedText = "\"bad\"";
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("bad", "bill", 7, 300).get(0));
            assertEquals("{\"message\":\"bad\",\"outcome\":\"given_up\"}", platform.nextNotice());
            assertEquals(ACCEPTED, client.post("good", "bill", 7, 300).get(0));
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(Platform.TIMEOUT_SECONDS);
            while (ConsoleTest.metrics(relay).object("failed").longValue("bill") == 0
                    && System.nanoTime() < deadlineNanos) {
                Thread.sleep(5);
            }
        }
        try (Journal journal = platform.openJournal()) {
            assertEquals(List.of("bad"),
                journal.openEntries().stream().map(entry -> entry.message.id()).toList());
        }
    }

    /** Guards accepted messages against a kill: keyed ones are sent again, with the same id, key and body. */
    @Test
    void aKeyedMessageThatWasInFlightIsSentAgainAfterARestart() throws Exception {
        StubHost.Call firstCall;
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 16_000).get(0));
            firstCall = host.nextCall();
        }
        try (Node relay = startRelay()) {
            StubHost.Call secondCall = host.nextCall();
            assertEquals("a", secondCall.header("X-Request-ID"));
            assertEquals("key-a", secondCall.header("Idempotency-Key"));
            assertEquals(firstCall.body(), secondCall.body());
            secondCall.respond(StubHost.OK);
            awaitIdle(relay);
        }
        assertTrue(platform.notices.isEmpty(), "a delivered message needs no notice");
    }

    /**
     * Guards against double effects: an unsafe message that was in flight at the kill may have been executed.
     */
    @Test
    void anUnsafeMessageThatWasInFlightFailsAfterARestart() throws Exception {
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("a", "pay", 7, 16_000).get(0));
            assertNotNull(host.nextCall());
        }
        try (Node relay = startRelay()) {
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.nextNotice());
            awaitIdle(relay);
            assertTrue(host.hasNoCalls());
        }
    }

    /**
     * Guards against a message that fails needlessly: its only attempt was answered 429, so it was not
     * executed, and although it is unsafe it must be sent again after a restart.
     */
    @Test
    void anUnsafeMessageThatNeverRanIsSentAgainAfterARestart() throws Exception {
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("a", "pay", 7, 60_000).get(0));
            StubHost.Call call = host.nextCall();
            long journalBytes = Files.size(platform.journalFile());
            call.respond("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 50.5\r\nContent-Length: 0\r\n\r\n");
            while (Files.size(platform.journalFile()) == journalBytes) {
                Thread.sleep(5);
            }
        }
        try (Node relay = startRelay()) {
            assertFalse(relay.isIdle());
            assertEquals("a", host.nextCall().header("X-Request-ID"));
        }
    }

    @Test
    void aMessageThatExpiredWhileTheRelayWasDownStillGetsItsNotice() throws Exception {
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 400).get(0));
            assertNotNull(host.nextCall());
        }
        Thread.sleep(400);
        try (Node relay = startRelay()) {
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.nextNotice());
            awaitIdle(relay);
        }
    }

    /**
     * Guards the rule on draining hosts: a host that the watch reports as draining must receive nothing new.
     */
    @Test
    void aDrainingHostReceivesNoNewMessagesAndItsReplacementDoes() throws Exception {
        try (StubHost otherHost = new StubHost(); Node relay = startRelay();
                var client = new Platform.Client(relay)) {
            platform.watchResponses.add(listJson(2, false, hostJson("s-1", host.port(), 7, "draining"),
                hostJson("s-2", otherHost.port(), 7, "ready")));
            // The relay requests the list of version 3 only once it has applied that of version 2.
            platform.watchResponses.add(listJson(3, false));
            while (!platform.watchResponses.isEmpty()) {
                Thread.sleep(5);
            }
            for (int i = 0; i < 3; i++) {
                assertEquals(ACCEPTED, client.post("m" + i, "bill", 7, 16_000).get(0));
                otherHost.nextCall().respond(StubHost.OK);
                awaitIdle(relay);
            }
            assertTrue(host.hasNoCalls());
        }
    }

    /**
     * Guards the rule on draining hosts at a restart: the relay is bound by a list that the agent already
     * has, even before it has requested the list.
     */
    @Test
    void aStartingProcessAwaitsTheCurrentListBeforeItSends() throws Exception {
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 60_000).get(0));
            assertNotNull(host.nextCall());
        }
        platform.immediateResponses.clear();
        try (StubHost otherHost = new StubHost()) {
            platform.immediateResponses.add(listJson(2, false, hostJson("s-1", host.port(), 7, "draining"),
                hostJson("s-2", otherHost.port(), 7, "ready")));
            try (Node relay = startRelay()) {
                StubHost.Call call = otherHost.nextCall();
                assertNotNull(call, "must be sent to the host of the current list");
                call.respond(StubHost.OK);
                awaitIdle(relay);
                assertTrue(host.hasNoCalls());
            }
        }
    }

    /** Guards delivery against a discovery agent that is down at the start. */
    @Test
    void anUnresponsiveAgentDelaysTheFirstCallOnlyBriefly() throws Exception {
        platform.immediateResponses.clear();
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 60_000).get(0));
            assertNotNull(host.nextCall());
        }
    }

    /**
     * Guards the rule on draining hosts: the relay must detect that the watch gets no more responses before
     * it is assumed to know a change of the list. That leaves it a second to request the list and to stop
     * sending.
     */
    @Test
    void afterAnUnansweredWatchTheListIsRequestedWithoutAWait() throws Exception {
        long assumedKnownMs = 6_000, requestAndStopMs = 1_000;
        assertTrue(Discovery.WATCH_WAIT_MS + Discovery.WATCH_SLACK_MS + requestAndStopMs <= assumedKnownMs);
        try (Node relay = startRelay()) {
            assertNotNull(relay.address());
            assertEquals("after=1&wait_ms=1", platform.listQueries.take());
            assertEquals("after=1&wait_ms=" + Discovery.WATCH_WAIT_MS, platform.listQueries.take());
            assertEquals("after=1&wait_ms=1",
                platform.listQueries.poll(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /**
     * Guards against a watch that stops after a list that cannot be parsed, or that then polls without a
     * pause.
     */
    @Test
    void theWatchContinuesAfterAListThatCannotBeParsed() throws Exception {
        try (StubHost otherHost = new StubHost(); Node relay = startRelay();
                var client = new Platform.Client(relay)) {
            platform.watchResponses.add("{\"seq\":2,\"whole\":true,\"hosts\":[{}]}");
            platform.watchResponses.add("nonsense");
            platform.watchResponses.add(listJson(3, true, hostJson("s-2", otherHost.port(), 8, "ready")));
            platform.watchResponses.add(listJson(4, false));
            while (!platform.watchResponses.isEmpty()) {
                Thread.sleep(5);
            }
            assertEquals(ACCEPTED, client.post("a", "bill", 8, 16_000).get(0));
            assertEquals("a", otherHost.nextCall().header("X-Request-ID"));
        }
    }

    /** Guards against a relay that keeps using an agent that has been removed. */
    @Test
    void afterAReloadListsComeFromAndNoticesGoToTheNewAddress() throws Exception {
        Path nextFolder = Files.createDirectories(folder.resolve("elsewhere"));
        try (StubHost otherHost = new StubHost(); Platform nextPlatform = new Platform(nextFolder);
                Node relay = startRelay(); var client = new Platform.Client(relay)) {
            nextPlatform.writeConfig(hostJson("s-1", host.port(), 7, "ready"));
            nextPlatform.watchResponses.add(listJson(2, false, hostJson("s-1", host.port(), 7, "gone"),
                hostJson("s-2", otherHost.port(), 7, "ready")));
            nextPlatform.watchResponses.add(listJson(3, false));
            relay.reload(nextPlatform.environment());
            while (!nextPlatform.watchResponses.isEmpty()) {
                Thread.sleep(5);
            }
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 600).get(0));
            assertEquals("a", otherHost.nextCall().header("X-Request-ID"));
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", nextPlatform.nextNotice());
            awaitIdle(relay);
        }
        assertTrue(platform.notices.isEmpty());
    }

    @Test
    void aReloadOfAnUnusableConfigurationChangesNothing() throws Exception {
        Path invalidFile = Files.writeString(folder.resolve("bad.json"), "{\"discovery\":\"nowhere\"}");
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            relay.reload(Map.of("EDGE_CONFIG", invalidFile.toString()));
            relay.reload(Map.of("EDGE_CONFIG", folder.resolve("absent").toString()));
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 300).get(0));
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.nextNotice());
        }
    }

    /**
     * Guards against a crash at SIGHUP, which may arrive as soon as others can see that the relay is ready.
     */
    @Test
    void theHangupHandlerIsSetBeforeTheListenerOpens() throws Exception {
        Class<?> signal = Class.forName("sun.misc.Signal"), handler = Class.forName("sun.misc.SignalHandler");
        Object hangup = signal.getConstructor(String.class).newInstance("HUP");
        Object defaultHandler = handler.getField("SIG_DFL").get(null);
        var handle = signal.getMethod("handle", signal, handler);
        handle.invoke(null, hangup, defaultHandler);
        try (var occupiedPort = new java.net.ServerSocket(0, 1, Platform.LOOPBACK)) {
            platform.writeConfig("127.0.0.1:" + occupiedPort.getLocalPort(), new String[0]);
            assertEquals(2, Node.serve(platform.environment()), "the start must fail: the port is in use");
        }
        assertNotSame(defaultHandler, handle.invoke(null, hangup, defaultHandler));
    }

    /** Guards the shutdown against a SIGHUP that arrives late. */
    @Test
    void aReloadAfterCloseDoesNotThrow() throws Exception {
        Node relay = startRelay();
        relay.close();
        assertDoesNotThrow(() -> relay.reload(platform.environment()));
    }

    /**
     * Guards the orderly shutdown: clients are still answered, with a close of their connection, and calls in
     * flight are finished first.
     */
    @Test
    void shutdownAnswersClientsAndFinishesCalls() throws Exception {
        Node relay = startRelay();
        try (var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 16_000).get(0));
            Thread shutdown = new Thread(relay::shutDown);
            shutdown.start();
            List<String> health;
            do {
                try (var probe = new Platform.Client(relay)) {
                    health = probe.exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]);
                }
            } while (health.get(0).contains("200"));
            List<String> response = client.post("b", "bill", 7, 16_000);
            assertEquals(ACCEPTED, response.get(0));
            assertTrue(response.stream().anyMatch("connection: close"::equalsIgnoreCase),
                response.toString());
            assertTrue(client.isClosed());
            host.nextCall().respond(StubHost.OK);
            host.nextCall().respond(StubHost.OK);
            shutdown.join();
        }
        try (Journal journal = platform.openJournal()) {
            assertTrue(journal.openEntries().isEmpty(), "both must be delivered before the relay ends");
        }
    }

    /**
     * Guards against a lost request: one that is partly written when the listener closes is still read and
     * answered.
     */
    @Test
    void shutdownAnswersARequestThatIsPartlyReceived() throws Exception {
        Node relay = startRelay();
        var address = relay.address();
        try (var partial = new Platform.Client(relay); var client = new Platform.Client(relay)) {
            partial.write("POST /bill HTTP/1.1\r\nHost: api.internal\r\n");
            // The response comes from the same thread, after it has read the partial request.
            assertEquals("HTTP/1.1 200 OK",
                client.exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]).get(0));
            Thread shutdown = new Thread(relay::shutDown);
            shutdown.start();
            while (!isConnectionRefused(address)) {
                Thread.onSpinWait();
            }
            partial.write(String.join("\r\n", Platform.Client.headers("a", "bill", 7, 16_000))
                + "\r\nContent-Length: 0\r\n\r\n");
            assertEquals(ACCEPTED, partial.readResponseHead().get(0));
            assertTrue(partial.isClosed());
            host.nextCall().respond(StubHost.OK);
            shutdown.join();
        }
    }

    /**
     * True if nothing listens at the address. A connection that is still accepted sends a request, so that
     * the relay closes it with the response.
     */
    private static boolean isConnectionRefused(java.net.InetSocketAddress address) throws IOException {
        try (var probe = new Platform.Client(address)) {
            probe.exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]);
            return false;
        } catch (java.net.ConnectException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void anUnusableConfigurationIsReportedInOneLine() throws IOException {
        assertThrows(Config.InvalidConfigException.class, () -> Config.read(Map.of()));
        Path file = Files.writeString(folder.resolve("bad.json"), "{\"listen\":");
        var unusable = assertThrows(Config.InvalidConfigException.class,
            () -> Config.read(Map.of("EDGE_CONFIG", file.toString(), "EDGE_STATE", folder.toString())));
        assertEquals(1, unusable.getMessage().lines().count());
        assertThrows(Config.InvalidConfigException.class, () -> Config.address("localhost:80"));
        // These are no complete addresses: the system's resolver would be asked for them, on the event loop.
        assertThrows(Config.InvalidConfigException.class, () -> Config.address("10.1:80"));
        assertThrows(Config.InvalidConfigException.class, () -> Config.address("10.0.0.300:80"));
        assertEquals(2, Node.serve(Map.of()));
    }

    /** Returns a configuration that several processes can run with: it names a fixed port for the clients. */
    private Config configWithSharedPort() throws Exception {
        return configWithSharedPort(platform.freePort());
    }

    private Config configWithSharedPort(int port) throws Exception {
        return platform.writeConfig("127.0.0.1:" + port,
            new String[] {hostJson("s-1", host.port(), 7, "ready")});
    }

    private static void awaitReady(Node relay) throws Exception {
        while (!ConsoleTest.isReady(relay)) {
            Thread.sleep(5);
        }
    }

    /**
     * Guards messages at a replacement: those in flight end in the old process, the others in the new one.
     */
    @Test
    void aStandbyProcessTakesOverMessagesThatAreNotInFlight() throws Exception {
        int port = platform.freePort();
        Config config = configWithSharedPort(port);
        Node old = new Node(config);
        try (var client = new Platform.Client(old)) {
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 60_000).get(0));
            StubHost.Call inFlight = host.nextCall();
            assertEquals(ACCEPTED, client.post("b", "bill", 7, 60_000).get(0));
            try (Node next = new Node(config)) {
                awaitReady(next);
                assertTrue(host.hasNoCalls(), "only the old process may send");
                Thread shutdown = new Thread(old::shutDown);
                shutdown.start();
                try (var lateClient = new Platform.Client(
                        new java.net.InetSocketAddress(Platform.LOOPBACK, port))) {
                    assertEquals(ACCEPTED, lateClient.post("c", "bill", 7, 60_000).get(0));
                }
                // The old process's call counts against the congestion window: the new one sends after it.
                inFlight.respond(StubHost.OK);
                List<String> sent = new java.util.ArrayList<>();
                for (int i = 0; i < 2; i++) {
                    StubHost.Call handedOver = host.nextCall();
                    sent.add(handedOver.header("X-Request-ID"));
                    handedOver.respond(StubHost.OK);
                }
                assertEquals(List.of("b", "c"), sent.stream().sorted().toList());
                shutdown.join();
                awaitIdle(next);
            }
        }
        assertTrue(platform.notices.isEmpty(), "delivered messages need no notice");
        assertTrue(host.hasNoCalls(), "each must be delivered only once");
    }

    /**
     * Guards the order by key: the process that takes over must not send a message while the one before it is
     * in flight in the old process.
     */
    @Test
    void theProcessThatTakesOverKeepsTheOrderOfAKey() throws Exception {
        int port = platform.freePort();
        configWithSharedPort(port);
        replaceInConfig("\"semantics\":\"fragile\"", "\"semantics\":\"fragile\",\"sequential\":true");
        Config config = Config.read(platform.environment());
        Node old = new Node(config);
        try (var client = new Platform.Client(old); Node next = new Node(config)) {
            // After these the module allows more than one call in flight.
            for (int i = 0; i < 8; i++) {
                assertEquals(ACCEPTED, client.post("warm-" + i, "bill", 7, 60_000).get(0));
                host.nextCall().respond(StubHost.OK);
                awaitIdle(old);
            }
            assertEquals(ACCEPTED, postOrdered(client, "a"));
            StubHost.Call first = host.nextCall();
            awaitReady(next);
            Thread shutdown = new Thread(old::shutDown);
            shutdown.start();
            next.awaitServing();
            var address = new java.net.InetSocketAddress(Platform.LOOPBACK, port);
            try (var lateClient = Platform.Client.ofServingProcess(address)) {
                assertEquals(ACCEPTED, postOrdered(lateClient, "b"));
                // A message of another key is sent beside the one in flight.
                assertEquals(ACCEPTED, lateClient.post("c", "bill", 7, 60_000).get(0));
                StubHost.Call other = host.nextCall();
                assertEquals("c", other.header("X-Request-ID"));
                other.respond(StubHost.OK);
            }
            first.respond(StubHost.OK);
            StubHost.Call second = host.nextCall();
            assertEquals("b", second.header("X-Request-ID"));
            second.respond(StubHost.OK);
            shutdown.join();
            awaitIdle(next);
        }
    }

    /** Submits a message with a route key. */
    private static String postOrdered(Platform.Client client, String id) throws IOException {
        List<String> headers = new java.util.ArrayList<>(Platform.Client.headers(id, "pay", 7, 60_000));
        headers.add("X-Route-Key: k");
        return client.post("/pay", headers, "").get(0);
    }

    /** Guards accepted messages when the old process is killed before it is asked to shut down. */
    @Test
    void aStandbyProcessTakesOverFromAKilledProcess() throws Exception {
        Config config = configWithSharedPort();
        Node old = new Node(config);
        try (var client = new Platform.Client(old)) {
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 60_000).get(0));
            assertNotNull(host.nextCall());
        }
        try (Node next = new Node(config)) {
            awaitReady(next);
            old.close();
            StubHost.Call secondCall = host.nextCall();
            assertEquals("a", secondCall.header("X-Request-ID"));
            secondCall.respond(StubHost.OK);
            awaitIdle(next);
        }
    }

    /** Guards the serving process against a standby process that is shut down before it has taken over. */
    @Test
    void shuttingDownAStandbyProcessDoesNotAffectTheOthers() throws Exception {
        Config config = configWithSharedPort();
        try (Node old = new Node(config); var client = new Platform.Client(old)) {
            Node next = new Node(config);
            awaitReady(next);
            try (Node third = new Node(config)) {
                awaitReady(third);
                next.shutDown();
                // It has nothing to hand over, and must not have asked the next process to take over.
                assertFalse(Files.exists(folder.resolve("state").resolve("leaving.2")));
                assertEquals(ACCEPTED, client.post("a", "bill", 7, 60_000).get(0));
                host.nextCall().respond(StubHost.OK);
                awaitIdle(old);
            }
        }
    }

    /**
     * Guards the observance of Retry-After: it applies to all processes of a relay, whichever has received
     * it.
     */
    @Test
    void theProcessThatTakesOverObservesRetryAfterReceivedBefore() throws Exception {
        Config config = configWithSharedPort();
        Node old = new Node(config);
        try (var client = new Platform.Client(old); Node next = new Node(config)) {
            assertEquals(ACCEPTED, client.post("a", "bill", 7, 60_000).get(0));
            host.nextCall()
                .respond("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 3.5\r\nContent-Length: 0\r\n\r\n");
            long receivedNanos = System.nanoTime();
            awaitReady(next);
            old.shutDown();
            assertEquals("a", host.nextCall().header("X-Request-ID"));
            assertTrue(System.nanoTime() - receivedNanos >= TimeUnit.MILLISECONDS.toNanos(3_400));
        }
    }

    /** Replaces text in the configuration file, which must contain it. */
    private void replaceInConfig(String from, String to) throws IOException {
        Path file = folder.resolve("config.json");
        String before = Files.readString(file);
        assertTrue(before.contains(from), from);
        Files.writeString(file, before.replace(from, to));
    }

    /**
     * Guards against lost notices: after a reload has moved discovery, the next process may start with the
     * environment of the first one, whose address takes no connections any more.
     */
    @Test
    void aProcessWhoseEnvironmentNamesALeftDiscoveryUsesTheOneOfTheFile() throws Exception {
        platform.writeConfig(hostJson("s-1", host.port(), 7, "ready"));
        Map<String, String> env = new HashMap<>(platform.environment());
        env.put("EDGE_DISCOVERY", "127.0.0.1:" + platform.freePort());
        try (Node relay = new Node(Config.read(env)); var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("a", "pay", 7, 900).get(0));
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.nextNotice());
        }
    }

    /** The environment comes first: where its address answers, the file's is not used. */
    @Test
    void aProcessWhoseDiscoveryAnswersDoesNotUseTheOneOfTheFile() throws Exception {
        Path otherFolder = Files.createDirectory(folder.resolve("other"));
        try (Platform other = new Platform(otherFolder)) {
            other.writeConfig(hostJson("s-1", host.port(), 7, "ready"));
            platform.writeConfig(hostJson("s-1", host.port(), 7, "ready"));
            Map<String, String> env = new HashMap<>(platform.environment());
            env.put("EDGE_DISCOVERY", other.agentAddress());
            try (Node relay = new Node(Config.read(env)); var client = new Platform.Client(relay)) {
                assertEquals(ACCEPTED, client.post("a", "pay", 7, 900).get(0));
                assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", other.nextNotice());
            }
            assertTrue(platform.listQueries.isEmpty() && platform.notices.isEmpty());
        }
    }

    /** Start of the entry of class pay in the configuration file. */
    private static final String PAY_CLASS_START = "{\"name\":\"pay\"";
    /** The maximum number of attempts in the configuration file. */
    private static final String MAX_ATTEMPTS_SETTING = "\"most-tries\":12";

    /**
     * Guards the rules of a class: a message keeps the class that it was accepted under; new messages get the
     * new one.
     */
    @Test
    void aReloadAddsClassesAndAcceptedMessagesKeepTheirs() throws Exception {
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            assertTrue(client.post("x", "rush", 7, 16_000).get(0).startsWith("HTTP/1.1 404 "));
        }
        Node relay = startRelay();
        try (var client = new Platform.Client(relay)) {
            assertEquals(ACCEPTED, client.post("before", "pay", 7, 60_000).get(0));
            host.nextCall()
                .respond("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 50\r\nContent-Length: 0\r\n\r\n");
            // Class pay, which is unsafe, is replaced by class rush, which may be repeated.
            replaceInConfig(PAY_CLASS_START + ",\"aim\":2000,\"hard-limit\":16000,\"semantics\":\"fragile\"}",
                "{\"name\":\"rush\",\"aim\":500,\"hard-limit\":900,\"semantics\":\"retryable\"}");
            relay.reload(platform.environment());
            assertTrue(ConsoleTest.metrics(relay).object("completed").values().containsKey("rush"));
            assertEquals(ACCEPTED, client.post("after", "rush", 7, 900).get(0));
        }
        try (var client = new Platform.Client(relay)) {
            assertTrue(client.post("late", "pay", 7, 16_000).get(0).startsWith("HTTP/1.1 404 "));
        }
        relay.close();
        // The first message's class is no longer in the configuration: the journal has recorded it.
        try (Node next = startRelay()) {
            next.reload(platform.environment());
            List<String> sent = new java.util.ArrayList<>();
            while (!sent.contains("before")) {
                StubHost.Call call = host.nextCall();
                sent.add(call.header("X-Request-ID"));
                call.respond(StubHost.OK);
            }
            awaitIdle(next);
        }
    }

    /** Guards a serving relay: nothing of an invalid file is applied, not even the address of discovery. */
    @Test
    void nothingOfAnInvalidFileIsApplied() throws Exception {
        try (Node relay = startRelay(); var client = new Platform.Client(relay)) {
            Path file = folder.resolve("config.json");
            String validText = Files.readString(file);
            // A valid text with another address of discovery and another class; all texts below are invalid.
            String changedText = validText.replaceFirst("\"discovery\":\"127.0.0.1:\\d+\"",
                "\"discovery\":\"127.0.0.1:9\"")
                .replace(PAY_CLASS_START, "{\"name\":\"other\"");
            List<String> invalidTexts = List.of("", changedText.substring(0, changedText.length() / 2), "[]",
                changedText.replace("\"limits\"", "\"unlimited\""),
                changedText.replace("\"settings\"", "\"set\""),
                changedText.replace("\"discovery\"", "\"elsewhere\""),
                changedText.replace("\"profiles\"", "\"classes\""),
                changedText.replace("\"rules\"", "\"customs\""),
                changedText.replace("\"open-cap\"", "\"cap\""),
                changedText.replace("\"hard-limit\":16000", "\"hard-limit\":-5"),
                changedText.replace("\"hard-limit\":16000", "\"hard-limit\":\"soon\""),
                changedText.replace("\"hard-limit\":16000,", ""),
                changedText.replace(MAX_ATTEMPTS_SETTING, "\"most-tries\":0"),
                changedText.replace(MAX_ATTEMPTS_SETTING, "\"most-tries\":\"many\""),
                changedText.replace(MAX_ATTEMPTS_SETTING, "\"most-tries\":null"),
                changedText.replace("fragile", "wobbly"),
                changedText.replace("\"window\":15000", "\"window\":0"),
                changedText.replace("[\"m1\",\"m2\",\"m3\"]", "[\"m1\"]"));
            for (String text : invalidTexts) {
                Files.writeString(file, text);
                relay.reload(platform.environment());
            }
            assertEquals(invalidTexts.size(), ConsoleTest.metrics(relay).longValue("config_reload_errors"));
            assertEquals(0, ConsoleTest.metrics(relay).longValue("config_reloads"));
            assertEquals(ACCEPTED, client.post("a", "pay", 7, 300).get(0));
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.nextNotice(),
                "must be posted to the old address");
            Files.writeString(file, validText);
            relay.reload(platform.environment());
            assertEquals(1, ConsoleTest.metrics(relay).longValue("config_reloads"));
        }
    }

    /**
     * Guards the reload of a fleet that grows into more sites: more sites alone must not make a relay keep
     * its old settings. A different order is an error: relays refer to sites by index.
     */
    @Test
    void aReloadMayAddSitesButNotReorderThem() throws Exception {
        try (Node relay = startRelay()) {
            Path file = Path.of(platform.environment().get("EDGE_CONFIG"));
            String original = Files.readString(file);
            Files.writeString(file, original.replace("[\"a\",\"b\"]", "[\"a\",\"b\",\"c\"]"));
            relay.reload(platform.environment());
            assertEquals(1, ConsoleTest.metrics(relay).longValue("config_reloads"));
            Files.writeString(file, original.replace("[\"a\",\"b\"]", "[\"b\",\"a\"]"));
            relay.reload(platform.environment());
            assertEquals(1, ConsoleTest.metrics(relay).longValue("config_reload_errors"));
        }
    }
}
