package wrenkeel.net;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;

/** Makes the sockets that clients connect to; fails for a while where the machine is short of them. */
interface ListeningSockets {
    /** The real ones. */
    ListeningSockets SYSTEM = ServerSocketChannel::open;

    /** A socket that is not bound yet. */
    ServerSocketChannel open() throws IOException;
}
