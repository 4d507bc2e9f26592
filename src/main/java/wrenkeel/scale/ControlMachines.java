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
    private static final int ZONES_OF_SOURCE = 3;

    private final ChangeLog log;
    private final long wait;
    private final HopCounters sourceHop = new HopCounters();
    private final HopCounters machineHop = new HopCounters();
    private final ThreadTimes times = new ThreadTimes();
    private final MultiThreadIoEventLoopGroup threads = new MultiThreadIoEventLoopGroup(MACHINE_COUNT,
        new DefaultThreadFactory("control-machine", true), NioIoHandler.newFactory());
    private final ListNode source;
    private final ListNode secondHead;
    private final List<ListNode> zones = new ArrayList<>();

    /** {@code wait}: ms that each watch between machines waits. */
    ControlMachines(ChangeLog log, long wait) throws IOException {
        this.log = log;
        this.wait = wait;
        source = machine(sourceHop);
        source.advanceTo(log.latestVersion());
        secondHead = machine(sourceHop);
        secondHead.watch(source.address(), wait);
        for (int zone = 0; zone < ZONE_COUNT; zone++) {
            ListNode machine = machine(machineHop);
            machine.watch(above(zone), wait);
            zones.add(machine);
        }
    }

    private ListNode machine(HopCounters hop) throws IOException {
        EventLoop loop = threads.next();
        times.add(loop);
        return new ListNode(loop, log, hop);
    }

    private InetSocketAddress above(int zone) {
        return (zone < ZONES_OF_SOURCE ? source : secondHead).address();
    }

    /** Where the agents of a zone watch. */
    InetSocketAddress zoneAddress(int zone) {
        return zones.get(zone).address();
    }

    /** Tells the source of what has been published. */
    void advanceSource(long version) {
        source.advanceTo(version);
    }

    /** A zone's machine is lost and back. */
    void restartZone(int zone) {
        zones.get(zone).restart(above(zone), wait).syncUninterruptibly();
    }

    /** The lowest version that any machine holds. */
    long minVersion() {
        return Math.min(secondHead.version(),
            zones.stream().mapToLong(ListNode::version).min().orElseThrow());
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
        return times.cpuMicros();
    }

    @Override
    public void close() {
        zones.forEach(ListNode::close);
        secondHead.close();
        source.close();
        Shutdown.now(threads);
    }
}
