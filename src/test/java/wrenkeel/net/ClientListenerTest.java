package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.util.Set;
import java.util.HashSet;
import java.nio.channels.NetworkChannel;
import java.net.StandardSocketOptions;
import java.net.SocketOption;
import java.net.SocketAddress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Accepting connections while the system call fails temporarily, and listening without SO_REUSEPORT. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ClientListenerTest {
    /** How long Netty's own acceptor pauses after any failure. */
    private static final long NETTY_PAUSE_MS = 1_000;
    private static final InetSocketAddress ANY_LOOPBACK_PORT = new InetSocketAddress(Platform.LOOPBACK, 0);

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final BlockingQueue<Channel> accepted = new LinkedBlockingQueue<>();
    /** The reported delays, in nanoseconds. */
    private final List<Long> acceptDelays = new ArrayList<>();
    private final ChannelInitializer<Channel> clientHandler = new ChannelInitializer<>() {
        @Override
        protected void initChannel(Channel channel) {
            accepted.add(channel);
        }
    };

    @AfterEach
    void tearDown() throws InterruptedException {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }

    private static IOException acceptFailure() {
        return new IOException("No buffer space available");
    }

    /**
     * Guards against Netty's pause of a second after a failed accept, during which clients wait. The test
     * raises the failure as the listening channel does, and checks before Netty's acceptor would continue.
     */
    @Test
    void acceptsAgainSoonAfterAFailedAccept() throws Exception {
        ClientListener listener = eventLoop.submit(() -> ClientListener.open(ANY_LOOPBACK_PORT, eventLoop,
            clientHandler, acceptDelays::add, ListeningSockets.SYSTEM)).get();
        CompletableFuture<Boolean> accepting = new CompletableFuture<>();
        eventLoop.submit(() -> {
            eventLoop.schedule(() -> accepting.complete(listener.listener().config().isAutoRead()),
                NETTY_PAUSE_MS - 100, TimeUnit.MILLISECONDS);
            listener.listener().pipeline().fireExceptionCaught(acceptFailure());
        }).get();
        assertTrue(accepting.get(), "the listener does not accept again yet");
        eventLoop.submit(listener::close).get();
    }

    /**
     * Guards against messages that end too late: a client counts its timeout from when it connected, so the
     * time for which connections were not accepted must be reported.
     */
    @Test
    void reportsOnceHowLongConnectionsMayHaveWaited() throws Exception {
        ClientListener listener = eventLoop.submit(() -> ClientListener.open(ANY_LOOPBACK_PORT, eventLoop,
            clientHandler, acceptDelays::add, ListeningSockets.SYSTEM)).get();
        eventLoop.submit(() -> listener.listener().pipeline().fireExceptionCaught(acceptFailure())).get();
        try (Socket first = new Socket(Platform.LOOPBACK, listener.address().getPort());
                Socket second = new Socket(Platform.LOOPBACK, listener.address().getPort())) {
            assertNotNull(accepted.poll(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS), first.toString());
            assertNotNull(accepted.poll(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS), second.toString());
        }
        eventLoop.submit(listener::close).get();
        assertEquals(1, acceptDelays.size(), "one report for each run of failures");
        assertTrue(acceptDelays.get(0) >= TimeUnit.MILLISECONDS.toNanos(AcceptRetry.RETRY_DELAY_MS),
            acceptDelays.toString());
    }

    /**
     * Guards against lost connections: all that are queued as the listener closes are accepted, even if an
     * accept fails.
     */
    @Test
    void drainContinuesAfterAFailedAccept() throws Exception {
        List<String> attempts = new ArrayList<>();
        ClientListener.Acceptor failsOnce = (ServerSocketChannel from) -> {
            SocketChannel connection = attempts.size() == 1 ? null : from.accept();
            attempts.add("try");
            if (attempts.size() == 2) {
                throw acceptFailure();
            }
            return connection;
        };
        ClientListener listener = eventLoop.submit(() -> ClientListener.open(ANY_LOOPBACK_PORT, eventLoop,
            clientHandler, acceptDelays::add, ListeningSockets.SYSTEM, failsOnce)).get();
        // From here on the selector accepts no connection: all stay in the queue.
        eventLoop.submit(() -> listener.listener().config().setAutoRead(false)).get();
        List<Socket> queued = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            queued.add(new Socket(Platform.LOOPBACK, listener.address().getPort()));
        }
        Future<Void> drained = eventLoop.submit(listener::drain).get();
        assertTrue(drained.await(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        for (int i = 0; i < queued.size(); i++) {
            assertNotNull(accepted.poll(), "not accepted before the end of the drain: connection " + i);
        }
        for (Socket socket : queued) {
            socket.close();
        }
    }

    /**
     * A socket without SO_REUSEPORT. The Java runtime determines its support once; if the machine has no
     * socket to spare at that moment, all of the runtime's sockets are like this.
     */
    private static final class WithoutReusePort implements NetworkChannel {
        private final Set<SocketOption<?>> enabledOptions = new HashSet<>();

        @Override
        public <T> NetworkChannel setOption(SocketOption<T> name, T value) {
            if (!supportedOptions().contains(name)) {
                throw new UnsupportedOperationException(name + " not supported");
            }
            enabledOptions.add(name);
            return this;
        }

        @Override
        public Set<SocketOption<?>> supportedOptions() {
            return Set.of(StandardSocketOptions.SO_REUSEADDR);
        }

        @Override
        public <T> T getOption(SocketOption<T> name) {
            return null;
        }

        @Override
        public NetworkChannel bind(SocketAddress local) {
            return this;
        }

        @Override
        public SocketAddress getLocalAddress() {
            return null;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {
            // There is nothing to release.
        }
    }

    /**
     * Guards against a failed start: a process whose runtime reports no support for SO_REUSEPORT must serve
     * too.
     */
    @Test
    void servesWithoutSharingWhenReusePortIsUnsupported() throws IOException {
        WithoutReusePort socket = new WithoutReusePort();
        assertSame(socket, ClientListener.allowSharing(socket));
        assertEquals(Set.of(StandardSocketOptions.SO_REUSEADDR), socket.enabledOptions);
    }
}
