package wrenkeel.net;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;

/** Opens listening sockets for clients; may fail for a while if the machine is short of descriptors. */
interface ListeningSockets {
    /** Opens real sockets. */
    ListeningSockets SYSTEM = ServerSocketChannel::open;

    /** Opens a socket that is not bound yet. */
    ServerSocketChannel open() throws IOException;
}
