package wrenkeel.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.SplittableRandom;

/** Ports of loopback that stay free while nobody listens: not those that the system gives out itself. */
final class Ports {
    private static final int LEAST = 12_000, MOST = 30_000, TRIES = 1_000;
    private static final SplittableRandom RANDOM = new SplittableRandom(ProcessHandle.current().pid());

    private Ports() { }

    /** An address at which nobody listens now. */
    static synchronized InetSocketAddress free() throws IOException {
        for (int i = 0; i < TRIES; i++) {
            int port = LEAST + RANDOM.nextInt(MOST - LEAST);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
            } catch (IOException e) {
                // Taken; the next may be free.
            }
        }
        throw new IOException("no free port found");
    }
}
