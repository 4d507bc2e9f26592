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
 * A TCP proxy with injected faults: listens on a loopback port and forwards each connection to a target
 * address. A reset on one side resets the other side. Any thread may call its methods; each connection is
 * handled on one event loop.
 */
final class FaultProxy implements AutoCloseable {
    /** What the proxy does with connections and their bytes. */
    enum Mode {
        /** Forwards all bytes. */ FORWARD,
        /** Forwards nothing; connections that were open in this mode are reset when it ends. */ STALL,
        /** Resets open and new connections. */ RESET,
        /** Resets a connection after the first bytes of a response. */ TRUNCATE,
        /** Forwards nothing on a new connection until {@link FaultProxy#DELAY_MS} have passed. */ DELAY
    }

    /** Bytes of a response that are forwarded before the reset; the cut is within the status line. */
    private static final int TRUNCATE_AFTER_BYTES = 7;
    private static final long DELAY_MS = 700;

    private final EventLoopGroup group;
    private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
    private final Channel listener;
    private final InetSocketAddress target;
    private volatile Mode mode = Mode.FORWARD;

    /** Starts listening on a free port; the event loops must outlive the proxy. */
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

    /** The address on which the proxy listens. */
    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Changes the mode; open connections follow shortly after, each on its event loop. */
    void setMode(Mode next) {
        mode = next;
        for (ProxiedConnection connection : connections) {
            connection.clientSide.eventLoop().execute(() -> connection.modeChanged(next));
        }
    }

    /** Stops forwarding on the connections that are open now, for good; new connections are not affected. */
    void freezeOpenConnections() {
        for (ProxiedConnection connection : connections) {
            connection.clientSide.eventLoop().execute(() -> {
                connection.frozen = true;
                connection.updateReading();
            });
        }
    }

    /** Stops listening and resets the open connections. */
    @Override
    public void close() {
        listener.close();
        connections.forEach(connection -> connection.clientSide.eventLoop().execute(connection::reset));
    }

    /** A connection from a client and its counterpart to the target, both on one event loop. */
    private final class ProxiedConnection {
        private final Channel clientSide;
        private Channel targetSide;
        /** Opened in mode DELAY, and the delay has not passed yet. */
        private boolean delayed;
        /** Forwards nothing for the rest of its life. */
        private boolean frozen;
        /** Was open at some time in mode STALL. */
        private boolean stalled;
        /** Bytes of responses that came in mode TRUNCATE. */
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
            ChannelFuture connect = new Bootstrap().group(clientSide.eventLoop())
                .channel(NioSocketChannel.class)
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
            // Bytes that were held back in mode STALL must not arrive long after their sender has timed out.
            if (next == Mode.RESET || stalled && next != Mode.STALL) {
                reset();
            } else {
                updateReading();
            }
        }

        /** Applies the mode: bytes that are not read are not forwarded. */
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

        /** Forwards to the other side what one side sends, and its close. */
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
                    ByteBuf part = bytes.readRetainedSlice(
                        Math.min(TRUNCATE_AFTER_BYTES, bytes.readableBytes()));
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
                // One side has reset its connection.
                reset();
            }
        }
    }
}
