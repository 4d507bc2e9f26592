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
        /** Passes all on. */ FORWARD,
        /** Passes nothing on; connections that were open meanwhile are reset once it is over. */ STALL,
        /** Resets open connections and new ones. */ RESET,
        /** Resets a connection once it has passed on a few bytes of an answer. */ TRUNCATE,
        /** A new connection passes nothing on for a while. */ DELAY
    }

    /** Bytes of an answer that pass before the reset: within its first line. */
    private static final int TRUNCATE_AFTER_BYTES = 7;
    private static final long DELAY_MS = 700;

    private final EventLoopGroup group;
    private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
    private final Channel listener;
    private final InetSocketAddress target;
    private volatile Mode mode = Mode.FORWARD;

    FaultProxy(EventLoopGroup group, InetSocketAddress target) throws InterruptedException {
        this.group = group;
        this.target = target;
        listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1_024).childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    new ProxiedConnection(channel).open();
                }
            }).bind(InetAddress.getLoopbackAddress(), 0).sync().channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    void setMode(Mode next) {
        mode = next;
        for (ProxiedConnection connection : connections) {
            connection.clientSide.eventLoop().execute(() -> connection.modeChanged(next));
        }
    }

    /** Those that are open now pass nothing on any more, for ever; new ones are as before. */
    void freezeOpenConnections() {
        for (ProxiedConnection connection : connections) {
            connection.clientSide.eventLoop().execute(() -> {
                connection.frozen = true;
                connection.updateReading();
            });
        }
    }

    /** Takes no new connections, and resets the open ones. */
    @Override
    public void close() {
        listener.close();
        connections.forEach(connection -> connection.clientSide.eventLoop().execute(connection::reset));
    }

    /** One connection and its counterpart at the target; both on one event loop. */
    private final class ProxiedConnection {
        private final Channel clientSide;
        private Channel targetSide;
        private boolean delayed;
        private boolean frozen;
        private boolean stalled;
        private int answeredBytes;

        ProxiedConnection(Channel clientSide) {
            this.clientSide = clientSide;
        }

        void open() {
            connections.add(this);
            clientSide.closeFuture().addListener(closed -> connections.remove(this));
            clientSide.pipeline().addLast(new Forwarder(true));
            if (mode == Mode.RESET) {
                reset();
                return;
            }
            delayed = mode == Mode.DELAY;
            if (delayed) {
                clientSide.eventLoop().schedule(() -> {
                    delayed = false;
                    updateReading();
                }, DELAY_MS, TimeUnit.MILLISECONDS);
            }
            ChannelFuture connect = new Bootstrap().group(clientSide.eventLoop()).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.AUTO_READ, false)
                .handler(new Forwarder(false)).connect(target);
            targetSide = connect.channel();
            connect.addListener(done -> {
                if (done.isSuccess()) {
                    updateReading();
                } else {
                    reset();
                }
            });
        }

        private void modeChanged(Mode next) {
            // What was sent into a silence must not arrive long after its sender has given it up.
            if (next == Mode.RESET || stalled && next != Mode.STALL) {
                reset();
            } else {
                updateReading();
            }
        }

        private void updateReading() {
            stalled |= mode == Mode.STALL;
            boolean reads = !delayed && !frozen && mode != Mode.STALL;
            clientSide.config().setAutoRead(reads && targetSide != null && targetSide.isActive());
            if (targetSide != null) {
                targetSide.config().setAutoRead(reads);
            }
        }

        private void reset() {
            reset(clientSide);
            if (targetSide != null) {
                reset(targetSide);
            }
        }

        private static void reset(Channel channel) {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        }

        /** Passes on what one side sends, and its end. */
        private final class Forwarder extends ChannelInboundHandlerAdapter {
            private final boolean fromClient;

            Forwarder(boolean fromClient) {
                this.fromClient = fromClient;
            }

            private Channel otherSide() {
                return fromClient ? targetSide : clientSide;
            }

            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                if (!fromClient && mode == Mode.TRUNCATE) {
                    answeredBytes += bytes.readableBytes();
                    ByteBuf part = bytes.readRetainedSlice(Math.min(TRUNCATE_AFTER_BYTES, bytes.readableBytes()));
                    ReferenceCountUtil.release(bytes);
                    clientSide.writeAndFlush(part).addListener(done -> reset());
                    return;
                }
                otherSide().writeAndFlush(bytes);
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                Channel other = otherSide();
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
