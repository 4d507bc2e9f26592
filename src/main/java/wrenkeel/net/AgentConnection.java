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

/**
 * A persistent HTTP/1.1 connection to the local discovery agent, which carries one request at a time. It
 * connects when a request needs it. Not thread-safe: all methods run on the event loop.
 */
final class AgentConnection {
    private static final Logger LOG = LoggerFactory.getLogger(AgentConnection.class);
    /** Limit for the length of a response's body. */
    private static final long MAX_LIST_BYTES = 256L << 20;
    /** A request's timeout is extended by 1 ms for each time that so many bytes have been received. */
    private static final long BYTES_PER_EXTRA_MS = 1_000;

    /** The result of a request. */
    static final class Response {
        /**
         * The HTTP status; 0 if there was no response in time. An incomplete list has a {@link #fault} too.
         */
        int status;
        /** What the requested list has changed; null if none was requested or it was not applied. */
        HostList.Change listChange;
        /** Why the requested list was rejected; null if it was not. */
        String fault;
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private InetSocketAddress agent;
    private Channel channel;
    /** Receives the result of the request in progress; null if there is none. */
    private Consumer<Response> onResponse;
    private Future<?> timeout;
    private Response response;
    /** Bytes of the response's body received so far. */
    private long receivedBytes;
    /** Whether the connection can be used again after this response. */
    private boolean keepAlive;
    /** Creates the update that reads a list from the response; null if no list is requested. */
    private Supplier<HostList.PendingUpdate> updates;
    /** The update that reads the list which is being received; null if there is none. */
    private HostList.PendingUpdate update;
    private long sentNanos;
    private long timeoutMs;

    AgentConnection(EventLoop loop, Bootstrap bootstrap, InetSocketAddress agent, int connectTimeoutMs) {
        this(loop, bootstrap, NioSocketChannel::new, agent, connectTimeoutMs);
    }

    /** {@code channelFactory} creates the channels; it throws if the process has no file descriptor left. */
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
     * Sends a request. There must be none in progress.
     *
     * @param timeoutMs time until the response must be complete; it is extended while a response is received
     * @param updates creates the update that reads the body of a response with status 200, when its head has
     *     arrived; null if no list is requested
     * @param onResponse is called exactly once
     */
    void send(HttpMethod method, String uri, String body, long timeoutMs,
              Supplier<HostList.PendingUpdate> updates, Consumer<Response> onResponse) {
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
            // No file descriptor was available. There is no channel to close, and the listeners of this
            // future would be called on another thread.
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

    /** Changes the agent's address. A request in progress ends without a response. */
    void moveTo(InetSocketAddress next) {
        agent = next;
        close();
    }

    /** Closes the connection. A request in progress ends without a response; the next one connects again. */
    void close() {
        closeChannel();
        if (onResponse != null) {
            complete(0, null);
        }
    }

    /** Reads what the agent has already sent, if a request is in progress. */
    void readAvailable() {
        if (onResponse != null && channel != null) {
            UnreadBytes.read(channel);
        }
    }

    /** True while a request is in progress. */
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

    /** Fails the request unless its timeout has been extended: a long list takes a while to be received. */
    private void checkTimeout() {
        long dueMs = timeoutMs + receivedBytes / BYTES_PER_EXTRA_MS;
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        if (elapsedMs < dueMs) {
            timeout = loop.schedule(this::checkTimeout, dueMs - elapsedMs, TimeUnit.MILLISECONDS);
        } else {
            fail(channel);
        }
    }

    /**
     * Ends the request in progress on this channel: no response will come, or no more of one that has
     * begun.
     */
    private void fail(Channel from) {
        if (from == channel && onResponse != null) {
            closeChannel();
            boolean isCut = update != null;
            complete(isCut ? response.status : 0,
                isCut ? "response was cut off after " + receivedBytes + " bytes" : null);
        }
    }

    private void closeChannel() {
        Channel old = channel;
        channel = null;
        if (old != null) {
            old.close();
        }
    }

    /** Reports the result of the request. */
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

    /** Handles the responses on a connection. */
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
                    reject("the list has more than " + MAX_LIST_BYTES + " bytes");
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
                    throw new Wire.MalformedException("the list has more than " + MAX_LIST_BYTES + " bytes");
                }
                if (update != null) {
                    feed(bytes);
                    response.listChange = last ? update.commit() : null;
                }
            } catch (Wire.MalformedException e) {
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

        private void feed(ByteBuf bytes) throws Wire.MalformedException {
            if (bytes.hasArray()) {
                update.feed(bytes.array(), bytes.arrayOffset() + bytes.readerIndex(),
                    bytes.readableBytes());
            } else {
                byte[] copy = ByteBufUtil.getBytes(bytes);
                update.feed(copy, 0, copy.length);
            }
        }

        /** Ends the request and closes the connection, so that the rest of the response is not read. */
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
                LOG.error("connection to discovery closed after an unexpected exception", cause);
            }
            context.close();
        }
    }
}
