import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A class whose messages go in turn by their key. While the first message of each key runs at its endpoint, the
 * process of the relay is replaced; then the second message of the key is submitted. Does it wait for its turn?
 */
final class OrderAcrossReplacement extends Play {
    private static final int KEYS = 4;
    private static final long SERVICE_MILLIS = 1_300;
    /** By key: the message that runs. */
    private final Map<Integer, String> running = new ConcurrentHashMap<>();
    private final AtomicInteger begun = new AtomicInteger();
    private final AtomicInteger overtaken = new AtomicInteger();

    public static void main(String[] args) {
        new OrderAcrossReplacement().run(args);
    }

    private Endpoint.Answer answer(int key, Endpoint.Call call) throws InterruptedException {
        String id = call.ids.get(0);
        if (id.startsWith("f")) {
            Thread.sleep(40);
            return Endpoint.Answer.delivered(call);
        }
        String before = running.putIfAbsent(key, id);
        begun.incrementAndGet();
        note("key " + key + ": " + id + " begins at its endpoint"
            + (before == null ? "" : " while " + before + " runs"));
        if (before != null) {
            overtaken.incrementAndGet();
        }
        Thread.sleep(SERVICE_MILLIS);
        running.remove(key, id);
        note("key " + key + ": " + id + " is answered");
        return Endpoint.Answer.delivered(call);
    }

    @Override
    boolean play() throws Exception {
        Agent agent = new Agent(this, freePort());
        StringBuilder list = new StringBuilder();
        for (int i = 1; i <= KEYS; i++) {
            int key = i;
            Endpoint endpoint = new Endpoint(this, "s-0000000" + i, freePort(), call -> answer(key, call));
            list.append(i > 1 ? "," : "").append(Agent.entry(endpoint.name, endpoint.port, i, "m1", "ready"));
        }
        agent.list(1, list.toString());
        Settings.Relaying ports = new Settings.Relaying(freePort(), freePort(), agent.port);
        Settings settings = new Settings();
        settings.keyRestMillis = 1_000;
        settings.profiles =
            Settings.profile("delivery", "dedup", 3_000, 28_000, ",\"window\":7500,\"sequential\":true");
        Path shared = Relay.prepare(this, settings.config(ports, agent.wholeList()));
        Relay first = new Relay(this, "first", shared, ports.listenPort(), ports.consolePort(), agent.port);
        first.awaitServing();
        for (int i = 0; i < 10; i++) {
            for (int key = 1; key <= KEYS; key++) {
                submit(ports.listenPort(), key, String.format("f%015x", 16 * key + i), "");
            }
            Thread.sleep(200);
        }
        if (trouble) {
            new Relay(this, "second", shared, ports.listenPort(), freePort(), agent.port).awaitReady();
        }
        for (int key = 1; key <= KEYS; key++) {
            submit(ports.listenPort(), key, String.format("%016x", 0x3001 + 16 * key),
                "X-Route-Key: account-" + key + "\r\n");
        }
        for (int i = 0; i < 100 && begun.get() < KEYS; i++) {
            Thread.sleep(10);
        }
        if (begun.get() < KEYS) {
            throw new CannotRun("the first messages did not all begin within 1 s");
        }
        if (trouble) {
            first.terminate();
        }
        Thread.sleep(400);
        for (int key = 1; key <= KEYS; key++) {
            submit(ports.listenPort(), key, String.format("%016x", 0x3002 + 16 * key),
                "X-Route-Key: account-" + key + "\r\n");
        }
        Thread.sleep(3_000);
        if (trouble && first.isAlive()) {
            first.kill();
        }
        Thread.sleep(7_000);
        note(overtaken + " of " + KEYS + " second messages began while the first of their key ran; " + begun
            + " calls in all");
        if (begun.get() < 2 * KEYS && overtaken.get() == 0) {
            throw new CannotRun("not every message has reached its endpoint");
        }
        return overtaken.get() == 0;
    }

    private void submit(int port, int key, String id, String headers) throws CannotRun {
        Http.Answer answer = Http.exchange(port, Http.submission("delivery", key, id, 16_000,
            headers + "Connection: close\r\n", "message"), 400);
        note("destination " + key + ": client submits " + id + (headers.isEmpty() ? "" : " with key " + key)
            + ": " + (answer == null ? "no answer" : answer.status()));
        if (answer == null || answer.status() != 202) {
            throw new CannotRun("a message was not taken on");
        }
    }
}
