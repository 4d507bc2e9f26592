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

/** Discovery's list, as the module is told it. */
class HostListTest {
    private static final String NAMED = Platform.host("s-1", 80, 7, "ready");

    private static HostList list(long... told) {
        HostList list = new HostList(List.of("a", "b"), List.of("m1", "m2"));
        for (long destination : told) {
            assertEquals(List.of(), list.activate(destination).endpoints());
        }
        return list;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static HostList.Change take(HostList list, String text) throws IOException {
        return list.load(new ByteArrayInputStream(bytes(text)));
    }

    private static Relay.Listed update(HostList list, String text) throws IOException {
        return take(list, text).event();
    }

    private static HostList.Change change(HostList list, String... hosts) throws IOException {
        return take(list, Platform.list((int) list.version() + 1, false, hosts));
    }

    /** As NAME@DESTINATION LISTING. */
    private static List<String> events(HostList list, Relay.Listed listed) {
        return listed.endpoints().stream().map(e -> list.hostById(e.id()).name + "@" + e.destination() + " " + e.listing())
            .toList();
    }

    private static List<String> names(Iterable<HostList.Host> hosts) {
        List<String> names = new ArrayList<>();
        hosts.forEach(host -> names.add(host.name));
        return names;
    }

    /** Guards decisions that relays must take alike: a host's number is the same whatever came before it. */
    @Test
    void aHostHasOneNumberAtEveryRelay() throws IOException {
        String two = Platform.host("s-2", 80, 7, "ready");
        Relay.Listed listed = update(list(7), Platform.list(1, true, NAMED, two));
        Relay.Listed other = update(list(7), Platform.list(1, true, two, NAMED));
        assertEquals(listed.endpoints().get(0), other.endpoints().get(1));
        assertEquals(listed.endpoints().get(1), other.endpoints().get(0));
        assertEquals(new Relay.Endpoint(listed.endpoints().get(0).id(), 0, 1, 7, Listing.READY, 50),
            listed.endpoints().get(0));
        assertTrue(listed.endpoints().get(0).id() >= 0 && listed.endpoints().get(0).id() < 1L << 32);
    }

    /** Lists may come indented: white space between the tokens changes nothing. */
    @Test
    void anIndentedListIsThatList() throws IOException {
        String list = Platform.list(4, true, NAMED, Platform.host("s-2", 81, 7, "draining"));
        String indented = list.replace("{", "{\n  ").replace("}", "\r\n}").replace("[", "[\n\t").replace("]", "\n ]")
            .replace(",", " ,\n    ").replace("\":", "\" :  ");
        HostList plain = list(7);
        HostList other = list(7);
        assertEquals(update(plain, list), update(other, indented));
        assertEquals(4, other.version());
        assertEquals(2, other.listedCount());
    }

    /** "plumless" and "buckeroo" have one CRC-32: they must still be two hosts. */
    @Test
    void namesThatCollideGetNumbersOfTheirOwn() throws IOException {
        HostList list = list(7);
        String plumless = Platform.host("plumless", 80, 7, "ready");
        String buckeroo = Platform.host("buckeroo", 81, 7, "ready");
        Relay.Listed listed = update(list, Platform.list(1, true, plumless, buckeroo));
        assertNotEquals(listed.endpoints().get(0).id(), listed.endpoints().get(1).id());
        HostList.Host first = list.hostByName("plumless");
        HostList.Host second = list.hostByName("buckeroo");
        change(list, buckeroo.replace("ready", "gone"));
        change(list, plumless.replace("ready", "gone"));
        change(list, buckeroo);
        assertSame(second, list.hostByName("buckeroo"), "it has its number while the module holds it, whoever is listed");
        change(list, plumless);
        assertSame(first, list.hostByName("plumless"));
        assertEquals(List.of(80, 81), List.of(first.address.getPort(), second.address.getPort()));
        change(list, plumless.replace("ready", "gone"));
        list.releaseHost(first.id);
        assertSame(second, list.hostByName("buckeroo"), "it is found though the one before it has been forgotten");
        assertNull(list.hostByName("plumless"));
        assertEquals(7, list.destinationOf("buckeroo"));
        change(list, plumless);
        assertEquals(first.id, list.hostByName("plumless").id);
        list.deactivate(7);
        change(list, plumless.replace("ready", "gone"), buckeroo.replace("ready", "gone"));
        change(list, buckeroo);
        list.activate(7);
        assertEquals(first.id, list.hostByName("buckeroo").id, "nothing rests on its other number any more");
    }

    @Test
    void aWholeListLeavesOutWhatIsGoneAndABadEntrySpoilsNoOther() throws IOException {
        HostList list = list(7);
        long gone = update(list, Platform.list(1, true, NAMED)).endpoints().get(0).id();
        Relay.Listed next = update(list, Platform.list(2, true, Platform.host("s-2", 80, 7, "ready"),
            Platform.host("s-3", 80, 7, "ready").replace("\"m2\"", "\"m9\""),
            Platform.host("s-4", 80, 7, "ready").replace("\"ready\"", "\"well\""),
            Platform.host("s-5", 80, 8, "ready").replace("127.0.0.1", "here")));
        assertEquals(1, next.endpoints().size());
        assertFalse(list.hostById(gone).ready);
        assertTrue(list.isKnown(7), "a destination stays known while its hosts are gone");
        assertTrue(list.isKnown(8), "one whose only host cannot be reached has been named");
        assertEquals(2, list.version());
        change(list, Platform.host("s-2", 80, 7, "gone"));
        assertTrue(list.isKnown(7));
        assertFalse(list.isKnown(9));
    }

    /** A fleet may reach into sites that the settings do not name: their hosts are used, and told apart by site. */
    @Test
    void aHostOfASiteWithoutANameIsListedAsOfASiteOfItsOwn() throws IOException {
        String far = Platform.host("s-2", 80, 7, "ready").replace("\"site\":\"a\"", "\"site\":\"far\"");
        String farther = Platform.host("s-3", 80, 7, "ready").replace("\"site\":\"a\"", "\"site\":\"farther\"");
        List<Integer> zones = update(list(7), Platform.list(1, true, NAMED, far, farther)).endpoints().stream()
            .map(Relay.Endpoint::zone).toList();
        assertEquals(3, zones.stream().distinct().count());
        assertEquals(0, zones.get(0));
        assertEquals(zones.get(1), update(list(7), Platform.list(1, true, far)).endpoints().get(0).zone(),
            "the number is the same after a restart");
    }

    @Test
    void aListCutAnywhereIsNotTakenInAndOneInPiecesIs() throws IOException {
        byte[] text = bytes("{ \"new\": {\"a\": [1, {\"hosts\": 2}]}, \"hosts\":\r\n [\n  {\"born_ms\": [[]], "
            + "\"share\": 0.25, \"block\": 7.0, \"health\": \"ready\", \"class\": \"m2\", \"site\": \"b\", \"dial\":"
            + " \"[::1]:80\", \"host\": \"s-\\u00e4\u00f6\u20ac\"},\n" + NAMED
            + "],\n \"whole\": true, \"seq\": 9}");
        HostList list = list(7);
        change(list, Platform.host("s-0", 80, 7, "ready"));
        for (int cut = 0; cut < text.length; cut++) {
            HostList.PendingUpdate reading = list.beginUpdate();
            reading.feed(text, 0, cut);
            assertThrows(Wire.Malformed.class, reading::commit);
            assertEquals(List.of(0L, 1, 1), List.of(list.version(), list.listedCount(), list.rowCount()), "cut at " + cut);
        }
        for (int cut = 0; cut <= text.length; cut++) {
            HostList other = list(7);
            HostList.PendingUpdate reading = other.beginUpdate();
            reading.feed(text, 0, cut);
            reading.feed(text, cut, text.length - cut);
            assertEquals(List.of("s-\u00e4\u00f6\u20ac@7 READY", "s-1@7 READY"), events(other, reading.commit().event()));
            HostList.Host host = other.hostByName("s-\u00e4\u00f6\u20ac");
            assertEquals(List.of(new InetSocketAddress("::1", 80), 1, 1, true, 9L),
                List.of(host.address, host.zone, host.kind, host.ready, other.version()));
        }
    }

    @Test
    void aListWithAFaultLeavesTheLastGoodOneAsItWas() throws IOException {
        String good = Platform.list(5, true, Platform.host("s-2", 80, 8, "ready"), NAMED.replace(":80", ":81"));
        List<String> faults = List.of(good + "{}", good + "]", "[" + good + "]", "41", "", "{\"seq\":5}",
            "{\"seq\":5,\"hosts\":{}}", "{\"seq\":5,\"hosts\":[1]}", good.replace("\"seq\":5,", ""),
            good.replace("5,", "5.5,"), good.replace("5,", "\"5\","), good.replace("5,", "5,\"seq\":6,"),
            good.replace("true", "1"), good.replace("true", "true,\"whole\":true"), good.replace("}]}", "},]}"),
            good.replace("\"host\":\"s-1\",", ""), good.replace("\"s-1\"", "[]"), good.replace("s-1", "s-\n1"),
            good.replace("s-1", "s".repeat(1_001)), good.replace("s-1", "\u00e4".repeat(501)),
            good.replace("127.0.0.1:81", "1".repeat(70_000)), good.replace("\"dial\":\"127.0.0.1:81\",", ""),
            good.replace("\"block\":7,", ""), good.replace("\"block\":7", "\"block\":7.5"),
            good.replace("\"health\":\"ready\",", ""), good.replace("\"share\":50", "\"share\":\"50\""));
        HostList list = list(7, 8);
        change(list, NAMED);
        for (String fault : faults) {
            assertThrows(Wire.Malformed.class, () -> take(list, fault), fault);
            assertEquals(List.of(0L, 1, 1), List.of(list.version(), list.listedCount(), list.rowCount()), fault);
            assertEquals(80, list.hostByName("s-1").address.getPort(), fault);
            assertFalse(list.isKnown(8), fault);
        }
        assertEquals(List.of("s-2@8 READY", "s-1@7 READY"), events(list, update(list, good)));
    }

    @Test
    void aListOfMoreHostsThanThereIsRoomForIsRefused() throws IOException {
        HostList list = new HostList(List.of("a"), List.of("m2"), 3);
        String[] hosts = IntStream.range(0, 4).mapToObj(i -> Platform.host("s-" + i, 80, i, "ready"))
            .toArray(String[]::new);
        assertThrows(Wire.Malformed.class, () -> take(list, Platform.list(1, true, hosts)));
        assertEquals(0, list.rowCount());
        take(list, Platform.list(1, true, hosts[0], hosts[1], hosts[2]));
        take(list, Platform.list(2, true, hosts[0], hosts[1], hosts[2]));
        assertThrows(Wire.Malformed.class, () -> change(list, hosts[3]));
        assertEquals(List.of(2L, 3, 3), List.of(list.version(), list.listedCount(), list.rowCount()));
    }

    @Test
    void theModuleHearsOfTheDestinationsThatItHasBeenToldOf() throws IOException {
        HostList list = list();
        String drains = Platform.host("s-2", 80, 7, "draining");
        assertEquals(List.of(), update(list, Platform.list(1, true, NAMED, drains,
            Platform.host("s-3", 80, 8, "ready"))).endpoints());
        assertEquals(List.of(3, 1), List.of(list.listedCount(), list.drainingCount()));
        assertNull(list.hostByName("s-1"));
        assertEquals(7, list.destinationOf("s-1"));
        assertEquals(List.of("s-1@7 READY", "s-2@7 DRAINING"), events(list, list.activate(7)));
        assertNull(list.activate(7));
        HostList.Change change = change(list, Platform.host("s-3", 80, 8, "draining"), drains,
            NAMED.replace("ready", "gone"));
        assertEquals(List.of("s-2@7 DRAINING", "s-1@7 GONE"), events(list, change.event()));
        assertEquals(List.of("s-2", "s-1"), names(change.unavailable()));
        assertEquals(List.of("s-1", "s-2"), names(list.hostsOf(7)), "one that is gone is held");
        list.releaseHost(list.hostByName("s-1").id);
        list.releaseHost(list.hostByName("s-2").id);
        assertEquals(List.of("s-2"), names(list.hostsOf(7)), "one that is listed stays");
        list.deactivate(7);
        assertFalse(list.isActive(7));
        assertEquals(List.of(), List.copyOf(list.hostsOf(7)));
        assertEquals(List.of("s-2@7 DRAINING"), events(list, list.activate(7)));
    }

    @Test
    void aHostMovesFromOneDestinationToAnother() throws IOException {
        HostList list = list(7, 8);
        update(list, Platform.list(1, true, NAMED));
        HostList.Host host = list.hostByName("s-1");
        HostList.Change told = change(list, Platform.host("s-1", 80, 8, "ready"));
        assertEquals(List.of("s-1@8 READY"), events(list, told.event()));
        assertEquals(List.of(host), told.unavailable(), "no call that waits may go there for the other destination");
        assertEquals(List.of(), names(list.hostsOf(7)));
        assertEquals(List.of("s-1"), names(list.hostsOf(8)));
        HostList.Change away = change(list, Platform.host("s-1", 80, 9, "ready"));
        assertEquals(List.of("s-1@8 GONE"), events(list, away.event()));
        assertEquals(List.of(host), away.unavailable());
        assertFalse(host.ready);
        assertEquals(9, list.destinationOf("s-1"));
        assertEquals(List.of(), change(list, Platform.host("s-1", 80, 9, "gone")).event().endpoints());
        assertEquals(List.of("s-1@7 READY"), events(list, change(list, NAMED).event()));
        assertSame(host, list.hostByName("s-1"));
        change(list, Platform.host("s-1", 80, 9, "ready"));
        assertEquals(List.of("s-1@9 READY"), events(list, list.activate(9)));
        assertEquals(List.of(host), List.copyOf(list.hostsOf(9)));
        assertTrue(list.isKnown(7) && list.isKnown(8));
        assertEquals(List.of(1, 1), List.of(list.rowCount(), list.listedCount()));
    }

    @Test
    void aChangeForAHostNeverNamedIsTakenInUnlessItIsGone() throws IOException {
        HostList list = list(7);
        assertEquals(List.of(), change(list, NAMED.replace("ready", "gone")).event().endpoints());
        assertFalse(list.isKnown(7));
        assertEquals(List.of("s-1@7 READY", "s-1@7 GONE"), events(list,
            change(list, NAMED, NAMED.replace("ready", "gone")).event()));
        assertEquals(List.of("s-1@7 READY"), events(list, change(list, NAMED).event()));
        assertEquals(List.of(1, 1, 2L), List.of(list.listedCount(), list.rowCount(), list.version()));
    }

    @Test
    void aWholeListThatDropsMostHostsKeepsNoneOfThem() throws IOException {
        HostList list = list(7, 8);
        String[] hosts = IntStream.range(0, 5_000).mapToObj(i -> Platform.host("s-" + i, 80, 7 + i % 50, "ready"))
            .toArray(String[]::new);
        update(list, Platform.list(1, true, hosts));
        HostList.Change most = take(list, Platform.list(2, true, hosts[49], hosts[50]));
        assertEquals(List.of("s-50@7 READY"), events(list, most.event()));
        assertEquals(199, most.unavailable().size());
        assertTrue(most.unavailable().stream().noneMatch(host -> host.ready || host.listed));
        assertEquals(List.of(2, 2, 5_001), List.of(list.listedCount(), list.rowCount(), list.allocatedRowCount()), "one that is named again");
        assertTrue(IntStream.range(7, 57).allMatch(list::isKnown));
        list.hostsOf(7).forEach(host -> list.releaseHost(host.id));
        assertEquals(List.of("s-50"), names(list.hostsOf(7)));
        update(list, Platform.list(3, true, hosts));
        assertEquals(List.of(5_000, 5_000, 5_001), List.of(list.listedCount(), list.rowCount(), list.allocatedRowCount()));
    }

    /** Guards the rule on drains: the text of the list that is being read may be older than what is told here. */
    @Test
    void aDrainWhileAListIsReadHoldsUntilALaterListNamesTheHost() throws IOException {
        for (String port : List.of(":80", ":81")) {
            HostList list = list(7);
            update(list, Platform.list(1, true, NAMED));
            byte[] text = bytes(Platform.list(2, true, NAMED.replace(":80", port)));
            for (int cut : new int[] {0, text.length}) {
                HostList.PendingUpdate reading = list.beginUpdate();
                reading.feed(text, 0, cut);
                assertEquals(Listing.DRAINING, list.markDraining(list.hostByName("s-1")).endpoints().get(0).listing());
                reading.feed(text, cut, text.length - cut);
                assertEquals(List.of("s-1@7 DRAINING"), events(list, reading.commit().event()));
                assertEquals(List.of(1, 1), List.of(list.listedCount(), list.drainingCount()));
                assertFalse(list.hostByName("s-1").ready);
                assertEquals(List.of("s-1@7 READY"), events(list, change(list, NAMED).event()));
                assertEquals(0, list.drainingCount());
            }
        }
    }

    @Test
    void aDestinationToldOfWhileAWholeListIsReadIsInIt() throws IOException {
        HostList list = list();
        update(list, Platform.list(1, true, NAMED));
        byte[] text = bytes(Platform.list(2, true, NAMED));
        HostList.PendingUpdate reading = list.beginUpdate();
        reading.feed(text, 0, text.length);
        list.activate(7);
        assertEquals(List.of("s-1@7 READY"), events(list, reading.commit().event()));
    }

    @Test
    void theLastListBegunIsTheOneThatCounts() throws IOException {
        HostList list = list();
        HostList.PendingUpdate old = list.beginUpdate();
        byte[] text = bytes(Platform.list(1, true, NAMED));
        old.feed(text, 0, text.length);
        HostList.PendingUpdate fresh = list.beginUpdate();
        assertThrows(Wire.Malformed.class, old::commit);
        fresh.feed(text, 0, text.length);
        assertEquals(1, list.rowCount());
        fresh.abandon();
        assertEquals(List.of(-1L, 0, 0), List.of(list.version(), list.listedCount(), list.rowCount()));
        assertThrows(Wire.Malformed.class, fresh::commit);
    }

    /** Guards the memory: names too, of which there would be 5 MB. */
    @Test
    void rowsAndNamesOfHostsThatAreGoneAreUsedAgain() throws IOException {
        HostList list = new HostList(List.of("a"), List.of("m2"), 10);
        String last = "";
        for (int i = 0; i < 5_000; i++) {
            String next = i + "-" + "n".repeat(990);
            change(list, Platform.host(last, 80, i - 1, "gone"), Platform.host(next, 80, i, "ready"));
            last = next;
        }
        assertEquals(List.of(1, 1, 3), List.of(list.listedCount(), list.rowCount(), list.allocatedRowCount()));
        assertEquals(4_999, list.destinationOf(last));
    }
}
