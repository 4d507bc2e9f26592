package wrenkeel.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpChunkedInput;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.stream.ChunkedStream;
import io.netty.handler.stream.ChunkedWriteHandler;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A stand-in for the platform's discovery agent on a free loopback port. It serves the host list of a catalog
 * and watches of it, and accepts notices. It runs on one thread of its own; its methods may be called by any
 * thread. Counts start with the agent.
 */
public final class StandInAgent implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StandInAgent.class);
    /** Enough for a whole fleet behind one agent. */
    private static final int MAX_CONNECTIONS = 4_096;
    private static final int MAX_CALL_BYTES = 1 << 20;
    /** The longest wait of a watch. */
    private static final int MAX_WAIT_MS = 60_000;
    private static final int CHUNK_BYTES = 1 << 16;
    /** Number of versions whose times are kept. */
    private static final int MAX_TIMES = 8_192;

    /**
     * When a version was published, first sent to a watch, and first named as held by a call; 0 for not yet.
     */
    record VersionTimes(long publishedNanos, long sentNanos, long heldNanos) { }

    /** A watch that waits for a version newer than {@code after}. */
    private record WaitingWatch(ChannelHandlerContext context, long after) { }

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final HostCatalog catalog;
    private final Consumer<String> noticeListener;
    private final Channel listener;
    /** Waiting watches with their timers, in the order of arrival. Used only on the agent's thread. */
    private final Map<WaitingWatch, Future<?>> waitingWatches = new LinkedHashMap<>();
    private final Map<Long, VersionTimes> timesByVersion = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, VersionTimes> eldest) {
            return size() > MAX_TIMES;
        }
    };
    /** The latest version that a call has named as held; -1 for none. Guarded by {@code timesByVersion}. */
    private long heldVersion = -1;
    private final AtomicInteger connections = new AtomicInteger();
    private final LongAdder calls = new LongAdder();
    private final LongAdder wholeLists = new LongAdder();
    private final LongAdder notices = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();

    StandInAgent(HostCatalog catalog) throws InterruptedException {
        this(catalog, notice -> { });
    }

    /** {@code noticeListener} receives each line of a notice, on the agent's thread. */
    public StandInAgent(HostCatalog catalog, Consumer<String> noticeListener) throws InterruptedException {
        this.catalog = catalog;
        this.noticeListener = noticeListener;
        listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, MAX_CONNECTIONS)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    if (connections.incrementAndGet() > MAX_CONNECTIONS) {
                        channel.close();
                    }
                    channel.closeFuture().addListener(future -> connections.decrementAndGet());
                    channel.pipeline().addLast(new ByteCounter(bytesIn, bytesOut), new HttpServerCodec(),
                        new HttpServerKeepAliveHandler(), new HttpObjectAggregator(MAX_CALL_BYTES),
                        new ChunkedWriteHandler(), new CallHandler());
                }
            }).bind(InetAddress.getLoopbackAddress(), 0).sync().channel();
    }

    /** Returns the address that the agent listens at. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Returns the catalog; change it through the agent, which answers watches. */
    HostCatalog catalog() {
        return catalog;
    }

    /** Changes the health of one host, answers the waiting watches, and returns the list's new version. */
    public long changeHealth(int host, HostCatalog.Health health) {
        return recordPublished(catalog.changeHealth(host, health));
    }

    /** Changes the address of one host, answers the waiting watches, and returns the list's new version. */
    long changeAddress(int host, String address) {
        return recordPublished(catalog.changeAddress(host, address));
    }

    private long recordPublished(long version) {
        long nowNanos = System.nanoTime();
        synchronized (timesByVersion) {
            timesByVersion.put(version, new VersionTimes(nowNanos, 0, 0));
        }
        eventLoop.execute(this::answerAllWatches);
        return version;
    }

    /** Returns the times of one version; null if it is not, or no longer, known. */
    VersionTimes timesOf(long version) {
        synchronized (timesByVersion) {
            return timesByVersion.get(version);
        }
    }

    /** Waits until a call names this or a later version as held; returns false on timeout. */
    boolean awaitHeld(long version, Duration timeout) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        synchronized (timesByVersion) {
            while (heldVersion < version) {
                long remainingNanos = deadlineNanos - System.nanoTime();
                if (remainingNanos <= 0) {
                    return false;
                }
                TimeUnit.NANOSECONDS.timedWait(timesByVersion, remainingNanos);
            }
            return true;
        }
    }

    /** Returns the number of calls for the list, including watches. */
    long calls() {
        return calls.sum();
    }

    /** Returns the number of answers with the whole list, counted when they start. */
    long wholeLists() {
        return wholeLists.sum();
    }

    /** Returns the number of notice lines received. */
    long notices() {
        return notices.sum();
    }

    /** Returns the bytes read from all connections, including HTTP headers. */
    long bytesIn() {
        return bytesIn.sum();
    }

    /** Returns the bytes sent on all connections, including HTTP headers. */
    long bytesOut() {
        return bytesOut.sum();
    }

    /** Returns the number of open connections. */
    int connections() {
        return connections.get();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private void answerAllWatches() {
        for (WaitingWatch watch : List.copyOf(waitingWatches.keySet())) {
            answer(watch);
        }
    }

    private void answer(WaitingWatch watch) {
        Future<?> timer = waitingWatches.remove(watch);
        if (timer != null) {
            timer.cancel(false);
            sendChanges(watch.context, watch.after);
        }
    }

    private void sendChanges(ChannelHandlerContext context, long after) {
        boolean whole = !catalog.hasChangesSince(after);
        send(context, catalog.changesSince(after), whole);
        long nowNanos = System.nanoTime();
        synchronized (timesByVersion) {
            for (long version = catalog.version();
                 version > after && timesByVersion.containsKey(version); version--) {
                timesByVersion.computeIfPresent(version, (olderVersion, times) -> times.sentNanos == 0
                    ? new VersionTimes(times.publishedNanos, nowNanos, times.heldNanos) : times);
            }
        }
    }

    /** Records that a call named this version as held; the caller then holds all versions before it, too. */
    private void recordHeld(long version) {
        long nowNanos = System.nanoTime();
        synchronized (timesByVersion) {
            if (version > heldVersion) {
                for (long olderVersion = version;
                     olderVersion > heldVersion && timesByVersion.containsKey(olderVersion); olderVersion--) {
                    timesByVersion.computeIfPresent(olderVersion,
                        (key, times) -> new VersionTimes(times.publishedNanos, times.sentNanos, nowNanos));
                }
                heldVersion = version;
                timesByVersion.notifyAll();
            }
        }
    }

    private void send(ChannelHandlerContext context, byte[] list, boolean whole) {
        if (whole) {
            wholeLists.increment();
        }
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, list.length);
        context.write(head);
        // In chunks, because the operating system copies each buffer that is written, and many relays may
        // receive a long list at once.
        context.writeAndFlush(new HttpChunkedInput(
            new ChunkedStream(new ByteArrayInputStream(list), CHUNK_BYTES)));
    }

    private static void sendStatus(ChannelHandlerContext context, HttpResponseStatus status) {
        FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
            Unpooled.EMPTY_BUFFER);
        if (!status.equals(HttpResponseStatus.NO_CONTENT)) {
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        }
        context.writeAndFlush(answer);
    }

    /** Handles the calls of one connection. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            if (request.method().equals(HttpMethod.GET) && uri.path().equals("/v1/servers")) {
                calls.increment();
                try {
                    handleListRequest(context, longParameter(uri, "after", -1),
                        longParameter(uri, "wait_ms", 0));
                } catch (NumberFormatException e) {
                    sendStatus(context, HttpResponseStatus.BAD_REQUEST);
                }
            } else if (request.method().equals(HttpMethod.POST) && uri.path().equals("/reports")) {
                List<String> lines = request.content().toString(StandardCharsets.UTF_8).lines().toList();
                notices.add(lines.size());
                lines.forEach(noticeListener);
                sendStatus(context, HttpResponseStatus.NO_CONTENT);
            } else {
                sendStatus(context, HttpResponseStatus.NOT_FOUND);
            }
        }

        private void handleListRequest(ChannelHandlerContext context, long after, long waitMs) {
            if (after < 0) {
                send(context, catalog.wholeList(), true);
                return;
            }
            recordHeld(after);
            if (after != catalog.version() || waitMs <= 0) {
                sendChanges(context, after);
                return;
            }
            WaitingWatch watch = new WaitingWatch(context, after);
            waitingWatches.put(watch, eventLoop.schedule(() -> answer(watch), Math.min(waitMs, MAX_WAIT_MS),
                TimeUnit.MILLISECONDS));
        }

        private static long longParameter(QueryStringDecoder uri, String name, long defaultValue) {
            List<String> values = uri.parameters().getOrDefault(name, List.of());
            return values.isEmpty() ? defaultValue : Long.parseLong(values.get(0));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            for (WaitingWatch watch : new ArrayList<>(waitingWatches.keySet())) {
                if (watch.context == context) {
                    waitingWatches.remove(watch).cancel(false);
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("closing the connection of a relay after an unexpected error", cause);
            }
            context.close();
        }
    }
}
