package wrenkeel.net;

/**
 * How long the relay may wait at each step on its way to the list, all derived from one bound: what
 * discovery has to tell counts as told 6 s after discovery had it and could be reached, or after a watch
 * fell silent, and 4 s after a reload, whatever failed before.
 */
final class ListTiming {
    /** Time after which a change counts as told. */
    static final long CHANGE_DEADLINE_MS = 6_000;
    /** The same, after a reload has named another address. */
    static final long CHANGE_DEADLINE_AFTER_RELOAD_MS = 4_000;
    /** Time that the relay has to stop sending once it has the change. */
    static final long STOP_SENDING_WITHIN_MS = 250;
    /** Kept free for a relay that is held up for 150 ms as it reads, and again as it writes. */
    static final long STALL_ALLOWANCE_MS = 300;

    /** A connect to the agent on the same machine that takes longer never comes up. */
    static final long CONNECT_TIMEOUT_MS = 250;
    /** How long the first byte of an answer that need not wait is awaited. */
    static final long RESPONSE_TIMEOUT_MS = 500;
    /** Gap after a call that had no answer, or none that was a list. */
    static final long RETRY_GAP_MS = 100;
    /** Gap after a first list that could not be taken in; doubled by each further one in a row. */
    static final long FIRST_FAULT_GAP_MS = 100;
    /** How long past its wait the answer to a watch is awaited. */
    static final long WATCH_SLACK_MS = 400;

    /** A connect that never comes up, a refused list, then the list itself: each at its latest. */
    static final long RECOVERY_MS = CONNECT_TIMEOUT_MS + RETRY_GAP_MS
        + RESPONSE_TIMEOUT_MS + FIRST_FAULT_GAP_MS
        + RESPONSE_TIMEOUT_MS;
    /** The longest wait of a watch that leaves time to notice its silence and to recover. */
    static final long WATCH_WAIT_MS = budget(CHANGE_DEADLINE_MS) - WATCH_SLACK_MS - RECOVERY_MS;
    /** The longest gap between lists that cannot be taken in; a connect that never comes up may follow. */
    static final long MAX_FAULT_GAP_MS = budget(CHANGE_DEADLINE_MS) - RECOVERY_MS;

    private ListTiming() { }

    /** What is left of a bound for the calls themselves. */
    static long budget(long deadlineMs) {
        return deadlineMs - STOP_SENDING_WITHIN_MS - STALL_ALLOWANCE_MS;
    }
}
