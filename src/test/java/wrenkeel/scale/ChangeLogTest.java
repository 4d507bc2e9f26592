package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.*;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wrenkeel.Wire;

class ChangeLogTest {
    private final HostCatalog catalog = new HostCatalog(20, 1);
    private final ChangeLog log = new ChangeLog(catalog, 3);
    private final long first = log.latest();

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
    void changesEndAtTheVersionThatTheAnswererHolds() throws Exception {
        long second = log.publish(4, HostCatalog.Health.DRAINING);
        log.publish(4, HostCatalog.Health.GONE);
        long last = log.publish(5, HostCatalog.Health.DRAINING);
        assertEquals(List.of(catalog.name(4) + " draining"), hosts(log.changes(first, second)));
        assertEquals(second, read(log.changes(first, second)).longValue("seq"));
        assertEquals(List.of(catalog.name(4) + " gone", catalog.name(5) + " draining"),
            hosts(log.changes(second, last)));
        assertFalse(read(log.changes(second, last)).booleanValue("whole"));
        assertEquals(List.of(), hosts(log.changes(last, last)));
    }

    @Test
    void whatIsOlderThanTheLogIsNotToldAsChanges() {
        for (int i = 0; i < 4; i++) {
            log.publish(i, HostCatalog.Health.DRAINING);
        }
        assertNull(log.changes(first, log.latest()));
        assertNotNull(log.changes(first + 1, log.latest()));
        assertNull(log.changes(first - 1, first), "nobody holds what was before the first list");
        assertNull(log.changes(log.latest() + 1, log.latest()));
    }

    @Test
    void aWholeListIsNeverNewerThanItsAnswererHolds() throws Exception {
        long second = log.publish(0, HostCatalog.Health.GONE);
        assertEquals(first, read(log.whole(first)).longValue("seq"));
        assertEquals(second, read(log.whole(second)).longValue("seq"));
        assertEquals(19, read(log.whole(second)).objects("hosts").size());
        for (int i = 1; i < 6; i++) {
            log.whole(log.publish(i, HostCatalog.Health.DRAINING));
        }
        assertNull(log.whole(second), "only the latest are kept");
    }
}
