package wrenkeel.scale;

import io.netty.channel.EventLoop;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;

/** The processor time of some event loops' threads together. */
final class ThreadTimes {
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final List<Long> ids = new ArrayList<>();

    void add(EventLoop loop) {
        ids.add(loop.submit(() -> Thread.currentThread().getId()).syncUninterruptibly().getNow());
    }

    /** us of processor time so far. */
    long cpuMicros() {
        return ids.stream().mapToLong(id -> threads.getThreadCpuTime(id) / 1_000).sum();
    }
}
