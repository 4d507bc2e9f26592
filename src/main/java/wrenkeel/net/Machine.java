package wrenkeel.net;

/** What a relay uses of the machine beneath it, so that a test can let it fail. */
record Machine(MachineClock clock, FileOperations files, ListeningSockets sockets) {
    static final Machine SYSTEM = new Machine(MachineClock.SYSTEM, FileOperations.SYSTEM,
        ListeningSockets.SYSTEM);
}
