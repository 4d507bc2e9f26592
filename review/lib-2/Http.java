import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Plain HTTP/1.1 messages with a Content-Length, read from blocking sockets. */
final class Http {
    private Http() { }

    /** A request or an answer; the keys of the headers are in lower case. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String path() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** The answer to a request. */
    record Answer(int status, Map<String, String> headers, byte[] body) { }

    /** Reads a message; null at the end of the stream before its first byte. */
    static Message read(InputStream in) throws IOException {
        String firstLine = readLine(in);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new IOException("the stream ends within a head");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the stream ends within a body");
        }
        return new Message(firstLine, headers, body);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        for (; b >= 0 && b != '\n'; b = in.read()) {
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads an answer; null if the connection ends without one. */
    static Answer readAnswer(InputStream in) throws IOException {
        Message message = read(in);
        return message == null ? null
            : new Answer(Integer.parseInt(message.firstLine.split(" ")[1]), message.headers, message.body);
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
        return socket;
    }

    /** Sends a request on a connection of its own; null if there is no answer. */
    static Answer exchange(int port, String request, int timeoutMillis) {
        try (Socket socket = connect(port)) {
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return readAnswer(socket.getInputStream());
        } catch (IOException e) {
            return null;
        }
    }

    /** The text of a client's request. */
    static String submission(String messageClass, long destination, String id, long timeoutMillis,
                             String extraHeaders, String body) {
        return "POST /" + messageClass + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id
            + "\r\nX-Priority-Class: " + messageClass + "\r\nX-Timeout-Ms: " + timeoutMillis
            + "\r\nIdempotency-Key: k" + id + "\r\nX-Envelope: dest=" + destination + "\r\n" + extraHeaders
            + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
