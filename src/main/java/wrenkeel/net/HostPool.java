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
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Relay.Outcome;

/** Connections to hosts: carries out one call at a time on each, and tells what came back. One thread. */
final class HostPool {
    private static final Logger LOG = LoggerFactory.getLogger(HostPool.class);
    /** ms; a connection is not used again, and is closed, so long before the host may close it. */
    private static final long IDLE_MARGIN_MS = 1_000, SWEEP_INTERVAL_MS = 250;
    /** ns; an answer that has begun and is not at its end by then will not be waited for. */
    private static final long MAX_RESPONSE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** What came back; times in microseconds, {@code remainingShare} and {@code rateLimitPerSecond} -1 if untold. */
    record Reply(Outcome outcome, boolean messageOver, long retryAfterMicros, long latencyMicros, double remainingShare, double rateLimitPerSecond) { }

    /** One message's part in a call, from when it was asked for until its reply. */
    static final class Attempt {
        private final Message message;
        private final long timeoutMicros;
        private final Consumer<Reply> onReply;
        private final long startNanos = System.nanoTime();
        private Future<?> timeout;
        private Call call;
        private boolean ended;

        /** It ends within {@code timeoutMicros} microseconds; its reply comes exactly once. */
        Attempt(Message message, long timeoutMicros, Consumer<Reply> onReply) {
            this.message = message;
            this.timeoutMicros = timeoutMicros;
            this.onReply = onReply;
        }

        Message message() {
            return message;
        }

        /** Stops waiting. Closing the connection is how a host learns of it, once no other part waits. */
        void cancel() {
            abandon(Outcome.CANCELLED);
        }

        /** Its time is up. */
        void expire() {
            abandon(call.mayRunWithout(this) ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }

        /** The connection closes before the reply is told, so that no byte can leave after it. */
        private void abandon(Outcome outcome) {
            if (!ended) {
                markEnded();
                if (call != null && call.hasEnded() && call.channel != null) {
                    call.channel.close();
                }
                onReply.accept(replyFor(outcome));
            }
        }

        private void end(Outcome outcome) {
            end(replyFor(outcome));
        }

        private void end(Reply reply) {
            if (!ended) {
                markEnded();
                onReply.accept(reply);
            }
        }

        private void markEnded() {
            ended = true;
            if (call == null) {
                // Called off in the turn that asked for it, before its call was made.
                return;
            }
            timeout.cancel(false);
            if (call.hasEnded()) {
                call.connections.unsent.remove(call);
            }
        }

        /** An answer whose first line said 200 has delivered, whatever became of the rest of it. */
        private Reply replyFor(Outcome outcome) {
            boolean delivered = call != null && call.delivered;
            return new Reply(delivered ? Outcome.OK : outcome, delivered, 0, latencyMicros(), -1, -1);
        }

        private long latencyMicros() {
            return (System.nanoTime() - startNanos) / 1_000;
        }
    }

    /** What goes out as one request: a message, or a bundle of them that share its fate. */
    private static final class Call {
        final HostList.Host host;
        final List<Attempt> attempts;
        final HostConnections connections;
        Channel channel;
        /** Bytes of it may have been handed to the socket; all of them, once it is written. */
        boolean writeBegun;
        boolean written;
        /** The first line of its answer said 200, which settles a call with one message. */
        boolean delivered;

        Call(HostList.Host host, List<Attempt> attempts, HostConnections connections) {
            this.host = host;
            this.attempts = attempts;
            this.connections = connections;
            attempts.forEach(attempt -> attempt.call = this);
        }

        boolean isBatch() {
            return attempts.size() > 1;
        }

        boolean hasEnded() {
            return attempts.stream().allMatch(attempt -> attempt.ended);
        }

        /** True if the endpoint may run a part that is given up now: others keep a call on its way. */
        boolean mayRunWithout(Attempt attempt) {
            return written || writeBegun && attempts.stream().anyMatch(other -> other != attempt && !other.ended);
        }

        void end(Outcome outcome) {
            attempts.forEach(attempt -> attempt.end(outcome));
        }

        FullHttpRequest request() {
            return CallRequest.encode(host.address, attempts.stream().map(Attempt::message).toList(), remainingMillis());
        }

        /** ms until the last of its parts stops waiting. */
        private long remainingMillis() {
            long longest = attempts.stream().mapToLong(attempt -> attempt.timeoutMicros - attempt.latencyMicros()).max().orElse(0);
            return Math.max(1, longest / 1_000);
        }
    }

    private static final class HostConnections {
        /** Idle connections, the latest used last. */
        final ArrayDeque<Connection> idle = new ArrayDeque<>();
        final Set<Connection> open = new HashSet<>();
        /** Calls of which no byte has gone out. */
        final Set<Call> unsent = new HashSet<>();
        InetSocketAddress address;
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private long idleLimitNanos;
    private final Figures figures;
    /** Connections at once, those that are still to come up included; and how many there are. */
    private int maxConnections;
    private int connectionCount;
    private final Map<Long, HostConnections> connectionsByHost = new HashMap<>();
    /** All idle connections, the one idle for the longest first. */
    private final Set<Connection> idleOldestFirst = new LinkedHashSet<>();
    /** Calls that wait until there may be one more connection, the longest first. */
    private final ArrayDeque<Call> waitingCalls = new ArrayDeque<>();

    /**
     * {@code maxConnections}: connections at once. Beyond that, ones that carry no call are closed; where all carry
     * one, further calls wait, each for its patience.
     */
    HostPool(EventLoop loop, Bootstrap bootstrap, long connectTimeoutMicros, long keepAliveMicros, int most,
             Figures figures) {
        this(loop, bootstrap, NioSocketChannel::new, connectTimeoutMicros, keepAliveMicros, most, figures);
    }

    /** {@code sockets}: makes the channels of connections; what it throws fails the call. */
    HostPool(EventLoop loop, Bootstrap bootstrap, ChannelFactory<Channel> channelFactory, long connectTimeoutMicros,
             long keepAliveMicros, int most, Figures figures) {
        this.loop = loop;
        this.figures = figures;
        this.bootstrap = bootstrap.clone(loop).channelFactory(channelFactory)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    Connection connection = new Connection();
                    channel.pipeline().addLast(new HttpRequestEncoder(), connection.decoder, connection);
                }
            });
        setLimits(connectTimeoutMicros, keepAliveMicros, most);
        loop.scheduleWithFixedDelay(this::sweepSafely, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Other limits hold from the next connection on. */
    void setLimits(long connectTimeoutMicros, long keepAliveMicros, int connections) {
        maxConnections = connections;
        long millis = keepAliveMicros / 1_000;
        idleLimitNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(millis / 2, millis - IDLE_MARGIN_MS));
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutMicros / 1_000));
        scheduleDispatch();
    }

    private HostConnections connectionsTo(HostList.Host host) {
        return connectionsByHost.computeIfAbsent(host.id, n -> new HostConnections());
    }

    /** Begins one call that carries these parts, but for those that have been called off. */
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

    /** Begins a call on an idle connection or a new one; false if there may be none now. */
    private boolean tryDispatch(Call call) {
        Connection idle = takeIdleConnection(call);
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

    /** The connection to the call's host that was used last; null if none can be used. */
    private Connection takeIdleConnection(Call call) {
        for (Connection connection = call.connections.idle.pollLast(); connection != null; connection = call.connections.idle.pollLast()) {
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
            // Without a descriptor there is no channel that could be closed, and the listeners of its
            // future are called on another thread.
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

    /** True for a connect that this machine did not even try: no address, buffer or way out for a moment. */
    private static boolean isLocalFailure(Throwable cause) {
        boolean ofTheEndpoint = cause instanceof ConnectException || cause instanceof NoRouteToHostException;
        return cause instanceof SocketException && !ofTheEndpoint;
    }

    /** Guards the descriptors: true if there may be one more connection, for which others may be closed. */
    private boolean ensureCapacity() {
        while (connectionCount >= maxConnections) {
            Connection spare = findExpendable();
            if (spare == null) {
                return false;
            }
            idleOldestFirst.remove(spare);
            spare.channel.close();
        }
        return true;
    }

    /** The connection idle for the longest, else one whose call is over and whose answer still comes in. */
    private Connection findExpendable() {
        Stream<Connection> finishing = connectionsByHost.values().stream().flatMap(connections -> connections.open.stream())
            .filter(connection -> connection.call != null && connection.call.hasEnded());
        return Stream.concat(idleOldestFirst.stream(), finishing).filter(connection -> connection.channel.isActive()).findFirst()
            .orElse(null);
    }

    /** A connection was closed, or carries no call any more. */
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

    /** How many connections there are, those that are still to come up included. */
    int connectionCount() {
        return connectionCount;
    }

    /** Reads what hosts have answered to calls that are out: it may tell to wait. */
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
     * Takes back the calls to a host that still wait for their connection. Guards the rules on drains and
     * waits: such a call would go out as soon as the connection is up, long after the host asked for nothing
     * more.
     */
    void cancelUnsent(HostList.Host host) {
        if (connectionsByHost.containsKey(host.id)) {
            for (Call call : List.copyOf(connectionsTo(host).unsent)) {
                call.attempts.forEach(attempt -> attempt.abandon(Outcome.NOT_SENT));
            }
        }
    }

    /**
     * Closes the connections to a host that carry no call; one whose answer is still coming in, after that.
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

    /** Closes all connections that carry no call; the others, once they carry none. */
    void closeAllIdle() {
        for (HostConnections connections : connectionsByHost.values()) {
            closeIdle(connections);
        }
    }

    /** How many idle connections to a host are held. */
    int idleCount(HostList.Host host) {
        return connectionsByHost.containsKey(host.id) ? connectionsTo(host).idle.size() : 0;
    }

    /** A periodic task that throws is never run again, and stale connections would be used for ever. */
    private void sweepSafely() {
        try {
            sweep();
        } catch (RuntimeException e) {
            LOG.error("connections not swept", e);
        }
    }

    private void sweep() {
        connectionsByHost.values().removeIf(connections -> connections.open.isEmpty() && connections.unsent.isEmpty());
        for (HostConnections connections : connectionsByHost.values()) {
            // Guards the descriptors against answers that never end: their calls are over already.
            List.copyOf(connections.open).stream().filter(Connection::isStuck).forEach(connection -> connection.channel.close());
            while (!connections.idle.isEmpty() && connections.idle.peekFirst().isStale()) {
                connections.idle.pollFirst().channel.close();
            }
        }
    }

    /**
     * One connection. A call is reported at the answer's head, but for a bundle, whose fates its body tells;
     * the connection is free again at the answer's end.
     */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final ResponseDecoder decoder = new ResponseDecoder(this::onStatusLine);
        private Channel channel;
        private HostConnections connections;
        private Call call;
        private InetSocketAddress address;
        private boolean headReceived;
        private boolean reusable = true;
        private long headReceivedNanos;
        private long idleSinceNanos;
        /** The head of a bundle's answer, and what has come of its body; null when none is being read. */
        private HttpResponse batchHead;
        private ByteArrayOutputStream batchBody;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        private boolean isStale() {
            return System.nanoTime() - idleSinceNanos >= idleLimitNanos;
        }

        private boolean isStuck() {
            return call != null && headReceived && System.nanoTime() - headReceivedNanos >= MAX_RESPONSE_NANOS;
        }

        private boolean isUsableFor(HostList.Host host) {
            return channel.isActive() && !isStale() && host.address.equals(address) && !decoder.hasSurplusBytes();
        }

        /** The first line of an answer has been read. */
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
            // The module has been told that these never ran, while the connection was not yet up.
            next.attempts.removeIf(attempt -> attempt.ended);
            next.writeBegun = true;
            batchBody = null;
            connections.unsent.remove(next);
            if (!next.host.ready) {
                figures.violated(Violation.SENT_WHILE_DRAINING);
                LOG.error("{}: a call to {}", Violation.SENT_WHILE_DRAINING, next.host.name);
            }
            int messages = next.attempts.size();
            // The promise of a write is kept when its last byte has been handed to the socket: from then on
            // the call may run, before that it cannot.
            channel.writeAndFlush(next.request()).addListener(done -> {
                next.written = done.isSuccess();
                if (done.isSuccess()) {
                    figures.sent(messages);
                } else {
                    channel.close();
                }
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part.decoderResult().isFailure() || call == null) {
                channel.close();
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
                handleBatchBody(content);
            }
            if (part instanceof LastHttpContent && headReceived && channel.isActive()) {
                call = null;
                idleSinceNanos = System.nanoTime();
                if (reusable && !decoder.hasSurplusBytes()) {
                    connections.idle.addLast(this);
                    idleOldestFirst.add(this);
                    scheduleDispatch();
                } else {
                    channel.close();
                }
            }
        }

        private void handleHead(HttpResponse head) {
            if (call.isBatch() && head.status().code() == 200) {
                batchHead = head;
                batchBody = new ByteArrayOutputStream();
            } else {
                call.attempts.forEach(attempt -> attempt.end(ResponseOutcomes.reply(head, attempt.latencyMicros())));
                scheduleDispatch();
            }
        }

        private void handleBatchBody(HttpContent content) {
            byte[] bytes = ByteBufUtil.getBytes(content.content());
            batchBody.write(bytes, 0, bytes.length);
            if (content instanceof LastHttpContent) {
                Map<String, String> states = ResponseOutcomes.messageStates(batchBody.toByteArray());
                call.attempts.forEach(attempt ->
                    attempt.end(ResponseOutcomes.reply(batchHead, states.get(attempt.message.id()), attempt.latencyMicros())));
                batchBody = null;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (connections != null) {
                connections.open.remove(this);
                connections.idle.remove(this);
                idleOldestFirst.remove(this);
            }
            if (call != null) {
                call.end(call.written ? Outcome.RESET : Outcome.CONNECT_FAILED);
                call = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("connection to a host closed", cause);
            }
            context.close();
        }
    }
}
