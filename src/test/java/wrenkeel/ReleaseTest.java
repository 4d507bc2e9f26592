package wrenkeel;

import static org.junit.jupiter.api.Assertions.*;
import static wrenkeel.ScriptedRelay.*;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wrenkeel.Relay.*;

/** Destinations that a relay meets now and then: introduced with their first message, forgotten after their last. */
class ReleaseTest {
    /** us; past any span for which a quiet destination is kept. */
    private static final long LONG_QUIET_MICROS = 120 * SECOND;

    private static ScriptedRelay relayWithOneDestination() {
        ScriptedRelay b = new ScriptedRelay(settings(8, true, 2_300));
        b.turn(new Introduced(List.of(endpoint(11, 0, 1, 1, 50), endpoint(12, 0, 1, 1, 50))));
        return b;
    }

    private static List<Long> releasedDestinations(List<Action> actions) {
        return actions.stream().filter(Released.class::isInstance).map(a -> ((Released) a).destination()).toList();
    }

    /** What a relay's driver does: it asks every second. */
    private static List<Long> advanceWithReleases(ScriptedRelay b, long span) {
        List<Action> all = new ArrayList<>();
        for (long end = b.now + span; b.now < end;) {
            all.addAll(b.advance(SECOND));
            all.addAll(b.turn(new Release()));
        }
        return releasedDestinations(all);
    }

    private static Send sendOneMessage(ScriptedRelay b) {
        List<Send> sent = new ArrayList<>(sends(b.turn(b.message(1, 1))));
        sent.addAll(sent.isEmpty() ? sends(b.advance(4 * SECOND)) : List.of());
        return sent.get(0);
    }

    @Test
    void quietDestinationIsReleasedOnceAndServedAfterReintroduction() {
        ScriptedRelay b = relayWithOneDestination();
        b.turn(attemptEnded(sendOneMessage(b), 0, Outcome.OK));
        assertEquals(List.of(), advanceWithReleases(b, 50 * SECOND), "what was just learned is still of use");
        assertEquals(List.of(1L), advanceWithReleases(b, LONG_QUIET_MICROS));
        assertEquals(List.of(), advanceWithReleases(b, LONG_QUIET_MICROS));
        b.turn(new Introduced(List.of(endpoint(12, 0, 1, 1, 50))));
        assertEquals(12, sendOneMessage(b).endpoint());
    }

    /** Without being asked to, the module forgets nothing: the simulator introduces nothing twice. */
    @Test
    void nothingIsReleasedWithoutAReleaseEvent() {
        ScriptedRelay b = relayWithOneDestination();
        b.turn(attemptEnded(sendOneMessage(b), 0, Outcome.OK));
        assertEquals(List.of(), releasedDestinations(b.advance(LONG_QUIET_MICROS)));
    }

    @Test
    void messageInTheSameTurnAsAReleaseKeepsItsDestination() {
        ScriptedRelay b = relayWithOneDestination();
        b.turn(attemptEnded(sendOneMessage(b), 0, Outcome.OK));
        b.advance(LONG_QUIET_MICROS);
        List<Action> actions = b.turn(new Release(), b.message(1, 1));
        assertEquals(List.of(), releasedDestinations(actions));
        assertEquals(1, sends(actions).size());
    }

    @Test
    void destinationIsKeptWhileACallIsInFlight() {
        ScriptedRelay b = relayWithOneDestination();
        Send out = sendOneMessage(b);
        b.turn(new Withdrawn(out.id()));
        assertEquals(List.of(), advanceWithReleases(b, LONG_QUIET_MICROS), "its call may still come back");
        b.turn(attemptEnded(out, 0, Outcome.CANCELLED));
        assertEquals(List.of(1L), advanceWithReleases(b, LONG_QUIET_MICROS));
    }

    @Test
    void destinationIsKeptUntilItsWaitIsOver() {
        ScriptedRelay b = relayWithOneDestination();
        Send refused = sendOneMessage(b);
        b.turn(attemptEnded(refused, 0, Outcome.FULL, 4 * LONG_QUIET_MICROS), new Withdrawn(refused.id()));
        assertEquals(List.of(), advanceWithReleases(b, 3 * LONG_QUIET_MICROS));
        assertEquals(List.of(1L), advanceWithReleases(b, 2 * LONG_QUIET_MICROS));
    }

    @Test
    void destinationInAnOutageIsKeptForTenMinutes() {
        ScriptedRelay b = relayWithOneDestination();
        for (int i = 0; i < 6; i++) {
            List<Send> sent = new ArrayList<>(sends(b.turn(b.message(1, 1))));
            for (int step = 0; sent.isEmpty() && step < 1_600; step++) {
                sent.addAll(sends(b.advance(10 * MS)));
            }
            sent.forEach(s -> b.turn(attemptEnded(s, 0, Outcome.CONNECT_FAILED), new Withdrawn(s.id())));
        }
        assertTrue(b.control.unavailable() > 0, "out");
        assertEquals(List.of(), advanceWithReleases(b, LONG_QUIET_MICROS), "an outage is still of use");
        assertEquals(List.of(1L), advanceWithReleases(b, 700 * SECOND), "one that nobody asked about for ten minutes is not");
        assertEquals(0, b.control.unavailable(), "and is counted no more");
    }

    @Test
    void removedEndpointKeepsItsDestinationUntilItIsForgotten() {
        ScriptedRelay b = relayWithOneDestination();
        b.turn(new Listed(ListKind.CHANGES, List.of(new Endpoint(12, 0, 1, 1, Listing.GONE, 50))));
        assertEquals(List.of(), advanceWithReleases(b, 4 * LONG_QUIET_MICROS));
        List<Action> after = new ArrayList<>(b.advance(2 * LONG_QUIET_MICROS));
        assertEquals(List.of(new Forgotten(12)), after.stream().filter(Forgotten.class::isInstance).toList());
        assertEquals(List.of(1L), advanceWithReleases(b, LONG_QUIET_MICROS));
    }

    @Test
    void endpointThatIsListedAgainIsNotForgotten() {
        ScriptedRelay b = relayWithOneDestination();
        b.turn(new Listed(ListKind.CHANGES, List.of(new Endpoint(12, 0, 1, 1, Listing.GONE, 50))));
        b.turn(new Listed(ListKind.CHANGES, List.of(endpoint(12, 0, 1, 1, 50))));
        assertEquals(0, count(b.advance(700 * SECOND), Forgotten.class));
        assertEquals(List.of(1L), advanceWithReleases(b, LONG_QUIET_MICROS));
    }

    /** Where very many are met, each is kept for the settings' spans only: here a window of repeats of 10 s. */
    @Test
    void surplusDestinationsAreKeptOnlyForTheSpansInTheSettings() {
        ScriptedRelay b = relayWithOneDestination();
        for (long d = 2; d < 5_000; d++) {
            b.turn(new Introduced(List.of(endpoint(100 + d, 0, 1, d, 50))));
        }
        assertEquals(List.of(), advanceWithReleases(b, 10 * SECOND));
        int gone = advanceWithReleases(b, 10 * SECOND).size();
        assertTrue(gone >= 900 && gone < 1_000, "down to the number that is kept for longer: " + gone);
    }

    /** A relay of a large fleet where no rates are listed. */
    private static ScriptedRelay largeFleetRelay() {
        Settings s = settings(64, true, 2_300, 8, 1_000);
        ScriptedRelay b = new ScriptedRelay(new Settings(s.rank(), s.relays(), s.zone(), s.halvingLate(), s.overShareWorth(),
            Weights.NONE, s.classes(), s.tenants(), s.kinds(), s.allowed(), s.rules(), s.prices()));
        b.turn();
        return b;
    }

    private static Introduced introductionOf(long destination) {
        return new Introduced(List.of(endpoint(10 + destination, 0, 1, destination, 1)));
    }

    private static List<Send> sendFirstMessages(ScriptedRelay b, int places) {
        List<Event> events = new ArrayList<>();
        for (long d = 1; d <= places; d++) {
            events.add(introductionOf(d));
            events.add(b.message(1, d));
        }
        return sends(b.turn(events));
    }

    /**
     * Guards nearly every message of a fleet in which a relay meets a destination once in many minutes: its
     * part of the first calls has grown since the relay began, not since the module heard of the place.
     */
    @Test
    void destinationIntroducedLateIsCalledAtOnceAndAgainAfterRelease() {
        ScriptedRelay b = largeFleetRelay();
        b.advance(LONG_QUIET_MICROS);
        List<Send> sent = sendFirstMessages(b, 40);
        assertEquals(40, sent.size());
        List<Event> ends = new ArrayList<>();
        sent.forEach(s -> ends.add(attemptEnded(s, 0, Outcome.OK)));
        b.turn(ends);
        assertEquals(40, advanceWithReleases(b, LONG_QUIET_MICROS).size());
        assertEquals(40, sendFirstMessages(b, 40).size());
    }

    /** Guards a message whose first call is refused: the second need not wait for a pace that has just begun. */
    @Test
    void refusedFirstCallIsRetriedAfterItsBackoff() {
        ScriptedRelay b = largeFleetRelay();
        b.advance(LONG_QUIET_MICROS);
        Send refused = sendFirstMessages(b, 1).get(0);
        b.turn(attemptEnded(refused, 0, Outcome.FULL));
        assertEquals(1, sends(b.advance(8 * SECOND)).size());
    }

    /** Guards the fleet's first second: all relays together begin with a part of their calls. */
    @Test
    void newDestinationsAreNotCalledRightAfterTheStart() {
        assertEquals(0, sendFirstMessages(largeFleetRelay(), 40).size());
    }

    /** Guards a place against one that forgets that it has just called: many are met, so it is released early. */
    @Test
    void spentTokensAreRememberedAcrossARelease() {
        ScriptedRelay b = largeFleetRelay();
        b.advance(LONG_QUIET_MICROS);
        b.turn(attemptEnded(sendFirstMessages(b, 1).get(0), 0, Outcome.OK));
        // The two calls that it had saved up.
        b.turn(attemptEnded(sendOneMessage(b), 0, Outcome.OK));
        for (long d = 2; d < 5_000; d++) {
            b.turn(introductionOf(d));
        }
        assertTrue(advanceWithReleases(b, 20 * SECOND).contains(1L));
        assertEquals(0, sendFirstMessages(b, 1).size(), "a call each 57.5 s");
        b.advance(30 * SECOND);
        List<Send> again = new ArrayList<>(sends(b.turn(b.message(1, 1))));
        assertEquals(0, again.size());
        again.addAll(sends(b.advance(15 * SECOND)));
        assertEquals(1, again.size());
    }

    /** The list of before binds nothing: a first message's introduction is no answer of discovery. */
    @Test
    void introductionDoesNotEndTheWaitForANewerList() {
        ScriptedRelay b = new ScriptedRelay(settings(8, true, 2));
        b.turn(new ListAsked());
        assertEquals(0, sends(b.turn(new Introduced(List.of(endpoint(11, 0, 1, 1, 50))), b.message(1, 1))).size());
        assertEquals(1, sends(b.turn(new Listed(ListKind.CHANGES, List.of()))).size());
    }

    @Test
    void movedEndpointServesOnlyItsNewDestinationAndKeepsItsWait() {
        ScriptedRelay b = new ScriptedRelay(settings(8, false, 2));
        b.turn(new Introduced(List.of(endpoint(11, 0, 1, 1, 50), endpoint(21, 0, 1, 2, 50))));
        Send refused = sendOneMessage(b);
        b.turn(attemptEnded(refused, 0, Outcome.FULL, 2 * SECOND), new Withdrawn(refused.id()));
        b.turn(new Listed(ListKind.CHANGES, List.of(endpoint(11, 0, 1, 2, 50),
            new Endpoint(21, 0, 1, 2, Listing.GONE, 50))));
        assertEquals(0, sends(b.turn(b.message(1, 1))).size(), "none is left there");
        List<Send> sent = new ArrayList<>(sends(b.turn(b.message(1, 2))));
        sent.addAll(sends(b.advance(SECOND)));
        assertEquals(0, sent.size(), "told to wait");
        sent.addAll(sends(b.advance(3 * SECOND)));
        assertEquals(List.of(11L), sent.stream().map(Send::endpoint).toList());
    }

    @Test
    void unavailableCountFollowsTheList() {
        ScriptedRelay b = relayWithOneDestination();
        Consumer<Listing> list = listing -> b.turn(new Listed(ListKind.CHANGES,
            List.of(new Endpoint(11, 0, 1, 1, listing, 50), new Endpoint(12, 0, 1, 1, listing, 50))));
        for (int i = 0; i < 6; i++) {
            List<Send> sent = new ArrayList<>(sends(b.turn(b.message(1, 1))));
            sent.addAll(sends(b.advance(4 * SECOND)));
            sent.forEach(s -> b.turn(attemptEnded(s, 0, Outcome.CONNECT_FAILED), new Withdrawn(s.id())));
        }
        int out = b.control.unavailable();
        assertTrue(out > 0);
        list.accept(Listing.DRAINING);
        assertEquals(0, b.control.unavailable(), "the list says it already");
        list.accept(Listing.READY);
        assertEquals(out, b.control.unavailable());
        list.accept(Listing.GONE);
        assertEquals(0, b.control.unavailable());
    }

    /** A send that is out, and which of its message's attempts it is. */
    private record PendingAttempt(Send send, int attempt) { }

    /** Seeded bursts at a few destinations with quiet between, past the rule checker: each is met several times. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void rulesHoldWhileDestinationsAreReleasedAndReintroduced(long seed) {
        Random random = new Random(seed);
        ScriptedRelay b = new ScriptedRelay(settings(4, seed % 2 == 0, 30, 8, 60), seed);
        Set<Long> introduced = new HashSet<>();
        List<PendingAttempt> out = new ArrayList<>();
        List<Event> events = new ArrayList<>();
        int releases = 0;
        int sent = 0;
        for (int step = 0; step < 16_000; step++) {
            // A burst of two seconds, then up to five minutes in which what it left is worked off.
            int quiet = step % 800;
            b.now += quiet < 100 ? 20 * MS : 400 * MS;
            if (quiet < 100 && quiet % 5 == 0) {
                long destination = 1 + random.nextInt(3);
                if (introduced.add(destination)) {
                    events.add(new Introduced(List.of(endpoint(10 * destination, 0, 1, destination, 50),
                        endpoint(10 * destination + 1, 1, 1, destination, 50))));
                }
                events.add(b.message(random.nextInt(4), destination));
            }
            events.add(new Release());
            List<Action> actions = b.turn(events);
            events.clear();
            for (Send s : sends(actions)) {
                out.add(new PendingAttempt(s, b.checker.messages.get(s.id()).sends.size() - 1));
            }
            sent += sends(actions).size();
            releasedDestinations(actions).forEach(introduced::remove);
            releases += releasedDestinations(actions).size();
            // What is out ends with the next turn, some of it after its message.
            for (PendingAttempt f : List.copyOf(out)) {
                if (random.nextInt(3) == 0) {
                    out.remove(f);
                    events.add(randomEnd(b, f, random));
                }
            }
        }
        assertTrue(releases > 20 && sent > 300, releases + " releases, " + sent + " sends");
    }

    private static Ended randomEnd(ScriptedRelay b, PendingAttempt f, Random random) {
        RuleChecker.TrackedMessage seen = b.checker.messages.get(f.send.id());
        Outcome outcome = random.nextInt(3) > 0 ? Outcome.OK : Outcome.values()[1 + random.nextInt(5)];
        long wait = outcome == Outcome.FULL && random.nextBoolean() ? random.nextInt(90) * SECOND : 0;
        return new Ended(f.send.id(), f.attempt, f.send.endpoint(), outcome, seen.finished || outcome == Outcome.OK, wait,
            20 * MS, -1, -1);
    }
}
