package wrenkeel.net;

/**
 * How a relay shares out the descriptors that it may hold: connections of clients, and to hosts. Neither
 * can use up what the rest of the process needs, whoever connects and however many slots there are.
 */
record DescriptorBudget(int clientConnections, int hostConnections) {
    /** What the process itself holds open: the runtime's files, selectors, listeners and the journal. */
    static final int PROCESS_DESCRIPTORS = 30;
    /** Connections to discovery, for the watch and for notices; at a reload also those of before. */
    static final int DISCOVERY_CONNECTIONS = 4;
    /** Operators' connections, with a newcomer for which another is about to close. */
    static final int CONSOLE_CONNECTIONS = Console.CALLERS + 1;
    /** Connections that are accepted and about to be closed, or closed and not yet let go. */
    static final int CLOSING_CONNECTIONS = 16;
    static final int RESERVED = PROCESS_DESCRIPTORS + DISCOVERY_CONNECTIONS + CONSOLE_CONNECTIONS + CLOSING_CONNECTIONS;

    /** The smallest limit with which a relay can work: a connection for clients and one for hosts. */
    static final int MIN_LIMIT = RESERVED + 3;

    private static final int CLIENT_SHARE_DIVISOR = 3, HOST_SHARE_DIVISOR = 5;

    /** {@code slots}: calls that a relay may have out at once. */
    static DescriptorBudget of(int limit, int slots) {
        int free = limit - RESERVED;
        int clients = Math.min(limit / CLIENT_SHARE_DIVISOR, free / 2);
        // A call must not want for a connection: only those that carry none are closed for the share.
        int wanted = Math.max(slots + slots / 4, limit / HOST_SHARE_DIVISOR);
        return new DescriptorBudget(clients, Math.min(wanted, free - clients));
    }
}
