package wrenkeel.scale;

import io.netty.channel.EventLoop;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;

/** The processor time of some event loops' threads together. */
final class ThreadTimes {
    private final ThreadMXBean threadMxBean = ManagementFactory.getThreadMXBean();
    private final List<Long> threadIds = new ArrayList<>();

    void add(EventLoop loop) {
        threadIds.add(loop.submit(() -> Thread.currentThread().getId()).syncUninterruptibly().getNow());
    }

    /** us of processor time so far. */
    long cpuMicros() {
        return threadIds.stream().mapToLong(id -> threadMxBean.getThreadCpuTime(id) / 1_000).sum();
    }
}
