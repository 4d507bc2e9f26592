package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import wrenkeel.Relay.Outcome;

/** Each way in which a call can end, by the protocol's table. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class HostPoolTest {
    private static final long LONG_MICROS = 60_000_000, KEEP_ALIVE_MICROS = 15_000_000;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<HostPool.Reply> replies = new LinkedBlockingQueue<>();
    private final HostList.Host defaultHost = new HostList.Host(1, "s-1");

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private HostPool newPool(long keepAliveMicros) {
        return new HostPool(group.next(), new Bootstrap().group(group), LONG_MICROS, keepAliveMicros, 100, new Figures());
    }


    private HostPool.Attempt attempt(String id, String key, long timeoutMicros, int bytes) {
        return new HostPool.Attempt(new Message(id, "bill", 0, null, key, 7, 0, new byte[bytes]), timeoutMicros,
            replies::add);
    }

    private void startCall(HostPool pool, int port, HostPool.Attempt... attempts) throws Exception {
        defaultHost.address = new InetSocketAddress(Platform.LOOPBACK, port);
        defaultHost.ready = true;
        group.next().submit(() -> pool.startCall(defaultHost, List.of(attempts))).get();
    }

    private HostPool.Attempt startCall(HostPool pool, int port, long timeoutMicros, int bytes) throws Exception {
        HostPool.Attempt attempt = attempt("a", null, timeoutMicros, bytes);
        startCall(pool, port, attempt);
        return attempt;
    }

    private HostPool.Reply awaitReply() throws InterruptedException {
        return replies.poll(Platform.PATIENCE_S, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @CsvSource({"200, , OK, true, 0", "500, , ERROR, false, 0", "429, Retry-After: 0.283, FULL, false, 283000",
        "429, , FULL, false, 0", "503, , FULL, false, 0", "503, X-No-Slot: 1, NOT_SENT, false, 0",
        "504, , NOT_SENT, false, 0", "410, , NOT_SENT, true, 0", "418, , ERROR, false, 0"})
    void statusAndHeadersDetermineTheReply(int status, String header, Outcome outcome, boolean messageOver, long retryAfterMicros)
            throws Exception {
        try (Host host = new Host()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), LONG_MICROS, 10);
            host.call().answer("HTTP/1.1 " + status + " x\r\nX-Server-Load: x0=0.4,x1=25\r\n"
                + (header == null ? "" : header + "\r\n") + "Content-Length: 0\r\n\r\n");
            HostPool.Reply reply = awaitReply();
            assertEquals(outcome, reply.outcome());
            assertEquals(messageOver, reply.messageOver());
            assertEquals(retryAfterMicros, reply.retryAfterMicros());
            assertEquals(0.4, reply.remainingShare());
            assertEquals(25, reply.rateLimitPerSecond());
        }
    }

    /**
     * Guards the descriptors: a connection that carries nothing gives way to one that is needed elsewhere.
     */
    @Test
    void idleConnectionIsClosedToStayWithinTheLimit() throws Exception {
        try (Host first = new Host(); Host second = new Host()) {
            HostPool pool = new HostPool(group.next(), new Bootstrap().group(group), LONG_MICROS, KEEP_ALIVE_MICROS, 1, new Figures());
            startCall(pool, first.port(), LONG_MICROS, 10);
            Host.Call idle = first.call();
            idle.answer(Host.OK);
            assertEquals(Outcome.OK, awaitReply().outcome());
            HostList.Host other = new HostList.Host(2, "s-2");
            other.address = new InetSocketAddress(Platform.LOOPBACK, second.port());
            group.next().submit(() -> pool.startCall(other, List.of(attempt("b", null, LONG_MICROS, 10)))).get();
            assertTrue(first.ended(idle));
            second.call().answer(Host.OK);
            assertEquals(Outcome.OK, awaitReply().outcome());
        }
    }

    private HostPool newPoolWithLimit(int maxConnections) {
        return new HostPool(group.next(), new Bootstrap().group(group), LONG_MICROS, KEEP_ALIVE_MICROS, maxConnections,
            new Figures());
    }

    private void startCallToOther(HostPool pool, int number, Host host, HostPool.Attempt attempt) throws Exception {
        HostList.Host other = new HostList.Host(number, "s-" + number);
        other.address = new InetSocketAddress(Platform.LOOPBACK, host.port());
        other.ready = true;
        group.next().submit(() -> pool.startCall(other, List.of(attempt))).get();
    }

    private int connectionCount(HostPool pool) throws Exception {
        return group.next().submit(pool::connectionCount).get();
    }

    /**
     * Guards the descriptors: where each connection carries a call, one more call waits for one of them.
     */
    @Test
    void callOverTheLimitWaitsForAFreeConnection() throws Exception {
        try (Host first = new Host(); Host second = new Host(); Host third = new Host()) {
            HostPool pool = newPoolWithLimit(2);
            startCallToOther(pool, 1, first, attempt("a", null, LONG_MICROS, 10));
            startCallToOther(pool, 2, second, attempt("b", null, LONG_MICROS, 10));
            startCallToOther(pool, 3, third, attempt("c", null, LONG_MICROS, 10));
            startCallToOther(pool, 3, third, attempt("d", null, LONG_MICROS, 10));
            assertEquals(2, connectionCount(pool));
            first.call().answer(Host.OK);
            Host.Call next = third.call();
            assertEquals("c", next.header("X-Request-ID"));
            assertEquals(2, connectionCount(pool));
            next.answer(Host.OK);
            Host.Call last = third.call();
            assertEquals("d", last.header("X-Request-ID"));
            assertSame(next.socket(), last.socket(), "the free connection leads where it wants to go");
        }
    }

    /** Guards the message: a call that waits for a connection has not begun, and ends once. */
    @Test
    void callWaitingForAFreeConnectionCanExpireOrBeCancelled() throws Exception {
        try (Host first = new Host(); Host second = new Host()) {
            HostPool pool = newPoolWithLimit(1);
            startCallToOther(pool, 1, first, attempt("a", null, LONG_MICROS, 10));
            Host.Call running = first.call();
            HostPool.Attempt late = attempt("late", null, LONG_MICROS, 10);
            startCallToOther(pool, 2, second, late);
            group.next().submit(late::expire).get();
            assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
            startCall(pool, second.port(), attempt("back", null, LONG_MICROS, 10));
            group.next().submit(() -> pool.cancelUnsent(defaultHost)).get();
            assertEquals(Outcome.NOT_SENT, awaitReply().outcome());
            startCallToOther(pool, 2, second, attempt("goes", null, LONG_MICROS, 10));
            running.answer(Host.OK);
            assertEquals(Outcome.OK, awaitReply().outcome());
            assertEquals("goes", second.call().header("X-Request-ID"));
            assertEquals(1, connectionCount(pool));
            assertTrue(replies.isEmpty());
        }
    }

    /** Guards calls against answers that never end: once its call is over, such a connection gives way. */
    @Test
    void connectionWithAnIncompleteResponseIsClosedForAWaitingCall() throws Exception {
        try (Host first = new Host(); Host second = new Host()) {
            HostPool pool = newPoolWithLimit(1);
            startCallToOther(pool, 1, first, attempt("a", null, LONG_MICROS, 10));
            Host.Call slow = first.call();
            startCallToOther(pool, 2, second, attempt("b", null, LONG_MICROS, 10));
            slow.answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi");
            assertEquals(Outcome.OK, awaitReply().outcome());
            assertEquals("b", second.call().header("X-Request-ID"));
            assertEquals(1, connectionCount(pool));
            assertTrue(first.ended(slow));
        }
    }

    /** A machine that vanished says nothing: the connection neither comes up nor fails. */
    @Test
    void hangingConnectIsAbandonedWithTheLastAttempt() throws Exception {
        HostPool pool = new HostPool(group.next(), new Bootstrap().group(group), () -> new NioSocketChannel() {
            @Override
            protected boolean doConnect(SocketAddress remote, SocketAddress local) {
                return false;
            }
        }, LONG_MICROS, KEEP_ALIVE_MICROS, 100, new Figures());
        HostPool.Attempt first = attempt("a", null, LONG_MICROS, 10), second = attempt("b", null, LONG_MICROS, 10);
        startCall(pool, 9, first, second);
        group.next().submit(first::expire).get();
        assertEquals(1, connectionCount(pool), "the other still waits");
        group.next().submit(second::expire).get();
        assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
        assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
        assertEquals(0, connectionCount(pool));
        assertTrue(replies.isEmpty());
    }

    @Test
    void refusedConnectIsReportedAsConnectFailed() throws Exception {
        int port;
        try (Host host = new Host()) {
            port = host.port();
        }
        startCall(newPool(KEEP_ALIVE_MICROS), port, LONG_MICROS, 10);
        assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
    }

    @Test
    void connectionClosedAfterTheLastByteIsReportedAsReset() throws Exception {
        try (Host host = new Host()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), LONG_MICROS, 10);
            host.call().socket().close();
            assertEquals(Outcome.RESET, awaitReply().outcome());
        }
    }

    /**
     * Guards against a call taken for one that may have run: its last byte was never handed to the socket.
     */
    @Test
    void connectionClosedBeforeTheLastByteIsReportedAsConnectFailed() throws Exception {
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(4_096);
            listener.bind(new InetSocketAddress(Platform.LOOPBACK, 0));
            startCall(newPool(KEEP_ALIVE_MICROS), listener.getLocalPort(), LONG_MICROS, 64 << 20);
            Socket socket = listener.accept();
            assertTrue(socket.getInputStream().read() >= 0);
            socket.setSoLinger(true, 0);
            socket.close();
            assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
        }
    }

    @Test
    void timeoutAndCancelCloseTheConnection() throws Exception {
        try (Host host = new Host()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            startCall(pool, host.port(), 200_000, 10);
            Host.Call late = host.call();
            assertEquals(Outcome.TIMEOUT, awaitReply().outcome());
            HostPool.Attempt call = startCall(pool, host.port(), LONG_MICROS, 10);
            Host.Call second = host.call();
            assertNotSame(late.socket(), second.socket());
            group.next().submit(call::cancel).get();
            assertEquals(Outcome.CANCELLED, awaitReply().outcome());
            startCall(pool, host.port(), LONG_MICROS, 10);
            Host.Call third = host.call();
            assertNotSame(second.socket(), third.socket());
        }
    }

    /**
     * Guards the rules on drains and waits against calls that go out when a slow connection comes up at
     * last.
     */
    @Test
    void callWaitingForItsConnectCanBeCancelledUnsent() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, Platform.LOOPBACK)) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            List<Socket> fillers = new ArrayList<>();
            // A full backlog leaves further connections hanging.
            for (int i = 0; i < 8; i++) {
                Socket filler = new Socket();
                fillers.add(filler);
                try {
                    filler.connect(new InetSocketAddress(Platform.LOOPBACK, listener.getLocalPort()), 300);
                } catch (java.net.SocketTimeoutException e) {
                    break;
                }
            }
            startCall(pool, listener.getLocalPort(), LONG_MICROS, 10);
            group.next().submit(() -> pool.cancelUnsent(defaultHost)).get();
            assertEquals(Outcome.NOT_SENT, awaitReply().outcome());
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** Guards against a request that crosses the host's own close: an old connection is not used again. */
    @Test
    void idleConnectionsAreClosedBeforeTheHostClosesThem() throws Exception {
        try (Host host = new Host()) {
            HostPool pool = newPool(1_000_000);
            startCall(pool, host.port(), LONG_MICROS, 10);
            Host.Call first = host.call();
            first.answer(Host.OK);
            awaitReply();
            while (group.next().submit(() -> pool.idleCount(defaultHost)).get() > 0) {
                Thread.sleep(20);
            }
            startCall(pool, host.port(), LONG_MICROS, 10);
            assertNotSame(first.socket(), host.call().socket());
        }
    }

    /**
     * Guards the descriptors: the call is over at the answer's head, and the connection must not be held
     * for ever.
     */
    @Test
    void connectionWithAnEndlessResponseIsClosed() throws Exception {
        try (Host host = new Host()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), LONG_MICROS, 10);
            Host.Call call = host.call();
            call.answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi");
            assertEquals(Outcome.OK, awaitReply().outcome());
            assertTrue(host.ended(call));
        }
    }

    @Test
    void connectionIsNotReusedAfterAConnectionCloseHeader() throws Exception {
        try (Host host = new Host()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            startCall(pool, host.port(), LONG_MICROS, 10);
            Host.Call first = host.call();
            first.answer("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            assertEquals(Outcome.OK, awaitReply().outcome());
            startCall(pool, host.port(), LONG_MICROS, 10);
            assertNotSame(first.socket(), host.call().socket());
        }
    }

    /**
     * Guards against a second run of what was delivered: the first line settles it, whatever becomes of the
     * rest.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Length: 2\r\nno colon here \0\r\n\r\nok", "Content-Length: wobble\r\n\r\n",
        "X-Server-Load: x0"})
    void statusLine200DeliversEvenIfTheRestIsMalformedOrMissing(String rest) throws Exception {
        try (Host host = new Host()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), LONG_MICROS, 10);
            Host.Call call = host.call();
            call.answer("HTTP/1.1 200 OK\r\n" + rest);
            call.socket().close();
            HostPool.Reply reply = awaitReply();
            assertEquals(Outcome.OK, reply.outcome());
            assertTrue(reply.messageOver());
        }
    }

    @Test
    void statusLine200DeliversEvenIfTheHeadersNeverEnd() throws Exception {
        try (Host host = new Host()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), 2_000_000, 10);
            host.call().answer("HTTP/1.1 200 OK\r\nX-Server-Load: x0=0.4\r\n");
            assertEquals(Outcome.OK, awaitReply().outcome());
        }
    }

    /** What a bundle's messages came to stands in the body only. */
    @Test
    void statusLine200DeliversNothingOfABatch() throws Exception {
        try (Host host = new Host()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), attempt("a", null, LONG_MICROS, 1), attempt("b", null, LONG_MICROS, 1));
            Host.Call call = host.call();
            call.answer("HTTP/1.1 200 OK\r\n");
            call.socket().close();
            assertEquals(Outcome.RESET, awaitReply().outcome());
            assertEquals(Outcome.RESET, awaitReply().outcome());
        }
    }

    /**
     * Guards against a message that nobody delivers any more: an answer that cannot be read as the protocol
     * requires has delivered none of a bundle's messages, even if its body can be made out.
     */
    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: %d\r\n\r\n%s",
        "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nno colon here\r\n\r\n%s",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: %d\r\n\r\n%s",
        "ICY/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
        "HTTP/7.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
        "HTTP/1.1 0200 OK\r\nContent-Length: %d\r\n\r\n%s",
        "HTTP/1.1 +200 OK\r\nContent-Length: %d\r\n\r\n%s"})
    void malformedResponseHeadDeliversNothingOfABatch(String answer) throws Exception {
        try (Host host = new Host()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), attempt("a", null, LONG_MICROS, 1), attempt("b", null, LONG_MICROS, 1));
            Host.Call call = host.call();
            String states = "[{\"id\":\"a\",\"state\":\"accepted\"},{\"id\":\"b\",\"state\":\"accepted\"}]";
            call.answer(answer.formatted(states.length(), states));
            assertEquals(Outcome.RESET, awaitReply().outcome());
            assertEquals(Outcome.RESET, awaitReply().outcome());
            assertTrue(host.ended(call));
        }
    }

    /** Of a bundle's answer the whole body must be JSON, each name in it given once. */
    @ParameterizedTest
    @ValueSource(strings = {
        "[{\"id\":\"a\",\"state\":\"accepted\"},{\"id\":\"b\",\"state\":\"accepted\",\"note\":\"\u00ff\"}]",
        "[{\"id\":\"a\",\"state\":\"fault\",\"state\":\"accepted\"},{\"id\":\"b\",\"state\":\"accepted\"}]",
        "[{\"id\":\"a\",\"state\":\"accepted\"},{\"id\":\"b\",\"state\":\"accepted\"}] x"})
    void malformedBodyDeliversNothingOfABatch(String states) throws Exception {
        try (Host host = new Host()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), attempt("a", null, LONG_MICROS, 1), attempt("b", null, LONG_MICROS, 1));
            host.call().answer("HTTP/1.1 200 OK\r\nContent-Length: " + states.length() + "\r\n\r\n" + states);
            assertEquals(Outcome.ERROR, awaitReply().outcome());
            assertEquals(Outcome.ERROR, awaitReply().outcome());
        }
    }

    /**
     * Guards the next call: what stands past an answer's end would be taken for the beginning of its own
     * answer.
     */
    @ParameterizedTest
    @ValueSource(strings = {"surplus", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent"})
    void connectionWithSurplusBytesIsNotReused(String surplus) throws Exception {
        try (Host host = new Host()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            startCall(pool, host.port(), LONG_MICROS, 10);
            Host.Call first = host.call();
            first.answer(Host.OK + surplus);
            assertEquals(Outcome.OK, awaitReply().outcome());
            startCall(pool, host.port(), LONG_MICROS, 10);
            Host.Call second = host.call();
            assertNotSame(first.socket(), second.socket());
            second.answer("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
            assertEquals(Outcome.ERROR, awaitReply().outcome());
        }
    }

    private static String response(String status, String header, String body) {
        return "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** The bounds on an answer's bytes are those of one answer, not of its connection. */
    @Test
    void connectionIsReusedAfterManyLongResponses() throws Exception {
        try (Host host = new Host()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            Socket first = null;
            for (int i = 0; i < 6; i++) {
                startCall(pool, host.port(), LONG_MICROS, 10);
                Host.Call call = host.call();
                first = first == null ? call.socket() : first;
                assertSame(first, call.socket());
                call.answer(response("200 OK", "", "x".repeat(ResponseDecoder.MAX_BODY_BYTES)));
                assertEquals(Outcome.OK, awaitReply().outcome());
                while (group.next().submit(() -> pool.idleCount(defaultHost)).get() == 0) {
                    Thread.onSpinWait();
                }
            }
        }
    }

    /** Guards the processor against answers that do not end, whatever they began with. */
    @ParameterizedTest
    @CsvSource({"200, OK", "500, ERROR"})
    void connectionIsClosedIfTheResponseIsTooLong(int status, Outcome outcome) throws Exception {
        try (Host host = new Host()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), LONG_MICROS, 10);
            Host.Call call = host.call();
            call.answer("HTTP/1.1 " + status + " x\r\nContent-Length: 100000\r\n\r\n"
                + "x".repeat(ResponseDecoder.MAX_BODY_BYTES + 1));
            assertEquals(outcome, awaitReply().outcome());
            assertTrue(host.ended(call));
        }
    }

    /** A destination that counts calls takes several messages in one; each has a fate of its own. */
    @Test
    void batchIsOneCallWithAnOutcomePerMessage() throws Exception {
        try (Host host = new Host()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            startCall(pool, host.port(), attempt("a", "k\"", LONG_MICROS, 2), attempt("b", null, LONG_MICROS, 3), attempt("c", null, LONG_MICROS, 0),
                attempt("d", null, LONG_MICROS, 1), attempt("e", null, LONG_MICROS, 1), attempt("f", null, LONG_MICROS, 1));
            Host.Call call = host.call();
            assertEquals("POST /v1/messages:batch HTTP/1.1", call.head().get(0));
            assertTrue(call.body().startsWith("[{\"id\":\"a\",\"key\":\"k\\\"\",\"body\":\"AAA=\"},"
                + "{\"id\":\"b\",\"body\":\"AAAA\"},{\"id\":\"c\",\"body\":\"\"},"), call.body());
            call.answer(response("200 OK", "Retry-After: 0.5\r\n", "[{\"id\":\"b\",\"state\":\"fault\"},"
                + "{\"id\":\"a\",\"state\":\"accepted\"},{\"id\":\"c\",\"state\":\"deferred\"},"
                + "{\"id\":\"d\",\"state\":\"expired\"},{\"id\":\"e\",\"state\":\"no_more\"}]"));
            List<Outcome> outcomes = List.of(Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.NOT_SENT,
                Outcome.NOT_SENT, Outcome.ERROR);
            List<Boolean> messageOver = List.of(true, false, false, true, false, false);
            for (int i = 0; i < outcomes.size(); i++) {
                HostPool.Reply reply = awaitReply();
                assertEquals(outcomes.get(i), reply.outcome());
                assertEquals(messageOver.get(i), reply.messageOver());
                assertEquals(500_000, reply.retryAfterMicros());
            }
            startCall(pool, host.port(), LONG_MICROS, 10);
            assertSame(call.socket(), host.call().socket());
        }
    }

    /** Guards against a second run: of two states the one that says "never ran" must not be picked. */
    @ParameterizedTest
    @ValueSource(strings = {"deferred", "expired", "no_more", "accepted"})
    void messageWithContradictoryStatesIsReportedAsError(String other) throws Exception {
        try (Host host = new Host()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), attempt("a", null, LONG_MICROS, 2), attempt("b", null, LONG_MICROS, 2));
            host.call().answer(response("200 OK", "", "[{\"id\":\"a\",\"state\":\"fault\"},"
                + "{\"id\":\"b\",\"state\":\"accepted\"},{\"id\":\"a\",\"state\":\"" + other + "\"}]"));
            assertEquals(Outcome.ERROR, awaitReply().outcome());
            assertEquals(Outcome.OK, awaitReply().outcome());
        }
    }

    /**
     * Guards the slot: whatever has come of a bundle's answer, each message is given up in its time, once.
     */
    @Test
    void batchWithAnEndlessResponseTimesOutAndClosesItsConnection() throws Exception {
        try (Host host = new Host()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            HostPool.Attempt first = attempt("a", null, LONG_MICROS, 2), second = attempt("b", null, LONG_MICROS, 2);
            startCall(pool, host.port(), first, second);
            Host.Call call = host.call();
            call.answer("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n[{\"id\":\"a\",\"state\":\"accepted\"},");
            group.next().submit(first::expire).get();
            assertEquals(Outcome.TIMEOUT, awaitReply().outcome());
            group.next().submit(second::expire).get();
            assertEquals(Outcome.TIMEOUT, awaitReply().outcome());
            assertEquals(0, connectionCount(pool));
            assertTrue(host.ended(call));
            assertTrue(replies.isEmpty());
        }
    }

    @ParameterizedTest
    @CsvSource({"429 Too Many Requests, '', FULL", "500 Internal Server Error, '', ERROR", "200 OK, nonsense, ERROR",
        "200 OK, '{}', ERROR", "200 OK, '[{\"id\":\"a\"}]', ERROR"})
    void failureOfABatchCallAppliesToAllItsMessages(String status, String body, Outcome outcome) throws Exception {
        try (Host host = new Host()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), attempt("a", null, LONG_MICROS, 2), attempt("b", null, LONG_MICROS, 2));
            host.call().answer(response(status, "", body));
            assertEquals(outcome, awaitReply().outcome());
            assertEquals(outcome, awaitReply().outcome());
        }
    }

    /** Guards against a fate that was never told: the head alone says nothing of a bundle's messages. */
    @Test
    void batchWithATruncatedResponseIsReportedAsReset() throws Exception {
        try (Host host = new Host()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), attempt("a", null, LONG_MICROS, 2), attempt("b", null, LONG_MICROS, 2));
            Host.Call call = host.call();
            call.answer("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n[{\"id\":\"a\",");
            call.socket().close();
            assertEquals(Outcome.RESET, awaitReply().outcome());
            assertEquals(Outcome.RESET, awaitReply().outcome());
        }
    }

    /** Guards against a message that goes out after it was given up, with what shared its connection. */
    @Test
    void attemptCancelledDuringTheConnectIsNotSent() throws Exception {
        try (Host host = new Host()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            HostPool.Attempt first = attempt("a", null, LONG_MICROS, 2);
            defaultHost.address = new InetSocketAddress(Platform.LOOPBACK, host.port());
            group.next().submit(() -> {
                pool.startCall(defaultHost, List.of(first, attempt("b", null, LONG_MICROS, 2)));
                first.cancel();
            }).get();
            Host.Call call = host.call();
            assertEquals("POST /v1/messages HTTP/1.1", call.head().get(0));
            assertEquals("b", call.header("X-Request-ID"));
            assertEquals(Outcome.CANCELLED, awaitReply().outcome());
            call.answer(Host.OK);
            assertEquals(Outcome.OK, awaitReply().outcome());
        }
    }

    /** A listener whose connections take little unless they are read. */
    private static ServerSocket listenerWithSmallBuffer() throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(4_096);
        listener.bind(new InetSocketAddress(Platform.LOOPBACK, 0));
        return listener;
    }

    /**
     * Guards against a second run: while the others keep the call on its way, what was given up with its bytes
     * half written goes out too.
     */
    @Test
    void attemptExpiredInAHalfWrittenBatchIsReportedAsTimeout() throws Exception {
        try (ServerSocket listener = listenerWithSmallBuffer()) {
            HostPool.Attempt first = attempt("given-up", null, LONG_MICROS, 16 << 20);
            startCall(newPool(KEEP_ALIVE_MICROS), listener.getLocalPort(), first, attempt("goes-on", null, LONG_MICROS, 1));
            Socket socket = listener.accept();
            assertTrue(socket.getInputStream().read() >= 0, "a byte of it is out");
            group.next().submit(first::expire).get();
            assertEquals(Outcome.TIMEOUT, awaitReply().outcome());
            String head = String.join("\n", Host.head(socket.getInputStream()));
            int length = Integer.parseInt(head.replaceAll("(?s).*content-length: (\\d+).*", "$1"));
            String body = new String(socket.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
            assertTrue(body.contains("given-up") && body.endsWith("]"), "it reached the endpoint");
            socket.getOutputStream().write(Host.OK.getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(Outcome.ERROR, awaitReply().outcome());
        }
    }

    /**
     * Guards what "never ran" says: of a request that is half written, the last byte must not leave later.
     */
    @Test
    void callExpiredWhileHalfWrittenIsNeverCompleted() throws Exception {
        try (ServerSocket listener = listenerWithSmallBuffer()) {
            int bytes = 16 << 20;
            HostPool.Attempt only = attempt("a", null, LONG_MICROS, bytes);
            startCall(newPool(KEEP_ALIVE_MICROS), listener.getLocalPort(), only);
            Socket socket = listener.accept();
            Host.head(socket.getInputStream());
            group.next().submit(only::expire).get();
            assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
            assertTrue(socket.getInputStream().readAllBytes().length < bytes);
        }
    }

    /** Guards the last part of a bundle: with it the call is closed, whoever was given up before. */
    @Test
    void lastAttemptToExpireClosesItsHalfWrittenBatch() throws Exception {
        try (ServerSocket listener = listenerWithSmallBuffer()) {
            HostPool.Attempt first = attempt("a", null, LONG_MICROS, 16 << 20), last = attempt("b", null, LONG_MICROS, 1);
            startCall(newPool(KEEP_ALIVE_MICROS), listener.getLocalPort(), first, last);
            Socket socket = listener.accept();
            Host.head(socket.getInputStream());
            group.next().submit(first::expire).get();
            group.next().submit(last::expire).get();
            assertEquals(Outcome.TIMEOUT, awaitReply().outcome());
            assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
            assertTrue(socket.getInputStream().readAllBytes().length < 16 << 20);
        }
    }

    /** Guards the relay's one thread, and the attempt: a process that has no descriptor left goes on. */
    @Test
    void callWithoutAFreeDescriptorEndsOnTheEventLoop() throws Exception {
        HostPool pool = new HostPool(group.next(), new Bootstrap().group(group), () -> {
            throw new ChannelException("too many open files");
        }, LONG_MICROS, KEEP_ALIVE_MICROS, 100, new Figures());
        BlockingQueue<Boolean> onEventLoop = new LinkedBlockingQueue<>();
        HostPool.Attempt attempt = new HostPool.Attempt(attempt("a", null, LONG_MICROS, 1).message(), LONG_MICROS, reply -> {
            replies.add(reply);
            onEventLoop.add(group.next().inEventLoop());
        });
        startCall(pool, 9, attempt);
        assertEquals(Outcome.NO_SOCKET, awaitReply().outcome());
        assertTrue(onEventLoop.take());
        HostPool.Attempt cancelled = attempt("b", null, LONG_MICROS, 1);
        group.next().submit(() -> {
            pool.startCall(defaultHost, List.of(cancelled));
            pool.cancelUnsent(defaultHost);
        }).get();
        assertEquals(Outcome.NOT_SENT, awaitReply().outcome());
    }

    /** Guards an endpoint that is well: it has not even been asked. */
    @ParameterizedTest
    @ValueSource(strings = {"Cannot assign requested address", "Network is unreachable", "No buffer space available"})
    void localConnectFailureIsReportedAsNoSocket(String fault) throws Exception {
        HostPool pool = new HostPool(group.next(), new Bootstrap().group(group), () -> new NioSocketChannel() {
            @Override
            protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
                doClose();
                throw new SocketException(fault);
            }
        }, LONG_MICROS, KEEP_ALIVE_MICROS, 100, new Figures());
        startCall(pool, 9, attempt("a", null, LONG_MICROS, 1));
        assertEquals(Outcome.NO_SOCKET, awaitReply().outcome());
        assertEquals(0, connectionCount(pool));
    }

    /** Guards the connection against a fault in what hears of the end. */
    @Test
    void connectionIsClosedEvenIfTheReplyCallbackThrows() throws Exception {
        try (Host host = new Host()) {
            HostPool.Attempt attempt = new HostPool.Attempt(attempt("a", null, LONG_MICROS, 1).message(), LONG_MICROS, reply -> {
                throw new IllegalStateException("forced by the test");
            });
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), attempt);
            Host.Call call = host.call();
            assertThrows(ExecutionException.class, () -> group.next().submit(attempt::expire).get());
            assertTrue(host.ended(call));
        }
    }

    /** Guards against an empty request, and against an end that is never told. */
    @Test
    void attemptCancelledBeforeItsCallStartsIsNotSent() throws Exception {
        try (Host host = new Host()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            HostPool.Attempt alone = attempt("alone", null, LONG_MICROS, 1), first = attempt("first", null, LONG_MICROS, 1);
            group.next().submit(alone::cancel).get();
            group.next().submit(first::cancel).get();
            assertEquals(Outcome.CANCELLED, awaitReply().outcome());
            assertEquals(Outcome.CANCELLED, awaitReply().outcome());
            startCall(pool, host.port(), alone);
            assertEquals(0, connectionCount(pool));
            startCall(pool, host.port(), first, attempt("second", null, LONG_MICROS, 1));
            Host.Call call = host.call();
            assertEquals("second", call.header("X-Request-ID"));
            call.answer(Host.OK);
            assertEquals(Outcome.OK, awaitReply().outcome());
            assertTrue(replies.isEmpty());
        }
    }

    /** Guards the others in a bundle: giving up one message must not give up their call. */
    @Test
    void oneMessageOfABatchCanBeCancelledAlone() throws Exception {
        try (Host host = new Host()) {
            HostPool.Attempt first = attempt("a", null, LONG_MICROS, 2);
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), first, attempt("b", null, LONG_MICROS, 2));
            Host.Call call = host.call();
            group.next().submit(first::cancel).get();
            assertEquals(Outcome.CANCELLED, awaitReply().outcome());
            call.answer(response("200 OK", "", "[{\"id\":\"a\",\"state\":\"accepted\"},"
                + "{\"id\":\"b\",\"state\":\"accepted\"}]"));
            assertEquals(Outcome.OK, awaitReply().outcome());
            assertTrue(replies.isEmpty());
        }
    }
}
