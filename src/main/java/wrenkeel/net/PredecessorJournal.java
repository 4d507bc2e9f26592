package wrenkeel.net;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Relay;

/**
 * The journal of another process, in general an earlier one, read incrementally while that process may still
 * be writing it.
 */
final class PredecessorJournal {
    private static final Logger LOG = LoggerFactory.getLogger(PredecessorJournal.class);
    /**
     * Bytes of mismatched checksums after which the rest of a file is skipped. Any position in a damaged
     * range may look like the header of a long record, and checking all of them would delay the start for too
     * long.
     */
    private static final long MAX_MISMATCHED_BYTES = 64 << 20;

    final ProcessLease.OtherProcess process;
    /** Open messages that are not adopted yet, by number. */
    final Map<Long, Journal.Entry> entries = new LinkedHashMap<>();
    /** Numbers of the messages that the process has passed on. */
    final Set<Long> passedOn = new HashSet<>();
    /** The messages that the process has adopted itself. */
    final Set<Journal.Origin> adopted = new HashSet<>();
    /** Numbers of processes whose journals hold no open message any more. */
    final Set<Long> emptied = new HashSet<>();
    /** Until when hosts asked to wait, in Unix time by the process's clock (ms), by host. */
    final Map<String, Long> waits = new HashMap<>();
    /** Health of endpoints that is not inherited yet. */
    final Map<String, Journal.EndpointHealth> endpointHealth = new LinkedHashMap<>();
    /** Messages that are over and may have run, and that are not inherited yet; times by its clock. */
    final List<CompletedMessages.Completion> completions = new ArrayList<>();
    /** Those that are inherited, with times by this process's clock; the oldest first. */
    final List<CompletedMessages.Completion> inheritedCompletions = new ArrayList<>();
    /** Null in a journal of a release that did not record its clocks. */
    private ProcessClock.Reading clockReading;
    /** The latest time in the journal: Unix time by the process's clock. */
    private long latestMillis;
    private RecordedTimes times;
    /** Whether the process had ended before the last read. */
    boolean processEnded;
    /** Bytes of the file that have been read or skipped. */
    long readBytes;
    /** Total length of the contents whose checksum did not match. */
    private long mismatchedBytes;

    PredecessorJournal(ProcessLease.OtherProcess process) {
        this.process = process;
    }

    /** Returns the number of the process that writes the journal. */
    long number() {
        return process.number();
    }

    /** Returns what the messages that are not adopted yet will reserve in this process's journal. */
    long unadoptedBytes() {
        return entries.values().stream().mapToLong(entry -> entry.reservedBytes).sum();
    }

    /**
     * Returns how the journal's times convert to this process's clock, from what has been read so far.
     * Once the writing process's clocks are known, which are the first record of a file, the result is
     * final.
     */
    RecordedTimes times(ProcessClock ownClock) {
        if (times != null) {
            return times;
        }
        RecordedTimes current = RecordedTimes.of(ownClock, clockReading, latestMillis);
        times = clockReading == null ? null : current;
        return current;
    }

    private void noteTime(long millis) {
        latestMillis = Math.max(latestMillis, millis);
    }

    /**
     * Reads the records written since the last call. Bytes that form no valid record are left for the
     * next call while the process lives, as they may be still being written; after its end they are
     * skipped. An unfinished record at the end of the file was never acted on. Any other skipped range
     * may have held records of any message before it, all of which then count as possibly processed.
     */
    void readNewRecords() throws IOException {
        ByteBuffer in = ByteBuffer.wrap(process.readJournalFrom(readBytes));
        int skippedBytes = 0;
        boolean unfinished = false;
        while (in.hasRemaining()) {
            byte[] content = nextContent(in);
            if (content == null && !processEnded) {
                return;
            }
            if (content == null) {
                boolean limitExceeded = mismatchedBytes > MAX_MISMATCHED_BYTES;
                unfinished = !limitExceeded && (skippedBytes == 0 ? isUnfinished(in) : unfinished);
                int skip = limitExceeded ? in.remaining() : 1;
                in.position(in.position() + skip);
                skippedBytes += skip;
                readBytes += skip;
                continue;
            }
            if (skippedBytes > 0) {
                markGap(skippedBytes);
                skippedBytes = 0;
            }
            readBytes += content.length + JournalRecords.HEADER_BYTES;
            replay(content);
        }
        if (skippedBytes > 0 && !unfinished) {
            markGap(skippedBytes);
        } else if (skippedBytes > 0) {
            LOG.warn("journal ends with an unfinished record, {} bytes skipped", skippedBytes);
        }
    }

    /** Reads the next record's content; returns null and reads nothing if no valid record begins here. */
    private byte[] nextContent(ByteBuffer in) {
        if (in.remaining() < JournalRecords.HEADER_BYTES) {
            return null;
        }
        int start = in.position();
        int length = in.getInt(start);
        if (length < JournalRecords.MIN_CONTENT_BYTES || length > JournalRecords.MAX_CONTENT_BYTES
            || length > in.remaining() - JournalRecords.HEADER_BYTES) {
            return null;
        }
        int crc = JournalRecords.crc(in.slice(start + JournalRecords.HEADER_BYTES, length));
        if (crc != in.getInt(start + Integer.BYTES)) {
            mismatchedBytes += length;
            return null;
        }
        byte[] content = new byte[length];
        in.position(start + JournalRecords.HEADER_BYTES).get(content);
        return content;
    }

    /** Whether the rest of the file can be a record of which only the beginning was written. */
    private static boolean isUnfinished(ByteBuffer in) {
        if (in.remaining() < JournalRecords.HEADER_BYTES) {
            return true;
        }
        int length = in.getInt(in.position());
        return length >= JournalRecords.MIN_CONTENT_BYTES && length <= JournalRecords.MAX_CONTENT_BYTES
            && length > in.remaining() - JournalRecords.HEADER_BYTES;
    }

    /** Notes that records may be lost here: any message before this point may have been sent. */
    private void markGap(int bytes) {
        LOG.warn("journal {}: {} bytes are unreadable, {} messages before them may have been processed",
            number(), bytes, entries.size());
        entries.values().forEach(Journal.Entry::markIncomplete);
    }

    /** Replays a record. If it cannot be decoded, that is logged and its message may have been sent. */
    private void replay(byte[] content) {
        try {
            replay(new DataInputStream(new ByteArrayInputStream(content)));
        } catch (IOException | RuntimeException e) {
            long messageNumber = ByteBuffer.wrap(content).getLong(1);
            LOG.warn("journal {}: cannot decode a record of message {}: {}", number(),
                messageNumber, e.toString());
            if (entries.containsKey(messageNumber)) {
                entries.get(messageNumber).markIncomplete();
            }
        }
    }

    private void replay(DataInputStream in) throws IOException {
        byte type = in.readByte();
        long number = in.readLong();
        Journal.Entry entry = entries.get(number);
        switch (type) {
            case JournalRecords.CLOCK -> {
                clockReading = new ProcessClock.Reading(in.readUTF(), in.readLong(), in.readLong());
                noteTime(clockReading.millis());
            }
            case JournalRecords.ACCEPTED_WITHOUT_CLASS ->
                putEntry(new Journal.Entry(number, JournalRecords.readMessage(in), null));
            case JournalRecords.ACCEPTED -> {
                Relay.MessageClass messageClass = JournalRecords.messageClass(in);
                putEntry(new Journal.Entry(number, JournalRecords.readMessage(in), messageClass));
            }
            case JournalRecords.ADOPTED -> adopted.add(new Journal.Origin(in.readLong(), number));
            case JournalRecords.PREDECESSOR_EMPTIED -> emptied.add(number);
            case JournalRecords.PASSED_ON -> passedOn.add(number);
            case JournalRecords.WAIT -> {
                long until = in.readLong();
                waits.put(in.readUTF(), until);
            }
            case JournalRecords.CLOSED -> {
                entries.remove(number);
                if (entry != null) {
                    noteCompletion(entry, JournalRecords.isDelivered(in));
                }
            }
            case JournalRecords.COMPLETED -> completions.add(JournalRecords.completion(in));
            case JournalRecords.ENDPOINT_HEALTH -> {
                Journal.EndpointHealth health = JournalRecords.endpointHealth(in);
                noteTime(health.sinceMillis());
                if (health.health() == Relay.Health.GOOD) {
                    endpointHealth.remove(health.host());
                } else {
                    endpointHealth.put(health.host(), health);
                }
            }
            default -> {
                if (entry != null) {
                    replayForEntry(entry, type, in);
                    entry.attempts.forEach(attempt -> noteTime(attempt.sentMillis));
                }
            }
        }
    }

    private void noteCompletion(Journal.Entry entry, boolean delivered) {
        if (delivered || entry.mayHaveRun()) {
            completions.add(new CompletedMessages.Completion(entry.message.id(), delivered,
                CompletedMessages.retainedUntil(latestMillis, entry.message.deadline())));
        }
    }

    /** Whether the journal has an open message of this id that is not adopted yet. */
    boolean holds(String id) {
        return entries.values().stream().anyMatch(entry -> entry.message.id().equals(id));
    }

    private void putEntry(Journal.Entry entry) throws IOException {
        entry.reservedBytes = JournalRecords.bytesToReserve(entry);
        entries.put(entry.number, entry);
    }

    /** Replays a record that changes an open message. */
    private static void replayForEntry(Journal.Entry entry, byte type, DataInputStream in)
        throws IOException {
        switch (type) {
            case JournalRecords.SENT -> entry.attempts.add(new Journal.Attempt(in.readLong(), in.readInt()));
            case JournalRecords.NOT_RUN -> {
                if (!entry.incomplete) {
                    entry.attempts.get(in.readShort()).mayHaveRun = false;
                }
            }
            case JournalRecords.NOT_MADE -> {
                if (!entry.incomplete) {
                    Journal.Attempt attempt = entry.attempts.get(in.readShort());
                    attempt.mayHaveRun = false;
                    attempt.notMade = true;
                }
            }
            case JournalRecords.ENDED -> entry.end = new Journal.End(in.readBoolean(), in.readLong());
            default -> throw new IOException("unknown record type " + type);
        }
    }
}
