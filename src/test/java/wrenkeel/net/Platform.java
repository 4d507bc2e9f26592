package wrenkeel.net;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What a relay needs round it, on loopback: an agent of discovery and its configuration; scripted by the test. */
final class Platform implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final long TIMEOUT_SECONDS = 30;

    final BlockingQueue<String> notices = new LinkedBlockingQueue<>();
    /** Statuses for the next notices; 204 when none is left. */
    final BlockingQueue<Integer> noticeStatuses = new LinkedBlockingQueue<>();
    /** Notices that hold this text are answered 400. */
    volatile String rejectedText = "\0";
    /** Answers to the next watches that wait. */
    final BlockingQueue<String> watchResponses = new LinkedBlockingQueue<>();
    /** The answer to calls for the list that do not wait, each time; the agent is silent while there is none. */
    final BlockingQueue<String> immediateResponses = new LinkedBlockingQueue<>(List.of(listJson(1, false)));
    /** The queries of all calls for the list. */
    final BlockingQueue<String> listQueries = new LinkedBlockingQueue<>();
    private final HttpServer agent;
    private final Path folder;

    Platform(Path folder) throws IOException {
        this.folder = folder;
        agent = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 0);
        agent.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        agent.createContext("/reports", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Integer status = body.contains(rejectedText) ? (Integer) 400 : noticeStatuses.poll();
            exchange.sendResponseHeaders(status == null ? 204 : status, -1);
            exchange.close();
            body.lines().forEach(notices::add);
        });
        agent.createContext("/v1/servers", exchange -> {
            try {
                String query = String.valueOf(exchange.getRequestURI().getQuery());
                listQueries.add(query);
                boolean isWatch = query.contains("wait_ms=") && !query.endsWith("wait_ms=1");
                byte[] list = (isWatch ? watchResponses.take() : immediateResponses.take()).getBytes(StandardCharsets.UTF_8);
                if (!isWatch) {
                    immediateResponses.add(new String(list, StandardCharsets.UTF_8));
                }
                exchange.sendResponseHeaders(200, list.length);
                exchange.getResponseBody().write(list);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            exchange.close();
        });
        agent.start();
    }

    static String hostJson(String name, int port, int block, String health) {
        return hostJson(name, "m2", port, block, health);
    }

    static String hostJson(String name, String kind, int port, int block, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"a\",\"class\":\"" + kind
            + "\",\"block\":" + block + ",\"health\":\"" + health + "\",\"share\":50,\"born_ms\":0}";
    }

    static String listJson(int version, boolean whole, String... hosts) {
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    /** Starts a relay that knows these hosts; classes: bill (keyed), pay (unsafe); m3 takes two messages a call. */
    Node startRelay(String... hosts) throws Exception {
        return new Node(writeConfig(hosts));
    }

    /** A port that nobody uses now; several relays are to share it. */
    int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    Config writeConfig(String... hosts) throws Exception {
        return writeConfig("127.0.0.1:0", hosts);
    }

    Config writeConfig(String listen, String[] hosts) throws Exception {
        Path file = folder.resolve("config.json");
        Files.createDirectories(folder.resolve("state"));
        Files.writeString(file, """
            {"name":"n0","listen":"%s","console":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
             "limits":{"sockets":1024,"disk_mb":3},"known":%s,
             "settings":{"rank":0,"balancers":1,"zone":0,"localities":["a","b"],"kinds":["m1","m2","m3"],
              "weights":"rough","novel":[1],
              "allowed":{"cancel":true,"second-copies":false,"connect-timeout":800,"keepalive":15000,"most-tries":12,
               "open-cap":4,"max-streams":1,"retry-after":true,"max-retry-after":3000},
              "family-info":{"call-slots":8,"kind-apart":[true,true,true],"bundle-max":[1,1,2]},
              "rules":{"stop-sending-within":250,"fall-multiple":2,"tip-after":3000,"cold-from":0.2,"cold":12000},
              "profiles":[{"name":"bill","aim":2000,"hard-limit":16000,"semantics":"dedup","window":15000},
               {"name":"pay","aim":2000,"hard-limit":16000,"semantics":"fragile"}]}}
            """.formatted(listen, agent.getAddress().getPort(), listJson(1, true, hosts)));
        return Config.read(environment());
    }

    /** The latest configuration, with another address of discovery. */
    Config configWithDiscoveryAt(int discoveryPort) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Files.readString(file).replace("127.0.0.1:" + agent.getAddress().getPort(),
            "127.0.0.1:" + discoveryPort));
        return Config.read(environment());
    }

    Map<String, String> environment() {
        return Map.of("EDGE_CONFIG", folder.resolve("config.json").toString(),
            "EDGE_STATE", folder.resolve("state").toString());
    }

    /** The file that the latest process writes. */
    Path journalFile() throws IOException {
        return journalFile(folder.resolve("state"));
    }

    static Path journalFile(Path state) throws IOException {
        try (Stream<Path> files = Files.list(state)) {
            return files.filter(file -> file.getFileName().toString().matches("journal\\.[0-9]+"))
                .max(Comparator.comparingInt(file -> Integer.parseInt(file.getFileName().toString().substring(8))))
                .orElseThrow();
        }
    }

    /** What a relay that has ended left behind. */
    Journal openJournal() throws IOException {
        Journal journal = new Journal(folder.resolve("state"), 3_000_000);
        journal.adopt(entry -> { });
        return journal;
    }

    String nextNotice() throws InterruptedException {
        return notices.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        agent.stop(0);
    }

    /** One client connection. */
    static final class Client implements AutoCloseable {
        private final Socket socket;

        Client(Node relay) throws IOException {
            this(relay.address());
        }

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        }

        static List<String> headers(String id, String messageClass, int destination, long timeoutMillis) {
            return List.of("X-Request-ID: " + id, "X-Priority-Class: " + messageClass, "X-Timeout-Ms: " + timeoutMillis,
                "Idempotency-Key: key-" + id, "X-Envelope: dest=" + destination);
        }

        /** Hands a message in; the answer's head, with its status line first. */
        List<String> post(String id, String messageClass, int destination, long timeoutMillis) throws IOException {
            return post("/" + messageClass, headers(id, messageClass, destination, timeoutMillis), "bill \u00e4\0 of " + id);
        }

        List<String> post(String path, List<String> headers, String text) throws IOException {
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            return exchange("POST " + path + " HTTP/1.1\r\nHost: api.internal\r\n" + String.join("\r\n", headers)
                + "\r\nContent-Length: " + body.length + "\r\n\r\n", body);
        }

        List<String> exchange(String head, byte[] body) throws IOException {
            write(head);
            socket.getOutputStream().write(body);
            return readResponseHead();
        }

        /** Part of a request. */
        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** The head of the next answer. */
        List<String> readResponseHead() throws IOException {
            return StubHost.readHead(socket.getInputStream());
        }

        /** True once the relay has closed the connection. */
        boolean isClosed() throws IOException {
            try {
                return socket.getInputStream().read() < 0;
            } catch (SocketException e) {
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
