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
    private static final long LONG = 120 * SECOND;

    private static ScriptedRelay bench() {
        ScriptedRelay b = new ScriptedRelay(settings(8, true, 2_300));
        b.turn(new Introduced(List.of(endpoint(11, 0, 1, 1, 50), endpoint(12, 0, 1, 1, 50))));
        return b;
    }

    private static List<Long> released(List<Action> actions) {
        return actions.stream().filter(Released.class::isInstance).map(a -> ((Released) a).destination()).toList();
    }

    /** What a relay's driver does: it asks every second. */
    private static List<Long> quiet(ScriptedRelay b, long span) {
        List<Action> all = new ArrayList<>();
        for (long end = b.now + span; b.now < end;) {
            all.addAll(b.advance(SECOND));
            all.addAll(b.turn(new Release()));
        }
        return released(all);
    }

    private static Send sendOne(ScriptedRelay b) {
        List<Send> sent = new ArrayList<>(sends(b.turn(b.message(1, 1))));
        sent.addAll(sent.isEmpty() ? sends(b.advance(4 * SECOND)) : List.of());
        return sent.get(0);
    }

    @Test
    void aQuietDestinationIsReleasedOnceAndServedAgainWhenIntroducedAgain() {
        ScriptedRelay b = bench();
        b.turn(attemptEnded(sendOne(b), 0, Outcome.OK));
        assertEquals(List.of(), quiet(b, 50 * SECOND), "what was just learned is still of use");
        assertEquals(List.of(1L), quiet(b, LONG));
        assertEquals(List.of(), quiet(b, LONG));
        b.turn(new Introduced(List.of(endpoint(12, 0, 1, 1, 50))));
        assertEquals(12, sendOne(b).endpoint());
    }

    /** Without being asked to, the module forgets nothing: the simulator introduces nothing twice. */
    @Test
    void nothingIsReleasedUnasked() {
        ScriptedRelay b = bench();
        b.turn(attemptEnded(sendOne(b), 0, Outcome.OK));
        assertEquals(List.of(), released(b.advance(LONG)));
    }

    @Test
    void aMessageOfTheTurnThatReleasesKeepsItsDestination() {
        ScriptedRelay b = bench();
        b.turn(attemptEnded(sendOne(b), 0, Outcome.OK));
        b.advance(LONG);
        List<Action> actions = b.turn(new Release(), b.message(1, 1));
        assertEquals(List.of(), released(actions));
        assertEquals(1, sends(actions).size());
    }

    @Test
    void aDestinationWithACallOutIsKeptUntilThatHasEnded() {
        ScriptedRelay b = bench();
        Send out = sendOne(b);
        b.turn(new Withdrawn(out.id()));
        assertEquals(List.of(), quiet(b, LONG), "its call may still come back");
        b.turn(attemptEnded(out, 0, Outcome.CANCELLED));
        assertEquals(List.of(1L), quiet(b, LONG));
    }

    @Test
    void aWaitOutlastsAnyQuiet() {
        ScriptedRelay b = bench();
        Send refused = sendOne(b);
        b.turn(attemptEnded(refused, 0, Outcome.FULL, 4 * LONG), new Withdrawn(refused.id()));
        assertEquals(List.of(), quiet(b, 3 * LONG));
        assertEquals(List.of(1L), quiet(b, 2 * LONG));
    }

    @Test
    void anOutageAndTheWarmUpAfterItAreKept() {
        ScriptedRelay b = bench();
        for (int i = 0; i < 6; i++) {
            List<Send> sent = new ArrayList<>(sends(b.turn(b.message(1, 1))));
            for (int step = 0; sent.isEmpty() && step < 1_600; step++) {
                sent.addAll(sends(b.advance(10 * MS)));
            }
            sent.forEach(s -> b.turn(attemptEnded(s, 0, Outcome.CONNECT_FAILED), new Withdrawn(s.id())));
        }
        assertTrue(b.control.unavailable() > 0, "out");
        assertEquals(List.of(), quiet(b, LONG), "an outage is still of use");
        assertEquals(List.of(1L), quiet(b, 700 * SECOND), "one that nobody asked about for ten minutes is not");
        assertEquals(0, b.control.unavailable(), "and is counted no more");
    }

    @Test
    void anEndpointOffTheListIsForgottenAndHoldsItsDestinationUntilThen() {
        ScriptedRelay b = bench();
        b.turn(new Listed(ListKind.CHANGES, List.of(new Endpoint(12, 0, 1, 1, Listing.GONE, 50))));
        assertEquals(List.of(), quiet(b, 4 * LONG));
        List<Action> after = new ArrayList<>(b.advance(2 * LONG));
        assertEquals(List.of(new Forgotten(12)), after.stream().filter(Forgotten.class::isInstance).toList());
        assertEquals(List.of(1L), quiet(b, LONG));
    }

    @Test
    void anEndpointThatComesBackIsNotForgotten() {
        ScriptedRelay b = bench();
        b.turn(new Listed(ListKind.CHANGES, List.of(new Endpoint(12, 0, 1, 1, Listing.GONE, 50))));
        b.turn(new Listed(ListKind.CHANGES, List.of(endpoint(12, 0, 1, 1, 50))));
        assertEquals(0, count(b.advance(700 * SECOND), Forgotten.class));
        assertEquals(List.of(1L), quiet(b, LONG));
    }

    /** Where very many are met, each is kept for the settings' spans only: here a window of repeats of 10 s. */
    @Test
    void aCrowdOfDestinationsIsKeptForTheSettingsSpansOnly() {
        ScriptedRelay b = bench();
        for (long d = 2; d < 5_000; d++) {
            b.turn(new Introduced(List.of(endpoint(100 + d, 0, 1, d, 50))));
        }
        assertEquals(List.of(), quiet(b, 10 * SECOND));
        int gone = quiet(b, 10 * SECOND).size();
        assertTrue(gone >= 900 && gone < 1_000, "down to the number that is kept for longer: " + gone);
    }

    /** A relay of a large fleet where no rates are listed. */
    private static ScriptedRelay large() {
        Settings s = settings(64, true, 2_300, 8, 1_000);
        ScriptedRelay b = new ScriptedRelay(new Settings(s.rank(), s.relays(), s.zone(), s.halvingLate(), s.overShareWorth(),
            Weights.NONE, s.classes(), s.tenants(), s.kinds(), s.allowed(), s.rules(), s.prices()));
        b.turn();
        return b;
    }

    private static Introduced introduced(long destination) {
        return new Introduced(List.of(endpoint(10 + destination, 0, 1, destination, 1)));
    }

    private static List<Send> first(ScriptedRelay b, int places) {
        List<Event> events = new ArrayList<>();
        for (long d = 1; d <= places; d++) {
            events.add(introduced(d));
            events.add(b.message(1, d));
        }
        return sends(b.turn(events));
    }

    /**
     * Guards nearly every message of a fleet in which a relay meets a destination once in many minutes: its
     * part of the first calls has grown since the relay began, not since the module heard of the place.
     */
    @Test
    void aPlaceThatIsIntroducedLateMayBeCalledAtOnceAndAgainAfterARelease() {
        ScriptedRelay b = large();
        b.advance(LONG);
        List<Send> sent = first(b, 40);
        assertEquals(40, sent.size());
        List<Event> ends = new ArrayList<>();
        sent.forEach(s -> ends.add(attemptEnded(s, 0, Outcome.OK)));
        b.turn(ends);
        assertEquals(40, quiet(b, LONG).size());
        assertEquals(40, first(b, 40).size());
    }

    /** Guards a message whose first call is refused: the second need not wait for a pace that has just begun. */
    @Test
    void aRefusedFirstCallIsRepeatedAfterItsBackOff() {
        ScriptedRelay b = large();
        b.advance(LONG);
        Send refused = first(b, 1).get(0);
        b.turn(attemptEnded(refused, 0, Outcome.FULL));
        assertEquals(1, sends(b.advance(8 * SECOND)).size());
    }

    /** Guards the fleet's first second: all relays together begin with a part of their calls. */
    @Test
    void rightAfterTheStartFewPlacesAreCalled() {
        assertEquals(0, first(large(), 40).size());
    }

    /** Guards a place against one that forgets that it has just called: many are met, so it is released early. */
    @Test
    void aCallThatWasSpentIsRememberedAcrossARelease() {
        ScriptedRelay b = large();
        b.advance(LONG);
        b.turn(attemptEnded(first(b, 1).get(0), 0, Outcome.OK));
        // The two calls that it had saved up.
        b.turn(attemptEnded(sendOne(b), 0, Outcome.OK));
        for (long d = 2; d < 5_000; d++) {
            b.turn(introduced(d));
        }
        assertTrue(quiet(b, 20 * SECOND).contains(1L));
        assertEquals(0, first(b, 1).size(), "a call each 57.5 s");
        b.advance(30 * SECOND);
        List<Send> again = new ArrayList<>(sends(b.turn(b.message(1, 1))));
        assertEquals(0, again.size());
        again.addAll(sends(b.advance(15 * SECOND)));
        assertEquals(1, again.size());
    }

    /** The list of before binds nothing: a first message's introduction is no answer of discovery. */
    @Test
    void anIntroductionDoesNotOpenTheGateThatWaitsForTheList() {
        ScriptedRelay b = new ScriptedRelay(settings(8, true, 2));
        b.turn(new ListAsked());
        assertEquals(0, sends(b.turn(new Introduced(List.of(endpoint(11, 0, 1, 1, 50))), b.message(1, 1))).size());
        assertEquals(1, sends(b.turn(new Listed(ListKind.CHANGES, List.of()))).size());
    }

    @Test
    void anEndpointThatMovesServesItsNewDestinationOnlyAndItsWaitGoesWithIt() {
        ScriptedRelay b = new ScriptedRelay(settings(8, false, 2));
        b.turn(new Introduced(List.of(endpoint(11, 0, 1, 1, 50), endpoint(21, 0, 1, 2, 50))));
        Send refused = sendOne(b);
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
    void theCountOfThoseOutFollowsTheList() {
        ScriptedRelay b = bench();
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
    private record Flight(Send send, int attempt) { }

    /** Seeded bursts at a few destinations with quiet between, past the rule checker: each is met several times. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void rulesHoldWhileDestinationsComeAndGo(long seed) {
        Random random = new Random(seed);
        ScriptedRelay b = new ScriptedRelay(settings(4, seed % 2 == 0, 30, 8, 60), seed);
        Set<Long> introduced = new HashSet<>();
        List<Flight> out = new ArrayList<>();
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
                out.add(new Flight(s, b.checker.messages.get(s.id()).sends.size() - 1));
            }
            sent += sends(actions).size();
            released(actions).forEach(introduced::remove);
            releases += released(actions).size();
            // What is out ends with the next turn, some of it after its message.
            for (Flight f : List.copyOf(out)) {
                if (random.nextInt(3) == 0) {
                    out.remove(f);
                    events.add(outcome(b, f, random));
                }
            }
        }
        assertTrue(releases > 20 && sent > 300, releases + " releases, " + sent + " sends");
    }

    private static Ended outcome(ScriptedRelay b, Flight f, Random random) {
        RuleChecker.TrackedMessage seen = b.checker.messages.get(f.send.id());
        Outcome outcome = random.nextInt(3) > 0 ? Outcome.OK : Outcome.values()[1 + random.nextInt(5)];
        long wait = outcome == Outcome.FULL && random.nextBoolean() ? random.nextInt(90) * SECOND : 0;
        return new Ended(f.send.id(), f.attempt, f.send.endpoint(), outcome, seen.finished || outcome == Outcome.OK, wait,
            20 * MS, -1, -1);
    }
}
