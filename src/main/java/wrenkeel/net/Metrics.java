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

/** The relay's metrics: counters since this process started, and gauges. Thread-safe. */
final class Metrics {
    private static final JsonFactory JSON = new JsonFactory();

    /** Numbers of messages of one class by how they ended. */
    private static final class EndCounts {
        final AtomicLong completed = new AtomicLong();
        final AtomicLong rejected = new AtomicLong();
        final AtomicLong failed = new AtomicLong();
    }

    /** Values at one moment; see {@link #updateGauges}. */
    private record Gauges(int pending, int listedEndpoints, int unavailableEndpoints, long listVersion,
                          long listFaults, long journalFailures, long maxLagMillis) { }

    private final Map<String, EndCounts> countsByClass = new ConcurrentSkipListMap<>();
    private final Map<Violation, AtomicLong> violations = zeroes(Violation.class);
    private final Map<Refusal, AtomicLong> refusals = zeroes(Refusal.class);
    private final Map<Relay.HealthReason, AtomicLong> healthChanges = zeroes(Relay.HealthReason.class);
    private final AtomicLong upstreamRequests = new AtomicLong();
    private final AtomicLong surplusResponses = new AtomicLong();
    private final AtomicLong reloads = new AtomicLong();
    private final AtomicLong reloadErrors = new AtomicLong();
    private volatile Gauges gauges = new Gauges(0, 0, 0, -1, 0, 0, 0);

    /**
     * Adds counters for message classes. Classes of earlier settings stay, since their messages may still
     * end.
     */
    void addClasses(Collection<String> names) {
        names.forEach(this::countsOf);
    }

    private EndCounts countsOf(String messageClass) {
        return countsByClass.computeIfAbsent(messageClass, name -> new EndCounts());
    }

    /** Returns a map with all keys: it is never changed after that, so that any thread may count. */
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

    void countRefusal(Refusal reason) {
        refusals.get(reason).incrementAndGet();
    }

    /** Counts a change of an endpoint's health. */
    void countHealthChange(Relay.HealthReason reason) {
        healthChanges.get(reason).incrementAndGet();
    }

    /** Counts a message that was delivered. */
    void countCompleted(String messageClass) {
        countsOf(messageClass).completed.incrementAndGet();
    }

    /** Counts a message that was refused, or whose notice says that it is returned and safe to retry. */
    void countRejected(String messageClass) {
        countsOf(messageClass).rejected.incrementAndGet();
    }

    /** Counts a message that failed: it may or may not have been delivered. */
    void countFailed(String messageClass) {
        countsOf(messageClass).failed.incrementAndGet();
    }

    /** Counts the messages of a call, once its last byte is written. */
    void countUpstreamRequests(int messages) {
        upstreamRequests.addAndGet(messages);
    }

    /** Counts bytes of an endpoint that belong to no call. */
    void countSurplusResponse() {
        surplusResponses.incrementAndGet();
    }

    void countReload() {
        reloads.incrementAndGet();
    }

    void countReloadError() {
        reloadErrors.incrementAndGet();
    }

    /**
     * Replaces the gauges.
     *
     * @param pending messages accepted and not ended
     * @param listedEndpoints endpoints in the host list
     * @param unavailableEndpoints listed endpoints that are avoided now
     * @param listVersion version of the host list, -1 before the first
     * @param listFaults lists that were received and could not be used, since the start
     * @param journalFailures failed writes of the journal, since the start
     * @param maxLagMillis largest lag of the event loop since the start
     */
    void updateGauges(int pending, int listedEndpoints, int unavailableEndpoints, long listVersion,
                      long listFaults, long journalFailures, long maxLagMillis) {
        gauges = new Gauges(pending, listedEndpoints, unavailableEndpoints, listVersion, listFaults,
            journalFailures, maxLagMillis);
    }

    /** Returns all metrics as a JSON object in UTF-8. */
    byte[] toJson() {
        Gauges now = gauges;
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            writeByClass(out, "completed", ends -> ends.completed);
            writeByClass(out, "rejected", ends -> ends.rejected);
            writeByClass(out, "failed", ends -> ends.failed);
            out.writeNumberField("upstream_requests", upstreamRequests.get());
            out.writeNumberField("surplus_responses", surplusResponses.get());
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
            throw new IllegalStateException("writing to a byte array failed", e);
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
