package wrenkeel.net;

/**
 * Accounts for the bytes in the state folder, so that the journals of all processes stay within its limit.
 *
 * <p>One process alone keeps room for a second copy of what is open, which a rewrite of its file or the next
 * process needs. While two processes share the folder, the file of the one that hands over stays until that
 * process has ended, and the other one copies what is open into its own file. So the shares are such that
 * both files and the handover snapshot fit: twice the shares of open messages, of health, of completed
 * messages and of the handover, and the rest for the snapshot. Not thread-safe.
 */
final class JournalSpace {
    /** Bytes of the limit that stay unused, because the file system rounds sizes up. */
    private static final long LIMIT_MARGIN_BYTES = 32_768;
    /** Share of the capacity that open messages may reserve. */
    private static final double OPEN_MESSAGES_SHARE = 0.355;
    /** Share of the capacity that the health of endpoints may take. */
    private static final double HEALTH_SHARE = 0.05;
    /** Share of the capacity that the records of messages that are over may take in a rewritten file. */
    private static final double COMPLETIONS_SHARE = 0.02;
    /** Share of the capacity that a process may reserve in addition while it hands over. */
    private static final double HANDOVER_SHARE = 0.05;
    /** Largest share of the capacity that the handover snapshot may take. */
    private static final double MAX_SNAPSHOT_SHARE = 0.125;
    /** Share of the capacity by which the file must have grown before another rewrite is worth its cost. */
    private static final double MIN_GROWTH_SHARE = 1.0 / 32;

    private final long capacityBytes;
    private long fileBytes;
    /** Size of the file after the latest rewrite. */
    private long rewrittenBytes;
    /** Bytes for all the records that the open messages may need. */
    private long reservedBytes;
    private long healthBytes;
    /** Whether messages are passed on: their records stay in the file, and their space is not released. */
    private boolean handingOver;
    /** Limit of {@link #reservedBytes} during the handover. */
    private long handoverLimitBytes;

    /** {@code limitBytes}: bytes that the files in the folder may take. */
    JournalSpace(long limitBytes) {
        capacityBytes = limitBytes - LIMIT_MARGIN_BYTES;
    }

    /** The file was rewritten and has this size now. */
    void rewritten(long bytes) {
        fileBytes = bytes;
        rewrittenBytes = bytes;
    }

    /** Records were written at the end of the file. */
    void appended(long bytes) {
        fileBytes += bytes;
    }

    /** A message was accepted or adopted. */
    void reserve(long bytes) {
        reservedBytes += bytes;
    }

    /** A message was closed or passed on. */
    void release(long bytes) {
        if (!handingOver) {
            reservedBytes -= bytes;
        }
    }

    /** The total size of the health records has changed. */
    void healthChanged(long bytes) {
        healthBytes += bytes;
    }

    /** Whether the health records may grow by so many bytes. */
    boolean hasRoomForHealth(long bytes) {
        return healthBytes + bytes <= capacityBytes * HEALTH_SHARE;
    }

    /** Returns how many bytes the records of messages that are over may take in a file. */
    long maxCompletionBytes() {
        return (long) (capacityBytes * COMPLETIONS_SHARE);
    }

    /** The process begins to hand over: its file is not rewritten any more. */
    void beginHandover() {
        handingOver = true;
        handoverLimitBytes = reservedBytes + handoverBytes();
    }

    private long handoverBytes() {
        return (long) (capacityBytes * HANDOVER_SHARE);
    }

    /**
     * Returns the size of the handover snapshot that fits beside this process's file and the next one's copy
     * of it.
     *
     * @param othersBytes bytes that the files of earlier processes take
     */
    long maxSnapshotBytes(long othersBytes) {
        long copies = 2 * (handoverLimitBytes + healthBytes + maxCompletionBytes());
        long most = (long) (capacityBytes * MAX_SNAPSHOT_SHARE);
        return Math.max(0, Math.min(most, capacityBytes - othersBytes - copies));
    }

    /** Returns how much an earlier process that lives may still add to the folder, with a copy of it. */
    long growthOfLivingProcess() {
        return 2 * handoverBytes();
    }

    /**
     * Whether the open messages may reserve so many more bytes.
     *
     * @param unadoptedBytes what the messages of earlier processes will reserve once they are adopted
     */
    boolean mayReserve(long bytes, long unadoptedBytes) {
        return handingOver ? reservedBytes + bytes <= handoverLimitBytes
            : reservedBytes + unadoptedBytes + bytes <= capacityBytes * OPEN_MESSAGES_SHARE;
    }

    /**
     * Whether the folder has room for so many bytes, and for a copy of all that is open beside them.
     *
     * @param othersBytes bytes that the files of earlier processes take
     */
    boolean hasRoomFor(long bytes, long othersBytes) {
        return othersBytes + fileBytes + bytes + reservedBytes + healthBytes + maxCompletionBytes()
            <= capacityBytes;
    }

    /** Whether the file has grown enough to be rewritten, and the new file fits beside the old one. */
    boolean isRewriteWorthwhile(long othersBytes) {
        return fileBytes - rewrittenBytes >= capacityBytes * MIN_GROWTH_SHARE && hasRoomFor(0, othersBytes);
    }
}
