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
 * The watch of an agent or a control machine on its upstream node. It receives complete answers over the
 * socket, but reads only their version: the content is in the {@link ChangeLog} that all nodes share. Runs on
 * one event loop, including {@link #connect} and {@link #close}.
 */
final class UpstreamWatch implements AutoCloseable {
    /** Pause before the next attempt to connect. */
    private static final long RETRY_DELAY_MS = 100;
    /** A connection is closed if nothing arrives for the wait of a call and this time. */
    private static final long READ_TIMEOUT_MARGIN_MS = 2_000;
    /** The start of an answer, with the list's version. */
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

    /**
     * Creates a watch; {@link #connect} starts it.
     *
     * @param waitMs how long each call asks the upstream node to wait for a change
     * @param version the version that is held already; -1 for none
     * @param versionListener receives the version of each answer
     */
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
                    newChannel.pipeline().addLast(
                        new ReadTimeoutHandler(waitMs + READ_TIMEOUT_MARGIN_MS, TimeUnit.MILLISECONDS),
                        new HttpClientCodec(), new ResponseReader());
                }
            });
    }

    /** Connects, and repeats until it succeeds or the watch is closed. */
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

    /** Requests the whole list, or a change after the version that is held. */
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

    /** Reads the answers of one connection, and sends the next request after each. */
    private final class ResponseReader extends SimpleChannelInboundHandler<HttpObject> {
        /** The first characters of the body. */
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
