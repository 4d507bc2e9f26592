package wrenkeel.soak;

/** What can go wrong during a run; each has a length and is aimed at one relay or one endpoint. */
enum FaultKind {
    /** SIGKILL; started again 0.6 s later. */
    KILL(Target.RELAY, 0, 0),
    /** SIGTERM, SIGKILL 3.7 s later if it still runs; started again 0.6 s after that. */
    TERMINATE(Target.RELAY, 0, 0),
    /** The same, with a second SIGTERM and a SIGHUP in between. */
    TERMINATE_TWICE(Target.RELAY, 0, 0),
    /** SIGKILL in the middle of the orderly end. */
    KILL_WHILE_LEAVING(Target.RELAY, 0, 0),
    /** SIGTERM twice, SIGHUP, SIGKILL; started again, and SIGKILL once more soon after that. */
    SIGNAL_SERIES(Target.RELAY, 0, 0),
    /** SIGHUP with another address of discovery; the old one closes 1.5 s later. */
    RELOAD(Target.RELAY, 0, 0),
    /** Held up for 0.15 s, again and again. */
    PAUSES(Target.RELAY, 500, 3_000),
    /** The wall clock an hour ahead. */
    CLOCK_FORWARD(Target.RELAY, 1_000, 9_000),
    /** The wall clock an hour behind. */
    CLOCK_BACK(Target.RELAY, 1_000, 9_000),
    /** accept fails some times by ENOBUFS or ENFILE. */
    ACCEPT_FAILS(Target.RELAY, 200, 2_000),
    /** connect fails some times by EADDRNOTAVAIL or ENETUNREACH. */
    CONNECT_FAILS(Target.RELAY, 200, 2_000),
    /** socket fails some times by ENFILE or ENOBUFS. */
    SOCKET_FAILS(Target.RELAY, 200, 2_000),
    /** Reads of sockets fail some times by ETIMEDOUT or EHOSTUNREACH. */
    READ_FAILS(Target.RELAY, 200, 2_000),
    /** Writes to the lasting folder fail by ENOSPC. */
    FOLDER_FULL(Target.RELAY, 500, 4_000),
    /** Writes to the lasting folder fail by EIO, each half done. */
    FOLDER_BREAKS(Target.RELAY, 500, 4_000),
    /** Reads and writes of sockets are short, waits return EINTR. */
    SHORT_CALLS(Target.RELAY, 1_000, 6_000),
    /** Writes to sockets come 0.15 s late, some times. */
    LATE_WRITES(Target.RELAY, 500, 3_000),
    /** The relay's agent falls silent on open connections and new ones. */
    AGENT_SILENT(Target.RELAY, 1_000, 7_000),
    /** The relay's agent resets connections. */
    AGENT_RESETS(Target.RELAY, 300, 3_000),
    /** Clients that connect, say nothing and stay, more than the relay has descriptors for. */
    CROWD(Target.RELAY, 1_000, 4_000),
    /** Clients that send half a request, nothing, or garbage. */
    BAD_CLIENTS(Target.RELAY, 500, 4_000),
    /** The endpoint takes calls and does not answer. */
    ENDPOINT_SILENT(Target.ENDPOINT, 1_000, 6_000),
    /** The endpoint has no listener. */
    ENDPOINT_DOWN(Target.ENDPOINT, 1_000, 6_000),
    /** The endpoint answers 500 at once. */
    ENDPOINT_FAILS(Target.ENDPOINT, 1_000, 6_000),
    /** The endpoint turns all calls away and tells to wait. */
    ENDPOINT_SHUT(Target.ENDPOINT, 500, 3_000),
    /** The endpoint drains by the list, and is ready again after that. */
    ENDPOINT_DRAINS(Target.ENDPOINT, 7_000, 10_000),
    /** The link to the endpoint falls silent both ways. */
    LINK_SILENT(Target.ENDPOINT, 500, 5_000),
    /** The link to the endpoint resets connections in the middle of an answer. */
    LINK_CUTS(Target.ENDPOINT, 500, 5_000),
    /** Connections over the link come up late. */
    LINK_LATE(Target.ENDPOINT, 500, 5_000);

    /** What a trouble is aimed at. */
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

    /** True where the relay's process ends and begins anew. */
    boolean endsProcess() {
        return switch (this) {
            case KILL, TERMINATE, TERMINATE_TWICE, KILL_WHILE_LEAVING, SIGNAL_SERIES -> true;
            default -> false;
        };
    }
}
