package wrenkeel.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Wire;

/** The platform's agent: watches the list of hosts and posts notices. One thread. */
final class Discovery {
    private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);
    private static final JsonFactory JSON = new JsonFactory();
    /**
     * ms; how long a watch may wait, and how long past that its answer is awaited. What a silent watch
     * misses counts as told 6 s after it fell silent: by then the list has been asked for anew, with time
     * left to stop sending.
     */
    static final long WAIT = 4_000, WAIT_SLACK = 1_000;
    /** ms; the shortest wait, of which an answer is had at once, and how long that answer is awaited. */
    private static final long AT_ONCE = 1, AT_ONCE_PATIENCE = 500;
    /** ms; a notice not acknowledged within this is posted again; gap between tries of either sort. */
    private static final long NOTICE_PATIENCE = 2_000, AGAIN = 100;
    /**
     * ms; gap after a list that came and could not be taken in: doubled each time up to the most, a random
     * part of it taken off. With the calls themselves it stays inside the 6 s after which a change is told.
     */
    static final long FAULT_GAP = 100, FAULT_GAP_MOST = 4_000;
    /** Bytes a list may have; bytes for each of which an answer that comes in has another 1/1,000 ms. */
    private static final long LIST_MOST = 256L << 20, BYTES_A_MS = 1_000;
    private static final int NOTICES_MOST = 100;

    private final EventLoop loop;
    private final HostList hosts;
    /** Told what a list or its changes, taken in whole, have changed. */
    interface Listener {
        void listed(HostList.Change change);
    }

    private final Listener whenListed;
    private final Consumer<Journal.Entry> whenNoticed;
    private final Line watch;
    private final Line reports;
    private final Map<Long, Journal.Entry> notices = new LinkedHashMap<>();
    private boolean posting;
    /** The platform could not read one of them: each goes alone, so that it holds up no other. */
    private boolean singly;
    private boolean silent;
    /** The latest call for the list was answered: only then may the next one wait. */
    private boolean current;
    private boolean unheard;
    /** Lists that came and could not be taken in: since the start, and since the last that could. */
    private long faults, faultsInARow;

    Discovery(EventLoop loop, Bootstrap bootstrap, InetSocketAddress agent, HostList hosts,
              Listener whenListed, Consumer<Journal.Entry> whenNoticed) {
        this.loop = loop;
        this.hosts = hosts;
        this.whenListed = whenListed;
        this.whenNoticed = whenNoticed;
        this.watch = new Line(bootstrap, agent);
        this.reports = new Line(bootstrap, agent);
    }

    /**
     * Asks for what is newer than the list held; the next call follows the answer at once. The first call,
     * and those after one without an answer, do not wait: what the agent has binds already.
     */
    void watch() {
        long wait = current ? WAIT : AT_ONCE;
        String query = hosts.version() < 0 ? "" : "?after=" + hosts.version() + "&wait_ms=" + wait;
        long patience = current ? WAIT + WAIT_SLACK : AT_ONCE_PATIENCE;
        watch.ask(HttpMethod.GET, "/v1/servers" + query, "", patience, hosts::read, this::answered);
    }

    private void answered(Answer answer) {
        current = false;
        long gap = AGAIN;
        try {
            if (answer.list != null) {
                whenListed.listed(answer.list);
                silent = false;
                current = true;
                faultsInARow = 0;
                watch();
                return;
            }
            if (answer.fault != null) {
                gap = gap(faultsInARow++, ThreadLocalRandom.current().nextDouble());
                faults++;
                complain("discovery's list cannot be taken in: " + answer.fault, null);
            } else {
                faultsInARow = 0;
                complain("discovery answered " + (answer.status == 0 ? "nothing" : answer.status), null);
            }
        } catch (RuntimeException e) {
            // Guards the watch: it must go on whatever the list held.
            complain("discovery's list could not be taken in", e);
        }
        loop.schedule(this::watch, gap, TimeUnit.MILLISECONDS);
    }

    /** ms until the list is asked for again, after so many faults in a row before this one. */
    static long gap(long before, double random) {
        long most = Math.min(FAULT_GAP_MOST, FAULT_GAP << Math.min(before, 10));
        return before == 0 ? most : (long) (most * (1 - random / 2));
    }

    /** Lists that came and could not be taken in, since the start. */
    long faults() {
        return faults;
    }

    /** Goes on at another address; what is under way at the old one is asked or posted there again. */
    void moveTo(InetSocketAddress agent) {
        if (agent.equals(watch.agent)) {
            return;
        }
        watch.moveTo(agent);
        reports.moveTo(agent);
    }

    /** Once until the watch works again: it asks many times a second. */
    private void complain(String fault, RuntimeException cause) {
        if (!silent) {
            LOG.warn("{}; the list of version {} is kept", fault, hosts.version(), cause);
        }
        silent = true;
    }

    /** Posts the end of a message, again and again until the platform has it. */
    void notice(Journal.Entry entry) {
        notices.put(entry.number, entry);
        if (!posting) {
            posting = true;
            loop.execute(this::post);
        }
    }

    boolean noticesLeft() {
        return !notices.isEmpty();
    }

    private void post() {
        if (notices.isEmpty()) {
            posting = false;
            singly = false;
            return;
        }
        List<Journal.Entry> batch = notices.values().stream().limit(singly ? 1 : NOTICES_MOST).toList();
        reports.ask(HttpMethod.POST, "/reports", lines(batch), NOTICE_PATIENCE, null, answer -> {
            if (answer.status == 204) {
                unheard = false;
                for (Journal.Entry entry : batch) {
                    notices.remove(entry.number);
                    whenNoticed.accept(entry);
                }
                post();
            } else {
                if (!unheard) {
                    LOG.warn("{} notices not acknowledged ({}), posted until they are", batch.size(),
                        answer.status == 0 ? "no answer" : answer.status);
                }
                unheard = true;
                if (answer.status == 400) {
                    singly = true;
                    // Behind the others; it is still owed, and tried again.
                    batch.forEach(entry -> notices.put(entry.number, notices.remove(entry.number)));
                }
                loop.schedule(this::post, AGAIN, TimeUnit.MILLISECONDS);
            }
        });
    }

    static String lines(List<Journal.Entry> batch) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.setRootValueSeparator(null);
            for (Journal.Entry entry : batch) {
                out.writeStartObject();
                out.writeStringField("message", entry.message.id());
                out.writeStringField("outcome", entry.end.handedBack() ? "handed_back" : "given_up");
                if (entry.end.handedBack() && entry.end.retryAfter() > 0) {
                    out.writeNumberField("retry_in_ms", (entry.end.retryAfter() + 999) / 1_000);
                }
                out.writeEndObject();
                out.writeRaw('\n');
            }
        } catch (IOException e) {
            throw new IllegalStateException("a string cannot fail to be written", e);
        }
        return text.toString();
    }

    /** What became of a request; {@code status} is 0 where no answer came in time. */
    private static final class Answer {
        int status;
        /** What the list asked for has changed, or why it could not be taken in; null where neither is so. */
        HostList.Change list;
        String fault;
    }

    /** One kept connection to the agent, which carries one request at a time. */
    private final class Line {
        private final Bootstrap bootstrap;
        private InetSocketAddress agent;
        private Channel channel;
        private Consumer<Answer> waiting;
        private Future<?> timer;
        /** The answer that is coming in, its bytes so far, and where a list in it goes; null for none. */
        private Answer answer;
        private long received;
        private boolean keep;
        private Supplier<HostList.Reading> lists;
        private HostList.Reading reading;
        private long askedAt, patience;

        Line(Bootstrap bootstrap, InetSocketAddress agent) {
            this.agent = agent;
            this.bootstrap = bootstrap.clone(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) NOTICE_PATIENCE)
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
        void ask(HttpMethod method, String uri, String body, long patience, Supplier<HostList.Reading> list,
            Consumer<Answer> whenAnswered) {
            waiting = whenAnswered;
            answer = new Answer();
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
                ChannelFuture connect = bootstrap.connect(agent);
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
        }

        void moveTo(InetSocketAddress next) {
            agent = next;
            Channel old = channel;
            channel = null;
            if (old != null) {
                old.close();
            }
            if (waiting != null) {
                ended(0, null);
            }
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
            if (reading != null && answer.list == null) {
                reading.abandon();
            }
            reading = null;
            answer.status = status;
            answer.fault = fault;
            Consumer<Answer> told = waiting;
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
                        answer.list = last ? reading.end() : null;
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
}
