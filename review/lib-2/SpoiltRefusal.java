import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint runs messages of a class that may not be repeated, and some of its answers are spoilt: the
 * connection ends in the middle of the body. Is a message with such an answer sent again?
 */
final class SpoiltRefusal extends Play {
    private static final int MESSAGES = 30;
    private static final int EVERY = 6;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger calls = new AtomicInteger();

    public static void main(String[] args) {
        new SpoiltRefusal().run(args);
    }

    private Endpoint.Answer answer(Endpoint.Call call) throws InterruptedException {
        String id = call.ids.get(0);
        int run = runs.computeIfAbsent(id, k -> new AtomicInteger()).incrementAndGet();
        boolean spoilt = trouble && run == 1 && calls.incrementAndGet() % EVERY == 0;
        note("endpoint runs " + id + ", run " + run + (spoilt ? ", its answer is spoilt" : ""));
        Thread.sleep(40);
        return spoilt ? new Endpoint.Answer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 64\r\n\r\n"
            + "the rest of this body is mi", true) : Endpoint.Answer.delivered(call);
    }

    @Override
    boolean play() throws Exception {
        Endpoint endpoint = new Endpoint(this, "s-0000000a", freePort(), this::answer);
        Agent agent = new Agent(this, freePort());
        agent.list(1, Agent.entry(endpoint.name, endpoint.port, 1, "m1", "ready"));
        Settings.Relaying ports = new Settings.Relaying(freePort(), freePort(), agent.port);
        Settings settings = new Settings();
        settings.profiles = Settings.profile("selo", "fragile", 3_000, 12_000, "");
        Relay relay = new Relay(this, "first", Relay.prepare(this,
            settings.config(ports, agent.wholeList())), ports.listenPort(), ports.consolePort(), agent.port);
        relay.awaitServing();
        int accepted = 0;
        for (int i = 0; i < MESSAGES; i++) {
            String id = String.format("%016x", 0x1000 + i);
            Http.Answer answer = Http.exchange(relay.listenPort,
                Http.submission("selo", 1, id, 12_000, "Connection: close\r\n", "message " + i), 400);
            note("client submits " + id + ": " + (answer == null ? "no answer" : answer.status()));
            accepted += answer != null && answer.status() == 202 ? 1 : 0;
            Thread.sleep(150);
        }
        Thread.sleep(13_000);
        if (accepted < MESSAGES / 2) {
            throw new CannotRun("only " + accepted + " messages were taken on");
        }
        long twice = runs.values().stream().filter(n -> n.get() > 1).count();
        note(accepted + " messages taken on, " + runs.size() + " run, " + twice + " of them more than once");
        return twice == 0;
    }
}
