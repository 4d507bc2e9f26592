package wrenkeel.soak;

import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import org.junit.jupiter.api.Test;
import wrenkeel.soak.History.Effect;
import wrenkeel.soak.History.Span;

/** The oracle on made records: each rule is found broken, and what the tool itself caused is not. */
class OracleTest {
    private static final int RELAY = 2, ENDPOINT = 5, DESTINATION = 1;

    private final History history = new History();

    private History.Message takenOn(String id, Effect effect, long at, long life) {
        History.Message message = new History.Message(id, RELAY, DESTINATION, effect, 3_000, at, life);
        history.handedIn(message);
        history.ended(id, 202, false, at + 1);
        return message;
    }

    private void call(String id, long at, long waitMillis, boolean runs) {
        history.called(new History.Call(RELAY, ENDPOINT, DESTINATION, id, at, waitMillis), runs);
    }

    private List<String> broken() {
        return Oracle.judge(history).stream().map(Finding::rule).toList();
    }

    @Test
    void aDeliveredMessageAndOneGivenUpInTimeAreWell() {
        takenOn("a", Effect.UNSAFE, 100, 2_000);
        call("a", 150, 0, true);
        history.delivered("a", 200);
        takenOn("b", Effect.KEYED, 100, 2_000);
        history.noticed("b", false, 2_300);
        assertEquals(List.of(), broken());
    }

    @Test
    void aMessageWithoutAnEndIsLostAndALateEndIsLate() {
        takenOn("a", Effect.SAFE, 100, 2_000);
        assertEquals(List.of("lost"), broken());
        history.noticed("a", false, 3_500);
        assertEquals(List.of("end too late"), broken());
    }

    @Test
    void aRestartPutsOffTheEndUntilAMomentAfterItIsReady() {
        takenOn("a", Effect.SAFE, 100, 2_000);
        history.noticed("a", false, 4_400);
        history.down(RELAY, new Span(1_000, 3_000));
        assertEquals(List.of(), broken());
    }

    @Test
    void anUnsafeMessageMayRunOnce() {
        takenOn("a", Effect.UNSAFE, 100, 2_000);
        call("a", 150, 0, true);
        call("a", 900, 0, true);
        history.delivered("a", 950);
        assertEquals(List.of("run again"), broken());
    }

    @Test
    void aKeyedMessageMayRunAgainWithinItsWindow() {
        takenOn("a", Effect.KEYED, 100, 6_000);
        call("a", 150, 0, true);
        call("a", 3_100, 0, true);
        history.delivered("a", 3_150);
        assertEquals(List.of(), broken());
        call("a", 3_300, 0, true);
        assertEquals(List.of("run again"), broken());
    }

    @Test
    void whatMayHaveRunIsNotHandedBackIfItIsUnsafe() {
        takenOn("a", Effect.UNSAFE, 100, 2_000);
        call("a", 150, 0, true);
        history.noticed("a", true, 1_000);
        assertEquals(List.of("handed back although it may have run"), broken());
    }

    @Test
    void aWaitBindsTheDestinationButNotAcrossARestart() {
        takenOn("a", Effect.SAFE, 100, 5_000);
        call("a", 150, 2_000, false);
        call("a", 1_000, 0, true);
        history.delivered("a", 1_050);
        assertEquals(List.of("sent within a wait"), broken());
        history.down(RELAY, new Span(300, 900));
        assertEquals(List.of(), broken());
    }

    @Test
    void aDrainBindsAfterItIsToldAndLaterWhereTheRelayWasInTrouble() {
        history.draining(ENDPOINT, new Span(1_000, 12_000));
        takenOn("a", Effect.SAFE, 100, 9_000);
        call("a", 4_000, 0, true);
        history.delivered("a", 4_050);
        assertEquals(List.of("sent while draining"), broken());
        history.troubled(RELAY, new Span(900, 2_000));
        assertEquals(List.of(), broken());
        call("a", 8_800, 0, true);
        assertEquals(List.of("sent while draining"), broken());
    }

    @Test
    void aConnectionCutOffByALivingRelayIsFound() {
        history.handedIn(new History.Message("a", RELAY, DESTINATION, Effect.SAFE, 0, 100, 2_000));
        history.ended("a", 0, true, 150);
        assertEquals(List.of("closed unanswered"), broken());
        history.dead(RELAY, new Span(140, 900));
        assertEquals(List.of(), broken());
    }

    @Test
    void aColdEndpointBearsOnlySoManyCallsOfAllRelaysTogether() {
        history.capacity(ENDPOINT, 20);
        history.outage(ENDPOINT, new Span(4_000, 10_000));
        for (int i = 0; i < 31; i++) {
            history.called(new History.Call(i, ENDPOINT, DESTINATION, "m" + i, 10_000 + i * 60, 0), false);
        }
        assertEquals(List.of(), broken(), "16 calls, 3 roots of that and 3 more");
        history.called(new History.Call(31, ENDPOINT, DESTINATION, "m31", 11_900, 0), false);
        assertEquals(List.of("cold endpoint overrun"), broken());
    }

    @Test
    void anEndpointThatIsWarmOrOutAgainIsNotJudged() {
        history.capacity(ENDPOINT, 20);
        history.outage(ENDPOINT, new Span(4_000, 10_000));
        history.outage(ENDPOINT, new Span(10_500, 60_000));
        for (int i = 0; i < 200; i++) {
            history.called(new History.Call(i, ENDPOINT, DESTINATION, "m" + i, 10_500 + i, 0), false);
            history.called(new History.Call(i, ENDPOINT, DESTINATION, "n" + i, 70_000 + i, 0), false);
        }
        assertEquals(List.of(), broken());
    }

    @Test
    void aNewcomerOfACrowdedRelayMayBeShutUnread() {
        history.handedIn(new History.Message("a", RELAY, DESTINATION, Effect.SAFE, 0, 100, 2_000));
        history.ended("a", 0, true, 150);
        history.crowded(RELAY, new Span(50, 900));
        assertEquals(List.of(), broken());
    }

    @Test
    void aBadPeerMustBeAnsweredOrClosedInTime() {
        history.badPeer(new History.BadPeer(RELAY, "SILENT", 100, 3_000));
        assertEquals(List.of(), broken());
        history.badPeer(new History.BadPeer(RELAY, "SILENT", 100, 3_600));
        history.badPeer(new History.BadPeer(RELAY, "HALF_HEAD", 100, -1));
        assertEquals(List.of("bad peer held", "bad peer held"), broken());
    }

    @Test
    void aRelayThatLivesAndAnswersNobodyIsFound() {
        for (int i = 0; i < 20; i++) {
            String id = "m" + i;
            history.handedIn(new History.Message(id, RELAY, DESTINATION, Effect.SAFE, 0, i * 300L, 2_000));
            history.ended(id, 0, false, i * 300L + 400);
        }
        assertEquals(List.of("nobody served"), broken());
    }
}
