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
 * The seven control machines as a tree of watches over two regions and five zones: one head a region, of
 * which the first is the source, and one machine a zone. So a change crosses between the regions once, enters
 * each zone once, and no machine sends it to more than a fifth of the fleet's agents; what a zone's return
 * costs stays with that zone's machine. Each machine is one thread here.
 */
final class ControlMachines implements AutoCloseable {
    static final int MACHINE_COUNT = 7, ZONE_COUNT = 5;
    /** Zones of the first region; the others are in the second. */
    private static final int FIRST_REGION_ZONES = 3;

    private final ChangeLog changeLog;
    private final long waitMs;
    private final HopCounters sourceHop = new HopCounters();
    private final HopCounters machineHop = new HopCounters();
    private final ThreadTimes threadTimes = new ThreadTimes();
    private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(MACHINE_COUNT,
        new DefaultThreadFactory("control-machine", true), NioIoHandler.newFactory());
    private final ListNode source;
    private final ListNode secondRegionHead;
    private final List<ListNode> zoneMachines = new ArrayList<>();

    /** {@code waitMs}: ms that each watch between machines waits. */
    ControlMachines(ChangeLog changeLog, long waitMs) throws IOException {
        this.changeLog = changeLog;
        this.waitMs = waitMs;
        source = newMachine(sourceHop);
        source.advanceTo(changeLog.latestVersion());
        secondRegionHead = newMachine(sourceHop);
        secondRegionHead.watch(source.address(), waitMs);
        for (int zone = 0; zone < ZONE_COUNT; zone++) {
            ListNode machine = newMachine(machineHop);
            machine.watch(upstreamOf(zone), waitMs);
            zoneMachines.add(machine);
        }
    }

    private ListNode newMachine(HopCounters hop) throws IOException {
        EventLoop loop = eventLoops.next();
        threadTimes.add(loop);
        return new ListNode(loop, changeLog, hop);
    }

    private InetSocketAddress upstreamOf(int zone) {
        return (zone < FIRST_REGION_ZONES ? source : secondRegionHead).address();
    }

    /** Where the agents of a zone watch. */
    InetSocketAddress zoneAddress(int zone) {
        return zoneMachines.get(zone).address();
    }

    /** Tells the source of what has been published. */
    void advanceSource(long version) {
        source.advanceTo(version);
    }

    /** A zone's machine is lost and back. */
    void restartZone(int zone) {
        zoneMachines.get(zone).restart(upstreamOf(zone), waitMs).syncUninterruptibly();
    }

    /** The lowest version that any machine holds. */
    long minVersion() {
        return Math.min(secondRegionHead.version(),
            zoneMachines.stream().mapToLong(ListNode::version).min().orElseThrow());
    }

    /** Between the machines. */
    HopCounters.Counts sourceHopCounts() {
        return sourceHop.snapshot();
    }

    /** Between the zones' machines and the agents. */
    HopCounters.Counts machineHopCounts() {
        return machineHop.snapshot();
    }

    /** us of processor time of all machines so far. */
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
