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
 * Clients of one relay. Messages come at random times of a given mean rate whatever became of those before
 * (an open loop, Poisson arrivals), and each time counts from when the message was due. Connections are kept
 * and carry one request at a time; when all are busy another is opened. All state belongs to one event loop.
 */
public final class StandInClients implements AutoCloseable {
    /** ms that a client waits for its answer. */
    static final long PATIENCE = 400;
    private static final int ANSWER_MOST = 64 * 1024;

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Bootstrap bootstrap;
    private final InetSocketAddress relay;
    private final long patience;
    private final ClientObserver observer;
    private final Traffic traffic;
    private final SplittableRandom random;
    private final ZipfSampler destinations;
    private final byte[] body;
    private final double[] classShares, tenantShares;
    private final LongAdder bytesIn = new LongAdder(), bytesOut = new LongAdder();
    private final Deque<Connection> idle = new ArrayDeque<>();
    private Tally tally = new Tally();
    private int connections, mostConnections;
    private double eventsPerSecond;
    private long sequence, dueNanos;
    private Future<?> arrival;

    /** Clients that hand nothing in before {@link #rate}. */
    StandInClients(InetSocketAddress relay, Traffic traffic, long seed) {
        this(relay, traffic, seed, PATIENCE);
    }

    /** {@code patience}: ms that they wait for an answer. */
    StandInClients(InetSocketAddress relay, Traffic traffic, long seed, long patience) {
        this(relay, traffic, seed, patience, 0, ClientObserver.NONE);
    }

    /** {@code firstSequence}: of their first message; {@code observer}: hears of each message. */
    public StandInClients(InetSocketAddress relay, Traffic traffic, long seed, long patience,
                          long firstSequence, ClientObserver observer) {
        this.patience = patience;
        this.sequence = firstSequence;
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
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) patience)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new ByteCounter(bytesIn, bytesOut), new HttpClientCodec(),
                        new HttpObjectAggregator(ANSWER_MOST), new Connection());
                }
            });
    }

    /** From now on so many messages a second come; with 0 none. */
    public void rate(double perSecond) throws InterruptedException {
        inLoop(() -> {
            if (arrival != null) {
                arrival.cancel(false);
            }
            eventsPerSecond = perSecond;
            dueNanos = System.nanoTime();
            if (perSecond > 0) {
                next();
            }
            return null;
        });
    }

    /** Messages due from now on are counted here; returns the sequence number of the first of them. */
    long count(Tally into) throws InterruptedException {
        return inLoop(() -> {
            tally = into;
            return sequence;
        });
    }

    /** Bytes read from all connections, heads included. */
    long bytesIn() {
        return bytesIn.sum();
    }

    /** Bytes handed to the system for all connections, heads included. */
    long bytesOut() {
        return bytesOut.sum();
    }

    /** Most connections that were held at once. */
    int mostConnections() throws InterruptedException {
        return inLoop(() -> mostConnections);
    }

    private <T> T inLoop(Callable<T> task) throws InterruptedException {
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

    /** Arranges the next arrival. */
    private void next() {
        dueNanos += gapNanos(random, eventsPerSecond);
        arrival = loop.schedule(this::arrive, Math.max(0, dueNanos - System.nanoTime()),
            TimeUnit.NANOSECONDS);
    }

    /** The time to the next of events that come independently of each other. */
    static long gapNanos(SplittableRandom random, double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
    }

    private void arrive() {
        Handed handed = new Handed(new MessageId(sequence++, dueNanos), tally);
        tally.handedIn((System.nanoTime() - dueNanos) / 1_000);
        next();
        handed.request = request(handed.id);
        send(handed);
    }

    private void send(Handed handed) {
        for (Connection c = idle.pollLast(); c != null; c = idle.pollLast()) {
            if (c.channel.isActive()) {
                c.carry(handed, true);
                return;
            }
        }
        open(handed);
    }

    /** Sends on a connection of its own. */
    private void open(Handed handed) {
        handed.awaitAnswer();
        if (connections >= traffic.mostConnections()) {
            handed.end(handed.tally::notSent, ClientObserver.Ending.NOT_SENT, 0);
            return;
        }
        connections++;
        mostConnections = Math.max(mostConnections, connections);
        bootstrap.connect(relay).addListener((ChannelFuture done) -> {
            if (!done.isSuccess()) {
                connections--;
                handed.end(handed.tally::brokenOff, ClientObserver.Ending.BROKEN_OFF, 0);
            } else {
                Connection c = done.channel().pipeline().get(Connection.class);
                done.channel().closeFuture().addListener(closed -> connections--);
                c.carry(handed, false);
            }
        });
    }

    /** One message's way to its answer. */
    private final class Handed {
        final MessageId id;
        final Tally tally;
        FullHttpRequest request;
        Connection connection;
        private Future<?> timer;
        private boolean ended;
        private boolean written;

        Handed(MessageId id, Tally tally) {
            this.id = id;
            this.tally = tally;
        }

        void awaitAnswer() {
            if (timer == null) {
                timer = loop.schedule(() -> end(() -> {
                    tally.noAnswer();
                    if (connection != null) {
                        connection.channel.close();
                    }
                }, ClientObserver.Ending.NO_ANSWER, 0), patience, TimeUnit.MILLISECONDS);
            }
        }

        void end(Runnable how, ClientObserver.Ending ending, int status) {
            if (!ended) {
                ended = true;
                timer.cancel(false);
                how.run();
                observer.ended(id, ending, status, written);
            }
        }
    }

    private FullHttpRequest request(MessageId id) {
        Traffic.ClassShare kind = traffic.classes().get(draw(classShares));
        String tenant = tenantShares.length == 0 ? null : traffic.tenants().get(draw(tenantShares)).name();
        ByteBuf content = Unpooled.wrappedBuffer(body);
        int destination = destinations.next(random);
        observer.handedIn(id, kind, destination);
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
            "/" + kind.name(), content);
        request.headers().set(HttpHeaderNames.HOST, "api.internal").set("X-Request-ID", id.text())
            .set("X-Priority-Class", kind.name()).set("X-Timeout-Ms", kind.lifeMillis())
            .set("X-Envelope", "dest=" + destination)
            .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (kind.keyed()) {
            request.headers().set("Idempotency-Key", "key-" + id.text());
        }
        if (tenant != null) {
            request.headers().set("X-Tenant-Id", tenant);
        }
        return request;
    }

    private int draw(double[] shares) {
        double point = random.nextDouble();
        int drawn = 0;
        while (drawn < shares.length - 1 && point >= shares[drawn]) {
            point -= shares[drawn++];
        }
        return drawn;
    }

    /** One kept connection. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Handed carried;
        private boolean reused;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        void carry(Handed handed, boolean again) {
            if (handed.ended) {
                idle.addLast(this);
                return;
            }
            carried = handed;
            reused = again;
            handed.connection = this;
            handed.awaitAnswer();
            handed.written = false;
            channel.writeAndFlush(handed.request.retainedDuplicate())
                .addListener(done -> handed.written |= done.isSuccess());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Handed handed = carried;
            carried = null;
            if (handed == null) {
                channel.close();
                return;
            }
            long micros = (System.nanoTime() - handed.id.dueNanos()) / 1_000;
            int status = answer.status().code();
            handed.end(() -> handed.tally.answered(status, micros), ClientObserver.Ending.ANSWERED, status);
            if (HttpUtil.isKeepAlive(answer)) {
                idle.addLast(this);
            } else {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(this);
            Handed handed = carried;
            carried = null;
            if (handed == null || handed.ended) {
                return;
            }
            if (reused) {
                // The relay closed an idle connection that this request was on its way on: once more.
                open(handed);
            } else {
                handed.end(handed.tally::brokenOff, ClientObserver.Ending.BROKEN_OFF, 0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
