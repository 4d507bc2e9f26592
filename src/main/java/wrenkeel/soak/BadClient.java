package wrenkeel.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;

/**
 * A client of a relay that sends no complete, valid request and then waits for the relay to answer with an
 * error or to close the connection. The time of that goes into the history.
 */
final class BadClient implements Runnable {
    /** What the client sends. The order is fixed: runs cycle through the constants by their number. */
    enum Payload {
        /** Nothing. */ SILENT(""),
        /** Part of a request head. */ HALF_HEAD("POST /order HTTP/1.1\r\nHost: api.internal\r\nX-Requ"),
        /** A request head and part of its body. */ HALF_BODY("POST /order HTTP/1.1\r\nHost: api.internal\r\n"
            + "X-Request-ID: bad\r\nX-Priority-Class: order\r\nX-Timeout-Ms: 2000\r\nX-Envelope: dest=1\r\n"
            + "Content-Length: 100\r\n\r\nhalf"),
        /** Bytes that are not HTTP. */ GARBAGE("\u0016\u0003\u0001garbage\r\n\r\n"),
        /** Two pipelined requests for unknown paths. */ PIPELINE("GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
            + "GET /b HTTP/1.1\r\nHost: a\r\n\r\n"),
        /** A request head that announces a body above the size limit. */
        OVERSIZED("POST /order HTTP/1.1\r\nHost: api.internal\r\n"
            + "Content-Length: 70000000\r\n\r\n");

        private final String text;

        Payload(String text) {
            this.text = text;
        }
    }

    /** Time for which the client waits for a byte or a close. */
    private static final int READ_TIMEOUT_MS = 8_000;

    private final int relay;
    private final InetSocketAddress address;
    private final Payload payload;
    private final LongSupplier clock;
    private final History history;

    /**
     * @param relay number of the relay at the address
     * @param clock ms since the start of the traffic
     */
    BadClient(int relay, InetSocketAddress address, Payload payload, LongSupplier clock, History history) {
        this.relay = relay;
        this.address = address;
        this.payload = payload;
        this.clock = clock;
        this.history = history;
    }

    @Override
    public void run() {
        long connected = clock.getAsLong();
        long ended = -1;
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(payload.text.getBytes(StandardCharsets.ISO_8859_1));
            // Returns on the first byte of an error response, or when the relay closes the connection.
            socket.getInputStream().read();
            ended = clock.getAsLong();
        } catch (java.net.SocketTimeoutException e) {
            ended = -1;
        } catch (IOException e) {
            ended = clock.getAsLong();
        }
        history.recordBadClient(new History.BadClientResult(relay, payload.name(), connected, ended));
    }
}
