package wrenkeel;

import static org.junit.jupiter.api.Assertions.*;
import static wrenkeel.ScriptedRelay.*;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wrenkeel.Relay.*;

/** The checker is itself fed a breach of each rule. */
class RuleCheckerTest {
    private final RuleChecker c = new RuleChecker(settings(8, true, 1));
    private static final long T = 10 * SECOND;

    @BeforeEach
    void list() {
        c.recordEvent(T, new Listed(ListKind.WHOLE, List.of(endpoint(1, 0, 0, 1, 2), endpoint(2, 1, 0, 1, 2))));
    }

    private void take(String id, int cls, String key) {
        c.recordEvent(T, new Accepted(id, cls, 0, key, T + 5 * SECOND, 1));
    }

    private void breach(String rule, Runnable act) {
        AssertionError e = assertThrows(AssertionError.class, act::run);
        assertTrue(e.getMessage().startsWith("rule " + rule), e.getMessage());
    }

    @Test
    void lostOrDoublyAnsweredMessage() {
        take("a", 0, null);
        c.checkDeadlines(T + 5 * SECOND);
        breach("1", () -> c.checkDeadlines(T + 6 * SECOND));
        c.checkAction(T, new Fail("a"));
        breach("1", () -> c.checkAction(T, new Refuse("a", 0)));
        breach("1", () -> c.checkAction(T, new Send("a", 1, SECOND)));
    }

    @Test
    void doubledEffect() {
        take("u", 2, null);
        c.checkAction(T, new Send("u", 1, SECOND));
        breach("2", () -> c.checkAction(T, new Send("u", 2, SECOND)));
        breach("2", () -> c.checkAction(T, new Refuse("u", 0)));
        take("k", 3, null);
        c.checkAction(T, new Send("k", 1, SECOND));
        breach("2", () -> c.checkAction(T, new Send("k", 2, SECOND)));
        breach("2", () -> c.checkAction(T, new Refuse("k", 0)));
    }

    @Test
    void sendAfterDrain() {
        take("a", 0, null);
        c.recordEvent(T, new Listed(ListKind.CHANGES, List.of(new Endpoint(1, 0, 0, 1, Listing.DRAINING, 2))));
        breach("3", () -> c.checkAction(T + SECOND, new Send("a", 1, SECOND)));
    }

    @Test
    void pushedReturn() {
        c.coldSince.put(1L, T);
        for (int i = 0; i < 2; i++) {
            take("a" + i, 0, null);
            c.checkAction(T, new Send("a" + i, 1, SECOND));
        }
        take("b", 0, null);
        breach("4", () -> c.checkAction(T, new Send("b", 1, SECOND)));
    }

    @Test
    void sendInsideWait() {
        take("a", 0, null);
        c.checkAction(T, new Send("a", 1, SECOND));
        c.recordEvent(T, new Ended("a", 0, 1, Outcome.FULL, false, SECOND, 1, -1, -1));
        breach("5", () -> c.checkAction(T + SECOND / 2, new Send("a", 2, SECOND)));
    }

    @Test
    void orderOfKeys() {
        take("a", 2, "k");
        take("b", 2, "k");
        breach("6", () -> c.checkAction(T, new Send("b", 1, SECOND)));
        c.checkAction(T, new Send("a", 1, SECOND));
        c.recordEvent(T, new Ended("a", 0, 1, Outcome.TIMEOUT, true, 0, 1, -1, -1));
        breach("6", () -> c.checkAction(T, new Send("b", 1, SECOND)));
        c.checkAction(T + SECOND, new Send("b", 1, SECOND));
    }
}
