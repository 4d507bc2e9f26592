package wrenkeel.soak;

import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import org.junit.jupiter.api.Test;
import wrenkeel.soak.History.Effect;
import wrenkeel.soak.History.Interval;

/**
 * Tests each rule of the oracle on a constructed history: a violation is reported, and what an injected fault
 * may have caused is not.
 */
class OracleTest {
    private static final int RELAY = 2, ENDPOINT = 5, DESTINATION = 1;

    private final History history = new History();

    /** Records a message that the relay has accepted, with a dedup window of 3 s. */
    private History.Message accept(String id, Effect effect, long atMillis, long lifetimeMillis) {
        History.Message message = new History.Message(id, RELAY, DESTINATION, effect, 3_000, atMillis,
            lifetimeMillis);
        history.recordSubmission(message);
        history.recordRequestEnd(id, 202, false, atMillis + 1);
        return message;
    }

    /** Records a call from the relay to the endpoint. */
    private void recordCall(String id, long atMillis, long retryAfterMillis, boolean mayExecute) {
        history.recordCall(new History.Call(RELAY, ENDPOINT, DESTINATION, id, atMillis, retryAfterMillis),
            mayExecute);
    }

    private List<String> brokenRules() {
        return Oracle.check(history).stream().map(Finding::rule).toList();
    }

    @Test
    void acceptsDeliveryAndTimelyFailureNotice() {
        accept("a", Effect.UNSAFE, 100, 2_000);
        recordCall("a", 150, 0, true);
        history.recordDelivery("a", 200);
        accept("b", Effect.KEYED, 100, 2_000);
        history.recordNotice("b", false, 2_300);
        assertEquals(List.of(), brokenRules());
    }

    @Test
    void reportsMissingEndAsLostAndOverdueEndAsTooLate() {
        accept("a", Effect.SAFE, 100, 2_000);
        assertEquals(List.of("lost"), brokenRules());
        history.recordNotice("a", false, 3_500);
        assertEquals(List.of("end too late"), brokenRules());
    }

    @Test
    void restartExtendsTheDueTimeOfAnEnd() {
        accept("a", Effect.SAFE, 100, 2_000);
        history.recordNotice("a", false, 4_400);
        history.downtimes(RELAY, new Interval(1_000, 3_000));
        assertEquals(List.of(), brokenRules());
    }

    @Test
    void reportsSecondExecutionOfUnsafeMessage() {
        accept("a", Effect.UNSAFE, 100, 2_000);
        recordCall("a", 150, 0, true);
        recordCall("a", 900, 0, true);
        history.recordDelivery("a", 950);
        assertEquals(List.of("run again"), brokenRules());
    }

    @Test
    void reportsRepeatOfKeyedMessageOnlyOutsideItsDedupWindow() {
        accept("a", Effect.KEYED, 100, 6_000);
        recordCall("a", 150, 0, true);
        recordCall("a", 3_100, 0, true);
        history.recordDelivery("a", 3_150);
        assertEquals(List.of(), brokenRules());
        recordCall("a", 3_300, 0, true);
        assertEquals(List.of("run again"), brokenRules());
    }

    @Test
    void reportsReturnOfUnsafeMessageThatMayHaveRun() {
        accept("a", Effect.UNSAFE, 100, 2_000);
        recordCall("a", 150, 0, true);
        history.recordNotice("a", true, 1_000);
        assertEquals(List.of("handed back although it may have run"), brokenRules());
    }

    @Test
    void reportsCallBeforeRetryAfterUnlessTheRelayRestarted() {
        accept("a", Effect.SAFE, 100, 5_000);
        recordCall("a", 150, 2_000, false);
        recordCall("a", 1_000, 0, true);
        history.recordDelivery("a", 1_050);
        assertEquals(List.of("sent within a wait"), brokenRules());
        history.downtimes(RELAY, new Interval(300, 900));
        assertEquals(List.of(), brokenRules());
    }

    /**
     * Guards against a finding where a relay's reads fail: a wait that it could not read binds it no more
     * than one that it lost in a restart, while any other wait does.
     */
    @Test
    void aRetryAfterBindsUnlessTheReadOfThatVeryResponseFailed() {
        accept("a", Effect.SAFE, 100, 5_000);
        recordCall("a", 150, 2_000, false);
        recordCall("a", 1_000, 0, true);
        history.recordDelivery("a", 1_050);
        history.recordFailedRead(new History.FailedRead(RELAY + 1, ENDPOINT, 151));
        history.recordFailedRead(new History.FailedRead(RELAY, ENDPOINT + 1, 151));
        history.recordFailedRead(new History.FailedRead(RELAY, ENDPOINT, 100));
        history.recordFailedRead(new History.FailedRead(RELAY, ENDPOINT, 900));
        assertEquals(List.of("sent within a wait"), brokenRules());
        history.recordFailedRead(new History.FailedRead(RELAY, ENDPOINT, 151));
        assertEquals(List.of(), brokenRules());
    }

    @Test
    void reportsCallToDrainingEndpointLaterIfTheRelayHadAFault() {
        history.drains(ENDPOINT, new Interval(1_000, 12_000));
        accept("a", Effect.SAFE, 100, 9_000);
        recordCall("a", 4_000, 0, true);
        history.recordDelivery("a", 4_050);
        assertEquals(List.of("sent while draining"), brokenRules());
        history.relayFaults(RELAY, new Interval(900, 2_000));
        assertEquals(List.of(), brokenRules());
        recordCall("a", 8_800, 0, true);
        assertEquals(List.of("sent while draining"), brokenRules());
    }

    @Test
    void reportsConnectionClosedUnansweredUnlessTheRelayWasKilled() {
        history.recordSubmission(new History.Message("a", RELAY, DESTINATION, Effect.SAFE, 0, 100, 2_000));
        history.recordRequestEnd("a", 0, true, 150);
        assertEquals(List.of("closed unanswered"), brokenRules());
        history.processAbsences(RELAY, new Interval(140, 900));
        assertEquals(List.of(), brokenRules());
    }

    @Test
    void reportsColdEndpointOverrunByAllRelaysTogether() {
        history.recordCapacity(ENDPOINT, 20);
        history.recordOutage(ENDPOINT, new Interval(4_000, 10_000));
        for (int i = 0; i < 31; i++) {
            history.recordCall(new History.Call(i, ENDPOINT, DESTINATION, "m" + i, 10_000 + i * 60, 0),
                false);
        }
        assertEquals(List.of(), brokenRules(), "the bound is 16 + 3 * sqrt(16) + 3 calls in 2 s");
        history.recordCall(new History.Call(31, ENDPOINT, DESTINATION, "m31", 11_900, 0), false);
        assertEquals(List.of("cold endpoint overrun"), brokenRules());
    }

    @Test
    void ignoresCallsToWarmEndpointAndDuringNextOutage() {
        history.recordCapacity(ENDPOINT, 20);
        history.recordOutage(ENDPOINT, new Interval(4_000, 10_000));
        history.recordOutage(ENDPOINT, new Interval(10_500, 60_000));
        for (int i = 0; i < 200; i++) {
            history.recordCall(new History.Call(i, ENDPOINT, DESTINATION, "m" + i, 10_500 + i, 0), false);
            history.recordCall(new History.Call(i, ENDPOINT, DESTINATION, "n" + i, 70_000 + i, 0), false);
        }
        assertEquals(List.of(), brokenRules());
    }

    @Test
    void floodedRelayMayCloseNewConnectionUnanswered() {
        history.recordSubmission(new History.Message("a", RELAY, DESTINATION, Effect.SAFE, 0, 100, 2_000));
        history.recordRequestEnd("a", 0, true, 150);
        history.floods(RELAY, new Interval(50, 900));
        assertEquals(List.of(), brokenRules());
    }

    @Test
    void reportsBadClientNeitherAnsweredNorClosedInTime() {
        history.recordBadClient(new History.BadClientResult(RELAY, "SILENT", 100, 3_000));
        assertEquals(List.of(), brokenRules());
        history.recordBadClient(new History.BadClientResult(RELAY, "SILENT", 100, 3_600));
        history.recordBadClient(new History.BadClientResult(RELAY, "HALF_HEAD", 100, -1));
        assertEquals(List.of("bad peer held", "bad peer held"), brokenRules());
    }

    @Test
    void reportsRunningRelayThatAnswersNobody() {
        for (int i = 0; i < 20; i++) {
            String id = "m" + i;
            history.recordSubmission(
                new History.Message(id, RELAY, DESTINATION, Effect.SAFE, 0, i * 300L, 2_000));
            history.recordRequestEnd(id, 0, false, i * 300L + 400);
        }
        assertEquals(List.of("nobody served"), brokenRules());
    }
}
