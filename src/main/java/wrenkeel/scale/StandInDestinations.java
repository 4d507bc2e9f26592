package wrenkeel.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/**
 * HTTP servers on loopback in place of the endpoints of external destinations. They serve {@code POST
 * /v1/messages} and {@code /v1/messages:batch}. Each port is one endpoint with its own limit and mode
 * ({@link EndpointModel}). Nothing on the wire names a destination, so the addresses of thousands of hosts
 * can map to a few ports; hosts on one port share its limit and mode, and hosts that must differ need
 * separate ports.
 */
public final class StandInDestinations implements AutoCloseable {
    /** Limit on the body of a call. */
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int LISTEN_BACKLOG = 1_024;
    private static final JsonFactory JSON = new JsonFactory();

    /** One listening port. {@link #model} is guarded by its own monitor. */
    private static final class Endpoint {
        final int number;
        final EndpointModel model;
        final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        Channel listener;
        ServerSocketChannel socket;
        int port;
        /** Time from a response to a second copy of it; 0 for no copy. */
        volatile long copyDelayMillis;

        Endpoint(int number, EndpointModel model) {
            this.number = number;
            this.model = model;
        }
    }

    private final MultiThreadIoEventLoopGroup group;
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final int maxBatchMessages;
    private final LongSupplier clock;
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();
    private final LongAdder acceptedConnections = new LongAdder();
    private final LongAdder calls = new LongAdder();
    private final LongAdder refusedCalls = new LongAdder();
    private final LongAdder abandonedCalls = new LongAdder();
    private final LongAdder malformedCalls = new LongAdder();
    private volatile CallObserver observer = new Deliveries(Long.MAX_VALUE);

    /**
     * Opens the ports.
     *
     * @param ports number of endpoints
     * @param behaviour of each endpoint, until {@link #setBehaviour} changes it
     * @param maxBatchMessages limit on messages in a batch
     * @param threads number of event loop threads
     * @param seed of the random answer times
     * @param clock time in nanoseconds; must be the clock of the due times in message ids
     */
    public StandInDestinations(int ports, EndpointModel.Behaviour behaviour, int maxBatchMessages,
                               int threads, long seed, LongSupplier clock) throws InterruptedException {
        this.maxBatchMessages = maxBatchMessages;
        this.clock = clock;
        group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        try {
            for (int i = 0; i < ports; i++) {
                Endpoint endpoint = new Endpoint(i, new EndpointModel(behaviour, seed * 1_000_003 + i));
                endpoints.add(endpoint);
                listen(endpoint);
            }
        } catch (InterruptedException | RuntimeException e) {
            close();
            throw e;
        }
    }

    /** Opens the listener, on the same port as before if there was one. */
    private void listen(Endpoint endpoint) throws InterruptedException {
        endpoint.socket = openSocket();
        endpoint.listener = new ServerBootstrap().group(group)
            .channelFactory(() -> new NioServerSocketChannel(endpoint.socket))
            .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    endpoint.connections.add(channel);
                    acceptedConnections.increment();
                    channel.pipeline().addLast(new ByteCounter(bytesIn, bytesOut), new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_BODY_BYTES), new CallHandler(endpoint));
                }
            }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), endpoint.port)).sync().channel();
        endpoint.port = ((InetSocketAddress) endpoint.listener.localAddress()).getPort();
    }

    private static ServerSocketChannel openSocket() {
        try {
            return ServerSocketChannel.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Closes the listener, and returns once connections are refused. */
    private static void stopListening(Endpoint endpoint) throws InterruptedException {
        endpoint.listener.close().sync();
        // The socket accepts connections until the selector has released it.
        do {
            endpoint.listener.eventLoop().submit(() -> { }).sync();
        } while (endpoint.socket.isRegistered());
        endpoint.listener.eventLoop().submit(() -> { }).sync();
    }

    /** The ports, by endpoint number. */
    public List<Integer> ports() {
        return endpoints.stream().map(endpoint -> endpoint.port).toList();
    }

    /** Changes the behaviour of an endpoint from the next call on. */
    public void setBehaviour(int number, EndpointModel.Behaviour behaviour) {
        EndpointModel model = endpoints.get(number).model;
        synchronized (model) {
            model.setBehaviour(behaviour);
        }
    }

    /**
     * Begins or ends an outage of an endpoint. With {@code REFUSING} its listener and its connections are
     * closed; when that mode ends it listens on the same port again.
     */
    public void setMode(int number, EndpointModel.Mode mode) throws InterruptedException {
        Endpoint endpoint = endpoints.get(number);
        EndpointModel.Mode before;
        synchronized (endpoint.model) {
            before = endpoint.model.mode();
            endpoint.model.setMode(mode, clock.getAsLong());
        }
        if (mode == EndpointModel.Mode.REFUSING && before != mode) {
            stopListening(endpoint);
            endpoint.connections.close().sync();
        } else if (mode != before && before == EndpointModel.Mode.REFUSING) {
            listen(endpoint);
        }
    }

    /**
     * Lets an endpoint send a second copy of each response of status 200. A call that arrives on a connection
     * between the two gets no response, so that a relay which takes the copy for it loses its message.
     *
     * @param delayMillis time from a response to its copy; 0 for no copies
     */
    public void copyResponses(int number, long delayMillis) {
        endpoints.get(number).copyDelayMillis = delayMillis;
    }

    /** Closes all connections to an endpoint; calls without an answer are cut off. */
    public void closeConnections(int number) throws InterruptedException {
        endpoints.get(number).connections.close().sync();
    }

    /** Makes an endpoint refuse all calls for this time, with a Retry-After up to its end. */
    public void refuseFor(int number, long millis) {
        EndpointModel model = endpoints.get(number).model;
        synchronized (model) {
            model.refuseUntil(clock.getAsLong() + millis * 1_000_000);
        }
    }

    /** Sets the observer of calls and deliveries, in place of the one before. */
    public void setObserver(CallObserver newObserver) {
        observer = newObserver;
    }

    /** Well-formed calls that were received completely. */
    long calls() {
        return calls.sum();
    }

    /** Calls answered with 429 or 503. */
    long refusedCalls() {
        return refusedCalls.sum();
    }

    /** Calls whose connection was closed before their answer was due. */
    long abandonedCalls() {
        return abandonedCalls.sum();
    }

    /** Calls rejected with 400, 404 or 413, which a correct relay never causes. */
    public long malformedCalls() {
        return malformedCalls.sum();
    }

    /** Bytes read from all connections, HTTP headers included. */
    long bytesIn() {
        return bytesIn.sum();
    }

    /** Bytes written to the sockets of all connections, HTTP headers included. */
    long bytesOut() {
        return bytesOut.sum();
    }

    /** Connections accepted so far. */
    long acceptedConnections() {
        return acceptedConnections.sum();
    }

    /** Connections open now. */
    int connections() {
        return endpoints.stream().mapToInt(endpoint -> endpoint.connections.size()).sum();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** Handles the calls on one connection. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Endpoint endpoint;
        /** A second copy of the latest response is on its way. */
        private boolean copyPending;

        CallHandler(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean batch = request.uri().equals("/v1/messages:batch");
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            if (request.decoderResult().isFailure() || !request.method().equals(HttpMethod.POST)
                || !batch && !request.uri().equals("/v1/messages")) {
                reject(context, HttpResponseStatus.NOT_FOUND);
                return;
            }
            List<String> ids = batch ? batchIds(request) : List.of(request.headers().get("X-Request-ID", ""));
            if (ids.isEmpty() || ids.contains("")) {
                reject(context, HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (ids.size() > maxBatchMessages) {
                reject(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                return;
            }
            long now = clock.getAsLong();
            calls.increment();
            EndpointModel.Response modelResponse;
            synchronized (endpoint.model) {
                modelResponse = copyPending ? EndpointModel.NO_RESPONSE : endpoint.model.handleCall(now);
            }
            CallObserver currentObserver = observer;
            ids.forEach(id -> currentObserver.callReceived(endpoint.number, MessageId.parse(id),
                modelResponse, now));
            if (modelResponse.status() == 200) {
                byte[] body = batch ? batchResponse(ids) : new byte[0];
                context.executor().schedule(() -> answerAccepted(context, ids, body, keepAlive),
                    modelResponse.delayNanos(), TimeUnit.NANOSECONDS);
            } else if (modelResponse.status() != 0) {
                refusedCalls.increment();
                respond(context, HttpResponseStatus.valueOf(modelResponse.status()),
                    modelResponse.retryAfterMillis(), new byte[0], keepAlive);
            }
        }

        /**
         * Sends the response of status 200, unless an outage has begun or the connection was closed since
         * the call.
         */
        private void answerAccepted(ChannelHandlerContext context, List<String> ids, byte[] body,
                                    boolean keepAlive) {
            boolean isServing;
            synchronized (endpoint.model) {
                isServing = endpoint.model.mode() == EndpointModel.Mode.SERVING;
            }
            if (!context.channel().isActive()) {
                abandonedCalls.increment();
            } else if (isServing) {
                respond(context, HttpResponseStatus.OK, 0, body, keepAlive);
                if (endpoint.copyDelayMillis > 0 && keepAlive) {
                    copyPending = true;
                    context.executor().schedule(() -> sendCopy(context, body), endpoint.copyDelayMillis,
                        TimeUnit.MILLISECONDS);
                }
                long now = clock.getAsLong();
                CallObserver currentObserver = observer;
                ids.forEach(id -> currentObserver.messageDelivered(endpoint.number,
                    MessageId.parse(id), now));
            }
        }

        private void sendCopy(ChannelHandlerContext context, byte[] body) {
            copyPending = false;
            if (context.channel().isActive()) {
                respond(context, HttpResponseStatus.OK, 0, body, true);
            }
        }

        /** Answers a malformed call and closes the connection. */
        private void reject(ChannelHandlerContext context, HttpResponseStatus status) {
            malformedCalls.increment();
            respond(context, status, 0, new byte[0], false);
        }

        private void respond(ChannelHandlerContext context, HttpResponseStatus status, long retryAfterMillis,
                             byte[] body, boolean keepAlive) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (retryAfterMillis > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", retryAfterMillis / 1e3));
            }
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            context.writeAndFlush(response).addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE
                : ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A relay that cancels a call closes its connection.
            context.close();
        }
    }

    /** The message ids of a batch; empty if the body is malformed or contains an id twice. */
    private static List<String> batchIds(FullHttpRequest request) {
        List<String> ids = new ArrayList<>();
        try (InputStream body = new ByteBufInputStream(request.content());
             JsonParser parser = JSON.createParser(body)) {
            int depth = 0;
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
                if (depth == 2 && token == JsonToken.FIELD_NAME && parser.currentName().equals("id")) {
                    ids.add(parser.nextTextValue());
                }
            }
        } catch (IOException e) {
            return List.of();
        }
        return ids.stream().distinct().count() == ids.size() && !ids.contains(null) ? ids : List.of();
    }

    /** The response to a batch, in which each message is accepted. */
    private static byte[] batchResponse(List<String> ids) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartArray();
            for (String id : ids) {
                out.writeStartObject();
                out.writeStringField("id", id);
                out.writeStringField("state", "accepted");
                out.writeEndObject();
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to a byte array failed", e);
        }
        return text.toByteArray();
    }
}
