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
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, true, 2_300));
        relay.turn(new Introduced(List.of(endpoint(11, 0, 1, 1, 50), endpoint(12, 0, 1, 1, 50))));
        return relay;
    }

    private static List<Long> releasedDestinations(List<Action> actions) {
        return actions.stream().filter(Released.class::isInstance).map(a -> ((Released) a).destination()).toList();
    }

    /** What a relay's driver does: it asks every second. */
    private static List<Long> advanceWithReleases(ScriptedRelay relay, long span) {
        List<Action> all = new ArrayList<>();
        for (long end = relay.now + span; relay.now < end;) {
            all.addAll(relay.advance(SECOND));
            all.addAll(relay.turn(new Release()));
        }
        return releasedDestinations(all);
    }

    private static Send sendOneMessage(ScriptedRelay relay) {
        List<Send> sent = new ArrayList<>(sends(relay.turn(relay.message(1, 1))));
        sent.addAll(sent.isEmpty() ? sends(relay.advance(4 * SECOND)) : List.of());
        return sent.get(0);
    }

    @Test
    void quietDestinationIsReleasedOnceAndServedAfterReintroduction() {
        ScriptedRelay relay = relayWithOneDestination();
        relay.turn(attemptEnded(sendOneMessage(relay), 0, Outcome.OK));
        assertEquals(List.of(), advanceWithReleases(relay, 50 * SECOND), "what was just learned is still of use");
        assertEquals(List.of(1L), advanceWithReleases(relay, LONG_QUIET_MICROS));
        assertEquals(List.of(), advanceWithReleases(relay, LONG_QUIET_MICROS));
        relay.turn(new Introduced(List.of(endpoint(12, 0, 1, 1, 50))));
        assertEquals(12, sendOneMessage(relay).endpoint());
    }

    /** Without being asked to, the module forgets nothing: the simulator introduces nothing twice. */
    @Test
    void nothingIsReleasedWithoutAReleaseEvent() {
        ScriptedRelay relay = relayWithOneDestination();
        relay.turn(attemptEnded(sendOneMessage(relay), 0, Outcome.OK));
        assertEquals(List.of(), releasedDestinations(relay.advance(LONG_QUIET_MICROS)));
    }

    @Test
    void messageInTheSameTurnAsAReleaseKeepsItsDestination() {
        ScriptedRelay relay = relayWithOneDestination();
        relay.turn(attemptEnded(sendOneMessage(relay), 0, Outcome.OK));
        relay.advance(LONG_QUIET_MICROS);
        List<Action> actions = relay.turn(new Release(), relay.message(1, 1));
        assertEquals(List.of(), releasedDestinations(actions));
        assertEquals(1, sends(actions).size());
    }

    @Test
    void destinationIsKeptWhileACallIsInFlight() {
        ScriptedRelay relay = relayWithOneDestination();
        Send out = sendOneMessage(relay);
        relay.turn(new Withdrawn(out.id()));
        assertEquals(List.of(), advanceWithReleases(relay, LONG_QUIET_MICROS), "its call may still come back");
        relay.turn(attemptEnded(out, 0, Outcome.CANCELLED));
        assertEquals(List.of(1L), advanceWithReleases(relay, LONG_QUIET_MICROS));
    }

    @Test
    void destinationIsKeptUntilItsWaitIsOver() {
        ScriptedRelay relay = relayWithOneDestination();
        Send refused = sendOneMessage(relay);
        relay.turn(attemptEnded(refused, 0, Outcome.FULL, 4 * LONG_QUIET_MICROS), new Withdrawn(refused.id()));
        assertEquals(List.of(), advanceWithReleases(relay, 3 * LONG_QUIET_MICROS));
        assertEquals(List.of(1L), advanceWithReleases(relay, 2 * LONG_QUIET_MICROS));
    }

    @Test
    void destinationInAnOutageIsKeptForTenMinutes() {
        ScriptedRelay relay = relayWithOneDestination();
        for (int i = 0; i < 6; i++) {
            List<Send> sent = new ArrayList<>(sends(relay.turn(relay.message(1, 1))));
            for (int step = 0; sent.isEmpty() && step < 1_600; step++) {
                sent.addAll(sends(relay.advance(10 * MS)));
            }
            sent.forEach(s -> relay.turn(attemptEnded(s, 0, Outcome.CONNECT_FAILED), new Withdrawn(s.id())));
        }
        assertTrue(relay.control.unavailable() > 0, "out");
        assertEquals(List.of(), advanceWithReleases(relay, LONG_QUIET_MICROS), "an outage is still of use");
        assertEquals(List.of(1L), advanceWithReleases(relay, 700 * SECOND), "one that nobody asked about for ten minutes is not");
        assertEquals(0, relay.control.unavailable(), "and is counted no more");
    }

    @Test
    void removedEndpointKeepsItsDestinationUntilItIsForgotten() {
        ScriptedRelay relay = relayWithOneDestination();
        relay.turn(new Listed(ListKind.CHANGES, List.of(new Endpoint(12, 0, 1, 1, Listing.GONE, 50))));
        assertEquals(List.of(), advanceWithReleases(relay, 4 * LONG_QUIET_MICROS));
        List<Action> after = new ArrayList<>(relay.advance(2 * LONG_QUIET_MICROS));
        assertEquals(List.of(new Forgotten(12)), after.stream().filter(Forgotten.class::isInstance).toList());
        assertEquals(List.of(1L), advanceWithReleases(relay, LONG_QUIET_MICROS));
    }

    @Test
    void endpointThatIsListedAgainIsNotForgotten() {
        ScriptedRelay relay = relayWithOneDestination();
        relay.turn(new Listed(ListKind.CHANGES, List.of(new Endpoint(12, 0, 1, 1, Listing.GONE, 50))));
        relay.turn(new Listed(ListKind.CHANGES, List.of(endpoint(12, 0, 1, 1, 50))));
        assertEquals(0, count(relay.advance(700 * SECOND), Forgotten.class));
        assertEquals(List.of(1L), advanceWithReleases(relay, LONG_QUIET_MICROS));
    }

    /** Where very many are met, each is kept for the settings' spans only: here a window of repeats of 10 s. */
    @Test
    void surplusDestinationsAreKeptOnlyForTheSpansInTheSettings() {
        ScriptedRelay relay = relayWithOneDestination();
        for (long destination = 2; destination < 5_000; destination++) {
            relay.turn(new Introduced(List.of(endpoint(100 + destination, 0, 1, destination, 50))));
        }
        assertEquals(List.of(), advanceWithReleases(relay, 10 * SECOND));
        int gone = advanceWithReleases(relay, 10 * SECOND).size();
        assertTrue(gone >= 900 && gone < 1_000, "down to the number that is kept for longer: " + gone);
    }

    /** A relay of a large fleet where no rates are listed. */
    private static ScriptedRelay largeFleetRelay() {
        Settings settings = testSettings(64, true, 2_300, 8, 1_000);
        ScriptedRelay relay = new ScriptedRelay(new Settings(settings.rank(), settings.relays(), settings.zone(), settings.halvingLate(), settings.overShareWorth(),
            Weights.NONE, settings.classes(), settings.tenants(), settings.kinds(), settings.allowed(), settings.rules(), settings.prices()));
        relay.turn();
        return relay;
    }

    private static Introduced introductionOf(long destination) {
        return new Introduced(List.of(endpoint(10 + destination, 0, 1, destination, 1)));
    }

    private static List<Send> sendFirstMessages(ScriptedRelay relay, int count) {
        List<Event> events = new ArrayList<>();
        for (long destination = 1; destination <= count; destination++) {
            events.add(introductionOf(destination));
            events.add(relay.message(1, destination));
        }
        return sends(relay.turn(events));
    }

    /**
     * Guards nearly every message of a fleet in which a relay meets a destination once in many minutes: its
     * part of the first calls has grown since the relay began, not since the module heard of the place.
     */
    @Test
    void destinationIntroducedLateIsCalledAtOnceAndAgainAfterRelease() {
        ScriptedRelay relay = largeFleetRelay();
        relay.advance(LONG_QUIET_MICROS);
        List<Send> sent = sendFirstMessages(relay, 40);
        assertEquals(40, sent.size());
        List<Event> ends = new ArrayList<>();
        sent.forEach(s -> ends.add(attemptEnded(s, 0, Outcome.OK)));
        relay.turn(ends);
        assertEquals(40, advanceWithReleases(relay, LONG_QUIET_MICROS).size());
        assertEquals(40, sendFirstMessages(relay, 40).size());
    }

    /** Guards a message whose first call is refused: the second need not wait for a pace that has just begun. */
    @Test
    void refusedFirstCallIsRetriedAfterItsBackoff() {
        ScriptedRelay relay = largeFleetRelay();
        relay.advance(LONG_QUIET_MICROS);
        Send refused = sendFirstMessages(relay, 1).get(0);
        relay.turn(attemptEnded(refused, 0, Outcome.FULL));
        assertEquals(1, sends(relay.advance(8 * SECOND)).size());
    }

    /** Guards the fleet's first second: all relays together begin with a part of their calls. */
    @Test
    void newDestinationsAreNotCalledRightAfterTheStart() {
        assertEquals(0, sendFirstMessages(largeFleetRelay(), 40).size());
    }

    /** Guards a place against one that forgets that it has just called: many are met, so it is released early. */
    @Test
    void spentTokensAreRememberedAcrossARelease() {
        ScriptedRelay relay = largeFleetRelay();
        relay.advance(LONG_QUIET_MICROS);
        relay.turn(attemptEnded(sendFirstMessages(relay, 1).get(0), 0, Outcome.OK));
        // The two calls that it had saved up.
        relay.turn(attemptEnded(sendOneMessage(relay), 0, Outcome.OK));
        for (long destination = 2; destination < 5_000; destination++) {
            relay.turn(introductionOf(destination));
        }
        assertTrue(advanceWithReleases(relay, 20 * SECOND).contains(1L));
        assertEquals(0, sendFirstMessages(relay, 1).size(), "a call each 57.5 s");
        relay.advance(30 * SECOND);
        List<Send> again = new ArrayList<>(sends(relay.turn(relay.message(1, 1))));
        assertEquals(0, again.size());
        again.addAll(sends(relay.advance(15 * SECOND)));
        assertEquals(1, again.size());
    }

    /** The list of before binds nothing: a first message's introduction is no answer of discovery. */
    @Test
    void introductionDoesNotEndTheWaitForANewerList() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, true, 2));
        relay.turn(new ListAsked());
        assertEquals(0, sends(relay.turn(new Introduced(List.of(endpoint(11, 0, 1, 1, 50))), relay.message(1, 1))).size());
        assertEquals(1, sends(relay.turn(new Listed(ListKind.CHANGES, List.of()))).size());
    }

    @Test
    void movedEndpointServesOnlyItsNewDestinationAndKeepsItsWait() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, false, 2));
        relay.turn(new Introduced(List.of(endpoint(11, 0, 1, 1, 50), endpoint(21, 0, 1, 2, 50))));
        Send refused = sendOneMessage(relay);
        relay.turn(attemptEnded(refused, 0, Outcome.FULL, 2 * SECOND), new Withdrawn(refused.id()));
        relay.turn(new Listed(ListKind.CHANGES, List.of(endpoint(11, 0, 1, 2, 50),
            new Endpoint(21, 0, 1, 2, Listing.GONE, 50))));
        assertEquals(0, sends(relay.turn(relay.message(1, 1))).size(), "none is left there");
        List<Send> sent = new ArrayList<>(sends(relay.turn(relay.message(1, 2))));
        sent.addAll(sends(relay.advance(SECOND)));
        assertEquals(0, sent.size(), "told to wait");
        sent.addAll(sends(relay.advance(3 * SECOND)));
        assertEquals(List.of(11L), sent.stream().map(Send::endpoint).toList());
    }

    @Test
    void unavailableCountFollowsTheList() {
        ScriptedRelay relay = relayWithOneDestination();
        Consumer<Listing> list = listing -> relay.turn(new Listed(ListKind.CHANGES,
            List.of(new Endpoint(11, 0, 1, 1, listing, 50), new Endpoint(12, 0, 1, 1, listing, 50))));
        for (int i = 0; i < 6; i++) {
            List<Send> sent = new ArrayList<>(sends(relay.turn(relay.message(1, 1))));
            sent.addAll(sends(relay.advance(4 * SECOND)));
            sent.forEach(s -> relay.turn(attemptEnded(s, 0, Outcome.CONNECT_FAILED), new Withdrawn(s.id())));
        }
        int out = relay.control.unavailable();
        assertTrue(out > 0);
        list.accept(Listing.DRAINING);
        assertEquals(0, relay.control.unavailable(), "the list says it already");
        list.accept(Listing.READY);
        assertEquals(out, relay.control.unavailable());
        list.accept(Listing.GONE);
        assertEquals(0, relay.control.unavailable());
    }

    /** A send that is out, and which of its message's attempts it is. */
    private record PendingAttempt(Send send, int number) { }

    /** Seeded bursts at a few destinations with quiet between, past the rule checker: each is met several times. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void rulesHoldWhileDestinationsAreReleasedAndReintroduced(long seed) {
        Random random = new Random(seed);
        ScriptedRelay relay = new ScriptedRelay(testSettings(4, seed % 2 == 0, 30, 8, 60), seed);
        Set<Long> introduced = new HashSet<>();
        List<PendingAttempt> pending = new ArrayList<>();
        List<Event> events = new ArrayList<>();
        int releases = 0;
        int sent = 0;
        for (int step = 0; step < 16_000; step++) {
            // A burst of two seconds, then up to five minutes in which what it left is worked off.
            int phase = step % 800;
            relay.now += phase < 100 ? 20 * MS : 400 * MS;
            if (phase < 100 && phase % 5 == 0) {
                long destination = 1 + random.nextInt(3);
                if (introduced.add(destination)) {
                    events.add(new Introduced(List.of(endpoint(10 * destination, 0, 1, destination, 50),
                        endpoint(10 * destination + 1, 1, 1, destination, 50))));
                }
                events.add(relay.message(random.nextInt(4), destination));
            }
            events.add(new Release());
            List<Action> actions = relay.turn(events);
            events.clear();
            for (Send s : sends(actions)) {
                pending.add(new PendingAttempt(s, relay.checker.messages.get(s.id()).sends.size() - 1));
            }
            sent += sends(actions).size();
            releasedDestinations(actions).forEach(introduced::remove);
            releases += releasedDestinations(actions).size();
            // What is out ends with the next turn, some of it after its message.
            for (PendingAttempt attempt : List.copyOf(pending)) {
                if (random.nextInt(3) == 0) {
                    pending.remove(attempt);
                    events.add(randomEnd(relay, attempt, random));
                }
            }
        }
        assertTrue(releases > 20 && sent > 300, releases + " releases, " + sent + " sends");
    }

    private static Ended randomEnd(ScriptedRelay relay, PendingAttempt attempt, Random random) {
        RuleChecker.TrackedMessage seen = relay.checker.messages.get(attempt.send.id());
        Outcome outcome = random.nextInt(3) > 0 ? Outcome.OK : Outcome.values()[1 + random.nextInt(5)];
        long wait = outcome == Outcome.FULL && random.nextBoolean() ? random.nextInt(90) * SECOND : 0;
        return new Ended(attempt.send.id(), attempt.number, attempt.send.endpoint(), outcome, seen.finished || outcome == Outcome.OK, wait,
            20 * MS, -1, -1);
    }
}
