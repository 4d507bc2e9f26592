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
    private static final int BODY_MOST = 64 * 1024, ID_MOST = 128, KEY_MOST = 256;
    /**
     * ms; without a request a connection must be closed within 3 s. Some clients write theirs in 2 s, and
     * a busy relay reads its last byte late.
     */
    private static final long REQUEST_WITHIN = 2_600;
    /**
     * ms a connection may stay after its last response. Together with the time for a request it is below 3 s;
     * at the orderly end the process waits for it.
     */
    private static final long LINGER = 300;
    /** ms; a longer time for a message is taken for a mistake. */
    private static final long TIME_MOST = 3_600_000;
    /** ms; a client hears of its message at most 400 ms after sending it, and an end may come 300 ms late. */
    private static final long ON_THE_WAY = 300;
    /** us; told to a client that comes before the relay serves. */
    private static final long NOT_YET_MICROS = 1_000_000;

    private final ConnectionLimiter clients;
    /** Null until the relay serves. */
    private ControlDriver loop;
    private boolean notServingYet;
    /** Null until the relay serves. */
    private Metrics figures;
    private final long lingerMillis;
    private final ThrottledLog turnedAway = new ThrottledLog(LOG);
    private boolean leaving;

    Server(ConnectionLimiter clients) {
        this(clients, LINGER);
    }

    Server(ConnectionLimiter clients, long lingerMillis) {
        this.clients = clients;
        this.lingerMillis = lingerMillis;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline().addLast(new SocketReader(clients), new LingeringClose(clients, lingerMillis),
            new RequestDecoder(), new HttpResponseEncoder(), new RequestSequencer(this::cutOff),
            new RequestAggregator(),
            new RequestDeadline(clients, REQUEST_WITHIN), new RequestHandler());
    }

    /** Until {@link #serve}, each message is refused, which harms nobody, and the health check says no. */
    void turnAwayUntilServing() {
        notServingYet = true;
    }

    /** From now on messages go to this relay's loop. */
    void serve(ControlDriver relay, Metrics counts) {
        loop = relay;
        figures = counts;
        notServingYet = false;
    }

    /** From now on each answer closes its connection. */
    void leave() {
        leaving = true;
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
            super(BODY_MOST, true);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            logTurnedAway(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "body over " + BODY_MOST + " bytes");
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
            boolean keep = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
            try {
                if (request.decoderResult().isFailure()) {
                    throw new InvalidRequestException("malformed request");
                }
                String path = request.uri().split("\\?", 2)[0];
                if (path.equals("/healthz")) {
                    boolean serves = !leaving && !notServingYet;
                    respond(context, HttpResponseStatus.valueOf(serves ? 200 : 503), 0, keep);
                } else if (!request.method().equals(HttpMethod.POST)) {
                    throw new InvalidRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED, "only POST hands a message in");
                } else if (notServingYet) {
                    respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, NOT_YET_MICROS, false);
                } else {
                    Message message = message(request, path);
                    loop.accept(message, new ClientResponder(context, message.id(), keep));
                }
            } catch (InvalidRequestException e) {
                logTurnedAway(context, e.status, e.getMessage());
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

    private void cutOff() {
        if (figures != null) {
            figures.countViolation(Violation.CLOSED_UNANSWERED);
        }
        LOG.error("{}", Violation.CLOSED_UNANSWERED);
    }

    private void logTurnedAway(ChannelHandlerContext context, HttpResponseStatus status, String fault) {
        turnedAway.warn(context.executor(), "request turned away: " + status.code() + " " + fault);
    }

    private Message message(FullHttpRequest request, String path) throws InvalidRequestException {
        HttpHeaders headers = request.headers();
        String[] parts = path.split("/");
        String name = headers.get("X-Priority-Class", parts.length > 1 ? parts[1] : "");
        if (parts.length < 2 || !parts[1].equals(name)) {
            throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND, "path and class differ");
        }
        Relay.MessageClass kind = loop.messageClass(name);
        if (kind == null) {
            throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND, "unknown class");
        }
        long destination = destination(headers.get("X-Envelope", ""));
        if (!loop.isKnown(name, destination)) {
            throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND, "unknown destination " + destination);
        }
        String key = text(headers, "Idempotency-Key", KEY_MOST, kind.effect() == Relay.Effect.KEYED);
        long time = whole(text(headers, "X-Timeout-Ms", ID_MOST, true), "X-Timeout-Ms");
        if (time < 1 || time > TIME_MOST) {
            throw new InvalidRequestException("X-Timeout-Ms is not within 1 to " + TIME_MOST);
        }
        String tenant = text(headers, "X-Tenant-Id", ID_MOST, false);
        return new Message(text(headers, "X-Request-ID", ID_MOST, true), name,
            tenant == null ? 0 : loop.tenantIndex(tenant), text(headers, "X-Route-Key", KEY_MOST, false), key,
            destination, deadline(loop.earliestArrivalMillis(), time),
            ByteBufUtil.getBytes(request.content()));
    }

    /**
     * When a message's time is up, in Unix time. Its client counts from when it sent the request, which may
     * have waited for a busy relay to read it, so that is taken off; of a short time no more than a quarter.
     */
    static long deadline(long readAt, long time) {
        return readAt + time - Math.min(ON_THE_WAY, time / 4);
    }

    private static String text(HttpHeaders headers, String name, int most, boolean needed) throws InvalidRequestException {
        String value = headers.get(name);
        if (value == null ? needed : value.isEmpty() || value.length() > most) {
            throw new InvalidRequestException(name + " is missing, empty or too long");
        }
        return value;
    }

    private static long destination(String envelope) throws InvalidRequestException {
        for (String pair : envelope.split("[,;]")) {
            if (pair.strip().toLowerCase(Locale.ROOT).startsWith("dest=")) {
                return whole(pair.strip().substring(5), "dest");
            }
        }
        throw new InvalidRequestException("X-Envelope names no dest");
    }

    private static long whole(String text, String name) throws InvalidRequestException {
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
        private final boolean keep;

        ClientResponder(ChannelHandlerContext context, String id, boolean keep) {
            this.context = context;
            this.id = id;
            this.keep = keep;
        }

        @Override
        public void accepted() {
            respond(context, HttpResponseStatus.ACCEPTED, 0, keep).addListener(done -> {
                if (!done.isSuccess()) {
                    loop.withdraw(id);
                }
            });
        }

        @Override
        public void refused(long retryAfter) {
            respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter, keep);
        }

        @Override
        public void failed() {
            respond(context, HttpResponseStatus.GATEWAY_TIMEOUT, 0, keep);
        }
    }

    private ChannelFuture respond(ChannelHandlerContext context, HttpResponseStatus status,
                                  long retryAfter, boolean keep) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
            Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (retryAfter > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", retryAfter / 1e6));
        }
        boolean close = !keep || leaving && !broughtMore(context.pipeline());
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
    private static boolean broughtMore(ChannelPipeline pipeline) {
        return pipeline.get(RequestSequencer.class).holdsRequests()
            || pipeline.get(RequestDecoder.class).isWithinRequest();
    }
}
