package wrenkeel.net;

import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One TCP connection on loopback with both of its ends: the client's is a plain socket, the server's a channel that
 * reads nothing before it is registered. So a test decides what stands unread in the socket at which moment.
 */
final class SocketPair implements AutoCloseable {
    final Socket client;
    final NioSocketChannel channel;
    private final SocketChannel serverSocket;

    SocketPair(ChannelHandler... handlers) throws IOException {
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
            listener.bind(new InetSocketAddress(Platform.LOOPBACK, 0));
            client = new Socket(Platform.LOOPBACK, ((InetSocketAddress) listener.getLocalAddress()).getPort());
            client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Platform.TIMEOUT_SECONDS));
            serverSocket = listener.accept();
        }
        channel = new NioSocketChannel(serverSocket);
        channel.pipeline().addLast(handlers);
    }

    /** From now on the loop reads what comes. */
    void register(EventLoop eventLoop) throws InterruptedException {
        eventLoop.register(channel).sync();
    }

    /** Writes as the client, and returns once all of it stands unread in the server's socket. */
    void send(String text) throws IOException {
        int unreadBefore = unreadBytes();
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        client.getOutputStream().write(bytes);
        while (unreadBytes() < unreadBefore + bytes.length) {
            Thread.onSpinWait();
        }
    }

    private int unreadBytes() throws IOException {
        return serverSocket.socket().getInputStream().available();
    }

    /** If the server has closed its socket, waits until the selector has let go of it: only then is it reset. */
    void awaitRelease(EventLoop eventLoop) throws Exception {
        while (!serverSocket.isOpen() && serverSocket.isRegistered()) {
            eventLoop.submit(() -> { }).get();
        }
        eventLoop.submit(() -> { }).get();
    }

    /** The status of the next response, which must be whole. */
    String readStatus() throws IOException {
        return StubHost.readHead(client.getInputStream()).get(0).substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length());
    }

    List<String> readStatuses(int count) throws IOException {
        List<String> statuses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            statuses.add(readStatus());
        }
        return statuses;
    }

    /** True if the server ends the connection now, in order and with nothing more; a reset is an exception. */
    boolean readsEndOfStream() throws IOException {
        return client.getInputStream().read() < 0;
    }

    @Override
    public void close() throws IOException {
        client.close();
        channel.close();
    }
}
