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
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import wrenkeel.Relay.Outcome;

/**
 * The calls of {@link HostPool} to hosts that the test plays: each way in which a call can end, which reply
 * each attempt then gets by the protocol's table of responses, and when connections are reused, closed or
 * waited for.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class HostPoolTest {
    /** A timeout that does not elapse during a test. */
    private static final long LONG_MICROS = 60_000_000;
    /** How long hosts keep idle connections open. */
    private static final long KEEP_ALIVE_MICROS = 15_000_000;

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    /** The replies to attempts, in order. */
    private final BlockingQueue<HostPool.Reply> replies = new LinkedBlockingQueue<>();
    /** The host that is called unless a test names another. */
    private final HostList.Host defaultHost = new HostList.Host(1, "s-1");

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** A pool of up to 100 connections. */
    private HostPool newPool(long keepAliveMicros) {
        return new HostPool(group.next(), new Bootstrap().group(group), LONG_MICROS, keepAliveMicros, 100,
            new Metrics());
    }

    /** A pool whose connections are idle for as long as the test says. */
    private HostPool newPool(AtomicLong clock, int maxConnections) {
        return new HostPool(group.next(), new Bootstrap().group(group), NioSocketChannel::new, LONG_MICROS,
            KEEP_ALIVE_MICROS, maxConnections, new Metrics(), clock::get);
    }

    private void awaitIdleCount(HostPool pool, int count) throws Exception {
        while (group.next().submit(() -> pool.idleCount(defaultHost)).get() != count) {
            Thread.onSpinWait();
        }
    }

    /** An attempt to deliver a message with this id, idempotency key and body length. */
    private HostPool.Attempt attempt(String id, String key, long timeoutMicros, int bytes) {
        return new HostPool.Attempt(new Message(id, "bill", 0, null, key, 7, 0, new byte[bytes]),
            timeoutMicros, replies::add);
    }

    /** Starts a call with these attempts to the default host, which listens at this port. */
    private void startCall(HostPool pool, int port, HostPool.Attempt... attempts) throws Exception {
        defaultHost.address = new InetSocketAddress(Platform.LOOPBACK, port);
        defaultHost.ready = true;
        group.next().submit(() -> pool.startCall(defaultHost, List.of(attempts))).get();
    }

    /** Starts a call with a single attempt to the default host, and returns the attempt. */
    private HostPool.Attempt startCall(HostPool pool, int port, long timeoutMicros, int bytes)
            throws Exception {
        HostPool.Attempt attempt = attempt("a", null, timeoutMicros, bytes);
        startCall(pool, port, attempt);
        return attempt;
    }

    /** Waits for the next reply; null if none comes. */
    private HostPool.Reply awaitReply() throws InterruptedException {
        return replies.poll(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @CsvSource({"200, , OK, true, 0", "500, , ERROR, false, 0",
        "429, Retry-After: 0.283, FULL, false, 283000", "429, , FULL, false, 0", "503, , FULL, false, 0",
        "503, X-No-Slot: 1, NOT_SENT, false, 0", "504, , NOT_SENT, false, 0",
        "410, , NOT_SENT, true, 0", "418, , ERROR, false, 0"})
    void statusAndHeadersDetermineTheReply(int status, String header, Outcome outcome,
            boolean messageOver, long retryAfterMicros) throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), LONG_MICROS, 10);
            host.nextCall().respond("HTTP/1.1 " + status + " x\r\nX-Server-Load: x0=0.4,x1=25\r\n"
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
     * Guards against a second execution of a message that may not be repeated: a response that promises that
     * it has not run proves that only if it can be read to its end.
     */
    @ParameterizedTest
    @CsvSource({"503, '', RESET", "429, Retry-After: 0.283, RESET", "504, '', RESET", "410, '', RESET",
        "503, X-No-Slot: 1, RESET", "500, '', ERROR"})
    void refusalCutInItsBodyDoesNotProveThatTheMessageHasNotRun(int status, String header, Outcome outcome)
            throws Exception {
        String chunked = "Transfer-Encoding: chunked\r\n\r\n";
        for (String framing : List.of("Content-Length: 64\r\n\r\nthe rest is mi",
                chunked + "5\r\nthe r\r\n", chunked + "zz\r\n")) {
            for (int messages = 1; messages <= 2; messages++) {
                try (StubHost host = new StubHost()) {
                    HostPool.Attempt[] attempts = new HostPool.Attempt[messages];
                    for (int i = 0; i < messages; i++) {
                        attempts[i] = attempt("m" + i, null, LONG_MICROS, 10);
                    }
                    startCall(newPool(KEEP_ALIVE_MICROS), host.port(), attempts);
                    StubHost.Call call = host.nextCall();
                    call.respond("HTTP/1.1 " + status + " x\r\n" + (header.isEmpty() ? "" : header + "\r\n")
                        + framing);
                    call.socket().shutdownOutput();
                    for (int i = 0; i < messages; i++) {
                        HostPool.Reply reply = awaitReply();
                        assertEquals(outcome, reply.outcome(), framing);
                        assertFalse(reply.messageOver(), framing);
                    }
                }
            }
        }
    }

    /** Guards against a second execution: neither a refusal without end nor one that is reset is proof. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 64\r\n", "Connection: close\r\n"})
    void refusalThatIsResetOrNeverEndsDoesNotProveThatTheMessageHasNotRun(String framing) throws Exception {
        for (boolean reset : List.of(true, false)) {
            try (StubHost host = new StubHost()) {
                startCall(newPool(KEEP_ALIVE_MICROS), host.port(), LONG_MICROS, 10);
                StubHost.Call call = host.nextCall();
                call.respond("HTTP/1.1 503 x\r\n" + framing + "\r\nthe rest is mi");
                if (reset) {
                    call.socket().setSoLinger(true, 0);
                    call.socket().close();
                }
                assertEquals(Outcome.RESET, awaitReply().outcome());
            }
        }
    }

    /** A response without a length ends with its connection, and is then complete. */
    @Test
    void refusalThatEndsWithItsConnectionCounts() throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), LONG_MICROS, 10);
            StubHost.Call call = host.nextCall();
            call.respond("HTTP/1.1 503 x\r\nConnection: close\r\n\r\nfull");
            call.socket().shutdownOutput();
            assertEquals(Outcome.FULL, awaitReply().outcome());
        }
    }

    /** Guards a wait that the host asks for: it binds from the head on, whatever becomes of the body. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void retryAfterIsAnnouncedAtTheHeadOfTheResponse(int messages) throws Exception {
        BlockingQueue<Long> waits = new LinkedBlockingQueue<>();
        try (StubHost host = new StubHost()) {
            HostPool.Attempt[] attempts = new HostPool.Attempt[messages];
            for (int i = 0; i < messages; i++) {
                Message message = new Message("m" + i, "bill", 0, null, null, 7, 0, new byte[2]);
                attempts[i] = new HostPool.Attempt(message, LONG_MICROS, new HostPool.AttemptListener() {
                    @Override
                    public void ended(HostPool.Reply reply) {
                        replies.add(reply);
                    }

                    @Override
                    public void retryAfterReceived(long micros) {
                        waits.add(micros);
                    }
                });
            }
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), attempts);
            host.nextCall().respond("HTTP/1.1 " + (messages == 1 ? 429 : 200)
                + " x\r\nRetry-After: 0.283\r\nContent-Length: 64\r\n\r\n");
            for (int i = 0; i < messages; i++) {
                assertEquals(283_000, waits.poll(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            }
            assertTrue(replies.isEmpty(), "the response is not complete");
        }
    }

    /**
     * Guards the number of file descriptors: at the limit, an idle connection is closed before one to another
     * host is opened.
     */
    @Test
    void idleConnectionIsClosedToStayWithinTheLimit() throws Exception {
        try (StubHost first = new StubHost(); StubHost second = new StubHost()) {
            HostPool pool = new HostPool(group.next(), new Bootstrap().group(group), LONG_MICROS,
                KEEP_ALIVE_MICROS, 1, new Metrics());
            startCall(pool, first.port(), LONG_MICROS, 10);
            StubHost.Call idle = first.nextCall();
            idle.respond(StubHost.OK);
            assertEquals(Outcome.OK, awaitReply().outcome());
            HostList.Host other = new HostList.Host(2, "s-2");
            other.address = new InetSocketAddress(Platform.LOOPBACK, second.port());
            group.next().submit(
                () -> pool.startCall(other, List.of(attempt("b", null, LONG_MICROS, 10)))).get();
            assertTrue(first.awaitClosed(idle));
            second.nextCall().respond(StubHost.OK);
            assertEquals(Outcome.OK, awaitReply().outcome());
        }
    }

    private HostPool newPoolWithLimit(int maxConnections) {
        return new HostPool(group.next(), new Bootstrap().group(group), LONG_MICROS, KEEP_ALIVE_MICROS,
            maxConnections, new Metrics());
    }

    /** Starts a call to the host with this number, which {@code host} plays. */
    private void startCallToOther(HostPool pool, int number, StubHost host, HostPool.Attempt attempt)
            throws Exception {
        HostList.Host other = new HostList.Host(number, "s-" + number);
        other.address = new InetSocketAddress(Platform.LOOPBACK, host.port());
        other.ready = true;
        group.next().submit(() -> pool.startCall(other, List.of(attempt))).get();
    }

    private int connectionCount(HostPool pool) throws Exception {
        return group.next().submit(pool::connectionCount).get();
    }

    /**
     * Guards the number of file descriptors: if all connections that are allowed carry calls, a further call
     * waits until one is free.
     */
    @Test
    void callOverTheLimitWaitsForAFreeConnection() throws Exception {
        try (StubHost first = new StubHost(); StubHost second = new StubHost();
                StubHost third = new StubHost()) {
            HostPool pool = newPoolWithLimit(2);
            startCallToOther(pool, 1, first, attempt("a", null, LONG_MICROS, 10));
            startCallToOther(pool, 2, second, attempt("b", null, LONG_MICROS, 10));
            startCallToOther(pool, 3, third, attempt("c", null, LONG_MICROS, 10));
            startCallToOther(pool, 3, third, attempt("d", null, LONG_MICROS, 10));
            assertEquals(2, connectionCount(pool));
            first.nextCall().respond(StubHost.OK);
            StubHost.Call next = third.nextCall();
            assertEquals("c", next.header("X-Request-ID"));
            assertEquals(2, connectionCount(pool));
            next.respond(StubHost.OK);
            StubHost.Call last = third.nextCall();
            assertEquals("d", last.header("X-Request-ID"));
            assertSame(next.socket(), last.socket(), "the free connection to the same host is reused");
        }
    }

    /**
     * While a call waits for a free connection, nothing of it has been sent, so its attempts may be reported
     * as not executed. Each must get exactly one reply.
     */
    @Test
    void callWaitingForAFreeConnectionCanExpireOrBeCancelled() throws Exception {
        try (StubHost first = new StubHost(); StubHost second = new StubHost()) {
            HostPool pool = newPoolWithLimit(1);
            startCallToOther(pool, 1, first, attempt("a", null, LONG_MICROS, 10));
            StubHost.Call running = first.nextCall();
            HostPool.Attempt late = attempt("late", null, LONG_MICROS, 10);
            startCallToOther(pool, 2, second, late);
            group.next().submit(late::expire).get();
            assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
            startCall(pool, second.port(), attempt("back", null, LONG_MICROS, 10));
            group.next().submit(() -> pool.cancelUnsent(defaultHost)).get();
            assertEquals(Outcome.NOT_SENT, awaitReply().outcome());
            startCallToOther(pool, 2, second, attempt("goes", null, LONG_MICROS, 10));
            running.respond(StubHost.OK);
            assertEquals(Outcome.OK, awaitReply().outcome());
            assertEquals("goes", second.nextCall().header("X-Request-ID"));
            assertEquals(1, connectionCount(pool));
            assertTrue(replies.isEmpty());
        }
    }

    /**
     * A response that never ends must not keep calls to other hosts waiting: once its call has ended, the
     * connection is closed for them.
     */
    @Test
    void connectionWithAnIncompleteResponseIsClosedForAWaitingCall() throws Exception {
        try (StubHost first = new StubHost(); StubHost second = new StubHost()) {
            HostPool pool = newPoolWithLimit(1);
            startCallToOther(pool, 1, first, attempt("a", null, LONG_MICROS, 10));
            StubHost.Call slow = first.nextCall();
            startCallToOther(pool, 2, second, attempt("b", null, LONG_MICROS, 10));
            slow.respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi");
            assertEquals(Outcome.OK, awaitReply().outcome());
            assertEquals("b", second.nextCall().header("X-Request-ID"));
            assertEquals(1, connectionCount(pool));
            assertTrue(first.awaitClosed(slow));
        }
    }

    /** A connect to a machine that has vanished neither succeeds nor fails. */
    @Test
    void hangingConnectIsAbandonedWithTheLastAttempt() throws Exception {
        HostPool pool = new HostPool(group.next(), new Bootstrap().group(group),
            () -> new NioSocketChannel() {
                @Override
                protected boolean doConnect(SocketAddress remote, SocketAddress local) {
                    return false;
                }
            }, LONG_MICROS, KEEP_ALIVE_MICROS, 100, new Metrics(),
            System::nanoTime);
        HostPool.Attempt first = attempt("a", null, LONG_MICROS, 10);
        HostPool.Attempt second = attempt("b", null, LONG_MICROS, 10);
        startCall(pool, 9, first, second);
        group.next().submit(first::expire).get();
        assertEquals(1, connectionCount(pool), "the other attempt still waits for the connection");
        group.next().submit(second::expire).get();
        assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
        assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
        assertEquals(0, connectionCount(pool));
        assertTrue(replies.isEmpty());
    }

    /** The attempt was not executed, which CONNECT_FAILED reports. */
    @Test
    void refusedConnectIsReportedAsConnectFailed() throws Exception {
        int port;
        try (StubHost host = new StubHost()) {
            port = host.port();
        }
        startCall(newPool(KEEP_ALIVE_MICROS), port, LONG_MICROS, 10);
        assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
    }

    /** The attempt may have been executed, so the outcome is RESET and not CONNECT_FAILED. */
    @Test
    void connectionClosedAfterTheLastByteIsReportedAsReset() throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), LONG_MICROS, 10);
            host.nextCall().socket().close();
            assertEquals(Outcome.RESET, awaitReply().outcome());
        }
    }

    /**
     * A request whose last byte was never handed to the socket can't have been executed, so it must not be
     * reported as one that may have been.
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
        try (StubHost host = new StubHost()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            startCall(pool, host.port(), 200_000, 10);
            StubHost.Call late = host.nextCall();
            assertEquals(Outcome.TIMEOUT, awaitReply().outcome());
            HostPool.Attempt call = startCall(pool, host.port(), LONG_MICROS, 10);
            StubHost.Call second = host.nextCall();
            assertNotSame(late.socket(), second.socket());
            group.next().submit(call::cancel).get();
            assertEquals(Outcome.CANCELLED, awaitReply().outcome());
            startCall(pool, host.port(), LONG_MICROS, 10);
            StubHost.Call third = host.nextCall();
            assertNotSame(second.socket(), third.socket());
        }
    }

    /**
     * When a host starts to drain or asks not to be called, calls that still wait for their connect are
     * cancelled; they must not be sent when the slow connect succeeds at last.
     */
    @Test
    void callWaitingForItsConnectCanBeCancelledUnsent() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, Platform.LOOPBACK)) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            List<Socket> fillers = new ArrayList<>();
            // While the backlog is full, further connects hang.
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

    /**
     * A connection that has been idle for long is not reused, as the host may close it while a request is
     * sent.
     */
    @Test
    void idleConnectionsAreClosedBeforeTheHostClosesThem() throws Exception {
        try (StubHost host = new StubHost()) {
            HostPool pool = newPool(1_000_000);
            startCall(pool, host.port(), LONG_MICROS, 10);
            StubHost.Call first = host.nextCall();
            first.respond(StubHost.OK);
            awaitReply();
            while (group.next().submit(() -> pool.idleCount(defaultHost)).get() > 0) {
                Thread.sleep(20);
            }
            startCall(pool, host.port(), LONG_MICROS, 10);
            assertNotSame(first.socket(), host.nextCall().socket());
        }
    }

    /**
     * A call with a single message ends with the head of the response. If the body never ends, the connection
     * must be closed, or it would occupy a file descriptor for ever.
     */
    @Test
    void connectionWithAnEndlessResponseIsClosed() throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), LONG_MICROS, 10);
            StubHost.Call call = host.nextCall();
            call.respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi");
            assertEquals(Outcome.OK, awaitReply().outcome());
            assertTrue(host.awaitClosed(call));
        }
    }

    @Test
    void connectionIsNotReusedAfterAConnectionCloseHeader() throws Exception {
        try (StubHost host = new StubHost()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            startCall(pool, host.port(), LONG_MICROS, 10);
            StubHost.Call first = host.nextCall();
            first.respond("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            assertEquals(Outcome.OK, awaitReply().outcome());
            startCall(pool, host.port(), LONG_MICROS, 10);
            assertNotSame(first.socket(), host.nextCall().socket());
        }
    }

    /**
     * Guards against a second execution of a message that was delivered: the status line 200 is sufficient,
     * whatever comes after it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Length: 2\r\nno colon here \0\r\n\r\nok",
        "Content-Length: wobble\r\n\r\n", "X-Server-Load: x0"})
    void statusLine200DeliversEvenIfTheRestIsMalformedOrMissing(String rest) throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), LONG_MICROS, 10);
            StubHost.Call call = host.nextCall();
            call.respond("HTTP/1.1 200 OK\r\n" + rest);
            call.socket().close();
            HostPool.Reply reply = awaitReply();
            assertEquals(Outcome.OK, reply.outcome());
            assertTrue(reply.messageOver());
        }
    }

    @Test
    void statusLine200DeliversEvenIfTheHeadersNeverEnd() throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), 2_000_000, 10);
            host.nextCall().respond("HTTP/1.1 200 OK\r\nX-Server-Load: x0=0.4\r\n");
            assertEquals(Outcome.OK, awaitReply().outcome());
        }
    }

    /** The outcomes of the messages of a batch are only in the body of the response. */
    @Test
    void statusLine200DeliversNothingOfABatch() throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(),
                attempt("a", null, LONG_MICROS, 1), attempt("b", null, LONG_MICROS, 1));
            StubHost.Call call = host.nextCall();
            call.respond("HTTP/1.1 200 OK\r\n");
            call.socket().close();
            assertEquals(Outcome.RESET, awaitReply().outcome());
            assertEquals(Outcome.RESET, awaitReply().outcome());
        }
    }

    /**
     * Guards against lost messages: a response whose head violates the protocol must not count as the
     * delivery of any message of a batch, even if its body is readable.
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
    void malformedResponseHeadDeliversNothingOfABatch(String responseFormat) throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(),
                attempt("a", null, LONG_MICROS, 1), attempt("b", null, LONG_MICROS, 1));
            StubHost.Call call = host.nextCall();
            String states = "[{\"id\":\"a\",\"state\":\"accepted\"},{\"id\":\"b\",\"state\":\"accepted\"}]";
            call.respond(responseFormat.formatted(states.length(), states));
            assertEquals(Outcome.RESET, awaitReply().outcome());
            assertEquals(Outcome.RESET, awaitReply().outcome());
            assertTrue(host.awaitClosed(call));
        }
    }

    /** The body of the response to a batch must be valid JSON to its end, without duplicate field names. */
    @ParameterizedTest
    @ValueSource(strings = {
        "[{\"id\":\"a\",\"state\":\"accepted\"},{\"id\":\"b\",\"state\":\"accepted\",\"note\":\"\u00ff\"}]",
        "[{\"id\":\"a\",\"state\":\"fault\",\"state\":\"accepted\"},{\"id\":\"b\",\"state\":\"accepted\"}]",
        "[{\"id\":\"a\",\"state\":\"accepted\"},{\"id\":\"b\",\"state\":\"accepted\"}] x"})
    void malformedBodyDeliversNothingOfABatch(String states) throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(),
                attempt("a", null, LONG_MICROS, 1), attempt("b", null, LONG_MICROS, 1));
            host.nextCall()
                .respond("HTTP/1.1 200 OK\r\nContent-Length: " + states.length() + "\r\n\r\n" + states);
            assertEquals(Outcome.ERROR, awaitReply().outcome());
            assertEquals(Outcome.ERROR, awaitReply().outcome());
        }
    }

    /**
     * Bytes after the end of a response would be taken for the beginning of the response to the next call on
     * the connection.
     */
    @ParameterizedTest
    @ValueSource(strings = {"surplus", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent"})
    void connectionWithSurplusBytesIsNotReused(String surplus) throws Exception {
        try (StubHost host = new StubHost()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            startCall(pool, host.port(), LONG_MICROS, 10);
            StubHost.Call first = host.nextCall();
            first.respond(StubHost.OK + surplus);
            assertEquals(Outcome.OK, awaitReply().outcome());
            startCall(pool, host.port(), LONG_MICROS, 10);
            StubHost.Call second = host.nextCall();
            assertNotSame(first.socket(), second.socket());
            second.respond("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
            assertEquals(Outcome.ERROR, awaitReply().outcome());
        }
    }

    /** A complete response. {@code header} is empty or a header line with its line end. */
    private static String response(String status, String header, String body) {
        return "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: " + body.length() + "\r\n\r\n"
            + body;
    }

    /**
     * The limits on the size of a response apply to each response, not to all responses on a connection.
     */
    @Test
    void connectionIsReusedAfterManyLongResponses() throws Exception {
        try (StubHost host = new StubHost()) {
            AtomicLong clock = new AtomicLong();
            HostPool pool = newPool(clock, 100);
            Socket first = null;
            for (int i = 0; i < 6; i++) {
                startCall(pool, host.port(), LONG_MICROS, 10);
                StubHost.Call call = host.nextCall();
                first = first == null ? call.socket() : first;
                assertSame(first, call.socket());
                call.respond(response("200 OK", "", "x".repeat(ResponseDecoder.MAX_BODY_BYTES)));
                assertEquals(Outcome.OK, awaitReply().outcome());
                awaitIdleCount(pool, 1);
                clock.addAndGet(ReuseGuard.REST_NANOS);
            }
        }
    }

    private static SocketChannel openSocket() {
        try {
            return SocketChannel.open();
        } catch (IOException e) {
            throw new ChannelException(e);
        }
    }

    /** Starts a call and answers it with this text; returns the call. */
    private StubHost.Call callAnswered(HostPool pool, StubHost host, String response) throws Exception {
        startCall(pool, host.port(), LONG_MICROS, 10);
        StubHost.Call call = host.nextCall();
        call.respond(response);
        assertEquals(Outcome.OK, awaitReply().outcome());
        return call;
    }

    /** Bytes that a host sends while no call waits, each of which a next call would take for its answer. */
    private static Stream<String> surplus() {
        return Stream.of(StubHost.OK, "noise", "HTTP/1.1 503 x\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n");
    }

    @ParameterizedTest
    @MethodSource("surplus")
    void surplusAfterAnAnswerDoesNotEndTheNextCall(String surplus) throws Exception {
        try (StubHost host = new StubHost()) {
            AtomicLong clock = new AtomicLong();
            HostPool pool = newPool(clock, 100);
            StubHost.Call first = callAnswered(pool, host, StubHost.OK);
            awaitIdleCount(pool, 1);
            startCall(pool, host.port(), LONG_MICROS, 10);
            StubHost.Call second = host.nextCall();
            first.respond(surplus);
            assertTrue(host.awaitClosed(first));
            second.respond("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
            assertEquals(Outcome.ERROR, awaitReply().outcome());
        }
    }

    @Test
    void surplusThatHasArrivedBeforeARequestIsWrittenDoesNotEndIt() throws Exception {
        try (StubHost host = new StubHost()) {
            AtomicLong clock = new AtomicLong();
            List<SocketChannel> sockets = new CopyOnWriteArrayList<>();
            HostPool pool = new HostPool(group.next(), new Bootstrap().group(group), () -> {
                sockets.add(openSocket());
                return new NioSocketChannel(sockets.get(sockets.size() - 1));
            }, LONG_MICROS, KEEP_ALIVE_MICROS, 100, new Metrics(), clock::get);
            StubHost.Call first = callAnswered(pool, host, StubHost.OK);
            awaitIdleCount(pool, 1);
            clock.addAndGet(ReuseGuard.REST_NANOS);
            HostPool.Attempt attempt = attempt("b", null, LONG_MICROS, 10);
            // The event loop is held until the bytes are in the socket, and then starts the next call.
            group.next().submit(() -> {
                first.respond(StubHost.OK);
                while (sockets.get(0).socket().getInputStream().available() < StubHost.OK.length()) {
                    Thread.onSpinWait();
                }
                pool.startCall(defaultHost, List.of(attempt));
                return null;
            }).get();
            StubHost.Call second = host.nextCall();
            assertNotSame(first.socket(), second.socket());
        }
    }

    @Test
    void connectionsOfAHostThatSentSurplusAreNotReusedForAWhile() throws Exception {
        try (StubHost host = new StubHost()) {
            AtomicLong clock = new AtomicLong();
            HostPool pool = newPool(clock, 100);
            assertTrue(host.awaitClosed(callAnswered(pool, host, StubHost.OK + "noise")));
            StubHost.Call distrusted = callAnswered(pool, host, StubHost.OK);
            assertTrue(host.awaitClosed(distrusted));
            clock.addAndGet(ReuseGuard.DISTRUST_NANOS);
            StubHost.Call trusted = callAnswered(pool, host, StubHost.OK);
            awaitIdleCount(pool, 1);
            clock.addAndGet(ReuseGuard.REST_NANOS);
            assertSame(trusted.socket(), callAnswered(pool, host, StubHost.OK).socket());
        }
    }

    @Test
    void restingConnectionIsReusedWhereNoOtherMayBeOpened() throws Exception {
        try (StubHost host = new StubHost()) {
            HostPool pool = newPool(new AtomicLong(), 1);
            StubHost.Call first = callAnswered(pool, host, StubHost.OK);
            awaitIdleCount(pool, 1);
            assertSame(first.socket(), callAnswered(pool, host, StubHost.OK).socket());
        }
    }

    /** A response without end must not use up the relay's CPU time, whatever its status. */
    @ParameterizedTest
    @CsvSource({"200, OK", "500, ERROR"})
    void connectionIsClosedIfTheResponseIsTooLong(int status, Outcome outcome) throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), LONG_MICROS, 10);
            StubHost.Call call = host.nextCall();
            call.respond("HTTP/1.1 " + status + " x\r\nContent-Length: 100000\r\n\r\n"
                + "x".repeat(ResponseDecoder.MAX_BODY_BYTES + 1));
            assertEquals(outcome, awaitReply().outcome());
            assertTrue(host.awaitClosed(call));
        }
    }

    /**
     * A destination whose limits count calls accepts several messages in one call; each has its own
     * outcome.
     */
    @Test
    void batchIsOneCallWithAnOutcomePerMessage() throws Exception {
        try (StubHost host = new StubHost()) {
            AtomicLong clock = new AtomicLong();
            HostPool pool = newPool(clock, 100);
            startCall(pool, host.port(), attempt("a", "k\"", LONG_MICROS, 2),
                attempt("b", null, LONG_MICROS, 3), attempt("c", null, LONG_MICROS, 0),
                attempt("d", null, LONG_MICROS, 1), attempt("e", null, LONG_MICROS, 1),
                attempt("f", null, LONG_MICROS, 1));
            StubHost.Call call = host.nextCall();
            assertEquals("POST /v1/messages:batch HTTP/1.1", call.head().get(0));
            assertTrue(call.body().startsWith("[{\"id\":\"a\",\"key\":\"k\\\"\",\"body\":\"AAA=\"},"
                + "{\"id\":\"b\",\"body\":\"AAAA\"},{\"id\":\"c\",\"body\":\"\"},"), call.body());
            call.respond(response("200 OK", "Retry-After: 0.5\r\n", "[{\"id\":\"b\",\"state\":\"fault\"},"
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
            awaitIdleCount(pool, 1);
            clock.addAndGet(ReuseGuard.REST_NANOS);
            startCall(pool, host.port(), LONG_MICROS, 10);
            assertSame(call.socket(), host.nextCall().socket());
        }
    }

    /**
     * Guards against a second execution: if the response gives two states for a message, the one that says
     * that it was not executed must not be used.
     */
    @ParameterizedTest
    @ValueSource(strings = {"deferred", "expired", "no_more", "accepted"})
    void messageWithContradictoryStatesIsReportedAsError(String other) throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(),
                attempt("a", null, LONG_MICROS, 2), attempt("b", null, LONG_MICROS, 2));
            host.nextCall().respond(response("200 OK", "", "[{\"id\":\"a\",\"state\":\"fault\"},"
                + "{\"id\":\"b\",\"state\":\"accepted\"},{\"id\":\"a\",\"state\":\"" + other + "\"}]"));
            assertEquals(Outcome.ERROR, awaitReply().outcome());
            assertEquals(Outcome.OK, awaitReply().outcome());
        }
    }

    /**
     * Guards against slots that are never freed: even if a part of the response has come, each attempt of the
     * batch times out, once.
     */
    @Test
    void batchWithAnEndlessResponseTimesOutAndClosesItsConnection() throws Exception {
        try (StubHost host = new StubHost()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            HostPool.Attempt first = attempt("a", null, LONG_MICROS, 2);
            HostPool.Attempt second = attempt("b", null, LONG_MICROS, 2);
            startCall(pool, host.port(), first, second);
            StubHost.Call call = host.nextCall();
            call.respond("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"
                + "[{\"id\":\"a\",\"state\":\"accepted\"},");
            group.next().submit(first::expire).get();
            assertEquals(Outcome.TIMEOUT, awaitReply().outcome());
            group.next().submit(second::expire).get();
            assertEquals(Outcome.TIMEOUT, awaitReply().outcome());
            assertEquals(0, connectionCount(pool));
            assertTrue(host.awaitClosed(call));
            assertTrue(replies.isEmpty());
        }
    }

    @ParameterizedTest
    @CsvSource({"429 Too Many Requests, '', FULL", "500 Internal Server Error, '', ERROR",
        "200 OK, nonsense, ERROR", "200 OK, '{}', ERROR", "200 OK, '[{\"id\":\"a\"}]', ERROR"})
    void failureOfABatchCallAppliesToAllItsMessages(String status, String body, Outcome outcome)
            throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(),
                attempt("a", null, LONG_MICROS, 2), attempt("b", null, LONG_MICROS, 2));
            host.nextCall().respond(response(status, "", body));
            assertEquals(outcome, awaitReply().outcome());
            assertEquals(outcome, awaitReply().outcome());
        }
    }

    /**
     * The head of the response says nothing of the single messages of a batch, so each may have been
     * executed.
     */
    @Test
    void batchWithATruncatedResponseIsReportedAsReset() throws Exception {
        try (StubHost host = new StubHost()) {
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(),
                attempt("a", null, LONG_MICROS, 2), attempt("b", null, LONG_MICROS, 2));
            StubHost.Call call = host.nextCall();
            call.respond("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n[{\"id\":\"a\",");
            call.socket().close();
            assertEquals(Outcome.RESET, awaitReply().outcome());
            assertEquals(Outcome.RESET, awaitReply().outcome());
        }
    }

    /**
     * A cancelled attempt must not be sent with the other attempts of its call once the connection is up.
     */
    @Test
    void attemptCancelledDuringTheConnectIsNotSent() throws Exception {
        try (StubHost host = new StubHost()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            HostPool.Attempt first = attempt("a", null, LONG_MICROS, 2);
            defaultHost.address = new InetSocketAddress(Platform.LOOPBACK, host.port());
            group.next().submit(() -> {
                pool.startCall(defaultHost, List.of(first, attempt("b", null, LONG_MICROS, 2)));
                first.cancel();
            }).get();
            StubHost.Call call = host.nextCall();
            assertEquals("POST /v1/messages HTTP/1.1", call.head().get(0));
            assertEquals("b", call.header("X-Request-ID"));
            assertEquals(Outcome.CANCELLED, awaitReply().outcome());
            call.respond(StubHost.OK);
            assertEquals(Outcome.OK, awaitReply().outcome());
        }
    }

    /** A listener whose connections accept little data as long as nothing is read from them. */
    private static ServerSocket listenerWithSmallBuffer() throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(4_096);
        listener.bind(new InetSocketAddress(Platform.LOOPBACK, 0));
        return listener;
    }

    /**
     * Guards against a second execution: as long as other attempts keep the call alive, the whole request is
     * sent, also the message of an attempt that has expired while it was half written. That message may be
     * executed, and its reply must say so.
     */
    @Test
    void attemptExpiredInAHalfWrittenBatchIsReportedAsTimeout() throws Exception {
        try (ServerSocket listener = listenerWithSmallBuffer()) {
            HostPool.Attempt first = attempt("given-up", null, LONG_MICROS, 16 << 20);
            startCall(newPool(KEEP_ALIVE_MICROS), listener.getLocalPort(),
                first, attempt("goes-on", null, LONG_MICROS, 1));
            Socket socket = listener.accept();
            assertTrue(socket.getInputStream().read() >= 0, "the first byte of the request has been sent");
            group.next().submit(first::expire).get();
            assertEquals(Outcome.TIMEOUT, awaitReply().outcome());
            String head = String.join("\n", StubHost.readHead(socket.getInputStream()));
            int length = Integer.parseInt(head.replaceAll("(?s).*content-length: (\\d+).*", "$1"));
            String body = new String(socket.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
            assertTrue(body.contains("given-up") && body.endsWith("]"),
                "the expired message has reached the endpoint");
            socket.getOutputStream().write(StubHost.OK.getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(Outcome.ERROR, awaitReply().outcome());
        }
    }

    /**
     * A half written request that is reported as not executed must never be completed: its last byte must not
     * be sent later.
     */
    @Test
    void callExpiredWhileHalfWrittenIsNeverCompleted() throws Exception {
        try (ServerSocket listener = listenerWithSmallBuffer()) {
            int bytes = 16 << 20;
            HostPool.Attempt only = attempt("a", null, LONG_MICROS, bytes);
            startCall(newPool(KEEP_ALIVE_MICROS), listener.getLocalPort(), only);
            Socket socket = listener.accept();
            StubHost.readHead(socket.getInputStream());
            group.next().submit(only::expire).get();
            assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
            assertTrue(socket.getInputStream().readAllBytes().length < bytes);
        }
    }

    /**
     * When the last attempt of a batch expires, its connection is closed, although others have expired
     * before.
     */
    @Test
    void lastAttemptToExpireClosesItsHalfWrittenBatch() throws Exception {
        try (ServerSocket listener = listenerWithSmallBuffer()) {
            HostPool.Attempt first = attempt("a", null, LONG_MICROS, 16 << 20);
            HostPool.Attempt last = attempt("b", null, LONG_MICROS, 1);
            startCall(newPool(KEEP_ALIVE_MICROS), listener.getLocalPort(), first, last);
            Socket socket = listener.accept();
            StubHost.readHead(socket.getInputStream());
            group.next().submit(first::expire).get();
            group.next().submit(last::expire).get();
            assertEquals(Outcome.TIMEOUT, awaitReply().outcome());
            assertEquals(Outcome.CONNECT_FAILED, awaitReply().outcome());
            assertTrue(socket.getInputStream().readAllBytes().length < 16 << 20);
        }
    }

    /**
     * A process without a free file descriptor goes on: the attempt gets its reply, and on the event loop, as
     * nothing but the event loop may run the code that handles it.
     */
    @Test
    void callWithoutAFreeDescriptorEndsOnTheEventLoop() throws Exception {
        HostPool pool = new HostPool(group.next(), new Bootstrap().group(group), () -> {
            throw new ChannelException("too many open files");
        }, LONG_MICROS, KEEP_ALIVE_MICROS, 100, new Metrics(), System::nanoTime);
        BlockingQueue<Boolean> onEventLoop = new LinkedBlockingQueue<>();
        HostPool.Attempt attempt = new HostPool.Attempt(attempt("a", null, LONG_MICROS, 1).message(),
            LONG_MICROS, reply -> {
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

    /**
     * A connect that fails on this machine says nothing about the endpoint, which has not been contacted.
     */
    @ParameterizedTest
    @ValueSource(strings = {"Cannot assign requested address", "Network is unreachable",
        "No buffer space available"})
    void localConnectFailureIsReportedAsNoSocket(String fault) throws Exception {
        HostPool pool = new HostPool(group.next(), new Bootstrap().group(group),
            () -> new NioSocketChannel() {
                @Override
                protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
                    doClose();
                    throw new SocketException(fault);
                }
            }, LONG_MICROS, KEEP_ALIVE_MICROS, 100, new Metrics(), System::nanoTime);
        startCall(pool, 9, attempt("a", null, LONG_MICROS, 1));
        assertEquals(Outcome.NO_SOCKET, awaitReply().outcome());
        assertEquals(0, connectionCount(pool));
    }

    /** An exception in the callback that receives the reply must not leave the connection open. */
    @Test
    void connectionIsClosedEvenIfTheReplyCallbackThrows() throws Exception {
        try (StubHost host = new StubHost()) {
            HostPool.Attempt attempt = new HostPool.Attempt(attempt("a", null, LONG_MICROS, 1).message(),
                LONG_MICROS, reply -> {
                    throw new IllegalStateException("forced by the test");
                });
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), attempt);
            StubHost.Call call = host.nextCall();
            assertThrows(ExecutionException.class, () -> group.next().submit(attempt::expire).get());
            assertTrue(host.awaitClosed(call));
        }
    }

    /** Guards against a request without messages, and against an attempt that never gets its reply. */
    @Test
    void attemptCancelledBeforeItsCallStartsIsNotSent() throws Exception {
        try (StubHost host = new StubHost()) {
            HostPool pool = newPool(KEEP_ALIVE_MICROS);
            HostPool.Attempt alone = attempt("alone", null, LONG_MICROS, 1);
            HostPool.Attempt first = attempt("first", null, LONG_MICROS, 1);
            group.next().submit(alone::cancel).get();
            group.next().submit(first::cancel).get();
            assertEquals(Outcome.CANCELLED, awaitReply().outcome());
            assertEquals(Outcome.CANCELLED, awaitReply().outcome());
            startCall(pool, host.port(), alone);
            assertEquals(0, connectionCount(pool));
            startCall(pool, host.port(), first, attempt("second", null, LONG_MICROS, 1));
            StubHost.Call call = host.nextCall();
            assertEquals("second", call.header("X-Request-ID"));
            call.respond(StubHost.OK);
            assertEquals(Outcome.OK, awaitReply().outcome());
            assertTrue(replies.isEmpty());
        }
    }

    /** Cancelling one message of a batch must not cancel the call of the others. */
    @Test
    void oneMessageOfABatchCanBeCancelledAlone() throws Exception {
        try (StubHost host = new StubHost()) {
            HostPool.Attempt first = attempt("a", null, LONG_MICROS, 2);
            startCall(newPool(KEEP_ALIVE_MICROS), host.port(), first, attempt("b", null, LONG_MICROS, 2));
            StubHost.Call call = host.nextCall();
            group.next().submit(first::cancel).get();
            assertEquals(Outcome.CANCELLED, awaitReply().outcome());
            call.respond(response("200 OK", "", "[{\"id\":\"a\",\"state\":\"accepted\"},"
                + "{\"id\":\"b\",\"state\":\"accepted\"}]"));
            assertEquals(Outcome.OK, awaitReply().outcome());
            assertTrue(replies.isEmpty());
        }
    }
}
