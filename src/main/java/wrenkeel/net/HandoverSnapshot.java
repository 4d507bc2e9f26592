package wrenkeel.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.LongUnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Relay;
import wrenkeel.Wire;

/**
 * What a relay that hands over to another process knows of its hosts, as JSON text. Points in time are Unix
 * time in milliseconds.
 */
final class HandoverSnapshot {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverSnapshot.class);
    private static final JsonFactory JSON = new JsonFactory();

    private HandoverSnapshot() { }

    /**
     * Writes what is known of endpoints. Once the text has {@code maxChars} characters, the rest is left out.
     *
     * @param toUnix converts the module's times to Unix time in ms
     */
    static String write(List<Relay.EndpointSnapshot> all, HostList hosts, LongUnaryOperator toUnix,
                        long maxChars) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("seq", hosts.version());
            out.writeArrayFieldStart("known");
            for (Relay.EndpointSnapshot snapshot : all) {
                HostList.Host host = hosts.hostById(snapshot.endpoint());
                out.flush();
                if (text.getBuffer().length() >= maxChars) {
                    break;
                }
                if (host == null) {
                    continue;
                }
                out.writeStartObject();
                out.writeStringField("host", host.name);
                out.writeBooleanField("ready", host.ready);
                out.writeNumberField("wait", toUnix.applyAsLong(snapshot.waitUntil()));
                out.writeNumberField("closed", toUnix.applyAsLong(snapshot.unavailableUntil()));
                out.writeStringField("health", snapshot.health().name());
                out.writeNumberField("since", toUnix.applyAsLong(snapshot.since()));
                out.writeNumberField("carried", snapshot.carriedPerSecond());
                out.writeNumberField("pace", snapshot.sendRate());
                out.writeNumberField("window", snapshot.congestionWindow());
                out.writeNumberField("latency", snapshot.latency());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        return text.toString();
    }

    /**
     * Reads a snapshot as events for the module. Text that is not valid JSON yields no events, and a
     * malformed entry ends the reading; this process then learns the state of the other hosts as after a
     * restart.
     *
     * @param hostByName returns the host of a name, which the module must know before it gets these events;
     *     null if there is none
     * @param toModule converts Unix time in ms to the module's time
     */
    static List<Relay.Event> read(String text, HostList hosts, Function<String, HostList.Host> hostByName,
                                  LongUnaryOperator toModule) {
        List<Relay.Event> events = new ArrayList<>();
        try {
            Wire.Fields all = Wire.decode(text);
            boolean newer = all.longValue("seq") > hosts.version();
            for (Wire.Fields fields : all.objects("known")) {
                HostList.Host host = hostByName.apply(fields.text("host"));
                if (host == null) {
                    continue;
                }
                if (newer && host.ready && !fields.booleanValue("ready")) {
                    events.add(hosts.markDraining(host));
                }
                events.add(new Relay.EndpointSnapshot(host.id, toModule.applyAsLong(fields.longValue("wait")),
                    toModule.applyAsLong(fields.longValue("closed")), health(fields),
                    toModule.applyAsLong(since(fields)), fields.doubleValue("carried", 0),
                    fields.doubleValue("pace"), fields.doubleValue("window"), fields.doubleValue("latency")));
            }
        } catch (Wire.MalformedException e) {
            LOG.warn("the previous process's handover snapshot is malformed: {}", e.getMessage());
        }
        return events;
    }

    /**
     * Reads the health of an endpoint. The previous release has no field for it: it wrote whether the
     * endpoint was out, and when it returned.
     */
    private static Relay.Health health(Wire.Fields fields) throws Wire.MalformedException {
        String name = fields.text("health", null);
        if (name == null) {
            return fields.booleanValue("out") ? Relay.Health.OUT
                : fields.longValue("returned") != 0 ? Relay.Health.RETURNING : Relay.Health.GOOD;
        }
        try {
            return Relay.Health.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw new Wire.MalformedException("unknown health '" + name + "'");
        }
    }

    private static long since(Wire.Fields fields) throws Wire.MalformedException {
        return fields.longValue("since", fields.longValue("returned", 0));
    }
}
