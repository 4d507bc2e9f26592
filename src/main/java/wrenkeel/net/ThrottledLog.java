package wrenkeel.net;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/**
 * Warnings that a flood of bad peers may cause: the first is logged at once, those within the next second are
 * counted and told in one line, with the last of them. Belongs to one executor.
 */
final class ThrottledLog {
    private static final long SPAN_MILLIS = 1_000;

    private final Logger log;
    private boolean counting;
    private long counted;
    private String last;

    ThrottledLog(Logger log) {
        this.log = log;
    }

    void warn(EventExecutor executor, String event) {
        if (counting) {
            counted++;
            last = event;
        } else {
            log.warn("{}", event);
            count(executor);
        }
    }

    private void count(EventExecutor executor) {
        counting = true;
        executor.schedule(() -> tell(executor), SPAN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tell(EventExecutor executor) {
        counting = false;
        if (counted == 1) {
            log.warn("{}", last);
        } else if (counted > 1) {
            log.warn("{}, and {} more within a second", last, counted - 1);
        }
        if (counted > 0) {
            counted = 0;
            count(executor);
        }
    }
}
