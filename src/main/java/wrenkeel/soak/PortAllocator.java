package wrenkeel.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Addresses for the relays of one soak. Relays share their address with a successor, so two of them would
 * share it unseen: each soak has a loopback address of its own, made from its process number, and its ports
 * are none that the system gives to connections.
 */
final class PortAllocator {
    private static final int FIRST_PORT = 12_000, LAST_PORT = 30_000;
    /** First part of the address that is made, and the bits of the process number in the others. */
    private static final int FIRST_OCTET = 127, SECOND_OCTET_BASE = 64, OCTET_BITS = 8, OCTET_MASK = 0xff, SECOND_OCTET_PID_MASK = 0x3f;

    private static int nextPort = FIRST_PORT;

    private PortAllocator() { }

    private static InetAddress loopbackAddress() throws IOException {
        long pid = ProcessHandle.current().pid();
        return InetAddress.getByAddress(new byte[] {FIRST_OCTET,
            (byte) (SECOND_OCTET_BASE + (pid >> 2 * OCTET_BITS & SECOND_OCTET_PID_MASK)), (byte) (pid >> OCTET_BITS & OCTET_MASK),
            (byte) (pid & OCTET_MASK)});
    }

    /** An address at which nobody listens now, and that no other soak gives out. */
    static synchronized InetSocketAddress allocate() throws IOException {
        while (nextPort < LAST_PORT) {
            try (ServerSocket socket = new ServerSocket(nextPort++, 1, loopbackAddress())) {
                return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
            } catch (java.net.BindException e) {
                // Taken; the next may be free.
            }
        }
        throw new IOException("no free port left");
    }
}
