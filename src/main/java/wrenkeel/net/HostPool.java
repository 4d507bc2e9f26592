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
    private static final long IDLE_MARGIN = 1_000, SWEEP = 250;
    /** ns; an answer that has begun and is not at its end by then will not be waited for. */
    private static final long ANSWER_MOST = TimeUnit.SECONDS.toNanos(2);

    /** What came back; times in microseconds, {@code slotsLeft} and {@code slotLimit} -1 if untold. */
    record Reply(Outcome outcome, boolean messageOver, long retryAfterMicros, long latencyMicros, double slotsLeft, double slotLimit) { }

    /** One message's part in a call, from when it was asked for until its reply. */
    static final class Attempt {
        private final Message message;
        private final long patience;
        private final Consumer<Reply> whenEnded;
        private final long began = System.nanoTime();
        private Future<?> timer;
        private Call call;
        private boolean ended;

        /** It ends within {@code patience} microseconds; its reply comes exactly once. */
        Attempt(Message message, long patience, Consumer<Reply> whenEnded) {
            this.message = message;
            this.patience = patience;
            this.whenEnded = whenEnded;
        }

        Message message() {
            return message;
        }

        /** Stops waiting. Closing the connection is how a host learns of it, once no other part waits. */
        void cancel() {
            abandon(Outcome.CANCELLED);
        }

        /** Its time is up. */
        void giveUp() {
            abandon(call.mayRunWithout(this) ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }

        /** The connection closes before the reply is told, so that no byte can leave after it. */
        private void abandon(Outcome outcome) {
            if (!ended) {
                settle();
                if (call != null && call.over() && call.channel != null) {
                    call.channel.close();
                }
                whenEnded.accept(reply(outcome));
            }
        }

        private void end(Outcome outcome) {
            end(reply(outcome));
        }

        private void end(Reply reply) {
            if (!ended) {
                settle();
                whenEnded.accept(reply);
            }
        }

        private void settle() {
            ended = true;
            if (call == null) {
                // Called off in the turn that asked for it, before its call was made.
                return;
            }
            timer.cancel(false);
            if (call.over()) {
                call.pool.connecting.remove(call);
            }
        }

        /** An answer whose first line said 200 has delivered, whatever became of the rest of it. */
        private Reply reply(Outcome outcome) {
            boolean delivered = call != null && call.delivered;
            return new Reply(delivered ? Outcome.OK : outcome, delivered, 0, latency(), -1, -1);
        }

        private long latency() {
            return (System.nanoTime() - began) / 1_000;
        }
    }

    /** What goes out as one request: a message, or a bundle of them that share its fate. */
    private static final class Call {
        final HostList.Host host;
        final List<Attempt> parts;
        final Pool pool;
        Channel channel;
        /** Bytes of it may have been handed to the socket; all of them, once it is written. */
        boolean begun;
        boolean written;
        /** The first line of its answer said 200, which settles a call with one message. */
        boolean delivered;

        Call(HostList.Host host, List<Attempt> parts, Pool pool) {
            this.host = host;
            this.parts = parts;
            this.pool = pool;
            parts.forEach(part -> part.call = this);
        }

        boolean bundle() {
            return parts.size() > 1;
        }

        boolean over() {
            return parts.stream().allMatch(part -> part.ended);
        }

        /** True if the endpoint may run a part that is given up now: others keep a call on its way. */
        boolean mayRunWithout(Attempt part) {
            return written || begun && parts.stream().anyMatch(other -> other != part && !other.ended);
        }

        void end(Outcome outcome) {
            parts.forEach(part -> part.end(outcome));
        }

        FullHttpRequest request() {
            return CallRequest.encode(host.address, parts.stream().map(Attempt::message).toList(), left());
        }

        /** ms until the last of its parts stops waiting. */
        private long left() {
            long most = parts.stream().mapToLong(part -> part.patience - part.latency()).max().orElse(0);
            return Math.max(1, most / 1_000);
        }
    }

    private static final class Pool {
        /** Idle connections, the latest used last. */
        final ArrayDeque<Connection> idle = new ArrayDeque<>();
        final Set<Connection> open = new HashSet<>();
        /** Calls of which no byte has gone out. */
        final Set<Call> connecting = new HashSet<>();
        InetSocketAddress dial;
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private long idleLimit;
    private final Figures figures;
    /** Connections at once, those that are still to come up included; and how many there are. */
    private int most;
    private int held;
    private final Map<Long, Pool> pools = new HashMap<>();
    /** All idle connections, the one idle for the longest first. */
    private final Set<Connection> resting = new LinkedHashSet<>();
    /** Calls that wait until there may be one more connection, the longest first. */
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();

    /**
     * {@code most}: connections at once. Beyond that, ones that carry no call are closed; where all carry
     * one, further calls wait, each for its patience.
     */
    HostPool(EventLoop loop, Bootstrap bootstrap, long connectTimeout, long keepAlive, int most,
             Figures figures) {
        this(loop, bootstrap, NioSocketChannel::new, connectTimeout, keepAlive, most, figures);
    }

    /** {@code sockets}: makes the channels of connections; what it throws fails the call. */
    HostPool(EventLoop loop, Bootstrap bootstrap, ChannelFactory<Channel> sockets, long connectTimeout,
             long keepAlive, int most, Figures figures) {
        this.loop = loop;
        this.figures = figures;
        this.bootstrap = bootstrap.clone(loop).channelFactory(sockets)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    Connection connection = new Connection();
                    channel.pipeline().addLast(new HttpRequestEncoder(), connection.answers, connection);
                }
            });
        setLimits(connectTimeout, keepAlive, most);
        loop.scheduleWithFixedDelay(this::sweepSafely, SWEEP, SWEEP, TimeUnit.MILLISECONDS);
    }

    /** Other limits hold from the next connection on. */
    void setLimits(long connectTimeout, long keepAlive, int connections) {
        most = connections;
        long millis = keepAlive / 1_000;
        idleLimit = TimeUnit.MILLISECONDS.toNanos(Math.max(millis / 2, millis - IDLE_MARGIN));
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeout / 1_000));
        roomMayBeFree();
    }

    private Pool pool(HostList.Host host) {
        return pools.computeIfAbsent(host.id, n -> new Pool());
    }

    /** Begins one call that carries these parts, but for those that have been called off. */
    void startCall(HostList.Host host, List<Attempt> parts) {
        List<Attempt> wanted = new ArrayList<>(parts);
        wanted.removeIf(part -> part.ended);
        if (wanted.isEmpty()) {
            return;
        }
        Pool pool = pool(host);
        Call call = new Call(host, wanted, pool);
        for (Attempt part : call.parts) {
            part.timer = loop.schedule(part::giveUp, part.patience, TimeUnit.MICROSECONDS);
        }
        pool.connecting.add(call);
        waiting.removeIf(Call::over);
        if (!waiting.isEmpty() || !dispatch(call)) {
            waiting.addLast(call);
        }
    }

    /** Begins a call on an idle connection or a new one; false if there may be none now. */
    private boolean dispatch(Call call) {
        Connection idle = idleConnection(call);
        if (idle != null) {
            idle.begin(call);
            return true;
        }
        if (!makeRoom()) {
            return false;
        }
        connect(call);
        return true;
    }

    /** The connection to the call's host that was used last; null if none can be used. */
    private Connection idleConnection(Call call) {
        for (Connection c = call.pool.idle.pollLast(); c != null; c = call.pool.idle.pollLast()) {
            resting.remove(c);
            if (c.usable(call.host)) {
                return c;
            }
            c.channel.close();
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
        held++;
        call.channel = connect.channel();
        call.channel.closeFuture().addListener(closed -> {
            held--;
            roomMayBeFree();
        });
        connect.addListener(done -> {
            if (!done.isSuccess()) {
                call.end(isOfThisMachine(done.cause()) ? Outcome.NO_SOCKET : Outcome.CONNECT_FAILED);
            } else if (call.over()) {
                call.channel.close();
            } else {
                Connection c = call.channel.pipeline().get(Connection.class);
                c.pool = call.pool;
                call.pool.open.add(c);
                c.begin(call);
            }
        });
    }

    /** True for a connect that this machine did not even try: no address, buffer or way out for a moment. */
    private static boolean isOfThisMachine(Throwable cause) {
        boolean ofTheEndpoint = cause instanceof ConnectException || cause instanceof NoRouteToHostException;
        return cause instanceof SocketException && !ofTheEndpoint;
    }

    /** Guards the descriptors: true if there may be one more connection, for which others may be closed. */
    private boolean makeRoom() {
        while (held >= most) {
            Connection spare = spare();
            if (spare == null) {
                return false;
            }
            resting.remove(spare);
            spare.channel.close();
        }
        return true;
    }

    /** The connection idle for the longest, else one whose call is over and whose answer still comes in. */
    private Connection spare() {
        Stream<Connection> finishing = pools.values().stream().flatMap(pool -> pool.open.stream())
            .filter(c -> c.call != null && c.call.over());
        return Stream.concat(resting.stream(), finishing).filter(c -> c.channel.isActive()).findFirst()
            .orElse(null);
    }

    /** A connection was closed, or carries no call any more. */
    private void roomMayBeFree() {
        if (!waiting.isEmpty()) {
            loop.execute(this::dispatchWaiting);
        }
    }

    private void dispatchWaiting() {
        waiting.removeIf(Call::over);
        while (!waiting.isEmpty() && dispatch(waiting.peekFirst())) {
            waiting.removeFirst();
        }
    }

    /** How many connections there are, those that are still to come up included. */
    int connectionCount() {
        return held;
    }

    /** Reads what hosts have answered to calls that are out: it may tell to wait. */
    void readPendingResponses(HostList.Host host) {
        if (pools.containsKey(host.id)) {
            for (Connection c : List.copyOf(pool(host).open)) {
                if (c.call != null) {
                    UnreadBytes.read(c.channel);
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
        if (pools.containsKey(host.id)) {
            for (Call call : List.copyOf(pool(host).connecting)) {
                call.parts.forEach(part -> part.abandon(Outcome.NOT_SENT));
            }
        }
    }

    /**
     * Closes the connections to a host that carry no call; one whose answer is still coming in, after that.
     */
    void closeIdle(HostList.Host host) {
        if (pools.containsKey(host.id)) {
            closeIdle(pool(host));
        }
    }

    private static void closeIdle(Pool pool) {
        for (Connection c : List.copyOf(pool.open)) {
            c.keep = false;
            if (c.call == null) {
                c.channel.close();
            }
        }
        pool.idle.clear();
    }

    /** Closes all connections that carry no call; the others, once they carry none. */
    void closeAllIdle() {
        for (Pool pool : pools.values()) {
            closeIdle(pool);
        }
    }

    /** How many idle connections to a host are held. */
    int idleCount(HostList.Host host) {
        return pools.containsKey(host.id) ? pool(host).idle.size() : 0;
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
        pools.values().removeIf(pool -> pool.open.isEmpty() && pool.connecting.isEmpty());
        for (Pool pool : pools.values()) {
            // Guards the descriptors against answers that never end: their calls are over already.
            List.copyOf(pool.open).stream().filter(Connection::stuck).forEach(c -> c.channel.close());
            while (!pool.idle.isEmpty() && pool.idle.peekFirst().stale()) {
                pool.idle.pollFirst().channel.close();
            }
        }
    }

    /**
     * One connection. A call is reported at the answer's head, but for a bundle, whose fates its body tells;
     * the connection is free again at the answer's end.
     */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final ResponseDecoder answers = new ResponseDecoder(this::began);
        private Channel channel;
        private Pool pool;
        private Call call;
        private InetSocketAddress dial;
        private boolean answered;
        private boolean keep = true;
        private long answeredAt;
        private long idleSince;
        /** The head of a bundle's answer, and what has come of its body; null when none is being read. */
        private HttpResponse fates;
        private ByteArrayOutputStream states;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        private boolean stale() {
            return System.nanoTime() - idleSince >= idleLimit;
        }

        private boolean stuck() {
            return call != null && answered && System.nanoTime() - answeredAt >= ANSWER_MOST;
        }

        private boolean usable(HostList.Host host) {
            return channel.isActive() && !stale() && host.address.equals(dial) && !answers.hasSurplusBytes();
        }

        /** The first line of an answer has been read. */
        private void began(int status) {
            if (call != null && !call.bundle() && status == 200) {
                call.delivered = true;
            }
        }

        private void begin(Call next) {
            call = next;
            dial = next.host.address;
            answered = false;
            keep = true;
            next.channel = channel;
            answers.expectResponse();
            // The module has been told that these never ran, while the connection was not yet up.
            next.parts.removeIf(part -> part.ended);
            next.begun = true;
            states = null;
            pool.connecting.remove(next);
            if (!next.host.ready) {
                figures.violated(Violation.SENT_WHILE_DRAINING);
                LOG.error("{}: a call to {}", Violation.SENT_WHILE_DRAINING, next.host.name);
            }
            int messages = next.parts.size();
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
                answered = true;
                answeredAt = System.nanoTime();
                keep &= HttpUtil.isKeepAlive(head) && call.written;
                headed(head);
            }
            if (part instanceof HttpContent content && states != null) {
                bodied(content);
            }
            if (part instanceof LastHttpContent && answered && channel.isActive()) {
                call = null;
                idleSince = System.nanoTime();
                if (keep && !answers.hasSurplusBytes()) {
                    pool.idle.addLast(this);
                    resting.add(this);
                    roomMayBeFree();
                } else {
                    channel.close();
                }
            }
        }

        private void headed(HttpResponse head) {
            if (call.bundle() && head.status().code() == 200) {
                fates = head;
                states = new ByteArrayOutputStream();
            } else {
                call.parts.forEach(part -> part.end(ResponseOutcomes.reply(head, part.latency())));
                roomMayBeFree();
            }
        }

        private void bodied(HttpContent content) {
            byte[] bytes = ByteBufUtil.getBytes(content.content());
            states.write(bytes, 0, bytes.length);
            if (content instanceof LastHttpContent) {
                Map<String, String> told = ResponseOutcomes.states(states.toByteArray());
                call.parts.forEach(part ->
                    part.end(ResponseOutcomes.reply(fates, told.get(part.message.id()), part.latency())));
                states = null;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (pool != null) {
                pool.open.remove(this);
                pool.idle.remove(this);
                resting.remove(this);
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
