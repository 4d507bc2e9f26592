package wrenkeel.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Relay.Outcome;

/**
 * The pool of HTTP/1.1 connections to hosts. Each connection carries one call at a time; a call carries one
 * or several attempts, and each attempt gets exactly one {@link Reply}. Not thread-safe: all methods run on
 * the event loop that is passed to the constructor.
 */
final class HostPool {
    private static final Logger LOG = LoggerFactory.getLogger(HostPool.class);
    /** An idle connection is closed, and not used again, this long before the host may close it. */
    private static final long IDLE_MARGIN_MS = 1_000;
    /** Interval at which stale and stuck connections are closed. */
    private static final long SWEEP_INTERVAL_MS = 250;
    /**
     * Time after its head within which a response must be complete; then the connection is closed, and an
     * attempt that still waits for the response may have run.
     */
    private static final long MAX_RESPONSE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * The result of an attempt.
     *
     * @param messageOver whether the message needs no further attempt: it was delivered or has expired
     * @param retryAfterMicros how long the host asks not to be called; 0 if it doesn't ask
     * @param latencyMicros time since the attempt was created
     * @param remainingShare the share of its rate limit that the host reports as left; -1 if it reports none
     * @param rateLimitPerSecond the rate limit that the host reports; -1 if it reports none
     */
    record Reply(Outcome outcome, boolean messageOver, long retryAfterMicros, long latencyMicros,
                 double remainingShare, double rateLimitPerSecond) { }

    /** Is notified of the response to an attempt. */
    @FunctionalInterface
    interface AttemptListener {
        /** Receives the result, exactly once. */
        void ended(Reply reply);

        /**
         * The head of the response asks not to call the host for this long, in microseconds. That holds even
         * if the response turns out to be incomplete; if it is complete, the result repeats it.
         */
        default void retryAfterReceived(long micros) { }
    }

    /** One attempt to deliver a message, from its creation until its reply. */
    static final class Attempt {
        private final Message message;
        private final long timeoutMicros;
        private final AttemptListener listener;
        private final long startNanos = System.nanoTime();
        private Future<?> timeout;
        private Call call;
        private boolean ended;

        /**
         * The listener is notified of the end exactly once, at the latest {@code timeoutMicros} after the
         * attempt has been passed to {@link #startCall}.
         */
        Attempt(Message message, long timeoutMicros, AttemptListener listener) {
            this.message = message;
            this.timeoutMicros = timeoutMicros;
            this.listener = listener;
        }

        Message message() {
            return message;
        }

        /**
         * Ends the attempt as cancelled. If no other attempt of its call is still waiting, the connection is
         * closed: this is how the host learns of it.
         */
        void cancel() {
            abandon(Outcome.CANCELLED);
        }

        /**
         * Ends the attempt because its timeout has elapsed: as a timeout only if the endpoint may have run
         * it.
         */
        void expire() {
            abandon(call.mayRunWithout(this) ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }

        /**
         * Ends the attempt without waiting for the response. If it was the last one of its call, the
         * connection is closed before the reply is reported, so that no byte can be sent after that.
         */
        private void abandon(Outcome outcome) {
            if (!ended) {
                markEnded();
                if (call != null && call.hasEnded() && call.channel != null) {
                    call.channel.close();
                }
                listener.ended(replyFor(outcome));
            }
        }

        private void end(Outcome outcome) {
            end(replyFor(outcome));
        }

        private void end(Reply reply) {
            if (!ended) {
                markEnded();
                listener.ended(reply);
            }
        }

        private void markEnded() {
            ended = true;
            if (call == null) {
                // Cancelled before its call was started.
                return;
            }
            timeout.cancel(false);
            if (call.hasEnded()) {
                call.connections.unsent.remove(call);
            }
        }

        /**
         * The reply for an attempt that ends without a complete response. Its message counts as delivered if
         * the status line said 200.
         */
        private Reply replyFor(Outcome outcome) {
            boolean delivered = call != null && call.delivered;
            return new Reply(delivered ? Outcome.OK : outcome, delivered, 0, latencyMicros(), -1, -1);
        }

        private long latencyMicros() {
            return (System.nanoTime() - startNanos) / 1_000;
        }
    }

    /** One HTTP request to a host, which carries a single message or a batch of messages. */
    private static final class Call {
        final HostList.Host host;
        final List<Attempt> attempts;
        final HostConnections connections;
        Channel channel;
        /** Some bytes of the request may have been handed to the socket. */
        boolean writeBegun;
        /** All bytes of the request have been handed to the socket. */
        boolean written;
        /** The status line of the response said 200; set only for a call with a single message. */
        boolean delivered;

        Call(HostList.Host host, List<Attempt> attempts, HostConnections connections) {
            this.host = host;
            this.attempts = attempts;
            this.connections = connections;
            attempts.forEach(attempt -> attempt.call = this);
        }

        /** True if the call carries more than one message. */
        boolean isBatch() {
            return attempts.size() > 1;
        }

        /** True if all attempts of the call have ended. */
        boolean hasEnded() {
            return attempts.stream().allMatch(attempt -> attempt.ended);
        }

        /**
         * True if the endpoint may still process the message of an attempt that is abandoned now: the request
         * has been sent in full, or it will be, because other attempts keep the call alive.
         */
        boolean mayRunWithout(Attempt attempt) {
            return written
                || writeBegun && attempts.stream().anyMatch(other -> other != attempt && !other.ended);
        }

        void end(Outcome outcome) {
            attempts.forEach(attempt -> attempt.end(outcome));
        }

        /** Notifies the attempts that still wait of a Retry-After in the head of the response. */
        void announceRetryAfter(long micros) {
            attempts.stream().filter(attempt -> !attempt.ended)
                .forEach(attempt -> attempt.listener.retryAfterReceived(micros));
        }

        FullHttpRequest request() {
            return CallRequest.encode(host.address, attempts.stream().map(Attempt::message).toList(),
                remainingMillis());
        }

        /** Time until the last of its attempts times out; at least 1 ms. */
        private long remainingMillis() {
            long longest = attempts.stream()
                .mapToLong(attempt -> attempt.timeoutMicros - attempt.latencyMicros()).max().orElse(0);
            return Math.max(1, longest / 1_000);
        }
    }

    /** The connections to one host, and the calls that wait for one. */
    private static final class HostConnections {
        /** Idle connections, the most recently used last. */
        final ArrayDeque<Connection> idle = new ArrayDeque<>();
        /** All established connections, idle or in use. */
        final Set<Connection> open = new HashSet<>();
        /** Calls of which no byte has been sent. */
        final Set<Call> unsent = new HashSet<>();
        final ReuseGuard reuseGuard = new ReuseGuard();
        InetSocketAddress address;
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private long idleLimitNanos;
    private final Metrics metrics;
    private final LongSupplier nanoClock;
    /** Limit of {@link #connectionCount}. */
    private int maxConnections;
    /** Connections to all hosts, including those that are being established. */
    private int connectionCount;
    private final Map<Long, HostConnections> connectionsByHost = new HashMap<>();
    /** The idle connections to all hosts, the one that has been idle longest first. */
    private final Set<Connection> idleOldestFirst = new LinkedHashSet<>();
    /** Calls that wait because the connection limit is reached, oldest first. */
    private final ArrayDeque<Call> waitingCalls = new ArrayDeque<>();

    /**
     * Creates a pool with at most {@code maxConnections} connections. At that limit, idle connections are
     * closed to make room for new ones; if none is idle, further calls wait until their timeout.
     */
    HostPool(EventLoop loop, Bootstrap bootstrap, long connectTimeoutMicros, long keepAliveMicros,
             int maxConnections, Metrics metrics) {
        this(loop, bootstrap, NioSocketChannel::new, connectTimeoutMicros, keepAliveMicros, maxConnections,
            metrics, System::nanoTime);
    }

    /**
     * {@code channelFactory} creates the connections' channels; an exception that it throws fails the call.
     * {@code nanoClock} tells how long connections have been idle.
     */
    HostPool(EventLoop loop, Bootstrap bootstrap, ChannelFactory<Channel> channelFactory,
             long connectTimeoutMicros, long keepAliveMicros, int maxConnections, Metrics metrics,
             LongSupplier nanoClock) {
        this.loop = loop;
        this.metrics = metrics;
        this.nanoClock = nanoClock;
        this.bootstrap = bootstrap.clone(loop).channelFactory(channelFactory)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    Connection connection = new Connection();
                    channel.pipeline().addLast(new HttpRequestEncoder(), connection.decoder, connection);
                }
            });
        setLimits(connectTimeoutMicros, keepAliveMicros, maxConnections);
        loop.scheduleWithFixedDelay(this::sweepSafely, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
    }

    /**
     * Changes the limits. The connect timeout and the connection limit apply from the next connection on.
     *
     * @param keepAliveMicros how long a host keeps an idle connection open
     */
    void setLimits(long connectTimeoutMicros, long keepAliveMicros, int maxConnections) {
        this.maxConnections = maxConnections;
        long keepAliveMillis = keepAliveMicros / 1_000;
        idleLimitNanos = TimeUnit.MILLISECONDS.toNanos(
            Math.max(keepAliveMillis / 2, keepAliveMillis - IDLE_MARGIN_MS));
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
            (int) Math.max(1, connectTimeoutMicros / 1_000));
        scheduleDispatch();
    }

    private HostConnections connectionsTo(HostList.Host host) {
        return connectionsByHost.computeIfAbsent(host.id, n -> new HostConnections());
    }

    /** Starts one call that carries these attempts, except those that have been cancelled already. */
    void startCall(HostList.Host host, List<Attempt> attempts) {
        List<Attempt> wanted = new ArrayList<>(attempts);
        wanted.removeIf(attempt -> attempt.ended);
        if (wanted.isEmpty()) {
            return;
        }
        HostConnections connections = connectionsTo(host);
        Call call = new Call(host, wanted, connections);
        for (Attempt attempt : call.attempts) {
            attempt.timeout = loop.schedule(attempt::expire, attempt.timeoutMicros, TimeUnit.MICROSECONDS);
        }
        connections.unsent.add(call);
        waitingCalls.removeIf(Call::hasEnded);
        if (!waitingCalls.isEmpty() || !tryDispatch(call)) {
            waitingCalls.addLast(call);
        }
    }

    /**
     * Starts a call on an idle connection or a new one; false if the connection limit doesn't allow it now.
     */
    private boolean tryDispatch(Call call) {
        Connection idle = takeIdleConnection(call, true);
        if (idle == null && connectionCount >= maxConnections) {
            idle = takeIdleConnection(call, false);
        }
        if (idle != null) {
            idle.start(call);
            return true;
        }
        if (!ensureCapacity()) {
            return false;
        }
        connect(call);
        return true;
    }

    /**
     * Takes the most recently used idle connection to the call's host; null if none can be used.
     *
     * @param rested only a connection that has rested since its latest response
     */
    private Connection takeIdleConnection(Call call, boolean rested) {
        List<Connection> mostRecentFirst = new ArrayList<>();
        call.connections.idle.descendingIterator().forEachRemaining(mostRecentFirst::add);
        for (Connection connection : mostRecentFirst) {
            if (rested && !connection.hasRested()) {
                continue;
            }
            // Surplus bytes that have arrived close the connection.
            UnreadBytes.read(connection.channel);
            call.connections.idle.remove(connection);
            idleOldestFirst.remove(connection);
            if (connection.isUsableFor(call.host)) {
                return connection;
            }
            connection.channel.close();
        }
        return null;
    }

    private void connect(Call call) {
        ChannelFuture connect = bootstrap.connect(call.host.address);
        if (!connect.channel().isRegistered()) {
            // No file descriptor was available. There is no channel to close, and the listeners of this
            // future would be called on another thread.
            loop.execute(() -> call.end(Outcome.NO_SOCKET));
            return;
        }
        connectionCount++;
        call.channel = connect.channel();
        call.channel.closeFuture().addListener(closed -> {
            connectionCount--;
            scheduleDispatch();
        });
        connect.addListener(done -> {
            if (!done.isSuccess()) {
                call.end(isLocalFailure(done.cause()) ? Outcome.NO_SOCKET : Outcome.CONNECT_FAILED);
            } else if (call.hasEnded()) {
                call.channel.close();
            } else {
                Connection connection = call.channel.pipeline().get(Connection.class);
                connection.connections = call.connections;
                call.connections.open.add(connection);
                connection.start(call);
            }
        });
    }

    /**
     * True if a connect failed on this machine before anything was sent, for example because it had no local
     * address, buffer or route at that moment.
     */
    private static boolean isLocalFailure(Throwable cause) {
        boolean remoteFailure = cause instanceof ConnectException || cause instanceof NoRouteToHostException;
        return cause instanceof SocketException && !remoteFailure;
    }

    /**
     * Makes room for one more connection, closing expendable ones if the limit is reached. Returns false if
     * none is expendable. The limit keeps the process from running out of file descriptors.
     */
    private boolean ensureCapacity() {
        while (connectionCount >= maxConnections) {
            Connection expendable = findExpendable();
            if (expendable == null) {
                return false;
            }
            idleOldestFirst.remove(expendable);
            expendable.channel.close();
        }
        return true;
    }

    /**
     * The connection that has been idle longest, or else one whose call has ended while its response is still
     * being received; null if there is neither.
     */
    private Connection findExpendable() {
        Stream<Connection> finishing = connectionsByHost.values().stream()
            .flatMap(connections -> connections.open.stream())
            .filter(connection -> connection.call != null && connection.call.hasEnded());
        return Stream.concat(idleOldestFirst.stream(), finishing)
            .filter(connection -> connection.channel.isActive()).findFirst().orElse(null);
    }

    /** Lets waiting calls try again, after a connection was closed or became free, or the limits changed. */
    private void scheduleDispatch() {
        if (!waitingCalls.isEmpty()) {
            loop.execute(this::dispatchWaiting);
        }
    }

    private void dispatchWaiting() {
        waitingCalls.removeIf(Call::hasEnded);
        while (!waitingCalls.isEmpty() && tryDispatch(waitingCalls.peekFirst())) {
            waitingCalls.removeFirst();
        }
    }

    /** The number of connections to all hosts, including those that are being established. */
    int connectionCount() {
        return connectionCount;
    }

    /**
     * Reads what a host has already sent in response to calls in progress: it may contain a Retry-After that
     * forbids further calls.
     */
    void readPendingResponses(HostList.Host host) {
        if (connectionsByHost.containsKey(host.id)) {
            for (Connection connection : List.copyOf(connectionsTo(host).open)) {
                if (connection.call != null) {
                    UnreadBytes.read(connection.channel);
                }
            }
        }
    }

    /**
     * Ends the calls to a host that still wait for a connection, as not sent. Otherwise such a call would be
     * sent as soon as its connection is established, although the host is draining by then or has asked for
     * a pause with Retry-After.
     */
    void cancelUnsent(HostList.Host host) {
        if (connectionsByHost.containsKey(host.id)) {
            for (Call call : List.copyOf(connectionsTo(host).unsent)) {
                call.attempts.forEach(attempt -> attempt.abandon(Outcome.NOT_SENT));
            }
        }
    }

    /**
     * Closes the idle connections to a host. Connections in use are closed when their response is complete.
     */
    void closeIdle(HostList.Host host) {
        if (connectionsByHost.containsKey(host.id)) {
            closeIdle(connectionsTo(host));
        }
    }

    private static void closeIdle(HostConnections connections) {
        for (Connection connection : List.copyOf(connections.open)) {
            connection.reusable = false;
            if (connection.call == null) {
                connection.channel.close();
            }
        }
        connections.idle.clear();
    }

    /**
     * Closes the idle connections to all hosts. Connections in use are closed when their response is
     * complete.
     */
    void closeAllIdle() {
        for (HostConnections connections : connectionsByHost.values()) {
            closeIdle(connections);
        }
    }

    /** The number of idle connections to a host. */
    int idleCount(HostList.Host host) {
        return connectionsByHost.containsKey(host.id) ? connectionsTo(host).idle.size() : 0;
    }

    /**
     * Runs {@link #sweep} and catches what it throws: a periodic task that throws is not run again, and then
     * stale connections would never be closed.
     */
    private void sweepSafely() {
        try {
            sweep();
        } catch (RuntimeException e) {
            LOG.error("closing of stale connections to hosts failed", e);
        }
    }

    /** Closes stale and stuck connections, and forgets hosts without connections and calls. */
    private void sweep() {
        connectionsByHost.values().removeIf(connections -> connections.open.isEmpty()
            && connections.unsent.isEmpty() && connections.reuseGuard.allowsReuse(nanoClock.getAsLong()));
        for (HostConnections connections : connectionsByHost.values()) {
            // A response that never ends would hold its file descriptor.
            List.copyOf(connections.open).stream().filter(Connection::isStuck).forEach(Connection::abort);
            while (!connections.idle.isEmpty() && connections.idle.peekFirst().isStale()) {
                connections.idle.pollFirst().channel.close();
            }
        }
    }

    /**
     * One connection. The delivery of a single message is reported when the head of the response has arrived,
     * and any other result when the response is complete: a response that cannot be read to its end proves
     * nothing, so the message may have run. The connection becomes idle when the response is complete.
     */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final ResponseDecoder decoder = new ResponseDecoder(this::onStatusLine, this::onSurplus);
        private Channel channel;
        private HostConnections connections;
        private Call call;
        private InetSocketAddress address;
        private boolean headReceived;
        private boolean reusable = true;
        private long headReceivedNanos;
        private long idleSinceNanos;
        /** The head of a response whose results are not reported yet; null if there is none. */
        private HttpResponse pendingHead;
        /** The connection was ended by an I/O error or by this side, so a response on it is not complete. */
        private boolean aborted;
        /** The part of a batch response's body received so far; null while none is being read. */
        private ByteArrayOutputStream batchBody;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        /** True if the host may close this idle connection soon. */
        private boolean isStale() {
            return nanoClock.getAsLong() - idleSinceNanos >= idleLimitNanos;
        }

        private boolean hasRested() {
            return ReuseGuard.hasRested(idleSinceNanos, nanoClock.getAsLong());
        }

        /** True if the head of the response came long ago and the response is not complete. */
        private boolean isStuck() {
            return call != null && headReceived
                && System.nanoTime() - headReceivedNanos >= MAX_RESPONSE_NANOS;
        }

        private boolean isUsableFor(HostList.Host host) {
            return channel.isActive() && !isStale() && host.address.equals(address)
                && connections.reuseGuard.allowsReuse(nanoClock.getAsLong());
        }

        /** Called when bytes have arrived that belong to no call. */
        private void onSurplus() {
            if (connections != null) {
                connections.reuseGuard.recordSurplus(nanoClock.getAsLong());
                metrics.countSurplusResponse();
            }
            channel.close();
        }

        /** Called when the status line of a response has been read. */
        private void onStatusLine(int status) {
            if (call != null && !call.isBatch() && status == 200) {
                call.delivered = true;
            }
        }

        private void start(Call next) {
            call = next;
            address = next.host.address;
            headReceived = false;
            reusable = true;
            next.channel = channel;
            decoder.expectResponse();
            // These ended while the connection was being established; they were reported as never sent.
            next.attempts.removeIf(attempt -> attempt.ended);
            next.writeBegun = true;
            pendingHead = null;
            batchBody = null;
            connections.unsent.remove(next);
            if (!next.host.ready) {
                metrics.countViolation(Violation.SENT_WHILE_DRAINING);
                LOG.error("{}: call sent to host {}, which is draining or gone",
                    Violation.SENT_WHILE_DRAINING, next.host.name);
            }
            int messages = next.attempts.size();
            // The write completes when its last byte has been handed to the socket. Only from then on can the
            // host process the call.
            channel.writeAndFlush(next.request()).addListener(done -> {
                next.written = done.isSuccess();
                if (done.isSuccess()) {
                    metrics.countUpstreamRequests(messages);
                } else {
                    abort();
                }
            });
        }

        /** Closes the connection; a response that is not complete by now does not become complete. */
        private void abort() {
            aborted = true;
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part.decoderResult().isFailure() || call == null) {
                abort();
                return;
            }
            if (aborted) {
                return;
            }
            if (part instanceof HttpResponse head
                && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                headReceived = true;
                headReceivedNanos = System.nanoTime();
                reusable &= HttpUtil.isKeepAlive(head) && call.written;
                handleHead(head);
            }
            if (part instanceof HttpContent content && batchBody != null) {
                byte[] bytes = ByteBufUtil.getBytes(content.content());
                batchBody.write(bytes, 0, bytes.length);
            }
            if (part instanceof LastHttpContent && pendingHead != null) {
                reportResults();
            }
            if (part instanceof LastHttpContent && headReceived && channel.isActive()) {
                call = null;
                idleSinceNanos = nanoClock.getAsLong();
                decoder.completeResponse();
                if (reusable && channel.isActive()
                    && connections.reuseGuard.allowsReuse(idleSinceNanos)) {
                    connections.idle.addLast(this);
                    idleOldestFirst.add(this);
                    scheduleDispatch();
                } else {
                    channel.close();
                }
            }
        }

        /** Reports the delivery of a single message; all other results wait for the end of the response. */
        private void handleHead(HttpResponse head) {
            if (call.delivered) {
                call.attempts.forEach(attempt ->
                    attempt.end(ResponseOutcomes.reply(head, attempt.latencyMicros())));
                scheduleDispatch();
                return;
            }
            pendingHead = head;
            batchBody = isBatchSuccess(head) ? new ByteArrayOutputStream() : null;
            long retryAfterMicros = ResponseOutcomes.retryAfterMicros(head);
            if (retryAfterMicros > 0) {
                call.announceRetryAfter(retryAfterMicros);
            }
        }

        /** True if the body of the response names a state for each message of the call. */
        private boolean isBatchSuccess(HttpResponse head) {
            return call.isBatch() && head.status().code() == HttpResponseStatus.OK.code();
        }

        /** Reports the results of a call whose response is complete. */
        private void reportResults() {
            HttpResponse head = pendingHead;
            pendingHead = null;
            if (batchBody == null) {
                call.attempts.forEach(attempt ->
                    attempt.end(ResponseOutcomes.reply(head, attempt.latencyMicros())));
                return;
            }
            Map<String, String> states = ResponseOutcomes.messageStates(batchBody.toByteArray());
            batchBody = null;
            call.attempts.forEach(attempt -> attempt.end(ResponseOutcomes.reply(head,
                states.get(attempt.message.id()), attempt.latencyMicros())));
        }

        /** The outcome of the call's attempts if the connection ends now. */
        private Outcome outcomeOfClose() {
            if (!call.written) {
                return Outcome.CONNECT_FAILED;
            }
            if (pendingHead == null || isBatchSuccess(pendingHead)) {
                return Outcome.RESET;
            }
            Outcome announced = ResponseOutcomes.reply(pendingHead, 0).outcome();
            return announced.provesNotExecuted() ? Outcome.RESET : announced;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (connections != null) {
                connections.open.remove(this);
                connections.idle.remove(this);
                idleOldestFirst.remove(this);
            }
            if (call != null) {
                call.end(outcomeOfClose());
                call = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("connection to a host closed after an unexpected exception", cause);
            }
            abort();
        }
    }
}
