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

/**
 * Performs random sequences of actions on {@link HostList} and on the simple {@link ReferenceHostList}, and
 * requires both to report the same events and to hold the same hosts.
 */
class HostListComparisonTest {
    static {
        // The generated lists contain unusable entries, whose warnings would fill the log.
        System.setProperty("org.slf4j.simpleLogger.log.wrenkeel.net.ListReader", "off");
    }

    private static final List<String> ZONES = List.of("a", "b");
    private static final List<String> KINDS = List.of("m1", "m2");
    /** "plumless" and "buckeroo" have the same CRC-32, from which the ids of hosts are made. */
    private static final List<String> NAMES = List.of("plumless", "buckeroo", "s-1", "s-2", "s-\u00e4\u20ac",
        "s-" + "x".repeat(40));
    private static final int DESTINATIONS = 4;

    /** What a step does to both lists. */
    enum Action {
        /** Loads a whole list. */
        WHOLE,
        /** Loads a list of changes. */
        CHANGES,
        /** Reads the beginning of a list, then abandons the update or tries to commit it. */
        TRUNCATED,
        /** Activates a destination. */
        ACTIVATE,
        /** Activates a destination while a list is being read. */
        ACTIVATE_DURING_UPDATE,
        /** Deactivates a destination. */
        DEACTIVATE,
        /** Marks a host as draining, as when another process has received a newer list. */
        MARK_DRAINING,
        /** Releases a host that the decision module no longer needs. */
        RELEASE_HOST
    }

    /**
     * One action with its parameters.
     *
     * @param entries the entries of the list, as JSON
     * @param position a number from 0 to 1000 that selects the destination, the host in {@code NAMES}, and
     *     the point at which the reading of the list is interrupted
     * @param pieceBytes size of the pieces in which the list is read; also selects variants of the action
     */
    record Step(Action action, List<String> entries, int position, int pieceBytes) { }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<String> health = Arbitraries.of("ready", "ready", "ready", "draining", "gone");
        Arbitrary<String> dial = Arbitraries.of("127.0.0.1:80", "127.0.0.1:81", "10.1:80", "[::1]:80",
            "[::2]:80");
        Arbitrary<String> rest = Arbitraries.of("", ",\"share\":2.5", ",\"share\":0.1", ",\"share\":7.3",
            ",\"site\":\"far\",\"new\":[{}]", ",\"site\":null,\"share\":null");
        Arbitrary<String> entry = Combinators.combine(Arbitraries.of(NAMES), health, dial, rest,
            rare("m2", "m9"), Arbitraries.integers().between(0, DESTINATIONS - 1), rare("", "well"),
            rare("", "here:80")).as(
            (name, anyHealth, anyDial, anyRest, kind, block, badHealth, badDial) -> "{\"host\":\"" + name
                + "\",\"dial\":\"" + (badDial.isEmpty() ? anyDial : badDial) + "\",\"class\":\"" + kind
                + "\",\"block\":" + block
                + ",\"health\":\"" + (badHealth.isEmpty() ? anyHealth : badHealth) + "\"" + anyRest + "}");
        return Combinators.combine(Arbitraries.of(Action.values()), entry.list().ofMaxSize(8),
            Arbitraries.integers().between(0, 1_000), Arbitraries.integers().between(1, 300)).as(Step::new)
            .list().ofMaxSize(30);
    }

    /** The usual value in 30 of 31 cases, otherwise the rare one. */
    private static Arbitrary<String> rare(String usual, String rare) {
        return Arbitraries.frequency(Tuple.of(30, usual), Tuple.of(1, rare));
    }

    @Property(tries = 2_000)
    void behavesLikeTheReferenceList(@ForAll("steps") List<Step> steps) throws IOException {
        Comparison comparison = new Comparison();
        for (Step step : steps) {
            comparison.perform(step);
            comparison.assertSameState();
        }
    }

    /** Both lists, and a model of the decision module that receives the events of {@link HostList}. */
    private static final class Comparison {
        private final ReferenceHostList reference = new ReferenceHostList(ZONES, KINDS);
        private final HostList list = new HostList(ZONES, KINDS, 1_000);
        private final Set<Long> activeDestinations = new HashSet<>();
        /** The destinations of the listed hosts, by host name, according to the reference's events. */
        private Map<String, Long> listedDestinations = new HashMap<>();
        /**
         * What the decision module knows of each host, by host name: destination, listing, zone and kind.
         */
        private final Map<String, String> moduleState = new HashMap<>();

        /** Performs one step on both lists; requires the same events. */
        void perform(Step step) throws IOException {
            long destination = step.position % DESTINATIONS;
            String name = NAMES.get(step.position % NAMES.size());
            switch (step.action) {
                case WHOLE, CHANGES, ACTIVATE_DURING_UPDATE, TRUNCATED -> loadList(step, destination);
                case ACTIVATE -> activate(destination);
                case DEACTIVATE -> {
                    list.deactivate(destination);
                    activeDestinations.remove(destination);
                    moduleState.values().removeIf(state -> state.startsWith(destination + " "));
                }
                case MARK_DRAINING -> {
                    HostList.Host host = list.hostByName(name);
                    if (host != null && host.ready) {
                        Relay.ListUpdated drained = list.markDraining(host);
                        assertEquals(describe(reference.markDraining(reference.hostByName(name)),
                                id -> reference.hostById(id).name),
                            describe(drained, id -> list.hostById(id).name));
                        applyToModule(drained);
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

        /** Activates a destination; it must be reported unless it is active already. */
        private void activate(long destination) {
            Relay.ListUpdated event = list.activate(destination);
            assertEquals(activeDestinations.add(destination), event != null);
            if (event != null) {
                applyToModule(event);
            }
        }

        /** Loads the list of a step, or a part of it, and compares the reports of both lists. */
        private void loadList(Step step, long destination) throws IOException {
            boolean whole = step.action == Action.WHOLE
                || step.action == Action.ACTIVATE_DURING_UPDATE && step.position % 2 == 0;
            long version = list.version() + 2;
            String text = step.pieceBytes % 2 == 0
                ? Platform.listJson((int) version, whole, step.entries.toArray(String[]::new))
                : "{\n \"hosts\": [\n  " + String.join(",\n  ", step.entries) + "\n ],\n \"whole\": " + whole
                    + ", \"seq\": " + version + "}";
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            boolean stopsMidway = step.action == Action.TRUNCATED
                || step.action == Action.ACTIVATE_DURING_UPDATE;
            int cut = stopsMidway ? step.position * bytes.length / 1_001 : bytes.length;
            HostList.PendingUpdate update = list.beginUpdate();
            for (int from = 0; from < cut; from += step.pieceBytes) {
                update.feed(bytes, from, Math.min(step.pieceBytes, cut - from));
            }
            if (step.action == Action.TRUNCATED) {
                if (step.pieceBytes % 3 == 0) {
                    update.abandon();
                } else {
                    assertThrows(Wire.MalformedException.class, update::commit);
                }
                return;
            }
            if (step.action == Action.ACTIVATE_DURING_UPDATE) {
                activate(destination);
                update.feed(bytes, cut, bytes.length - cut);
            }
            Map<HostList.Host, Long> readyBefore = new HashMap<>();
            NAMES.stream().map(list::hostByName).filter(host -> host != null && host.ready)
                .forEach(host -> readyBefore.put(host, host.destination));
            HostList.Change change = update.commit();
            List<String> expected = expectedReport(reference.load(Wire.decode(text)));
            // If a destination became active in between, only the state after the update is compared.
            if (step.action != Action.ACTIVATE_DURING_UPDATE) {
                assertEquals(expected, describe(change.event(), id -> list.hostById(id).name));
            }
            // A host that can no longer be called for its destination must be reported as unavailable.
            readyBefore.forEach((host, oldDestination) -> assertTrue(
                host.ready && host.destination == oldDestination || change.unavailable().contains(host)));
            assertEquals(whole ? Relay.ListKind.WHOLE : Relay.ListKind.CHANGES, change.event().kind());
            applyToModule(change.event());
        }

        /**
         * The part of the reference's report that concerns active destinations. A host that moves from one of
         * these to an inactive destination is expected to be reported as gone.
         */
        private List<String> expectedReport(Relay.ListUpdated fullReport) {
            List<String> expected = new ArrayList<>();
            Map<String, Long> named = new HashMap<>();
            for (Relay.Endpoint endpoint : fullReport.endpoints()) {
                String name = reference.hostById(endpoint.id()).name;
                Long oldDestination = listedDestinations.remove(name);
                named.remove(name);
                if (endpoint.listing() != Listing.GONE) {
                    listedDestinations.put(name, endpoint.destination());
                    named.put(name, endpoint.destination());
                }
                if (endpoint.listing() != Listing.GONE
                        && activeDestinations.contains(endpoint.destination())) {
                    expected.add(describe(name, endpoint));
                } else if (oldDestination != null && activeDestinations.contains(oldDestination)) {
                    expected.add(name + " " + oldDestination + " GONE");
                }
            }
            listedDestinations = fullReport.kind() == Relay.ListKind.WHOLE ? named : listedDestinations;
            return expected;
        }

        /** Returns the name of the host with an id. */
        private interface NameLookup {
            String nameOf(long id);
        }

        /** The endpoints of an event as text, with the names of their hosts. */
        private static List<String> describe(Relay.ListUpdated event, NameLookup names) {
            return event.endpoints().stream().map(endpoint -> describe(names.nameOf(endpoint.id()), endpoint))
                .toList();
        }

        private static String describe(String name, Relay.Endpoint endpoint) {
            return name + " " + endpoint.destination() + " " + endpoint.listing()
                + (endpoint.listing() == Listing.GONE ? ""
                    : " " + endpoint.zone() + " " + endpoint.kind() + " " + endpoint.weight());
        }

        /** Updates the model of the decision module by an event. */
        private void applyToModule(Relay.ListUpdated event) {
            Set<String> named = new HashSet<>();
            for (Relay.Endpoint endpoint : event.endpoints()) {
                String name = list.hostById(endpoint.id()).name;
                named.add(name);
                if (endpoint.listing() == Listing.GONE) {
                    moduleState.remove(name);
                } else {
                    moduleState.put(name, endpoint.destination() + " " + endpoint.listing()
                        + " " + endpoint.zone() + " " + endpoint.kind());
                }
            }
            if (event.kind() == Relay.ListKind.WHOLE) {
                moduleState.keySet().retainAll(named);
            }
        }

        /** Requires both lists, and the model of the decision module, to hold the same hosts. */
        private void assertSameState() {
            Map<String, String> expectedModuleState = new HashMap<>();
            Set<Long> ids = new HashSet<>();
            int draining = 0;
            for (String name : NAMES) {
                ReferenceHostList.Host expected = reference.hostByName(name);
                boolean isListed = expected != null && expected.listed;
                HostList.Host actual = list.hostByName(name);
                assertTrue(actual == null || ids.add(actual.id) && list.hostById(actual.id) == actual);
                assertEquals(isListed ? expected.destination : null, list.destinationOf(name));
                assertTrue(actual == null || list.hostsOf(actual.destination).contains(actual));
                if (isListed && activeDestinations.contains(expected.destination)) {
                    expectedModuleState.put(name, expected.destination + " "
                        + (expected.ready ? Listing.READY : Listing.DRAINING)
                        + " " + expected.zone + " " + expected.kind);
                    assertEquals(List.of(expected.address, expected.zone, expected.kind, expected.destination,
                            expected.ready, true),
                        List.of(actual.address, actual.zone, actual.kind, actual.destination,
                            actual.ready, actual.listed));
                } else {
                    assertTrue(actual == null || !actual.ready && !actual.listed);
                }
                draining += isListed && !expected.ready ? 1 : 0;
            }
            assertEquals(expectedModuleState, moduleState);
            assertEquals(
                List.of(reference.version(), reference.listedCount(), draining, reference.listedCount()),
                List.of(list.version(), list.listedCount(), list.drainingCount(), list.rowCount()));
            for (long destination = 0; destination < DESTINATIONS; destination++) {
                assertEquals(reference.isKnown(destination), list.isKnown(destination));
                assertEquals(activeDestinations.contains(destination), list.isActive(destination));
            }
        }
    }
}
