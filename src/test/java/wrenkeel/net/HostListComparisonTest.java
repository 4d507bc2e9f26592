package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import wrenkeel.Relay;
import wrenkeel.Relay.Listing;
import wrenkeel.Wire;

/** Random lists, cuts, drains, tells and releases: the table tells and holds what the plain list of before did. */
class HostListComparisonTest {
    static {
        // What is left out on purpose would fill the log.
        System.setProperty("org.slf4j.simpleLogger.log.wrenkeel.net.ListReader", "off");
    }

    private static final List<String> ZONES = List.of("a", "b"), KINDS = List.of("m1", "m2");
    private static final List<String> NAMES = List.of("plumless", "buckeroo", "s-1", "s-2", "s-\u00e4\u20ac",
        "s-" + "x".repeat(40));
    private static final int DESTINATIONS = 4;

    enum What { WHOLE, CHANGES, CUT, TELL, TELL_MIDWAY, RELEASE, DRAIN, FORGET }

    /** {@code at}: a destination, a host's place in NAMES, or where to cut. */
    record Step(What what, List<String> entries, int at, int piece) { }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<String> health = Arbitraries.of("ready", "ready", "ready", "draining", "gone");
        Arbitrary<String> dial = Arbitraries.of("127.0.0.1:80", "127.0.0.1:81", "10.1:80", "[::1]:80", "[::2]:80");
        Arbitrary<String> rest = Arbitraries.of("", ",\"share\":2.5", ",\"share\":0.1", ",\"share\":7.3", ",\"site\":\"far\",\"new\":[{}]",
            ",\"site\":null,\"share\":null");
        Arbitrary<String> entry = Combinators.combine(Arbitraries.of(NAMES), health, dial, rest, rare("m2", "m9"),
            Arbitraries.integers().between(0, DESTINATIONS - 1), rare("", "well"), rare("", "here:80")).as(
            (name, health1, dial1, rest1, kind, block, badHealth, badDial) -> "{\"host\":\"" + name + "\",\"dial\":\""
                + (badDial.isEmpty() ? dial1 : badDial) + "\",\"class\":\"" + kind + "\",\"block\":" + block
                + ",\"health\":\"" + (badHealth.isEmpty() ? health1 : badHealth) + "\"" + rest1 + "}");
        return Combinators.combine(Arbitraries.of(What.values()), entry.list().ofMaxSize(8),
            Arbitraries.integers().between(0, 1_000), Arbitraries.integers().between(1, 300)).as(Step::new)
            .list().ofMaxSize(30);
    }

    private static Arbitrary<String> rare(String usual, String rare) {
        return Arbitraries.frequency(Tuple.of(30, usual), Tuple.of(1, rare));
    }

    @Property(tries = 2_000)
    void tellsAndHoldsWhatThePlainListDid(@ForAll("steps") List<Step> steps) throws IOException {
        Comparison comparison = new Comparison();
        for (Step step : steps) {
            comparison.play(step);
            comparison.check();
        }
    }

    /** Both lists, and a module that hears of the new one's. */
    private static final class Comparison {
        private final ReferenceHostList reference = new ReferenceHostList(ZONES, KINDS);
        private final HostList list = new HostList(ZONES, KINDS, 1_000);
        private final Set<Long> told = new HashSet<>();
        /** Destinations of the listed hosts, by name, as the reference's events say. */
        private Map<String, Long> listed = new HashMap<>();
        /** What the module holds, by name. */
        private final Map<String, String> module = new HashMap<>();

        void play(Step step) throws IOException {
            long destination = step.at % DESTINATIONS;
            String name = NAMES.get(step.at % NAMES.size());
            switch (step.what) {
                case WHOLE, CHANGES, TELL_MIDWAY, CUT -> lists(step, destination);
                case TELL -> tell(destination);
                case RELEASE -> {
                    list.deactivate(destination);
                    told.remove(destination);
                    module.values().removeIf(state -> state.startsWith(destination + " "));
                }
                case DRAIN -> {
                    HostList.Host host = list.hostByName(name);
                    if (host != null && host.ready) {
                        Relay.Listed drained = list.markDraining(host);
                        assertEquals(seen(reference.markDraining(reference.hostByName(name)), id -> reference.hostById(id).name),
                            seen(drained, id -> list.hostById(id).name));
                        hear(drained);
                    }
                }
                default -> {
                    HostList.Host host = list.hostByName(name);
                    if (host != null) {
                        list.releaseHost(host.id);
                        assertEquals(host.listed, list.hostByName(name) == host);
                    }
                }
            }
        }

        private void tell(long destination) {
            Relay.Listed answer = list.activate(destination);
            assertEquals(told.add(destination), answer != null);
            if (answer != null) {
                hear(answer);
            }
        }

        private void lists(Step step, long destination) throws IOException {
            boolean whole = step.what == What.WHOLE || step.what == What.TELL_MIDWAY && step.at % 2 == 0;
            long seq = list.version() + 2;
            String text = step.piece % 2 == 0
                ? Platform.list((int) seq, whole, step.entries.toArray(String[]::new))
                : "{\n \"hosts\": [\n  " + String.join(",\n  ", step.entries) + "\n ],\n \"whole\": " + whole
                    + ", \"seq\": " + seq + "}";
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            boolean midway = step.what == What.CUT || step.what == What.TELL_MIDWAY;
            int cut = midway ? step.at * bytes.length / 1_001 : bytes.length;
            HostList.PendingUpdate reading = list.beginUpdate();
            for (int from = 0; from < cut; from += step.piece) {
                reading.feed(bytes, from, Math.min(step.piece, cut - from));
            }
            if (step.what == What.CUT) {
                if (step.piece % 3 == 0) {
                    reading.abandon();
                } else {
                    assertThrows(Wire.Malformed.class, reading::commit);
                }
                return;
            }
            if (step.what == What.TELL_MIDWAY) {
                tell(destination);
                reading.feed(bytes, cut, bytes.length - cut);
            }
            Map<HostList.Host, Long> ready = new HashMap<>();
            NAMES.stream().map(list::hostByName).filter(host -> host != null && host.ready)
                .forEach(host -> ready.put(host, host.destination));
            HostList.Change change = reading.commit();
            List<String> due = due(reference.load(Wire.decode(text)));
            if (step.what != What.TELL_MIDWAY) {
                assertEquals(due, seen(change.event(), id -> list.hostById(id).name));
            }
            ready.forEach((host, before) -> assertTrue(host.ready && host.destination == before
                || change.unavailable().contains(host)));
            assertEquals(whole ? Relay.ListKind.WHOLE : Relay.ListKind.CHANGES, change.event().kind());
            hear(change.event());
        }

        /** Of the reference's events, those of destinations told of; a host that leaves these goes. */
        private List<String> due(Relay.Listed all) {
            List<String> due = new ArrayList<>();
            Map<String, Long> named = new HashMap<>();
            for (Relay.Endpoint e : all.endpoints()) {
                String name = reference.hostById(e.id()).name;
                Long before = listed.remove(name);
                named.remove(name);
                if (e.listing() != Listing.GONE) {
                    listed.put(name, e.destination());
                    named.put(name, e.destination());
                }
                if (e.listing() != Listing.GONE && told.contains(e.destination())) {
                    due.add(seen(name, e));
                } else if (before != null && told.contains(before)) {
                    due.add(name + " " + before + " GONE");
                }
            }
            listed = all.kind() == Relay.ListKind.WHOLE ? named : listed;
            return due;
        }

        private interface Names {
            String of(long id);
        }

        private static List<String> seen(Relay.Listed listed, Names names) {
            return listed.endpoints().stream().map(e -> seen(names.of(e.id()), e)).toList();
        }

        private static String seen(String name, Relay.Endpoint e) {
            return name + " " + e.destination() + " " + e.listing()
                + (e.listing() == Listing.GONE ? "" : " " + e.zone() + " " + e.kind() + " " + e.weight());
        }

        private void hear(Relay.Listed event) {
            Set<String> named = new HashSet<>();
            for (Relay.Endpoint e : event.endpoints()) {
                String name = list.hostById(e.id()).name;
                named.add(name);
                if (e.listing() == Listing.GONE) {
                    module.remove(name);
                } else {
                    module.put(name, e.destination() + " " + e.listing() + " " + e.zone() + " " + e.kind());
                }
            }
            if (event.kind() == Relay.ListKind.WHOLE) {
                module.keySet().retainAll(named);
            }
        }

        private void check() {
            Map<String, String> due = new HashMap<>();
            Set<Long> numbers = new HashSet<>();
            int draining = 0;
            for (String name : NAMES) {
                ReferenceHostList.Host host = reference.hostByName(name);
                boolean there = host != null && host.listed;
                HostList.Host mine = list.hostByName(name);
                assertTrue(mine == null || numbers.add(mine.id) && list.hostById(mine.id) == mine);
                assertEquals(there ? host.destination : null, list.destinationOf(name));
                assertTrue(mine == null || list.hostsOf(mine.destination).contains(mine));
                if (there && told.contains(host.destination)) {
                    due.put(name, host.destination + " " + (host.ready ? Listing.READY : Listing.DRAINING) + " "
                        + host.zone + " " + host.kind);
                    assertEquals(List.of(host.address, host.zone, host.kind, host.destination, host.ready, true),
                        List.of(mine.address, mine.zone, mine.kind, mine.destination, mine.ready, mine.listed));
                } else {
                    assertTrue(mine == null || !mine.ready && !mine.listed);
                }
                draining += there && !host.ready ? 1 : 0;
            }
            assertEquals(due, module);
            assertEquals(List.of(reference.version(), reference.listedCount(), draining, reference.listedCount()),
                List.of(list.version(), list.listedCount(), list.drainingCount(), list.rowCount()));
            for (long destination = 0; destination < DESTINATIONS; destination++) {
                assertEquals(reference.isKnown(destination), list.isKnown(destination));
                assertEquals(told.contains(destination), list.isActive(destination));
            }
        }
    }
}
