package wrenkeel.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;

/**
 * The processes of one measured run (a "play"): control machines, one agent per relay, and list-only relays,
 * which maintain the host list but accept no clients and make no calls. The list changes at the source, the
 * first control machine, and propagates over three hops: between control machines, from a zone's control
 * machine to the agents, and from each agent to its relay. Not thread-safe.
 */
final class Fleet implements AutoCloseable {
    private static final long POLL_INTERVAL_MS = 2;
    /** A list that has not arrived after this time is treated as lost, and the run fails. */
    static final long TIMEOUT_SECONDS = 60;

    /**
     * Cumulative network traffic by hop and processor time by role at one moment, or the difference between
     * two moments.
     *
     * @param atMicros time since the Unix epoch, or the length of the interval
     * @param source traffic between the control machines
     * @param machine traffic between the zones' control machines and the agents
     * @param agent traffic between the agents and their relays
     */
    record ResourceUsage(long atMicros, HopCounters.Counts source, HopCounters.Counts machine,
                         HopCounters.Counts agent, long machinesCpuMicros, long agentsCpuMicros,
                         long relaysCpuMicros) {
        /** Returns the usage of the interval between the earlier moment and this one. */
        ResourceUsage minus(ResourceUsage earlier) {
            return new ResourceUsage(atMicros - earlier.atMicros, source.minus(earlier.source),
                machine.minus(earlier.machine), agent.minus(earlier.agent),
                machinesCpuMicros - earlier.machinesCpuMicros, agentsCpuMicros - earlier.agentsCpuMicros,
                relaysCpuMicros - earlier.relaysCpuMicros);
        }

        /**
         * Adds, for an interval, calls and bytes per second on each hop and processor time as a percentage of
         * one core. The keys start with {@code prefix}.
         */
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

        /** Adds, for an interval, the processor time of each role as a percentage of one core. */
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

    /**
     * Starts the control machines, the agents and the processes that will run the relays; {@link #start}
     * starts the relays.
     *
     * @param size number of relays
     * @param seed determines the host list, the changed hosts and the gaps between changes
     * @param zoneOfRelay the zone of each relay, by the relay's number
     */
    Fleet(int size, long seed, FleetOptions options, IntUnaryOperator zoneOfRelay) throws IOException {
        random = new Random(seed);
        catalog = new HostCatalog(options.hosts, seed);
        changeLog = new ChangeLog(catalog, options.changeLogSize);
        machines = new ControlMachines(changeLog, options.waitMs);
        agents = new FleetAgents(changeLog, machines, size, options.waitMs, zoneOfRelay);
        relays = new ListOnlyFleet(agents, options.relaysPerProcess, options.heapMb);
    }

    /** Distributes relays evenly over the zones, by the relay's number. */
    static int roundRobinZone(int relay) {
        return relay % ControlMachines.ZONE_COUNT;
    }

    /**
     * Starts all relays and waits until each has applied the list.
     *
     * @throws IOException if the list does not reach every machine, agent and relay in time
     */
    void start() throws IOException, InterruptedException {
        awaitVersion("the control machines did not receive the list in time", machines::minVersion);
        awaitVersion("the agents did not receive the list in time", agents::minVersion);
        relays.start(0, agents.size());
        awaitAllRelays();
    }

    /**
     * Waits until all relays have applied the latest version of the list.
     *
     * @throws IOException if some have not after {@link #TIMEOUT_SECONDS}
     */
    void awaitAllRelays() throws IOException {
        long relaysHolding = relays.awaitVersion(changeLog.latestVersion(), TIMEOUT_SECONDS);
        if (relaysHolding < agents.size()) {
            throw new IOException(relaysHolding + " of " + agents.size() + " relays hold version "
                + changeLog.latestVersion() + " after " + TIMEOUT_SECONDS + " s");
        }
    }

    /** Waits until {@code version} returns the latest version of the list; fails with the given message. */
    private void awaitVersion(String faultMessage, LongSupplier version)
        throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (version.getAsLong() < changeLog.latestVersion()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException(faultMessage);
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /**
     * Publishes one change at the source: alternately sets a random host to draining, and that host back to
     * ready. Returns the time of publication in microseconds since the Unix epoch.
     */
    long publishChange() {
        currentHost = hostIsDraining ? currentHost : random.nextInt(catalog.totalHosts());
        hostIsDraining = !hostIsDraining;
        long atMicros = EpochClock.micros();
        machines.advanceSource(changeLog.publish(currentHost,
            hostIsDraining ? HostCatalog.Health.DRAINING : HostCatalog.Health.READY));
        return atMicros;
    }

    /**
     * Publishes {@code count} changes with exponentially distributed gaps. Returns the time of each
     * publication in microseconds since the Unix epoch.
     */
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

    /** Returns what the fleet has used since its start. */
    ResourceUsage usage() throws IOException {
        return new ResourceUsage(EpochClock.micros(), machines.sourceTraffic(),
            machines.machineTraffic(), agents.agentTraffic(), machines.cpuMicros(), agents.cpuMicros(),
            relays.cpuMicros());
    }

    /** Returns the latest version of the list at the source. */
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
