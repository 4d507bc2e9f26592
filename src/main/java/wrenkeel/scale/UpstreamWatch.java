package wrenkeel.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The watch that an agent or a control machine keeps of the place above it. What it is sent comes over the
 * socket whole, but only its version is looked at: the content stands in the {@link ChangeLog} that all
 * share.
 */
final class UpstreamWatch implements AutoCloseable {
    /** ms; gap before a call is made again, and silence beyond the wait that ends a connection. */
    private static final long RETRY_DELAY_MS = 100, READ_TIMEOUT_MARGIN_MS = 2_000;
    private static final Pattern VERSION_PATTERN = Pattern.compile("^\\{\"seq\":(\\d+),");
    private static final int MAX_PREFIX_BYTES = 32;

    private final EventLoop loop;
    private final InetSocketAddress upstream;
    private final long waitMs;
    private final LongConsumer versionListener;
    private final Bootstrap bootstrap;
    private long version;
    private Channel channel;
    private boolean closed;

    /** Goes on from {@code version}, -1 for nothing; {@code waitMs}: ms that each call may wait. */
    UpstreamWatch(EventLoop loop, InetSocketAddress upstream, long waitMs, long version,
                  LongConsumer versionListener) {
        this.loop = loop;
        this.upstream = upstream;
        this.waitMs = waitMs;
        this.version = version;
        this.versionListener = versionListener;
        this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel newChannel) {
                    newChannel.pipeline().addLast(new ReadTimeoutHandler(waitMs + READ_TIMEOUT_MARGIN_MS, TimeUnit.MILLISECONDS),
                        new HttpClientCodec(), new ResponseReader());
                }
            });
    }

    void connect() {
        bootstrap.connect(upstream).addListener(connected -> {
            if (!connected.isSuccess()) {
                connectLater();
            }
        });
    }

    private void connectLater() {
        if (!closed) {
            loop.schedule(this::connect, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void sendRequest() {
        String query = version < 0 ? "" : "?after=" + version + "&wait_ms=" + waitMs;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
            "/v1/servers" + query, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST,
            upstream.getAddress().getHostAddress() + ":" + upstream.getPort());
        channel.writeAndFlush(request);
    }

    @Override
    public void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    private final class ResponseReader extends SimpleChannelInboundHandler<HttpObject> {
        /** How the body begins. */
        private final StringBuilder bodyPrefix = new StringBuilder();

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            if (closed) {
                channel.close();
            } else {
                sendRequest();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part.decoderResult().isFailure()) {
                context.close();
                return;
            }
            if (part instanceof HttpContent content && bodyPrefix.length() < MAX_PREFIX_BYTES) {
                ByteBuf bytes = content.content();
                int length = Math.min(MAX_PREFIX_BYTES - bodyPrefix.length(), bytes.readableBytes());
                bodyPrefix.append(bytes.toString(bytes.readerIndex(), length, StandardCharsets.US_ASCII));
            }
            if (part instanceof LastHttpContent) {
                Matcher matcher = VERSION_PATTERN.matcher(bodyPrefix.toString());
                bodyPrefix.setLength(0);
                if (!matcher.find()) {
                    context.close();
                    return;
                }
                version = Long.parseLong(matcher.group(1));
                versionListener.accept(version);
                sendRequest();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connectLater();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
