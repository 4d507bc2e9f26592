import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints of each zone drop repeats among themselves, and some connections are reset under requests that
 * have begun. The configuration file is replaced by one that lacks a key. Is a message then run in two zones?
 */
final class BrokenFile extends Play {
    private static final int MESSAGES = 40;
    private static final int RESET_EVERY = 5;
    private static final long WINDOW_MILLIS = 7_500;
    /** By zone and message: when it was run. */
    private final Map<String, Long> ran = new HashMap<>();
    /** By message: the zones in which it ran. */
    private final Map<String, Set<String>> zones = new HashMap<>();
    private final Set<String> reset = new HashSet<>();
    private int firstRuns;

    public static void main(String[] args) {
        new BrokenFile().run(args);
    }

    /** Runs a message, or drops it as a repeat; returns whether the connection is to be reset. */
    private synchronized boolean run(String zone, String id) {
        Long before = ran.get(zone + id);
        if (before != null && millis() - before <= WINDOW_MILLIS) {
            note("zone " + zone + " drops " + id + " as a repeat");
            return false;
        }
        ran.put(zone + id, millis());
        boolean first = zones.computeIfAbsent(id, k -> new HashSet<>()).isEmpty();
        zones.get(id).add(zone);
        boolean cut = first && ++firstRuns % RESET_EVERY == 0 && reset.add(id);
        note("zone " + zone + " runs " + id + (first ? "" : " AGAIN") + (cut ? ", the connection is reset" : ""));
        return cut;
    }

    private Endpoint.Answer answer(String zone, Endpoint.Call call) throws InterruptedException {
        boolean cut = run(zone, call.ids.get(0));
        Thread.sleep(40);
        if (cut) {
            call.reset();
            return null;
        }
        return Endpoint.Answer.delivered(call);
    }

    @Override
    boolean play() throws Exception {
        Endpoint one = new Endpoint(this, "s-0000000a", freePort(), call -> answer("a", call));
        Endpoint two = new Endpoint(this, "s-0000000b", freePort(), call -> answer("b", call));
        Agent agent = new Agent(this, freePort());
        agent.list(1, Agent.entry(one.name, one.port, "a", 1, "m1", "ready") + ","
            + Agent.entry(two.name, two.port, "b", 1, "m1", "ready"));
        Settings.Relaying ports = new Settings.Relaying(freePort(), freePort(), agent.port);
        Settings settings = new Settings();
        settings.localities = "\"a\",\"b\"";
        String group = ",\"group\":\"zone\"";
        settings.profiles = Settings.profile("delivery", "dedup", 3_000, 12_000, ",\"window\":7500" + group);
        Path shared = Relay.prepare(this, settings.config(ports, agent.wholeList()));
        Relay relay =
            new Relay(this, "first", shared, ports.listenPort(), ports.consolePort(), agent.port);
        relay.awaitServing();
        Thread.sleep(1_200);
        if (trouble) {
            settings.profiles = settings.profiles.replace(group, "");
            note("the new file lacks the key 'group' of the class");
        }
        relay.reload(shared, settings.config(ports, agent.wholeList()));
        Thread.sleep(1_500);
        int accepted = 0;
        for (int i = 0; i < MESSAGES; i++) {
            String id = String.format("%016x", 0x5000 + i);
            Http.Answer answer = Http.exchange(relay.listenPort, Http.submission("delivery", 1, id, 12_000,
                "Connection: close\r\n", "message " + i), 400);
            note("client submits " + id + ": " + (answer == null ? "no answer" : answer.status()));
            accepted += answer != null && answer.status() == 202 ? 1 : 0;
            Thread.sleep(150);
        }
        Thread.sleep(13_000);
        synchronized (this) {
            long twice = zones.values().stream().filter(in -> in.size() > 1).count();
            note(accepted + " messages taken on, " + reset.size() + " connections reset, " + twice
                + " messages run in both zones");
            if (accepted < MESSAGES / 2 || reset.isEmpty()) {
                throw new CannotRun("too few messages were taken on");
            }
            return twice == 0;
        }
    }
}
