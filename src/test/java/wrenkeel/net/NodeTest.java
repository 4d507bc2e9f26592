package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;
import static wrenkeel.net.Platform.host;
import static wrenkeel.net.Platform.list;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The whole relay over loopback sockets: one test for each way in which it could go wrong. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class NodeTest {
    private static final String TAKEN = "HTTP/1.1 202 Accepted";

    @TempDir
    Path folder;
    private Platform platform;
    private Host host;

    @BeforeEach
    void begin() throws IOException {
        platform = new Platform(folder);
        host = new Host();
    }

    @AfterEach
    void end() throws IOException {
        host.close();
        platform.close();
    }

    private Node relay() throws Exception {
        return platform.relay(host("s-1", host.port(), 7, "ready"));
    }

    private void awaitClosedJournal(Node relay) throws Exception {
        while (!relay.idle()) {
            Thread.sleep(5);
        }
    }

    @Test
    void aMessageGoesOnUnchangedOverAKeptConnection() throws Exception {
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            Host.Call first = host.call();
            assertEquals("POST /v1/messages HTTP/1.1", first.head().get(0));
            assertEquals("a", first.header("X-Request-ID"));
            assertEquals("key-a", first.header("Idempotency-Key"));
            assertEquals("bill \u00e4\0 of a", first.body());
            assertTrue(Long.parseLong(first.header("X-Timeout-Ms")) > 0);
            first.answer(Host.OK);
            awaitClosedJournal(relay);
            assertEquals(TAKEN, client.post("b", "bill", 7, 16_000).get(0));
            // Guards against a handshake for each message.
            assertSame(first.socket(), host.call().socket());
        }
    }

    /** Guards destinations that count calls: what one turn sends to a host of such a kind travels as one. */
    @Test
    void messagesThatWaitedGoOutTogetherWhereTheKindTakesBundles() throws Exception {
        try (Node relay = platform.relay(host("s-1", "m3", host.port(), 7, "ready"));
                var client = new Platform.Client(relay)) {
            for (String id : List.of("a", "b", "c")) {
                assertEquals(TAKEN, client.post(id, "bill", 7, 16_000).get(0));
            }
            Host.Call first = host.call();
            assertEquals("a", first.header("X-Request-ID"));
            first.answer(Host.OK);
            Host.Call bundle = host.call();
            assertEquals("POST /v1/messages:batch HTTP/1.1", bundle.head().get(0));
            assertTrue(bundle.body().contains("\"id\":\"b\",\"key\":\"key-b\""), bundle.body());
            assertTrue(bundle.body().contains("\"id\":\"c\",\"key\":\"key-c\""), bundle.body());
            String states = "[{\"id\":\"b\",\"state\":\"accepted\"},{\"id\":\"c\",\"state\":\"accepted\"}]";
            bundle.answer("HTTP/1.1 200 OK\r\nContent-Length: " + states.length() + "\r\n\r\n" + states);
            awaitClosedJournal(relay);
            assertTrue(host.quiet());
        }
        assertTrue(platform.notices.isEmpty(), "delivered, so no notice");
    }

    /** Guards messages of several lives in one call: it must not be over with the first of them. */
    @Test
    void aBundleBeginsWithTheMessageThatHasMostTimeLeft() throws Exception {
        try (Node relay = platform.relay(host("s-1", "m3", host.port(), 7, "ready"));
                var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            Host.Call first = host.call();
            assertEquals(TAKEN, client.post("short", "bill", 7, 15_500).get(0));
            assertEquals(TAKEN, client.post("long", "bill", 7, 16_000).get(0));
            first.answer(Host.OK);
            String bundle = host.call().body();
            assertTrue(bundle.startsWith("[{\"id\":\"long\"") && bundle.contains("\"id\":\"short\""), bundle);
        }
    }

    @Test
    void healthIsToldAndBadRequestsAreTurnedAwayAndNotWrittenDown() throws Exception {
        try (Node relay = relay()) {
            long before = Files.size(platform.journal());
            List<String> good = Platform.Client.headers("x", "bill", 7, 900);
            try (var client = new Platform.Client(relay)) {
                assertEquals("HTTP/1.1 200 OK", client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]).get(0));
            }
            assertStatus(404, relay, client -> client.post("x", "wobble", 7, 900));
            assertStatus(404, relay, client -> client.post("x", "bill", 8, 900));
            assertStatus(404, relay, client -> client.post("/other", good, ""));
            assertStatus(400, relay, client -> client.post("x", "bill", 7, 0));
            assertStatus(400, relay, client -> client.post("x", "bill", 7, Long.MAX_VALUE));
            for (int left = 0; left < good.size(); left++) {
                List<String> headers = new java.util.ArrayList<>(good);
                if (!headers.remove(left).startsWith("X-Priority-Class")) {
                    assertStatus(400, relay, client -> client.post("/bill", headers, ""));
                }
            }
            assertStatus(405, relay, client -> client.raw("GET /bill HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]));
            assertStatus(413, relay, client -> client.post("/bill", good, "x".repeat(64 * 1024 + 1)));
            assertStatus(400, relay, client -> client.raw("nonsense\r\n\r\n", new byte[0]));
            assertEquals(before, Files.size(platform.journal()));
        }
    }

    private interface Request {
        List<String> send(Platform.Client client) throws IOException;
    }

    /** Guards the CPU too: a peer that asks for what no client asks for is not heard out, but closed. */
    private static void assertStatus(int status, Node relay, Request request) throws IOException {
        try (var client = new Platform.Client(relay)) {
            List<String> head = request.send(client);
            assertTrue(head.get(0).startsWith("HTTP/1.1 " + status), head.get(0));
            assertTrue(client.closed());
        }
    }

    /** Guards the cap on messages held: the client is told to come back, not left waiting. */
    @Test
    void aboveTheOpenCapAMessageIsRefusedWithATimeToComeBack() throws Exception {
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            // The module gives back one that it may when the cap is reached, so unsafe ones that are out hold it.
            int taken = 0;
            List<String> answer = client.post("m0", "pay", 7, 16_000);
            while (answer.get(0).equals(TAKEN) && taken < 20) {
                taken++;
                answer = client.post("m" + taken, "pay", 7, 16_000);
            }
            assertTrue(taken >= 3 && taken <= 4, taken + " were taken");
            assertTrue(answer.get(0).startsWith("HTTP/1.1 503 "), answer.get(0));
        }
    }

    /** Guards against a lost end: the notice is posted until the platform acknowledges it. */
    @Test
    void aMessageThatIsGivenUpEndsByANoticeThatIsRepeatedUntilItIsAcknowledged() throws Exception {
        platform.noticeStatuses.add(500);
        platform.noticeStatuses.add(503);
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 300).get(0));
            assertNotNull(host.call());
            String notice = "{\"message\":\"a\",\"outcome\":\"given_up\"}";
            for (int i = 0; i < 3; i++) {
                assertEquals(notice, platform.notice());
            }
            awaitClosedJournal(relay);
        }
        try (Journal journal = platform.leftBehind()) {
            assertTrue(journal.owed().isEmpty());
        }
    }

    /** Guards the ends of all messages against one whose notice the platform cannot read. */
    @Test
    void aNoticeThatCannotBeReadHoldsUpNoOther() throws Exception {
        platform.unreadable = "\"bad\"";
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("bad", "bill", 7, 300).get(0));
            assertEquals("{\"message\":\"bad\",\"outcome\":\"given_up\"}", platform.notice());
            assertEquals(TAKEN, client.post("good", "bill", 7, 300).get(0));
            long by = System.nanoTime() + TimeUnit.SECONDS.toNanos(Platform.PATIENCE_S);
            while (ConsoleTest.figures(relay).object("failed").whole("bill") == 0 && System.nanoTime() < by) {
                Thread.sleep(5);
            }
        }
        try (Journal journal = platform.leftBehind()) {
            assertEquals(List.of("bad"), journal.owed().stream().map(entry -> entry.message.id()).toList());
        }
    }

    /** Guards what is owed against a kill: keyed messages go out again, with the same id, key and body. */
    @Test
    void aKeyedMessageThatWasOutIsSentAgainAfterARestart() throws Exception {
        Host.Call before;
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            before = host.call();
        }
        try (Node relay = relay()) {
            Host.Call after = host.call();
            assertEquals("a", after.header("X-Request-ID"));
            assertEquals("key-a", after.header("Idempotency-Key"));
            assertEquals(before.body(), after.body());
            after.answer(Host.OK);
            awaitClosedJournal(relay);
        }
        assertTrue(platform.notices.isEmpty(), "delivered, so no notice");
    }

    /** Guards against double effects: an unsafe call that was out at the kill may have run. */
    @Test
    void anUnsafeMessageThatWasOutIsGivenUpAfterARestart() throws Exception {
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "pay", 7, 16_000).get(0));
            assertNotNull(host.call());
        }
        try (Node relay = relay()) {
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.notice());
            awaitClosedJournal(relay);
            assertTrue(host.quiet());
        }
    }

    /** An unsafe message whose only call was turned away never ran: it goes out after a restart. */
    @Test
    void anUnsafeMessageThatNeverRanIsSentAfterARestart() throws Exception {
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "pay", 7, 60_000).get(0));
            Host.Call call = host.call();
            long before = Files.size(platform.journal());
            call.answer("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 50.5\r\nContent-Length: 0\r\n\r\n");
            while (Files.size(platform.journal()) == before) {
                Thread.sleep(5);
            }
        }
        try (Node relay = relay()) {
            assertFalse(relay.idle());
            assertEquals("a", host.call().header("X-Request-ID"));
        }
    }

    @Test
    void aMessageWhoseTimePassedWhileTheRelayWasDownStillGetsItsNotice() throws Exception {
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 400).get(0));
            assertNotNull(host.call());
        }
        Thread.sleep(400);
        try (Node relay = relay()) {
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.notice());
            awaitClosedJournal(relay);
        }
    }

    /** Guards the rule on drains: a host that the watch calls draining gets nothing new. */
    @Test
    void aDrainingHostGetsNothingNewAndItsReplacementDoes() throws Exception {
        try (Host other = new Host(); Node relay = relay(); var client = new Platform.Client(relay)) {
            platform.changes.add(list(2, false, host("s-1", host.port(), 7, "draining"),
                host("s-2", other.port(), 7, "ready")));
            // The third watch is only asked for once the second list has been taken in.
            platform.changes.add(list(3, false));
            while (!platform.changes.isEmpty()) {
                Thread.sleep(5);
            }
            for (int i = 0; i < 3; i++) {
                assertEquals(TAKEN, client.post("m" + i, "bill", 7, 16_000).get(0));
                other.call().answer(Host.OK);
                awaitClosedJournal(relay);
            }
            assertTrue(host.quiet());
        }
    }

    /** Guards the rule on drains at a restart: what the agent has binds before it has been asked. */
    @Test
    void aProcessThatStartsSendsNothingByAnOldListWhileANewerOneIsOnItsWay() throws Exception {
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 60_000).get(0));
            assertNotNull(host.call());
        }
        platform.atOnce.clear();
        try (Host other = new Host()) {
            platform.atOnce.add(list(2, false, host("s-1", host.port(), 7, "draining"),
                host("s-2", other.port(), 7, "ready")));
            try (Node relay = relay()) {
                Host.Call call = other.call();
                assertNotNull(call, "sent by the list of before");
                call.answer(Host.OK);
                awaitClosedJournal(relay);
                assertTrue(host.quiet());
            }
        }
    }

    /** Guards service against a discovery that is down at the start. */
    @Test
    void aSilentAgentDelaysTheFirstCallForAShortTimeOnly() throws Exception {
        platform.atOnce.clear();
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 60_000).get(0));
            assertNotNull(host.call());
        }
    }

    /** Guards the rule on drains: a watch that never speaks again is noticed before its silence counts as told. */
    @Test
    void aWatchThatFallsSilentIsAskedAnewWithoutWaiting() throws Exception {
        long countsAsTold = 6_000, toAskAndToStop = 1_000;
        assertTrue(Discovery.WATCH_WAIT_MS + Discovery.WATCH_SLACK_MS + toAskAndToStop <= countsAsTold);
        try (Node relay = relay()) {
            assertNotNull(relay.address());
            assertEquals("after=1&wait_ms=1", platform.asked.take());
            assertEquals("after=1&wait_ms=" + Discovery.WATCH_WAIT_MS, platform.asked.take());
            assertEquals("after=1&wait_ms=1", platform.asked.poll(Platform.PATIENCE_S, TimeUnit.SECONDS));
        }
    }

    /** Guards the watch against standing still, and against asking without a pause, after a list it cannot read. */
    @Test
    void theWatchGoesOnAfterAListThatCannotBeRead() throws Exception {
        try (Host other = new Host(); Node relay = relay(); var client = new Platform.Client(relay)) {
            platform.changes.add("{\"seq\":2,\"whole\":true,\"hosts\":[{}]}");
            platform.changes.add("nonsense");
            platform.changes.add(list(3, true, host("s-2", other.port(), 8, "ready")));
            platform.changes.add(list(4, false));
            while (!platform.changes.isEmpty()) {
                Thread.sleep(5);
            }
            assertEquals(TAKEN, client.post("a", "bill", 8, 16_000).get(0));
            assertEquals("a", other.call().header("X-Request-ID"));
        }
    }

    /** Guards against a relay that goes on listening to an agent that has been taken away. */
    @Test
    void afterAReloadTheNewAddressTellsTheListAndGetsTheNotices() throws Exception {
        Path elsewhere = Files.createDirectories(folder.resolve("elsewhere"));
        try (Host other = new Host(); Platform next = new Platform(elsewhere); Node relay = relay();
                var client = new Platform.Client(relay)) {
            next.config(host("s-1", host.port(), 7, "ready"));
            next.changes.add(list(2, false, host("s-1", host.port(), 7, "gone"), host("s-2", other.port(), 7, "ready")));
            next.changes.add(list(3, false));
            relay.reload(next.env());
            while (!next.changes.isEmpty()) {
                Thread.sleep(5);
            }
            assertEquals(TAKEN, client.post("a", "bill", 7, 600).get(0));
            assertEquals("a", other.call().header("X-Request-ID"));
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", next.notice());
            awaitClosedJournal(relay);
        }
        assertTrue(platform.notices.isEmpty());
    }

    @Test
    void aReloadOfAnUnusableConfigurationChangesNothing() throws Exception {
        Path bad = Files.writeString(folder.resolve("bad.json"), "{\"discovery\":\"nowhere\"}");
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            relay.reload(Map.of("EDGE_CONFIG", bad.toString()));
            relay.reload(Map.of("EDGE_CONFIG", folder.resolve("absent").toString()));
            assertEquals(TAKEN, client.post("a", "bill", 7, 300).get(0));
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.notice());
        }
    }

    /** Guards against an end at SIGHUP: it may come as soon as the relay is seen to be ready. */
    @Test
    void aHangupIsHeardBeforeTheDoorIsOpened() throws Exception {
        Class<?> signal = Class.forName("sun.misc.Signal"), handler = Class.forName("sun.misc.SignalHandler");
        Object hangup = signal.getConstructor(String.class).newInstance("HUP");
        Object byDefault = handler.getField("SIG_DFL").get(null);
        var handle = signal.getMethod("handle", signal, handler);
        handle.invoke(null, hangup, byDefault);
        try (var taken = new java.net.ServerSocket(0, 1, Platform.LOOPBACK)) {
            platform.config("127.0.0.1:" + taken.getLocalPort(), new String[0]);
            assertEquals(2, Node.serve(platform.env()), "the door could not be opened");
        }
        assertNotSame(byDefault, handle.invoke(null, hangup, byDefault));
    }

    /** A signal that comes late must not break the end. */
    @Test
    void aReloadAfterTheEndIsTurnedDown() throws Exception {
        Node relay = relay();
        relay.close();
        assertDoesNotThrow(() -> relay.reload(platform.env()));
    }

    /** Guards the orderly end: clients are answered and turned away, and what is out is finished first. */
    @Test
    void atTheOrderlyEndClientsAreServedAndCallsFinished() throws Exception {
        Node relay = relay();
        try (var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            Thread end = new Thread(relay::leave);
            end.start();
            List<String> health;
            do {
                try (var probe = new Platform.Client(relay)) {
                    health = probe.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]);
                }
            } while (health.get(0).contains("200"));
            List<String> answer = client.post("b", "bill", 7, 16_000);
            assertEquals(TAKEN, answer.get(0));
            assertTrue(answer.stream().anyMatch("connection: close"::equalsIgnoreCase), answer.toString());
            assertTrue(client.closed());
            host.call().answer(Host.OK);
            host.call().answer(Host.OK);
            end.join();
        }
        try (Journal journal = platform.leftBehind()) {
            assertTrue(journal.owed().isEmpty(), "both were delivered before the end");
        }
    }

    /** Guards against a lost request: one that is half written as the door closes is read to its end and answered. */
    @Test
    void atTheOrderlyEndARequestOnItsWayIsStillAnswered() throws Exception {
        Node relay = relay();
        var address = relay.address();
        try (var half = new Platform.Client(relay); var client = new Platform.Client(relay)) {
            half.write("POST /bill HTTP/1.1\r\nHost: api.internal\r\n");
            // Answered by the same thread after it has read the half request.
            assertEquals("HTTP/1.1 200 OK", client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]).get(0));
            Thread end = new Thread(relay::leave);
            end.start();
            while (!refused(address)) {
                Thread.onSpinWait();
            }
            half.write(String.join("\r\n", Platform.Client.headers("a", "bill", 7, 16_000))
                + "\r\nContent-Length: 0\r\n\r\n");
            assertEquals(TAKEN, half.answer().get(0));
            assertTrue(half.closed());
            host.call().answer(Host.OK);
            end.join();
        }
    }

    /** True once nobody listens there; a connection that still comes up is left to the relay to close. */
    private static boolean refused(java.net.InetSocketAddress address) throws IOException {
        try (var probe = new Platform.Client(address)) {
            probe.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]);
            return false;
        } catch (java.net.ConnectException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void anUnusableConfigurationIsOnePlainLine() throws IOException {
        assertThrows(Config.Unusable.class, () -> Config.read(Map.of()));
        Path file = Files.writeString(folder.resolve("bad.json"), "{\"listen\":");
        var fault = assertThrows(Config.Unusable.class,
            () -> Config.read(Map.of("EDGE_CONFIG", file.toString(), "EDGE_STATE", folder.toString())));
        assertEquals(1, fault.getMessage().lines().count());
        assertThrows(Config.Unusable.class, () -> Config.address("localhost:80"));
        // A resolver would be asked for these, on the relay's thread.
        assertThrows(Config.Unusable.class, () -> Config.address("10.1:80"));
        assertThrows(Config.Unusable.class, () -> Config.address("10.0.0.300:80"));
        assertEquals(2, Node.serve(Map.of()));
    }

    private Config shared() throws Exception {
        return shared(platform.freePort());
    }

    private Config shared(int port) throws Exception {
        return platform.config("127.0.0.1:" + port, new String[] {host("s-1", host.port(), 7, "ready")});
    }

    private static void awaitReady(Node relay) throws Exception {
        while (!ConsoleTest.ready(relay)) {
            Thread.sleep(5);
        }
    }

    /** Guards messages across a replacement: what is out ends in the old process, the rest in the new one. */
    @Test
    void aProcessThatStandsByTakesOverWhatIsNotOut() throws Exception {
        int port = platform.freePort();
        Config config = shared(port);
        Node old = new Node(config);
        try (var client = new Platform.Client(old)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 60_000).get(0));
            Host.Call out = host.call();
            assertEquals(TAKEN, client.post("b", "bill", 7, 60_000).get(0));
            try (Node next = new Node(config)) {
                awaitReady(next);
                assertTrue(host.quiet(), "one process decides");
                Thread end = new Thread(old::leave);
                end.start();
                try (var late = new Platform.Client(new java.net.InetSocketAddress(Platform.LOOPBACK, port))) {
                    assertEquals(TAKEN, late.post("c", "bill", 7, 60_000).get(0));
                }
                // The old process's call counts against the window, so the new one sends after it.
                out.answer(Host.OK);
                List<String> sent = new java.util.ArrayList<>();
                for (int i = 0; i < 2; i++) {
                    Host.Call passed = host.call();
                    sent.add(passed.header("X-Request-ID"));
                    passed.answer(Host.OK);
                }
                assertEquals(List.of("b", "c"), sent.stream().sorted().toList());
                end.join();
                awaitClosedJournal(next);
            }
        }
        assertTrue(platform.notices.isEmpty(), "all were delivered");
        assertTrue(host.quiet(), "and once only");
    }

    /** Guards what is owed when the old process is killed before it was told to leave. */
    @Test
    void aProcessThatStandsByTakesOverFromOneThatWasKilled() throws Exception {
        Config config = shared();
        Node old = new Node(config);
        try (var client = new Platform.Client(old)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 60_000).get(0));
            assertNotNull(host.call());
        }
        try (Node next = new Node(config)) {
            awaitReady(next);
            old.close();
            Host.Call again = host.call();
            assertEquals("a", again.header("X-Request-ID"));
            again.answer(Host.OK);
            awaitClosedJournal(next);
        }
    }

    /** Guards the process in service against one that is called off before it took over. */
    @Test
    void aProcessThatIsToldToEndWhileItStandsByLeavesTheOtherAlone() throws Exception {
        Config config = shared();
        try (Node old = new Node(config); var client = new Platform.Client(old)) {
            Node next = new Node(config);
            awaitReady(next);
            try (Node third = new Node(config)) {
                awaitReady(third);
                next.leave();
                // It had nothing to pass on, and must not have told anybody to take over.
                assertFalse(Files.exists(folder.resolve("state").resolve("leaving.2")));
                assertEquals(TAKEN, client.post("a", "bill", 7, 60_000).get(0));
                host.call().answer(Host.OK);
                awaitClosedJournal(old);
            }
        }
    }

    /** Guards the wait that a partner told: it binds whichever process heard it. */
    @Test
    void aWaitIsHeededByTheProcessThatTakesOver() throws Exception {
        Config config = shared();
        Node old = new Node(config);
        try (var client = new Platform.Client(old); Node next = new Node(config)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 60_000).get(0));
            host.call().answer("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 3.5\r\nContent-Length: 0\r\n\r\n");
            long told = System.nanoTime();
            awaitReady(next);
            old.leave();
            assertEquals("a", host.call().header("X-Request-ID"));
            assertTrue(System.nanoTime() - told >= TimeUnit.MILLISECONDS.toNanos(3_400));
        }
    }

    private void rewrite(String from, String to) throws IOException {
        Path file = folder.resolve("config.json");
        String before = Files.readString(file);
        assertTrue(before.contains(from), from);
        Files.writeString(file, before.replace(from, to));
    }

    private static final String PAY = "{\"name\":\"pay\"", TRIES = "\"most-tries\":12";

    /** Guards what a class promises: a message keeps the one it was taken under, new ones have the new one. */
    @Test
    void aReloadBringsClassesAndMessagesKeepTheirs() throws Exception {
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            assertTrue(client.post("x", "rush", 7, 16_000).get(0).startsWith("HTTP/1.1 404 "));
        }
        Node relay = relay();
        try (var client = new Platform.Client(relay)) {
            assertEquals(TAKEN, client.post("before", "pay", 7, 60_000).get(0));
            host.call().answer("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 50\r\nContent-Length: 0\r\n\r\n");
            // The unsafe class goes, one of its name that may be repeated comes, and a further one.
            rewrite(PAY + ",\"aim\":2000,\"hard-limit\":16000,\"semantics\":\"fragile\"}",
                "{\"name\":\"rush\",\"aim\":500,\"hard-limit\":900,\"semantics\":\"retryable\"}");
            relay.reload(platform.env());
            assertTrue(ConsoleTest.figures(relay).object("completed").values().containsKey("rush"));
            assertEquals(TAKEN, client.post("after", "rush", 7, 900).get(0));
        }
        try (var client = new Platform.Client(relay)) {
            assertTrue(client.post("late", "pay", 7, 16_000).get(0).startsWith("HTTP/1.1 404 "));
        }
        relay.close();
        // The class of the first is in no configuration any more: it is known from the journal.
        try (Node next = relay()) {
            next.reload(platform.env());
            List<String> sent = new java.util.ArrayList<>();
            while (!sent.contains("before")) {
                Host.Call call = host.call();
                sent.add(call.header("X-Request-ID"));
                call.answer(Host.OK);
            }
            awaitClosedJournal(next);
        }
    }

    /** Guards a relay in service: of a file with a fault nothing is taken, not even where discovery is. */
    @Test
    void nothingOfABrokenFileIsTaken() throws Exception {
        try (Node relay = relay(); var client = new Platform.Client(relay)) {
            Path file = folder.resolve("config.json");
            String good = Files.readString(file);
            String moved = good.replaceFirst("\"discovery\":\"127.0.0.1:\\d+\"", "\"discovery\":\"127.0.0.1:9\"")
                .replace(PAY, "{\"name\":\"other\"");
            List<String> broken = List.of("", moved.substring(0, moved.length() / 2), "[]",
                moved.replace("\"limits\"", "\"unlimited\""), moved.replace("\"settings\"", "\"set\""),
                moved.replace("\"discovery\"", "\"elsewhere\""), moved.replace("\"profiles\"", "\"classes\""),
                moved.replace("\"rules\"", "\"customs\""), moved.replace("\"open-cap\"", "\"cap\""),
                moved.replace("\"hard-limit\":16000", "\"hard-limit\":-5"),
                moved.replace("\"hard-limit\":16000", "\"hard-limit\":\"soon\""),
                moved.replace("\"hard-limit\":16000,", ""), moved.replace(TRIES, "\"most-tries\":0"),
                moved.replace(TRIES, "\"most-tries\":\"many\""), moved.replace(TRIES, "\"most-tries\":null"),
                moved.replace("fragile", "wobbly"), moved.replace("\"window\":15000", "\"window\":0"),
                moved.replace("[\"m1\",\"m2\",\"m3\"]", "[\"m1\"]"));
            for (String text : broken) {
                Files.writeString(file, text);
                relay.reload(platform.env());
            }
            assertEquals(broken.size(), ConsoleTest.figures(relay).whole("config_reload_errors"));
            assertEquals(0, ConsoleTest.figures(relay).whole("config_reloads"));
            assertEquals(TAKEN, client.post("a", "pay", 7, 300).get(0));
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.notice(), "told where it was");
            Files.writeString(file, good);
            relay.reload(platform.env());
            assertEquals(1, ConsoleTest.figures(relay).whole("config_reloads"));
        }
    }

    /** A fleet grows into further sites: that alone must not make a relay keep the settings of before. */
    @Test
    void aReloadMayNameFurtherSitesButNotMixUpThoseInForce() throws Exception {
        try (Node relay = relay()) {
            Path file = Path.of(platform.env().get("EDGE_CONFIG"));
            String named = Files.readString(file);
            Files.writeString(file, named.replace("[\"a\",\"b\"]", "[\"a\",\"b\",\"c\"]"));
            relay.reload(platform.env());
            assertEquals(1, ConsoleTest.figures(relay).whole("config_reloads"));
            Files.writeString(file, named.replace("[\"a\",\"b\"]", "[\"b\",\"a\"]"));
            relay.reload(platform.env());
            assertEquals(1, ConsoleTest.figures(relay).whole("config_reload_errors"));
        }
    }
}
