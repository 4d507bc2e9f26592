package wrenkeel.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
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
 * Listens at the clients' address. Two processes may listen there at once (SO_REUSEPORT), so that clients can
 * always connect while one process takes over from another. The listening channel runs on one event loop.
 */
final class ClientListener implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    /** Length of the queue of connections that wait to be accepted. */
    private static final int BACKLOG = 512;
    /**
     * Delay between deregistering the channel and closing it. The selector may still hold the channel for a
     * moment, and a channel that it holds is closed late.
     */
    private static final long DEREGISTER_DELAY_MS = 20;
    /** Failed tries, half a second in all, after which {@link #drain} gives up on queued connections. */
    private static final int MAX_DRAIN_TRIES = 50;

    /** Accepts the next connection from the queue of the listening socket; returns null if there is none. */
    interface Acceptor {
        SocketChannel accept(ServerSocketChannel from) throws IOException;
    }

    private final NetworkChannel socket;
    private final EventLoop eventLoop;
    private final NioServerSocketChannel listener;
    private final Acceptor acceptor;
    /** Completes when {@link #drain} has closed the socket; null if the address is only reserved. */
    private final Promise<Void> drained;

    private ClientListener(NetworkChannel socket, EventLoop eventLoop, NioServerSocketChannel listener,
                           Acceptor acceptor) {
        this.socket = socket;
        this.eventLoop = eventLoop;
        this.listener = listener;
        this.acceptor = acceptor;
        this.drained = eventLoop == null ? null : eventLoop.newPromise();
    }

    /** Binds the address without listening there: no client connects to this process yet. */
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

    /** Listens; each connection gets the handler {@code clients}. To be called on the event loop. */
    static ClientListener open(InetSocketAddress address, EventLoop eventLoop, ChannelHandler clients,
                               LongConsumer whenResumed, ListeningSockets sockets) throws IOException {
        return open(address, eventLoop, clients, whenResumed, sockets, ServerSocketChannel::accept);
    }

    /**
     * Listens at the address; to be called on the event loop.
     *
     * @param clients handler of each connection
     * @param whenResumed receives how long new connections may have waited, in nanoseconds, once accepting
     *     works again after failures
     * @param sockets opens the listening socket
     * @param acceptor accepts connections for {@link #drain}
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
            .childOption(ChannelOption.TCP_NODELAY, true).childHandler(clients).register();
        return new ClientListener(socket, eventLoop, listener, acceptor);
    }

    /**
     * Lets another process bind the socket's address too, if the platform supports that. The Java runtime
     * determines the support once, with a socket of its own: if it cannot open one at that moment, it reports
     * no support from then on, and the relay serves without sharing.
     */
    static NetworkChannel allowSharing(NetworkChannel socket) throws IOException {
        socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (socket.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        } else {
            LOG.warn("SO_REUSEPORT is not supported: no process can take over before this one has ended");
        }
        return socket;
    }

    /** Returns the bound address; fails once the socket is closed. */
    InetSocketAddress address() {
        try {
            return (InetSocketAddress) socket.getLocalAddress();
        } catch (IOException e) {
            throw new IllegalStateException("a closed listener has no address", e);
        }
    }

    /** True if this process listens; false if it has only reserved the address. */
    boolean isListening() {
        return listener != null;
    }

    /** Returns the listening channel; null if the address is only reserved. */
    NioServerSocketChannel listener() {
        return listener;
    }

    /**
     * Stops listening: accepts all queued connections, then closes the socket at once, so that none is queued
     * in between and lost. To be called on the event loop.
     *
     * @return completes when the socket is closed
     */
    Future<Void> drain() {
        listener.deregister().addListener(done ->
            eventLoop.schedule(() -> acceptPending(MAX_DRAIN_TRIES), DEREGISTER_DELAY_MS,
                TimeUnit.MILLISECONDS));
        return drained;
    }

    private void acceptPending(int triesLeft) {
        ServerSocketChannel listening = (ServerSocketChannel) socket;
        try {
            SocketChannel client = acceptor.accept(listening);
            while (client != null) {
                listener.pipeline().fireChannelRead(new NioSocketChannel(listener, client));
                client = acceptor.accept(listening);
            }
        } catch (IOException e) {
            LOG.warn("queued connection not accepted while closing the listener: {}", e.toString());
            if (triesLeft > 1) {
                eventLoop.schedule(() -> acceptPending(triesLeft - 1), AcceptRetry.RETRY_DELAY_MS,
                    TimeUnit.MILLISECONDS);
                return;
            }
            LOG.error("listener closed with connections still queued");
        }
        closeSocket();
        close();
        drained.trySuccess(null);
    }

    private void closeSocket() {
        try {
            socket.close();
        } catch (IOException e) {
            LOG.error("listening socket not closed", e);
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
            LOG.warn("listener not closed, its address may stay in use", e);
        }
    }
}
