import java.io.IOException;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The platform replaces the process while a clump of messages waits; the size of the state folder is watched. */
final class Case3 {
    static final int CLIENTS = 19;
    static final int BODY_BYTES = 60_000;
    /** The limit of the configuration, disk_mb = 3, in its more generous reading. */
    static final long LIMIT_BYTES = 3L << 20;

    public static void main(String[] args) throws Exception {
        int result = 2;
        try (Rig rig = new Rig(args[0])) {
            result = run(rig);
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    static int run(Rig rig) throws Exception {
        Rig.Agent agent = rig.new Agent();
        Rig.Endpoint endpoint = rig.new Endpoint("s-0000000a", call -> {
            Rig.sleep(300);
            call.accept();
        });
        agent.put("s-0000000a", endpoint.port(), 1, "m1", "ready");
        Rig.Relay relay = rig.new Relay("n0");
        relay.configure(agent, Rig.limits(192, 1024), agent.whole(), Rig.settings(4, 200, true, "[\"m1\"]",
            "[false]", "[1]", "[{\"name\":\"delivery\",\"aim\":3000,\"hard-limit\":28000,\"semantics\":\"dedup\","
            + "\"window\":7500,\"group\":\"all\",\"worth\":1,\"late-worth\":0.5}]"));
        relay.start(agent);
        if (!relay.awaitReady()) {
            return 2;
        }
        Process old = relay.process;
        if (Rig.TROUBLE) {
            relay.consolePort = Rig.freePort();
            relay.start(agent);
            if (!awaitYes(rig, relay.consolePort)) {
                return 2;
            }
        }
        long[] largest = {0};
        Rig.thread(() -> watch(rig, relay.home.resolve("state"), largest));
        AtomicInteger taken = new AtomicInteger();
        List<Rig.Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Rig.Client client = new Rig.Client(relay.port);
            clients.add(client);
            submit(rig, client, taken);
        }
        int clump = taken.get();
        if (Rig.TROUBLE) {
            rig.log("SIGTERM for the old process");
            new ProcessBuilder("kill", "-TERM", String.valueOf(old.pid())).start().waitFor();
        }
        for (Rig.Client client : clients) {
            Rig.thread(() -> goOn(rig, relay, client, taken));
        }
        if (Rig.TROUBLE) {
            if (old.waitFor(3_700, TimeUnit.MILLISECONDS)) {
                rig.log("the old process has ended");
            } else {
                rig.log("SIGKILL for the old process");
                old.destroyForcibly();
            }
        } else {
            Rig.sleep(3_700);
        }
        Rig.sleep(3_000);
        rig.log("taken on: " + clump + " in the clump, " + taken + " in all; largest size of the state folder: "
            + largest[0] + ", limit: " + LIMIT_BYTES);
        relay.copyLog();
        if (clump < CLIENTS / 2 || !relay.process.isAlive()) {
            return 2;
        }
        return largest[0] > LIMIT_BYTES ? 1 : 0;
    }

    /** Waits until the new process says at its console that it can serve. */
    static boolean awaitYes(Rig rig, int consolePort) {
        for (long until = rig.ms() + 10_000; rig.ms() < until; Rig.sleep(20)) {
            try (Rig.Client client = new Rig.Client(consolePort)) {
                if (client.get("/api/ready", 1_000) == 200) {
                    rig.log("the new process says yes");
                    return true;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
        }
        return false;
    }

    static final AtomicInteger LAST_ID = new AtomicInteger();

    static void submit(Rig rig, Rig.Client client, AtomicInteger taken) throws IOException {
        String id = String.format("%016x", LAST_ID.incrementAndGet());
        int status = client.post(id, "delivery", 1, 16_000, new byte[BODY_BYTES], 400);
        rig.log("client " + id + ": " + status);
        if (status == 200 || status == 202) {
            taken.incrementAndGet();
        }
    }

    /** Hands in a message after up to 2 s, again and again, on the same connection as long as that stays open. */
    static void goOn(Rig rig, Rig.Relay relay, Rig.Client first, AtomicInteger taken) throws IOException {
        Rig.Client client = first;
        while (true) {
            Rig.sleep(ThreadLocalRandom.current().nextInt(2_000));
            try {
                submit(rig, client, taken);
            } catch (IOException e) {
                rig.log("client: " + e);
                client.close();
                client = new Rig.Client(relay.port);
            }
        }
    }

    /** The sizes of the files in whole 512 bytes. */
    static Map<String, Long> sizes(Path folder) {
        Map<String, Long> sizes = new TreeMap<>();
        String[] names = folder.toFile().list();
        for (String name : names == null ? new String[0] : names) {
            sizes.put(name, (folder.resolve(name).toFile().length() + 511) / 512 * 512);
        }
        return sizes;
    }

    /**
     * Measures the folder all the time. Each size is the smaller one of two readings, so that a file which is
     * renamed or deleted between the readings of two files is not counted twice.
     */
    static void watch(Rig rig, Path folder, long[] largest) {
        while (true) {
            Map<String, Long> first = sizes(folder);
            Map<String, Long> second = sizes(folder);
            long sum = 0;
            for (String name : first.keySet()) {
                sum += Math.min(first.get(name), second.getOrDefault(name, 0L));
            }
            if (sum > largest[0] + 50_000) {
                rig.log("state folder: " + sum + " bytes " + first);
            }
            largest[0] = Math.max(largest[0], sum);
        }
    }
}
