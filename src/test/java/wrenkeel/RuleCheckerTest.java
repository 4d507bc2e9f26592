package wrenkeel;

import static org.junit.jupiter.api.Assertions.*;
import static wrenkeel.ScriptedRelay.*;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wrenkeel.Relay.*;

/** Checks that {@link RuleChecker} reports a violation of each of its numbered rules. */
class RuleCheckerTest {
    private final RuleChecker checker = new RuleChecker(testSettings(8, true, 1));
    /** The time of all events and, unless said otherwise, actions. */
    private static final long NOW = 10 * SECOND;

    @BeforeEach
    void listEndpoints() {
        checker.recordEvent(NOW,
            new ListUpdated(ListKind.WHOLE, List.of(endpoint(1, 0, 0, 1, 2), endpoint(2, 1, 0, 1, 2))));
    }

    private void accept(String id, int messageClass, String key) {
        checker.recordEvent(NOW, new MessageAccepted(id, messageClass, 0, key, NOW + 5 * SECOND, 1));
    }

    /** Expects a violation of the rule of this number. */
    private void assertViolation(String rule, Runnable action) {
        AssertionError error = assertThrows(AssertionError.class, action::run);
        assertTrue(error.getMessage().startsWith("rule " + rule), error.getMessage());
    }

    @Test
    void missingAndSecondFinalAnswersAreReported() {
        accept("a", 0, null);
        checker.checkDeadlines(NOW + 5 * SECOND);
        assertViolation("1", () -> checker.checkDeadlines(NOW + 6 * SECOND));
        checker.checkAction(NOW, new Fail("a"));
        assertViolation("1", () -> checker.checkAction(NOW, new Refuse("a", 0)));
        assertViolation("1", () -> checker.checkAction(NOW, new Send("a", 1, SECOND)));
    }

    @Test
    void possibleDoubleEffectsAreReported() {
        accept("u", 2, null);
        checker.checkAction(NOW, new Send("u", 1, SECOND));
        assertViolation("2", () -> checker.checkAction(NOW, new Send("u", 2, SECOND)));
        assertViolation("2", () -> checker.checkAction(NOW, new Refuse("u", 0)));
        accept("k", 3, null);
        checker.checkAction(NOW, new Send("k", 1, SECOND));
        assertViolation("2", () -> checker.checkAction(NOW, new Send("k", 2, SECOND)));
        assertViolation("2", () -> checker.checkAction(NOW, new Refuse("k", 0)));
    }

    @Test
    void sendToADrainingEndpointIsReported() {
        accept("a", 0, null);
        checker.recordEvent(NOW,
            new ListUpdated(ListKind.CHANGES, List.of(new Endpoint(1, 0, 0, 1, Listing.DRAINING, 2))));
        assertViolation("3", () -> checker.checkAction(NOW + SECOND, new Send("a", 1, SECOND)));
    }

    @Test
    void overloadOfAReturningEndpointIsReported() {
        checker.coldSince.put(1L, NOW);
        for (int i = 0; i < 2; i++) {
            accept("a" + i, 0, null);
            checker.checkAction(NOW, new Send("a" + i, 1, SECOND));
        }
        accept("b", 0, null);
        assertViolation("4", () -> checker.checkAction(NOW, new Send("b", 1, SECOND)));
    }

    @Test
    void sendBeforeTheEndOfAWaitIsReported() {
        accept("a", 0, null);
        checker.checkAction(NOW, new Send("a", 1, SECOND));
        checker.recordEvent(NOW, new AttemptEnded("a", 0, 1, Outcome.FULL, false, SECOND, 1, -1, -1));
        assertViolation("5", () -> checker.checkAction(NOW + SECOND / 2, new Send("a", 2, SECOND)));
    }

    @Test
    void sendOutOfKeyOrderIsReported() {
        accept("a", 2, "k");
        accept("b", 2, "k");
        assertViolation("6", () -> checker.checkAction(NOW, new Send("b", 1, SECOND)));
        checker.checkAction(NOW, new Send("a", 1, SECOND));
        checker.recordEvent(NOW, new AttemptEnded("a", 0, 1, Outcome.TIMEOUT, true, 0, 1, -1, -1));
        assertViolation("6", () -> checker.checkAction(NOW, new Send("b", 1, SECOND)));
        checker.checkAction(NOW + SECOND, new Send("b", 1, SECOND));
    }
}
