package wrenkeel.soak;

/**
 * One trouble of a schedule.
 *
 * @param startMillis after the traffic's start
 * @param lengthMillis how long it lasts; 0 for those that are over by themselves
 * @param subject number of the relay or the endpoint
 * @param choice for what the kind leaves open, such as which error
 */
record Trouble(TroubleKind kind, int startMillis, int lengthMillis, int subject, int choice) {
    @Override
    public String toString() {
        return String.format("%6d ms  %-18s %s %d%s", startMillis, kind, kind.target().name().toLowerCase(),
            subject, lengthMillis == 0 ? "" : ", " + lengthMillis + " ms");
    }
}
