package wrenkeel.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.NetworkChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The clients' address. Two processes may listen there at once, so that while one takes over from another
 * there is no moment at which a client finds nobody. Its listening channel runs on one event loop.
 */
final class ClientListener implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    /** Connections that may wait to be accepted. */
    private static final int BACKLOG = 512;
    /** ms from leaving the selector until it has let go: a channel that it holds is closed late. */
    private static final long DEREGISTER_DELAY_MS = 20;
    /** Tries to accept those who wait as the door closes, a failed one after the other: half a second. */
    private static final int MAX_DRAIN_TRIES = 50;

    /** Takes the next connection from the queue of the listening socket; null if none waits there. */
    interface Acceptor {
        SocketChannel accept(ServerSocketChannel from) throws IOException;
    }

    private final NetworkChannel socket;
    private final EventLoop eventLoop;
    private final NioServerSocketChannel listener;
    private final Acceptor acceptor;

    private ClientListener(NetworkChannel socket, EventLoop eventLoop, NioServerSocketChannel listener,
                 Acceptor acceptor) {
        this.socket = socket;
        this.eventLoop = eventLoop;
        this.listener = listener;
        this.acceptor = acceptor;
    }

    /** Makes sure of the address without listening there: no client is led to this process yet. */
    static ClientListener reserve(InetSocketAddress address) throws IOException {
        SocketChannel socket = SocketChannel.open();
        try {
            allowSharing(socket).bind(address);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
        return new ClientListener(socket, null, null, null);
    }

    /** Listens; each connection gets this handler. To be called on the event loop. */
    static ClientListener open(InetSocketAddress address, EventLoop eventLoop, ChannelHandler clients,
                     LongConsumer whenResumed, ListeningSockets sockets) throws IOException {
        return open(address, eventLoop, clients, whenResumed, sockets, ServerSocketChannel::accept);
    }

    /**
     * {@code whenResumed}: told, after accepting has failed for a while, how long (ns) newcomers may have
     * waited for it; {@code acceptor}: what {@link #drain} accepts with.
     */
    static ClientListener open(InetSocketAddress address, EventLoop eventLoop, ChannelHandler clients,
                     LongConsumer whenResumed, ListeningSockets sockets, Acceptor acceptor)
        throws IOException {
        ServerSocketChannel socket = sockets.open();
        try {
            allowSharing(socket);
            socket.bind(address, BACKLOG);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
        NioServerSocketChannel listener = new NioServerSocketChannel(socket);
        new ServerBootstrap().group(eventLoop, eventLoop).channelFactory(() -> listener)
            .handler(new AcceptRetry(whenResumed))
            .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
            .childOption(ChannelOption.TCP_NODELAY, true).childHandler(clients).register();
        return new ClientListener(socket, eventLoop, listener, acceptor);
    }

    /**
     * The runtime finds out once whether an address can be shared, with a socket of its own: where there was
     * none just then it says no for ever, and the relay serves without.
     */
    static NetworkChannel allowSharing(NetworkChannel socket) throws IOException {
        socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (socket.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        } else {
            LOG.warn("the address cannot be shared: no process can take over before this one has ended");
        }
        return socket;
    }

    InetSocketAddress address() {
        try {
            return (InetSocketAddress) socket.getLocalAddress();
        } catch (IOException e) {
            throw new IllegalStateException("a door that is closed has no address", e);
        }
    }

    /** False where the address is only reserved. */
    boolean isListening() {
        return listener != null;
    }

    /** The channel that connections are accepted on; null where the address is only reserved. */
    NioServerSocketChannel listener() {
        return listener;
    }

    /** Lets in all who wait at the door, then closes it with nothing in between. */
    void drain() {
        listener.deregister().addListener(done ->
            eventLoop.schedule(() -> acceptPending(MAX_DRAIN_TRIES), DEREGISTER_DELAY_MS, TimeUnit.MILLISECONDS));
    }

    private void acceptPending(int triesLeft) {
        ServerSocketChannel last = (ServerSocketChannel) socket;
        try {
            SocketChannel client = acceptor.accept(last);
            while (client != null) {
                listener.pipeline().fireChannelRead(new NioSocketChannel(listener, client));
                client = acceptor.accept(last);
            }
        } catch (IOException e) {
            LOG.warn("a connection could not be accepted as the door closes: {}", e.toString());
            if (triesLeft > 1) {
                eventLoop.schedule(() -> acceptPending(triesLeft - 1), AcceptRetry.RETRY_GAP_MS,
                    TimeUnit.MILLISECONDS);
                return;
            }
            LOG.error("the door closes on those who still wait there");
        }
        closeSocket();
        close();
    }

    private void closeSocket() {
        try {
            socket.close();
        } catch (IOException e) {
            LOG.error("the door is not closed in order", e);
        }
    }

    @Override
    public void close() {
        try {
            if (listener == null) {
                socket.close();
            } else {
                listener.close();
            }
        } catch (IOException e) {
            LOG.warn("the clients' address is not given back", e);
        }
    }
}
