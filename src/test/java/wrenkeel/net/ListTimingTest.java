package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

/** The worst sequences of steps on the way to the list stay within the time after which it counts as told. */
class ListTimingTest {
    private static final long NEVER_COMES_UP = ListTiming.CONNECT_TIMEOUT_MS + ListTiming.RETRY_GAP_MS;
    private static final long NO_ANSWER = ListTiming.RESPONSE_TIMEOUT_MS + ListTiming.RETRY_GAP_MS;
    private static final long REFUSED_LIST = ListTiming.RESPONSE_TIMEOUT_MS + ListTiming.FIRST_FAULT_GAP_MS;
    private static final long LIST = ListTiming.RESPONSE_TIMEOUT_MS;

    @Test
    void afterASilentWatchAConnectThatHangsAndARefusedListTheListIsThereInTime() {
        long silentWatch = ListTiming.WATCH_WAIT_MS + ListTiming.WATCH_SLACK_MS;
        long worst = silentWatch + NEVER_COMES_UP + REFUSED_LIST + LIST;
        assertTrue(worst <= ListTiming.budget(ListTiming.CHANGE_DEADLINE_MS), worst + " ms");
    }

    @Test
    void afterTheLongestGapBetweenFaultsTheListIsThereInTime() {
        long worst = ListTiming.MAX_FAULT_GAP_MS + NEVER_COMES_UP + NO_ANSWER + LIST;
        assertTrue(worst <= ListTiming.budget(ListTiming.CHANGE_DEADLINE_MS), worst + " ms");
    }

    @Test
    void afterAReloadTheListIsThereInTime() {
        long worst = ListTiming.RETRY_GAP_MS + NEVER_COMES_UP + NO_ANSWER + REFUSED_LIST + LIST;
        assertTrue(worst <= ListTiming.budget(ListTiming.CHANGE_DEADLINE_AFTER_RELOAD_MS), worst + " ms");
    }

    @Test
    void allStepsTakeSomeTimeAndNoneIsEndless() {
        assertTrue(ListTiming.WATCH_WAIT_MS >= 2_000, "a watch is worth its calls");
        assertTrue(ListTiming.RETRY_GAP_MS > 0 && ListTiming.FIRST_FAULT_GAP_MS > 0);
    }
}
