package wrenkeel.net;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/**
 * Logs warnings that misbehaving peers may cause in large numbers. The first one is logged at once; those
 * within the next second are counted and summed up in one line with the text of the last. Belongs to one
 * executor.
 */
final class ThrottledLog {
    private static final long INTERVAL_MS = 1_000;

    private final Logger log;
    private boolean throttling;
    private long suppressed;
    private String lastSuppressed;

    ThrottledLog(Logger log) {
        this.log = log;
    }

    /** Logs the event as a warning, now or in the summary of the current interval. */
    void warn(EventExecutor executor, String event) {
        if (throttling) {
            suppressed++;
            lastSuppressed = event;
        } else {
            log.warn("{}", event);
            startInterval(executor);
        }
    }

    private void startInterval(EventExecutor executor) {
        throttling = true;
        executor.schedule(() -> endInterval(executor), INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void endInterval(EventExecutor executor) {
        throttling = false;
        if (suppressed == 1) {
            log.warn("{}", lastSuppressed);
        } else if (suppressed > 1) {
            log.warn("{}, and {} more within a second", lastSuppressed, suppressed - 1);
        }
        if (suppressed > 0) {
            suppressed = 0;
            startInterval(executor);
        }
    }
}
