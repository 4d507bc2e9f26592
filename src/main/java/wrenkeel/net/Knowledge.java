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

/** What a process that leaves knows of the hosts, as text for the next; points in time in Unix time, ms. */
final class Knowledge {
    private static final Logger LOG = LoggerFactory.getLogger(Knowledge.class);
    private static final JsonFactory JSON = new JsonFactory();

    private Knowledge() { }

    /** Stops once the text has {@code most} characters: what comes later in the list is left out. */
    static String write(List<Relay.Known> all, HostList hosts, LongUnaryOperator toUnix, long most)
        throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeNumberField("seq", hosts.version());
            out.writeArrayFieldStart("known");
            for (Relay.Known known : all) {
                HostList.Host host = hosts.hostById(known.endpoint());
                out.flush();
                if (text.getBuffer().length() >= most) {
                    break;
                }
                if (host == null) {
                    continue;
                }
                out.writeStartObject();
                out.writeStringField("host", host.name);
                out.writeBooleanField("ready", host.ready);
                out.writeNumberField("wait", toUnix.applyAsLong(known.waitUntil()));
                out.writeNumberField("closed", toUnix.applyAsLong(known.closedUntil()));
                out.writeStringField("health", known.health().name());
                out.writeNumberField("since", toUnix.applyAsLong(known.since()));
                out.writeNumberField("carried", known.carried());
                out.writeNumberField("pace", known.pace());
                out.writeNumberField("window", known.window());
                out.writeNumberField("latency", known.latency());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        return text.toString();
    }

    /**
     * Text that cannot be read tells nothing: this process then learns as one does after a restart.
     * {@code named}: the host of a name, made known to the module before these events; null if none.
     */
    static List<Relay.Event> read(String text, HostList hosts, Function<String, HostList.Host> named,
                                  LongUnaryOperator toModule) {
        List<Relay.Event> events = new ArrayList<>();
        try {
            Wire.Fields all = Wire.decode(text);
            boolean newer = all.whole("seq") > hosts.version();
            for (Wire.Fields f : all.objects("known")) {
                HostList.Host host = named.apply(f.text("host"));
                if (host == null) {
                    continue;
                }
                if (newer && host.ready && !f.flag("ready")) {
                    events.add(hosts.markDraining(host));
                }
                events.add(new Relay.Known(host.id, toModule.applyAsLong(f.whole("wait")),
                    toModule.applyAsLong(f.whole("closed")), health(f), toModule.applyAsLong(since(f)),
                    f.number("carried", 0), f.number("pace"), f.number("window"), f.number("latency")));
            }
        } catch (Wire.Malformed e) {
            LOG.warn("what the process before knew cannot be read: {}", e.getMessage());
        }
        return events;
    }

    /** The release before wrote down whether it was out, and when it came back. */
    private static Relay.Health health(Wire.Fields f) throws Wire.Malformed {
        String name = f.text("health", null);
        if (name == null) {
            return f.flag("out") ? Relay.Health.OUT
                : f.whole("returned") != 0 ? Relay.Health.RETURNING : Relay.Health.GOOD;
        }
        try {
            return Relay.Health.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw new Wire.Malformed("unknown health " + name);
        }
    }

    private static long since(Wire.Fields f) throws Wire.Malformed {
        return f.whole("since", f.whole("returned", 0));
    }
}
