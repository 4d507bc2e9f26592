package wrenkeel.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Clients of one relay that connect, say nothing and stay; more of them than the relay lets in. */
final class ConnectionFlood implements AutoCloseable {
    /** A third of the descriptors that a relay of the soak has, and some more. */
    static final int CONNECTIONS = 400;

    private final List<SocketChannel> connections = new ArrayList<>();

    /** Opens all connections; who is turned away at once is left out. */
    ConnectionFlood(InetSocketAddress relay) {
        for (int i = 0; i < CONNECTIONS; i++) {
            try {
                connections.add(SocketChannel.open(relay));
            } catch (IOException e) {
                // A relay that ends, or has no place left.
            }
        }
    }

    @Override
    public void close() {
        for (SocketChannel connection : connections) {
            try {
                connection.close();
            } catch (IOException e) {
                // The relay has reset it.
            }
        }
    }
}
