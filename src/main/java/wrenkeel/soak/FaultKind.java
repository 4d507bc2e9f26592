package wrenkeel.soak;

/**
 * The kinds of faults that a run injects. Each is aimed at one relay or one endpoint and has a range of
 * durations. Schedules draw kinds by their number and print their names, so order and names are fixed.
 */
enum FaultKind {
    /** SIGKILL to the relay, which is restarted 0.6 s later. */
    KILL(Target.RELAY, 0, 0),
    /** SIGTERM, and SIGKILL 3.7 s later if the process still runs; restarted 0.6 s after that. */
    TERMINATE(Target.RELAY, 0, 0),
    /** Like {@link #TERMINATE}, with a SIGHUP and a second SIGTERM 0.3 s after the first. */
    TERMINATE_TWICE(Target.RELAY, 0, 0),
    /** SIGTERM, and SIGKILL 0.6 s later, during the orderly shutdown; restarted 0.6 s after that. */
    KILL_WHILE_LEAVING(Target.RELAY, 0, 0),
    /** Like {@link #TERMINATE_TWICE}, with another SIGKILL and restart 0.6 s after the relay serves. */
    SIGNAL_SERIES(Target.RELAY, 0, 0),
    /** SIGHUP with a new address of the discovery agent; the old address fails 1.5 s later. */
    RELOAD(Target.RELAY, 0, 0),
    /** The process is stopped for 0.15 s, again and again. */
    PAUSES(Target.RELAY, 500, 3_000),
    /** The relay's wall clock is an hour fast. */
    CLOCK_FORWARD(Target.RELAY, 1_000, 9_000),
    /** The relay's wall clock is an hour slow. */
    CLOCK_BACK(Target.RELAY, 1_000, 9_000),
    /** Some calls of accept fail with ENOBUFS or ENFILE. */
    ACCEPT_FAILS(Target.RELAY, 200, 2_000),
    /** Some calls of connect fail with EADDRNOTAVAIL or ENETUNREACH. */
    CONNECT_FAILS(Target.RELAY, 200, 2_000),
    /** Some calls of socket fail with ENFILE or ENOBUFS. */
    SOCKET_FAILS(Target.RELAY, 200, 2_000),
    /** Some reads of sockets fail with ETIMEDOUT or EHOSTUNREACH. */
    READ_FAILS(Target.RELAY, 200, 2_000),
    /** Writes to the state folder fail with ENOSPC. */
    FOLDER_FULL(Target.RELAY, 500, 4_000),
    /** Writes to the state folder fail with EIO after half of the bytes are written. */
    FOLDER_BREAKS(Target.RELAY, 500, 4_000),
    /** Socket reads and writes transfer only part of the bytes, and some epoll_wait calls fail with EINTR. */
    SHORT_CALLS(Target.RELAY, 1_000, 6_000),
    /** Some writes to sockets are delayed by 0.15 s. */
    LATE_WRITES(Target.RELAY, 500, 3_000),
    /** The link to the relay's discovery agent stops forwarding on all open connections, anew every 1.5 s. */
    AGENT_SILENT(Target.RELAY, 1_000, 7_000),
    /** The link to the relay's discovery agent resets open and new connections. */
    AGENT_RESETS(Target.RELAY, 300, 3_000),
    /** Idle client connections that stay open, more than the relay accepts. */
    CROWD(Target.RELAY, 1_000, 4_000),
    /** Clients that send nothing, half a request or invalid bytes; see {@link BadClient}. */
    BAD_CLIENTS(Target.RELAY, 500, 4_000),
    /** The endpoint accepts calls and does not answer. */
    ENDPOINT_SILENT(Target.ENDPOINT, 1_000, 6_000),
    /** The endpoint has no listener and so refuses connections. */
    ENDPOINT_DOWN(Target.ENDPOINT, 1_000, 6_000),
    /** The endpoint answers 500 without delay. */
    ENDPOINT_FAILS(Target.ENDPOINT, 1_000, 6_000),
    /** The endpoint answers all calls with 429 and Retry-After. */
    ENDPOINT_SHUT(Target.ENDPOINT, 500, 3_000),
    /** The list shows the endpoint as draining, and as ready after that. */
    ENDPOINT_DRAINS(Target.ENDPOINT, 7_000, 10_000),
    /** The link to the endpoint forwards nothing in either direction. */
    LINK_SILENT(Target.ENDPOINT, 500, 5_000),
    /** The link to the endpoint resets connections in the middle of a response. */
    LINK_CUTS(Target.ENDPOINT, 500, 5_000),
    /** The link to the endpoint delays the first bytes of each new connection. */
    LINK_LATE(Target.ENDPOINT, 500, 5_000);

    /** What a fault is aimed at. */
    enum Target { RELAY, ENDPOINT }

    private final Target target;
    private final int minDurationMillis;
    private final int maxDurationMillis;

    FaultKind(Target target, int minDurationMillis, int maxDurationMillis) {
        this.target = target;
        this.minDurationMillis = minDurationMillis;
        this.maxDurationMillis = maxDurationMillis;
    }

    Target target() {
        return target;
    }

    int minDurationMillis() {
        return minDurationMillis;
    }

    int maxDurationMillis() {
        return maxDurationMillis;
    }

    /** True for kinds that end the relay's process and start it again. */
    boolean endsProcess() {
        return switch (this) {
            case KILL, TERMINATE, TERMINATE_TWICE, KILL_WHILE_LEAVING, SIGNAL_SERIES -> true;
            default -> false;
        };
    }
}
