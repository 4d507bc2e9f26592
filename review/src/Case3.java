import java.io.IOException;
import java.util.*;
import java.util.concurrent.*;

/** One of two endpoints of a partner hangs; no message may be out twice at once. */
final class Case3 {
    static final int CLIENTS = 16;
    static final int CLUMPS = 16;
    static final int HANG_FROM_CLUMP = 8;
    static final int HANG_MS = 18_000;
    /** An earlier call that the relay ends within this time after the later one is not held against it. */
    static final int TOLERANCE_MS = 500;

    /** A call that hangs. */
    record Hanging(Rig.Call call, CompletableFuture<Long> endedMs) { }

    /** A message that comes in a call while an earlier call with it is out. */
    record Copy(String id, Rig.Call later, Hanging earlier) { }

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
        Map<String, Hanging> out = new ConcurrentHashMap<>();
        Queue<Copy> copies = new ConcurrentLinkedQueue<>();
        boolean[] hangs = {false};
        Rig.Agent agent = rig.new Agent();
        Rig.Endpoint hanging = rig.new Endpoint("s-0000000a", call -> {
            noteCopies(call, out, copies);
            if (!hangs[0]) {
                Rig.sleep(100);
                call.accept();
                return;
            }
            Hanging entry = new Hanging(call, new CompletableFuture<>());
            call.ids().forEach(id -> out.put(id, entry));
            call.socket().setSoTimeout(HANG_MS);
            String end;
            try {
                end = call.socket().getInputStream().read() < 0 ? "ended by the relay" : "more bytes";
            } catch (IOException e) {
                end = e.toString();
            }
            entry.endedMs.complete(rig.ms());
            rig.log("s-0000000a call " + call.number() + ": " + end);
            call.ids().forEach(id -> out.remove(id, entry));
            call.socket().close();
        });
        Rig.Endpoint sound = rig.new Endpoint("s-0000000b", call -> {
            noteCopies(call, out, copies);
            Rig.sleep(100);
            call.accept();
        });
        agent.put("s-0000000a", hanging.port(), 1, "m1", "ready");
        agent.put("s-0000000b", sound.port(), 1, "m1", "ready");
        Rig.Relay relay = rig.new Relay("n0");
        relay.configure(agent, Rig.limits(192, 1024), agent.whole(), Rig.settings(20, 200, false, "[\"m1\"]",
            "[false]", "[20]", "[{\"name\":\"note\",\"aim\":3000,\"hard-limit\":28000,\"semantics\":\"retryable\","
            + "\"worth\":1,\"late-worth\":0.5},{\"name\":\"payment\",\"aim\":3000,\"hard-limit\":28000,"
            + "\"semantics\":\"fragile\",\"worth\":1,\"late-worth\":0.5}]"));
        relay.start(agent);
        if (!relay.awaitReady()) {
            return 2;
        }
        CyclicBarrier clump = new CyclicBarrier(CLIENTS + 1);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Rig.thread(() -> submit(rig, relay, number, clump));
        }
        for (int i = 0; i < CLUMPS; i++) {
            if (i == HANG_FROM_CLUMP && Rig.TROUBLE) {
                rig.log("s-0000000a hangs from now on");
                hangs[0] = true;
            }
            clump.await();
            Rig.sleep(400);
        }
        Rig.sleep(HANG_MS);
        int broken = 0;
        for (Copy copy : copies) {
            long togetherMs = copy.earlier.endedMs.get(1, TimeUnit.SECONDS) - copy.later.atMs();
            boolean counts = togetherMs >= TOLERANCE_MS;
            broken += counts ? 1 : 0;
            rig.log((counts ? "SECOND COPY " : "within the tolerance: ") + copy.id + " came at " + copy.later.atMs()
                + ", the call that it came with at " + copy.earlier.call.atMs() + " was out for another "
                + togetherMs + " ms");
        }
        rig.log("second copies: " + broken);
        relay.copyLog();
        return broken > 0 ? 1 : 0;
    }

    static void noteCopies(Rig.Call call, Map<String, Hanging> out, Queue<Copy> copies) {
        for (String id : call.ids()) {
            Hanging earlier = out.get(id);
            if (earlier != null) {
                copies.add(new Copy(id, call, earlier));
            }
        }
    }

    /** Hands in one message of each clump: every third client a note, the others payments. */
    static void submit(Rig rig, Rig.Relay relay, int number, CyclicBarrier clump) throws Exception {
        String messageClass = number % 3 == 0 ? "note" : "payment";
        Rig.Client client = new Rig.Client(relay.port);
        for (int i = 0; i < CLUMPS; i++) {
            String id = String.format("%08x%08x", i, number);
            clump.await();
            try {
                rig.log("client " + id + " " + messageClass + ": "
                    + client.post(id, messageClass, 1, 16_000, new byte[200], 400));
            } catch (IOException e) {
                rig.log("client " + id + " " + messageClass + ": " + e);
                client.close();
                client = new Rig.Client(relay.port);
            }
        }
    }
}
