package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import wrenkeel.Relay;
import wrenkeel.Relay.Listing;
import wrenkeel.Wire;

/**
 * {@link HostList}: which lists it accepts, what it reports to the decision module, and what memory it
 * keeps.
 */
class HostListTest {
    /** The entry of a host of destination 7. */
    private static final String HOST_1 = Platform.hostJson("s-1", 80, 7, "ready");

    /** An empty list with these destinations active. */
    private static HostList newList(long... activeDestinations) {
        HostList list = new HostList(List.of("a", "b"), List.of("m1", "m2"));
        for (long destination : activeDestinations) {
            assertEquals(List.of(), list.activate(destination).endpoints());
        }
        return list;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Loads a list from its JSON text. */
    private static HostList.Change load(HostList list, String text) throws IOException {
        return list.load(new ByteArrayInputStream(bytes(text)));
    }

    /** Loads a list and returns the event for the decision module. */
    private static Relay.ListUpdated loadEvent(HostList list, String text) throws IOException {
        return load(list, text).event();
    }

    /** Loads a list of changes with these entries and the next version. */
    private static HostList.Change loadChanges(HostList list, String... hosts) throws IOException {
        return load(list, Platform.listJson((int) list.version() + 1, false, hosts));
    }

    /** The endpoints of an event, each as NAME@DESTINATION LISTING. */
    private static List<String> describe(HostList list, Relay.ListUpdated event) {
        return event.endpoints().stream().map(endpoint -> list.hostById(endpoint.id()).name + "@"
            + endpoint.destination() + " " + endpoint.listing()).toList();
    }

    private static List<String> names(Iterable<HostList.Host> hosts) {
        List<String> names = new ArrayList<>();
        hosts.forEach(host -> names.add(host.name));
        return names;
    }

    /**
     * All relays must take the same decisions about a host, so its id must be the same at each of them,
     * whatever hosts were named before it.
     */
    @Test
    void hostIdDoesNotDependOnTheOrderOfHosts() throws IOException {
        String host2 = Platform.hostJson("s-2", 80, 7, "ready");
        Relay.ListUpdated event = loadEvent(newList(7), Platform.listJson(1, true, HOST_1, host2));
        Relay.ListUpdated otherEvent = loadEvent(newList(7), Platform.listJson(1, true, host2, HOST_1));
        assertEquals(event.endpoints().get(0), otherEvent.endpoints().get(1));
        assertEquals(event.endpoints().get(1), otherEvent.endpoints().get(0));
        assertEquals(new Relay.Endpoint(event.endpoints().get(0).id(), 0, 1, 7, Listing.READY, 50),
            event.endpoints().get(0));
        assertTrue(event.endpoints().get(0).id() >= 0 && event.endpoints().get(0).id() < 1L << 32);
    }

    /** Lists may be indented: whitespace between tokens has no effect. */
    @Test
    void whitespaceBetweenTokensIsIgnored() throws IOException {
        String list = Platform.listJson(4, true, HOST_1, Platform.hostJson("s-2", 81, 7, "draining"));
        String indented = list.replace("{", "{\n  ").replace("}", "\r\n}").replace("[", "[\n\t")
            .replace("]", "\n ]").replace(",", " ,\n    ").replace("\":", "\" :  ");
        HostList plain = newList(7);
        HostList other = newList(7);
        assertEquals(loadEvent(plain, list), loadEvent(other, indented));
        assertEquals(4, other.version());
        assertEquals(2, other.listedCount());
    }

    /**
     * Ids are made from the CRC-32 of the name, which "plumless" and "buckeroo" share; they are still two
     * hosts.
     */
    @Test
    void hostNamesWithTheSameChecksumGetDistinctIds() throws IOException {
        HostList list = newList(7);
        String plumless = Platform.hostJson("plumless", 80, 7, "ready");
        String buckeroo = Platform.hostJson("buckeroo", 81, 7, "ready");
        Relay.ListUpdated event = loadEvent(list, Platform.listJson(1, true, plumless, buckeroo));
        assertNotEquals(event.endpoints().get(0).id(), event.endpoints().get(1).id());
        HostList.Host first = list.hostByName("plumless");
        HostList.Host second = list.hostByName("buckeroo");
        loadChanges(list, buckeroo.replace("ready", "gone"));
        loadChanges(list, plumless.replace("ready", "gone"));
        loadChanges(list, buckeroo);
        assertSame(second, list.hostByName("buckeroo"),
            "a host keeps its id until the module releases it, whichever of the two is listed");
        loadChanges(list, plumless);
        assertSame(first, list.hostByName("plumless"));
        assertEquals(List.of(80, 81), List.of(first.address.getPort(), second.address.getPort()));
        loadChanges(list, plumless.replace("ready", "gone"));
        list.releaseHost(first.id);
        assertSame(second, list.hostByName("buckeroo"),
            "the host is found although the other one with its checksum has been removed");
        assertNull(list.hostByName("plumless"));
        assertEquals(7, list.destinationOf("buckeroo"));
        loadChanges(list, plumless);
        assertEquals(first.id, list.hostByName("plumless").id);
        list.deactivate(7);
        loadChanges(list, plumless.replace("ready", "gone"), buckeroo.replace("ready", "gone"));
        loadChanges(list, buckeroo);
        list.activate(7);
        assertEquals(first.id, list.hostByName("buckeroo").id,
            "the host gets the id of the removed one, as nothing refers to its own former id any more");
    }

    @Test
    void wholeListRemovesUnnamedHostsAndSkipsUnusableEntries() throws IOException {
        HostList list = newList(7);
        long goneId = loadEvent(list, Platform.listJson(1, true, HOST_1)).endpoints().get(0).id();
        Relay.ListUpdated event = loadEvent(list, Platform.listJson(2, true,
            Platform.hostJson("s-2", 80, 7, "ready"),
            Platform.hostJson("s-3", 80, 7, "ready").replace("\"m2\"", "\"m9\""),
            Platform.hostJson("s-4", 80, 7, "ready").replace("\"ready\"", "\"well\""),
            Platform.hostJson("s-5", 80, 8, "ready").replace("127.0.0.1", "here")));
        assertEquals(1, event.endpoints().size());
        assertFalse(list.hostById(goneId).ready);
        assertTrue(list.isKnown(7), "a destination stays known when its hosts are gone");
        assertTrue(list.isKnown(8),
            "a destination is known even if the address of its only host is unusable");
        assertEquals(2, list.version());
        loadChanges(list, Platform.hostJson("s-2", 80, 7, "gone"));
        assertTrue(list.isKnown(7));
        assertFalse(list.isKnown(9));
    }

    /**
     * Hosts may belong to sites that the settings don't name. They are used, and each such site is a zone of
     * its own.
     */
    @Test
    void eachUnconfiguredSiteGetsAZoneOfItsOwn() throws IOException {
        String far = Platform.hostJson("s-2", 80, 7, "ready").replace("\"site\":\"a\"", "\"site\":\"far\"");
        String farther = Platform.hostJson("s-3", 80, 7, "ready")
            .replace("\"site\":\"a\"", "\"site\":\"farther\"");
        List<Integer> zones = loadEvent(newList(7), Platform.listJson(1, true, HOST_1, far, farther))
            .endpoints().stream().map(Relay.Endpoint::zone).toList();
        assertEquals(3, zones.stream().distinct().count());
        assertEquals(0, zones.get(0));
        assertEquals(zones.get(1),
            loadEvent(newList(7), Platform.listJson(1, true, far)).endpoints().get(0).zone(),
            "the zone's number is the same after a restart");
    }

    /** The text is cut at every byte; it contains unknown fields, which must be skipped. */
    @Test
    void truncatedListIsRejectedAndListInTwoPiecesIsApplied() throws IOException {
        byte[] text = bytes("{ \"new\": {\"a\": [1, {\"hosts\": 2}]}, \"hosts\":\r\n [\n  {\"born_ms\": [[]], "
            + "\"share\": 0.25, \"block\": 7.0, \"health\": \"ready\", \"class\": \"m2\", \"site\": \"b\", \"dial\":"
            + " \"[::1]:80\", \"host\": \"s-\\u00e4\u00f6\u20ac\"},\n" + HOST_1
            + "],\n \"whole\": true, \"seq\": 9}");
        HostList list = newList(7);
        loadChanges(list, Platform.hostJson("s-0", 80, 7, "ready"));
        for (int cut = 0; cut < text.length; cut++) {
            HostList.PendingUpdate update = list.beginUpdate();
            update.feed(text, 0, cut);
            assertThrows(Wire.MalformedException.class, update::commit);
            assertEquals(List.of(0L, 1, 1), List.of(list.version(), list.listedCount(), list.rowCount()),
                "cut at " + cut);
        }
        for (int cut = 0; cut <= text.length; cut++) {
            HostList other = newList(7);
            HostList.PendingUpdate update = other.beginUpdate();
            update.feed(text, 0, cut);
            update.feed(text, cut, text.length - cut);
            assertEquals(List.of("s-\u00e4\u00f6\u20ac@7 READY", "s-1@7 READY"),
                describe(other, update.commit().event()));
            HostList.Host host = other.hostByName("s-\u00e4\u00f6\u20ac");
            assertEquals(List.of(new InetSocketAddress("::1", 80), 1, 1, true, 9L),
                List.of(host.address, host.zone, host.kind, host.ready, other.version()));
        }
    }

    @Test
    void malformedListLeavesTheCurrentListUnchanged() throws IOException {
        String good = Platform.listJson(5, true, Platform.hostJson("s-2", 80, 8, "ready"),
            HOST_1.replace(":80", ":81"));
        List<String> faults = List.of(good + "{}", good + "]", "[" + good + "]", "41", "", "{\"seq\":5}",
            "{\"seq\":5,\"hosts\":{}}", "{\"seq\":5,\"hosts\":[1]}", good.replace("\"seq\":5,", ""),
            good.replace("5,", "5.5,"), good.replace("5,", "\"5\","), good.replace("5,", "5,\"seq\":6,"),
            good.replace("true", "1"), good.replace("true", "true,\"whole\":true"), good.replace("}]}", "},]}"),
            good.replace("\"host\":\"s-1\",", ""), good.replace("\"s-1\"", "[]"), good.replace("s-1", "s-\n1"),
            good.replace("s-1", "s".repeat(1_001)), good.replace("s-1", "\u00e4".repeat(501)),
            good.replace("127.0.0.1:81", "1".repeat(70_000)), good.replace("\"dial\":\"127.0.0.1:81\",", ""),
            good.replace("\"block\":7,", ""), good.replace("\"block\":7", "\"block\":7.5"),
            good.replace("\"health\":\"ready\",", ""), good.replace("\"share\":50", "\"share\":\"50\""));
        HostList list = newList(7, 8);
        loadChanges(list, HOST_1);
        for (String fault : faults) {
            assertThrows(Wire.MalformedException.class, () -> load(list, fault), fault);
            assertEquals(List.of(0L, 1, 1), List.of(list.version(), list.listedCount(), list.rowCount()),
                fault);
            assertEquals(80, list.hostByName("s-1").address.getPort(), fault);
            assertFalse(list.isKnown(8), fault);
        }
        assertEquals(List.of("s-2@8 READY", "s-1@7 READY"), describe(list, loadEvent(list, good)));
    }

    @Test
    void listWithTooManyHostsIsRejected() throws IOException {
        HostList list = new HostList(List.of("a"), List.of("m2"), 3);
        String[] hosts = IntStream.range(0, 4).mapToObj(i -> Platform.hostJson("s-" + i, 80, i, "ready"))
            .toArray(String[]::new);
        assertThrows(Wire.MalformedException.class, () -> load(list, Platform.listJson(1, true, hosts)));
        assertEquals(0, list.rowCount());
        load(list, Platform.listJson(1, true, hosts[0], hosts[1], hosts[2]));
        load(list, Platform.listJson(2, true, hosts[0], hosts[1], hosts[2]));
        assertThrows(Wire.MalformedException.class, () -> loadChanges(list, hosts[3]));
        assertEquals(List.of(2L, 3, 3), List.of(list.version(), list.listedCount(), list.rowCount()));
    }

    @Test
    void onlyHostsOfActiveDestinationsAreReported() throws IOException {
        HostList list = newList();
        String draining = Platform.hostJson("s-2", 80, 7, "draining");
        assertEquals(List.of(), loadEvent(list, Platform.listJson(1, true, HOST_1, draining,
            Platform.hostJson("s-3", 80, 8, "ready"))).endpoints());
        assertEquals(List.of(3, 1), List.of(list.listedCount(), list.drainingCount()));
        assertNull(list.hostByName("s-1"));
        assertEquals(7, list.destinationOf("s-1"));
        assertEquals(List.of("s-1@7 READY", "s-2@7 DRAINING"), describe(list, list.activate(7)));
        assertNull(list.activate(7));
        HostList.Change change = loadChanges(list, Platform.hostJson("s-3", 80, 8, "draining"), draining,
            HOST_1.replace("ready", "gone"));
        assertEquals(List.of("s-2@7 DRAINING", "s-1@7 GONE"), describe(list, change.event()));
        assertEquals(List.of("s-2", "s-1"), names(change.unavailable()));
        assertEquals(List.of("s-1", "s-2"), names(list.hostsOf(7)),
            "a host that is gone is kept until it is released");
        list.releaseHost(list.hostByName("s-1").id);
        list.releaseHost(list.hostByName("s-2").id);
        assertEquals(List.of("s-2"), names(list.hostsOf(7)), "a host that is listed is kept");
        list.deactivate(7);
        assertFalse(list.isActive(7));
        assertEquals(List.of(), List.copyOf(list.hostsOf(7)));
        assertEquals(List.of("s-2@7 DRAINING"), describe(list, list.activate(7)));
    }

    @Test
    void hostCanMoveToAnotherDestination() throws IOException {
        HostList list = newList(7, 8);
        loadEvent(list, Platform.listJson(1, true, HOST_1));
        HostList.Host host = list.hostByName("s-1");
        HostList.Change move = loadChanges(list, Platform.hostJson("s-1", 80, 8, "ready"));
        assertEquals(List.of("s-1@8 READY"), describe(list, move.event()));
        assertEquals(List.of(host), move.unavailable(),
            "waiting calls for the former destination must not be sent to the host");
        assertEquals(List.of(), names(list.hostsOf(7)));
        assertEquals(List.of("s-1"), names(list.hostsOf(8)));
        HostList.Change moveToInactive = loadChanges(list, Platform.hostJson("s-1", 80, 9, "ready"));
        assertEquals(List.of("s-1@8 GONE"), describe(list, moveToInactive.event()));
        assertEquals(List.of(host), moveToInactive.unavailable());
        assertFalse(host.ready);
        assertEquals(9, list.destinationOf("s-1"));
        assertEquals(List.of(),
            loadChanges(list, Platform.hostJson("s-1", 80, 9, "gone")).event().endpoints());
        assertEquals(List.of("s-1@7 READY"), describe(list, loadChanges(list, HOST_1).event()));
        assertSame(host, list.hostByName("s-1"));
        loadChanges(list, Platform.hostJson("s-1", 80, 9, "ready"));
        assertEquals(List.of("s-1@9 READY"), describe(list, list.activate(9)));
        assertEquals(List.of(host), List.copyOf(list.hostsOf(9)));
        assertTrue(list.isKnown(7) && list.isKnown(8));
        assertEquals(List.of(1, 1), List.of(list.rowCount(), list.listedCount()));
    }

    @Test
    void changeForAnUnknownHostIsAppliedUnlessItIsGone() throws IOException {
        HostList list = newList(7);
        assertEquals(List.of(), loadChanges(list, HOST_1.replace("ready", "gone")).event().endpoints());
        assertFalse(list.isKnown(7));
        assertEquals(List.of("s-1@7 READY", "s-1@7 GONE"), describe(list,
            loadChanges(list, HOST_1, HOST_1.replace("ready", "gone")).event()));
        assertEquals(List.of("s-1@7 READY"), describe(list, loadChanges(list, HOST_1).event()));
        assertEquals(List.of(1, 1, 2L), List.of(list.listedCount(), list.rowCount(), list.version()));
    }

    @Test
    void wholeListFreesTheRowsOfTheHostsThatItDrops() throws IOException {
        HostList list = newList(7, 8);
        String[] hosts = IntStream.range(0, 5_000)
            .mapToObj(i -> Platform.hostJson("s-" + i, 80, 7 + i % 50, "ready")).toArray(String[]::new);
        loadEvent(list, Platform.listJson(1, true, hosts));
        HostList.Change change = load(list, Platform.listJson(2, true, hosts[49], hosts[50]));
        assertEquals(List.of("s-50@7 READY"), describe(list, change.event()));
        assertEquals(199, change.unavailable().size());
        assertTrue(change.unavailable().stream().noneMatch(host -> host.ready || host.listed));
        assertEquals(List.of(2, 2, 5_001),
            List.of(list.listedCount(), list.rowCount(), list.allocatedRowCount()),
            "the second list needs one more row, for the entry of s-50, whose destination is active");
        assertTrue(IntStream.range(7, 57).allMatch(list::isKnown));
        list.hostsOf(7).forEach(host -> list.releaseHost(host.id));
        assertEquals(List.of("s-50"), names(list.hostsOf(7)));
        loadEvent(list, Platform.listJson(3, true, hosts));
        assertEquals(List.of(5_000, 5_000, 5_001),
            List.of(list.listedCount(), list.rowCount(), list.allocatedRowCount()));
    }

    /**
     * Guards against calls to a draining host: a list whose reading began before the host was marked as
     * draining may be older than that mark, so it must not make the host ready again.
     */
    @Test
    void hostDrainedDuringAnUpdateStaysDrainingUntilTheNextList() throws IOException {
        for (String port : List.of(":80", ":81")) {
            HostList list = newList(7);
            loadEvent(list, Platform.listJson(1, true, HOST_1));
            byte[] text = bytes(Platform.listJson(2, true, HOST_1.replace(":80", port)));
            for (int cut : new int[] {0, text.length}) {
                HostList.PendingUpdate update = list.beginUpdate();
                update.feed(text, 0, cut);
                assertEquals(Listing.DRAINING,
                    list.markDraining(list.hostByName("s-1")).endpoints().get(0).listing());
                update.feed(text, cut, text.length - cut);
                assertEquals(List.of("s-1@7 DRAINING"), describe(list, update.commit().event()));
                assertEquals(List.of(1, 1), List.of(list.listedCount(), list.drainingCount()));
                assertFalse(list.hostByName("s-1").ready);
                assertEquals(List.of("s-1@7 READY"), describe(list, loadChanges(list, HOST_1).event()));
                assertEquals(0, list.drainingCount());
            }
        }
    }

    @Test
    void destinationActivatedDuringAWholeListIsReported() throws IOException {
        HostList list = newList();
        loadEvent(list, Platform.listJson(1, true, HOST_1));
        byte[] text = bytes(Platform.listJson(2, true, HOST_1));
        HostList.PendingUpdate update = list.beginUpdate();
        update.feed(text, 0, text.length);
        list.activate(7);
        assertEquals(List.of("s-1@7 READY"), describe(list, update.commit().event()));
    }

    @Test
    void beginningAnUpdateAbandonsTheOneInProgress() throws IOException {
        HostList list = newList();
        HostList.PendingUpdate first = list.beginUpdate();
        byte[] text = bytes(Platform.listJson(1, true, HOST_1));
        first.feed(text, 0, text.length);
        HostList.PendingUpdate second = list.beginUpdate();
        assertThrows(Wire.MalformedException.class, first::commit);
        second.feed(text, 0, text.length);
        assertEquals(1, list.rowCount());
        second.abandon();
        assertEquals(List.of(-1L, 0, 0), List.of(list.version(), list.listedCount(), list.rowCount()));
        assertThrows(Wire.MalformedException.class, second::commit);
    }

    /** Without reuse, the names alone of the hosts that are gone would take 5 MB. */
    @Test
    void memoryOfRowsAndNamesOfGoneHostsIsReused() throws IOException {
        HostList list = new HostList(List.of("a"), List.of("m2"), 10);
        String last = "";
        for (int i = 0; i < 5_000; i++) {
            String next = i + "-" + "n".repeat(990);
            loadChanges(list, Platform.hostJson(last, 80, i - 1, "gone"),
                Platform.hostJson(next, 80, i, "ready"));
            last = next;
        }
        assertEquals(List.of(1, 1, 3),
            List.of(list.listedCount(), list.rowCount(), list.allocatedRowCount()));
        assertEquals(4_999, list.destinationOf(last));
    }
}
