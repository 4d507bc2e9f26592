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
    private static final long POLL_INTERVAL_MS = 2;
    /** s; what has not come by then will not. */
    static final long TIMEOUT_SECONDS = 60;

    /** What has been spent up to one moment: by hop and by role; times in us. */
    record ResourceUsage(long atMicros, HopCounters.Counts source, HopCounters.Counts machine, HopCounters.Counts agent,
                 long machinesCpuMicros, long agentsCpuMicros, long relaysCpuMicros) {
        ResourceUsage minus(ResourceUsage earlier) {
            return new ResourceUsage(atMicros - earlier.atMicros, source.minus(earlier.source), machine.minus(earlier.machine),
                agent.minus(earlier.agent), machinesCpuMicros - earlier.machinesCpuMicros, agentsCpuMicros - earlier.agentsCpuMicros,
                relaysCpuMicros - earlier.relaysCpuMicros);
        }

        /** Calls and bytes a second on each hop, and processor time as percent of a core. */
        void putRates(String prefix, Map<String, Double> values) {
            double seconds = atMicros / 1e6;
            values.put(prefix + "source_calls_per_s", source.calls() / seconds);
            values.put(prefix + "machine_calls_per_s", machine.calls() / seconds);
            values.put(prefix + "agent_calls_per_s", agent.calls() / seconds);
            values.put(prefix + "source_bytes_per_s", source.totalBytes() / seconds);
            values.put(prefix + "machine_bytes_per_s", machine.totalBytes() / seconds);
            values.put(prefix + "agent_bytes_per_s", agent.totalBytes() / seconds);
            putCpuPercent(prefix, values);
        }

        /** Processor time of each role as percent of a core. */
        void putCpuPercent(String prefix, Map<String, Double> values) {
            double seconds = atMicros / 1e6;
            values.put(prefix + "machines_cpu_percent", machinesCpuMicros / seconds / 1e4);
            values.put(prefix + "agents_cpu_percent", agentsCpuMicros / seconds / 1e4);
            values.put(prefix + "relays_cpu_percent", relaysCpuMicros / seconds / 1e4);
        }
    }

    private final HostCatalog catalog;
    private final ChangeLog changeLog;
    private final ControlMachines machines;
    private final FleetAgents agents;
    private final ListOnlyFleet relays;
    private final Random random;
    private boolean hostIsDraining;
    private int currentHost;

    /** The relays are not started yet; {@code zones} gives the zone of each. */
    Fleet(int size, long seed, FleetOptions options, IntUnaryOperator zoneOfRelay) throws IOException {
        random = new Random(seed);
        catalog = new HostCatalog(options.hosts, seed);
        changeLog = new ChangeLog(catalog, options.changeLogSize);
        machines = new ControlMachines(changeLog, options.waitMs);
        agents = new FleetAgents(changeLog, machines, size, options.waitMs, zoneOfRelay);
        relays = new ListOnlyFleet(agents, options.relaysPerProcess, options.heapMb);
    }

    /** One relay after the other over the five zones. */
    static int roundRobinZone(int relay) {
        return relay % ControlMachines.ZONE_COUNT;
    }

    /** Starts all relays and waits until each holds the list. */
    void start() throws IOException, InterruptedException {
        awaitVersion("the machines hold no list", machines::minVersion);
        awaitVersion("the agents hold no list", agents::minVersion);
        relays.start(0, agents.size());
        awaitAllRelays();
    }

    /** Waits until all relays hold the latest version. */
    void awaitAllRelays() throws IOException {
        long relaysHolding = relays.awaitVersion(changeLog.latestVersion(), TIMEOUT_SECONDS);
        if (relaysHolding < agents.size()) {
            throw new IOException(relaysHolding + " of " + agents.size() + " relays hold version " + changeLog.latestVersion()
                + " after " + TIMEOUT_SECONDS + " s");
        }
    }

    /** Waits until the latest version is held. */
    private void awaitVersion(String faultMessage, LongSupplier version) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (version.getAsLong() < changeLog.latestVersion()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException(faultMessage);
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** A host is told to drain, or is ready again; when that was published (epoch us). */
    long publishChange() {
        currentHost = hostIsDraining ? currentHost : random.nextInt(catalog.hostCount());
        hostIsDraining = !hostIsDraining;
        long atMicros = EpochClock.micros();
        machines.advanceSource(changeLog.publish(currentHost,
            hostIsDraining ? HostCatalog.Health.DRAINING : HostCatalog.Health.READY));
        return atMicros;
    }

    /** Publishes so many changes with random gaps of this mean (exponential, ms); when each was published. */
    List<Long> publishChanges(int count, double meanGapMs) throws InterruptedException {
        List<Long> publishedAt = new ArrayList<>();
        double dueMicros = EpochClock.micros();
        for (int i = 0; i < count; i++) {
            dueMicros += -Math.log(1 - random.nextDouble()) * meanGapMs * 1_000;
            TimeUnit.MICROSECONDS.sleep((long) Math.max(0, dueMicros - EpochClock.micros()));
            publishedAt.add(publishChange());
        }
        return publishedAt;
    }

    ResourceUsage usage() throws IOException {
        return new ResourceUsage(EpochClock.micros(), machines.sourceHopCounts(), machines.machineHopCounts(), agents.hopCounts(),
            machines.cpuMicros(), agents.cpuMicros(), relays.cpuMicros());
    }

    long latestVersion() {
        return changeLog.latestVersion();
    }

    ControlMachines machines() {
        return machines;
    }

    FleetAgents agents() {
        return agents;
    }

    ListOnlyFleet relays() {
        return relays;
    }

    @Override
    public void close() {
        relays.close();
        agents.close();
        machines.close();
    }
}
