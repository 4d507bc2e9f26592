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
 * Both ends of a TCP connection on loopback: the client's is a plain socket, the server's a channel that
 * reads nothing before it is registered. This lets a test determine which bytes are unread in the socket at
 * which moment.
 */
final class SocketPair implements AutoCloseable {
    final Socket client;
    final NioSocketChannel channel;
    private final SocketChannel serverSocket;

    SocketPair(ChannelHandler... handlers) throws IOException {
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
            listener.bind(new InetSocketAddress(Platform.LOOPBACK, 0));
            client = new Socket(Platform.LOOPBACK,
                ((InetSocketAddress) listener.getLocalAddress()).getPort());
            client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Platform.TIMEOUT_SECONDS));
            serverSocket = listener.accept();
        }
        channel = new NioSocketChannel(serverSocket);
        channel.pipeline().addLast(handlers);
    }

    /** Registers the server's channel: from now on the event loop reads it. */
    void register(EventLoop eventLoop) throws InterruptedException {
        eventLoop.register(channel).sync();
    }

    /** Writes as the client; returns once all of it is in the server's socket, unread. */
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

    /**
     * If the server has closed its socket, waits until the selector has released it. A close over unread
     * bytes resets the connection only then.
     */
    void awaitRelease(EventLoop eventLoop) throws Exception {
        while (!serverSocket.isOpen() && serverSocket.isRegistered()) {
            eventLoop.submit(() -> { }).get();
        }
        eventLoop.submit(() -> { }).get();
    }

    /**
     * Reads the next response, which must have no body, and returns its status code; throws if it is cut off.
     */
    String readStatus() throws IOException {
        return StubHost.readHead(client.getInputStream()).get(0)
            .substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length());
    }

    /** Reads the heads of the next responses and returns their status codes. */
    List<String> readStatuses(int count) throws IOException {
        List<String> statuses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            statuses.add(readStatus());
        }
        return statuses;
    }

    /**
     * True if the server sends nothing more and closes the connection; throws if it resets the connection.
     */
    boolean readsEndOfStream() throws IOException {
        return client.getInputStream().read() < 0;
    }

    @Override
    public void close() throws IOException {
        client.close();
        channel.close();
    }
}
