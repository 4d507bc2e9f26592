package wrenkeel.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes a relay's configuration file, in the format of the deployment. */
final class RelayConfig {
    private static final JsonFactory JSON = new JsonFactory();

    private RelayConfig() { }

    /**
     * Writes the file. The relay will listen for clients and operators on free loopback ports.
     *
     * @param knownList the host list that this relay last held, in discovery's JSON form; null for none
     */
    static void write(Path file, RelaySettings settings, InetSocketAddress agent, byte[] knownList)
        throws IOException {
        try (JsonGenerator json = JSON.createGenerator(Files.newOutputStream(file))) {
            json.writeStartObject();
            json.writeStringField("name", settings.name());
            json.writeStringField("listen", "127.0.0.1:0");
            json.writeStringField("console", "127.0.0.1:0");
            json.writeStringField("discovery", hostAndPort(agent));
            json.writeStringField("seed", settings.seed());
            json.writeObjectFieldStart("limits");
            json.writeNumberField("cores", settings.cores());
            json.writeNumberField("memory_mb", settings.memoryMb());
            json.writeNumberField("sockets", settings.sockets());
            json.writeNumberField("disk_mb", settings.diskMb());
            json.writeEndObject();
            if (knownList != null) {
                json.writeFieldName("known");
                json.writeRawValue(new String(knownList, StandardCharsets.UTF_8));
            }
            writeSettings(json, settings);
            json.writeEndObject();
        }
    }

    /** Returns the address as numeric host and port, separated by a colon. */
    static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static void writeSettings(JsonGenerator json, RelaySettings settings) throws IOException {
        json.writeObjectFieldStart("settings");
        json.writeNumberField("rank", 0);
        json.writeNumberField("balancers", settings.relays());
        json.writeNumberField("zone", 0);
        writeStrings(json, "localities", settings.zones());
        writeStrings(json, "kinds", settings.kinds());
        json.writeStringField("weights", "none");
        json.writeObjectFieldStart("allowed");
        json.writeBooleanField("cancel", true);
        json.writeBooleanField("second-copies", true);
        json.writeNumberField("connect-timeout", 1_000);
        json.writeNumberField("keepalive", 15_000);
        json.writeNumberField("most-tries", 8);
        json.writeNumberField("open-cap", settings.maxOpenMessages());
        json.writeBooleanField("retry-after", true);
        json.writeNumberField("max-retry-after", 2_000);
        json.writeEndObject();
        json.writeObjectFieldStart("family-info");
        json.writeNumberField("call-slots", settings.callSlots());
        json.writeArrayFieldStart("kind-apart");
        for (int i = 0; i < settings.kinds().size(); i++) {
            json.writeBoolean(false);
        }
        json.writeEndArray();
        json.writeEndObject();
        json.writeObjectFieldStart("rules");
        json.writeNumberField("stop-sending-within", 250);
        json.writeNumberField("fall-multiple", 2);
        json.writeNumberField("tip-after", 2_000);
        json.writeNumberField("cold-from", 0.2);
        json.writeNumberField("cold", 10_000);
        json.writeEndObject();
        json.writeArrayFieldStart("tenants");
        for (RelaySettings.Tenant tenant : settings.tenants()) {
            json.writeStartObject();
            json.writeStringField("name", tenant.name());
            json.writeNumberField("quota-per-s", tenant.quotaPerSecond());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeArrayFieldStart("profiles");
        for (RelaySettings.Profile profile : settings.profiles()) {
            json.writeStartObject();
            json.writeStringField("name", profile.name());
            json.writeNumberField("aim", profile.aimMs());
            json.writeNumberField("hard-limit", profile.hardLimitMs());
            json.writeStringField("semantics", profile.semantics());
            json.writeStringField("group", "all");
            json.writeNumberField("window", profile.windowMs());
            json.writeNumberField("late-worth", 0.5);
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private static void writeStrings(JsonGenerator json, String name, List<String> strings)
        throws IOException {
        json.writeArrayFieldStart(name);
        for (String text : strings) {
            json.writeString(text);
        }
        json.writeEndArray();
    }
}
