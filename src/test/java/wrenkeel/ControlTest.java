package wrenkeel;

import static org.junit.jupiter.api.Assertions.*;
import static wrenkeel.ScriptedRelay.*;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wrenkeel.Relay.*;

/** Scripted events: the design's ordinary path, its exceptions, and one small test for each failure found. */
class ControlTest {
    private static ScriptedRelay twoEndpointRelay(int kind, int slots, boolean copies) {
        ScriptedRelay b = new ScriptedRelay(settings(slots, copies, 2));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, kind, 1, 50), endpoint(12, 1, kind, 1, 50))));
        return b;
    }

    @Test
    void copyGoesToAnotherEndpointAfterTheDelayAndTheFirstAnswerCancelsTheOther() {
        ScriptedRelay b = twoEndpointRelay(0, 8, true);
        b.warmUp(20, 1);
        Send first = sends(b.turn(b.message(0, 1))).get(0);
        List<Send> copies = sends(b.advance(90 * MS));
        assertTrue(copies.isEmpty(), "no copy before nine in ten answers would have come");
        copies = sends(b.advance(60 * MS));
        assertEquals(1, copies.size());
        assertEquals(first.id(), copies.get(0).id());
        assertNotEquals(first.endpoint(), copies.get(0).endpoint());
        List<Action> after = b.turn(attemptEnded(copies.get(0), 1, Outcome.OK));
        assertEquals(List.of(new Cancel(first.id(), 0)), after.stream().filter(Cancel.class::isInstance).toList());
    }

    private static Event recoveredMessage(ScriptedRelay b, int cls, Earlier... earlier) {
        return new Accepted("r", cls, 0, null, b.message(cls, 1).deadline(), 1, true, List.of(earlier));
    }

    private static Earlier earlierAttempt(ScriptedRelay b, long ago, int zone, boolean mayHaveRun) {
        return new Earlier(b.now - ago, zone, mayHaveRun);
    }

    private static List<Action> turnWithRecoveredMessage(int cls, Earlier... earlier) {
        ScriptedRelay b = twoEndpointRelay(1, 8, false);
        return b.control.turn(b.now, List.of(recoveredMessage(b, cls, earlier)));
    }

    /** Guards against double effects after a restart: the module knows the attempts made before it. */
    @Test
    void recoveredMessagesKeepTheirEarlierAttempts() {
        ScriptedRelay b = new ScriptedRelay(settings(8, false, 2));
        Earlier ran = earlierAttempt(b, SECOND, 0, true), old = earlierAttempt(b, 10 * SECOND, 0, true);
        Earlier never = earlierAttempt(b, SECOND, 0, false);
        assertEquals(1, count(turnWithRecoveredMessage(2, ran), Fail.class), "unsafe and may have run");
        assertEquals(1, sends(turnWithRecoveredMessage(2, never)).size(), "unsafe and never ran");
        assertEquals(1, sends(turnWithRecoveredMessage(1, ran)).size(), "keyed, inside the window");
        assertTrue(sends(turnWithRecoveredMessage(1, ran, old)).isEmpty(), "the window counts from the earliest");
        Earlier[] all = {never, never, never, never, never, never, never, never};
        assertEquals(1, count(turnWithRecoveredMessage(0, all), Refuse.class), "all attempts made");
    }

    /** Guards what a restart finds untried: it goes before what comes in, and what is out of time first goes first. */
    @Test
    void recoveredUntriedMessagesAreSentBeforeNewOnes() {
        ScriptedRelay b = twoEndpointRelay(1, 1, false);
        long soon = b.now + 2 * SECOND, later = b.now + 3 * SECOND;
        Event late = new Accepted("late", 1, 0, null, later, 1, true, List.of());
        Event first = new Accepted("first", 1, 0, null, soon, 1, true, List.of());
        List<String> order = new ArrayList<>();
        List<Send> sent = sends(b.turn(b.message(0, 1), late, first, b.message(2, 1)));
        for (int i = 0; i < 3; i++) {
            order.add(sent.get(0).id());
            b.now += 10 * MS;
            sent = new ArrayList<>(sends(b.turn(attemptEnded(sent.get(0), 0, Outcome.OK))));
            sent.addAll(sends(b.advance(sent.isEmpty() ? SECOND : 0)));
        }
        assertEquals(List.of("first", "late"), order.subList(0, 2));
    }

    /** Guards the same against a full hold: what waits otherwise is given back, newcomers first. */
    @Test
    void recoveredUntriedMessagesAreNotShedWhenTheRelayIsFull() {
        ScriptedRelay b = new ScriptedRelay(settings(1, false, 2, 8, 4));
        List<Event> events = new ArrayList<>();
        events.add(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50))));
        for (int i = 0; i < 5; i++) {
            events.add(new Accepted("r" + i, 1, 0, null, b.now + 3 * SECOND, 1, true, List.of()));
        }
        Accepted fresh = b.message(1, 1);
        events.add(fresh);
        List<Action> actions = b.turn(events);
        assertEquals(List.of(fresh.id()), actions.stream().filter(Refuse.class::isInstance)
            .map(a -> ((Refuse) a).id()).toList());
    }

    /** Guards a tenant's share: what it handed in before a restart counted against it then. */
    @Test
    void recoveredMessagesAreNotChargedToTheirTenantAgain() {
        ScriptedRelay b = twoEndpointRelay(1, 8, false);
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            events.add(new Accepted("r" + i, 1, 0, null, b.now + 3 * SECOND, 2, true, List.of()));
        }
        b.turn(events);
        // Inside its share the first is worth twice the other, past it less than half; the other has no share.
        Accepted inside = b.message(0, 1);
        Accepted other = new Accepted("other", 1, 1, null, b.now + 16 * SECOND, 1);
        assertEquals(inside.id(), sends(b.turn(other, inside)).get(0).id());
    }

    private static Settings withTenants(Settings s, String... names) {
        List<Tenant> tenants = java.util.Arrays.stream(names).map(name -> new Tenant(name, 50)).toList();
        return new Settings(s.rank(), s.relays(), s.zone(), s.halvingLate(), s.overShareWorth(), s.weights(), s.classes(),
            tenants, s.kinds(), s.allowed(), s.rules(), s.prices());
    }

    /** Guards a tenant's share at a reload: what it has used is its own, whatever its place in the file. */
    @Test
    void reorderingTenantsInTheSettingsKeepsTheUsageOfEach() {
        Settings set = settings(8, false, 2);
        ScriptedRelay b = new ScriptedRelay(withTenants(set, "busy", "calm"));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50), endpoint(12, 1, 1, 2, 50))));
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            events.add(b.message(1, 2));
        }
        b.turn(events);
        b.turn(new Retuned(withTenants(set, "calm", "busy")));
        // The first is of "calm" now, inside its share and worth twice the other, which has no share.
        Accepted other = new Accepted("other", 1, 2, null, b.now + 16 * SECOND, 1);
        Accepted inside = b.message(0, 1);
        assertEquals(inside.id(), sends(b.turn(other, inside)).get(0).id());
    }

    @Test
    void recoveredKeyedMessageStaysInItsZoneGroup() {
        for (int zone = 0; zone < 2; zone++) {
            ScriptedRelay b = twoEndpointRelay(1, 8, false);
            Event again = recoveredMessage(b, 3, earlierAttempt(b, SECOND, zone, true));
            assertEquals(11 + zone, sends(b.control.turn(b.now, List.of(again))).get(0).endpoint());
        }
    }

    /** Guards the rule on drains at a start: nothing goes out by an old list while a newer one may still come. */
    @Test
    void storedListIsNotUsedUntilDiscoveryAnswersOrAShortTimeHasPassed() {
        ScriptedRelay b = twoEndpointRelay(0, 8, false);
        b.turn(new ListAsked());
        assertTrue(sends(b.turn(b.message(0, 1))).isEmpty());
        assertTrue(sends(b.advance(900 * MS)).isEmpty());
        Endpoint drains = new Endpoint(11, 0, 0, 1, Listing.DRAINING, 50);
        assertEquals(12, sends(b.turn(new Listed(ListKind.CHANGES, List.of(drains)))).get(0).endpoint());
        ScriptedRelay silent = twoEndpointRelay(0, 8, false);
        silent.turn(new ListAsked());
        silent.turn(silent.message(0, 1));
        assertEquals(1, sends(silent.advance(1_100 * MS)).size());
        ScriptedRelay unchanged = twoEndpointRelay(0, 8, false);
        unchanged.turn(new ListAsked());
        unchanged.turn(unchanged.message(0, 1));
        assertEquals(1, sends(unchanged.turn(new Listed(ListKind.CHANGES, List.of()))).size());
    }

    @Test
    void copyDelayIs200MillisecondsUntilLatenciesAreKnown() {
        ScriptedRelay b = twoEndpointRelay(0, 8, true);
        b.warmUp(3, 1);
        b.turn(b.message(0, 1));
        assertTrue(sends(b.advance(195 * MS)).isEmpty());
        assertEquals(1, sends(b.advance(10 * MS)).size());
    }

    @Test
    void noCopiesForUnsafeMessagesOrWhereSettingsForbidThem() {
        ScriptedRelay b = twoEndpointRelay(0, 8, true);
        b.warmUp(20, 1);
        assertEquals(1, sends(b.turn(b.message(2, 1))).size());
        assertTrue(sends(b.advance(SECOND)).isEmpty());
        ScriptedRelay none = twoEndpointRelay(0, 8, false);
        none.warmUp(20, 1);
        none.turn(none.message(0, 1));
        assertTrue(sends(none.advance(SECOND)).isEmpty());
    }

    @Test
    void keyedCopyStaysInItsZoneGroup() {
        ScriptedRelay b = twoEndpointRelay(0, 8, true);
        b.warmUp(20, 1);
        assertEquals(1, sends(b.turn(b.message(3, 1))).size());
        assertTrue(sends(b.advance(SECOND)).isEmpty(), "the only other endpoint is in another zone");
    }

    @Test
    void windowStartsAtOneGrowsToThreeQuartersOfTheSlotsAndCountsCopies() {
        ScriptedRelay b = twoEndpointRelay(0, 8, true);
        assertEquals(1, sends(b.turn(b.message(1, 1), b.message(1, 1), b.message(1, 1))).size());
        ScriptedRelay warm = twoEndpointRelay(0, 8, true);
        warm.warmUp(20, 1);
        List<Event> many = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            many.add(warm.message(1, 1));
        }
        assertEquals(6, sends(warm.turn(many)).size(), "three quarters of eight slots");
        assertTrue(sends(warm.advance(150 * MS)).isEmpty(), "no copy beyond the window");
    }

    @Test
    void windowHalvesOnRefusal() {
        ScriptedRelay b = twoEndpointRelay(0, 8, false);
        b.warmUp(20, 1);
        Send sent = sends(b.turn(b.message(1, 1))).get(0);
        b.turn(attemptEnded(sent, 0, Outcome.FULL));
        b.advance(3 * SECOND);
        List<Event> many = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            many.add(b.message(1, 1));
        }
        assertTrue(sends(b.turn(many)).size() <= 3);
    }

    @Test
    void unsentMessagesGoBeforeCopies() {
        ScriptedRelay b = twoEndpointRelay(0, 2, true);
        b.warmUp(20, 1);
        Send first = sends(b.turn(b.message(0, 1), b.message(0, 1))).get(0);
        for (Send s : sends(b.advance(300 * MS))) {
            assertNotEquals(first.id(), s.id(), "a copy went out while a message waited");
        }
    }

    @Test
    void copiesAreLimitedDuringAnOverload() {
        ScriptedRelay b = twoEndpointRelay(0, 16, true);
        b.warmUp(30, 1);
        int copies = 0;
        for (int i = 0; i < 40; i++) {
            Send s = sends(b.turn(b.message(0, 1))).get(0);
            List<Send> more = sends(b.advance(250 * MS));
            copies += more.size();
            b.turn(attemptEnded(s, 0, Outcome.OK));
            for (Send copy : more) {
                b.turn(attemptEnded(copy, 1, Outcome.CANCELLED));
            }
        }
        assertTrue(copies >= 1 && copies <= 10, "copies in an overload: " + copies);
    }

    @Test
    void waitHoldsTheDestinationOrOnlyTheEndpointWhereEndpointsAreIndependent() {
        ScriptedRelay b = twoEndpointRelay(0, 8, true);
        b.warmUp(5, 1);
        Send s = sends(b.turn(b.message(0, 1))).get(0);
        b.turn(attemptEnded(s, 0, Outcome.FULL, SECOND));
        assertTrue(sends(b.advance(990 * MS)).isEmpty());
        assertEquals(1, sends(b.advance(300 * MS)).size());
        ScriptedRelay apart = twoEndpointRelay(1, 8, true);
        apart.warmUp(5, 1);
        Send t = sends(apart.turn(apart.message(0, 1))).get(0);
        List<Send> next = sends(apart.turn(attemptEnded(t, 0, Outcome.FULL, SECOND)));
        assertEquals(1, next.size());
        assertNotEquals(t.endpoint(), next.get(0).endpoint());
    }

    @Test
    void unsafeMessageIsRetriedOnlyIfItNeverRan() {
        ScriptedRelay b = twoEndpointRelay(0, 8, true);
        b.warmUp(5, 1);
        Send s = sends(b.turn(b.message(2, 1, "k"))).get(0);
        List<Send> again = new ArrayList<>(sends(b.turn(attemptEnded(s, 0, Outcome.FULL))));
        again.addAll(sends(b.advance(SECOND)));
        assertEquals(1, again.size());
        List<Action> end = b.turn(attemptEnded(again.get(0), 1, Outcome.RESET));
        assertEquals(1, count(end, Fail.class));
        assertTrue(sends(b.advance(2 * SECOND)).isEmpty());
    }

    @Test
    void messagesOfOneKeyGoOneAtATimeInOrderWithAPauseAfterATimeout() {
        ScriptedRelay b = twoEndpointRelay(0, 8, true);
        b.warmUp(20, 1);
        Accepted one = b.message(2, 1, "k");
        Accepted two = b.message(2, 1, "k");
        List<Send> sent = sends(b.turn(one, two));
        assertEquals(List.of(one.id()), sent.stream().map(Send::id).toList());
        List<Action> end = b.turn(attemptEnded(sent.get(0), 0, Outcome.TIMEOUT));
        assertEquals(1, count(end, Fail.class));
        assertTrue(sends(end).isEmpty(), "the key rests");
        assertEquals(List.of(two.id()), sends(b.advance(3 * SECOND)).stream().map(Send::id).toList());
    }

    @Test
    void drainingAndRemovedEndpointsGetNoSends() {
        ScriptedRelay b = twoEndpointRelay(0, 8, true);
        b.turn(new Listed(ListKind.CHANGES, List.of(new Endpoint(11, 0, 0, 1, Listing.DRAINING, 50))));
        assertEquals(12, sends(b.turn(b.message(0, 1))).get(0).endpoint());
        b.turn(new Listed(ListKind.WHOLE, List.of()));
        assertTrue(sends(b.turn(b.message(1, 1))).isEmpty());
        List<Action> end = b.advance(17 * SECOND);
        assertEquals(2, count(end, Fail.class) + count(end, Refuse.class), "both end in time with nowhere to go");
    }

    @Test
    void messagesOfOneCallShareOneSlot() {
        ScriptedRelay b = twoEndpointRelay(2, 1, false);
        ScriptedRelay plain = twoEndpointRelay(1, 1, false);
        assertEquals(3, sends(b.turn(b.message(1, 1), b.message(1, 1), b.message(1, 1))).size());
        assertEquals(1, sends(plain.turn(plain.message(1, 1), plain.message(1, 1))).size());
    }

    private static List<Event> sendAsOneCall(ScriptedRelay b, int messages, Outcome outcome) {
        List<Event> all = new ArrayList<>();
        for (int i = 0; i < messages; i++) {
            all.add(b.message(1, 1));
        }
        List<Event> ended = new ArrayList<>();
        for (Send s : sends(b.turn(all))) {
            ended.add(attemptEnded(s, 0, outcome));
        }
        assertEquals(messages, ended.size());
        return ended;
    }

    /** Guards against one refused call that shuts the window as many would: its messages share one fate. */
    @Test
    void refusedCallWithSeveralMessagesHalvesTheWindowOnce() {
        ScriptedRelay b = new ScriptedRelay(settings(8, false, 2));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 2, 1, 50))));
        b.warmUp(10, 1);
        b.turn(sendAsOneCall(b, 6, Outcome.FULL));
        List<Send> again = List.of();
        for (int i = 0; i < 300 && again.isEmpty(); i++) {
            again = sends(b.advance(10 * MS));
        }
        assertEquals(6, again.size(), "all six go out again, as one call");
        int calls = 1;
        for (int i = 0; i < 5; i++) {
            calls += sends(b.advance(15 * MS)).size() + sends(b.turn(b.message(1, 1))).size();
        }
        assertEquals(3, calls, "half of a window of six");
    }

    /** Changes of health beyond a suspicion. */
    private static long countOutages(List<Action> actions) {
        return actions.stream().filter(action -> action instanceof HealthChanged changed
            && changed.health() != Health.GOOD && changed.reason() != HealthReason.SUSPECTED).count();
    }

    @Test
    void failedCallWithSeveralMessagesCountsAsOneFailure() {
        ScriptedRelay b = new ScriptedRelay(settings(8, false, 2));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 2, 1, 50))));
        b.warmUp(10, 1);
        List<Event> ended = sendAsOneCall(b, 6, Outcome.ERROR);
        b.now += SECOND;
        assertEquals(0, countOutages(b.turn(ended)), "no outage after a single failed call");
    }

    private static ScriptedRelay relayWithoutListedLimit(int relays, int kind) {
        return relayWithoutListedLimit(relays, kind, 1);
    }

    private static ScriptedRelay relayWithoutListedLimit(int relays, int kind, long seed) {
        Settings s = settings(8, false, relays);
        ScriptedRelay b = new ScriptedRelay(new Settings(s.rank(), s.relays(), s.zone(), s.halvingLate(), s.overShareWorth(),
            Weights.NONE, s.classes(), s.tenants(), s.kinds(), s.allowed(), s.rules(), s.prices()), seed);
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, kind, 1, 1))));
        return b;
    }

    private record CallCounts(int calls, int refused, int delivered) { }

    /** For 40 s eight messages come in a second; the destination takes two calls, and an answer takes 20 ms. */
    private static CallCounts runAgainstSharedLimit(ScriptedRelay b) {
        List<Long> admitted = new ArrayList<>();
        List<List<Event>> answers = new ArrayList<>();
        int calls = 0, refused = 0, delivered = 0;
        for (int step = 0; step < 8_000; step++) {
            b.now += 5 * MS;
            List<Event> events = new ArrayList<>(step < 4 ? List.of() : answers.get(step - 4));
            if (step % 25 == 0) {
                events.add(b.message(1, 1));
            }
            List<Send> call = events.isEmpty() && b.wakeAt > b.now ? List.of() : sends(b.turn(events));
            List<Event> ended = new ArrayList<>();
            if (!call.isEmpty()) {
                admitted.removeIf(at -> at <= b.now - SECOND);
                boolean full = admitted.size() >= 2;
                calls++;
                refused += full ? 1 : 0;
                delivered += full ? 0 : call.size();
                if (!full) {
                    admitted.add(b.now);
                }
                for (Send send : call) {
                    ended.add(attemptEnded(send, b.checker.messages.get(send.id()).sends.size() - 1,
                        full ? Outcome.FULL : Outcome.OK));
                }
            }
            answers.add(ended);
        }
        return new CallCounts(calls, refused, delivered);
    }

    /** Guards a limit shared with other relays: where no rate is listed, refusals teach one, and bundles fill up. */
    @Test
    void refusalsSetTheSendRateWhereNoLimitIsListed() {
        CallCounts carried = runAgainstSharedLimit(relayWithoutListedLimit(2, 2));
        assertTrue(carried.refused * 3 < carried.calls, "refused: " + carried);
        assertTrue(carried.delivered > 300, "nearly all of 320 delivered: " + carried);
    }

    /** Guards limits that refused calls use up too: a fleet whose relays each run into theirs gets little through. */
    @Test
    void relayOfAFleetSeldomExceedsALimitBelowItsTraffic() {
        CallCounts carried = runAgainstSharedLimit(relayWithoutListedLimit(14, 0));
        assertTrue(carried.refused * 7 < carried.calls, "refused: " + carried);
        assertTrue(carried.delivered > 64, "most of the 80 that the limit lets through: " + carried);
    }

    /** Guards a place that a whole fleet meets at the same moment, each relay with its first messages. */
    @Test
    void fleetSharesTheInitialSendRateToANewDestination() {
        assertEquals(12, countCallsInOneSecond(relayWithoutListedLimit(1, 0)), "a relay alone sends as they come");
        int shared = countCallsInOneSecond(relayWithoutListedLimit(14, 0));
        assertTrue(shared <= 8, "one of many waits for what it learns: " + shared);
    }

    /** Guards a place that a hundred relays meet at once: the first call of each would use its limit up for seconds. */
    @Test
    void firstCallsOfAFleetAreSpreadOverTime() {
        int calls = 0;
        for (int relay = 0; relay < 100; relay++) {
            ScriptedRelay b = relayWithoutListedLimit(100, 0, relay);
            calls += sends(b.turn(b.message(1, 1))).size() + sends(b.advance(100 * MS)).size();
        }
        assertTrue(calls <= 20, "calls of a hundred relays in a tenth of a second: " + calls);
    }

    /** Guards partners of relays that come back together, each with what its clients hand in again at once. */
    @Test
    void backlogAtTheStartDoesNotRaiseTheInitialSendRate() {
        ScriptedRelay b = relayWithoutListedLimit(14, 0);
        List<Event> backlog = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            backlog.add(b.message(1, 1));
        }
        List<Send> out = sends(b.turn(backlog));
        int calls = 0;
        for (long end = b.now + SECOND; b.now < end;) {
            calls += out.size();
            List<Event> answers = new ArrayList<>();
            out.forEach(send -> answers.add(attemptEnded(send, 0, Outcome.OK)));
            out = new ArrayList<>(answers.isEmpty() ? List.of() : sends(b.turn(answers)));
            out.addAll(sends(b.advance(20 * MS)));
        }
        assertTrue(calls > 1 && calls <= 9, "calls in the first second: " + calls);
    }

    /** Guards a busy place: what no refusal has spoken against is not held to the starting pace. */
    @Test
    void destinationThatRefusesNothingIsNotHeldToTheInitialSendRate() {
        ScriptedRelay b = relayWithoutListedLimit(14, 0);
        int calls = 0;
        for (int second = 0; second < 6; second++) {
            calls = countCallsInOneSecond(b);
        }
        assertTrue(calls >= 12, "calls in the sixth second of twelve messages each: " + calls);
    }

    /** A relay alone, and its only partner that was out and has just answered a trial. */
    private static ScriptedRelay relayWithReturningDestination() {
        ScriptedRelay b = relayWithoutListedLimit(1, 0);
        b.warmUp(20, 1);
        b.advance(SECOND);
        List<Send> sent = sends(b.turn(b.message(1, 1)));
        for (int failures = 1; failures <= 4; failures++) {
            sends(b.turn(attemptEnded(sent.get(0), failures - 1, Outcome.CONNECT_FAILED)));
            sent = new ArrayList<>();
            for (int step = 0; sent.isEmpty() && step < 400; step++) {
                sent.addAll(sends(b.advance(10 * MS)));
            }
        }
        assertEquals(1, b.control.unavailable(), "out");
        b.turn(attemptEnded(sent.get(0), 4, Outcome.OK));
        assertEquals(0, b.control.unavailable(), "returning");
        return b;
    }

    /** Guards a ramp too slow: a partner that answers again is not held to the few calls of a failing one. */
    @Test
    void returningDestinationHasMoreCallsInFlightThanAFailingOne() {
        ScriptedRelay b = relayWithReturningDestination();
        List<Send> out = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            out.addAll(sends(b.turn(b.message(1, 1))));
        }
        out.addAll(sends(b.advance(SECOND)));
        assertTrue(out.size() >= 4, "calls out while it returns: " + out.size());
    }

    /** Guards a partner that was cold: what it refused then is not learned as its limit for when it is warm. */
    @Test
    void refusalByAColdDestinationSetsNoLimit() {
        ScriptedRelay b = relayWithReturningDestination();
        List<Send> sent = new ArrayList<>(sends(b.turn(b.message(1, 1))));
        sent.addAll(sends(b.advance(SECOND)));
        Send refused = sent.get(0);
        b.turn(attemptEnded(refused, 0, Outcome.FULL), new Withdrawn(refused.id()));
        b.advance(b.settings.rules().cold());
        int calls = countCallsInOneSecond(b) + countCallsInOneSecond(b);
        assertTrue(calls >= 20, "of 24 messages in two seconds once it is warm: " + calls);
    }

    /** Calls that are all answered, of twelve messages in a second. */
    private static int countCallsInOneSecond(ScriptedRelay b) {
        int calls = 0;
        for (int i = 0; i < 12; i++) {
            List<Send> sent = new ArrayList<>(sends(b.turn(b.message(1, 1))));
            sent.addAll(sends(b.advance(80 * MS)));
            for (int next = 0; next < sent.size(); next++) {
                sent.addAll(sends(b.turn(attemptEnded(sent.get(next), 0, Outcome.OK))));
            }
            calls += sent.size();
        }
        return calls;
    }

    /** Guards a partner that was shut for a while: few calls are made then, which says nothing of its limit. */
    @Test
    void limitMetWhileADestinationRefusesAllCallsDoesNotThrottleItLater() {
        ScriptedRelay b = relayWithoutListedLimit(2, 0);
        List<List<Event>> answers = new ArrayList<>();
        int delivered = 0;
        for (int step = 0; step < 4_800; step++) {
            b.now += 5 * MS;
            List<Event> events = new ArrayList<>(step < 4 ? List.of() : answers.get(step - 4));
            if (step % 25 == 0) {
                events.add(b.message(1, 1));
            }
            boolean shut = step >= 1_200 && step < 2_000;
            List<Event> ended = new ArrayList<>();
            for (Send send : events.isEmpty() && b.wakeAt > b.now ? List.<Send>of() : sends(b.turn(events))) {
                delivered += shut ? 0 : 1;
                ended.add(attemptEnded(send, b.checker.messages.get(send.id()).sends.size() - 1,
                    shut ? Outcome.FULL : Outcome.OK));
            }
            answers.add(ended);
        }
        assertTrue(delivered > 165, "of 192 that came in: " + delivered);
    }

    @Test
    void messageIsRefusedOnceItsAttemptsAreUsedUp() {
        ScriptedRelay b = new ScriptedRelay(settings(8, true, 2, 2, 200));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 0, 1, 50))));
        Accepted m = b.message(1, 1);
        Send s = sends(b.turn(m)).get(0);
        List<Send> again = new ArrayList<>(sends(b.turn(attemptEnded(s, 0, Outcome.FULL))));
        again.addAll(sends(b.advance(SECOND)));
        assertEquals(1, count(b.turn(attemptEnded(again.get(0), 1, Outcome.FULL)), Refuse.class));
    }

    /** Guards a destination that is well, and a message's attempts, against this machine's own trouble. */
    @Test
    void shortLackOfSocketsUsesUpNoAttempt() {
        ScriptedRelay b = new ScriptedRelay(settings(8, false, 1, 3, 200));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50))));
        b.warmUp(10, 1);
        Accepted message = b.message(1, 1);
        List<Send> sent = sends(b.turn(message));
        for (int i = 0; i < 5; i++) {
            List<Action> after = b.turn(attemptEnded(sent.get(0), i, Outcome.NO_SOCKET));
            assertTrue(sends(after).isEmpty(), "not again at once");
            sent = sends(b.advance(SECOND));
            assertEquals(1, sent.size(), "again after a moment, try " + i);
        }
        assertEquals(0, b.control.unavailable(), "the endpoint is not to blame");
        b.turn(attemptEnded(sent.get(0), 5, Outcome.OK));
    }

    /** Guards the others: a route for which there is never a socket fails in the end. */
    @Test
    void endpointGoesOutAfterALongLackOfSockets() {
        ScriptedRelay b = new ScriptedRelay(settings(8, false, 1, 3, 200));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50))));
        List<Send> sent = sends(b.turn(b.message(2, 1)));
        for (int i = 0; i < 12 && b.control.unavailable() == 0; i++) {
            List<Action> after = b.turn(attemptEnded(sent.get(0), i, Outcome.NO_SOCKET));
            sent = sends(b.control.unavailable() == 0 ? b.advance(2 * SECOND) : after);
        }
        assertEquals(1, b.control.unavailable());
    }

    /** Guards what was taken on while nothing can be written down: it waits, and goes out as soon as that can be. */
    @Test
    void nothingIsSentWhileAttemptsCannotBeJournaled() {
        ScriptedRelay b = new ScriptedRelay(settings(8, false, 1, 1, 200));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50))));
        Accepted message = b.message(2, 1);
        List<Send> sent = sends(b.turn(message));
        assertEquals(1, sent.size());
        assertTrue(b.turn(new Storage(false), attemptEnded(sent.get(0), 0, Outcome.NOT_JOURNALED)).stream()
            .noneMatch(a -> a instanceof Send || a instanceof Refuse || a instanceof Fail));
        assertTrue(sends(b.advance(2 * SECOND)).isEmpty());
        assertEquals(1, sends(b.turn(new Storage(true))).size(), "its only attempt is still to be made");
    }

    /** Guards against clients that come back to a closed door: a refusal tells when the told wait is over. */
    @Test
    void refusalCarriesTheRemainingWaitAsRetryAfter() {
        ScriptedRelay b = new ScriptedRelay(settings(8, true, 2, 1, 200));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50))));
        Send s = sends(b.turn(b.message(1, 1))).get(0);
        for (Action a : b.turn(attemptEnded(s, 0, Outcome.FULL, 700 * MS))) {
            if (a instanceof Refuse refusal) {
                assertTrue(refusal.retryAfter() >= 700 * MS && refusal.retryAfter() <= 3 * SECOND, "" + refusal);
                return;
            }
        }
        fail("not refused");
    }

    @Test
    void fullRelayRefusesTheMessageWithTheLeastRemainingWorth() {
        ScriptedRelay b = new ScriptedRelay(settings(1, true, 2, 8, 5));
        List<Event> five = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            five.add(b.message(i == 2 ? 1 : 0, 9));
        }
        List<Action> actions = b.turn(five);
        assertEquals(List.of(((Accepted) five.get(2)).id()),
            actions.stream().filter(Refuse.class::isInstance).map(a -> ((Refuse) a).id()).toList());
    }

    /** Guards against a refusal that the same turn makes needless, and a second end of a message that it ends. */
    @Test
    void fullRelayRefusesNothingIfTheSameTurnMakesRoom() {
        ScriptedRelay b = new ScriptedRelay(settings(1, true, 2, 8, 5));
        Accepted first = b.message(0, 9);
        b.turn(first, b.message(0, 9), b.message(0, 9), b.message(0, 9));
        assertEquals(0, count(b.turn(b.message(0, 9), new Withdrawn(first.id())), Refuse.class));
        assertEquals(1, count(b.turn(b.message(0, 9)), Refuse.class));
    }

    /** Found on merkez-atolye: one failing zone sent the whole of a shared destination to trials. */
    @Test
    void failingEndpointDoesNotStopItsSibling() {
        ScriptedRelay b = twoEndpointRelay(0, 8, true);
        b.warmUp(20, 1);
        int served = 0;
        List<Send> out = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            out.addAll(sends(b.turn(b.message(0, 1))));
            while (!out.isEmpty()) {
                Send s = out.remove(0);
                b.now += 20 * MS;
                served += s.endpoint() == 12 ? 1 : 0;
                out.addAll(sends(b.turn(attemptEnded(s, b.checker.messages.get(s.id()).sends.size() - 1,
                    s.endpoint() == 12 ? Outcome.OK : Outcome.ERROR))));
            }
            out.addAll(sends(b.advance(100 * MS)));
        }
        assertTrue(served > 40, "served by the sound sibling: " + served);
    }

    /** Found in i62d03c: places that take calls and answer none held the slots until their time-outs. */
    @Test
    void unresponsiveDestinationsLeaveSlotsToOthers() {
        ScriptedRelay b = new ScriptedRelay(settings(8, true, 1));
        List<Endpoint> items = new ArrayList<>();
        for (int d = 1; d <= 9; d++) {
            items.add(endpoint(10 + d, 0, 1, d, 50));
        }
        b.turn(new Listed(ListKind.WHOLE, items));
        for (int d = 1; d <= 9; d++) {
            b.warmUp(12, d);
        }
        for (int i = 0; i < 6; i++) {
            for (int d = 1; d <= 3; d++) {
                b.turn(b.message(1, d));
            }
            b.advance(150 * MS);
        }
        b.advance(SECOND);
        assertEquals(1, sends(b.turn(b.message(1, 9))).size(), "a slot is left for the sound destination");
    }

    /** Found on thu-duc big-1: a limit shared with other relays was taken for an outage. */
    @Test
    void refusalsAboveALimitAreNotAnOutage() {
        ScriptedRelay b = twoEndpointRelay(1, 8, true);
        b.warmUp(20, 1);
        List<Action> all = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            for (Send s : sends(b.turn(b.message(2, 1)))) {
                all.addAll(b.turn(attemptEnded(s, 0, i % 3 == 0 ? Outcome.OK : Outcome.FULL, i % 3 == 0 ? 0 : 300 * MS)));
            }
            all.addAll(b.advance(400 * MS));
        }
        assertEquals(0, countOutages(all), "no outage was judged");
    }

    /** Found in ic0f6d2: single resets among answers were taken for outages. */
    @Test
    void scatteredFailuresAreNotAnOutage() {
        ScriptedRelay b = twoEndpointRelay(1, 8, true);
        b.warmUp(20, 1);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            for (Send s : sends(b.turn(b.message(2, 1)))) {
                sent++;
                b.now += 50 * MS;
                b.turn(attemptEnded(s, 0, i % 5 == 0 ? Outcome.RESET : Outcome.OK));
            }
            b.advance(100 * MS);
        }
        assertTrue(sent > 90, "sent " + sent);
    }

    @Test
    void returningEndpointGetsNoMoreThanThisRelaysShareOfItsCapacity() {
        ScriptedRelay b = new ScriptedRelay(settings(40, true, 2, 8, 400));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 20))));
        b.warmUp(30, 1);
        List<Send> out = new ArrayList<>();
        long end = b.now + 30 * SECOND;
        long back = b.now + 10 * SECOND;
        int late = 0;
        boolean told = false;
        while (b.now < end) {
            out.addAll(sends(b.turn(b.message(1, 1))));
            out.addAll(sends(b.advance(100 * MS)));
            List<Send> now = new ArrayList<>(out);
            out.clear();
            for (Send s : now) {
                Outcome o = b.now < back ? Outcome.ERROR : Outcome.OK;
                if (b.now > back + 10 * SECOND) {
                    late++;
                } else if (!told && b.now > back - 5 * SECOND) {
                    b.checker.coldSince.put(11L, back);
                    told = true;
                }
                int attempt = b.checker.messages.get(s.id()).sends.size() - 1;
                out.addAll(sends(b.turn(attemptEnded(s, attempt, o))));
            }
        }
        assertTrue(late > 100, "full service once warm: " + late);
    }

    /** A quiet route sees one failure of an outage; an answer long after it is not taken for health. */
    @Test
    void lateAnswerAfterASuspectedFailureStartsSlowStartAndAQuickOneClearsIt() {
        for (long gap : new long[] {500 * MS, 5 * SECOND}) {
            ScriptedRelay b = new ScriptedRelay(settings(8, true, 2));
            b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 20))));
            b.warmUp(20, 1);
            b.advance(2 * SECOND);
            Send one = sends(b.turn(b.message(2, 1))).get(0);
            b.turn(attemptEnded(one, 0, Outcome.ERROR));
            b.advance(gap);
            Send two = sends(b.turn(b.message(2, 1))).get(0);
            List<Action> back = b.turn(attemptEnded(two, 0, Outcome.OK), b.message(0, 1), b.message(0, 1));
            assertEquals(gap > SECOND ? 1 : 0, countOutages(back), "the slow start is on");
            assertEquals(gap > SECOND ? 0 : 2, sends(back).size());
        }
    }

    /** i80fd1b: endpoints that take few connections were full of idle ones held by hundreds of relays. */
    @Test
    void idleConnectionsAreClosedWhereConnectsFailAndReuseIsUnlikely() {
        ScriptedRelay b = new ScriptedRelay(settings(8, true, 300));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 600))));
        b.warmUp(20, 1);
        for (int i = 0; i < 6; i++) {
            b.advance(10 * SECOND);
            Accepted m = b.message(2, 1);
            b.turn(attemptEnded(firstSend(b, m), 0, Outcome.CONNECT_FAILED), new Withdrawn(m.id()));
        }
        Send s = firstSend(b, b.message(2, 1));
        assertEquals(1, count(b.turn(attemptEnded(s, 0, Outcome.OK)), Close.class), "not kept for another relay's harm");
    }

    /** Guards handshakes: an outage, in which every connect fails, is no sign of partners that take few connections. */
    @Test
    void outageDoesNotMakeBusyConnectionsShortLived() {
        ScriptedRelay b = new ScriptedRelay(settings(8, true, 14));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 600), endpoint(12, 0, 1, 2, 600))));
        b.warmUp(20, 2);
        for (int i = 0; i < 20; i++) {
            Accepted m = b.message(2, 1);
            b.turn(attemptEnded(firstSend(b, m), 0, Outcome.CONNECT_FAILED), new Withdrawn(m.id()));
        }
        b.warmUp(20, 2);
        int closed = 0;
        for (int i = 0; i < 20; i++) {
            Send s = firstSend(b, b.message(2, 2));
            closed += (int) count(b.turn(attemptEnded(s, 0, Outcome.OK)), Close.class);
            b.advance(400 * MS);
        }
        assertEquals(0, closed, "each is used again in less than half a second");
    }

    /** thu-duc-later: a call on a connection idle for long fails where these are dropped unseen. */
    @Test
    void longIdleConnectionsAreClosedAfterAResetOnOneUntilCallsSucceedAgain() {
        ScriptedRelay b = new ScriptedRelay(settings(8, true, 300));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 20))));
        b.warmUp(20, 1);
        b.advance(4 * SECOND);
        Send lost = sends(b.turn(b.message(2, 1))).get(0);
        b.turn(new Ended(lost.id(), 0, 11, Outcome.RESET, true, 0, 100 * MS, -1, -1));
        assertEquals(1, countConnectionsClosedAfterPause(b, 4 * SECOND), "idle for longer than is trusted");
        assertEquals(0, countConnectionsClosedAfterPause(b, SECOND), "idle for less");
        for (int i = 0; i < 60; i++) {
            countConnectionsClosedAfterPause(b, SECOND);
        }
        assertEquals(0, countConnectionsClosedAfterPause(b, 3 * SECOND), "trusted again");
    }

    private static Send firstSend(ScriptedRelay b, Accepted m) {
        List<Send> sent = sends(b.turn(m));
        while (sent.isEmpty() && b.now < m.deadline()) {
            sent = sends(b.advance(5 * MS));
        }
        return sent.get(0);
    }

    /** Sends and answers one message after a pause; how many connections were closed before the send. */
    private static long countConnectionsClosedAfterPause(ScriptedRelay b, long pause) {
        b.advance(pause);
        List<Action> all = b.turn(b.message(2, 1));
        long closed = count(all, Close.class);
        for (int step = 0; sends(all).isEmpty() && step < 400; step++) {
            all = b.advance(10 * MS);
        }
        b.now += 100 * MS;
        b.turn(attemptEnded(sends(all).get(0), 0, Outcome.OK));
        return closed;
    }

    /** thu-duc-later big-2: a shut destination with several routes was asked by turns, and pushed over. */
    @Test
    void refusalsByEveryEndpointInARowBackOffTheWholeDestination() {
        ScriptedRelay b = new ScriptedRelay(settings(8, false, 300));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50), endpoint(12, 0, 1, 1, 50))));
        List<Send> asked = new ArrayList<>();
        List<Send> sent = new ArrayList<>(sends(b.turn(b.message(2, 1), b.message(2, 1), b.message(2, 1))));
        for (int step = 0; step < 800; step++) {
            b.now += 10 * MS;
            List<Event> refused = new ArrayList<>();
            for (Send s : sent) {
                long attempt = asked.stream().filter(o -> o.id().equals(s.id())).count();
                refused.add(attemptEnded(s, (int) attempt, Outcome.FULL));
                asked.add(s);
            }
            sent = sends(b.turn(refused));
        }
        assertTrue(asked.size() >= 2 && asked.size() <= 9, "asked " + asked.size() + " times in 8 s");
    }

    /** i038d82: messages held for a failing destination all went to its replacements, new and cold. */
    @Test
    void newEndpointOfAFailingDestinationGetsSingleProbes() {
        ScriptedRelay b = new ScriptedRelay(settings(8, false, 2));
        b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 1, 1, 50))));
        b.warmUp(20, 1);
        for (int i = 0; i < 3; i++) {
            b.advance(3 * SECOND);
            sends(b.turn(b.message(2, 1))).forEach(s ->
                b.turn(new Ended(s.id(), 0, 11, Outcome.ERROR, true, 0, 100 * MS, -1, -1)));
        }
        List<Event> events = new ArrayList<>();
        events.add(new Listed(ListKind.CHANGES, List.of(endpoint(12, 0, 1, 1, 50))));
        for (int i = 0; i < 8; i++) {
            events.add(b.message(0, 1));
        }
        long cold = sends(b.turn(events)).stream().filter(s -> s.endpoint() == 12).count()
            + sends(b.advance(SECOND)).stream().filter(s -> s.endpoint() == 12).count();
        assertTrue(cold <= 1, "one trial at a time, sent " + cold);
    }

    /** The fleet's rule: relays that all saw one refusal of a shut place do not come back in step. */
    @Test
    void relaysRetryARefusingDestinationSpreadOverTime() {
        List<Long> backs = new ArrayList<>();
        for (int relay = 0; relay < 200; relay++) {
            ScriptedRelay b = new ScriptedRelay(settings(2, false, 200), relay);
            b.turn(new Listed(ListKind.WHOLE, List.of(endpoint(11, 0, 0, 1, 50))));
            b.warmUp(2, 1);
            b.advance(10 * SECOND);
            Send s = sends(b.turn(b.message(1, 1))).get(0);
            b.turn(attemptEnded(s, 0, Outcome.FULL));
            long start = b.now;
            List<Send> again = List.of();
            while (again.isEmpty() && b.now < start + 14 * SECOND) {
                again = sends(b.advance(5 * MS));
            }
            assertFalse(again.isEmpty(), "it starves");
            backs.add((b.now - start) / (100 * MS));
        }
        for (long slice : backs) {
            long together = backs.stream().filter(o -> o == slice).count();
            assertTrue(together <= 60, together + " of 200 in one tenth of a second");
        }
    }

    @Test
    void unexpectedButLegalEventsAreIgnored() {
        ScriptedRelay b = twoEndpointRelay(0, 8, true);
        assertTrue(sends(b.control.turn(b.now, List.of(new Ended("x", 0, 11, Outcome.OK, true, 0, 1, -1, -1),
            new Withdrawn("x"), new Due()))).isEmpty());
        Accepted m = b.message(0, 1);
        Send s = sends(b.turn(m)).get(0);
        List<Action> gone = b.turn(new Withdrawn(m.id()));
        assertEquals(1, count(gone, Cancel.class));
        b.turn(new Withdrawn(m.id()));
        assertTrue(b.turn(new Ended(s.id(), 0, 11, Outcome.CANCELLED, true, 0, 1, -1, -1)).stream()
            .noneMatch(a -> a instanceof Fail || a instanceof Refuse || a instanceof Send));
    }

    @Test
    void invalidCallsThrow() {
        ScriptedRelay b = twoEndpointRelay(0, 8, true);
        assertThrows(IllegalArgumentException.class, () -> b.control.turn(b.now - 1, List.of()));
        assertThrows(NullPointerException.class, () -> b.control.turn(b.now, null));
        assertThrows(NullPointerException.class, () -> new Control(1, null));
    }
}
