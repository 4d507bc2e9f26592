package wrenkeel.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntUnaryOperator;

/**
 * One discovery agent per relay. Each agent listens on its own port and watches the control machine of its
 * zone. All agents share a few event loops.
 */
final class FleetAgents implements AutoCloseable {
    private static final int THREADS = 3;

    private final ControlMachines machines;
    private final long waitMs;
    private final IntUnaryOperator zoneOfAgent;
    private final HopCounters agentTraffic = new HopCounters();
    private final ThreadTimes threadTimes = new ThreadTimes();
    private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(THREADS,
        new DefaultThreadFactory("agents", true), NioIoHandler.newFactory());
    private final List<ListNode> agents = new ArrayList<>();

    /**
     * Opens the agents' ports and starts their watches.
     *
     * @param waitMs how long each watch of an agent asks its control machine to wait for a change
     * @param zoneOfAgent the zone of each agent, by the agent's number
     */
    FleetAgents(ChangeLog log, ControlMachines machines, int count, long waitMs, IntUnaryOperator zoneOfAgent)
        throws IOException {
        this.machines = machines;
        this.waitMs = waitMs;
        this.zoneOfAgent = zoneOfAgent;
        for (int i = 0; i < THREADS; i++) {
            threadTimes.add(eventLoops.next());
        }
        for (int i = 0; i < count; i++) {
            EventLoop loop = eventLoops.next();
            ListNode agent = new ListNode(loop, log, agentTraffic);
            agent.watch(machines.zoneAddress(zoneOfAgent.applyAsInt(i)), waitMs);
            agents.add(agent);
        }
    }

    /** Returns the loopback port of an agent. */
    int port(int agent) {
        return agents.get(agent).address().getPort();
    }

    /** Returns the number of agents. */
    int size() {
        return agents.size();
    }

    /** Simulates the loss and return of the agent's machine: the agent restarts without a list. */
    Future<?> restart(int agent) {
        return agents.get(agent).restart(machines.zoneAddress(zoneOfAgent.applyAsInt(agent)), waitMs);
    }

    /** Returns the lowest list version that any agent holds; -1 while any has no list. */
    long minVersion() {
        return agents.stream().mapToLong(ListNode::version).min().orElseThrow();
    }

    /** Returns the traffic between the agents and their relays so far. */
    HopCounters.Counts agentTraffic() {
        return agentTraffic.snapshot();
    }

    /** Returns the processor time of all agents so far, in microseconds. */
    long cpuMicros() {
        return threadTimes.cpuMicros();
    }

    @Override
    public void close() {
        agents.forEach(ListNode::close);
        Shutdown.now(eventLoops);
    }
}
