package wrenkeel.net;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads on demand what stands unread in a socket: a thread that was held up may not have got to it. */
final class UnreadBytes {
    private UnreadBytes() { }

    /** Reads what has come on a connection and passes it on as usual. To be called on its event loop. */
    static void read(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }
}
