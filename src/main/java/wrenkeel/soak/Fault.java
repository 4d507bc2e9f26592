package wrenkeel.soak;

/**
 * One fault of a schedule.
 *
 * @param startMillis time at which it begins, ms since the start of the traffic
 * @param durationMillis how long it lasts; 0 for kinds without a duration, which end by themselves
 * @param targetNumber number of the relay or endpoint that it is aimed at
 * @param variant random number from 0 to 65,535 that selects what the kind leaves open, such as the error
 */
record Fault(FaultKind kind, int startMillis, int durationMillis, int targetNumber, int variant) {
    @Override
    public String toString() {
        return String.format("%6d ms  %-18s %s %d%s", startMillis, kind, kind.target().name().toLowerCase(),
            targetNumber, durationMillis == 0 ? "" : ", " + durationMillis + " ms");
    }
}
