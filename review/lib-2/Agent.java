import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The discovery agent: whole lists, watches, and notices, which it answers 204 at once. */
final class Agent implements AutoCloseable {
    private static final Pattern AFTER = Pattern.compile("[?&]after=(-?\\d+)");
    private static final Pattern WAIT = Pattern.compile("[?&]wait_ms=(\\d+)");
    private static final Pattern NOTICE =
        Pattern.compile("\"message\"\\s*:\\s*\"([^\"]*)\"\\s*,\\s*\"outcome\"\\s*:\\s*\"([^\"]*)\"");

    private final Play play;
    private final ServerSocket listener;
    final int port;
    private long version;
    private String hosts = "";
    /** Each answer about the list is written this late; notices are not delayed. */
    volatile long listDelayMillis;
    /** The first notice of each message, and when it came. */
    final Map<String, Notice> notices = new ConcurrentHashMap<>();
    private final List<Socket> sockets = new ArrayList<>();

    record Notice(String outcome, long atMillis) { }

    Agent(Play play, int port) throws IOException {
        this.play = play;
        this.port = port;
        listener = new ServerSocket(port, 100, InetAddress.getByName("127.0.0.1"));
        play.closing(this);
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sets a new whole list. The entries are JSON objects. */
    synchronized void list(long newVersion, String entries) {
        version = newVersion;
        hosts = entries;
        notifyAll();
    }

    static String entry(String host, int port, long destination, String kind, String health) {
        return entry(host, port, "a", destination, kind, health);
    }

    static String entry(String host, int port, String zone, long destination, String kind, String health) {
        return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"" + zone
            + "\",\"class\":\"" + kind + "\",\"block\":" + destination + ",\"health\":\"" + health
            + "\",\"share\":1.0,\"born_ms\":0}";
    }

    synchronized String wholeList() {
        return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + hosts + "]}";
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                synchronized (sockets) {
                    sockets.add(socket);
                }
                start(() -> serve(socket));
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
                if (request.path().startsWith("/reports")) {
                    Matcher notice = NOTICE.matcher(request.text());
                    while (notice.find()) {
                        if (notices.putIfAbsent(notice.group(1),
                            new Notice(notice.group(2), play.millis())) == null) {
                            play.note("notice: " + notice.group(1) + " " + notice.group(2));
                        }
                    }
                    out.write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                } else {
                    String body = listFor(request.path());
                    out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
                }
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The relay has closed the connection.
        }
    }

    /** Waits as a watch asks for; each answer is the whole list, or no change. */
    private String listFor(String path) throws InterruptedException {
        Matcher after = AFTER.matcher(path);
        Matcher wait = WAIT.matcher(path);
        long known = after.find() ? Long.parseLong(after.group(1)) : -1;
        String body;
        synchronized (this) {
            long end = System.nanoTime() / 1_000_000 + (wait.find() ? Long.parseLong(wait.group(1)) : 0);
            for (long left = end - System.nanoTime() / 1_000_000; known >= version && left > 0;
                 left = end - System.nanoTime() / 1_000_000) {
                wait(left);
            }
        }
        Thread.sleep(listDelayMillis);
        synchronized (this) {
            body = known >= version ? "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[]}" : wholeList();
        }
        return body;
    }

    /** Takes no new connections from now on; the open ones go on. */
    void stopAccepting() throws IOException {
        listener.close();
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
