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
    static final int MACHINES = 7, ZONES = 5;
    /** Zones of the first region; the others are in the second. */
    private static final int ZONES_OF_SOURCE = 3;

    private final ChangeLog log;
    private final long wait;
    private final HopCounters sourceHop = new HopCounters();
    private final HopCounters machineHop = new HopCounters();
    private final ThreadTimes times = new ThreadTimes();
    private final MultiThreadIoEventLoopGroup threads = new MultiThreadIoEventLoopGroup(MACHINES,
        new DefaultThreadFactory("control-machine", true), NioIoHandler.newFactory());
    private final ListNode source;
    private final ListNode secondHead;
    private final List<ListNode> zones = new ArrayList<>();

    /** {@code wait}: ms that each watch between machines waits. */
    ControlMachines(ChangeLog log, long wait) throws IOException {
        this.log = log;
        this.wait = wait;
        source = machine(sourceHop);
        source.advance(log.latest());
        secondHead = machine(sourceHop);
        secondHead.follow(source.address(), wait);
        for (int zone = 0; zone < ZONES; zone++) {
            ListNode machine = machine(machineHop);
            machine.follow(above(zone), wait);
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
    InetSocketAddress zone(int zone) {
        return zones.get(zone).address();
    }

    /** Tells the source of what has been published. */
    void published(long version) {
        source.advance(version);
    }

    /** A zone's machine is lost and back. */
    void restartZone(int zone) {
        zones.get(zone).restart(above(zone), wait).syncUninterruptibly();
    }

    /** The lowest version that any machine holds. */
    long version() {
        return Math.min(secondHead.version(),
            zones.stream().mapToLong(ListNode::version).min().orElseThrow());
    }

    /** Between the machines. */
    HopCounters.Counts sourceHop() {
        return sourceHop.read();
    }

    /** Between the zones' machines and the agents. */
    HopCounters.Counts machineHop() {
        return machineHop.read();
    }

    /** us of processor time of all machines so far. */
    long cpuMicros() {
        return times.micros();
    }

    @Override
    public void close() {
        zones.forEach(ListNode::close);
        secondHead.close();
        source.close();
        Shutdown.now(threads);
    }
}
