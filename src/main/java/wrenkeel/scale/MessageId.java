package wrenkeel.scale;

/**
 * What the stand-in clients write into {@code X-Request-ID}. Relays pass it on unchanged, so a destination
 * can tell from it alone which message came and how late.
 *
 * @param sequence place among all messages of the run, from 0, in the order in which they were due
 * @param dueNanos when it was to be handed in, by {@link System#nanoTime}
 */
public record MessageId(long sequence, long dueNanos) {
    public String text() {
        return Long.toHexString(sequence) + "-" + Long.toHexString(dueNanos);
    }

    /** Null for an id that no stand-in client has written. */
    public static MessageId parse(String text) {
        int dash = text == null ? -1 : text.indexOf('-');
        if (dash < 1) {
            return null;
        }
        try {
            return new MessageId(Long.parseUnsignedLong(text, 0, dash, 16),
                Long.parseUnsignedLong(text, dash + 1, text.length(), 16));
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
