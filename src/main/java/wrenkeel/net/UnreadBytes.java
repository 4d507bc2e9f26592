package wrenkeel.net;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads a socket on demand: a thread that was delayed may have left bytes unread in it. */
final class UnreadBytes {
    private UnreadBytes() { }

    /** Reads the unread bytes of a connection through its pipeline. To be called on its event loop. */
    static void read(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }
}
