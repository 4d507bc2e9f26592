import java.io.IOException;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two quiet partners of five hang, are restarted, and come back cold; shortly before that each of them has got a clump
 * of messages, whose calls the restart cuts. What reaches a cold partner is compared with its budget.
 */
final class Case2 {
    static final int RELAYS = 8;
    static final int PARTNERS = 5;
    static final int STRUCK = 2;
    static final int ENDPOINTS = 3;
    /** A warm partner works on so many calls at once, each takes so long, and so many more may wait. */
    static final int AT_ONCE = 4;
    static final int WORK_MS = 1_000;
    static final int QUEUE = 8;
    /** Calls a second that a warm partner can do. It has no other limit. */
    static final double CAPACITY = AT_ONCE * 1_000.0 / WORK_MS;
    /** Messages a second for a partner, from all clients together. */
    static final double RATE = 0.7 * CAPACITY;
    /** As many as it takes in 3.25 s. */
    static final int CLUMP = 13;
    static final int CLUMP_MS = 1_000;
    static final int WARM_UP_MS = 8_000;
    static final int QUIET_MS = 15_000;
    static final int HANG_MS = 10_000;
    /** The clump begins this long before the restart. */
    static final int CLUMP_BEFORE_MS = 2_500;
    static final int RESTART_MS = 200;
    // The rule, with the figures of the settings: cold-from, cold, fall-multiple, tip-after.
    static final double COLD_FROM = 0.18;
    static final int COLD_MS = 10_000;
    static final double FALL_MULTIPLE = 2;
    static final int TIP_AFTER_MS = 2_000;

    enum State { UP, HANGS, DOWN }

    /** A call that came whole after the return. */
    record ColdCall(long atMs, int relay) { }

    /** A partner with all of its endpoints, which share its limit and its outage. */
    static final class Partner {
        final Rig rig;
        final int number;
        volatile State state = State.UP;
        final List<ServerSocket> listeners = new CopyOnWriteArrayList<>();
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        /** The relay whose call is out on a connection. */
        final Map<Socket, Integer> out = new ConcurrentHashMap<>();
        /** Relays that had a call cut, before the return. */
        final Set<Integer> told = ConcurrentHashMap.newKeySet();
        final List<ColdCall> coldCalls = Collections.synchronizedList(new ArrayList<>());
        volatile long returnedMs = Long.MAX_VALUE;
        private final Semaphore room = new Semaphore(AT_ONCE + QUEUE);
        private final Semaphore work = new Semaphore(AT_ONCE, true);

        Partner(Rig rig, int number, Rig.Agent agent) throws IOException {
            this.rig = rig;
            this.number = number;
            for (int i = 0; i < ENDPOINTS; i++) {
                listen(0);
                agent.put(name(i), listeners.get(i).getLocalPort(), number + 1, "m1", "ready");
            }
        }

        String name(int endpoint) {
            return String.format("s-%04x%04x", number + 1, endpoint);
        }

        void listen(int port) throws IOException {
            ServerSocket listener = new ServerSocket(port, 200, Rig.LOOPBACK);
            int endpoint = listeners.size() % ENDPOINTS;
            listeners.add(listener);
            Rig.thread(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    Rig.thread(() -> serve(socket, name(endpoint)));
                }
            });
        }

        private void serve(Socket socket, String name) throws IOException {
            try (socket) {
                while (true) {
                    Rig.Head head = Rig.head(socket.getInputStream());
                    socket.getInputStream().readNBytes(head.length());
                    long nowMs = rig.ms();
                    String id = head.headers().get("x-request-id");
                    int relay = Integer.parseInt(id.substring(0, 4), 16);
                    rig.log(name + " " + state + ": " + id + " from n" + relay);
                    if (state != State.UP) {
                        out.put(socket, relay);
                        socket.getInputStream().read();
                        out.remove(socket);
                        return;
                    }
                    if (nowMs >= returnedMs) {
                        coldCalls.add(new ColdCall(nowMs, relay));
                    }
                    boolean taken = room.tryAcquire();
                    if (taken) {
                        work.acquireUninterruptibly();
                        Rig.sleep((long) (WORK_MS * CAPACITY / capacity(rig.ms())));
                        work.release();
                        room.release();
                    } else {
                        Rig.sleep(40);
                    }
                    socket.getOutputStream().write(Rig.bytes("HTTP/1.1 " + (taken ? "200 OK" : "503 Full")
                        + "\r\nContent-Length: 0\r\n\r\n"));
                }
            } finally {
                open.remove(socket);
            }
        }

        /** The processes of the endpoints die: their connections are reset, and new ones are refused. */
        void die() throws IOException {
            state = State.DOWN;
            for (ServerSocket listener : listeners) {
                listener.close();
            }
            for (Socket socket : open) {
                Integer relay = out.get(socket);
                if (relay != null) {
                    told.add(relay);
                }
                socket.setSoLinger(true, 0);
                socket.close();
            }
            rig.log("partner " + (number + 1) + " down, told: " + told);
        }

        void comeBack() throws IOException {
            state = State.UP;
            returnedMs = rig.ms();
            for (ServerSocket listener : List.copyOf(listeners)) {
                listen(listener.getLocalPort());
            }
            rig.log("partner " + (number + 1) + " back, cold");
        }

        /** The capacity at a time, in calls a second. */
        double capacity(long atMs) {
            return returnedMs == Long.MAX_VALUE ? CAPACITY
                : CAPACITY * (COLD_FROM + (1 - COLD_FROM) * Math.min(1, (atMs - returnedMs) / (double) COLD_MS));
        }

        /** Judges the first fall: true if over two thirds of it came from relays that had been told. */
        boolean isPushedOver() {
            List<ColdCall> calls;
            synchronized (coldCalls) {
                calls = coldCalls.stream().sorted(Comparator.comparingLong(ColdCall::atMs)).toList();
            }
            for (ColdCall last : calls) {
                List<ColdCall> window = calls.stream()
                    .filter(call -> call.atMs <= last.atMs && call.atMs > last.atMs - TIP_AFTER_MS).toList();
                // Of the capacities within the window, the largest one.
                double n = FALL_MULTIPLE * capacity(last.atMs) * TIP_AFTER_MS / 1_000;
                double bound = n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
                if (window.size() > bound) {
                    long fromTold = window.stream().filter(call -> told.contains(call.relay)).count();
                    rig.log(String.format(Locale.ROOT, "partner %d falls %d ms after its return: %d calls in %d ms, "
                        + "bound %.1f; %d of them from relays that had been told", number + 1,
                        last.atMs - returnedMs, window.size(), TIP_AFTER_MS, bound, fromTold));
                    return 3 * fromTold > 2 * window.size();
                }
            }
            rig.log("partner " + (number + 1) + " does not fall");
            return false;
        }
    }

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
        List<Partner> partners = new ArrayList<>();
        for (int i = 0; i < PARTNERS; i++) {
            partners.add(new Partner(rig, i, agent));
        }
        List<Rig.Relay> relays = new ArrayList<>();
        for (int i = 0; i < RELAYS; i++) {
            Rig.Relay relay = rig.new Relay("n" + i);
            relays.add(relay);
            relay.configure(agent, Rig.limits(192, 1024), agent.whole(), Rig.settings(20, 200, false, "[\"m1\"]",
                "[false]", "[1]", "[{\"name\":\"delivery\",\"aim\":4000,\"hard-limit\":20000,\"semantics\":\"dedup\","
                + "\"window\":5000,\"group\":\"all\",\"worth\":1,\"late-worth\":0.3}]")
                .replace("\"keepalive\":15000", "\"keepalive\":5000").replace("\"most-tries\":8", "\"most-tries\":12")
                .replace("\"rank\":0", "\"rank\":" + i).replace("\"balancers\":1", "\"balancers\":" + RELAYS));
            relay.start(agent);
        }
        for (Rig.Relay relay : relays) {
            if (!relay.awaitReady()) {
                return 2;
            }
        }
        Set<Integer> quiet = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < PARTNERS; i++) {
            int number = i;
            Rig.thread(() -> traffic(rig, relays, number, quiet));
        }
        Rig.sleep(WARM_UP_MS);
        List<Partner> struck = partners.subList(0, STRUCK);
        struck.forEach(partner -> quiet.add(partner.number));
        rig.log("no messages for the partners 1 to " + STRUCK + " from now on");
        Rig.sleep(QUIET_MS);
        if (Rig.TROUBLE) {
            struck.forEach(partner -> partner.state = State.HANGS);
            rig.log("the partners 1 to " + STRUCK + " hang");
        }
        Rig.sleep(HANG_MS - CLUMP_BEFORE_MS);
        struck.forEach(partner -> Rig.thread(() -> clump(rig, relays, partner.number)));
        Rig.sleep(CLUMP_BEFORE_MS);
        if (Rig.TROUBLE) {
            for (Partner partner : struck) {
                partner.die();
            }
        }
        Rig.sleep(RESTART_MS);
        if (Rig.TROUBLE) {
            for (Partner partner : struck) {
                partner.comeBack();
            }
        }
        quiet.clear();
        Rig.sleep(COLD_MS);
        int broken = 0;
        for (Partner partner : Rig.TROUBLE ? struck : List.<Partner>of()) {
            broken += partner.isPushedOver() ? 1 : 0;
        }
        rig.log("partners pushed over: " + broken);
        for (Rig.Relay relay : relays) {
            relay.copyLog();
        }
        return broken > 0 ? 1 : 0;
    }

    static final AtomicInteger LAST_ID = new AtomicInteger();

    /** Messages for a partner at random times and relays. */
    static void traffic(Rig rig, List<Rig.Relay> relays, int partner, Set<Integer> quiet) {
        Random random = new Random();
        while (true) {
            Rig.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / RATE));
            if (!quiet.contains(partner)) {
                submit(rig, relays, partner, random.nextInt(RELAYS));
            }
        }
    }

    /** A clump of messages, dealt out to the relays in turn. */
    static void clump(Rig rig, List<Rig.Relay> relays, int partner) {
        rig.log("clump of " + CLUMP + " messages for partner " + (partner + 1));
        int first = ThreadLocalRandom.current().nextInt(RELAYS);
        for (int i = 0; i < CLUMP; i++) {
            submit(rig, relays, partner, (first + i) % RELAYS);
            Rig.sleep(CLUMP_MS / CLUMP);
        }
    }

    /** Hands in a message; its id begins with the number of the relay. */
    static void submit(Rig rig, List<Rig.Relay> relays, int partner, int relay) {
        String id = String.format("%04x%04x%08x", relay, partner + 1, LAST_ID.incrementAndGet());
        Rig.thread(() -> {
            try (Rig.Client client = new Rig.Client(relays.get(relay).port)) {
                rig.log("client " + id + ": " + client.post(id, "delivery", partner + 1, 16_000, new byte[200], 400));
            } catch (IOException e) {
                rig.log("client " + id + ": " + e);
            }
        });
    }
}
