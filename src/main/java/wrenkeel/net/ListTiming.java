package wrenkeel.net;

/**
 * Timeouts and gaps of the calls for the list. They are derived from one requirement: the relay is bound by a
 * change of the list 6 s after the agent had the change and could be reached, or after a watch got no more
 * response; and 4 s after a reload of the settings that changed the agent's address. This holds whatever
 * calls have failed before.
 */
final class ListTiming {
    /** Time after which the relay must act on a change of the list. */
    static final long CHANGE_DEADLINE_MS = 6_000;
    /** The same after a reload has changed the agent's address. */
    static final long CHANGE_DEADLINE_AFTER_RELOAD_MS = 4_000;
    /** Time allowed for the relay to stop sending once it has received the change. */
    static final long STOP_SENDING_WITHIN_MS = 250;
    /** Reserve for stalls of the process: 150 ms when it reads, and again when it writes. */
    static final long STALL_ALLOWANCE_MS = 300;

    /** The agent is on the same machine: a connect that takes longer than this will not succeed. */
    static final long CONNECT_TIMEOUT_MS = 250;
    /** Timeout until the first byte of the response to a call that doesn't wait for a change. */
    static final long RESPONSE_TIMEOUT_MS = 500;
    /** Gap after a call that got no response, or one that is not a list. */
    static final long RETRY_GAP_MS = 100;
    /** Gap after a list that was rejected; it doubles with each further one in a row. */
    static final long FIRST_FAULT_GAP_MS = 100;
    /** How long after the requested wait the response to a watch may come. */
    static final long WATCH_SLACK_MS = 400;

    /**
     * A connect that times out, then a list that is rejected, then the list itself, each as late as
     * possible.
     */
    static final long RECOVERY_MS = CONNECT_TIMEOUT_MS + RETRY_GAP_MS
        + RESPONSE_TIMEOUT_MS + FIRST_FAULT_GAP_MS
        + RESPONSE_TIMEOUT_MS;
    /** The longest wait of a watch that leaves time to detect that it got no response and to recover. */
    static final long WATCH_WAIT_MS = budget(CHANGE_DEADLINE_MS) - WATCH_SLACK_MS - RECOVERY_MS;
    /** The longest gap between rejected lists, which leaves time for a connect that times out after it. */
    static final long MAX_FAULT_GAP_MS = budget(CHANGE_DEADLINE_MS) - RECOVERY_MS;

    private ListTiming() { }

    /** The part of a deadline that remains for the calls. */
    static long budget(long deadlineMs) {
        return deadlineMs - STOP_SENDING_WITHIN_MS - STALL_ALLOWANCE_MS;
    }
}
