package wrenkeel.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A link that can be made to fail: passes bytes on between whoever connects to its port and a target. A reset
 * of one side becomes a reset of the other. Any thread may change it.
 */
final class FaultProxy implements AutoCloseable {
    /** How the link behaves. */
    enum Mode {
        /** Passes all on. */ PASS,
        /** Passes nothing on; connections that were open meanwhile are reset once it is over. */ SILENT,
        /** Resets open connections and new ones. */ RESET,
        /** Resets a connection once it has passed on a few bytes of an answer. */ CUT,
        /** A new connection passes nothing on for a while. */ LATE
    }

    /** Bytes of an answer that pass before the reset: within its first line. */
    private static final int CUT_AFTER = 7;
    private static final long LATE_MILLIS = 700;

    private final EventLoopGroup group;
    private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
    private final Channel listener;
    private final InetSocketAddress target;
    private volatile Mode mode = Mode.PASS;

    FaultProxy(EventLoopGroup group, InetSocketAddress target) throws InterruptedException {
        this.group = group;
        this.target = target;
        listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1_024).childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    new Pair(channel).begin();
                }
            }).bind(InetAddress.getLoopbackAddress(), 0).sync().channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    void set(Mode next) {
        mode = next;
        for (Pair pair : pairs) {
            pair.front.eventLoop().execute(() -> pair.changed(next));
        }
    }

    /** Those that are open now pass nothing on any more, for ever; new ones are as before. */
    void freezeOpen() {
        for (Pair pair : pairs) {
            pair.front.eventLoop().execute(() -> {
                pair.frozen = true;
                pair.readOn();
            });
        }
    }

    /** Takes no new connections, and resets the open ones. */
    @Override
    public void close() {
        listener.close();
        pairs.forEach(pair -> pair.front.eventLoop().execute(pair::reset));
    }

    /** One connection and its counterpart at the target; both on one event loop. */
    private final class Pair {
        private final Channel front;
        private Channel back;
        private boolean late;
        private boolean frozen;
        private boolean silent;
        private int answered;

        Pair(Channel front) {
            this.front = front;
        }

        void begin() {
            pairs.add(this);
            front.closeFuture().addListener(closed -> pairs.remove(this));
            front.pipeline().addLast(new Passing(true));
            if (mode == Mode.RESET) {
                reset();
                return;
            }
            late = mode == Mode.LATE;
            if (late) {
                front.eventLoop().schedule(() -> {
                    late = false;
                    readOn();
                }, LATE_MILLIS, TimeUnit.MILLISECONDS);
            }
            ChannelFuture connect = new Bootstrap().group(front.eventLoop()).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.AUTO_READ, false)
                .handler(new Passing(false)).connect(target);
            back = connect.channel();
            connect.addListener(done -> {
                if (done.isSuccess()) {
                    readOn();
                } else {
                    reset();
                }
            });
        }

        private void changed(Mode next) {
            // What was sent into a silence must not arrive long after its sender has given it up.
            if (next == Mode.RESET || silent && next != Mode.SILENT) {
                reset();
            } else {
                readOn();
            }
        }

        private void readOn() {
            silent |= mode == Mode.SILENT;
            boolean reads = !late && !frozen && mode != Mode.SILENT;
            front.config().setAutoRead(reads && back != null && back.isActive());
            if (back != null) {
                back.config().setAutoRead(reads);
            }
        }

        private void reset() {
            reset(front);
            if (back != null) {
                reset(back);
            }
        }

        private static void reset(Channel channel) {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        }

        /** Passes on what one side sends, and its end. */
        private final class Passing extends ChannelInboundHandlerAdapter {
            private final boolean ofFront;

            Passing(boolean ofFront) {
                this.ofFront = ofFront;
            }

            private Channel other() {
                return ofFront ? back : front;
            }

            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                if (!ofFront && mode == Mode.CUT) {
                    answered += bytes.readableBytes();
                    ByteBuf part = bytes.readRetainedSlice(Math.min(CUT_AFTER, bytes.readableBytes()));
                    ReferenceCountUtil.release(bytes);
                    front.writeAndFlush(part).addListener(done -> reset());
                    return;
                }
                other().writeAndFlush(bytes);
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                Channel other = other();
                if (other != null && other.isActive()) {
                    other.writeAndFlush(other.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
                } else if (other != null) {
                    other.close();
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                // A reset of one side; the other side gets one too.
                reset();
            }
        }
    }
}
