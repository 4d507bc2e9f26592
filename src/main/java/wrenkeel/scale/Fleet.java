package wrenkeel.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;

/** Control machines, agents and hollow relays of one play, with a list that changes at the source. */
final class Fleet implements AutoCloseable {
    private static final long LOOK = 2;
    /** s; what has not come by then will not. */
    static final long PATIENCE = 60;

    /** What has been spent up to one moment: by hop and by role; times in us. */
    record Spent(long at, HopCounters.Counts source, HopCounters.Counts machine, HopCounters.Counts agent,
                 long machinesCpu, long agentsCpu, long relaysCpu) {
        Spent minus(Spent before) {
            return new Spent(at - before.at, source.minus(before.source), machine.minus(before.machine),
                agent.minus(before.agent), machinesCpu - before.machinesCpu, agentsCpu - before.agentsCpu,
                relaysCpu - before.relaysCpu);
        }

        /** Calls and bytes a second on each hop, and processor time as percent of a core. */
        void rates(String prefix, Map<String, Double> values) {
            double seconds = at / 1e6;
            values.put(prefix + "source_calls_per_s", source.calls() / seconds);
            values.put(prefix + "machine_calls_per_s", machine.calls() / seconds);
            values.put(prefix + "agent_calls_per_s", agent.calls() / seconds);
            values.put(prefix + "source_bytes_per_s", source.bytes() / seconds);
            values.put(prefix + "machine_bytes_per_s", machine.bytes() / seconds);
            values.put(prefix + "agent_bytes_per_s", agent.bytes() / seconds);
            cpu(prefix, values);
        }

        /** Processor time of each role as percent of a core. */
        void cpu(String prefix, Map<String, Double> values) {
            double seconds = at / 1e6;
            values.put(prefix + "machines_cpu_percent", machinesCpu / seconds / 1e4);
            values.put(prefix + "agents_cpu_percent", agentsCpu / seconds / 1e4);
            values.put(prefix + "relays_cpu_percent", relaysCpu / seconds / 1e4);
        }
    }

    private final HostCatalog catalog;
    private final ChangeLog log;
    private final ControlMachines machines;
    private final FleetAgents agents;
    private final HollowFleet relays;
    private final Random random;
    private boolean draining;
    private int next;

    /** The relays are not started yet; {@code zones} gives the zone of each. */
    Fleet(int size, long seed, FleetOptions options, IntUnaryOperator zones) throws IOException {
        random = new Random(seed);
        catalog = new HostCatalog(options.hosts, seed);
        log = new ChangeLog(catalog, options.log);
        machines = new ControlMachines(log, options.wait);
        agents = new FleetAgents(log, machines, size, options.wait, zones);
        relays = new HollowFleet(agents, options.each, options.heapMb);
    }

    /** One relay after the other over the five zones. */
    static int spread(int relay) {
        return relay % ControlMachines.ZONES;
    }

    /** Starts all relays and waits until each holds the list. */
    void start() throws IOException, InterruptedException {
        await("the machines hold no list", machines::version);
        await("the agents hold no list", agents::version);
        relays.start(0, agents.size());
        awaitRelays();
    }

    /** Waits until all relays hold the latest version. */
    void awaitRelays() throws IOException {
        long held = relays.await(log.latest(), PATIENCE);
        if (held < agents.size()) {
            throw new IOException(held + " of " + agents.size() + " relays hold version " + log.latest()
                + " after " + PATIENCE + " s");
        }
    }

    /** Waits until the latest version is held. */
    private void await(String fault, LongSupplier version) throws IOException, InterruptedException {
        long by = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE);
        while (version.getAsLong() < log.latest()) {
            if (System.nanoTime() > by) {
                throw new IOException(fault);
            }
            Thread.sleep(LOOK);
        }
    }

    /** A host is told to drain, or is ready again; when that was published (epoch us). */
    long change() {
        next = draining ? next : random.nextInt(catalog.size());
        draining = !draining;
        long at = EpochClock.micros();
        machines.published(log.publish(next,
            draining ? HostCatalog.Health.DRAINING : HostCatalog.Health.READY));
        return at;
    }

    /** Publishes so many changes with random gaps of this mean (exponential, ms); when each was published. */
    List<Long> changes(int count, double meanGap) throws InterruptedException {
        List<Long> publishedAt = new ArrayList<>();
        double due = EpochClock.micros();
        for (int i = 0; i < count; i++) {
            due += -Math.log(1 - random.nextDouble()) * meanGap * 1_000;
            TimeUnit.MICROSECONDS.sleep((long) Math.max(0, due - EpochClock.micros()));
            publishedAt.add(change());
        }
        return publishedAt;
    }

    Spent spent() throws IOException {
        return new Spent(EpochClock.micros(), machines.sourceHop(), machines.machineHop(), agents.hop(),
            machines.cpuMicros(), agents.cpuMicros(), relays.cpuMicros());
    }

    long version() {
        return log.latest();
    }

    ControlMachines machines() {
        return machines;
    }

    FleetAgents agents() {
        return agents;
    }

    HollowFleet relays() {
        return relays;
    }

    @Override
    public void close() throws IOException {
        relays.close();
        agents.close();
        machines.close();
    }
}
