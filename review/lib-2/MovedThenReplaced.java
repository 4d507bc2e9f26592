import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A reload moves discovery to another address. Some time later the process is replaced, with a new second address
 * and all else unchanged. Does each message that the relay then takes on get its end?
 */
final class MovedThenReplaced extends Play {
    private static final int MESSAGES = 20;
    private static final long TIMEOUT_MILLIS = 4_000;
    /** A notice may come 300 ms after the message's time, 500 ms on the newer page; 50 ms more on sockets. */
    private static final long NOTICE_MILLIS = 500 + 50;
    private static final long OLD_AGENT_ENDS_MILLIS = 1_500;

    /** A message that was taken on. */
    private record Taken(String id, long sentMillis) { }

    private final Set<String> delivered = ConcurrentHashMap.newKeySet();

    public static void main(String[] args) {
        new MovedThenReplaced().run(args);
    }

    /** The partner is above its limit for every fourth message, in both plays; such a message needs a notice. */
    private Endpoint.Answer answer(Endpoint.Call call) throws InterruptedException {
        String id = call.ids.get(0);
        Thread.sleep(40);
        boolean full = Integer.parseInt(id.substring(id.length() - 2), 16) % 4 == 3;
        note("call at the endpoint: " + id + (full ? ", answered 503" : ", runs, answered 200"));
        if (full) {
            return Endpoint.Answer.of("503 Service Unavailable", "", "");
        }
        delivered.add(id);
        return Endpoint.Answer.delivered(call);
    }

    @Override
    boolean play() throws Exception {
        Endpoint endpoint = new Endpoint(this, "s-0000000a", freePort(), this::answer);
        Agent before = new Agent(this, freePort());
        Agent after = new Agent(this, freePort());
        String list = Agent.entry(endpoint.name, endpoint.port, 1, "m1", "ready");
        before.list(1, list);
        after.list(1, list);
        int listenPort = freePort();
        int consolePort = freePort();
        Settings settings = new Settings();
        settings.profiles = Settings.profile("delivery", "dedup", 3_000, 28_000, ",\"window\":7500");
        Path shared = Relay.prepare(this, settings.config(
            new Settings.Relaying(listenPort, consolePort, before.port), before.wholeList()));
        Relay first = new Relay(this, "first", shared, listenPort, consolePort, before.port);
        first.awaitServing();
        Thread.sleep(1_500);
        if (trouble) {
            first.reload(shared, settings.config(
                new Settings.Relaying(listenPort, consolePort, after.port), after.wholeList()));
            before.stopAccepting();
            Thread.sleep(OLD_AGENT_ENDS_MILLIS);
            before.close();
            note("discovery is at its new address only");
            Thread.sleep(4_000);
        }
        // EDGE_DISCOVERY is as it was at the first start; the configuration file is the one that holds now.
        Relay second = new Relay(this, "second", shared, listenPort, freePort(), before.port);
        second.awaitReady();
        first.terminate();
        Thread.sleep(3_700);
        if (first.isAlive()) {
            first.kill();
        }
        List<Taken> taken = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            String id = String.format("%016x", 0x6000 + i);
            long sent = millis();
            Http.Answer answer = Http.exchange(listenPort, Http.submission("delivery", 1, id, TIMEOUT_MILLIS,
                "Connection: close\r\n", "message " + i), 400);
            note("client submits " + id + ": " + (answer == null ? "no answer" : answer.status()));
            if (answer != null && answer.status() == 202) {
                taken.add(new Taken(id, sent));
            }
            Thread.sleep(200);
        }
        Thread.sleep(TIMEOUT_MILLIS + 6_000);
        int lost = 0;
        for (Taken message : taken) {
            Agent.Notice notice = (trouble ? after : before).notices.get(message.id);
            long due = message.sentMillis + TIMEOUT_MILLIS + NOTICE_MILLIS;
            if (!delivered.contains(message.id) && (notice == null || notice.atMillis() > due)) {
                lost++;
                note("LOST: " + message.id + " was taken on, not delivered, and its notice "
                    + (notice == null ? "never came" : "came late"));
            }
        }
        note(taken.size() + " messages taken on, " + delivered.size() + " delivered, " + lost + " lost");
        if (taken.size() < MESSAGES / 2) {
            throw new CannotRun("too few messages were taken on");
        }
        return lost == 0;
    }
}
