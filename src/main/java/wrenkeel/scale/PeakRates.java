package wrenkeel.scale;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The most bytes a second on two hops of a fleet, over windows of 100 ms, until it is closed. */
final class PeakRates implements AutoCloseable {
    private static final long WINDOW_MS = 100;

    private final Fleet fleet;
    private final ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "peak rates");
        thread.setDaemon(true);
        return thread;
    });
    private long sampledAt = System.nanoTime();
    private long machineBytes;
    private long agentBytes;
    private double machinePeakRate;
    private double agentPeakRate;

    PeakRates(Fleet fleet) {
        this.fleet = fleet;
        machineBytes = fleet.machines().machineHop().bytes();
        agentBytes = fleet.agents().hop().bytes();
        sampler.scheduleAtFixedRate(this::sample, WINDOW_MS, WINDOW_MS, TimeUnit.MILLISECONDS);
    }

    private synchronized void sample() {
        long now = System.nanoTime();
        long machine = fleet.machines().machineHop().bytes();
        long agent = fleet.agents().hop().bytes();
        // Never over less than the window: what a late sample saw then counts for its own, longer time.
        double seconds = Math.max(WINDOW_MS / 1e3, (now - sampledAt) / 1e9);
        machinePeakRate = Math.max(machinePeakRate, (machine - machineBytes) / seconds);
        agentPeakRate = Math.max(agentPeakRate, (agent - agentBytes) / seconds);
        sampledAt = now;
        machineBytes = machine;
        agentBytes = agent;
    }

    /** Bytes a second from the zones' machines to the agents, up to now. */
    synchronized double machineBytesPerSecond() {
        sample();
        return machinePeakRate;
    }

    /** Bytes a second from the agents to their relays. */
    synchronized double agentBytesPerSecond() {
        sample();
        return agentPeakRate;
    }

    @Override
    public void close() {
        sampler.shutdownNow();
    }
}
