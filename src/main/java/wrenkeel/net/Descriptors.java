package wrenkeel.net;

/**
 * How a relay shares out the descriptors that it may hold: connections of clients, and to hosts. Neither
 * can use up what the rest of the process needs, whoever connects and however many slots there are.
 */
record Descriptors(int clients, int hosts) {
    /** What the process itself holds open: the runtime's files, selectors, listeners and the journal. */
    static final int PROCESS = 30;
    /** Connections to discovery, for the watch and for notices; at a reload also those of before. */
    static final int DISCOVERY = 4;
    /** Operators' connections, with a newcomer for which another is about to close. */
    static final int OPERATORS = Console.MAX_CONNECTIONS + 1;
    /** Connections that are accepted and about to be closed, or closed and not yet let go. */
    static final int CLOSING = 16;
    static final int RESERVED = PROCESS + DISCOVERY + OPERATORS + CLOSING;

    /** The smallest limit with which a relay can work: a connection for clients and one for hosts. */
    static final int LIMIT_LEAST = RESERVED + 3;

    private static final int CLIENTS_PART = 3, HOSTS_PART = 5;

    /** {@code slots}: calls that a relay may have out at once. */
    static Descriptors of(int limit, int slots) {
        int free = limit - RESERVED;
        int clients = Math.min(limit / CLIENTS_PART, free / 2);
        // A call must not want for a connection: only those that carry none are closed for the share.
        int wanted = Math.max(slots + slots / 4, limit / HOSTS_PART);
        return new Descriptors(clients, Math.min(wanted, free - clients));
    }
}
