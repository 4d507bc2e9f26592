package wrenkeel.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Wire;

/** One kept connection to the agent, which carries one request at a time. */
final class AgentConnection {
    private static final Logger LOG = LoggerFactory.getLogger(AgentConnection.class);
    /** Bytes a list may have; bytes for each of which an answer that comes in has another 1/1,000 ms. */
    private static final long MAX_LIST_BYTES = 256L << 20, BYTES_PER_EXTRA_MS = 1_000;

    /** What became of a request; {@code status} is 0 where no answer came in time. */
    static final class Response {
        int status;
        /** What the list asked for has changed, or why it could not be taken in; null where neither is so. */
        HostList.Change listChange;
        String fault;
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private InetSocketAddress agent;
    private Channel channel;
    private Consumer<Response> onResponse;
    private Future<?> timeout;
    /** The answer that is coming in, its bytes so far, and where a list in it goes; null for none. */
    private Response response;
    private long receivedBytes;
    private boolean keepAlive;
    private Supplier<HostList.PendingUpdate> updates;
    private HostList.PendingUpdate update;
    private long sentNanos, timeoutMs;

    AgentConnection(EventLoop loop, Bootstrap bootstrap, InetSocketAddress agent, int connectTimeoutMs) {
        this(loop, bootstrap, NioSocketChannel::new, agent, connectTimeoutMs);
    }

    /** {@code sockets}: makes the channels; it fails where the process has no descriptor left. */
    AgentConnection(EventLoop loop, Bootstrap bootstrap, ChannelFactory<Channel> channelFactory,
                    InetSocketAddress agent, int connectTimeoutMs) {
        this.loop = loop;
        this.agent = agent;
        this.bootstrap = bootstrap.clone(loop).channelFactory(channelFactory)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel fresh) {
                    fresh.pipeline().addLast(new HttpClientCodec(), new ResponseHandler());
                }
            });
    }

    /**
     * Sends a request; what became of it comes exactly once. {@code list}: makes what takes the body of
     * an answer with 200, as that begins; null where none is asked for. An answer that keeps coming in
     * has longer than {@code timeoutMs} ms.
     */
    void send(HttpMethod method, String uri, String body, long timeoutMs, Supplier<HostList.PendingUpdate> updates,
        Consumer<Response> onResponse) {
        this.onResponse = onResponse;
        response = new Response();
        this.updates = updates;
        receivedBytes = 0;
        sentNanos = System.nanoTime();
        this.timeoutMs = timeoutMs;
        timeout = loop.schedule(this::checkTimeout, timeoutMs, TimeUnit.MILLISECONDS);
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri,
            Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.HOST,
            agent.getAddress().getHostAddress() + ":" + agent.getPort())
            .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        if (channel != null && channel.isActive()) {
            write(channel, request);
        } else {
            connect(request);
        }
    }

    private void connect(FullHttpRequest request) {
        ChannelFuture connect = bootstrap.connect(agent);
        if (!connect.channel().isRegistered()) {
            // Without a descriptor there is no channel that could be closed, and the listeners of its
            // future are called on another thread.
            channel = null;
            request.release();
            Consumer<Response> callback = onResponse;
            loop.execute(() -> {
                if (onResponse == callback) {
                    fail(null);
                }
            });
            return;
        }
        channel = connect.channel();
        connect.addListener(done -> {
            if (done.isSuccess()) {
                write(connect.channel(), request);
            } else {
                request.release();
                fail(connect.channel());
            }
        });
    }

    /** Goes on at another address; a request under way ends without an answer. */
    void moveTo(InetSocketAddress next) {
        agent = next;
        close();
    }

    /** Ends the connection; a request under way ends without an answer. The next one opens a new one. */
    void close() {
        closeChannel();
        if (onResponse != null) {
            complete(0, null);
        }
    }

    /** Reads what has come of an answer, if a request is under way. */
    void readAvailable() {
        if (onResponse != null && channel != null) {
            UnreadBytes.read(channel);
        }
    }

    /** True while a request is under way. */
    boolean isBusy() {
        return onResponse != null;
    }

    private void write(Channel to, FullHttpRequest request) {
        to.writeAndFlush(request).addListener(done -> {
            if (!done.isSuccess()) {
                fail(to);
            }
        });
    }

    /** A long list takes a while to come in and be read: no answer that goes on is given up for that. */
    private void checkTimeout() {
        long dueMs = timeoutMs + receivedBytes / BYTES_PER_EXTRA_MS;
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        if (elapsedMs < dueMs) {
            timeout = loop.schedule(this::checkTimeout, dueMs - elapsedMs, TimeUnit.MILLISECONDS);
        } else {
            fail(channel);
        }
    }

    /** No answer will come, or no more of one that has begun. */
    private void fail(Channel from) {
        if (from == channel && onResponse != null) {
            closeChannel();
            boolean isCut = update != null;
            complete(isCut ? response.status : 0, isCut ? "cut after " + receivedBytes + " bytes" : null);
        }
    }

    private void closeChannel() {
        Channel old = channel;
        channel = null;
        if (old != null) {
            old.close();
        }
    }

    private void complete(int status, String fault) {
        timeout.cancel(false);
        if (update != null && response.listChange == null) {
            update.abandon();
        }
        update = null;
        response.status = status;
        response.fault = fault;
        Consumer<Response> callback = onResponse;
        onResponse = null;
        callback.accept(response);
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (context.channel() != channel || onResponse == null) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                fail(channel);
                return;
            }
            if (part instanceof HttpResponse head) {
                response.status = head.status().code();
                keepAlive = HttpUtil.isKeepAlive(head);
                boolean isList = updates != null && response.status == HttpResponseStatus.OK.code();
                update = isList ? updates.get() : null;
                if (HttpUtil.getContentLength(head, 0L) > MAX_LIST_BYTES) {
                    reject("it has more than " + MAX_LIST_BYTES + " bytes");
                }
            }
            if (part instanceof HttpContent content && onResponse != null) {
                handleContent(content.content(), part instanceof LastHttpContent);
            }
        }

        private void handleContent(ByteBuf bytes, boolean last) {
            receivedBytes += bytes.readableBytes();
            try {
                if (receivedBytes > MAX_LIST_BYTES) {
                    throw new Wire.Malformed("it has more than " + MAX_LIST_BYTES + " bytes");
                }
                if (update != null) {
                    feed(bytes);
                    response.listChange = last ? update.commit() : null;
                }
            } catch (Wire.Malformed e) {
                reject(e.getMessage());
                return;
            }
            if (last) {
                if (!keepAlive) {
                    closeChannel();
                }
                complete(response.status, null);
            }
        }

        private void feed(ByteBuf bytes) throws Wire.Malformed {
            if (bytes.hasArray()) {
                update.feed(bytes.array(), bytes.arrayOffset() + bytes.readerIndex(),
                    bytes.readableBytes());
            } else {
                byte[] copy = ByteBufUtil.getBytes(bytes);
                update.feed(copy, 0, copy.length);
            }
        }

        /** The rest of the answer is not read: the connection ends. */
        private void reject(String fault) {
            closeChannel();
            complete(response.status, fault);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("connection to discovery closed", cause);
            }
            context.close();
        }
    }
}
