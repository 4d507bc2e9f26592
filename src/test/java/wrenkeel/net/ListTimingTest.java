package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

/**
 * Even after the worst sequences of failed calls, the relay has received a change of the list before it is
 * bound by the change.
 */
class ListTimingTest {
    /** A connect that times out, and the gap after it. */
    private static final long FAILED_CONNECT_MS = ListTiming.CONNECT_TIMEOUT_MS + ListTiming.RETRY_GAP_MS;
    /** A call that gets no response, and the gap after it. */
    private static final long UNANSWERED_CALL_MS = ListTiming.RESPONSE_TIMEOUT_MS + ListTiming.RETRY_GAP_MS;
    /** A list that comes as late as possible and is rejected, and the gap after it. */
    private static final long REJECTED_LIST_MS = ListTiming.RESPONSE_TIMEOUT_MS
        + ListTiming.FIRST_FAULT_GAP_MS;
    /** A good list that comes as late as possible. */
    private static final long GOOD_LIST_MS = ListTiming.RESPONSE_TIMEOUT_MS;

    @Test
    void listArrivesInTimeAfterSilentWatchFailedConnectAndRejectedList() {
        long silentWatchMs = ListTiming.WATCH_WAIT_MS + ListTiming.WATCH_SLACK_MS;
        long worstCaseMs = silentWatchMs + FAILED_CONNECT_MS + REJECTED_LIST_MS + GOOD_LIST_MS;
        assertTrue(worstCaseMs <= ListTiming.budget(ListTiming.CHANGE_DEADLINE_MS), worstCaseMs + " ms");
    }

    @Test
    void listArrivesInTimeAfterTheLongestFaultGap() {
        long worstCaseMs = ListTiming.MAX_FAULT_GAP_MS + FAILED_CONNECT_MS + UNANSWERED_CALL_MS
            + GOOD_LIST_MS;
        assertTrue(worstCaseMs <= ListTiming.budget(ListTiming.CHANGE_DEADLINE_MS), worstCaseMs + " ms");
    }

    @Test
    void listArrivesInTimeAfterAReload() {
        long worstCaseMs = ListTiming.RETRY_GAP_MS + FAILED_CONNECT_MS + UNANSWERED_CALL_MS + REJECTED_LIST_MS
            + GOOD_LIST_MS;
        assertTrue(worstCaseMs <= ListTiming.budget(ListTiming.CHANGE_DEADLINE_AFTER_RELOAD_MS),
            worstCaseMs + " ms");
    }

    @Test
    void watchesAreLongEnoughAndGapsAreNotZero() {
        assertTrue(ListTiming.WATCH_WAIT_MS >= 2_000, "shorter watches would cost too many calls");
        assertTrue(ListTiming.RETRY_GAP_MS > 0 && ListTiming.FIRST_FAULT_GAP_MS > 0);
    }
}
