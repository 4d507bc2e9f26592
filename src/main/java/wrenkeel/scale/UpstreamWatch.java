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
    private static final long AGAIN = 100, SLACK = 2_000;
    private static final Pattern SEQ = Pattern.compile("^\\{\"seq\":(\\d+),");
    private static final int HEAD_MOST = 32;

    private final EventLoop loop;
    private final InetSocketAddress above;
    private final long wait;
    private final LongConsumer whenArrived;
    private final Bootstrap bootstrap;
    private long version;
    private Channel channel;
    private boolean closed;

    /** Goes on from {@code version}, -1 for nothing; {@code wait}: ms that each call may wait. */
    UpstreamWatch(EventLoop loop, InetSocketAddress above, long wait, long version,
                  LongConsumer whenArrived) {
        this.loop = loop;
        this.above = above;
        this.wait = wait;
        this.version = version;
        this.whenArrived = whenArrived;
        this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel fresh) {
                    fresh.pipeline().addLast(new ReadTimeoutHandler(wait + SLACK, TimeUnit.MILLISECONDS),
                        new HttpClientCodec(), new Reader());
                }
            });
    }

    void connect() {
        bootstrap.connect(above).addListener(done -> {
            if (!done.isSuccess()) {
                beginAgain();
            }
        });
    }

    private void beginAgain() {
        if (!closed) {
            loop.schedule(this::connect, AGAIN, TimeUnit.MILLISECONDS);
        }
    }

    private void ask() {
        String query = version < 0 ? "" : "?after=" + version + "&wait_ms=" + wait;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
            "/v1/servers" + query, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST,
            above.getAddress().getHostAddress() + ":" + above.getPort());
        channel.writeAndFlush(request);
    }

    @Override
    public void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    private final class Reader extends SimpleChannelInboundHandler<HttpObject> {
        /** How the body begins. */
        private final StringBuilder head = new StringBuilder();

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            if (closed) {
                channel.close();
            } else {
                ask();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part.decoderResult().isFailure()) {
                context.close();
                return;
            }
            if (part instanceof HttpContent content && head.length() < HEAD_MOST) {
                ByteBuf bytes = content.content();
                int length = Math.min(HEAD_MOST - head.length(), bytes.readableBytes());
                head.append(bytes.toString(bytes.readerIndex(), length, StandardCharsets.US_ASCII));
            }
            if (part instanceof LastHttpContent) {
                Matcher seq = SEQ.matcher(head.toString());
                head.setLength(0);
                if (!seq.find()) {
                    context.close();
                    return;
                }
                version = Long.parseLong(seq.group(1));
                whenArrived.accept(version);
                ask();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            beginAgain();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
