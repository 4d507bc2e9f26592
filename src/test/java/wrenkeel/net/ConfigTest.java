package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A configuration is read, or turned down in one plain line. */
class ConfigTest {
    @TempDir
    Path folder;
    private Platform platform;
    private Path file;

    @BeforeEach
    void begin() throws Exception {
        platform = new Platform(folder);
        platform.config();
        file = Path.of(platform.env().get("EDGE_CONFIG"));
    }

    @AfterEach
    void end() {
        platform.close();
    }

    private void replace(String from, String to) throws IOException {
        String text = Files.readString(file);
        assertTrue(text.contains(from), from);
        Files.writeString(file, text.replace(from, to));
    }

    private void assertTurnedDown() {
        String fault = assertThrows(Config.Unusable.class, () -> Config.read(platform.env())).getMessage();
        assertEquals(1, fault.lines().count(), fault);
    }

    /** Guards against a relay that starts and can never make a call, or hold a client. */
    @ParameterizedTest
    @ValueSource(strings = {"0", "-1", "69", "5000000000", "\"many\""})
    void aLimitOfSocketsThatLeavesNoConnectionsIsTurnedDown(String sockets) throws IOException {
        replace("\"sockets\":1024", "\"sockets\":" + sockets);
        assertTurnedDown();
    }

    @Test
    void theSmallestLimitOfSocketsLeavesAConnectionToEitherSide() throws Exception {
        replace("\"sockets\":1024", "\"sockets\":" + Descriptors.LIMIT_LEAST);
        Descriptors shares = Config.read(platform.env()).descriptors();
        assertTrue(shares.clients() > 0 && shares.hosts() > 0, shares.toString());
    }
}
