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
final class Ports {
    private static final int FIRST = 12_000, LAST = 30_000;
    /** First part of the address that is made, and the bits of the process number in the others. */
    private static final int NETWORK = 127, REGION = 64, PART_BITS = 8, PART = 0xff, REGIONS = 0x3f;

    private static int next = FIRST;

    private Ports() { }

    private static InetAddress host() throws IOException {
        long pid = ProcessHandle.current().pid();
        return InetAddress.getByAddress(new byte[] {NETWORK,
            (byte) (REGION + (pid >> 2 * PART_BITS & REGIONS)), (byte) (pid >> PART_BITS & PART),
            (byte) (pid & PART)});
    }

    /** An address at which nobody listens now, and that no other soak gives out. */
    static synchronized InetSocketAddress free() throws IOException {
        while (next < LAST) {
            try (ServerSocket socket = new ServerSocket(next++, 1, host())) {
                return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
            } catch (java.net.BindException e) {
                // Taken; the next may be free.
            }
        }
        throw new IOException("no free port left");
    }
}
