package wrenkeel.net;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether the journal can be written. After a failure it is written anew, by growing gaps until that goes
 * well; in between nobody need try. Logged once for each outage. One event loop.
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

    /** {@code onChange}: told false at the first failure, and true once all is written down again. */
    JournalHealth(EventLoop loop, Journal journal, Consumer<Boolean> whenChanged) {
        this.loop = loop;
        this.journal = journal;
        this.onChange = whenChanged;
    }

    boolean isWritable() {
        return writable;
    }

    /** Writes that failed, since the start. */
    long failures() {
        return failures;
    }

    /** A write has failed, and with it what was to be written down. */
    void writeFailed(String consequence, IOException cause) {
        failures++;
        if (writable) {
            writable = false;
            failedSinceNanos = System.nanoTime();
            LOG.error("journal cannot be written: {}; tried again until it can", consequence, cause);
            onChange.accept(false);
            repairAfter(FIRST_RETRY_MS);
        }
    }

    /** Nothing is written from now on. */
    void stop() {
        stopped = true;
    }

    private void repairAfter(long gap) {
        loop.schedule(() -> repair(gap), gap, TimeUnit.MILLISECONDS);
    }

    private void repair(long gap) {
        if (stopped) {
            return;
        }
        try {
            journal.repair();
        } catch (IOException | RuntimeException e) {
            failures++;
            repairAfter(Math.min(MAX_RETRY_MS, 2 * gap));
            return;
        }
        writable = true;
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - failedSinceNanos);
        LOG.info("journal written again after {} ms, {} failures since the start", millis, failures);
        onChange.accept(true);
    }
}
