package wrenkeel.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Allocates listen addresses for the relays of one soak process. Relays listen with
 * SO_REUSEPORT so that their successor can bind the same address; two unrelated relays on one address would
 * therefore not fail but share its connections unnoticed. So each soak process uses a loopback address of its
 * own, derived from its process id, and ports outside the range that the system assigns to outgoing
 * connections. Any thread may call this class.
 */
final class PortAllocator {
    /** Ports from the first up to, but not including, the last. */
    private static final int FIRST_PORT = 12_000, LAST_PORT = 30_000;
    /** The address is 127.64.0.0 plus the low 22 bits of the process id. */
    private static final int FIRST_OCTET = 127, SECOND_OCTET_BASE = 64;
    private static final int OCTET_BITS = 8, OCTET_MASK = 0xff, SECOND_OCTET_PID_MASK = 0x3f;

    private static int nextPort = FIRST_PORT;

    private PortAllocator() { }

    private static InetAddress loopbackAddress() throws IOException {
        long pid = ProcessHandle.current().pid();
        return InetAddress.getByAddress(new byte[] {FIRST_OCTET,
            (byte) (SECOND_OCTET_BASE + (pid >> 2 * OCTET_BITS & SECOND_OCTET_PID_MASK)),
            (byte) (pid >> OCTET_BITS & OCTET_MASK), (byte) (pid & OCTET_MASK)});
    }

    /** Returns an address on which nobody listens and that no other soak process allocates. */
    static synchronized InetSocketAddress allocate() throws IOException {
        while (nextPort < LAST_PORT) {
            try (ServerSocket socket = new ServerSocket(nextPort++, 1, loopbackAddress())) {
                return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
            } catch (java.net.BindException e) {
                // In use; try the next port.
            }
        }
        throw new IOException("no free port left");
    }
}
