package wrenkeel.scale;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The most bytes a second on two hops of a fleet, over windows of 100 ms, until it is closed. */
final class PeakRates implements AutoCloseable {
    private static final long WINDOW = 100;

    private final Fleet fleet;
    private final ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "peak rates");
        thread.setDaemon(true);
        return thread;
    });
    private long sampledAt = System.nanoTime();
    private long machineBytes;
    private long agentBytes;
    private double machinePeak;
    private double agentPeak;

    PeakRates(Fleet fleet) {
        this.fleet = fleet;
        machineBytes = fleet.machines().machineTraffic().totalBytes();
        agentBytes = fleet.agents().agentTraffic().totalBytes();
        sampler.scheduleAtFixedRate(this::sample, WINDOW, WINDOW, TimeUnit.MILLISECONDS);
    }

    private synchronized void sample() {
        long now = System.nanoTime();
        long machine = fleet.machines().machineTraffic().totalBytes();
        long agent = fleet.agents().agentTraffic().totalBytes();
        // Never over less than the window: what a late sample saw then counts for its own, longer time.
        double seconds = Math.max(WINDOW / 1e3, (now - sampledAt) / 1e9);
        machinePeak = Math.max(machinePeak, (machine - machineBytes) / seconds);
        agentPeak = Math.max(agentPeak, (agent - agentBytes) / seconds);
        sampledAt = now;
        machineBytes = machine;
        agentBytes = agent;
    }

    /** Bytes a second from the zones' machines to the agents, up to now. */
    synchronized double machine() {
        sample();
        return machinePeak;
    }

    /** Bytes a second from the agents to their relays. */
    synchronized double agent() {
        sample();
        return agentPeak;
    }

    @Override
    public void close() {
        sampler.shutdownNow();
    }
}
