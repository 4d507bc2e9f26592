package wrenkeel.net;

/**
 * How a relay divides its limit of file descriptors between connections from clients and connections to
 * hosts. However many clients connect and however many slots are configured, the descriptors that the rest of
 * the process needs stay free.
 */
record DescriptorBudget(int clientConnections, int hostConnections) {
    /** Held by the process itself: the runtime's files, selectors, listeners and the journal. */
    static final int PROCESS_DESCRIPTORS = 30;
    /** Connections to discovery, for the watch and for notices; during a reload also the previous ones. */
    static final int DISCOVERY_CONNECTIONS = 4;
    /** Operators' connections, and a new one for which another is about to be closed. */
    static final int CONSOLE_CONNECTIONS = Console.MAX_CONNECTIONS + 1;
    /** Connections that are accepted and about to be closed, or closed and not yet released. */
    static final int CLOSING_CONNECTIONS = 16;
    /** Descriptors that are kept for the rest of the process. */
    static final int RESERVED = PROCESS_DESCRIPTORS + DISCOVERY_CONNECTIONS + CONSOLE_CONNECTIONS
        + CLOSING_CONNECTIONS;

    /** The smallest usable limit; it leaves one connection for clients and two for hosts. */
    static final int MIN_LIMIT = RESERVED + 3;

    /** Clients get at most 1/3 of the limit. */
    private static final int CLIENT_SHARE_DIVISOR = 3;
    /** Hosts get at least 1/5 of the limit, unless that is more than the clients leave. */
    private static final int HOST_SHARE_DIVISOR = 5;

    /** Divides a limit, given the number of calls that the relay may have in flight at once. */
    static DescriptorBudget of(int limit, int slots) {
        int free = limit - RESERVED;
        int clients = Math.min(limit / CLIENT_SHARE_DIVISOR, free / 2);
        // Every call must get a connection, because only idle connections are closed to stay within the
        // share.
        int wanted = Math.max(slots + slots / 4, limit / HOST_SHARE_DIVISOR);
        return new DescriptorBudget(clients, Math.min(wanted, free - clients));
    }
}
