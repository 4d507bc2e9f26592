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

/** One agent a relay, each with its own door and watch of its zone's machine; a few threads carry all. */
final class FleetAgents implements AutoCloseable {
    private static final int THREADS = 3;

    private final ControlMachines machines;
    private final long waitMs;
    private final IntUnaryOperator zoneOfAgent;
    private final HopCounters hopCounters = new HopCounters();
    private final ThreadTimes threadTimes = new ThreadTimes();
    private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(THREADS,
        new DefaultThreadFactory("agents", true), NioIoHandler.newFactory());
    private final List<ListNode> agents = new ArrayList<>();

    /** {@code waitMs}: ms that each agent's watch waits; {@code zoneOfAgent}: the zone of each agent. */
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
            ListNode agent = new ListNode(loop, log, hopCounters);
            agent.watch(machines.zoneAddress(zoneOfAgent.applyAsInt(i)), waitMs);
            agents.add(agent);
        }
    }

    int port(int agent) {
        return agents.get(agent).address().getPort();
    }

    int size() {
        return agents.size();
    }

    /** The agent's machine is lost and back: it holds nothing. */
    Future<?> restart(int agent) {
        return agents.get(agent).restart(machines.zoneAddress(zoneOfAgent.applyAsInt(agent)), waitMs);
    }

    /** The lowest version that any agent holds; -1 while one has no list. */
    long minVersion() {
        return agents.stream().mapToLong(ListNode::version).min().orElseThrow();
    }

    /** Between the agents and their relays. */
    HopCounters.Counts hopCounts() {
        return hopCounters.snapshot();
    }

    /** us of processor time of all agents so far. */
    long cpuMicros() {
        return threadTimes.cpuMicros();
    }

    @Override
    public void close() {
        agents.forEach(ListNode::close);
        Shutdown.now(eventLoops);
    }
}
