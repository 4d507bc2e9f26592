import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Writes the class archive of the relay (class data sharing). It runs a relay through its usual work, so that the archive
 * holds the classes that the first messages need: a relay that still has to load and link them answers its first clients
 * too late. Stands in for the agent and one endpoint, on free ports of loopback.
 */
final class Training {
    private static final int MESSAGES = 120;
    private static final String CONFIG = """
        {"listen":"127.0.0.1:0","console":"127.0.0.1:0","discovery":"127.0.0.1:%1$d","limits":{"sockets":384,"disk_mb":3},
         "known":{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:%1$d","site":"z","class":"k","block":0,
          "health":"ready","share":1.0,"born_ms":0},{"host":"b","dial":"127.0.0.1:%1$d","site":"z","class":"k","block":0,
          "health":"ready","share":1.0,"born_ms":0}]},
         "settings":{"rank":0,"balancers":2,"localities":["z"],"kinds":["k"],
          "allowed":{"cancel":true,"second-copies":true,"connect-timeout":1000,"keepalive":15000,"most-tries":8,
           "open-cap":60,"retry-after":true,"max-retry-after":2000},
          "family-info":{"call-slots":8,"kind-apart":[false],"bundle-max":[20]},
          "rules":{"stop-sending-within":250,"fall-multiple":2,"tip-after":2000,"cold-from":0.2,"cold":10000},
          "profiles":[{"name":"c","aim":1000,"hard-limit":2000,"semantics":"dedup","group":"all","window":7500,"late-worth":0.5}]}}
        """;
    private static final Pattern SERVING = Pattern.compile("serving on \\S*:(\\d+)"),
        CONSOLE = Pattern.compile("operators at \\S*:(\\d+)"),
        ID = Pattern.compile("\"id\":\"([^\"]*)\"");
    private static final AtomicInteger CALL_COUNT = new AtomicInteger();

    private Training() { }

    public static void main(String[] args) throws Exception {
        Path work = Files.createTempDirectory("training");
        HttpServer peers = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        peers.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        peers.createContext("/v1/servers", exchange -> respond(exchange, 200, listChanges(exchange), 300));
        peers.createContext("/reports", exchange -> respond(exchange, 204, "", 0));
        peers.createContext("/v1/messages", Training::handleCall);
        peers.start();
        Process relay = null;
        try {
            Path config = Files.writeString(work.resolve("config.json"), CONFIG.formatted(peers.getAddress().getPort()));
            Path state = Files.createDirectory(work.resolve("state"));
            ProcessBuilder start = new ProcessBuilder("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-XX:ArchiveClassesAtExit=target/wrenkeel.jsa", "-jar", "target/wrenkeel.jar", "serve");
            start.environment().put("EDGE_CONFIG", config.toString());
            start.environment().put("EDGE_STATE", state.toString());
            relay = start.redirectErrorStream(true).start();
            exercise(relay);
        } finally {
            peers.stop(0);
            if (relay != null && !relay.waitFor(20, TimeUnit.SECONDS)) {
                relay.destroyForcibly();
            }
            try (Stream<Path> paths = Files.walk(work)) {
                for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
        if (!Files.exists(Path.of("target/wrenkeel.jsa"))) {
            throw new IOException("the relay left no archive");
        }
    }

    private static void exercise(Process relay) throws IOException, InterruptedException {
        BufferedReader log = new BufferedReader(new InputStreamReader(relay.getInputStream(), StandardCharsets.UTF_8));
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            Matcher console = CONSOLE.matcher(line);
            if (console.find()) {
                requestConsole(Integer.parseInt(console.group(1)), "ready");
                requestConsole(Integer.parseInt(console.group(1)), "telemetry");
            }
            Matcher serving = SERVING.matcher(line);
            if (serving.find()) {
                for (int i = 0; i < MESSAGES; i++) {
                    submit(Integer.parseInt(serving.group(1)), i);
                }
                Thread.sleep(3_000);
                relay.toHandle().destroy();
            }
        }
    }

    private static void requestConsole(int port, String path) throws IOException {
        URI uri = URI.create("http://127.0.0.1:" + port + "/api/" + path);
        HttpURLConnection operator = (HttpURLConnection) uri.toURL().openConnection();
        operator.getResponseCode();
        operator.disconnect();
    }

    /** Submits a message. Most are valid, and are delivered at once, in batches, after a refusal, or not at all. */
    private static void submit(int port, int i) throws IOException {
        URI uri = URI.create("http://127.0.0.1:" + port + (i % 10 == 9 ? "/other" : "/c"));
        HttpURLConnection client = (HttpURLConnection) uri.toURL().openConnection();
        client.setRequestMethod("POST");
        client.setDoOutput(true);
        client.setRequestProperty("X-Request-ID", "training-" + i);
        client.setRequestProperty("X-Priority-Class", "c");
        client.setRequestProperty("X-Timeout-Ms", "1500");
        client.setRequestProperty("X-Envelope", "dest=0");
        client.setRequestProperty("Idempotency-Key", "key-" + i);
        client.getOutputStream().write(new byte[300]);
        client.getResponseCode();
        client.disconnect();
    }

    /** Returns the answer to a watch: one changed host for a relay that holds the configured list, else no change. */
    private static String listChanges(HttpExchange exchange) {
        boolean hasFirstList = exchange.getRequestURI().toString().contains("after=1&");
        return "{\"seq\":2,\"whole\":false,\"hosts\":["
            + (hasFirstList ? "{\"host\":\"b\",\"dial\":\"127.0.0.1:1\",\"site\":\"z\",\"class\":\"k\",\"block\":0,\"health\":\"draining\"}" : "")
            + "]}";
    }

    private static void handleCall(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.ISO_8859_1);
        switch (CALL_COUNT.incrementAndGet() % 12) {
            case 5 -> respond(exchange, 500, "", 20);
            case 7 -> {
                exchange.getResponseHeaders().set("Retry-After", "0.050");
                respond(exchange, 429, "", 0);
            }
            case 9 -> respond(exchange, 200, "", 1_200);
            default -> respond(exchange, 200,
                exchange.getRequestURI().getPath().endsWith(":batch") ? acceptedStates(body) : "", 20);
        }
    }

    private static String acceptedStates(String body) {
        List<String> states = ID.matcher(body).results()
            .map(id -> "{\"id\":\"" + id.group(1) + "\",\"state\":\"accepted\"}").toList();
        return "[" + String.join(",", states) + "]";
    }

    private static void respond(HttpExchange exchange, int status, String text, long delayMillis) throws IOException {
        exchange.getRequestBody().readAllBytes();
        try {
            Thread.sleep(delayMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, status == 204 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
