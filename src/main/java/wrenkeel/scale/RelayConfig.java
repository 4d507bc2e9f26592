package wrenkeel.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes a relay's configuration file, in the form of the deployment. */
final class RelayConfig {
    private static final JsonFactory JSON = new JsonFactory();

    private RelayConfig() { }

    /**
     * The relay gets any free ports of loopback for its clients and its operators.
     *
     * @param known the list as this relay last had it, in discovery's form; null if it never had one
     */
    static void write(Path file, RelaySettings settings, InetSocketAddress agent, byte[] known)
        throws IOException {
        try (JsonGenerator out = JSON.createGenerator(Files.newOutputStream(file))) {
            out.writeStartObject();
            out.writeStringField("name", settings.name());
            out.writeStringField("listen", "127.0.0.1:0");
            out.writeStringField("console", "127.0.0.1:0");
            out.writeStringField("discovery", hostAndPort(agent));
            out.writeStringField("seed", settings.seed());
            out.writeObjectFieldStart("limits");
            out.writeNumberField("cores", settings.cores());
            out.writeNumberField("memory_mb", settings.memoryMb());
            out.writeNumberField("sockets", settings.sockets());
            out.writeNumberField("disk_mb", settings.diskMb());
            out.writeEndObject();
            if (known != null) {
                out.writeFieldName("known");
                out.writeRawValue(new String(known, StandardCharsets.UTF_8));
            }
            writeSettings(out, settings);
            out.writeEndObject();
        }
    }

    static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static void writeSettings(JsonGenerator out, RelaySettings settings) throws IOException {
        out.writeObjectFieldStart("settings");
        out.writeNumberField("rank", 0);
        out.writeNumberField("balancers", settings.relays());
        out.writeNumberField("zone", 0);
        writeStrings(out, "localities", settings.zones());
        writeStrings(out, "kinds", settings.kinds());
        out.writeStringField("weights", "none");
        out.writeObjectFieldStart("allowed");
        out.writeBooleanField("cancel", true);
        out.writeBooleanField("second-copies", true);
        out.writeNumberField("connect-timeout", 1_000);
        out.writeNumberField("keepalive", 15_000);
        out.writeNumberField("most-tries", 8);
        out.writeNumberField("open-cap", settings.maxOpenMessages());
        out.writeBooleanField("retry-after", true);
        out.writeNumberField("max-retry-after", 2_000);
        out.writeEndObject();
        out.writeObjectFieldStart("family-info");
        out.writeNumberField("call-slots", settings.callSlots());
        out.writeArrayFieldStart("kind-apart");
        for (int i = 0; i < settings.kinds().size(); i++) {
            out.writeBoolean(false);
        }
        out.writeEndArray();
        out.writeEndObject();
        out.writeObjectFieldStart("rules");
        out.writeNumberField("stop-sending-within", 250);
        out.writeNumberField("fall-multiple", 2);
        out.writeNumberField("tip-after", 2_000);
        out.writeNumberField("cold-from", 0.2);
        out.writeNumberField("cold", 10_000);
        out.writeEndObject();
        out.writeArrayFieldStart("tenants");
        for (RelaySettings.Tenant tenant : settings.tenants()) {
            out.writeStartObject();
            out.writeStringField("name", tenant.name());
            out.writeNumberField("quota-per-s", tenant.quotaPerSecond());
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeArrayFieldStart("profiles");
        for (RelaySettings.Profile profile : settings.profiles()) {
            out.writeStartObject();
            out.writeStringField("name", profile.name());
            out.writeNumberField("aim", profile.aimMs());
            out.writeNumberField("hard-limit", profile.hardLimitMs());
            out.writeStringField("semantics", profile.semantics());
            out.writeNumberField("window", profile.windowMs());
            out.writeNumberField("late-worth", 0.5);
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    private static void writeStrings(JsonGenerator out, String name, List<String> texts) throws IOException {
        out.writeArrayFieldStart(name);
        for (String text : texts) {
            out.writeString(text);
        }
        out.writeEndArray();
    }
}
