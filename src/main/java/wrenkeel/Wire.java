package wrenkeel;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The simulator's wire protocol: one JSON object per line, converted to and from the types of {@link Relay}.
 * The real relay reads its configuration and discovery's host lists with the same decoder.
 */
public final class Wire {
    private static final JsonFactory JSON = new JsonFactory();

    private Wire() { }

    /** The input is not valid JSON, or a field is missing or has the wrong type or value. */
    public static final class MalformedException extends IOException {
        private static final long serialVersionUID = 1L;

        public MalformedException(String message) {
            super(message);
        }
    }

    /**
     * A decoded JSON object with typed access to its fields. An accessor without a default value throws
     * {@link MalformedException} if the field is missing or null; every accessor does if the value has
     * another type. Times are milliseconds on the wire and microseconds when returned.
     */
    public record Fields(Map<String, Object> values) {
        private Object require(String name) throws MalformedException {
            Object value = values.get(name);
            if (value == null) {
                throw new MalformedException("missing field '" + name + "'");
            }
            return value;
        }

        public String text(String name) throws MalformedException {
            if (require(name) instanceof String s) {
                return s;
            }
            throw new MalformedException("field '" + name + "' is not a string");
        }

        public String text(String name, String defaultValue) throws MalformedException {
            return values.get(name) == null ? defaultValue : text(name);
        }

        public double doubleValue(String name) throws MalformedException {
            if (require(name) instanceof Number n) {
                return n.doubleValue();
            }
            throw new MalformedException("field '" + name + "' is not a number");
        }

        public double doubleValue(String name, double defaultValue) throws MalformedException {
            return values.get(name) == null ? defaultValue : doubleValue(name);
        }

        /** Returns a number that has no fractional part. */
        public long longValue(String name) throws MalformedException {
            if (require(name) instanceof Number n && n.doubleValue() == Math.rint(n.doubleValue())) {
                return n.longValue();
            }
            throw new MalformedException("field '" + name + "' is not a whole number");
        }

        public long longValue(String name, long defaultValue) throws MalformedException {
            return values.get(name) == null ? defaultValue : longValue(name);
        }

        /** Returns a time that is given in milliseconds, in microseconds. */
        public long micros(String name) throws MalformedException {
            return Math.round(doubleValue(name) * 1000.0);
        }

        public long micros(String name, double defaultMillis) throws MalformedException {
            return Math.round(doubleValue(name, defaultMillis) * 1000.0);
        }

        /** Returns false if the field is missing or null. */
        public boolean booleanValue(String name) throws MalformedException {
            Object value = values.get(name);
            if (value == null || value instanceof Boolean) {
                return value != null && (Boolean) value;
            }
            throw new MalformedException("field '" + name + "' is not true or false");
        }

        /** Returns an object without fields if the field is missing or null. */
        public Fields object(String name) throws MalformedException {
            Object value = values.get(name);
            return value == null ? new Fields(Map.of()) : asFields(value, name);
        }

        /** Returns an array of objects; empty if the field is missing or null. */
        public List<Fields> objects(String name) throws MalformedException {
            List<Fields> all = new ArrayList<>();
            for (Object value : list(name)) {
                all.add(asFields(value, name));
            }
            return all;
        }

        /** Returns an array of any values; empty if the field is missing or null. */
        public List<?> list(String name) throws MalformedException {
            Object value = values.get(name);
            if (value == null || value instanceof List) {
                return value == null ? List.of() : (List<?>) value;
            }
            throw new MalformedException("field '" + name + "' is not an array");
        }

        /** Returns the fields of a decoded value, or null if the value is not a JSON object. */
        @SuppressWarnings("unchecked")
        public static Fields of(Object value) {
            return value instanceof Map ? new Fields((Map<String, Object>) value) : null;
        }

        private static Fields asFields(Object value, String name) throws MalformedException {
            Fields fields = of(value);
            if (fields != null) {
                return fields;
            }
            throw new MalformedException("field '" + name + "' is not an object");
        }
    }

    /** Decodes one line, which must hold exactly one JSON object. */
    public static Fields decode(String line) throws MalformedException {
        return Fields.asFields(singleValue(line), "line");
    }

    /** Receives the position of a value in a stream: the offset of its first byte and its length in bytes. */
    public interface ByteRangeConsumer {
        void accept(long offset, long length);
    }

    /**
     * Decodes one object from a UTF-8 stream. If its field {@code skippedField} is an object, the elements of
     * that object's arrays are skipped, because there may be very many, and {@code skippedRange} receives the
     * object's position in the stream.
     */
    public static Fields decode(InputStream in, String skippedField, ByteRangeConsumer skippedRange)
        throws IOException {
        try (JsonParser parser = JSON.createParser(in)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedException("not an object");
            }
            Map<String, Object> map = new LinkedHashMap<>();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                if (parser.nextToken() == JsonToken.START_OBJECT && name.equals(skippedField)) {
                    long offset = parser.currentTokenLocation().getByteOffset();
                    map.put(name, objectWithEmptyArrays(parser));
                    skippedRange.accept(offset, parser.currentLocation().getByteOffset() - offset);
                } else {
                    map.put(name, value(parser));
                }
            }
            if (parser.nextToken() != null) {
                throw new MalformedException("more than one value");
            }
            return new Fields(map);
        } catch (JsonProcessingException e) {
            throw new MalformedException("bad JSON: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    /** Decodes an object whose fields that are arrays become empty lists, without decoding their elements. */
    private static Map<String, Object> objectWithEmptyArrays(JsonParser parser) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            if (parser.nextToken() == JsonToken.START_ARRAY) {
                parser.skipChildren();
                map.put(name, List.of());
            } else {
                map.put(name, value(parser));
            }
        }
        return map;
    }

    /** Decodes one array of objects. An object in which a name occurs twice is malformed. */
    public static List<Fields> decodeArray(String text) throws MalformedException {
        try (JsonParser parser = JSON.createParser(text)) {
            parser.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
            return new Fields(Collections.singletonMap("array", singleValue(parser))).objects("array");
        } catch (IOException e) {
            throw toMalformed(e);
        }
    }

    private static Object singleValue(String text) throws MalformedException {
        try (JsonParser parser = JSON.createParser(text)) {
            return singleValue(parser);
        } catch (IOException e) {
            throw toMalformed(e);
        }
    }

    private static Object singleValue(JsonParser parser) throws IOException {
        if (parser.nextToken() == null) {
            throw new MalformedException("no JSON value");
        }
        Object value = value(parser);
        if (parser.nextToken() != null) {
            throw new MalformedException("more than one value on the line");
        }
        return value;
    }

    private static MalformedException toMalformed(IOException e) {
        return e instanceof MalformedException malformed ? malformed
            : new MalformedException("bad JSON: " + e.getMessage().lines().findFirst().orElse(""));
    }

    private static Object value(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT: {
                Map<String, Object> map = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    map.put(name, value(parser));
                }
                return map;
            }
            case START_ARRAY: {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(parser));
                }
                return list;
            }
            case VALUE_STRING: return parser.getText();
            case VALUE_NUMBER_INT: return parser.getNumberValue();
            case VALUE_NUMBER_FLOAT: return parser.getDoubleValue();
            case VALUE_TRUE: return Boolean.TRUE;
            case VALUE_FALSE: return Boolean.FALSE;
            case VALUE_NULL: return null;
            default: throw new MalformedException("unexpected JSON token " + parser.currentToken());
        }
    }

    /** Reads the settings of the decision module; a field that is missing has the default given here. */
    public static Relay.Settings settings(Fields fields) throws MalformedException {
        Fields info = fields.object("family-info");
        Fields allowed = fields.object("allowed");
        Fields rules = fields.object("rules");
        Fields prices = fields.object("deductions");
        int maxAttempts = (int) allowed.longValue("most-tries", 1);
        List<Relay.MessageClass> classes = new ArrayList<>();
        for (Fields profile : fields.objects("profiles")) {
            Relay.Effect effect = effect(profile.text("semantics"));
            classes.add(new Relay.MessageClass(profile.text("name", ""), profile.micros("aim"),
                profile.micros("hard-limit"), profile.doubleValue("worth", 1),
                profile.doubleValue("late-worth", 0), effect, dedupPerZone(profile, effect),
                profile.micros("window", 0), profile.booleanValue("sequential"), maxAttempts));
        }
        List<Relay.Tenant> tenants = new ArrayList<>();
        for (Fields tenant : fields.objects("tenants")) {
            tenants.add(new Relay.Tenant(tenant.text("name", ""), tenant.doubleValue("quota-per-s", 0)));
        }
        List<Relay.Kind> kinds = new ArrayList<>();
        List<?> independent = info.list("kind-apart");
        List<?> maxBatchSizes = info.list("bundle-max");
        for (int i = 0; i < fields.list("kinds").size(); i++) {
            boolean isIndependent = i < independent.size() && Boolean.TRUE.equals(independent.get(i));
            int maxBatchSize = i < maxBatchSizes.size() && maxBatchSizes.get(i) instanceof Number n
                ? n.intValue() : 1;
            kinds.add(new Relay.Kind(isIndependent, Math.max(1, maxBatchSize)));
        }
        List<Double> zoneFees = new ArrayList<>();
        for (Object fee : info.list("carriage")) {
            zoneFees.add(fee instanceof Number n ? n.doubleValue() : 0.0);
        }
        return new Relay.Settings((int) fields.longValue("rank", 0), (int) fields.longValue("balancers", 1),
            (int) fields.longValue("zone", 0),
            info.text("late", "linear").equals("halving"), fields.doubleValue("over-share-worth", 1),
            weights(fields.text("weights", "none")), classes, tenants, kinds,
            new Relay.Limits((int) info.longValue("call-slots", 1),
                (int) allowed.longValue("open-cap", 1000),
                allowed.booleanValue("second-copies"), allowed.booleanValue("cancel"),
                (int) allowed.longValue("max-streams", 1),
                allowed.micros("connect-timeout", 0), allowed.micros("keepalive", 0),
                allowed.booleanValue("retry-after") ? allowed.micros("max-retry-after", 0) : 0),
            new Relay.Rules(rules.micros("stop-sending-within", 0), rules.doubleValue("fall-multiple", 1),
                rules.micros("tip-after", 1), rules.doubleValue("cold-from", 1), rules.micros("cold", 0),
                rules.micros("key-rest", 0), rules.micros("answer-slack", 0)),
            new Relay.Costs(info.doubleValue("refusal-cost", 0), prices.doubleValue("handshake", 0),
                prices.doubleValue("cross-zone", 0), prices.doubleValue("waste", 0), zoneFees));
    }

    private static Relay.Effect effect(String word) throws MalformedException {
        return switch (word) {
            case "retryable" -> Relay.Effect.SAFE;
            case "dedup" -> Relay.Effect.KEYED;
            case "fragile" -> Relay.Effect.UNSAFE;
            default -> throw new MalformedException("unknown semantics '" + word + "'");
        };
    }

    /**
     * True if only endpoints of the same zone drop repeats of the class. Without the field that is assumed:
     * a repeat within a zone is dropped either way.
     */
    private static boolean dedupPerZone(Fields profile, Relay.Effect effect) throws MalformedException {
        if (effect != Relay.Effect.KEYED) {
            return false;
        }
        String group = profile.text("group", "zone");
        return switch (group) {
            case "all" -> false;
            case "zone" -> true;
            default -> throw new MalformedException("unknown group '" + group + "'");
        };
    }

    private static Relay.Weights weights(String word) {
        return switch (word) {
            case "nominal" -> Relay.Weights.NOMINAL;
            case "rough" -> Relay.Weights.ROUGH;
            default -> Relay.Weights.NONE;
        };
    }

    static Relay.Outcome outcome(String word) throws MalformedException {
        return switch (word) {
            case "S" -> Relay.Outcome.OK;
            case "E" -> Relay.Outcome.ERROR;
            case "F" -> Relay.Outcome.FULL;
            case "T" -> Relay.Outcome.TIMEOUT;
            case "C" -> Relay.Outcome.CONNECT_FAILED;
            case "R" -> Relay.Outcome.RESET;
            case "X" -> Relay.Outcome.CANCELLED;
            case "N" -> Relay.Outcome.NOT_SENT;
            default -> throw new MalformedException("unknown outcome '" + word + "'");
        };
    }

    /** Reads the endpoints of a list of hosts. */
    static List<Relay.Endpoint> endpoints(List<Fields> items) throws MalformedException {
        List<Relay.Endpoint> all = new ArrayList<>();
        for (Fields host : items) {
            Relay.Listing listing = switch (host.text("state")) {
                case "SERVING" -> Relay.Listing.READY;
                case "DRAINING" -> Relay.Listing.DRAINING;
                case "DELETED" -> Relay.Listing.GONE;
                default -> throw new MalformedException("unknown state '" + host.text("state") + "'");
            };
            all.add(new Relay.Endpoint(host.longValue("host"), (int) host.longValue("region-part", 0),
                (int) host.longValue("family-type", 0), host.longValue("owner-no", 0), listing,
                host.doubleValue("size", 1)));
        }
        return all;
    }

    /** Decodes an event for one instance; returns null for a verb that does not concern the module. */
    static Relay.Event event(String verb, Fields fields) throws MalformedException {
        switch (verb) {
            case "Accept":
                return new Relay.MessageAccepted(fields.text("ref"), (int) fields.longValue("cls", 0),
                    (int) fields.longValue("realm", 0), fields.text("route-key", null),
                    fields.micros("deadline"), fields.longValue("to-exchange", 0));
            case "Verdict": {
                Relay.Outcome outcome = outcome(fields.text("rc"));
                Fields report = fields.object("report");
                long wait = outcome == Relay.Outcome.FULL ? Math.max(0, fields.micros("detail", 0)) : 0;
                return new Relay.AttemptEnded(fields.text("ref"), (int) fields.longValue("attempt", 0),
                    fields.longValue("host"), outcome, fields.booleanValue("finished"), wait,
                    fields.micros("spent", 0), report.doubleValue("x0", -1), report.doubleValue("x1", -1));
            }
            case "TickDue": return new Relay.TimerDue();
            case "Dropped": return new Relay.MessageWithdrawn(fields.text("ref"));
            case "Pong", "Heard", "Started": return null;
            default: throw new MalformedException("unknown verb '" + verb + "'");
        }
    }

    /** Writes the module's actions to a stream, one JSON object per line. */
    static final class Writer {
        private final JsonGenerator out;
        private int lastLabel;

        Writer(OutputStream stream) throws IOException {
            out = JSON.createGenerator(stream);
            out.setRootValueSeparator(null);
        }

        /** Writes the end of a batch's reply and flushes the stream. */
        void writeFinished(long frame) throws IOException {
            out.writeStartObject();
            out.writeStringField("verb", "Finished");
            out.writeNumberField("frame", frame);
            endLine();
            out.flush();
        }

        /** Writes one action, unless it does not concern the simulator. */
        void writeAction(int instance, Relay.Action action) throws IOException {
            if (action instanceof Relay.EndpointForgotten || action instanceof Relay.DestinationReleased) {
                return;
            }
            out.writeStartObject();
            if (action instanceof Relay.Send a) {
                writeHeader("Issue", instance, a.id());
                out.writeNumberField("host", a.endpoint());
                writeMillis("patience", a.timeout());
            } else if (action instanceof Relay.Refuse a) {
                writeHeader("Deny", instance, a.id());
                writeMillis("come-back", a.retryAfter());
            } else if (action instanceof Relay.Fail a) {
                writeHeader("EndFailed", instance, a.id());
            } else if (action instanceof Relay.CancelAttempt a) {
                writeHeader("CallOff", instance, a.id());
                out.writeNumberField("attempt", a.attempt());
            } else if (action instanceof Relay.CloseIdleConnections a) {
                writeHeader("DropConns", instance, null);
                out.writeNumberField("host", a.endpoint());
            } else if (action instanceof Relay.SetTimer a) {
                writeHeader("Remind", instance, null);
                out.writeNumberField("label", lastLabel = (lastLabel + 1) & 0xffff);
                writeMillis("sleep-for", a.delay());
            } else if (action instanceof Relay.HealthChanged a) {
                writeHeader("NoteDown", instance, null);
                out.writeStringField("message", "endpoint " + a.endpoint() + ": " + a.health() + ", "
                    + a.reason());
            }
            endLine();
        }

        private void writeHeader(String verb, int instance, String id) throws IOException {
            out.writeStringField("verb", verb);
            out.writeNumberField("i", instance);
            if (id != null) {
                out.writeStringField("ref", id);
            }
        }

        private void writeMillis(String name, long micros) throws IOException {
            out.writeNumberField(name, micros / 1000.0);
        }

        private void endLine() throws IOException {
            out.writeEndObject();
            out.writeRaw('\n');
        }
    }
}
