package wrenkeel.net;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Relay;

/**
 * Logs one line for each change of an endpoint's health, with its name, the reason, and the usage and limit
 * of its slow start. A token bucket limits the rate of lines, so that many changes do not fill the log, and
 * an early burst does not suppress a later incident; the next line says how many were suppressed. Not
 * thread-safe.
 */
final class EndpointHealthLog {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointHealthLog.class);
    /** Capacity of the token bucket. */
    private static final double BURST_LINES = 60;
    /** Refill rate of the token bucket. */
    private static final double LINES_PER_SECOND = 1;

    private final LongSupplier nanoClock;
    private final Consumer<String> out;
    private double availableLines = BURST_LINES;
    private long refilledAtNanos;
    private long suppressed;

    EndpointHealthLog() {
        this(System::nanoTime, LOG::info);
    }

    EndpointHealthLog(LongSupplier nanoClock, Consumer<String> out) {
        this.nanoClock = nanoClock;
        this.out = out;
        refilledAtNanos = nanoClock.getAsLong();
    }

    /** Logs a change unless the rate is exceeded; {@code host} is null if the list does not name it. */
    void logChange(Relay.HealthChanged change, HostList.Host host) {
        long now = nanoClock.getAsLong();
        double seconds = (double) (now - refilledAtNanos) / TimeUnit.SECONDS.toNanos(1);
        availableLines = Math.min(BURST_LINES, availableLines + seconds * LINES_PER_SECOND);
        refilledAtNanos = now;
        if (availableLines < 1) {
            suppressed++;
            return;
        }
        availableLines--;
        out.accept(text(change, host));
        if (suppressed > 0) {
            out.accept(suppressed + " changes before that one were not logged");
        }
        suppressed = 0;
    }

    private static String text(Relay.HealthChanged change, HostList.Host host) {
        String name = host == null ? "unlisted " + change.endpoint()
            : host.name + " of destination " + host.destination;
        String slowStart = String.format(Locale.ROOT,
            "%.2f calls a second before the outage, %d calls in the slow start window, %.2f allowed",
            change.carriedPerSecond(), change.sentInWindow(), change.allowedInWindow());
        return "endpoint " + name + ": " + change.health() + ", " + change.reason() + "; " + slowStart;
    }
}
