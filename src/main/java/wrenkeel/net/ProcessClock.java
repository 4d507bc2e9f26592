package wrenkeel.net;

/** Unix time as this process reckons it. Any thread may read it. */
final class ProcessClock {
    private final MachineClock machine;

    ProcessClock(MachineClock machine) {
        this.machine = machine;
    }

    /** The clock of a process on this machine. */
    static ProcessClock system() {
        return new ProcessClock(MachineClock.SYSTEM);
    }

    /** Unix time in milliseconds. */
    long millis() {
        return machine.wallMillis();
    }
}
