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

/**
 * The release of destinations. A destination is introduced to the module with its first message; once it has
 * been quiet for a while, a {@link ReleaseRequested} event lets the module forget it, and the next message introduces
 * it again.
 */
class ReleaseTest {
    /** Longer than a quiet destination is kept without a particular reason. */
    private static final long LONG_QUIET_MICROS = 120 * SECOND;

    /** A relay of a large fleet that knows destination 1 with the endpoints 11 and 12. */
    private static ScriptedRelay relayWithOneDestination() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, true, 2_300));
        relay.turn(new DestinationIntroduced(List.of(endpoint(11, 0, 1, 1, 50), endpoint(12, 0, 1, 1, 50))));
        return relay;
    }

    private static List<Long> releasedDestinations(List<Action> actions) {
        return actions.stream().filter(DestinationReleased.class::isInstance)
            .map(action -> ((DestinationReleased) action).destination()).toList();
    }

    /**
     * Advances the clock with a release event each second, as a relay process sends it, and returns the
     * destinations released.
     */
    private static List<Long> advanceWithReleases(ScriptedRelay relay, long span) {
        List<Action> all = new ArrayList<>();
        for (long end = relay.now + span; relay.now < end;) {
            all.addAll(relay.advance(SECOND));
            all.addAll(relay.turn(new ReleaseRequested()));
        }
        return releasedDestinations(all);
    }

    /** Hands in a message to destination 1 and waits up to 4 s for its send. */
    private static Send sendOneMessage(ScriptedRelay relay) {
        List<Send> sent = new ArrayList<>(sends(relay.turn(relay.message(1, 1))));
        sent.addAll(sent.isEmpty() ? sends(relay.advance(4 * SECOND)) : List.of());
        return sent.get(0);
    }

    @Test
    void quietDestinationIsReleasedOnceAndServedAfterReintroduction() {
        ScriptedRelay relay = relayWithOneDestination();
        relay.turn(attemptEnded(sendOneMessage(relay), 0, Outcome.OK));
        assertEquals(List.of(), advanceWithReleases(relay, 50 * SECOND),
            "kept for a minute after its last use");
        assertEquals(List.of(1L), advanceWithReleases(relay, LONG_QUIET_MICROS));
        assertEquals(List.of(), advanceWithReleases(relay, LONG_QUIET_MICROS));
        relay.turn(new DestinationIntroduced(List.of(endpoint(12, 0, 1, 1, 50))));
        assertEquals(12, sendOneMessage(relay).endpoint());
    }

    /** Callers that introduce each destination only once, such as the simulator, send no release events. */
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
        List<Action> actions = relay.turn(new ReleaseRequested(), relay.message(1, 1));
        assertEquals(List.of(), releasedDestinations(actions));
        assertEquals(1, sends(actions).size());
    }

    @Test
    void destinationIsKeptWhileACallIsInFlight() {
        ScriptedRelay relay = relayWithOneDestination();
        Send inFlight = sendOneMessage(relay);
        relay.turn(new MessageWithdrawn(inFlight.id()));
        assertEquals(List.of(), advanceWithReleases(relay, LONG_QUIET_MICROS), "the call may still end");
        relay.turn(attemptEnded(inFlight, 0, Outcome.CANCELLED));
        assertEquals(List.of(1L), advanceWithReleases(relay, LONG_QUIET_MICROS));
    }

    @Test
    void destinationIsKeptUntilItsWaitIsOver() {
        ScriptedRelay relay = relayWithOneDestination();
        Send refused = sendOneMessage(relay);
        relay.turn(attemptEnded(refused, 0, Outcome.FULL, 4 * LONG_QUIET_MICROS),
            new MessageWithdrawn(refused.id()));
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
            sent.forEach(send ->
                relay.turn(attemptEnded(send, 0, Outcome.CONNECT_FAILED), new MessageWithdrawn(send.id())));
        }
        assertTrue(relay.control.unavailableEndpoints() > 0, "an endpoint is out");
        assertEquals(List.of(), advanceWithReleases(relay, LONG_QUIET_MICROS), "kept during an outage");
        assertEquals(List.of(1L), advanceWithReleases(relay, 700 * SECOND),
            "released after ten unused minutes");
        assertEquals(0, relay.control.unavailableEndpoints(), "released endpoints are not counted");
    }

    @Test
    void removedEndpointKeepsItsDestinationUntilItIsForgotten() {
        ScriptedRelay relay = relayWithOneDestination();
        relay.turn(new ListUpdated(ListKind.CHANGES, List.of(new Endpoint(12, 0, 1, 1, Listing.GONE, 50))));
        assertEquals(List.of(), advanceWithReleases(relay, 4 * LONG_QUIET_MICROS));
        List<Action> after = new ArrayList<>(relay.advance(2 * LONG_QUIET_MICROS));
        assertEquals(List.of(new EndpointForgotten(12)), after.stream().filter(EndpointForgotten.class::isInstance).toList());
        assertEquals(List.of(1L), advanceWithReleases(relay, LONG_QUIET_MICROS));
    }

    @Test
    void endpointThatIsListedAgainIsNotForgotten() {
        ScriptedRelay relay = relayWithOneDestination();
        relay.turn(new ListUpdated(ListKind.CHANGES, List.of(new Endpoint(12, 0, 1, 1, Listing.GONE, 50))));
        relay.turn(new ListUpdated(ListKind.CHANGES, List.of(endpoint(12, 0, 1, 1, 50))));
        assertEquals(0, count(relay.advance(700 * SECOND), EndpointForgotten.class));
        assertEquals(List.of(1L), advanceWithReleases(relay, LONG_QUIET_MICROS));
    }

    /**
     * Beyond 4096 destinations, a quiet one is kept only as long as the settings require: here for the 13 s
     * of a warm-up and a window of its budget, which are longer than the deduplication window of 10 s.
     */
    @Test
    void surplusDestinationsAreKeptOnlyForTheSpansInTheSettings() {
        ScriptedRelay relay = relayWithOneDestination();
        for (long destination = 2; destination < 5_000; destination++) {
            relay.turn(new DestinationIntroduced(List.of(endpoint(100 + destination, 0, 1, destination, 50))));
        }
        assertEquals(List.of(), advanceWithReleases(relay, 10 * SECOND));
        int released = advanceWithReleases(relay, 10 * SECOND).size();
        assertTrue(released >= 900 && released < 1_000, "released: " + released);
    }

    /** A relay of a large fleet for which no limits are listed. */
    private static ScriptedRelay largeFleetRelay() {
        Settings settings = testSettings(64, true, 2_300, 8, 1_000);
        ScriptedRelay relay = new ScriptedRelay(new Settings(settings.rank(), settings.relayCount(),
            settings.zone(), settings.lateWorthHalves(), settings.overShareWorth(), Weights.NONE,
            settings.classes(), settings.tenants(), settings.kinds(), settings.limits(), settings.rules(),
            settings.costs()));
        relay.turn();
        return relay;
    }

    /** The introduction of a destination with one endpoint. */
    private static DestinationIntroduced introductionOf(long destination) {
        return new DestinationIntroduced(List.of(endpoint(10 + destination, 0, 1, destination, 1)));
    }

    /** Introduces so many destinations, each with a message, in one turn; the sends of that turn. */
    private static List<Send> sendFirstMessages(ScriptedRelay relay, int count) {
        List<Event> events = new ArrayList<>();
        for (long destination = 1; destination <= count; destination++) {
            events.add(introductionOf(destination));
            events.add(relay.message(1, destination));
        }
        return sends(relay.turn(events));
    }

    /**
     * In a large fleet a relay meets each destination once in many minutes, so nearly every message is the
     * first to its destination. If the tokens for first calls accumulated only from the introduction on,
     * rather than from the relay's start, nearly every message would have to wait.
     */
    @Test
    void destinationIntroducedLateIsCalledAtOnceAndAgainAfterRelease() {
        ScriptedRelay relay = largeFleetRelay();
        relay.advance(LONG_QUIET_MICROS);
        List<Send> sent = sendFirstMessages(relay, 40);
        assertEquals(40, sent.size());
        List<Event> ends = new ArrayList<>();
        sent.forEach(send -> ends.add(attemptEnded(send, 0, Outcome.OK)));
        relay.turn(ends);
        assertEquals(40, advanceWithReleases(relay, LONG_QUIET_MICROS).size());
        assertEquals(40, sendFirstMessages(relay, 40).size());
    }

    /** The send rate to a new destination is low, but a refused first call has a token for its retry. */
    @Test
    void refusedFirstCallIsRetriedAfterItsBackoff() {
        ScriptedRelay relay = largeFleetRelay();
        relay.advance(LONG_QUIET_MICROS);
        Send refused = sendFirstMessages(relay, 1).get(0);
        relay.turn(attemptEnded(refused, 0, Outcome.FULL));
        assertEquals(1, sends(relay.advance(8 * SECOND)).size());
    }

    /** All relays of a fleet may start at once, so none may send all its first calls in the first second. */
    @Test
    void newDestinationsAreNotCalledRightAfterTheStart() {
        assertEquals(0, sendFirstMessages(largeFleetRelay(), 40).size());
    }

    /**
     * A relay that knows many destinations releases them early. If it forgot the tokens that it has spent, it
     * could call a destination again at once after each release.
     */
    @Test
    void spentTokensAreRememberedAcrossARelease() {
        ScriptedRelay relay = largeFleetRelay();
        relay.advance(LONG_QUIET_MICROS);
        relay.turn(attemptEnded(sendFirstMessages(relay, 1).get(0), 0, Outcome.OK));
        // The second of the two tokens that had accumulated.
        relay.turn(attemptEnded(sendOneMessage(relay), 0, Outcome.OK));
        for (long destination = 2; destination < 5_000; destination++) {
            relay.turn(introductionOf(destination));
        }
        assertTrue(advanceWithReleases(relay, 20 * SECOND).contains(1L));
        assertEquals(0, sendFirstMessages(relay, 1).size(), "one token in 57.5 s");
        relay.advance(30 * SECOND);
        List<Send> again = new ArrayList<>(sends(relay.turn(relay.message(1, 1))));
        assertEquals(0, again.size());
        again.addAll(sends(relay.advance(15 * SECOND)));
        assertEquals(1, again.size());
    }

    /**
     * At a start, nothing is sent by the stored list until discovery answers. An introduction, which may come
     * from that list, must not count as an answer.
     */
    @Test
    void introductionDoesNotEndTheWaitForANewerList() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, true, 2));
        relay.turn(new ListRequested());
        assertEquals(0, sends(relay.turn(
            new DestinationIntroduced(List.of(endpoint(11, 0, 1, 1, 50))), relay.message(1, 1))).size());
        assertEquals(1, sends(relay.turn(new ListUpdated(ListKind.CHANGES, List.of()))).size());
    }

    @Test
    void movedEndpointServesOnlyItsNewDestinationAndKeepsItsWait() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, false, 2));
        relay.turn(new DestinationIntroduced(List.of(endpoint(11, 0, 1, 1, 50), endpoint(21, 0, 1, 2, 50))));
        Send refused = sendOneMessage(relay);
        relay.turn(attemptEnded(refused, 0, Outcome.FULL, 2 * SECOND), new MessageWithdrawn(refused.id()));
        relay.turn(new ListUpdated(ListKind.CHANGES, List.of(endpoint(11, 0, 1, 2, 50),
            new Endpoint(21, 0, 1, 2, Listing.GONE, 50))));
        assertEquals(0, sends(relay.turn(relay.message(1, 1))).size(), "its only endpoint has moved");
        List<Send> sent = new ArrayList<>(sends(relay.turn(relay.message(1, 2))));
        sent.addAll(sends(relay.advance(SECOND)));
        assertEquals(0, sent.size(), "the wait is not over");
        sent.addAll(sends(relay.advance(3 * SECOND)));
        assertEquals(List.of(11L), sent.stream().map(Send::endpoint).toList());
    }

    @Test
    void unavailableCountFollowsTheList() {
        ScriptedRelay relay = relayWithOneDestination();
        Consumer<Listing> list = listing -> relay.turn(new ListUpdated(ListKind.CHANGES,
            List.of(new Endpoint(11, 0, 1, 1, listing, 50), new Endpoint(12, 0, 1, 1, listing, 50))));
        for (int i = 0; i < 6; i++) {
            List<Send> sent = new ArrayList<>(sends(relay.turn(relay.message(1, 1))));
            sent.addAll(sends(relay.advance(4 * SECOND)));
            sent.forEach(send ->
                relay.turn(attemptEnded(send, 0, Outcome.CONNECT_FAILED), new MessageWithdrawn(send.id())));
        }
        int out = relay.control.unavailableEndpoints();
        assertTrue(out > 0);
        list.accept(Listing.DRAINING);
        assertEquals(0, relay.control.unavailableEndpoints(), "draining endpoints are not counted");
        list.accept(Listing.READY);
        assertEquals(out, relay.control.unavailableEndpoints());
        list.accept(Listing.GONE);
        assertEquals(0, relay.control.unavailableEndpoints());
    }

    /** An attempt in flight; {@code number}: which of its message's attempts it is, from 0. */
    private record PendingAttempt(Send send, int number) { }

    /** Random bursts of messages to three destinations, with quiet times in which these are released. */
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
            // A burst of two seconds, then 280 quiet seconds in which the messages end.
            int phase = step % 800;
            relay.now += phase < 100 ? 20 * MS : 400 * MS;
            if (phase < 100 && phase % 5 == 0) {
                long destination = 1 + random.nextInt(3);
                if (introduced.add(destination)) {
                    events.add(new DestinationIntroduced(List.of(endpoint(10 * destination, 0, 1, destination, 50),
                        endpoint(10 * destination + 1, 1, 1, destination, 50))));
                }
                events.add(relay.message(random.nextInt(4), destination));
            }
            events.add(new ReleaseRequested());
            List<Action> actions = relay.turn(events);
            events.clear();
            for (Send send : sends(actions)) {
                pending.add(new PendingAttempt(send, relay.checker.messages.get(send.id()).sends.size() - 1));
            }
            sent += sends(actions).size();
            releasedDestinations(actions).forEach(introduced::remove);
            releases += releasedDestinations(actions).size();
            // In each turn a third of the attempts ends, some of them after their message.
            for (PendingAttempt attempt : List.copyOf(pending)) {
                if (random.nextInt(3) == 0) {
                    pending.remove(attempt);
                    events.add(randomEnd(relay, attempt, random));
                }
            }
        }
        assertTrue(releases > 20 && sent > 300, releases + " releases, " + sent + " sends");
    }

    /** Ends an attempt with a random outcome. */
    private static AttemptEnded randomEnd(ScriptedRelay relay, PendingAttempt attempt, Random random) {
        RuleChecker.TrackedMessage message = relay.checker.messages.get(attempt.send.id());
        Outcome outcome = random.nextInt(3) > 0 ? Outcome.OK : Outcome.values()[1 + random.nextInt(5)];
        long wait = outcome == Outcome.FULL && random.nextBoolean() ? random.nextInt(90) * SECOND : 0;
        return new AttemptEnded(attempt.send.id(), attempt.number, attempt.send.endpoint(), outcome,
            message.finished || outcome == Outcome.OK, wait, 20 * MS, -1, -1);
    }
}
