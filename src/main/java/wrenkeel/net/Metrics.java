package wrenkeel.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import wrenkeel.Relay;

/** The operators' figures: counts since this process began. Any thread may read them. */
final class Metrics {
    private static final JsonFactory JSON = new JsonFactory();

    /** How the messages of one class ended. */
    private static final class EndCounts {
        final AtomicLong completed = new AtomicLong();
        final AtomicLong rejected = new AtomicLong();
        final AtomicLong failed = new AtomicLong();
    }

    /** What stands at one moment, rather than being counted. */
    private record Gauges(int pending, int listedEndpoints, int unavailableEndpoints, long listVersion, long listFaults,
                            long journalFailures, long maxLagMillis) { }

    private final Map<String, EndCounts> countsByClass = new ConcurrentSkipListMap<>();
    private final Map<Violation, AtomicLong> violations = zeroes(Violation.class);
    private final Map<Refusal, AtomicLong> refusals = zeroes(Refusal.class);
    private final Map<Relay.HealthReason, AtomicLong> healthChanges = zeroes(Relay.HealthReason.class);
    private final AtomicLong upstreamRequests = new AtomicLong();
    private final AtomicLong reloads = new AtomicLong();
    private final AtomicLong reloadErrors = new AtomicLong();
    private volatile Gauges gauges = new Gauges(0, 0, 0, -1, 0, 0, 0);

    /** These classes are in force; those of earlier settings stay, for their messages may yet end. */
    void addClasses(Collection<String> names) {
        names.forEach(this::countsOf);
    }

    private EndCounts countsOf(String messageClass) {
        return countsByClass.computeIfAbsent(messageClass, name -> new EndCounts());
    }

    /** All keys are there from the start: any thread may count. */
    private static <E extends Enum<E>> Map<E, AtomicLong> zeroes(Class<E> names) {
        Map<E, AtomicLong> counts = new EnumMap<>(names);
        for (E name : names.getEnumConstants()) {
            counts.put(name, new AtomicLong());
        }
        return counts;
    }

    void countViolation(Violation rule) {
        violations.get(rule).incrementAndGet();
    }

    long violationCount(Violation rule) {
        return violations.get(rule).get();
    }

    void countRefusal(Refusal why) {
        refusals.get(why).incrementAndGet();
    }

    /** The health of an endpoint has changed. */
    void countHealthChange(Relay.HealthReason why) {
        healthChanges.get(why).incrementAndGet();
    }

    void countCompleted(String messageClass) {
        countsOf(messageClass).completed.incrementAndGet();
    }

    void countRejected(String messageClass) {
        countsOf(messageClass).rejected.incrementAndGet();
    }

    void countFailed(String messageClass) {
        countsOf(messageClass).failed.incrementAndGet();
    }

    /** The last byte of a call with so many messages has been written. */
    void countUpstreamRequests(int messages) {
        upstreamRequests.addAndGet(messages);
    }

    void countReload() {
        reloads.incrementAndGet();
    }

    void countReloadError() {
        reloadErrors.incrementAndGet();
    }

    /**
     * {@code pending}: taken and not ended; {@code members}: listed endpoints, and those avoided now;
     * {@code version} of the list held, -1 before the first, and {@code faults}: lists that came and could
     * not be taken in; {@code journalFailures}: writes of the journal that failed; {@code worstLagMillis}:
     * the latest that the event loop has been since the start.
     */
    void updateGauges(int pending, int listedEndpoints, int unavailableEndpoints, long listVersion, long listFaults, long journalFailures,
                long maxLagMillis) {
        gauges = new Gauges(pending, listedEndpoints, unavailableEndpoints, listVersion, listFaults, journalFailures,
            maxLagMillis);
    }

    byte[] toJson() {
        Gauges now = gauges;
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            writeByClass(out, "completed", ends -> ends.completed);
            writeByClass(out, "rejected", ends -> ends.rejected);
            writeByClass(out, "failed", ends -> ends.failed);
            out.writeNumberField("upstream_requests", upstreamRequests.get());
            out.writeNumberField("pending", now.pending);
            out.writeNumberField("members", now.listedEndpoints);
            out.writeNumberField("members_unavailable", now.unavailableEndpoints);
            out.writeNumberField("list_version", now.listVersion);
            out.writeNumberField("list_faults", now.listFaults);
            out.writeNumberField("journal_failures", now.journalFailures);
            out.writeNumberField("event_loop_lag_max_ms", now.maxLagMillis);
            out.writeObjectFieldStart("refusals");
            for (Map.Entry<Refusal, AtomicLong> entry : refusals.entrySet()) {
                out.writeNumberField(entry.getKey().metricName(), entry.getValue().get());
            }
            out.writeEndObject();
            out.writeObjectFieldStart("health_changes");
            for (Map.Entry<Relay.HealthReason, AtomicLong> entry : healthChanges.entrySet()) {
                out.writeNumberField(entry.getKey().name().toLowerCase(Locale.ROOT), entry.getValue().get());
            }
            out.writeEndObject();
            out.writeObjectFieldStart("violations");
            for (Map.Entry<Violation, AtomicLong> entry : violations.entrySet()) {
                out.writeNumberField(entry.getKey().metricName(), entry.getValue().get());
            }
            out.writeEndObject();
            out.writeNumberField("config_reloads", reloads.get());
            out.writeNumberField("config_reload_errors", reloadErrors.get());
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("an array of bytes cannot fail to be written", e);
        }
        return text.toByteArray();
    }

    private void writeByClass(JsonGenerator out, String name, Function<EndCounts, AtomicLong> count)
        throws IOException {
        out.writeObjectFieldStart(name);
        for (Map.Entry<String, EndCounts> entry : countsByClass.entrySet()) {
            out.writeNumberField(entry.getKey(), count.apply(entry.getValue()).get());
        }
        out.writeEndObject();
    }
}
