package wrenkeel;

import static org.junit.jupiter.api.Assertions.*;
import static wrenkeel.ScriptedRelay.*;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import wrenkeel.Relay.*;

/**
 * Behaviour of {@link Control} on scripted events: the ordinary path, its exceptions, and a small test for
 * each fault that was found on larger runs.
 */
class ControlTest {
    /** A relay that knows destination 1 of a kind, with endpoint 11 in zone 0 and endpoint 12 in zone 1. */
    private static ScriptedRelay twoEndpointRelay(int kind, int slots, boolean copies) {
        ScriptedRelay relay = new ScriptedRelay(testSettings(slots, copies, 2));
        relay.turn(new ListUpdated(ListKind.WHOLE,
            List.of(endpoint(11, 0, kind, 1, 50), endpoint(12, 1, kind, 1, 50))));
        return relay;
    }

    @Test
    void copyGoesToAnotherEndpointAfterTheDelayAndTheFirstAnswerCancelsTheOther() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, true);
        relay.warmUp(20, 1);
        Send first = sends(relay.turn(relay.message(0, 1))).get(0);
        List<Send> copies = sends(relay.advance(90 * MS));
        assertTrue(copies.isEmpty(), "no copy before nine in ten answers have usually arrived");
        copies = sends(relay.advance(60 * MS));
        assertEquals(1, copies.size());
        assertEquals(first.id(), copies.get(0).id());
        assertNotEquals(first.endpoint(), copies.get(0).endpoint());
        List<Action> after = relay.turn(attemptEnded(copies.get(0), 1, Outcome.OK));
        assertEquals(List.of(new CancelAttempt(first.id(), 0)),
            after.stream().filter(CancelAttempt.class::isInstance).toList());
    }

    /** A message that is recovered after a restart, with the attempts made before. */
    private static Event recoveredMessage(ScriptedRelay relay, int messageClass, EarlierAttempt... earlier) {
        return new MessageAccepted("r", messageClass, 0, null, relay.message(messageClass, 1).deadline(), 1,
            true, List.of(earlier));
    }

    /** An attempt made in a zone so many microseconds ago. */
    private static EarlierAttempt earlierAttempt(ScriptedRelay relay, long ago, int zone, boolean mayHaveRun) {
        return new EarlierAttempt(relay.now - ago, zone, mayHaveRun);
    }

    /** The first actions of a new module for a recovered message. */
    private static List<Action> turnWithRecoveredMessage(int messageClass, EarlierAttempt... earlier) {
        ScriptedRelay relay = twoEndpointRelay(1, 8, false);
        return relay.control.turn(relay.now, List.of(recoveredMessage(relay, messageClass, earlier)));
    }

    /**
     * Guards the order by key across a replacement: messages wait for those that the previous process has of
     * their key, and one that it passes on comes before them. Other keys go on.
     */
    @Test
    void messagesOfAKeyWaitForThoseOfThePreviousProcess() {
        ScriptedRelay relay = twoEndpointRelay(1, 8, false);
        relay.warmUp(6, 1);
        MessageAccepted own = relay.message(2, 1, "held");
        MessageAccepted other = relay.message(2, 1, "other");
        List<Send> sent = sends(relay.turn(new ExternalOrderingKeys(Set.of("held")), own, other));
        assertEquals(List.of(other.id()), sent.stream().map(Send::id).toList());
        relay.turn(attemptEnded(sent.get(0), 0, Outcome.OK));
        assertEquals(List.of(), sends(relay.advance(SECOND)));
        MessageAccepted passedOn = new MessageAccepted("r", 2, 0, "held", own.deadline(), 1, true, List.of());
        sent = sends(relay.turn(passedOn, new ExternalOrderingKeys(Set.of())));
        sent = sent.isEmpty() ? sends(relay.advance(SECOND)) : sent;
        assertEquals(List.of("r"), sent.stream().map(Send::id).toList());
        assertEquals(List.of(), sends(relay.advance(100 * MS)));
        sent = new ArrayList<>(sends(relay.turn(attemptEnded(sent.get(0), 0, Outcome.OK))));
        sent.addAll(sends(relay.advance(SECOND)));
        assertEquals(List.of(own.id()), sent.stream().map(Send::id).toList());
    }

    /** A queued message must go on when its key is held for a moment, also with a pause after that. */
    @Test
    void aQueuedMessageGoesOnWhenItsKeyIsReleased() {
        ScriptedRelay relay = twoEndpointRelay(1, 1, false);
        List<Send> first = sends(relay.turn(relay.message(0, 1)));
        MessageAccepted queued = relay.message(2, 1, "held");
        assertEquals(List.of(), sends(relay.turn(queued)));
        relay.turn(new ExternalOrderingKeys(Set.of("held")));
        assertEquals(List.of(), sends(relay.turn(attemptEnded(first.get(0), 0, Outcome.OK))));
        relay.turn(new ExternalOrderingKeys(Set.of()));
        assertEquals(List.of(queued.id()), sends(relay.advance(SECOND)).stream().map(Send::id).toList());
    }

    /** A module that did not know the attempts made before a restart could cause double effects. */
    @Test
    void recoveredMessagesKeepTheirEarlierAttempts() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, false, 2));
        EarlierAttempt mayHaveRun = earlierAttempt(relay, SECOND, 0, true);
        EarlierAttempt beforeWindow = earlierAttempt(relay, 10 * SECOND, 0, true);
        EarlierAttempt neverRan = earlierAttempt(relay, SECOND, 0, false);
        assertEquals(1, count(turnWithRecoveredMessage(2, mayHaveRun), Fail.class), "unsafe, may have run");
        assertEquals(1, sends(turnWithRecoveredMessage(2, neverRan)).size(), "unsafe, never ran");
        assertEquals(1, sends(turnWithRecoveredMessage(1, mayHaveRun)).size(),
            "keyed, inside the deduplication window");
        assertTrue(sends(turnWithRecoveredMessage(1, mayHaveRun, beforeWindow)).isEmpty(),
            "the deduplication window begins with the earliest attempt");
        EarlierAttempt[] eightAttempts =
            {neverRan, neverRan, neverRan, neverRan, neverRan, neverRan, neverRan, neverRan};
        assertEquals(1, count(turnWithRecoveredMessage(0, eightAttempts), Refuse.class),
            "all attempts used up");
    }

    /**
     * Messages recovered without an attempt could expire behind new ones. They are sent before new messages,
     * the one with the earliest deadline first.
     */
    @Test
    void recoveredUntriedMessagesAreSentBeforeNewOnes() {
        ScriptedRelay relay = twoEndpointRelay(1, 1, false);
        long soon = relay.now + 2 * SECOND;
        long later = relay.now + 3 * SECOND;
        Event late = new MessageAccepted("late", 1, 0, null, later, 1, true, List.of());
        Event first = new MessageAccepted("first", 1, 0, null, soon, 1, true, List.of());
        List<String> order = new ArrayList<>();
        List<Send> sent = sends(relay.turn(relay.message(0, 1), late, first, relay.message(2, 1)));
        for (int i = 0; i < 3; i++) {
            order.add(sent.get(0).id());
            relay.now += 10 * MS;
            sent = new ArrayList<>(sends(relay.turn(attemptEnded(sent.get(0), 0, Outcome.OK))));
            sent.addAll(sends(relay.advance(sent.isEmpty() ? SECOND : 0)));
        }
        assertEquals(List.of("first", "late"), order.subList(0, 2));
    }

    /** A relay that holds its limit of messages refuses others before those recovered without an attempt. */
    @Test
    void recoveredUntriedMessagesAreNotShedWhenTheRelayIsFull() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(1, false, 2, 8, 4));
        List<Event> events = new ArrayList<>();
        events.add(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50))));
        for (int i = 0; i < 5; i++) {
            events.add(new MessageAccepted("r" + i, 1, 0, null, relay.now + 3 * SECOND, 1, true, List.of()));
        }
        MessageAccepted fresh = relay.message(1, 1);
        events.add(fresh);
        List<Action> actions = relay.turn(events);
        assertEquals(List.of(fresh.id()), actions.stream().filter(Refuse.class::isInstance)
            .map(action -> ((Refuse) action).id()).toList());
    }

    /** Messages from before a restart were charged to their tenant's share when they were first accepted. */
    @Test
    void recoveredMessagesAreNotChargedToTheirTenantAgain() {
        ScriptedRelay relay = twoEndpointRelay(1, 8, false);
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            events.add(new MessageAccepted("r" + i, 1, 0, null, relay.now + 3 * SECOND, 2, true, List.of()));
        }
        relay.turn(events);
        // "inside" is worth twice as much as "other" inside its tenant's share, and less than half as much
        // over it. The tenant of "other" has no quota.
        MessageAccepted inside = relay.message(0, 1);
        MessageAccepted other = new MessageAccepted("other", 1, 1, null, relay.now + 16 * SECOND, 1);
        assertEquals(inside.id(), sends(relay.turn(other, inside)).get(0).id());
    }

    /** These settings with other tenants, each with a quota of 50 messages a second. */
    private static Settings withTenants(Settings settings, String... names) {
        List<Tenant> tenants = java.util.Arrays.stream(names).map(name -> new Tenant(name, 50)).toList();
        return new Settings(settings.rank(), settings.relayCount(), settings.zone(), settings.lateWorthHalves(),
            settings.overShareWorth(), settings.weights(), settings.classes(), tenants, settings.kinds(),
            settings.limits(), settings.rules(), settings.costs());
    }

    /** A reload of the settings may reorder the tenants; used quota follows the name, not the index. */
    @Test
    void reorderingTenantsInTheSettingsKeepsTheUsageOfEach() {
        Settings settings = testSettings(8, false, 2);
        ScriptedRelay relay = new ScriptedRelay(withTenants(settings, "busy", "calm"));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50), endpoint(12, 1, 1, 2, 50))));
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            events.add(relay.message(1, 2));
        }
        relay.turn(events);
        relay.turn(new SettingsChanged(withTenants(settings, "calm", "busy")));
        // "inside" is of tenant "calm" now and inside its share, so it is worth twice as much as "other". The
        // tenant of "other" has no quota.
        MessageAccepted other = new MessageAccepted("other", 1, 2, null, relay.now + 16 * SECOND, 1);
        MessageAccepted inside = relay.message(0, 1);
        assertEquals(inside.id(), sends(relay.turn(other, inside)).get(0).id());
    }

    @Test
    void recoveredKeyedMessageStaysInItsZoneGroup() {
        for (int zone = 0; zone < 2; zone++) {
            ScriptedRelay relay = twoEndpointRelay(1, 8, false);
            Event again = recoveredMessage(relay, 3, earlierAttempt(relay, SECOND, zone, true));
            assertEquals(11 + zone, sends(relay.control.turn(relay.now, List.of(again))).get(0).endpoint());
        }
    }

    /** Endpoints of a list stored before the start may be draining by now; a newer one is awaited for 1 s. */
    @Test
    void storedListIsNotUsedUntilDiscoveryAnswersOrAShortTimeHasPassed() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, false);
        relay.turn(new ListRequested());
        assertTrue(sends(relay.turn(relay.message(0, 1))).isEmpty());
        assertTrue(sends(relay.advance(900 * MS)).isEmpty());
        Endpoint draining = new Endpoint(11, 0, 0, 1, Listing.DRAINING, 50);
        assertEquals(12,
            sends(relay.turn(new ListUpdated(ListKind.CHANGES, List.of(draining)))).get(0).endpoint());
        ScriptedRelay withoutAnswer = twoEndpointRelay(0, 8, false);
        withoutAnswer.turn(new ListRequested());
        withoutAnswer.turn(withoutAnswer.message(0, 1));
        assertEquals(1, sends(withoutAnswer.advance(1_100 * MS)).size());
        ScriptedRelay unchanged = twoEndpointRelay(0, 8, false);
        unchanged.turn(new ListRequested());
        unchanged.turn(unchanged.message(0, 1));
        assertEquals(1, sends(unchanged.turn(new ListUpdated(ListKind.CHANGES, List.of()))).size());
    }

    @Test
    void copyDelayIs200MillisecondsUntilLatenciesAreKnown() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, true);
        relay.warmUp(3, 1);
        relay.turn(relay.message(0, 1));
        assertTrue(sends(relay.advance(195 * MS)).isEmpty());
        assertEquals(1, sends(relay.advance(10 * MS)).size());
    }

    @Test
    void noCopiesForUnsafeMessagesOrWhereSettingsForbidThem() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, true);
        relay.warmUp(20, 1);
        assertEquals(1, sends(relay.turn(relay.message(2, 1))).size());
        assertTrue(sends(relay.advance(SECOND)).isEmpty());
        ScriptedRelay withoutCopies = twoEndpointRelay(0, 8, false);
        withoutCopies.warmUp(20, 1);
        withoutCopies.turn(withoutCopies.message(0, 1));
        assertTrue(sends(withoutCopies.advance(SECOND)).isEmpty());
    }

    @Test
    void keyedCopyStaysInItsZoneGroup() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, true);
        relay.warmUp(20, 1);
        assertEquals(1, sends(relay.turn(relay.message(3, 1))).size());
        assertTrue(sends(relay.advance(SECOND)).isEmpty(), "the only other endpoint is in another zone");
    }

    @Test
    void windowStartsAtOneGrowsToThreeQuartersOfTheSlotsAndCountsCopies() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, true);
        assertEquals(1,
            sends(relay.turn(relay.message(1, 1), relay.message(1, 1), relay.message(1, 1))).size());
        ScriptedRelay warm = twoEndpointRelay(0, 8, true);
        warm.warmUp(20, 1);
        List<Event> many = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            many.add(warm.message(1, 1));
        }
        assertEquals(6, sends(warm.turn(many)).size(), "three quarters of eight slots");
        assertTrue(sends(warm.advance(150 * MS)).isEmpty(), "no copy over the window");
    }

    @Test
    void windowHalvesOnRefusal() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, false);
        relay.warmUp(20, 1);
        Send sent = sends(relay.turn(relay.message(1, 1))).get(0);
        relay.turn(attemptEnded(sent, 0, Outcome.FULL));
        relay.advance(3 * SECOND);
        List<Event> many = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            many.add(relay.message(1, 1));
        }
        assertTrue(sends(relay.turn(many)).size() <= 3);
    }

    @Test
    void unsentMessagesGoBeforeCopies() {
        ScriptedRelay relay = twoEndpointRelay(0, 2, true);
        relay.warmUp(20, 1);
        Send first = sends(relay.turn(relay.message(0, 1), relay.message(0, 1))).get(0);
        for (Send send : sends(relay.advance(300 * MS))) {
            assertNotEquals(first.id(), send.id(), "a copy was sent while a message was waiting");
        }
    }

    @Test
    void copiesAreLimitedDuringAnOverload() {
        ScriptedRelay relay = twoEndpointRelay(0, 16, true);
        relay.warmUp(30, 1);
        int copies = 0;
        for (int i = 0; i < 40; i++) {
            Send send = sends(relay.turn(relay.message(0, 1))).get(0);
            List<Send> more = sends(relay.advance(250 * MS));
            copies += more.size();
            relay.turn(attemptEnded(send, 0, Outcome.OK));
            for (Send copy : more) {
                relay.turn(attemptEnded(copy, 1, Outcome.CANCELLED));
            }
        }
        assertTrue(copies >= 1 && copies <= 10, "copies in an overload: " + copies);
    }

    @Test
    void waitHoldsTheDestinationOrOnlyTheEndpointWhereEndpointsAreIndependent() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, true);
        relay.warmUp(5, 1);
        Send send = sends(relay.turn(relay.message(0, 1))).get(0);
        relay.turn(attemptEnded(send, 0, Outcome.FULL, SECOND));
        assertTrue(sends(relay.advance(990 * MS)).isEmpty());
        assertEquals(1, sends(relay.advance(300 * MS)).size());
        ScriptedRelay independent = twoEndpointRelay(1, 8, true);
        independent.warmUp(5, 1);
        Send refused = sends(independent.turn(independent.message(0, 1))).get(0);
        List<Send> next = sends(independent.turn(attemptEnded(refused, 0, Outcome.FULL, SECOND)));
        assertEquals(1, next.size());
        assertNotEquals(refused.endpoint(), next.get(0).endpoint());
    }

    @Test
    void unsafeMessageIsRetriedOnlyIfItNeverRan() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, true);
        relay.warmUp(5, 1);
        Send send = sends(relay.turn(relay.message(2, 1, "k"))).get(0);
        List<Send> again = new ArrayList<>(sends(relay.turn(attemptEnded(send, 0, Outcome.FULL))));
        again.addAll(sends(relay.advance(SECOND)));
        assertEquals(1, again.size());
        List<Action> end = relay.turn(attemptEnded(again.get(0), 1, Outcome.RESET));
        assertEquals(1, count(end, Fail.class));
        assertTrue(sends(relay.advance(2 * SECOND)).isEmpty());
    }

    @Test
    void messagesOfOneKeyGoOneAtATimeInOrderWithAPauseAfterATimeout() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, true);
        relay.warmUp(20, 1);
        MessageAccepted one = relay.message(2, 1, "k");
        MessageAccepted two = relay.message(2, 1, "k");
        List<Send> sent = sends(relay.turn(one, two));
        assertEquals(List.of(one.id()), sent.stream().map(Send::id).toList());
        List<Action> end = relay.turn(attemptEnded(sent.get(0), 0, Outcome.TIMEOUT));
        assertEquals(1, count(end, Fail.class));
        assertTrue(sends(end).isEmpty(), "the key is paused");
        assertEquals(List.of(two.id()), sends(relay.advance(3 * SECOND)).stream().map(Send::id).toList());
    }

    @Test
    void drainingAndRemovedEndpointsGetNoSends() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, true);
        relay.turn(new ListUpdated(ListKind.CHANGES, List.of(new Endpoint(11, 0, 0, 1, Listing.DRAINING, 50))));
        assertEquals(12, sends(relay.turn(relay.message(0, 1))).get(0).endpoint());
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of()));
        assertTrue(sends(relay.turn(relay.message(1, 1))).isEmpty());
        List<Action> end = relay.advance(17 * SECOND);
        assertEquals(2, count(end, Fail.class) + count(end, Refuse.class),
            "both end by their deadlines without an endpoint");
    }

    @Test
    void messagesOfOneCallShareOneSlot() {
        ScriptedRelay relay = twoEndpointRelay(2, 1, false);
        ScriptedRelay singleMessageCalls = twoEndpointRelay(1, 1, false);
        assertEquals(3,
            sends(relay.turn(relay.message(1, 1), relay.message(1, 1), relay.message(1, 1))).size());
        assertEquals(1, sends(singleMessageCalls.turn(singleMessageCalls.message(1, 1),
            singleMessageCalls.message(1, 1))).size());
    }

    /** Hands in so many messages, which go out in one call; the events of their attempts' end. */
    private static List<Event> sendAsOneCall(ScriptedRelay relay, int messages, Outcome outcome) {
        List<Event> all = new ArrayList<>();
        for (int i = 0; i < messages; i++) {
            all.add(relay.message(1, 1));
        }
        List<Event> ended = new ArrayList<>();
        for (Send send : sends(relay.turn(all))) {
            ended.add(attemptEnded(send, 0, outcome));
        }
        assertEquals(messages, ended.size());
        return ended;
    }

    /** All messages of a refused call end with the same outcome, which must count once only. */
    @Test
    void refusedCallWithSeveralMessagesHalvesTheWindowOnce() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, false, 2));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 2, 1, 50))));
        relay.warmUp(10, 1);
        relay.turn(sendAsOneCall(relay, 6, Outcome.FULL));
        List<Send> again = List.of();
        for (int i = 0; i < 300 && again.isEmpty(); i++) {
            again = sends(relay.advance(10 * MS));
        }
        assertEquals(6, again.size(), "all six are sent again in one call");
        int calls = 1;
        for (int i = 0; i < 5; i++) {
            calls += sends(relay.advance(15 * MS)).size() + sends(relay.turn(relay.message(1, 1))).size();
        }
        assertEquals(3, calls, "half of a window of six");
    }

    /** The number of times an endpoint went out or into slow start; a suspected failure does not count. */
    private static long countOutages(List<Action> actions) {
        return actions.stream().filter(action -> action instanceof HealthChanged changed
            && changed.health() != Health.GOOD && changed.reason() != HealthReason.SUSPECTED).count();
    }

    @Test
    void failedCallWithSeveralMessagesCountsAsOneFailure() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, false, 2));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 2, 1, 50))));
        relay.warmUp(10, 1);
        List<Event> ended = sendAsOneCall(relay, 6, Outcome.ERROR);
        relay.now += SECOND;
        assertEquals(0, countOutages(relay.turn(ended)), "no outage after a single failed call");
    }

    /** See {@link #relayWithoutListedLimit(int, int, long)}; with seed 1. */
    private static ScriptedRelay relayWithoutListedLimit(int relays, int kind) {
        return relayWithoutListedLimit(relays, kind, 1);
    }

    /** One of so many relays; it knows destination 1 of a kind, with endpoint 11 and no listed limit. */
    private static ScriptedRelay relayWithoutListedLimit(int relays, int kind, long seed) {
        Settings settings = testSettings(8, false, relays);
        ScriptedRelay relay = new ScriptedRelay(new Settings(settings.rank(), settings.relayCount(),
            settings.zone(), settings.lateWorthHalves(), settings.overShareWorth(), Weights.NONE,
            settings.classes(), settings.tenants(), settings.kinds(), settings.limits(), settings.rules(),
            settings.costs()), seed);
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, kind, 1, 1))));
        return relay;
    }

    /** Calls made, refused calls among them, and messages delivered. */
    private record CallCounts(int calls, int refused, int delivered) { }

    /**
     * Hands in eight messages a second for 40 s. The destination accepts two calls a second and answers after
     * 20 ms.
     */
    private static CallCounts runAgainstSharedLimit(ScriptedRelay relay) {
        List<Long> admitted = new ArrayList<>();
        // The answers to the calls of each step of 5 ms; they arrive four steps later.
        List<List<Event>> answers = new ArrayList<>();
        int calls = 0;
        int refused = 0;
        int delivered = 0;
        for (int step = 0; step < 8_000; step++) {
            relay.now += 5 * MS;
            List<Event> events = new ArrayList<>(step < 4 ? List.of() : answers.get(step - 4));
            if (step % 25 == 0) {
                events.add(relay.message(1, 1));
            }
            List<Send> call = events.isEmpty() && relay.wakeAt > relay.now
                ? List.of() : sends(relay.turn(events));
            List<Event> ended = new ArrayList<>();
            if (!call.isEmpty()) {
                admitted.removeIf(at -> at <= relay.now - SECOND);
                boolean full = admitted.size() >= 2;
                calls++;
                refused += full ? 1 : 0;
                delivered += full ? 0 : call.size();
                if (!full) {
                    admitted.add(relay.now);
                }
                for (Send send : call) {
                    ended.add(attemptEnded(send, relay.checker.messages.get(send.id()).sends.size() - 1,
                        full ? Outcome.FULL : Outcome.OK));
                }
            }
            answers.add(ended);
        }
        return new CallCounts(calls, refused, delivered);
    }

    /**
     * A relay finds a limit that is not listed from refusals, and then sends fewer calls with more messages
     * in each.
     */
    @Test
    void refusalsSetTheSendRateWhereNoLimitIsListed() {
        CallCounts counts = runAgainstSharedLimit(relayWithoutListedLimit(2, 2));
        assertTrue(counts.refused * 3 < counts.calls, "refused: " + counts);
        assertTrue(counts.delivered > 300, "nearly all of 320 delivered: " + counts);
    }

    /** Where refused calls use up the limit too, a fleet whose relays keep exceeding it delivers little. */
    @Test
    void relayOfAFleetSeldomExceedsALimitBelowItsTraffic() {
        CallCounts counts = runAgainstSharedLimit(relayWithoutListedLimit(14, 0));
        assertTrue(counts.refused * 7 < counts.calls, "refused: " + counts);
        assertTrue(counts.delivered > 64, "most of the 80 that the limit lets through: " + counts);
    }

    /** All relays of a fleet may start to send to a new destination at the same time. */
    @Test
    void fleetSharesTheInitialSendRateToANewDestination() {
        assertEquals(12, countCallsInOneSecond(relayWithoutListedLimit(1, 0)),
            "a single relay sends each message at once");
        int shared = countCallsInOneSecond(relayWithoutListedLimit(14, 0));
        assertTrue(shared <= 8, "one of many relays starts slowly: " + shared);
    }

    /** If a hundred relays made their first calls at once, they would use up a limit for seconds. */
    @Test
    void firstCallsOfAFleetAreSpreadOverTime() {
        int calls = 0;
        for (int seed = 0; seed < 100; seed++) {
            ScriptedRelay relay = relayWithoutListedLimit(100, 0, seed);
            calls += sends(relay.turn(relay.message(1, 1))).size() + sends(relay.advance(100 * MS)).size();
        }
        assertTrue(calls <= 20, "calls of a hundred relays in a tenth of a second: " + calls);
    }

    /** When relays restart, clients resubmit their messages at once; this burst is not the usual rate. */
    @Test
    void backlogAtTheStartDoesNotRaiseTheInitialSendRate() {
        ScriptedRelay relay = relayWithoutListedLimit(14, 0);
        List<Event> backlog = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            backlog.add(relay.message(1, 1));
        }
        List<Send> sent = sends(relay.turn(backlog));
        int calls = 0;
        for (long end = relay.now + SECOND; relay.now < end;) {
            calls += sent.size();
            List<Event> answers = new ArrayList<>();
            sent.forEach(send -> answers.add(attemptEnded(send, 0, Outcome.OK)));
            sent = new ArrayList<>(answers.isEmpty() ? List.of() : sends(relay.turn(answers)));
            sent.addAll(sends(relay.advance(20 * MS)));
        }
        assertTrue(calls > 1 && calls <= 9, "calls in the first second: " + calls);
    }

    /** A busy destination must not be held to the initial send rate while it refuses nothing. */
    @Test
    void destinationThatRefusesNothingIsNotHeldToTheInitialSendRate() {
        ScriptedRelay relay = relayWithoutListedLimit(14, 0);
        int calls = 0;
        for (int second = 0; second < 6; second++) {
            calls = countCallsInOneSecond(relay);
        }
        assertTrue(calls >= 12, "calls in the sixth second of twelve messages each: " + calls);
    }

    /** A single relay whose only endpoint was out, has just answered a probe and is in slow start. */
    private static ScriptedRelay relayWithReturningDestination() {
        ScriptedRelay relay = relayWithoutListedLimit(1, 0);
        relay.warmUp(20, 1);
        relay.advance(SECOND);
        List<Send> sent = sends(relay.turn(relay.message(1, 1)));
        for (int failures = 1; failures <= 4; failures++) {
            sends(relay.turn(attemptEnded(sent.get(0), failures - 1, Outcome.CONNECT_FAILED)));
            sent = new ArrayList<>();
            for (int step = 0; sent.isEmpty() && step < 400; step++) {
                sent.addAll(sends(relay.advance(10 * MS)));
            }
        }
        assertEquals(1, relay.control.unavailableEndpoints(), "the endpoint is out");
        relay.turn(attemptEnded(sent.get(0), 4, Outcome.OK));
        assertEquals(0, relay.control.unavailableEndpoints(), "the endpoint is returning");
        return relay;
    }

    /** A destination that answers again must not be held to the few calls in flight of a failing one. */
    @Test
    void returningDestinationHasMoreCallsInFlightThanAFailingOne() {
        ScriptedRelay relay = relayWithReturningDestination();
        List<Send> inFlight = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            inFlight.addAll(sends(relay.turn(relay.message(1, 1))));
        }
        inFlight.addAll(sends(relay.advance(SECOND)));
        assertTrue(inFlight.size() >= 4, "calls in flight during its slow start: " + inFlight.size());
    }

    /** What a cold destination refuses must not be taken for its limit once it is warm. */
    @Test
    void refusalByAColdDestinationSetsNoLimit() {
        ScriptedRelay relay = relayWithReturningDestination();
        List<Send> sent = new ArrayList<>(sends(relay.turn(relay.message(1, 1))));
        sent.addAll(sends(relay.advance(SECOND)));
        Send refused = sent.get(0);
        relay.turn(attemptEnded(refused, 0, Outcome.FULL), new MessageWithdrawn(refused.id()));
        relay.advance(relay.settings.rules().warmUpTime());
        int calls = countCallsInOneSecond(relay) + countCallsInOneSecond(relay);
        assertTrue(calls >= 20, "of 24 messages in two seconds once it is warm: " + calls);
    }

    /** Hands in twelve messages in a second, answers all calls, and returns their number. */
    private static int countCallsInOneSecond(ScriptedRelay relay) {
        int calls = 0;
        for (int i = 0; i < 12; i++) {
            List<Send> sent = new ArrayList<>(sends(relay.turn(relay.message(1, 1))));
            sent.addAll(sends(relay.advance(80 * MS)));
            for (int next = 0; next < sent.size(); next++) {
                sent.addAll(sends(relay.turn(attemptEnded(sent.get(next), 0, Outcome.OK))));
            }
            calls += sent.size();
        }
        return calls;
    }

    /** While a destination refuses all calls, few are made; their rate must not be taken for its limit. */
    @Test
    void limitMetWhileADestinationRefusesAllCallsDoesNotThrottleItLater() {
        ScriptedRelay relay = relayWithoutListedLimit(2, 0);
        // The answers to the calls of each step of 5 ms; they arrive four steps later.
        List<List<Event>> answers = new ArrayList<>();
        int delivered = 0;
        for (int step = 0; step < 4_800; step++) {
            relay.now += 5 * MS;
            List<Event> events = new ArrayList<>(step < 4 ? List.of() : answers.get(step - 4));
            if (step % 25 == 0) {
                events.add(relay.message(1, 1));
            }
            boolean refusing = step >= 1_200 && step < 2_000;
            List<Event> ended = new ArrayList<>();
            for (Send send : events.isEmpty() && relay.wakeAt > relay.now
                ? List.<Send>of() : sends(relay.turn(events))) {
                delivered += refusing ? 0 : 1;
                ended.add(attemptEnded(send, relay.checker.messages.get(send.id()).sends.size() - 1,
                    refusing ? Outcome.FULL : Outcome.OK));
            }
            answers.add(ended);
        }
        assertTrue(delivered > 165, "of 192 that came in: " + delivered);
    }

    @Test
    void messageIsRefusedOnceItsAttemptsAreUsedUp() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, true, 2, 2, 200));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 0, 1, 50))));
        MessageAccepted message = relay.message(1, 1);
        Send send = sends(relay.turn(message)).get(0);
        List<Send> again = new ArrayList<>(sends(relay.turn(attemptEnded(send, 0, Outcome.FULL))));
        again.addAll(sends(relay.advance(SECOND)));
        assertEquals(1, count(relay.turn(attemptEnded(again.get(0), 1, Outcome.FULL)), Refuse.class));
    }

    /** A lack of sockets on the relay's machine must not use up attempts or count against the endpoint. */
    @Test
    void shortLackOfSocketsUsesUpNoAttempt() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, false, 1, 3, 200));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50))));
        relay.warmUp(10, 1);
        MessageAccepted message = relay.message(1, 1);
        List<Send> sent = sends(relay.turn(message));
        for (int i = 0; i < 5; i++) {
            List<Action> after = relay.turn(attemptEnded(sent.get(0), i, Outcome.NO_SOCKET));
            assertTrue(sends(after).isEmpty(), "not retried at once");
            sent = sends(relay.advance(SECOND));
            assertEquals(1, sent.size(), "retried after a backoff, try " + i);
        }
        assertEquals(0, relay.control.unavailableEndpoints(), "the endpoint is not to blame");
        relay.turn(attemptEnded(sent.get(0), 5, Outcome.OK));
    }

    /** An endpoint for which there is never a socket must go out in the end, so that others are used. */
    @Test
    void endpointGoesOutAfterALongLackOfSockets() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, false, 1, 3, 200));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50))));
        List<Send> sent = sends(relay.turn(relay.message(2, 1)));
        for (int i = 0; i < 12 && relay.control.unavailableEndpoints() == 0; i++) {
            List<Action> after = relay.turn(attemptEnded(sent.get(0), i, Outcome.NO_SOCKET));
            sent = sends(relay.control.unavailableEndpoints() == 0 ? relay.advance(2 * SECOND) : after);
        }
        assertEquals(1, relay.control.unavailableEndpoints());
    }

    /** While the journal cannot be written, accepted messages wait; they are sent as soon as it can be. */
    @Test
    void nothingIsSentWhileAttemptsCannotBeJournaled() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, false, 1, 1, 200));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50))));
        MessageAccepted message = relay.message(2, 1);
        List<Send> sent = sends(relay.turn(message));
        assertEquals(1, sent.size());
        assertTrue(relay.turn(
            new StorageChanged(false), attemptEnded(sent.get(0), 0, Outcome.NOT_JOURNALED)).stream()
            .noneMatch(action ->
                action instanceof Send || action instanceof Refuse || action instanceof Fail));
        assertTrue(sends(relay.advance(2 * SECOND)).isEmpty());
        assertEquals(1, sends(relay.turn(new StorageChanged(true))).size(), "its only attempt was not used up");
    }

    /** Clients must not resubmit a refused message before the destination's wait is over. */
    @Test
    void refusalCarriesTheRemainingWaitAsRetryAfter() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, true, 2, 1, 200));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50))));
        Send send = sends(relay.turn(relay.message(1, 1))).get(0);
        for (Action action : relay.turn(attemptEnded(send, 0, Outcome.FULL, 700 * MS))) {
            if (action instanceof Refuse refusal) {
                assertTrue(refusal.retryAfter() >= 700 * MS && refusal.retryAfter() <= 3 * SECOND,
                    "" + refusal);
                return;
            }
        }
        fail("the message was not refused");
    }

    @Test
    void fullRelayRefusesTheMessageWithTheLeastRemainingWorth() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(1, true, 2, 8, 5));
        List<Event> messages = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            messages.add(relay.message(i == 2 ? 1 : 0, 9));
        }
        List<Action> actions = relay.turn(messages);
        assertEquals(List.of(((MessageAccepted) messages.get(2)).id()),
            actions.stream().filter(Refuse.class::isInstance).map(action -> ((Refuse) action).id()).toList());
    }

    /**
     * A later event of the same turn may make room, or may end the very message that would be refused; it
     * must not get a second final answer.
     */
    @Test
    void fullRelayRefusesNothingIfTheSameTurnMakesRoom() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(1, true, 2, 8, 5));
        MessageAccepted first = relay.message(0, 9);
        relay.turn(first, relay.message(0, 9), relay.message(0, 9), relay.message(0, 9));
        assertEquals(0, count(relay.turn(relay.message(0, 9), new MessageWithdrawn(first.id())), Refuse.class));
        assertEquals(1, count(relay.turn(relay.message(0, 9)), Refuse.class));
    }

    /** A failing endpoint in one zone once reduced its whole destination to single probes. */
    @Test
    void failingEndpointDoesNotStopItsSibling() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, true);
        relay.warmUp(20, 1);
        int served = 0;
        List<Send> inFlight = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            inFlight.addAll(sends(relay.turn(relay.message(0, 1))));
            while (!inFlight.isEmpty()) {
                Send send = inFlight.remove(0);
                relay.now += 20 * MS;
                served += send.endpoint() == 12 ? 1 : 0;
                inFlight.addAll(sends(relay.turn(attemptEnded(send,
                    relay.checker.messages.get(send.id()).sends.size() - 1,
                    send.endpoint() == 12 ? Outcome.OK : Outcome.ERROR))));
            }
            inFlight.addAll(sends(relay.advance(100 * MS)));
        }
        assertTrue(served > 40, "answered by the healthy sibling: " + served);
    }

    /** Destinations that accept calls and answer none once held all slots until the calls timed out. */
    @Test
    void unresponsiveDestinationsLeaveSlotsToOthers() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, true, 1));
        List<Endpoint> endpoints = new ArrayList<>();
        for (int destination = 1; destination <= 9; destination++) {
            endpoints.add(endpoint(10 + destination, 0, 1, destination, 50));
        }
        relay.turn(new ListUpdated(ListKind.WHOLE, endpoints));
        for (int destination = 1; destination <= 9; destination++) {
            relay.warmUp(12, destination);
        }
        // Destinations 1 to 3 get messages and answer none of them.
        for (int i = 0; i < 6; i++) {
            for (int destination = 1; destination <= 3; destination++) {
                relay.turn(relay.message(1, destination));
            }
            relay.advance(150 * MS);
        }
        relay.advance(SECOND);
        assertEquals(1, sends(relay.turn(relay.message(1, 9))).size(),
            "a slot is left for the healthy destination");
    }

    /** Refusals by a limit that is shared with other relays were once taken for an outage. */
    @Test
    void refusalsAboveALimitAreNotAnOutage() {
        ScriptedRelay relay = twoEndpointRelay(1, 8, true);
        relay.warmUp(20, 1);
        List<Action> all = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            for (Send send : sends(relay.turn(relay.message(2, 1)))) {
                all.addAll(relay.turn(attemptEnded(send, 0, i % 3 == 0 ? Outcome.OK : Outcome.FULL,
                    i % 3 == 0 ? 0 : 300 * MS)));
            }
            all.addAll(relay.advance(400 * MS));
        }
        assertEquals(0, countOutages(all), "no endpoint went out");
    }

    /** Single connection resets among answered calls were once taken for outages. */
    @Test
    void scatteredFailuresAreNotAnOutage() {
        ScriptedRelay relay = twoEndpointRelay(1, 8, true);
        relay.warmUp(20, 1);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            for (Send send : sends(relay.turn(relay.message(2, 1)))) {
                sent++;
                relay.now += 50 * MS;
                relay.turn(attemptEnded(send, 0, i % 5 == 0 ? Outcome.RESET : Outcome.OK));
            }
            relay.advance(100 * MS);
        }
        assertTrue(sent > 90, "sent " + sent);
    }

    /**
     * The endpoint fails for 10 s and then returns cold; the rule checker holds the relay to its part of the
     * budget for the warm-up of 10 s.
     */
    @Test
    void returningEndpointGetsNoMoreThanThisRelaysShareOfItsCapacity() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(40, true, 2, 8, 400));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 20))));
        relay.warmUp(30, 1);
        List<Send> inFlight = new ArrayList<>();
        long end = relay.now + 30 * SECOND;
        long returnAt = relay.now + 10 * SECOND;
        int answeredWhenWarm = 0;
        boolean outageDeclared = false;
        while (relay.now < end) {
            inFlight.addAll(sends(relay.turn(relay.message(1, 1))));
            inFlight.addAll(sends(relay.advance(100 * MS)));
            List<Send> toAnswer = new ArrayList<>(inFlight);
            inFlight.clear();
            for (Send send : toAnswer) {
                Outcome outcome = relay.now < returnAt ? Outcome.ERROR : Outcome.OK;
                if (relay.now > returnAt + 10 * SECOND) {
                    answeredWhenWarm++;
                } else if (!outageDeclared && relay.now > returnAt - 5 * SECOND) {
                    relay.checker.coldSince.put(11L, returnAt);
                    outageDeclared = true;
                }
                int attempt = relay.checker.messages.get(send.id()).sends.size() - 1;
                inFlight.addAll(sends(relay.turn(attemptEnded(send, attempt, outcome))));
            }
        }
        assertTrue(answeredWhenWarm > 100, "calls answered once it is warm: " + answeredWhenWarm);
    }

    /**
     * An endpoint with little traffic may show a whole outage by a single failure. An answer long after that
     * failure may come from an endpoint that has just returned cold, so it starts the slow start; an answer
     * soon after it only clears the suspicion.
     */
    @Test
    void lateAnswerAfterASuspectedFailureStartsSlowStartAndAQuickOneClearsIt() {
        for (long gap : new long[] {500 * MS, 5 * SECOND}) {
            ScriptedRelay relay = new ScriptedRelay(testSettings(8, true, 2));
            relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 20))));
            relay.warmUp(20, 1);
            relay.advance(2 * SECOND);
            Send failed = sends(relay.turn(relay.message(2, 1))).get(0);
            relay.turn(attemptEnded(failed, 0, Outcome.ERROR));
            relay.advance(gap);
            Send answered = sends(relay.turn(relay.message(2, 1))).get(0);
            List<Action> actions = relay.turn(attemptEnded(answered, 0, Outcome.OK),
                relay.message(0, 1), relay.message(0, 1));
            assertEquals(gap > SECOND ? 1 : 0, countOutages(actions),
                "slow start only after the late answer");
            assertEquals(gap > SECOND ? 0 : 2, sends(actions).size());
        }
    }

    /** Endpoints that accept few connections were once filled up with the idle ones of hundreds of relays. */
    @Test
    void idleConnectionsAreClosedWhereConnectsFailAndReuseIsUnlikely() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, true, 300));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 600))));
        relay.warmUp(20, 1);
        for (int i = 0; i < 6; i++) {
            relay.advance(10 * SECOND);
            MessageAccepted message = relay.message(2, 1);
            relay.turn(attemptEnded(firstSend(relay, message), 0, Outcome.CONNECT_FAILED),
                new MessageWithdrawn(message.id()));
        }
        Send send = firstSend(relay, relay.message(2, 1));
        assertEquals(1, count(relay.turn(attemptEnded(send, 0, Outcome.OK)), CloseIdleConnections.class),
            "an idle connection would keep other relays out");
    }

    /**
     * In an outage every connect fails. This must not be taken for endpoints that accept few connections, or
     * each call would need a handshake.
     */
    @Test
    void outageDoesNotMakeBusyConnectionsShortLived() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, true, 14));
        relay.turn(new ListUpdated(ListKind.WHOLE,
            List.of(endpoint(11, 0, 1, 1, 600), endpoint(12, 0, 1, 2, 600))));
        relay.warmUp(20, 2);
        for (int i = 0; i < 20; i++) {
            MessageAccepted message = relay.message(2, 1);
            relay.turn(attemptEnded(firstSend(relay, message), 0, Outcome.CONNECT_FAILED),
                new MessageWithdrawn(message.id()));
        }
        relay.warmUp(20, 2);
        int closed = 0;
        for (int i = 0; i < 20; i++) {
            Send send = firstSend(relay, relay.message(2, 2));
            closed += (int) count(relay.turn(attemptEnded(send, 0, Outcome.OK)), CloseIdleConnections.class);
            relay.advance(400 * MS);
        }
        assertEquals(0, closed, "each connection is reused within half a second");
    }

    /** Where idle connections are dropped without notice, a call on one that was idle for long fails. */
    @Test
    void longIdleConnectionsAreClosedAfterAResetOnOneUntilCallsSucceedAgain() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, true, 300));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 20))));
        relay.warmUp(20, 1);
        relay.advance(4 * SECOND);
        Send lost = sends(relay.turn(relay.message(2, 1))).get(0);
        relay.turn(new AttemptEnded(lost.id(), 0, 11, Outcome.RESET, true, 0, 100 * MS, -1, -1));
        assertEquals(1, countConnectionsClosedAfterPause(relay, 4 * SECOND),
            "idle for longer than connections are trusted");
        assertEquals(0, countConnectionsClosedAfterPause(relay, SECOND), "idle for a shorter time");
        for (int i = 0; i < 60; i++) {
            countConnectionsClosedAfterPause(relay, SECOND);
        }
        assertEquals(0, countConnectionsClosedAfterPause(relay, 3 * SECOND),
            "trusted again after many successful calls");
    }

    /** Hands in a message and returns its first send. */
    private static Send firstSend(ScriptedRelay relay, MessageAccepted message) {
        List<Send> sent = sends(relay.turn(message));
        while (sent.isEmpty() && relay.now < message.deadline()) {
            sent = sends(relay.advance(5 * MS));
        }
        return sent.get(0);
    }

    /** Sends and answers a message after a pause; returns how often connections were closed for it. */
    private static long countConnectionsClosedAfterPause(ScriptedRelay relay, long pause) {
        relay.advance(pause);
        List<Action> all = relay.turn(relay.message(2, 1));
        long closed = count(all, CloseIdleConnections.class);
        for (int step = 0; sends(all).isEmpty() && step < 400; step++) {
            all = relay.advance(10 * MS);
        }
        relay.now += 100 * MS;
        relay.turn(attemptEnded(sends(all).get(0), 0, Outcome.OK));
        return closed;
    }

    /**
     * A destination that refused all calls was once overloaded by retries, as each of its endpoints was tried
     * in turn without a common backoff.
     */
    @Test
    void refusalsByEveryEndpointInARowBackOffTheWholeDestination() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, false, 300));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50), endpoint(12, 0, 1, 1, 50))));
        List<Send> made = new ArrayList<>();
        List<Send> sent = new ArrayList<>(
            sends(relay.turn(relay.message(2, 1), relay.message(2, 1), relay.message(2, 1))));
        for (int step = 0; step < 800; step++) {
            relay.now += 10 * MS;
            List<Event> refused = new ArrayList<>();
            for (Send send : sent) {
                long attempt = made.stream().filter(earlier -> earlier.id().equals(send.id())).count();
                refused.add(attemptEnded(send, (int) attempt, Outcome.FULL));
                made.add(send);
            }
            sent = sends(relay.turn(refused));
        }
        assertTrue(made.size() >= 2 && made.size() <= 9, "made " + made.size() + " calls in 8 s");
    }

    /** All messages waiting for a failing destination were once sent to a new endpoint, which was cold. */
    @Test
    void newEndpointOfAFailingDestinationGetsSingleProbes() {
        ScriptedRelay relay = new ScriptedRelay(testSettings(8, false, 2));
        relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50))));
        relay.warmUp(20, 1);
        for (int i = 0; i < 3; i++) {
            relay.advance(3 * SECOND);
            sends(relay.turn(relay.message(2, 1))).forEach(send ->
                relay.turn(new AttemptEnded(send.id(), 0, 11, Outcome.ERROR, true, 0, 100 * MS, -1, -1)));
        }
        List<Event> events = new ArrayList<>();
        events.add(new ListUpdated(ListKind.CHANGES, List.of(endpoint(12, 0, 1, 1, 50))));
        for (int i = 0; i < 8; i++) {
            events.add(relay.message(0, 1));
        }
        long sentToNew = sends(relay.turn(events)).stream().filter(send -> send.endpoint() == 12).count()
            + sends(relay.advance(SECOND)).stream().filter(send -> send.endpoint() == 12).count();
        assertTrue(sentToNew <= 1, "one probe at a time, sent " + sentToNew);
    }

    /** Relays that were all refused at the same time must not all retry at the same time. */
    @Test
    void relaysRetryARefusingDestinationSpreadOverTime() {
        // In tenths of a second.
        List<Long> retryDelays = new ArrayList<>();
        for (int seed = 0; seed < 200; seed++) {
            ScriptedRelay relay = new ScriptedRelay(testSettings(2, false, 200), seed);
            relay.turn(new ListUpdated(ListKind.WHOLE, List.of(endpoint(11, 0, 0, 1, 50))));
            relay.warmUp(2, 1);
            relay.advance(10 * SECOND);
            Send send = sends(relay.turn(relay.message(1, 1))).get(0);
            relay.turn(attemptEnded(send, 0, Outcome.FULL));
            long start = relay.now;
            List<Send> again = List.of();
            while (again.isEmpty() && relay.now < start + 14 * SECOND) {
                again = sends(relay.advance(5 * MS));
            }
            assertFalse(again.isEmpty(), "the message was never retried");
            retryDelays.add((relay.now - start) / (100 * MS));
        }
        for (long delay : retryDelays) {
            long together = retryDelays.stream().filter(other -> other == delay).count();
            assertTrue(together <= 60, together + " of 200 in one tenth of a second");
        }
    }

    @Test
    void unexpectedButLegalEventsAreIgnored() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, true);
        assertTrue(sends(relay.control.turn(relay.now, List.of(
            new AttemptEnded("x", 0, 11, Outcome.OK, true, 0, 1, -1, -1), new MessageWithdrawn("x"), new TimerDue())))
            .isEmpty());
        MessageAccepted message = relay.message(0, 1);
        Send send = sends(relay.turn(message)).get(0);
        List<Action> actions = relay.turn(new MessageWithdrawn(message.id()));
        assertEquals(1, count(actions, CancelAttempt.class));
        relay.turn(new MessageWithdrawn(message.id()));
        assertTrue(relay.turn(new AttemptEnded(send.id(), 0, 11, Outcome.CANCELLED, true, 0, 1, -1, -1)).stream()
            .noneMatch(action -> action instanceof Fail || action instanceof Refuse
                || action instanceof Send));
    }

    @Test
    void invalidCallsThrow() {
        ScriptedRelay relay = twoEndpointRelay(0, 8, true);
        assertThrows(IllegalArgumentException.class, () -> relay.control.turn(relay.now - 1, List.of()));
        assertThrows(NullPointerException.class, () -> relay.control.turn(relay.now, null));
        assertThrows(NullPointerException.class, () -> new Control(1, null));
    }
}
