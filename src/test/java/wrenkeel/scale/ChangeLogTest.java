package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.*;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wrenkeel.Wire;

/** Tests the answers that a change log builds, and the limits of what it keeps. */
class ChangeLogTest {
    private final HostCatalog catalog = new HostCatalog(20, 1);
    private final ChangeLog log = new ChangeLog(catalog, 3);
    private final long firstVersion = log.latestVersion();

    private static Wire.Fields read(byte[] list) throws Wire.MalformedException {
        return Wire.decode(new String(list, StandardCharsets.UTF_8));
    }

    private static List<String> hosts(byte[] changes) throws Wire.MalformedException {
        List<String> hosts = new ArrayList<>();
        for (Wire.Fields entry : read(changes).objects("hosts")) {
            hosts.add(entry.text("host") + " " + entry.text("health"));
        }
        return hosts;
    }

    @Test
    void changesEndAtTheRequestedVersion() throws Exception {
        long second = log.publish(4, HostCatalog.Health.DRAINING);
        log.publish(4, HostCatalog.Health.GONE);
        long last = log.publish(5, HostCatalog.Health.DRAINING);
        assertEquals(List.of(catalog.hostName(4) + " draining"), hosts(log.changesBetween(firstVersion, second)));
        assertEquals(second, read(log.changesBetween(firstVersion, second)).longValue("seq"));
        assertEquals(List.of(catalog.hostName(4) + " gone", catalog.hostName(5) + " draining"),
            hosts(log.changesBetween(second, last)));
        assertFalse(read(log.changesBetween(second, last)).booleanValue("whole"));
        assertEquals(List.of(), hosts(log.changesBetween(last, last)));
    }

    @Test
    void changesOlderThanTheLogAreUnavailable() {
        for (int i = 0; i < 4; i++) {
            log.publish(i, HostCatalog.Health.DRAINING);
        }
        assertNull(log.changesBetween(firstVersion, log.latestVersion()));
        assertNotNull(log.changesBetween(firstVersion + 1, log.latestVersion()));
        assertNull(log.changesBetween(firstVersion - 1, firstVersion),
            "the version before the first list was never published");
        assertNull(log.changesBetween(log.latestVersion() + 1, log.latestVersion()));
    }

    @Test
    void wholeListIsNeverNewerThanTheRequestedVersion() throws Exception {
        long second = log.publish(0, HostCatalog.Health.GONE);
        assertEquals(firstVersion, read(log.wholeList(firstVersion)).longValue("seq"));
        assertEquals(second, read(log.wholeList(second)).longValue("seq"));
        assertEquals(19, read(log.wholeList(second)).objects("hosts").size());
        for (int i = 1; i < 6; i++) {
            log.wholeList(log.publish(i, HostCatalog.Health.DRAINING));
        }
        assertNull(log.wholeList(second), "only the latest whole lists are kept");
    }
}
