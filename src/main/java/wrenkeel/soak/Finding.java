package wrenkeel.soak;

/**
 * A rule that a run has broken.
 *
 * @param rule its short name
 * @param atMillis when, after the traffic's start
 * @param detail what happened to whom
 */
record Finding(String rule, long atMillis, String detail) {
    @Override
    public String toString() {
        return rule + " at " + atMillis + " ms: " + detail;
    }
}
