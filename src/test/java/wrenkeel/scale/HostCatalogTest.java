package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import wrenkeel.Wire;

/** Tests the generated host list, its encoding and its log of changes. */
final class HostCatalogTest {
    private static Wire.Fields read(byte[] list) throws Wire.MalformedException {
        return Wire.decode(new String(list, StandardCharsets.UTF_8));
    }

    @Test
    void wholeListFollowsTheDiscoveryProtocol() throws Wire.MalformedException {
        HostCatalog catalog = new HostCatalog(1_700, 1);
        Wire.Fields list = read(catalog.wholeList());
        assertEquals(catalog.version(), list.longValue("seq"));
        assertTrue(list.booleanValue("whole"));
        List<Wire.Fields> hosts = list.objects("hosts");
        assertEquals(1_700, hosts.size());
        assertEquals(1_000, catalog.destinationCount());
        Set<String> names = new HashSet<>();
        Set<String> dials = new HashSet<>();
        int[] hostsOf = new int[1_000];
        for (Wire.Fields host : hosts) {
            names.add(host.text("host"));
            dials.add(host.text("dial"));
            hostsOf[(int) host.longValue("block")]++;
            assertEquals("ready", host.text("health"));
            assertEquals(0, host.longValue("born_ms"));
            assertTrue(HostCatalog.ZONES.contains(host.text("site")));
            assertTrue(HostCatalog.KINDS.contains(host.text("class")));
        }
        assertEquals(1_700, names.size());
        assertEquals(1_700, dials.size());
        assertEquals(1, Arrays.stream(hostsOf).min().orElseThrow());
        assertEquals(2, Arrays.stream(hostsOf).max().orElseThrow());
        assertEquals(128, catalog.wholeList().length / 1_700.0, 8);
    }

    @Test
    void sameSeedGivesTheSameListAndItIsEncodedOnce() {
        HostCatalog catalog = new HostCatalog(100, 7);
        assertArrayEquals(catalog.wholeList(), new HostCatalog(100, 7).wholeList());
        assertFalse(Arrays.equals(catalog.wholeList(), new HostCatalog(100, 8).wholeList()));
        assertSame(catalog.wholeList(), catalog.wholeList());
    }

    @Test
    void changesSinceAVersionAreListed() throws Wire.MalformedException {
        HostCatalog catalog = new HostCatalog(10, 1, host -> "127.0.0.1:" + (5_000 + host));
        long first = catalog.version();
        catalog.changeHealth(3, HostCatalog.Health.DRAINING);
        long drained = catalog.version();
        catalog.changeAddress(4, "127.0.0.1:9");
        catalog.changeHealth(3, HostCatalog.Health.GONE);
        Wire.Fields all = read(catalog.changesSince(first));
        assertEquals(first + 3, all.longValue("seq"));
        assertFalse(all.booleanValue("whole"));
        assertEquals(2, all.objects("hosts").size());
        assertEquals(catalog.hostName(3), all.objects("hosts").get(0).text("host"));
        assertEquals("gone", all.objects("hosts").get(0).text("health"));
        Wire.Fields last = read(catalog.changesSince(drained));
        assertEquals("127.0.0.1:9", last.objects("hosts").get(0).text("dial"));
        assertEquals(0, read(catalog.changesSince(catalog.version())).objects("hosts").size());
        assertEquals(9, catalog.listedCount());
        assertEquals(9, read(catalog.wholeList()).objects("hosts").size());
        catalog.changeHealth(3, HostCatalog.Health.READY);
        assertEquals(10, catalog.listedCount());
        assertTrue(read(catalog.changesSince(first + 3)).objects("hosts").get(0).longValue("born_ms") > 0);
        assertThrows(IndexOutOfBoundsException.class, () -> catalog.changeHealth(10, HostCatalog.Health.GONE));
    }

    @Test
    void requestForForgottenChangesGetsTheWholeList() throws Wire.MalformedException {
        HostCatalog catalog = new HostCatalog(10, 1);
        long first = catalog.version();
        assertTrue(read(catalog.changesSince(first - 1)).booleanValue("whole"));
        assertTrue(read(catalog.changesSince(first + 1)).booleanValue("whole"));
        for (int i = 0; i < HostCatalog.MAX_CHANGES; i++) {
            catalog.changeHealth(i % 10, HostCatalog.Health.DRAINING);
        }
        assertFalse(read(catalog.changesSince(first)).booleanValue("whole"));
        catalog.changeHealth(0, HostCatalog.Health.READY);
        assertTrue(read(catalog.changesSince(first)).booleanValue("whole"));
        assertFalse(read(catalog.changesSince(first + 1)).booleanValue("whole"));
    }
}
