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
    private static final long LIST_MOST = 256L << 20, BYTES_A_MS = 1_000;

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
    private Consumer<Response> waiting;
    private Future<?> timer;
    /** The answer that is coming in, its bytes so far, and where a list in it goes; null for none. */
    private Response answer;
    private long received;
    private boolean keep;
    private Supplier<HostList.PendingUpdate> lists;
    private HostList.PendingUpdate reading;
    private long askedAt, patience;

    AgentConnection(EventLoop loop, Bootstrap bootstrap, InetSocketAddress agent, int connectTimeout) {
        this(loop, bootstrap, NioSocketChannel::new, agent, connectTimeout);
    }

    /** {@code sockets}: makes the channels; it fails where the process has no descriptor left. */
    AgentConnection(EventLoop loop, Bootstrap bootstrap, ChannelFactory<Channel> sockets,
                    InetSocketAddress agent, int connectTimeout) {
        this.loop = loop;
        this.agent = agent;
        this.bootstrap = bootstrap.clone(loop).channelFactory(sockets)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel fresh) {
                    fresh.pipeline().addLast(new HttpClientCodec(), new Reader());
                }
            });
    }

    /**
     * Sends a request; what became of it comes exactly once. {@code list}: makes what takes the body of
     * an answer with 200, as that begins; null where none is asked for. An answer that keeps coming in
     * has longer than {@code patience} ms.
     */
    void send(HttpMethod method, String uri, String body, long patience, Supplier<HostList.PendingUpdate> list,
        Consumer<Response> whenAnswered) {
        waiting = whenAnswered;
        answer = new Response();
        lists = list;
        received = 0;
        askedAt = System.nanoTime();
        this.patience = patience;
        timer = loop.schedule(this::late, patience, TimeUnit.MILLISECONDS);
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
            Consumer<Response> asked = waiting;
            loop.execute(() -> {
                if (waiting == asked) {
                    broken(null);
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
                broken(connect.channel());
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
        drop();
        if (waiting != null) {
            ended(0, null);
        }
    }

    /** Reads what has come of an answer, if a request is under way. */
    void readNow() {
        if (waiting != null && channel != null) {
            UnreadBytes.read(channel);
        }
    }

    /** True while a request is under way. */
    boolean isBusy() {
        return waiting != null;
    }

    private void write(Channel to, FullHttpRequest request) {
        to.writeAndFlush(request).addListener(done -> {
            if (!done.isSuccess()) {
                broken(to);
            }
        });
    }

    /** A long list takes a while to come in and be read: no answer that goes on is given up for that. */
    private void late() {
        long due = patience + received / BYTES_A_MS;
        long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - askedAt);
        if (passed < due) {
            timer = loop.schedule(this::late, due - passed, TimeUnit.MILLISECONDS);
        } else {
            broken(channel);
        }
    }

    /** No answer will come, or no more of one that has begun. */
    private void broken(Channel from) {
        if (from == channel && waiting != null) {
            drop();
            boolean cut = reading != null;
            ended(cut ? answer.status : 0, cut ? "cut after " + received + " bytes" : null);
        }
    }

    private void drop() {
        Channel old = channel;
        channel = null;
        if (old != null) {
            old.close();
        }
    }

    private void ended(int status, String fault) {
        timer.cancel(false);
        if (reading != null && answer.listChange == null) {
            reading.abandon();
        }
        reading = null;
        answer.status = status;
        answer.fault = fault;
        Consumer<Response> told = waiting;
        waiting = null;
        told.accept(answer);
    }

    private final class Reader extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (context.channel() != channel || waiting == null) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                broken(channel);
                return;
            }
            if (part instanceof HttpResponse head) {
                answer.status = head.status().code();
                keep = HttpUtil.isKeepAlive(head);
                boolean list = lists != null && answer.status == HttpResponseStatus.OK.code();
                reading = list ? lists.get() : null;
                if (HttpUtil.getContentLength(head, 0L) > LIST_MOST) {
                    refuse("it has more than " + LIST_MOST + " bytes");
                }
            }
            if (part instanceof HttpContent content && waiting != null) {
                taken(content.content(), part instanceof LastHttpContent);
            }
        }

        private void taken(ByteBuf bytes, boolean last) {
            received += bytes.readableBytes();
            try {
                if (received > LIST_MOST) {
                    throw new Wire.Malformed("it has more than " + LIST_MOST + " bytes");
                }
                if (reading != null) {
                    feed(bytes);
                    answer.listChange = last ? reading.commit() : null;
                }
            } catch (Wire.Malformed e) {
                refuse(e.getMessage());
                return;
            }
            if (last) {
                if (!keep) {
                    drop();
                }
                ended(answer.status, null);
            }
        }

        private void feed(ByteBuf bytes) throws Wire.Malformed {
            if (bytes.hasArray()) {
                reading.feed(bytes.array(), bytes.arrayOffset() + bytes.readerIndex(),
                    bytes.readableBytes());
            } else {
                byte[] copy = ByteBufUtil.getBytes(bytes);
                reading.feed(copy, 0, copy.length);
            }
        }

        /** The rest of the answer is not read: the connection ends. */
        private void refuse(String fault) {
            drop();
            ended(answer.status, fault);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            broken(context.channel());
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
