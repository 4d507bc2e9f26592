package wrenkeel.net;

/** The machine's clocks, files and listening sockets, which a test can replace by failing ones. */
record Machine(MachineClock clock, FileOperations files, ListeningSockets sockets) {
    /** The real machine. */
    static final Machine SYSTEM = new Machine(MachineClock.SYSTEM, FileOperations.SYSTEM,
        ListeningSockets.SYSTEM);
}
