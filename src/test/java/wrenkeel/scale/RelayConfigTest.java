package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenkeel.Relay;
import wrenkeel.Wire;

/** Tests that the code of a relay reads the configuration files written for scale runs. */
final class RelayConfigTest {
    @TempDir
    private Path folder;

    @Test
    void writtenConfigurationIsReadBackUnchanged() throws IOException {
        Path file = folder.resolve("config.json");
        byte[] known = new HostCatalog(30, 1).wholeList();
        RelayConfig.write(file, RelaySettings.typical("n7").withRelays(100),
            new InetSocketAddress("127.0.0.1", 8_500), known);
        Wire.Fields config = Wire.decode(Files.readString(file));
        assertEquals("n7", config.text("name"));
        assertEquals("127.0.0.1:8500", config.text("discovery"));
        assertEquals(1_024, config.object("limits").longValue("sockets"));
        assertEquals(30, config.object("known").objects("hosts").size());
        Relay.Settings settings = Wire.settings(config.object("settings"));
        assertEquals(100, settings.relayCount());
        assertEquals(HostCatalog.KINDS.size(), settings.kinds().size());
        assertEquals(HostCatalog.ZONES, config.object("settings").list("localities"));
        assertEquals(3, settings.classes().size());
        assertEquals(Relay.Effect.KEYED, settings.classes().get(0).effect());
        assertEquals(15_000_000, settings.classes().get(0).dedupWindow());
        assertEquals(1_000_000, settings.limits().connectTimeout());
    }
}
