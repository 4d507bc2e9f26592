package wrenkeel.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A server of the host list between its source and the relays: a control machine or an agent. It serves the
 * list and watches, up to the version that it has received, and, unless it is the source, watches its
 * upstream node. All work runs on one event loop; other threads may call all methods.
 */
final class ListNode implements AutoCloseable {
    /** The longest wait of a watch that the protocol allows. */
    private static final long MAX_WAIT_MS = 60_000;
    private static final int MAX_REQUEST_BYTES = 64 * 1024;
    private static final int ACCEPT_BACKLOG = 4_096;

    private final EventLoop loop;
    private final ChangeLog changeLog;
    private final HopCounters hopCounters;
    private final Channel listener;
    private final ChannelGroup clientChannels;
    /** Connections whose call is not answered yet, in the order of arrival. */
    private final Set<ClientConnection> waitingClients = new LinkedHashSet<>();
    private UpstreamWatch upstream;
    private volatile long version = -1;

    /** Listens on a free loopback port; {@code hopCounters} counts the traffic there. */
    ListNode(EventLoop loop, ChangeLog changeLog, HopCounters hopCounters) throws IOException {
        this.loop = loop;
        this.changeLog = changeLog;
        this.hopCounters = hopCounters;
        this.clientChannels = new DefaultChannelGroup(loop);
        this.listener = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    clientChannels.add(channel);
                    hopCounters.countConnection();
                    channel.pipeline().addLast(hopCounters.byteCounter(), new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES), new ClientConnection());
                }
            }).bind(InetAddress.getLoopbackAddress(), 0).syncUninterruptibly().channel();
    }

    /** Returns the address that it listens at. */
    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Returns the version that it has received; -1 while it has no list. */
    long version() {
        return version;
    }

    /** Starts to watch the upstream node; each call waits up to {@code waitMs} for a change. */
    void watch(InetSocketAddress upstreamAddress, long waitMs) {
        loop.execute(() -> {
            upstream = new UpstreamWatch(loop, upstreamAddress, waitMs, version, this::versionReceived);
            upstream.connect();
        });
    }

    /** Makes the list up to this version available to clients, and answers their watches. */
    void advanceTo(long newVersion) {
        if (loop.inEventLoop()) {
            versionReceived(newVersion);
        } else {
            loop.execute(() -> versionReceived(newVersion));
        }
    }

    private void versionReceived(long newVersion) {
        version = Math.max(version, newVersion);
        List.copyOf(waitingClients).forEach(ClientConnection::answerIfNewer);
    }

    /**
     * Simulates the loss and return of its machine: closes all connections, and starts to watch again without
     * a list.
     */
    Future<?> restart(InetSocketAddress upstreamAddress, long waitMs) {
        return loop.submit(() -> {
            upstream.close();
            List.copyOf(clientChannels).forEach(Channel::close);
            version = -1;
            watch(upstreamAddress, waitMs);
        });
    }

    @Override
    public void close() {
        loop.submit(() -> {
            if (upstream != null) {
                upstream.close();
            }
            List.copyOf(clientChannels).forEach(Channel::close);
        }).syncUninterruptibly();
        listener.close().syncUninterruptibly();
    }

    /** One connection of a downstream node or a relay. */
    private final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private ChannelHandlerContext context;
        /** The version after which its call requests changes; -1 for the whole list. */
        private long afterVersion;
        private Future<?> timer;

        @Override
        protected void channelRead0(ChannelHandlerContext channelContext, FullHttpRequest request) {
            context = channelContext;
            hopCounters.countCall();
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            if (uri.path().equals("/reports")) {
                answer(HttpResponseStatus.NO_CONTENT, Unpooled.EMPTY_BUFFER);
            } else if (!uri.path().equals("/v1/servers")) {
                answer(HttpResponseStatus.NOT_FOUND, Unpooled.EMPTY_BUFFER);
            } else {
                afterVersion = longParameter(uri.parameters(), "after", -1);
                waitingClients.add(this);
                answerIfNewer();
                if (afterVersion >= 0 && waitingClients.contains(this)) {
                    long waitMs = Math.min(MAX_WAIT_MS, longParameter(uri.parameters(), "wait_ms", 0));
                    timer = loop.schedule(this::answerUnchanged, waitMs, TimeUnit.MILLISECONDS);
                }
            }
        }

        private static long longParameter(Map<String, List<String>> parameters, String name,
                                          long defaultValue) {
            List<String> values = parameters.get(name);
            return values == null ? defaultValue : Long.parseLong(values.get(0));
        }

        /** Answers the call if the node holds a list, and a newer version than the call names. */
        private void answerIfNewer() {
            if (version >= 0 && afterVersion < version) {
                byte[] changes = afterVersion < 0 ? null : changeLog.changesBetween(afterVersion, version);
                byte[] wholeList = changes == null ? changeLog.wholeList(version) : null;
                if (changes != null) {
                    answerWaiting(changes);
                } else if (wholeList != null) {
                    hopCounters.countWholeList();
                    answerWaiting(wholeList);
                }
            }
        }

        /** Answers a watch whose wait has ended, with no changes. */
        private void answerUnchanged() {
            byte[] unchanged = version < 0 ? null : changeLog.changesBetween(version, version);
            if (waitingClients.contains(this) && unchanged != null) {
                answerWaiting(unchanged);
            }
        }

        private void answerWaiting(byte[] list) {
            stopWaiting();
            answer(HttpResponseStatus.OK, Unpooled.wrappedBuffer(list));
        }

        private void stopWaiting() {
            waitingClients.remove(this);
            if (timer != null) {
                timer.cancel(false);
                timer = null;
            }
        }

        private void answer(HttpResponseStatus status, ByteBuf body) {
            DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            if (status != HttpResponseStatus.NO_CONTENT) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            }
            context.writeAndFlush(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext channelContext) {
            stopWaiting();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
            channelContext.close();
        }
    }
}
