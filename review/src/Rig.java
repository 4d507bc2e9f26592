import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.*;
import java.util.stream.*;

/**
 * Shared parts of the cases: starts relays as separate processes by the run line of the deploy file, and has
 * stand-ins of the platform's agent, of endpoints and of clients, on loopback. All lines of the record have the
 * time in milliseconds since the start of the case.
 */
final class Rig implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    final long startNanos = System.nanoTime();
    final Path root;
    final Path folder;
    private final PrintWriter record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    Rig(String recordFile) throws IOException {
        root = Path.of(System.getProperty("root")).toAbsolutePath();
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        log("TROUBLE=" + (TROUBLE ? 1 : 0));
    }

    long ms() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void log(String line) {
        record.println(String.format("%8d %s", ms(), line));
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // A connection has ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A port for a process that is started later: below the range from which the system takes ports itself. */
    static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use: another one.
            }
        }
    }

    /** Ends all processes and deletes the temporary folder. */
    @Override
    public synchronized void close() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        try (Stream<Path> files = Files.exists(folder) ? Files.walk(folder) : Stream.<Path>empty()) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            e.printStackTrace();
        }
    }

    // ---- The relay ----------------------------------------------------------------------------------
    /** One relay: its configuration, its lasting folder, and at most one process at a time. */
    final class Relay {
        final String name;
        final Path home;
        final int port = freePort();
        int consolePort = freePort();
        Process process;
        int starts;

        Relay(String name) throws IOException {
            this.name = name;
            home = Files.createDirectories(folder.resolve(name));
            Files.createDirectories(home.resolve("state"));
        }

        /** Writes the configuration file in one step, with a new seed. */
        void configure(Agent agent, String limits, String known, String settings) throws IOException {
            Path draft = home.resolve("config.new");
            Files.writeString(draft, """
                {"name":"%s","listen":"127.0.0.1:%d","console":"127.0.0.1:%d","discovery":"127.0.0.1:%d",
                 "seed":"%016x","limits":%s,"known":%s,"settings":%s}
                """.formatted(name, port, consolePort, agent.port(), ThreadLocalRandom.current().nextLong(), limits,
                    known, settings));
            Files.move(draft, home.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
        }

        void start(Agent agent) throws IOException {
            Matcher run = Pattern.compile("(?m)^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("no run line in the deploy file");
            }
            Path tmp = Files.createTempDirectory(home, "tmp");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile())
                .redirectErrorStream(true).redirectOutput(home.resolve("log." + ++starts).toFile());
            builder.environment().putAll(Map.of("EDGE_NAME", name, "EDGE_LISTEN", "127.0.0.1:" + port,
                "EDGE_CONSOLE", "127.0.0.1:" + consolePort, "EDGE_DISCOVERY", "127.0.0.1:" + agent.port(),
                "EDGE_STATE", home.resolve("state").toString(),
                "EDGE_CONFIG", home.resolve("config.json").toString(), "TMPDIR", tmp.toString()));
            process = builder.start();
            processes.add(process);
            log(name + " started, process " + process.pid());
        }

        /** Waits until the relay answers the health check; false after 30 s. */
        boolean awaitReady() {
            for (long until = ms() + 30_000; ms() < until; sleep(20)) {
                try (Client client = new Client(port)) {
                    if (client.get("/healthz", 2_000) == 200) {
                        log(name + " ready");
                        return true;
                    }
                } catch (IOException e) {
                    // It does not listen yet.
                }
            }
            return false;
        }

        void signal(String signal) throws IOException {
            log(name + " SIG" + signal);
            try {
                new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).inheritIO().start().waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        void copyLog() throws IOException {
            for (int i = 1; i <= starts; i++) {
                for (String line : Files.readAllLines(home.resolve("log." + i))) {
                    log(name + " log " + i + ": " + line);
                }
            }
        }
    }

    // ---- HTTP ---------------------------------------------------------------------------------------
    /** A request or an answer. */
    record Head(String first, Map<String, String> headers) {
        int length() {
            return Integer.parseInt(headers.getOrDefault("content-length", "0"));
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException(line.size() == 0 ? "end" : "end within a line");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    static Head head(InputStream in) throws IOException {
        String first = line(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return new Head(first, headers);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- Clients ------------------------------------------------------------------------------------
    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2_000);
        }

        int get(String path, int timeoutMs) throws IOException {
            socket.getOutputStream().write(bytes("GET " + path + " HTTP/1.1\r\nHost: api.internal\r\n\r\n"));
            return status(timeoutMs);
        }

        /** Reads one answer. */
        int status(int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            Head head = head(socket.getInputStream());
            socket.getInputStream().readNBytes(head.length());
            return Integer.parseInt(head.first.split(" ")[1]);
        }

        static byte[] request(String id, String messageClass, int dest, long timeoutMs, byte[] body) {
            byte[] head = bytes("POST /" + messageClass + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + messageClass + "\r\nX-Timeout-Ms: " + timeoutMs
                + "\r\nIdempotency-Key: key" + id + "\r\nContent-Length: " + body.length
                + "\r\nX-Envelope: dest=" + dest + "\r\n\r\n");
            byte[] all = Arrays.copyOf(head, head.length + body.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            return all;
        }

        /** Hands in a message; throws SocketTimeoutException if there is no answer in time. */
        int post(String id, String messageClass, int dest, long timeoutMs, byte[] body, int answerWithinMs)
            throws IOException {
            socket.getOutputStream().write(request(id, messageClass, dest, timeoutMs, body));
            return status(answerWithinMs);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // ---- The agent ----------------------------------------------------------------------------------
    /** A stand-in of discovery's agent: the list, watches and notices. */
    final class Agent {
        private final ServerSocket listener = new ServerSocket(0, 200, LOOPBACK);
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private long version = 1;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Long> versions = new HashMap<>();
        /** Time of the first notice, by message, and its outcome. */
        final Map<String, Long> noticeMs = new ConcurrentHashMap<>();
        final Map<String, String> noticeOutcome = new ConcurrentHashMap<>();

        Agent() throws IOException {
            thread(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    thread(() -> serve(socket));
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        /** Adds or changes an endpoint. */
        synchronized void put(String host, int port, int block, String kind, String health) {
            entries.put(host, ("{\"host\":\"%s\",\"dial\":\"127.0.0.1:%d\",\"site\":\"a\",\"class\":\"%s\",\"block\":%d,"
                + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":0}").formatted(host, port, kind, block, health));
            versions.put(host, ++version);
            notifyAll();
        }

        synchronized String whole() {
            return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + entries.values().stream()
                .filter(entry -> !entry.contains("\"gone\"")).collect(Collectors.joining(",")) + "]}";
        }

        private synchronized String changes(long after) {
            return "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[" + entries.keySet().stream()
                .filter(host -> versions.get(host) > after).map(entries::get).collect(Collectors.joining(","))
                + "]}";
        }

        private synchronized void await(long after, long waitMs) throws InterruptedException {
            for (long until = ms() + waitMs; version <= after && ms() < until;) {
                wait(Math.max(1, until - ms()));
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = socket.getInputStream();
                while (true) {
                    Head request = head(in);
                    byte[] body = in.readNBytes(request.length());
                    String answer;
                    if (request.first.startsWith("POST")) {
                        for (String line : new String(body, StandardCharsets.UTF_8).split("\n")) {
                            String id = field(line, "message");
                            log("notice " + line);
                            noticeOutcome.putIfAbsent(id, field(line, "outcome"));
                            noticeMs.putIfAbsent(id, ms());
                        }
                        answer = "HTTP/1.1 204 No Content\r\n\r\n";
                    } else {
                        Matcher after = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)").matcher(request.first);
                        String list;
                        if (after.find()) {
                            await(Long.parseLong(after.group(1)), Long.parseLong(after.group(2)));
                            list = changes(Long.parseLong(after.group(1)));
                        } else {
                            list = whole();
                        }
                        answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                            + list.length() + "\r\n\r\n" + list;
                    }
                    socket.getOutputStream().write(bytes(answer));
                }
            } finally {
                open.remove(socket);
            }
        }

        /** Takes no new connections, and closes the open ones after 1.5 s, as an address that was left. */
        void retire() throws IOException {
            listener.close();
            thread(() -> {
                sleep(1_500);
                for (Socket socket : open) {
                    socket.close();
                }
            });
        }
    }

    static String field(String json, String name) {
        Matcher field = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return field.find() ? field.group(1) : null;
    }

    // ---- Endpoints ----------------------------------------------------------------------------------
    /** A call that has come whole. */
    record Call(Socket socket, Head head, byte[] body, long atMs, int number) {
        String id() {
            return head.headers.get("x-request-id");
        }

        boolean isBatch() {
            return head.first.contains(":batch");
        }

        List<String> ids() {
            if (!isBatch()) {
                return List.of(id());
            }
            List<String> ids = new ArrayList<>();
            Matcher id = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]*)\"").matcher(new String(body, StandardCharsets.UTF_8));
            while (id.find()) {
                ids.add(id.group(1));
            }
            return ids;
        }

        void answer(int status, String headers, String text) throws IOException {
            socket.getOutputStream().write(bytes("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: "
                + text.length() + "\r\n\r\n" + text));
        }

        /** Answers 200, for a batch with the state for each message. */
        void accept() throws IOException {
            answer(200, "", !isBatch() ? "ok" : ids().stream()
                .map(id -> "{\"id\":\"" + id + "\",\"state\":\"accepted\"}").collect(Collectors.joining(",", "[", "]")));
        }
    }

    interface Handler {
        void handle(Call call) throws Exception;
    }

    /** A stand-in of an endpoint: reads whole calls and passes each to a handler, on the connection's thread. */
    final class Endpoint {
        final String name;
        private final ServerSocket listener = new ServerSocket(0, 200, LOOPBACK);
        private final AtomicInteger calls = new AtomicInteger();
        final AtomicInteger connections = new AtomicInteger();

        Endpoint(String name, Handler handler) throws IOException {
            this.name = name;
            thread(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    connections.incrementAndGet();
                    socket.setTcpNoDelay(true);
                    thread(() -> {
                        try (socket) {
                            while (true) {
                                Head head = head(socket.getInputStream());
                                byte[] body = socket.getInputStream().readNBytes(head.length());
                                Call call = new Call(socket, head, body, ms(), calls.incrementAndGet());
                                log(name + " call " + call.number + ": " + String.join(" ", call.ids()));
                                handler.handle(call);
                            }
                        }
                    });
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }
    }

    /** The settings of a small deployment, with these classes (JSON) and kinds. */
    static String settings(int slots, int openCap, boolean secondCopies, String kinds, String kindApart,
                           String bundleMax, String profiles) {
        return """
            {"rank":0,"balancers":1,"zone":0,"localities":["a"],"kinds":%s,"weights":"none","novel":[1],
             "allowed":{"cancel":true,"second-copies":%s,"connect-timeout":1000,"keepalive":15000,"most-tries":8,
              "open-cap":%d,"max-streams":1,"retry-after":true,"max-retry-after":2000,"probes":true},
             "family-info":{"call-slots":%d,"kind-apart":%s,"bundle-max":%s},
             "rules":{"stop-sending-within":250,"fall-multiple":2,"tip-after":2000,"cold-from":0.18,"cold":10000},
             "profiles":%s}""".formatted(kinds, secondCopies, openCap, slots, kindApart, bundleMax, profiles);
    }

    static String limits(int memoryMb, int sockets) {
        return "{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + ",\"disk_mb\":3}";
    }
}
