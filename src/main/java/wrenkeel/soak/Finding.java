package wrenkeel.soak;

/**
 * One violation of a rule that was found in a run. A seed is reported by its findings, so the texts of the
 * rules stay the same across versions.
 *
 * @param rule short name of the rule
 * @param atMillis time of the violation, ms since the start of the traffic
 * @param detail the message, relay or endpoint concerned, and the values that broke the rule
 */
record Finding(String rule, long atMillis, String detail) {
    @Override
    public String toString() {
        return rule + " at " + atMillis + " ms: " + detail;
    }
}
