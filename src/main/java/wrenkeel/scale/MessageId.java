package wrenkeel.scale;

/**
 * The message id that stand-in clients send in {@code X-Request-ID}. Relays forward it unchanged, so a
 * destination can derive from it which message arrived and with what delay.
 *
 * @param sequence number of the message in the run, from 0, in the order of due times
 * @param dueNanos time at which it was due to be sent, by {@link System#nanoTime}
 */
public record MessageId(long sequence, long dueNanos) {
    /** The id as sent: both numbers in hexadecimal, separated by a dash. */
    public String text() {
        return Long.toHexString(sequence) + "-" + Long.toHexString(dueNanos);
    }

    /** Parses an id; null for one that was not written by a stand-in client. */
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
