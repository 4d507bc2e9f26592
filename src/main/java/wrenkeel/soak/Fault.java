package wrenkeel.soak;

/**
 * One trouble of a schedule.
 *
 * @param startMillis after the traffic's start
 * @param durationMillis how long it lasts; 0 for those that are over by themselves
 * @param targetNumber number of the relay or the endpoint
 * @param variant for what the kind leaves open, such as which error
 */
record Fault(FaultKind kind, int startMillis, int durationMillis, int targetNumber, int variant) {
    @Override
    public String toString() {
        return String.format("%6d ms  %-18s %s %d%s", startMillis, kind, kind.target().name().toLowerCase(),
            targetNumber, durationMillis == 0 ? "" : ", " + durationMillis + " ms");
    }
}
