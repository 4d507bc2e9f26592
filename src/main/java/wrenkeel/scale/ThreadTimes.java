package wrenkeel.scale;

import io.netty.channel.EventLoop;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;

/** Sums the processor time of the threads of several event loops. */
final class ThreadTimes {
    private final ThreadMXBean threadMxBean = ManagementFactory.getThreadMXBean();
    private final List<Long> threadIds = new ArrayList<>();

    /** Adds the thread of an event loop; blocks until the loop has answered. */
    void add(EventLoop loop) {
        threadIds.add(loop.submit(() -> Thread.currentThread().getId()).syncUninterruptibly().getNow());
    }

    /** Returns the processor time of all added threads so far, in microseconds. */
    long cpuMicros() {
        return threadIds.stream().mapToLong(id -> threadMxBean.getThreadCpuTime(id) / 1_000).sum();
    }
}
