package wrenkeel.net;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A destination host on loopback whose responses the test writes one by one: it passes each received call to
 * the test together with its connection. Each connection is read by a thread of its own.
 */
final class StubHost implements AutoCloseable {
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    /** One received call. {@code head} is the request line and the headers. */
    record Call(Socket socket, List<String> head, String body) {
        /** Writes a whole response on the call's connection. */
        void respond(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Returns a header's value; null if the call does not have that header. */
        String header(String name) {
            return head.stream().filter(h -> h.toLowerCase().startsWith(name.toLowerCase() + ": "))
                .map(h -> h.substring(name.length() + 2)).findFirst().orElse(null);
        }
    }

    private final ServerSocket listener = new ServerSocket(0, 50, Platform.LOOPBACK);
    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    /** Connections that the relay has closed. */
    private final BlockingQueue<Socket> closedByRelay = new LinkedBlockingQueue<>();

    StubHost() throws IOException {
        startThread(() -> {
            while (true) {
                Socket socket = listener.accept();
                startThread(() -> {
                    try {
                        while (true) {
                            calls.add(readCall(socket));
                        }
                    } finally {
                        closedByRelay.add(socket);
                    }
                });
            }
        });
    }

    private static Call readCall(Socket socket) throws IOException {
        List<String> head = readHead(socket.getInputStream());
        int length = Integer.parseInt(new Call(socket, head, "").header("Content-Length"));
        return new Call(socket, head,
            new String(socket.getInputStream().readNBytes(length), StandardCharsets.UTF_8));
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns the next call; null if none arrives within {@link Platform#TIMEOUT_SECONDS}. */
    Call nextCall() throws InterruptedException {
        return calls.poll(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Waits until the relay has closed the connection of a call; returns false if it has not within
     * {@link Platform#TIMEOUT_SECONDS} of the last other connection that it closed.
     */
    boolean awaitClosed(Call call) throws InterruptedException {
        for (Socket socket = closedByRelay.poll(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS); socket != null;
                socket = closedByRelay.poll(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            if (socket == call.socket()) {
                return true;
            }
        }
        return false;
    }

    /** True if no call has been received that the test has not yet taken. */
    boolean hasNoCalls() {
        return calls.isEmpty();
    }

    /** Reads the head of a request or response; returns its lines without the empty one that ends it. */
    static List<String> readHead(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        while (!text.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("stream ended within a head, after: " + text);
            }
            text.write(next);
        }
        return text.toString(StandardCharsets.ISO_8859_1).lines().filter(line -> !line.isEmpty()).toList();
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection or the test has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
