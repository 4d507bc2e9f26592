package wrenkeel.net;

/**
 * How a relay shares out the descriptors that it may hold: connections of clients, and to hosts. The rest is
 * for the operators' connections, for what the process itself holds open (under 30: the runtime's files,
 * selectors, listeners, the journal, discovery), and for connections that are closed but not yet let go.
 */
record Descriptors(int clients, int hosts) {
    static Descriptors of(int limit, int slots) {
        // A call must not want for a connection: only those that carry none are closed for the share.
        return new Descriptors(limit / 3, Math.max(slots + slots / 4, limit / 5));
    }
}
