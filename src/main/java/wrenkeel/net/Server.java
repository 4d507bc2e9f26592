package wrenkeel.net;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Relay;

/**
 * The HTTP server for clients. It accepts messages by POST, answers each one at once (202 accepted, 503
 * refused, 504 failed), and answers the health check. All methods run on one event
 * loop.
 */
final class Server extends ChannelInitializer<Channel> {
    private static final Logger LOG = LoggerFactory.getLogger(Server.class);
    /** Largest body of a message. */
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** Longest message id, tenant and timeout header, in characters. */
    private static final int MAX_ID_LENGTH = 128;
    /** Longest idempotency key and route key, in characters. */
    private static final int MAX_KEY_LENGTH = 256;
    /**
     * Time for a whole request. A connection without one must be closed within 3 s; some clients take 2 s to
     * write theirs, and a busy relay reads its last byte late.
     */
    private static final long REQUEST_TIMEOUT_MS = 2_600;
    /**
     * Time that a connection may stay open after its last response. Together with the request timeout it is
     * below 3 s, and an orderly shutdown waits for it.
     */
    private static final long LINGER_MS = 300;
    /** Longest X-Timeout-Ms that is accepted: a longer one is assumed to be a mistake. */
    private static final long MAX_MESSAGE_TIMEOUT_MS = 3_600_000;
    /**
     * Taken off a message's time for its way from the client. The client is notified of the message's
     * acceptance at most 400 ms after sending it, and the notice of its end may arrive 300 ms late.
     */
    private static final long MAX_TRANSIT_MS = 300;
    /** Retry-After for a message that is refused before it is read in full or before the relay serves. */
    private static final long RETRY_AFTER_MICROS = 1_000_000;
    /**
     * Incomplete requests may take this fraction of the heap: 1/8. The heap grows to several times what they
     * take, and two processes share the memory limit during a replacement.
     */
    private static final int RECEIVE_BUFFER_HEAP_DIVISOR = 8;
    /** Parts of a body that are kept apart; more are merged, since each takes memory beside its bytes. */
    private static final int MAX_BODY_PARTS = 64;

    private final ConnectionLimiter connections;
    private final HeapBufferAllocator buffers = new HeapBufferAllocator();
    private final ReceiveBufferLimit receiveBufferLimit;
    /** Null until the relay serves. */
    private ControlDriver driver;
    /** Messages are refused until {@link #serve}. */
    private boolean notServingYet;
    /** Null until the relay serves. */
    private Metrics metrics;
    private final long lingerMillis;
    private final ThrottledLog invalidRequestLog = new ThrottledLog(LOG);
    private boolean closingAfterResponses;

    Server(ConnectionLimiter connections) {
        this(connections, LINGER_MS);
    }

    Server(ConnectionLimiter connections, long lingerMillis) {
        this(connections, lingerMillis, maxReceiveBytes(Runtime.getRuntime().maxMemory()));
    }

    /** Returns the limit for the bytes of incomplete requests with a heap of this size. */
    static long maxReceiveBytes(long heapBytes) {
        return heapBytes / RECEIVE_BUFFER_HEAP_DIVISOR;
    }

    /**
     * Creates a server.
     *
     * @param lingerMillis time that a connection may stay open after its last response
     * @param maxReceiveBytes bytes of incomplete requests, of all connections together, above which those
     *     that have waited longest are refused
     */
    Server(ConnectionLimiter connections, long lingerMillis, long maxReceiveBytes) {
        this.connections = connections;
        this.lingerMillis = lingerMillis;
        receiveBufferLimit = new ReceiveBufferLimit(connections, buffers, maxReceiveBytes);
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.config().setAllocator(buffers).setRecvByteBufAllocator(HeapBufferAllocator.readSizes());
        channel.pipeline().addLast(new SocketReader(connections), receiveBufferLimit,
            new LingeringClose(connections, lingerMillis), new RequestDecoder(), new HttpResponseEncoder(),
            new RequestSequencer(this::reportClosedUnanswered), new RequestAggregator(),
            new RequestDeadline(connections, REQUEST_TIMEOUT_MS), new RequestHandler());
    }

    /** Returns the bytes that incomplete requests take now. */
    long receivedBytes() {
        return buffers.usedBytes();
    }

    /** Until {@link #serve}, refuses each message, which is safe to retry, and fails the health check. */
    void refuseUntilServing() {
        notServingYet = true;
    }

    /** From now on passes messages to the driver. */
    void serve(ControlDriver driver, Metrics metrics) {
        this.driver = driver;
        this.metrics = metrics;
        notServingYet = false;
    }

    /**
     * From now on each response closes its connection, unless more of a request has already been read, and
     * the health check fails.
     */
    void closeAfterResponses() {
        closingAfterResponses = true;
    }

    /** An invalid request, with the status of the response to it. */
    private static final class InvalidRequestException extends Exception {
        private static final long serialVersionUID = 1L;
        private final HttpResponseStatus status;

        InvalidRequestException(HttpResponseStatus status, String reason) {
            super(reason);
            this.status = status;
        }

        InvalidRequestException(String reason) {
            this(HttpResponseStatus.BAD_REQUEST, reason);
        }
    }

    /** Assembles whole requests; answers one that is too large with 413. */
    private final class RequestAggregator extends HttpObjectAggregator {
        RequestAggregator() {
            super(MAX_BODY_BYTES, true);
            setMaxCumulationBufferComponents(MAX_BODY_PARTS);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            logInvalidRequest(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "body over " + MAX_BODY_BYTES + " bytes");
            respond(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, 0, false);
        }
    }

    /** Answers health checks and passes valid messages to the driver. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (!context.channel().isActive()) {
                // This request followed one whose response has closed the connection.
                return;
            }
            boolean keepAlive = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
            try {
                if (request.decoderResult().isFailure()) {
                    throw new InvalidRequestException("malformed request");
                }
                String path = request.uri().split("\\?", 2)[0];
                if (path.equals("/healthz")) {
                    boolean serves = !closingAfterResponses && !notServingYet;
                    respond(context, HttpResponseStatus.valueOf(serves ? 200 : 503), 0, keepAlive);
                } else if (!request.method().equals(HttpMethod.POST)) {
                    throw new InvalidRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED,
                        "messages must be sent by POST");
                } else if (notServingYet) {
                    respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, RETRY_AFTER_MICROS,
                        false);
                } else {
                    Message message = parseMessage(request, path);
                    driver.accept(message, new ClientResponder(context, message.id(), keepAlive));
                }
            } catch (InvalidRequestException e) {
                logInvalidRequest(context, e.status, e.getMessage());
                // A peer that sends an invalid request may have much more to send: its connection is closed.
                respond(context, e.status, 0, false);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event == ReceiveBufferLimit.Exceeded.INSTANCE) {
                refuseIncomplete(context, "incomplete, and the memory for incomplete requests is used up");
            } else if (event == RequestDeadline.DecodingOverdue.INSTANCE) {
                refuseIncomplete(context, "not decoded in time");
            } else {
                context.fireUserEventTriggered(event);
            }
        }

        /** Refuses a request that is not decoded in full, and releases what has been read of it. */
        private void refuseIncomplete(ChannelHandlerContext context, String reason) {
            logInvalidRequest(context, HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
            respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, RETRY_AFTER_MICROS, false);
            ChannelPipeline pipeline = context.pipeline();
            if (pipeline.get(RequestDecoder.class) != null) {
                pipeline.remove(RequestDecoder.class);
                pipeline.remove(RequestAggregator.class);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
                // A client may disconnect at any time, also in the middle of its request: this is no error.
                context.close();
            } else {
                LOG.error("client connection closed after an error", cause);
                // A message whose response is still outstanding is withdrawn, since that response cannot be
                // written any more.
                respond(context, HttpResponseStatus.INTERNAL_SERVER_ERROR, 0, false);
            }
        }
    }

    /** Counts and logs that this process has closed a connection with an unanswered request on it. */
    private void reportClosedUnanswered() {
        if (metrics != null) {
            metrics.countViolation(Violation.CLOSED_UNANSWERED);
        }
        LOG.error("{}", Violation.CLOSED_UNANSWERED);
    }

    private void logInvalidRequest(ChannelHandlerContext context, HttpResponseStatus status, String reason) {
        invalidRequestLog.warn(context.executor(), "request rejected: " + status.code() + " " + reason);
    }

    /**
     * Parses and validates a message. The path begins with the name of its class; all else but the body is in
     * headers. Throws if anything is missing, malformed or unknown to the relay.
     */
    private Message parseMessage(FullHttpRequest request, String path) throws InvalidRequestException {
        HttpHeaders headers = request.headers();
        String[] parts = path.split("/");
        String name = headers.get("X-Priority-Class", parts.length > 1 ? parts[1] : "");
        if (parts.length < 2 || !parts[1].equals(name)) {
            throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND,
                "path and X-Priority-Class differ");
        }
        Relay.MessageClass messageClass = driver.messageClass(name);
        if (messageClass == null) {
            throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND, "unknown message class");
        }
        long destination = parseDestination(headers.get("X-Envelope", ""));
        if (!driver.isKnown(name, destination)) {
            throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND,
                "unknown destination " + destination);
        }
        String key = headerValue(headers, "Idempotency-Key", MAX_KEY_LENGTH,
            messageClass.effect() == Relay.Effect.KEYED);
        long timeout = parseLong(headerValue(headers, "X-Timeout-Ms", MAX_ID_LENGTH, true), "X-Timeout-Ms");
        if (timeout < 1 || timeout > MAX_MESSAGE_TIMEOUT_MS) {
            throw new InvalidRequestException("X-Timeout-Ms is not between 1 and " + MAX_MESSAGE_TIMEOUT_MS);
        }
        String tenant = headerValue(headers, "X-Tenant-Id", MAX_ID_LENGTH, false);
        return new Message(headerValue(headers, "X-Request-ID", MAX_ID_LENGTH, true), name,
            tenant == null ? 0 : driver.tenantIndex(tenant),
            headerValue(headers, "X-Route-Key", MAX_KEY_LENGTH, false), key,
            destination, deadline(driver.earliestArrivalMillis(), timeout),
            ByteBufUtil.getBytes(request.content()));
    }

    /**
     * Returns a message's deadline, Unix time in ms. The client counts from when it sent the request, so an
     * allowance for the request's way is taken off, but at most a quarter of the message's time.
     *
     * @param arrival earliest time at which the request may have arrived, Unix time in ms
     * @param timeout the message's X-Timeout-Ms
     */
    static long deadline(long arrival, long timeout) {
        return arrival + timeout - Math.min(MAX_TRANSIT_MS, timeout / 4);
    }

    /** Returns a header's value; null if it is missing and not required. */
    private static String headerValue(HttpHeaders headers, String name, int maxLength, boolean required)
        throws InvalidRequestException {
        String value = headers.get(name);
        if (value == null ? required : value.isEmpty() || value.length() > maxLength) {
            throw new InvalidRequestException(name + " is missing, empty or too long");
        }
        return value;
    }

    /** Returns the destination that an X-Envelope header names in its part "dest=". */
    private static long parseDestination(String envelope) throws InvalidRequestException {
        for (String pair : envelope.split("[,;]")) {
            if (pair.strip().toLowerCase(Locale.ROOT).startsWith("dest=")) {
                return parseLong(pair.strip().substring(5), "dest");
            }
        }
        throw new InvalidRequestException("X-Envelope has no dest");
    }

    /** Parses an integer; {@code name} is the header's, for the error text. */
    private static long parseLong(String text, String name) throws InvalidRequestException {
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException e) {
            throw new InvalidRequestException(name + " is not an integer");
        }
    }

    /** Writes the response to one client's message. */
    private final class ClientResponder implements ControlDriver.AcceptanceCallback {
        private final ChannelHandlerContext context;
        private final String id;
        private final boolean keepAlive;

        ClientResponder(ChannelHandlerContext context, String id, boolean keepAlive) {
            this.context = context;
            this.id = id;
            this.keepAlive = keepAlive;
        }

        @Override
        public void accepted() {
            respond(context, HttpResponseStatus.ACCEPTED, 0, keepAlive).addListener(done -> {
                if (!done.isSuccess()) {
                    driver.withdraw(id);
                }
            });
        }

        @Override
        public void refused(long retryAfter) {
            respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter, keepAlive);
        }

        @Override
        public void failed() {
            respond(context, HttpResponseStatus.GATEWAY_TIMEOUT, 0, keepAlive);
        }
    }

    /**
     * Writes a response without a body.
     *
     * @param retryAfter microseconds; 0 for a response without the header
     * @param keepAlive false if the connection is closed after the response
     */
    private ChannelFuture respond(ChannelHandlerContext context, HttpResponseStatus status,
                                  long retryAfter, boolean keepAlive) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
            Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (retryAfter > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", retryAfter / 1e6));
        }
        boolean close = !keepAlive
            || closingAfterResponses && !context.pipeline().get(RequestDecoder.class).isWithinRequest();
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelFuture written = context.writeAndFlush(response);
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        return written;
    }
}
