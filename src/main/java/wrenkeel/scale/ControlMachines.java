package wrenkeel.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The seven control machines as a tree of watches over two regions and five zones: one head per region, of
 * which the first is the source, and one machine per zone. A change thus crosses between the regions once and
 * enters each zone once, and no machine sends it to more than a fifth of the fleet's agents. The load of a
 * zone that returns from an outage stays with that zone's machine. Here, each machine is one thread.
 */
final class ControlMachines implements AutoCloseable {
    static final int MACHINE_COUNT = 7;
    static final int ZONE_COUNT = 5;
    /** Number of zones in the first region; the others are in the second. */
    private static final int FIRST_REGION_ZONES = 3;

    private final ChangeLog changeLog;
    private final long waitMs;
    private final HopCounters sourceTraffic = new HopCounters();
    private final HopCounters machineTraffic = new HopCounters();
    private final ThreadTimes threadTimes = new ThreadTimes();
    private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(MACHINE_COUNT,
        new DefaultThreadFactory("control-machine", true), NioIoHandler.newFactory());
    private final ListNode source;
    private final ListNode secondRegionHead;
    private final List<ListNode> zoneMachines = new ArrayList<>();

    /** Starts the machines; {@code waitMs} is how long each watch between machines waits for a change. */
    ControlMachines(ChangeLog changeLog, long waitMs) throws IOException {
        this.changeLog = changeLog;
        this.waitMs = waitMs;
        source = newMachine(sourceTraffic);
        source.advanceTo(changeLog.latestVersion());
        secondRegionHead = newMachine(sourceTraffic);
        secondRegionHead.watch(source.address(), waitMs);
        for (int zone = 0; zone < ZONE_COUNT; zone++) {
            ListNode machine = newMachine(machineTraffic);
            machine.watch(upstreamOf(zone), waitMs);
            zoneMachines.add(machine);
        }
    }

    private ListNode newMachine(HopCounters hop) throws IOException {
        EventLoop loop = eventLoops.next();
        threadTimes.add(loop);
        return new ListNode(loop, changeLog, hop);
    }

    /** Returns the address of the region head that a zone's machine watches. */
    private InetSocketAddress upstreamOf(int zone) {
        return (zone < FIRST_REGION_ZONES ? source : secondRegionHead).address();
    }

    /** Returns the address that the agents of a zone watch. */
    InetSocketAddress zoneAddress(int zone) {
        return zoneMachines.get(zone).address();
    }

    /** Makes the source serve the list up to this published version. */
    void advanceSource(long version) {
        source.advanceTo(version);
    }

    /** Simulates the loss and return of a zone's machine: it restarts without a list. */
    void restartZone(int zone) {
        zoneMachines.get(zone).restart(upstreamOf(zone), waitMs).syncUninterruptibly();
    }

    /** Returns the lowest version that any machine holds; -1 while any has no list. */
    long minVersion() {
        return Math.min(secondRegionHead.version(),
            zoneMachines.stream().mapToLong(ListNode::version).min().orElseThrow());
    }

    /** Returns the traffic between the control machines so far. */
    HopCounters.Counts sourceTraffic() {
        return sourceTraffic.snapshot();
    }

    /** Returns the traffic between the zones' machines and the agents so far. */
    HopCounters.Counts machineTraffic() {
        return machineTraffic.snapshot();
    }

    /** Returns the processor time of all machines so far, in microseconds. */
    long cpuMicros() {
        return threadTimes.cpuMicros();
    }

    @Override
    public void close() {
        zoneMachines.forEach(ListNode::close);
        secondRegionHead.close();
        source.close();
        Shutdown.now(eventLoops);
    }
}
