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

/**
 * The environment of a relay, on loopback and scripted by the test: a discovery agent, which serves host
 * lists and receives notices, and the relay's configuration file and state folder.
 */
final class Platform implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** How long a test waits for something that must happen. */
    static final long TIMEOUT_SECONDS = 30;

    /** The notices received, one JSON object each. */
    final BlockingQueue<String> notices = new LinkedBlockingQueue<>();
    /** Response statuses of the next posts of notices; 204 when none is left. */
    final BlockingQueue<Integer> noticeStatuses = new LinkedBlockingQueue<>();
    /** Posts that contain this text are answered 400; by default there are none. */
    volatile String rejectedText = "\0";
    /** Responses to the next watches, that is to requests for the list that may wait for a change. */
    final BlockingQueue<String> watchResponses = new LinkedBlockingQueue<>();
    /**
     * The response to every request for the list that does not wait. While it is missing, the agent does not
     * respond to them.
     */
    final BlockingQueue<String> immediateResponses = new LinkedBlockingQueue<>(List.of(listJson(1, false)));
    /** The query strings of all requests for the list. */
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
                byte[] list = (isWatch ? watchResponses.take() : immediateResponses.take())
                    .getBytes(StandardCharsets.UTF_8);
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

    /**
     * Returns a host's entry for a list, of kind m2.
     *
     * @param health "ready", "draining" or "gone"
     */
    static String hostJson(String name, int port, int destination, String health) {
        return hostJson(name, "m2", port, destination, health);
    }

    static String hostJson(String name, String kind, int port, int destination, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port
            + "\",\"site\":\"a\",\"class\":\"" + kind + "\",\"block\":" + destination
            + ",\"health\":\"" + health + "\",\"share\":50,\"born_ms\":0}";
    }

    /** Returns a host list; one that is not whole holds only the changed hosts. */
    static String listJson(int version, boolean whole, String... hosts) {
        return "{\"seq\":" + version + ",\"whole\":" + whole
            + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    /**
     * Starts a relay whose configuration lists these hosts. Its message classes are bill (keyed) and pay
     * (unsafe); hosts of kind m3 take up to two messages in a call.
     */
    Node startRelay(String... hosts) throws Exception {
        return new Node(writeConfig(hosts));
    }

    /** Returns a port that is currently unused, for relays that are to share one. */
    int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** Writes the configuration file, with any free port for the clients, and reads it. */
    Config writeConfig(String... hosts) throws Exception {
        return writeConfig("127.0.0.1:0", hosts);
    }

    /** Writes the configuration file with these hosts and this address for the clients, and reads it. */
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
              "profiles":[{"name":"bill","aim":2000,"hard-limit":16000,"semantics":"dedup",
                "group":"all","window":15000},
               {"name":"pay","aim":2000,"hard-limit":16000,"semantics":"fragile"}]}}
            """.formatted(listen, agent.getAddress().getPort(), listJson(1, true, hosts)));
        return Config.read(environment());
    }

    /** Changes the port of discovery in the configuration file, and reads it. */
    Config configWithDiscoveryAt(int discoveryPort) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Files.readString(file).replace("127.0.0.1:" + agent.getAddress().getPort(),
            "127.0.0.1:" + discoveryPort));
        return Config.read(environment());
    }

    /** Returns the address of the discovery agent. */
    String agentAddress() {
        return "127.0.0.1:" + agent.getAddress().getPort();
    }

    /** Returns the EDGE_* variables for the relay. */
    Map<String, String> environment() {
        return Map.of("EDGE_CONFIG", folder.resolve("config.json").toString(),
            "EDGE_STATE", folder.resolve("state").toString());
    }

    /** Returns the journal file of the latest process. */
    Path journalFile() throws IOException {
        return journalFile(folder.resolve("state"));
    }

    /** Returns the journal file with the highest number in a state folder. */
    static Path journalFile(Path state) throws IOException {
        try (Stream<Path> files = Files.list(state)) {
            return files.filter(file -> file.getFileName().toString().matches("journal\\.[0-9]+"))
                .max(Comparator.comparingInt(
                    file -> Integer.parseInt(file.getFileName().toString().substring(8))))
                .orElseThrow();
        }
    }

    /** Opens the journal of a relay that has ended and adopts what that relay left in it. */
    Journal openJournal() throws IOException {
        Journal journal = new Journal(folder.resolve("state"), 3_000_000);
        journal.adopt(entry -> { });
        return journal;
    }

    /** Returns the next notice; null if none arrives within {@link #TIMEOUT_SECONDS}. */
    String nextNotice() throws InterruptedException {
        return notices.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        agent.stop(0);
    }

    /** A client with one connection. Reads time out after {@link #TIMEOUT_SECONDS}. */
    static final class Client implements AutoCloseable {
        private final Socket socket;

        Client(Node relay) throws IOException {
            this(relay.address());
        }

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        }

        /**
         * Connects to the process that takes over, while the other one may still listen at the address: a
         * connect to that one may fail, and its health check does.
         */
        static Client ofServingProcess(InetSocketAddress address) throws InterruptedException {
            while (true) {
                try {
                    Client client = new Client(address);
                    String head = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
                    if (client.exchange(head, new byte[0]).get(0).contains("200")) {
                        return client;
                    }
                    client.close();
                } catch (IOException e) {
                    Thread.sleep(5);
                }
            }
        }

        /** Returns the headers of a request that submits a message, without Host and Content-Length. */
        static List<String> headers(String id, String messageClass, int destination, long timeoutMillis) {
            return List.of("X-Request-ID: " + id, "X-Priority-Class: " + messageClass,
                "X-Timeout-Ms: " + timeoutMillis, "Idempotency-Key: key-" + id,
                "X-Envelope: dest=" + destination);
        }

        /** Submits a message; returns the lines of the response's head, the status line first. */
        List<String> post(String id, String messageClass, int destination, long timeoutMillis)
            throws IOException {
            return post("/" + messageClass, headers(id, messageClass, destination, timeoutMillis),
                "bill \u00e4\0 of " + id);
        }

        List<String> post(String path, List<String> headers, String text) throws IOException {
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            return exchange("POST " + path + " HTTP/1.1\r\nHost: api.internal\r\n"
                + String.join("\r\n", headers)
                + "\r\nContent-Length: " + body.length + "\r\n\r\n", body);
        }

        /** Writes a request; returns the lines of the response's head. */
        List<String> exchange(String head, byte[] body) throws IOException {
            write(head);
            socket.getOutputStream().write(body);
            return readResponseHead();
        }

        /** Writes part of a request. */
        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Reads the head of the next response. */
        List<String> readResponseHead() throws IOException {
            return StubHost.readHead(socket.getInputStream());
        }

        /** Reads one byte; returns true if the relay has closed or reset the connection instead. */
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
