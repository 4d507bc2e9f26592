import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An endpoint. It takes calls with one or several messages and leaves the answer to its {@link Behaviour}. A
 * call begins with the last byte of its request and is open until its answer is written or its connection ends.
 */
final class Endpoint implements AutoCloseable {
    private static final Pattern ID = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]*)\"");

    /** Answers calls. */
    interface Behaviour {
        /** Returns the bytes of the answer, and may wait before. Null closes the connection unanswered. */
        Answer answer(Call call) throws InterruptedException;
    }

    /** What is written, and whether the connection is closed after that. */
    record Answer(String text, boolean close) {
        static Answer of(String status, String headers, String body) {
            return new Answer("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length()
                + "\r\n\r\n" + body, false);
        }

        /** Every message of the call is delivered. */
        static Answer delivered(Call call) {
            return of("200 OK", "", call.isBatch() ? states(call, "accepted") : "");
        }

        static String states(Call call, String state) {
            StringBuilder body = new StringBuilder("[");
            for (String id : call.ids) {
                body.append(body.length() > 1 ? "," : "").append("{\"id\":\"").append(id)
                    .append("\",\"state\":\"").append(state).append("\"}");
            }
            return body.append("]").toString();
        }
    }

    /** One call. */
    static final class Call {
        final Endpoint endpoint;
        final List<String> ids;
        final boolean batch;
        final long beganMillis;
        final String body;
        private final Socket socket;

        private Call(Endpoint endpoint, Socket socket, List<String> ids, boolean batch, String body,
                     long beganMillis) {
            this.endpoint = endpoint;
            this.socket = socket;
            this.ids = ids;
            this.batch = batch;
            this.body = body;
            this.beganMillis = beganMillis;
        }

        boolean isBatch() {
            return batch;
        }

        /** Resets the connection. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // The connection has ended already.
            }
        }

        /** Waits until the relay gives the call up by closing its connection or ending its sending. */
        void awaitGivenUp() {
            try {
                while (socket.getInputStream().read() >= 0) {
                    // Nothing more is sent on it.
                }
            } catch (IOException e) {
                // Reset: given up as well.
            }
        }
    }

    private final Play play;
    final String name;
    final int port;
    private final Behaviour behaviour;
    private final ServerSocket listener;
    private final List<Socket> sockets = new ArrayList<>();

    Endpoint(Play play, String name, int port, Behaviour behaviour) throws IOException {
        this.play = play;
        this.name = name;
        this.port = port;
        this.behaviour = behaviour;
        listener = new ServerSocket(port, 100, InetAddress.getByName("127.0.0.1"));
        play.closing(this);
        Thread thread = new Thread(this::accept);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                synchronized (sockets) {
                    sockets.add(socket);
                }
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(socket.getInputStream()); request != null;
                 request = Http.read(socket.getInputStream())) {
                boolean batch = request.path().equals("/v1/messages:batch");
                List<String> ids = new ArrayList<>();
                if (batch) {
                    Matcher id = ID.matcher(request.text());
                    while (id.find()) {
                        ids.add(id.group(1));
                    }
                } else {
                    ids.add(request.headers().get("x-request-id"));
                }
                Call call = new Call(this, socket, ids, batch, request.text(), play.millis());
                Answer answer = behaviour.answer(call);
                if (answer == null) {
                    return;
                }
                out.write(answer.text().getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                if (answer.close()) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The relay has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        synchronized (sockets) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
