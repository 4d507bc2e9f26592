package wrenkeel.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The operators' door: says whether this process serves, and its figures. It has a thread and connections of
 * its own, so that neither a busy relay nor a crowd of clients keeps an operator waiting.
 */
final class Console implements AutoCloseable {
    /** Connections at once: operators' tools make one call at a time, and some callers only hold theirs. */
    static final int MAX_CONNECTIONS = 16;
    private static final Logger LOG = LoggerFactory.getLogger(Console.class);
    /** ms in which a call must have come; bytes that one may have. */
    private static final long REQUEST_TIMEOUT_MS = 2_000;
    private static final int MAX_REQUEST_BYTES = 4_096;

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    /** Tries to listen, and ms between them: five seconds. */
    private static final int MAX_LISTEN_TRIES = 50;
    private static final long LISTEN_RETRY_MS = 100;

    private final Channel listener;

    Console(InetSocketAddress address, BooleanSupplier ready, Metrics metrics) throws InterruptedException {
        this(address, ready, metrics, NioServerSocketChannel::new);
    }

    /** {@code sockets}: makes the listening channel; fails while the machine is short of descriptors. */
    Console(InetSocketAddress address, BooleanSupplier ready, Metrics metrics,
            ChannelFactory<ServerChannel> sockets) throws InterruptedException {
        ConnectionLimiter connections = new ConnectionLimiter(MAX_CONNECTIONS);
        ServerBootstrap bootstrap = new ServerBootstrap().group(group)
            .channelFactory(sockets).option(ChannelOption.SO_REUSEADDR, true)
            .handler(new AcceptRetry(waited -> { }))
            .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new SocketReader(connections), new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES, true),
                        new RequestDeadline(connections, REQUEST_TIMEOUT_MS), new RequestHandler(ready, metrics));
                }
            });
        listener = listen(bootstrap, address);
    }

    /** An address in use is final; any other failure, such as no descriptor, may be over in a moment. */
    private static Channel listen(ServerBootstrap bootstrap, InetSocketAddress address)
        throws InterruptedException {
        for (int tries = MAX_LISTEN_TRIES;; tries--) {
            ChannelFuture bound = bootstrap.bind(address).await();
            if (bound.isSuccess() || tries == 1 || bound.cause() instanceof BindException) {
                return bound.sync().channel();
            }
            LOG.warn("operators are not listened to yet, tried again: {}", bound.cause().toString());
            TimeUnit.MILLISECONDS.sleep(LISTEN_RETRY_MS);
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final BooleanSupplier ready;
        private final Metrics metrics;

        RequestHandler(BooleanSupplier ready, Metrics metrics) {
            this.ready = ready;
            this.metrics = metrics;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (!context.channel().isActive()) {
                // What stood behind the one call that a connection carries.
                return;
            }
            String path = request.uri().split("\\?", 2)[0];
            if (request.decoderResult().isFailure()) {
                respond(context, HttpResponseStatus.BAD_REQUEST, text("malformed call"));
            } else if (!path.equals("/api/ready") && !path.equals("/api/telemetry")) {
                respond(context, HttpResponseStatus.NOT_FOUND, text("unknown call"));
            } else if (!request.method().equals(HttpMethod.GET)) {
                respond(context, HttpResponseStatus.METHOD_NOT_ALLOWED, text("only GET"));
            } else if (path.equals("/api/telemetry")) {
                respond(context, HttpResponseStatus.OK, Unpooled.wrappedBuffer(metrics.toJson()));
            } else if (ready.getAsBoolean()) {
                respond(context, HttpResponseStatus.OK, text("{\"ready\":true}"));
            } else {
                respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, text("{\"ready\":false}"));
            }
        }

        private static ByteBuf text(String text) {
            return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        }

        private static void respond(ChannelHandlerContext context, HttpResponseStatus status, ByteBuf body) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            if (status.equals(HttpResponseStatus.OK)) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            }
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("connection of an operator closed", cause);
            }
            context.close();
        }
    }
}
