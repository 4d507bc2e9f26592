import java.io.IOException;
import java.util.*;
import java.util.concurrent.ConcurrentHashMap;

/** A crowd of clients stops half way in a request and stays, while a clump of messages waits in the relay. */
final class Case1 {
    static final int CLUMP = 30;
    static final int CLUMP_TIMEOUT_MS = 8_000;
    /** Under a third of the 1,024 descriptors. */
    static final int CROWD = 300;
    /** Under 64 KiB. */
    static final int BODY_BYTES = 60_000;
    static final int WRITTEN_BYTES = 45_000;
    /** The rule's 300 ms and the 50 ms by which every limit is longer on sockets. */
    static final int SLACK_MS = 350;

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
        Map<String, Long> deliveredMs = new ConcurrentHashMap<>();
        Map<String, Long> sentMs = new ConcurrentHashMap<>();
        Set<String> taken = ConcurrentHashMap.newKeySet();
        Rig.Agent agent = rig.new Agent();
        Rig.Endpoint endpoint = rig.new Endpoint("s-0000000a", call -> {
            Rig.sleep(300);
            call.accept();
            call.ids().forEach(id -> deliveredMs.putIfAbsent(id, rig.ms()));
            rig.log("200 written for " + call.ids());
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
        for (int i = 0; i < 20; i++) {
            submit(rig, relay, String.format("%016x", 0x100 + i), 16_000, 200, taken, sentMs);
            Rig.sleep(200);
        }
        rig.log("clump of " + CLUMP + " messages");
        for (int i = 0; i < CLUMP; i++) {
            submit(rig, relay, String.format("%016x", 0x200 + i), CLUMP_TIMEOUT_MS, 200, taken, sentMs);
        }
        if (Rig.TROUBLE) {
            rig.log(CROWD + " clients write " + WRITTEN_BYTES + " bytes of a message of " + BODY_BYTES + ", and stay");
            for (int i = 0; i < CROWD; i++) {
                String id = String.format("%016x", 0x1000 + i);
                Rig.thread(() -> stopHalfWay(rig, relay, id));
            }
        }
        Rig.thread(() -> {
            while (true) {
                long from = rig.ms();
                try (Rig.Client client = new Rig.Client(relay.port)) {
                    client.get("/healthz", 30_000);
                    rig.log("health check answered after " + (rig.ms() - from) + " ms");
                } catch (IOException e) {
                    rig.log("health check: " + e + " after " + (rig.ms() - from) + " ms");
                }
                Rig.sleep(500);
            }
        });
        Rig.sleep(CLUMP_TIMEOUT_MS + 4_000);
        int lost = 0;
        for (int i = 0; i < CLUMP; i++) {
            String id = String.format("%016x", 0x200 + i);
            long dueMs = sentMs.get(id) + CLUMP_TIMEOUT_MS + SLACK_MS;
            long endedMs = Math.min(deliveredMs.getOrDefault(id, Long.MAX_VALUE),
                agent.noticeMs.getOrDefault(id, Long.MAX_VALUE));
            if (taken.contains(id) && endedMs > dueMs) {
                lost++;
                rig.log("LOST " + id + ": taken on, due at " + dueMs + ", "
                    + (endedMs == Long.MAX_VALUE ? "no end" : "ended at " + endedMs));
            }
        }
        rig.log("taken on: " + taken.size() + ", lost of the clump: " + lost + ", relay alive: "
            + relay.process.isAlive());
        relay.copyLog();
        if (taken.size() < CLUMP) {
            return 2;
        }
        return lost > 0 || !relay.process.isAlive() ? 1 : 0;
    }

    static void submit(Rig rig, Rig.Relay relay, String id, int timeoutMs, int bytes, Set<String> taken,
                       Map<String, Long> sentMs) {
        try (Rig.Client client = new Rig.Client(relay.port)) {
            client.socket.getOutputStream().write(
                Rig.Client.request(id, "delivery", 1, timeoutMs, new byte[bytes]));
            sentMs.put(id, rig.ms());
            int status = client.status(400);
            rig.log("client " + id + ": " + status);
            if (status == 200 || status == 202) {
                taken.add(id);
            }
        } catch (IOException e) {
            rig.log("client " + id + ": " + e);
        }
    }

    /** Writes a part of a message and stays for 8 s. */
    static void stopHalfWay(Rig rig, Rig.Relay relay, String id) {
        long from = rig.ms();
        try (Rig.Client client = new Rig.Client(relay.port)) {
            client.socket.getOutputStream().write(
                Rig.Client.request(id, "delivery", 1, 16_000, new byte[BODY_BYTES]), 0, WRITTEN_BYTES);
            int status = client.status(8_000);
            rig.log("crowd " + id + ": " + status + " after " + (rig.ms() - from) + " ms");
        } catch (IOException e) {
            rig.log("crowd " + id + ": " + e + " after " + (rig.ms() - from) + " ms");
        }
    }
}
