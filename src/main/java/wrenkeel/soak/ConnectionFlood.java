package wrenkeel.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Idle client connections to one relay, more than the relay accepts. They stay open until {@link #close}. */
final class ConnectionFlood implements AutoCloseable {
    /** A little more than a third of the file descriptors that a relay of the soak may open. */
    static final int CONNECTIONS = 400;

    private final List<SocketChannel> connections = new ArrayList<>();

    /** Opens all connections, one after the other, and ignores those that the relay refuses at once. */
    ConnectionFlood(InetSocketAddress relay) {
        for (int i = 0; i < CONNECTIONS; i++) {
            try {
                connections.add(SocketChannel.open(relay));
            } catch (IOException e) {
                // The relay is shutting down or accepts no more connections.
            }
        }
    }

    @Override
    public void close() {
        for (SocketChannel connection : connections) {
            try {
                connection.close();
            } catch (IOException e) {
                // The relay has reset the connection.
            }
        }
    }
}
