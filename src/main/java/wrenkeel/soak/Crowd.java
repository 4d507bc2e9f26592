package wrenkeel.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Clients of one relay that connect, say nothing and stay; more of them than the relay lets in. */
final class Crowd implements AutoCloseable {
    /** A third of the descriptors that a relay of the soak has, and some more. */
    static final int SIZE = 400;

    private final List<SocketChannel> members = new ArrayList<>();

    /** Opens all connections; who is turned away at once is left out. */
    Crowd(InetSocketAddress relay) {
        for (int i = 0; i < SIZE; i++) {
            try {
                members.add(SocketChannel.open(relay));
            } catch (IOException e) {
                // A relay that ends, or has no place left.
            }
        }
    }

    @Override
    public void close() {
        for (SocketChannel member : members) {
            try {
                member.close();
            } catch (IOException e) {
                // The relay has reset it.
            }
        }
    }
}
