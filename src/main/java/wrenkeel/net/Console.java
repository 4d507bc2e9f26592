package wrenkeel.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
 * The HTTP server for operators: reports readiness and metrics. It has its own thread and its own connection
 * limit, so that neither a busy relay nor many clients delay an operator. Each connection carries one
 * request.
 */
final class Console implements AutoCloseable {
    /**
     * Connections at once: operators' tools make one request at a time, and some peers only hold connections.
     */
    static final int MAX_CONNECTIONS = 16;
    private static final Logger LOG = LoggerFactory.getLogger(Console.class);
    /** Time within which a whole request must have arrived. */
    private static final long REQUEST_TIMEOUT_MS = 2_000;
    /** Largest body of a request. */
    private static final int MAX_REQUEST_BYTES = 4_096;

    private final MultiThreadIoEventLoopGroup eventLoopGroup =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    /** Tries to listen before the start fails: five seconds in all. */
    private static final int MAX_LISTEN_TRIES = 50;
    /** Delay between two tries to listen. */
    private static final long LISTEN_RETRY_MS = 100;

    private final Channel listener;

    Console(InetSocketAddress address, BooleanSupplier ready, Metrics metrics) throws InterruptedException {
        this(address, ready, metrics, NioServerSocketChannel::new);
    }

    /**
     * {@code sockets} creates the listening channel; it may fail while the machine is short of descriptors.
     */
    Console(InetSocketAddress address, BooleanSupplier ready, Metrics metrics,
            ChannelFactory<ServerChannel> sockets) throws InterruptedException {
        ConnectionLimiter connections = new ConnectionLimiter(MAX_CONNECTIONS);
        ServerBootstrap bootstrap = new ServerBootstrap().group(eventLoopGroup)
            .channelFactory(sockets).option(ChannelOption.SO_REUSEADDR, true)
            .handler(new AcceptRetry(waited -> { }))
            .childOption(ChannelOption.ALLOCATOR, new HeapBufferAllocator())
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new SocketReader(connections), new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES, true),
                        new RequestDeadline(connections, REQUEST_TIMEOUT_MS),
                        new RequestHandler(ready, metrics));
                }
            });
        listener = listen(bootstrap, address);
    }

    /**
     * Listens, retrying after failures that may pass, such as a lack of descriptors; an address in use is
     * final.
     */
    private static Channel listen(ServerBootstrap bootstrap, InetSocketAddress address)
        throws InterruptedException {
        for (int tries = MAX_LISTEN_TRIES;; tries--) {
            ChannelFuture bound = bootstrap.bind(address).await();
            if (bound.isSuccess() || tries == 1 || bound.cause() instanceof BindException) {
                return bound.sync().channel();
            }
            LOG.warn("cannot listen for operators yet, retrying: {}", bound.cause().toString());
            TimeUnit.MILLISECONDS.sleep(LISTEN_RETRY_MS);
        }
    }

    /** Returns the address that operators connect to. */
    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    @Override
    public void close() {
        eventLoopGroup.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** Answers one request on each connection, then closes it. */
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
                // A further request behind the only one that a connection carries.
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
                LOG.error("operator connection closed after an error", cause);
            }
            context.close();
        }
    }
}
