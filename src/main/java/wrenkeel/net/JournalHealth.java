package wrenkeel.net;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks whether the journal can be written. After a failed write the whole journal is rewritten, retried
 * with growing delays until that succeeds; callers need not try meanwhile. Each outage is logged once. Used
 * on one event loop.
 */
final class JournalHealth {
    private static final Logger LOG = LoggerFactory.getLogger(JournalHealth.class);
    private static final long FIRST_RETRY_MS = 50;
    private static final long MAX_RETRY_MS = 250;

    private final EventLoop loop;
    private final Journal journal;
    private final Consumer<Boolean> onChange;
    private boolean writable = true;
    private boolean stopped;
    private long failures;
    private long failedSinceNanos;

    /** {@code onChange} receives false at the first failure, and true once the journal is complete again. */
    JournalHealth(EventLoop loop, Journal journal, Consumer<Boolean> onChange) {
        this.loop = loop;
        this.journal = journal;
        this.onChange = onChange;
    }

    boolean isWritable() {
        return writable;
    }

    /** Failed writes since the start of the process. */
    long failures() {
        return failures;
    }

    /**
     * Reports a failed write.
     *
     * @param consequence for the log: what the failure means for the record that was to be written
     */
    void writeFailed(String consequence, IOException cause) {
        failures++;
        if (writable) {
            writable = false;
            failedSinceNanos = System.nanoTime();
            LOG.error("cannot write the journal: {}; retrying until it succeeds", consequence, cause);
            onChange.accept(false);
            repairAfter(FIRST_RETRY_MS);
        }
    }

    /** Ends the retries. */
    void stop() {
        stopped = true;
    }

    private void repairAfter(long delayMillis) {
        loop.schedule(() -> repair(delayMillis), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void repair(long delayMillis) {
        if (stopped) {
            return;
        }
        try {
            journal.repair();
        } catch (IOException | RuntimeException e) {
            failures++;
            repairAfter(Math.min(MAX_RETRY_MS, 2 * delayMillis));
            return;
        }
        writable = true;
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - failedSinceNanos);
        LOG.info("journal is writable again after {} ms, {} failed writes since the start", millis, failures);
        onChange.accept(true);
    }
}
