package wrenkeel.scale;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Peak byte rates on two hops of a fleet: from the control machines to the agents, and from the agents to
 * their relays. A background thread samples the byte counters every 100 ms until this is closed.
 */
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
        machineBytes = fleet.machines().machineTraffic().totalBytes();
        agentBytes = fleet.agents().agentTraffic().totalBytes();
        sampler.scheduleAtFixedRate(this::sample, WINDOW_MS, WINDOW_MS, TimeUnit.MILLISECONDS);
    }

    private synchronized void sample() {
        long now = System.nanoTime();
        long machine = fleet.machines().machineTraffic().totalBytes();
        long agent = fleet.agents().agentTraffic().totalBytes();
        // The divisor is at least one window; a late sample is divided by the longer time that it covers.
        double seconds = Math.max(WINDOW_MS / 1e3, (now - sampledAt) / 1e9);
        machinePeakRate = Math.max(machinePeakRate, (machine - machineBytes) / seconds);
        agentPeakRate = Math.max(agentPeakRate, (agent - agentBytes) / seconds);
        sampledAt = now;
        machineBytes = machine;
        agentBytes = agent;
    }

    /** Peak bytes per second from the zones' control machines to the agents, up to now. */
    synchronized double machineBytesPerSecond() {
        sample();
        return machinePeakRate;
    }

    /** Peak bytes per second from the agents to their relays, up to now. */
    synchronized double agentBytesPerSecond() {
        sample();
        return agentPeakRate;
    }

    @Override
    public void close() {
        sampler.shutdownNow();
    }
}
