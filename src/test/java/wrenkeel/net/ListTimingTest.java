package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

/** The worst sequences of steps on the way to the list stay within the time after which it counts as told. */
class ListTimingTest {
    private static final long FAILED_CONNECT_MS = ListTiming.CONNECT_TIMEOUT_MS + ListTiming.RETRY_GAP_MS;
    private static final long UNANSWERED_CALL_MS = ListTiming.RESPONSE_TIMEOUT_MS + ListTiming.RETRY_GAP_MS;
    private static final long REJECTED_LIST_MS = ListTiming.RESPONSE_TIMEOUT_MS + ListTiming.FIRST_FAULT_GAP_MS;
    private static final long GOOD_LIST_MS = ListTiming.RESPONSE_TIMEOUT_MS;

    @Test
    void listArrivesInTimeAfterSilentWatchFailedConnectAndRejectedList() {
        long silentWatchMs = ListTiming.WATCH_WAIT_MS + ListTiming.WATCH_SLACK_MS;
        long worstCaseMs = silentWatchMs + FAILED_CONNECT_MS + REJECTED_LIST_MS + GOOD_LIST_MS;
        assertTrue(worstCaseMs <= ListTiming.budget(ListTiming.CHANGE_DEADLINE_MS), worstCaseMs + " ms");
    }

    @Test
    void listArrivesInTimeAfterTheLongestFaultGap() {
        long worstCaseMs = ListTiming.MAX_FAULT_GAP_MS + FAILED_CONNECT_MS + UNANSWERED_CALL_MS + GOOD_LIST_MS;
        assertTrue(worstCaseMs <= ListTiming.budget(ListTiming.CHANGE_DEADLINE_MS), worstCaseMs + " ms");
    }

    @Test
    void listArrivesInTimeAfterAReload() {
        long worstCaseMs = ListTiming.RETRY_GAP_MS + FAILED_CONNECT_MS + UNANSWERED_CALL_MS + REJECTED_LIST_MS + GOOD_LIST_MS;
        assertTrue(worstCaseMs <= ListTiming.budget(ListTiming.CHANGE_DEADLINE_AFTER_RELOAD_MS), worstCaseMs + " ms");
    }

    @Test
    void watchesAreLongEnoughAndGapsAreNotZero() {
        assertTrue(ListTiming.WATCH_WAIT_MS >= 2_000, "a watch is worth its calls");
        assertTrue(ListTiming.RETRY_GAP_MS > 0 && ListTiming.FIRST_FAULT_GAP_MS > 0);
    }
}
