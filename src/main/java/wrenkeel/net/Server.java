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

/** What clients see: takes messages in, answers at once, and says whether the relay serves. */
final class Server extends ChannelInitializer<Channel> {
    private static final Logger LOG = LoggerFactory.getLogger(Server.class);
    private static final int MAX_BODY_BYTES = 64 * 1024, MAX_ID_LENGTH = 128, MAX_KEY_LENGTH = 256;
    /**
     * ms; without a request a connection must be closed within 3 s. Some clients write theirs in 2 s, and
     * a busy relay reads its last byte late.
     */
    private static final long REQUEST_TIMEOUT_MS = 2_600;
    /**
     * ms a connection may stay after its last response. Together with the time for a request it is below 3 s;
     * at the orderly end the process waits for it.
     */
    private static final long LINGER_MS = 300;
    /** ms; a longer time for a message is taken for a mistake. */
    private static final long MAX_MESSAGE_TIMEOUT_MS = 3_600_000;
    /** ms; a client hears of its message at most 400 ms after sending it, and an end may come 300 ms late. */
    private static final long MAX_TRANSIT_MS = 300;
    /** us; told to a client that comes before the relay serves. */
    private static final long NOT_SERVING_RETRY_AFTER_MICROS = 1_000_000;

    private final ConnectionLimiter connections;
    /** Null until the relay serves. */
    private ControlDriver driver;
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
        this.connections = connections;
        this.lingerMillis = lingerMillis;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline().addLast(new SocketReader(connections), new LingeringClose(connections, lingerMillis),
            new RequestDecoder(), new HttpResponseEncoder(), new RequestSequencer(this::reportClosedUnanswered),
            new RequestAggregator(),
            new RequestDeadline(connections, REQUEST_TIMEOUT_MS), new RequestHandler());
    }

    /** Until {@link #serve}, each message is refused, which harms nobody, and the health check says no. */
    void refuseUntilServing() {
        notServingYet = true;
    }

    /** From now on messages go to this relay's loop. */
    void serve(ControlDriver driver, Metrics metrics) {
        driver = driver;
        metrics = metrics;
        notServingYet = false;
    }

    /** From now on each answer closes its connection. */
    void closeAfterResponses() {
        closingAfterResponses = true;
    }

    /** A request that cannot be served as it stands. */
    private static final class InvalidRequestException extends Exception {
        private static final long serialVersionUID = 1L;
        private final HttpResponseStatus status;

        InvalidRequestException(HttpResponseStatus status, String fault) {
            super(fault);
            this.status = status;
        }

        InvalidRequestException(String fault) {
            this(HttpResponseStatus.BAD_REQUEST, fault);
        }
    }

    /** Puts requests together; one that is too large is answered 413. */
    private final class RequestAggregator extends HttpObjectAggregator {
        RequestAggregator() {
            super(MAX_BODY_BYTES, true);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            logInvalidRequest(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "body over " + MAX_BODY_BYTES + " bytes");
            respond(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, 0, false);
        }
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (!context.channel().isActive()) {
                // What stood behind a request that closed the connection.
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
                    throw new InvalidRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED, "only POST hands a message in");
                } else if (notServingYet) {
                    respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, NOT_SERVING_RETRY_AFTER_MICROS, false);
                } else {
                    Message message = parseMessage(request, path);
                    driver.accept(message, new ClientResponder(context, message.id(), keepAlive));
                }
            } catch (InvalidRequestException e) {
                logInvalidRequest(context, e.status, e.getMessage());
                // A peer that asks for what no client asks for may have much more to send.
                respond(context, e.status, 0, false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
                // A client that leaves, also in the middle of its request, is no fault.
                context.close();
            } else {
                LOG.error("connection of a client closed", cause);
                // Also for a message that the relay has yet to answer: it is withdrawn, as its answer fails.
                respond(context, HttpResponseStatus.INTERNAL_SERVER_ERROR, 0, false);
            }
        }
    }

    private void reportClosedUnanswered() {
        if (metrics != null) {
            metrics.countViolation(Violation.CLOSED_UNANSWERED);
        }
        LOG.error("{}", Violation.CLOSED_UNANSWERED);
    }

    private void logInvalidRequest(ChannelHandlerContext context, HttpResponseStatus status, String fault) {
        invalidRequestLog.warn(context.executor(), "request turned away: " + status.code() + " " + fault);
    }

    private Message parseMessage(FullHttpRequest request, String path) throws InvalidRequestException {
        HttpHeaders headers = request.headers();
        String[] parts = path.split("/");
        String name = headers.get("X-Priority-Class", parts.length > 1 ? parts[1] : "");
        if (parts.length < 2 || !parts[1].equals(name)) {
            throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND, "path and class differ");
        }
        Relay.MessageClass kind = driver.messageClass(name);
        if (kind == null) {
            throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND, "unknown class");
        }
        long destination = parseDestination(headers.get("X-Envelope", ""));
        if (!driver.isKnown(name, destination)) {
            throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND, "unknown destination " + destination);
        }
        String key = headerValue(headers, "Idempotency-Key", MAX_KEY_LENGTH, kind.effect() == Relay.Effect.KEYED);
        long time = parseLong(headerValue(headers, "X-Timeout-Ms", MAX_ID_LENGTH, true), "X-Timeout-Ms");
        if (time < 1 || time > MAX_MESSAGE_TIMEOUT_MS) {
            throw new InvalidRequestException("X-Timeout-Ms is not within 1 to " + MAX_MESSAGE_TIMEOUT_MS);
        }
        String tenant = headerValue(headers, "X-Tenant-Id", MAX_ID_LENGTH, false);
        return new Message(headerValue(headers, "X-Request-ID", MAX_ID_LENGTH, true), name,
            tenant == null ? 0 : driver.tenantIndex(tenant), headerValue(headers, "X-Route-Key", MAX_KEY_LENGTH, false), key,
            destination, deadline(driver.earliestArrivalMillis(), time),
            ByteBufUtil.getBytes(request.content()));
    }

    /**
     * When a message's time is up, in Unix time. Its client counts from when it sent the request, which may
     * have waited for a busy relay to read it, so that is taken off; of a short time no more than a quarter.
     */
    static long deadline(long readAt, long time) {
        return readAt + time - Math.min(MAX_TRANSIT_MS, time / 4);
    }

    private static String headerValue(HttpHeaders headers, String name, int maxLength, boolean required) throws InvalidRequestException {
        String value = headers.get(name);
        if (value == null ? required : value.isEmpty() || value.length() > maxLength) {
            throw new InvalidRequestException(name + " is missing, empty or too long");
        }
        return value;
    }

    private static long parseDestination(String envelope) throws InvalidRequestException {
        for (String pair : envelope.split("[,;]")) {
            if (pair.strip().toLowerCase(Locale.ROOT).startsWith("dest=")) {
                return parseLong(pair.strip().substring(5), "dest");
            }
        }
        throw new InvalidRequestException("X-Envelope names no dest");
    }

    private static long parseLong(String text, String name) throws InvalidRequestException {
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException e) {
            throw new InvalidRequestException(name + " is not a whole number");
        }
    }

    /** The answer to one client. */
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

    private ChannelFuture respond(ChannelHandlerContext context, HttpResponseStatus status,
                                  long retryAfter, boolean keepAlive) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
            Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (retryAfter > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", retryAfter / 1e6));
        }
        boolean close = !keepAlive || closingAfterResponses && !hasUnansweredInput(context.pipeline());
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelFuture written = context.writeAndFlush(response);
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        return written;
    }

    /** Whether a connection has brought a further request, or part of one, that is still to be answered. */
    private static boolean hasUnansweredInput(ChannelPipeline pipeline) {
        return pipeline.get(RequestSequencer.class).holdsRequests()
            || pipeline.get(RequestDecoder.class).isWithinRequest();
    }
}
