package wrenkeel.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Load generator in place of the clients of one relay. It is an open loop: messages arrive as a Poisson
 * process at a given mean rate, whatever the results of earlier ones, and latencies count from a message's
 * due time. Connections are kept alive and carry one request at a time; when all are busy, another one is
 * opened. All state is confined to one event loop.
 */
public final class StandInClients implements AutoCloseable {
    /** Default time that a client waits for its answer. */
    static final long DEFAULT_TIMEOUT_MS = 400;
    /** Limit on the body of a response. */
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Bootstrap bootstrap;
    private final InetSocketAddress relay;
    private final long timeoutMillis;
    private final ClientObserver observer;
    private final Traffic traffic;
    private final SplittableRandom random;
    private final ZipfSampler destinations;
    private final byte[] body;
    private final double[] classShares, tenantShares;
    private final LongAdder bytesIn = new LongAdder(), bytesOut = new LongAdder();
    private final Deque<Connection> idleConnections = new ArrayDeque<>();
    private SubmissionCounts counts = new SubmissionCounts();
    private int connections;
    /** The highest value of {@code connections} so far. */
    private int maxConnections;
    private double eventsPerSecond;
    private long nextSequence;
    /** Due time of the next message. */
    private long dueNanos;
    private Future<?> nextArrival;

    /** Creates clients with the default timeout; they submit nothing before {@link #setRate}. */
    StandInClients(InetSocketAddress relay, Traffic traffic, long seed) {
        this(relay, traffic, seed, DEFAULT_TIMEOUT_MS);
    }

    /** {@code timeoutMillis}: time that they wait for an answer, and for a connection. */
    StandInClients(InetSocketAddress relay, Traffic traffic, long seed, long timeoutMillis) {
        this(relay, traffic, seed, timeoutMillis, 0, ClientObserver.NONE);
    }

    /**
     * {@code firstSequence}: sequence number of their first message; {@code observer}: is notified of each
     * message.
     */
    public StandInClients(InetSocketAddress relay, Traffic traffic, long seed, long timeoutMillis,
                          long firstSequence, ClientObserver observer) {
        this.timeoutMillis = timeoutMillis;
        this.nextSequence = firstSequence;
        this.observer = observer;
        this.relay = relay;
        this.traffic = traffic;
        random = new SplittableRandom(seed);
        destinations = new ZipfSampler(traffic.destinations(), traffic.exponent());
        body = new byte[traffic.bodyBytes()];
        classShares = traffic.classes().stream().mapToDouble(Traffic.ClassShare::share).toArray();
        tenantShares = traffic.tenants().stream().mapToDouble(Traffic.TenantShare::share).toArray();
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeoutMillis)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new ByteCounter(bytesIn, bytesOut), new HttpClientCodec(),
                        new HttpObjectAggregator(MAX_RESPONSE_BYTES), new Connection());
                }
            });
    }

    /** Sets the mean rate of messages from now on; 0 stops them. */
    public void setRate(double perSecond) throws InterruptedException {
        callInLoop(() -> {
            if (nextArrival != null) {
                nextArrival.cancel(false);
            }
            eventsPerSecond = perSecond;
            dueNanos = System.nanoTime();
            if (perSecond > 0) {
                scheduleNextArrival();
            }
            return null;
        });
    }

    /**
     * Counts all messages from the next one on in {@code into}; returns the sequence number of that
     * message.
     */
    long startCounting(SubmissionCounts into) throws InterruptedException {
        return callInLoop(() -> {
            counts = into;
            return nextSequence;
        });
    }

    /** Bytes read from all connections, HTTP headers included. */
    long bytesIn() {
        return bytesIn.sum();
    }

    /** Bytes written to the sockets of all connections, HTTP headers included. */
    long bytesOut() {
        return bytesOut.sum();
    }

    /** The highest number of connections open at the same time. */
    int maxConnections() throws InterruptedException {
        return callInLoop(() -> maxConnections);
    }

    /** Runs a task on the event loop and waits for its result. */
    private <T> T callInLoop(Callable<T> task) throws InterruptedException {
        try {
            return loop.submit(task).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** Schedules the next arrival; if it is overdue, it runs immediately. */
    private void scheduleNextArrival() {
        dueNanos += exponentialGapNanos(random, eventsPerSecond);
        nextArrival = loop.schedule(this::submitNext, Math.max(0, dueNanos - System.nanoTime()),
            TimeUnit.NANOSECONDS);
    }

    /** Draws the time between two arrivals of a Poisson process (exponential distribution). */
    static long exponentialGapNanos(SplittableRandom random, double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
    }

    /** Submits the message that is due and schedules the next one. */
    private void submitNext() {
        Submission submission = new Submission(new MessageId(nextSequence++, dueNanos), counts);
        counts.recordSubmitted((System.nanoTime() - dueNanos) / 1_000);
        scheduleNextArrival();
        submission.request = newRequest(submission.id);
        send(submission);
    }

    /** Sends on an idle connection, or on a new one if there is none. */
    private void send(Submission submission) {
        for (Connection connection = idleConnections.pollLast(); connection != null;
             connection = idleConnections.pollLast()) {
            if (connection.channel.isActive()) {
                connection.send(submission, true);
                return;
            }
        }
        sendOnNewConnection(submission);
    }

    /** Sends on a new connection, unless the maximum number is open. */
    private void sendOnNewConnection(Submission submission) {
        submission.startTimeout();
        if (connections >= traffic.maxConnections()) {
            submission.finish(submission.counts::recordNotSent, ClientObserver.Result.NOT_SENT, 0);
            return;
        }
        connections++;
        maxConnections = Math.max(maxConnections, connections);
        bootstrap.connect(relay).addListener((ChannelFuture done) -> {
            if (!done.isSuccess()) {
                connections--;
                submission.finish(submission.counts::recordConnectionLost,
                    ClientObserver.Result.CONNECTION_LOST, 0);
            } else {
                Connection connection = done.channel().pipeline().get(Connection.class);
                done.channel().closeFuture().addListener(closed -> connections--);
                connection.send(submission, false);
            }
        });
    }

    /** One message from its arrival to its result. */
    private final class Submission {
        final MessageId id;
        final SubmissionCounts counts;
        FullHttpRequest request;
        Connection connection;
        private Future<?> timeout;
        private boolean ended;
        /** Whether the request was written to the socket of its last connection. */
        private boolean written;

        Submission(MessageId id, SubmissionCounts counts) {
            this.id = id;
            this.counts = counts;
        }

        /** Starts the timeout for the answer, unless it is running already. */
        void startTimeout() {
            if (timeout == null) {
                timeout = loop.schedule(() -> finish(() -> {
                    counts.recordTimedOut();
                    if (connection != null) {
                        connection.channel.close();
                    }
                }, ClientObserver.Result.TIMED_OUT, 0), timeoutMillis, TimeUnit.MILLISECONDS);
            }
        }

        /** Records the result; only the first call has an effect. */
        void finish(Runnable recorder, ClientObserver.Result result, int status) {
            if (!ended) {
                ended = true;
                timeout.cancel(false);
                recorder.run();
                observer.submissionEnded(id, result, status, written);
            }
        }
    }

    /** Creates a request for a random class, tenant and destination. */
    private FullHttpRequest newRequest(MessageId id) {
        Traffic.ClassShare messageClass = traffic.classes().get(drawIndex(classShares));
        String tenant = tenantShares.length == 0 ? null
            : traffic.tenants().get(drawIndex(tenantShares)).name();
        ByteBuf content = Unpooled.wrappedBuffer(body);
        int destination = destinations.next(random);
        observer.submitted(id, messageClass, destination);
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
            "/" + messageClass.name(), content);
        request.headers().set(HttpHeaderNames.HOST, "api.internal").set("X-Request-ID", id.text())
            .set("X-Priority-Class", messageClass.name()).set("X-Timeout-Ms", messageClass.lifeMillis())
            .set("X-Envelope", "dest=" + destination)
            .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (messageClass.keyed()) {
            request.headers().set("Idempotency-Key", "key-" + id.text());
        }
        if (tenant != null) {
            request.headers().set("X-Tenant-Id", tenant);
        }
        return request;
    }

    /** Draws an index with these probabilities. */
    private int drawIndex(double[] shares) {
        double point = random.nextDouble();
        int drawn = 0;
        while (drawn < shares.length - 1 && point >= shares[drawn]) {
            point -= shares[drawn++];
        }
        return drawn;
    }

    /** One keep-alive connection to the relay. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        /** The submission whose answer is awaited; null while idle. */
        private Submission current;
        /** Whether the connection was idle before it got the current submission. */
        private boolean reused;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        /** Sends a submission, or becomes idle if its timeout has already expired. */
        void send(Submission submission, boolean isReused) {
            if (submission.ended) {
                idleConnections.addLast(this);
                return;
            }
            current = submission;
            reused = isReused;
            submission.connection = this;
            submission.startTimeout();
            submission.written = false;
            channel.writeAndFlush(submission.request.retainedDuplicate())
                .addListener(done -> submission.written |= done.isSuccess());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Submission submission = current;
            current = null;
            if (submission == null) {
                channel.close();
                return;
            }
            long micros = (System.nanoTime() - submission.id.dueNanos()) / 1_000;
            int status = answer.status().code();
            submission.finish(() -> submission.counts.recordAnswered(status, micros),
                ClientObserver.Result.ANSWERED, status);
            if (HttpUtil.isKeepAlive(answer)) {
                idleConnections.addLast(this);
            } else {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idleConnections.remove(this);
            Submission submission = current;
            current = null;
            if (submission == null || submission.ended) {
                return;
            }
            if (reused) {
                // The relay closed the idle connection while the request was on its way: send it again.
                sendOnNewConnection(submission);
            } else {
                submission.finish(submission.counts::recordConnectionLost,
                    ClientObserver.Result.CONNECTION_LOST, 0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
