package wrenkeel.net;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Relay;

/**
 * What this relay owes, in one append-only file of the lasting folder, which this process alone writes. What
 * earlier processes left in theirs is adopted; each message is taken over once, whoever is killed meanwhile.
 *
 * <p>A record is its length (4 bytes), the CRC-32 of its content (4 bytes) and the content: its sort, the
 * number of the message, and what the sort asks for. What does not check is passed over at the start. The
 * file is written anew when it has grown; old and new file together stay within the limit, for which each
 * message reserves room.
 */
final class Journal implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Journal.class);
    private static final int HEADER_BYTES = 8;
    /** Bytes of a content at most: a body of 64 KiB, and ids, keys and rules far shorter than that. */
    private static final int MAX_CONTENT_BYTES = 128 * 1024;
    /**
     * Bytes that are checked in vain at most for one file. Any place in a damaged stretch may look like the
     * head of a long record; the start must not stand still over that.
     */
    private static final long MAX_MISMATCHED_BYTES = 64 << 20;
    /** Bytes of a content's sort and number. */
    private static final int MIN_CONTENT_BYTES = 9;
    /** Bytes kept clear of the limit, for what the file system rounds up. */
    private static final long LIMIT_MARGIN_BYTES = 32_768;
    /**
     * Share of the room that live messages may reserve; the rest is for the old file and for growth between
     * rewrites.
     */
    private static final double OPEN_MESSAGES_SHARE = 0.4;
    /** The zone of an attempt of which nothing is known: that of no host. */
    private static final int UNKNOWN_ZONE = -1;
    /** Attempts for which a message without its class written down reserves room. */
    private static final int DEFAULT_MAX_ATTEMPTS = 16;
    /** Bytes of a send with its outcome, and of an end with its notice. */
    private static final int ATTEMPT_BYTES = (HEADER_BYTES + 23) + (HEADER_BYTES + 11), END_BYTES = (HEADER_BYTES + 18) + (HEADER_BYTES + 9);
    /** Sort 1: a message by a release that did not write down its class. */
    private static final byte ACCEPTED_WITHOUT_CLASS = 1, SENT = 2, NOT_RUN = 3, ENDED = 4, CLOSED = 5,
        ADOPTED = 6, PREDECESSOR_EMPTIED = 7, PASSED_ON = 8, WAIT = 9, ACCEPTED = 10, CLOCK = 11, NOT_MADE = 12, ENDPOINT_HEALTH = 13;
    /** Share of the room that the health of endpoints may take. */
    private static final double HEALTH_SHARE = 0.125;

    /** One send of a message. {@code sentMillis}: Unix time, ms; {@code zone}: its host's. */
    static final class Attempt {
        final long sentMillis;
        final int zone;
        boolean mayHaveRun = true;
        /** This machine failed: it counts only among the numbers of this process's attempts. */
        private boolean notMade;

        Attempt(long sentMillis, int zone) {
            this.sentMillis = sentMillis;
            this.zone = zone;
        }

        private Attempt withSendTime(long sentMillis) {
            Attempt attempt = new Attempt(sentMillis, zone);
            attempt.mayHaveRun = mayHaveRun;
            return attempt;
        }
    }

    /** The end that was decided for a message; its notice is owed until it is acknowledged. */
    record End(boolean refused, long retryAfterMicros) { }

    /**
     * Health of an endpoint, as this relay was told of it.
     *
     * @param host name of the endpoint
     * @param sinceMillis Unix time, ms, when its outage began or, if it is returning, ended
     * @param callsPerSecond calls a second that this relay carried to it before the outage
     */
    record EndpointHealth(String host, Relay.Health health, long sinceMillis, double callsPerSecond) { }

    /** A message that something is owed for. */
    static final class Entry {
        final long number;
        final Message message;
        /** Under which it was taken; null where only its name was written down. */
        final Relay.MessageClass messageClass;
        final List<Attempt> attempts = new ArrayList<>();
        End end;
        private long reservedBytes;
        /** Some of its records are missing: the numbers of its attempts are not known. */
        private boolean incomplete;

        private Entry(long number, Message message, Relay.MessageClass messageClass) {
            this.number = number;
            this.message = message;
            this.messageClass = messageClass;
        }

        /** It may have been sent at any time since it was taken on, wherever. */
        private void markIncomplete() {
            if (!incomplete) {
                incomplete = true;
                long life = messageClass == null ? 0 : messageClass.life() / 1_000;
                attempts.add(new Attempt(message.deadline() - life, UNKNOWN_ZONE));
            }
        }
    }

    private final ProcessClock clock;
    private final FileOperations files;
    private final ProcessLease lease;
    private final Path file;
    private final Path newFile;
    private final long capacityBytes;
    /** Files of earlier processes, the oldest first, until nothing in them is open. */
    private final List<PredecessorJournal> predecessors = new ArrayList<>();
    /** What was taken over from files that still exist. */
    private final Set<Origin> adopted = new LinkedHashSet<>();
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    /** Of endpoints that are out or returning, by their names. */
    private final Map<String, EndpointHealth> endpointHealth = new LinkedHashMap<>();
    /** What files of earlier processes tell of endpoints, and nobody has asked for yet. */
    private final Map<String, EndpointHealth> inheritedHealth = new LinkedHashMap<>();
    private long healthBytes;
    private FileChannel channel;
    /** A write has failed: the file is written anew before the next. */
    private boolean rewriteNeeded;
    private long fileBytes;
    private long reservedBytes;
    private long lastNumber;
    private boolean handingOver;

    /** Begins this process's file; nothing is owed before {@link #adopt}. */
    Journal(Path folder, long limit) throws IOException {
        this(folder, limit, ProcessClock.system(), FileOperations.SYSTEM);
    }

    /** {@code clock}: that of the times in messages and attempts. */
    Journal(Path folder, long limit, ProcessClock clock, FileOperations files) throws IOException {
        this.clock = clock;
        this.files = files;
        this.lease = ProcessLease.acquire(folder, files);
        this.file = lease.file("journal");
        this.newFile = lease.file("journal.new");
        this.capacityBytes = limit - LIMIT_MARGIN_BYTES;
        for (ProcessLease.OtherProcess process : lease.predecessors()) {
            predecessors.add(new PredecessorJournal(process));
        }
        try {
            rewrite();
        } catch (IOException e) {
            lease.abandon();
            // What stands in a file's place does not go away by itself; all else may.
            throw Files.isDirectory(newFile) || Files.isDirectory(file) ? new UnusableStateFolderException(e) : e;
        }
    }

    /** True while an earlier process serves: whatever stands in its file is its own. */
    boolean isPredecessorServing() throws IOException {
        for (PredecessorJournal predecessor : predecessors) {
            if (!predecessor.process.hasEnded() && predecessor.process.readSnapshot() == null) {
                return true;
            }
        }
        return false;
    }

    /**
     * What a process that leaves knew.
     *
     * @param shiftMillis to be added to its times in Unix time, ms, to have them on this process's clock
     */
    record InheritedSnapshot(String text, long shiftMillis) { }

    /** What the process that leaves knew; null if it left nothing. */
    InheritedSnapshot predecessorSnapshot() throws IOException {
        InheritedSnapshot latest = null;
        for (PredecessorJournal predecessor : predecessors) {
            String snapshot = predecessor.process.readSnapshot();
            if (snapshot != null) {
                predecessor.readNewRecords();
                latest = new InheritedSnapshot(snapshot, predecessor.times(clock).shiftMillis());
            }
        }
        return latest;
    }

    /** Tells the process that leaves that this one serves now. */
    void confirmTakeover() throws IOException {
        for (PredecessorJournal predecessor : predecessors) {
            predecessor.process.confirmTakeover();
        }
    }

    /** True while an earlier process still has a file that may hold something for this one. */
    boolean hasPredecessors() {
        return !predecessors.isEmpty();
    }

    /** Waits that leaving processes have heard since the last call: until when (Unix time, ms), by host. */
    Map<String, Long> waits() {
        Map<String, Long> waits = new HashMap<>();
        for (PredecessorJournal predecessor : predecessors) {
            RecordedTimes times = predecessor.times(clock);
            predecessor.waits.forEach((host, until) -> waits.put(host, times.waitUntil(until)));
            predecessor.waits.clear();
        }
        return waits;
    }

    /** Messages that processes which leave still have out, by destination. */
    Map<Long, Integer> inFlightElsewhere() {
        Map<Long, Integer> out = new HashMap<>();
        for (PredecessorJournal predecessor : predecessors) {
            predecessor.entries.values().stream().filter(e -> !predecessor.passedOn.contains(e.number))
                .forEach(e -> out.merge(e.message.destination(), 1, Integer::sum));
        }
        return out;
    }

    /**
     * Takes over what has been passed on, and all that is open in the file of a process that has ended; that
     * file is then deleted. Each message that is newly owed is told once.
     */
    void adopt(Consumer<Entry> onAdopted) throws IOException {
        for (PredecessorJournal predecessor : predecessors) {
            // In this order: after the end nothing more is written, so what is read then is all there is.
            predecessor.processEnded = predecessor.process.hasEnded();
            predecessor.readNewRecords();
        }
        predecessors.forEach(this::inheritHealth);
        Set<Long> emptied = new HashSet<>();
        for (PredecessorJournal predecessor : predecessors) {
            adopted.addAll(predecessor.adopted);
            emptied.addAll(predecessor.emptied);
        }
        for (PredecessorJournal predecessor : List.copyOf(predecessors)) {
            for (Entry entry : List.copyOf(predecessor.entries.values())) {
                if (predecessor.processEnded || predecessor.passedOn.contains(entry.number)) {
                    Origin origin = new Origin(predecessor.number(), entry.number);
                    if (!emptied.contains(predecessor.number()) && !adopted.contains(origin)) {
                        Entry owed = adopt(entry, origin, predecessor.times(clock));
                        adopted.add(origin);
                        onAdopted.accept(owed);
                    }
                    predecessor.entries.remove(entry.number);
                }
            }
            if (predecessor.processEnded) {
                removePredecessor(predecessor);
            }
        }
        adopted.removeIf(origin -> predecessors.stream().noneMatch(predecessor -> predecessor.number() == origin.process));
    }

    /** What it tells of endpoints is kept here too, before its file goes. */
    private void inheritHealth(PredecessorJournal predecessor) {
        RecordedTimes times = predecessor.times(clock);
        for (EndpointHealth health : predecessor.endpointHealth.values()) {
            EndpointHealth inherited = new EndpointHealth(health.host, health.health, times.outageTime(health.sinceMillis),
                health.callsPerSecond);
            inheritedHealth.put(inherited.host, inherited);
            if (!endpointHealth.containsKey(inherited.host)) {
                keepHealth(inherited);
            }
        }
        predecessor.endpointHealth.clear();
    }

    /** Endpoints that earlier processes knew to be out or returning, as told since the last call. */
    List<EndpointHealth> takeInheritedHealth() {
        List<EndpointHealth> health = List.copyOf(inheritedHealth.values());
        inheritedHealth.clear();
        return health;
    }

    /**
     * Writes down the health of an endpoint, for the next process. One that is well is forgotten; beyond the
     * room for it no more endpoints are written down.
     */
    void endpointHealth(EndpointHealth health) throws IOException {
        boolean known = endpointHealth.containsKey(health.host);
        if (keepHealth(health) || known) {
            append(healthRecord(health));
        }
    }

    /** How many endpoints' health is written down. */
    int endpointHealthCount() {
        return endpointHealth.size();
    }

    /** False where it needs no record, or there is no room for it. */
    private boolean keepHealth(EndpointHealth health) {
        EndpointHealth before = endpointHealth.remove(health.host);
        healthBytes -= before == null ? 0 : healthRecord(before).length;
        int length = healthRecord(health).length;
        if (health.health == Relay.Health.GOOD || healthBytes + length > capacityBytes * HEALTH_SHARE) {
            return false;
        }
        endpointHealth.put(health.host, health);
        healthBytes += length;
        return true;
    }

    /** Nothing in it is open any more; what it had taken over from files that still exist is kept. */
    private void removePredecessor(PredecessorJournal predecessor) throws IOException {
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        for (EndpointHealth health : endpointHealth.values()) {
            records.writeBytes(healthRecord(health));
        }
        for (Origin origin : predecessor.adopted) {
            records.writeBytes(adoptedRecord(origin));
        }
        records.writeBytes(record(PREDECESSOR_EMPTIED, predecessor.number(), o -> { }));
        writeAtEnd(records.toByteArray());
        predecessor.process.delete();
        predecessors.remove(predecessor);
    }

    /** In one write: a message that is taken over without its attempts could run twice. */
    private Entry adopt(Entry from, Origin origin, RecordedTimes times) throws IOException {
        long deadline = times.deadline(from.message.deadline(), from.messageClass);
        Entry entry = new Entry(++lastNumber, from.message.withDeadline(deadline), from.messageClass);
        from.attempts.stream().filter(attempt -> !attempt.notMade)
            .forEach(attempt -> entry.attempts.add(attempt.withSendTime(times.sendTime(attempt.sentMillis))));
        entry.end = from.end;
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        records.writeBytes(adoptedRecord(origin));
        write(entry, records::writeBytes);
        writeAtEnd(records.toByteArray());
        entry.reservedBytes = bytesToReserve(acceptedRecord(entry).length, from.messageClass);
        reservedBytes += entry.reservedBytes;
        entries.put(entry.number, entry);
        return entry;
    }

    /** True while a later process stands by to take over. */
    boolean hasStandby() throws IOException {
        return lease.hasStandby();
    }

    /**
     * From now on messages are passed on to the later process, which reads this file as it grows: it is
     * compacted now, for the last time.
     */
    void beginHandover() throws IOException {
        rewrite();
        handingOver = true;
    }

    /** Leaves what this process knows to the later one, which serves once {@link #isTakenOver}. */
    void publishSnapshot(String snapshot) throws IOException {
        lease.publishSnapshot(snapshot);
    }

    boolean isTakenOver() {
        return lease.isTakenOver();
    }

    /** The message is the later process's from here on. */
    void passOn(Entry entry) throws IOException {
        append(record(PASSED_ON, entry.number, o -> { }));
        removeEntry(entry.number);
    }

    /** A host told to wait; the later process must heed it. */
    void waits(String host, long until) throws IOException {
        append(record(WAIT, 0, o -> {
            o.writeLong(until);
            o.writeUTF(host);
        }));
    }

    /** The messages that something is owed for, in the order in which they were taken on. */
    Collection<Entry> openEntries() {
        return List.copyOf(entries.values());
    }

    /** How many messages something is owed for. */
    int openCount() {
        return entries.size();
    }

    /** Writes a message down; null if there is no room for it until its end. */
    Entry accept(Message message, Relay.MessageClass messageClass) throws IOException {
        Entry entry = new Entry(lastNumber + 1, message, messageClass);
        byte[] record = acceptedRecord(entry);
        entry.reservedBytes = bytesToReserve(record.length, messageClass);
        if (reservedBytes + entry.reservedBytes > availableBytes() * OPEN_MESSAGES_SHARE) {
            return null;
        }
        append(record);
        lastNumber++;
        reservedBytes += entry.reservedBytes;
        entries.put(entry.number, entry);
        return entry;
    }

    /** To be written before the first byte of a send goes out: from then on it may have run. */
    void recordSent(Entry entry, long time, int zone) throws IOException {
        Attempt attempt = new Attempt(time, zone);
        try {
            append(recordSent(entry, attempt));
        } catch (IOException e) {
            // It is not sent then; it keeps its number, so that later attempts keep theirs.
            attempt.mayHaveRun = false;
            throw e;
        } finally {
            entry.attempts.add(attempt);
        }
    }

    /** An attempt that was written down was never made: this machine had no socket for it. */
    void recordNotMade(Entry entry, int attempt) throws IOException {
        entry.attempts.get(attempt).mayHaveRun = false;
        entry.attempts.get(attempt).notMade = true;
        append(record(NOT_MADE, entry.number, o -> o.writeShort(attempt)));
    }

    /** A send that was decided and is not made, for it cannot be written down; it keeps its number. */
    void addUnrecordedAttempt(Entry entry, long time, int zone) {
        Attempt attempt = new Attempt(time, zone);
        attempt.mayHaveRun = false;
        attempt.notMade = true;
        entry.attempts.add(attempt);
        // The file lacks it, and its later records would have other numbers.
        rewriteNeeded = true;
    }

    /** An outcome has proved that the attempt never ran. */
    void recordNotRun(Entry entry, int attempt) throws IOException {
        entry.attempts.get(attempt).mayHaveRun = false;
        append(record(NOT_RUN, entry.number, o -> o.writeShort(attempt)));
    }

    /** An end was decided: a notice is owed. */
    void recordEnd(Entry entry, End end) throws IOException {
        entry.end = end;
        append(recordEnd(entry.number, end));
    }

    /** Nothing more is owed: delivered, withdrawn, or its notice acknowledged. */
    void recordClosed(Entry entry) throws IOException {
        removeEntry(entry.number);
        append(record(CLOSED, entry.number, o -> { }));
    }

    @Override
    public void close() throws IOException {
        channel.close();
        lease.close();
    }

    private static long bytesToReserve(int taken, Relay.MessageClass messageClass) {
        int tries = messageClass == null ? DEFAULT_MAX_ATTEMPTS : messageClass.tries();
        return taken + (long) tries * ATTEMPT_BYTES + END_BYTES;
    }

    /** Bytes for this file, beside those of earlier processes that still exist. */
    private long availableBytes() {
        return capacityBytes - predecessors.stream().mapToLong(predecessor -> predecessor.readBytes).sum();
    }

    private void removeEntry(long number) {
        Entry gone = entries.remove(number);
        reservedBytes -= gone == null ? 0 : gone.reservedBytes;
    }

    // ---- The file -------------------------------------------------------------------------------
    private void append(byte[] record) throws IOException {
        if (!handingOver && fileBytes + record.length + reservedBytes + healthBytes > availableBytes()) {
            rewrite();
        }
        writeAtEnd(record);
    }

    /** Writes at the end; what a failed write may have left there is first made good by writing all anew. */
    private void writeAtEnd(byte[] records) throws IOException {
        if (rewriteNeeded) {
            rewrite();
        }
        rewriteNeeded = true;
        write(channel, records);
        rewriteNeeded = false;
        fileBytes += records.length;
    }

    /** A record cut short by a fault is taken back, lest what follows it be lost with it. */
    private void write(FileChannel channel, byte[] record) throws IOException {
        long before = channel.position();
        try {
            for (ByteBuffer left = ByteBuffer.wrap(record); left.hasRemaining();) {
                channel.write(left);
            }
        } catch (IOException e) {
            try {
                channel.truncate(before);
            } catch (IOException truncateFailure) {
                e.addSuppressed(truncateFailure);
            }
            throw e;
        }
    }

    /** Writes all that is owed anew, which makes good whatever writes before it have failed. */
    void repair() throws IOException {
        rewrite();
    }

    private interface RecordConsumer {
        void accept(byte[] record) throws IOException;
    }

    /** All that is known of one message. */
    private static void write(Entry entry, RecordConsumer to) throws IOException {
        to.accept(acceptedRecord(entry));
        for (int i = 0; i < entry.attempts.size(); i++) {
            int attempt = i;
            to.accept(recordSent(entry, entry.attempts.get(i)));
            if (!entry.attempts.get(i).mayHaveRun) {
                byte type = entry.attempts.get(i).notMade ? NOT_MADE : NOT_RUN;
                to.accept(record(type, entry.number, o -> o.writeShort(attempt)));
            }
        }
        if (entry.end != null) {
            to.accept(recordEnd(entry.number, entry.end));
        }
    }

    /** Writes what is owed to a new file and puts it in the old one's place. */
    private void rewrite() throws IOException {
        rewriteNeeded = true;
        FileChannel next = files.open(newFile, StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE);
        try {
            write(next, clockRecord(clock.reading()));
            for (EndpointHealth health : endpointHealth.values()) {
                write(next, healthRecord(health));
            }
            for (Origin origin : adopted) {
                write(next, adoptedRecord(origin));
            }
            for (Entry entry : entries.values()) {
                write(entry, record -> write(next, record));
            }
            files.replace(newFile, file);
            fileBytes = next.position();
        } catch (IOException e) {
            discard(next, e);
            throw e;
        }
        FileChannel old = channel;
        channel = next;
        rewriteNeeded = false;
        try {
            if (old != null) {
                old.close();
            }
        } catch (IOException e) {
            LOG.warn("the journal's old file is not closed: {}", e.toString());
        }
    }

    private void discard(FileChannel next, IOException cause) {
        try {
            next.close();
            files.delete(newFile);
        } catch (IOException e) {
            // It is truncated before it is written again.
            cause.addSuppressed(e);
        }
    }

    /** A message by the file that it was first written to. */
    private record Origin(long process, long number) { }

    /** The file of an earlier process, read as far as it has been written. */
    private static final class PredecessorJournal {
        final ProcessLease.OtherProcess process;
        final Map<Long, Entry> entries = new LinkedHashMap<>();
        final Set<Long> passedOn = new HashSet<>();
        final Set<Origin> adopted = new HashSet<>();
        /** Numbers of processes in whose files nothing is open any more. */
        final Set<Long> emptied = new HashSet<>();
        final Map<String, Long> waits = new HashMap<>();
        /** Of endpoints, as far as it has not been taken over. */
        final Map<String, EndpointHealth> endpointHealth = new LinkedHashMap<>();
        /** Null in a file of a release that did not write its clocks down. */
        private ProcessClock.Reading clockReading;
        /** Unix time, ms, by its own clock: the latest of which the file tells. */
        private long latestMillis;
        private RecordedTimes times;
        boolean processEnded;
        long readBytes;
        private long mismatchedBytes;

        PredecessorJournal(ProcessLease.OtherProcess process) {
            this.process = process;
        }

        long number() {
            return process.number();
        }

        /**
         * How its times compare with this process's clock, by what has been read so far; settled once its
         * clocks are known, for they are the first record of a file.
         */
        RecordedTimes times(ProcessClock inherited) {
            if (times != null) {
                return times;
            }
            RecordedTimes known = RecordedTimes.of(inherited, clockReading, latestMillis);
            times = clockReading == null ? null : known;
            return known;
        }

        private void noteTime(long millis) {
            latestMillis = Math.max(latestMillis, millis);
        }

        /**
         * Reads on. What does not check is still being written, or, once the process has ended, is passed
         * over. An unfinished record at the end was never acted on; any other gap may have held anything.
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
                readBytes += content.length + HEADER_BYTES;
                replay(content);
            }
            if (skippedBytes > 0 && !unfinished) {
                markGap(skippedBytes);
            } else if (skippedBytes > 0) {
                LOG.warn("journal cut at an unfinished record, {} bytes dropped", skippedBytes);
            }
        }

        /** The next record's content; null, and nothing taken, if no whole one that checks stands here. */
        private byte[] nextContent(ByteBuffer in) {
            if (in.remaining() < HEADER_BYTES) {
                return null;
            }
            int begin = in.position();
            int length = in.getInt(begin);
            if (length < MIN_CONTENT_BYTES || length > MAX_CONTENT_BYTES || length > in.remaining() - HEADER_BYTES) {
                return null;
            }
            if (crc(in.slice(begin + HEADER_BYTES, length)) != in.getInt(begin + Integer.BYTES)) {
                mismatchedBytes += length;
                return null;
            }
            byte[] content = new byte[length];
            in.position(begin + HEADER_BYTES).get(content);
            return content;
        }

        private static boolean isUnfinished(ByteBuffer in) {
            if (in.remaining() < HEADER_BYTES) {
                return true;
            }
            int length = in.getInt(in.position());
            return length >= MIN_CONTENT_BYTES && length <= MAX_CONTENT_BYTES && length > in.remaining() - HEADER_BYTES;
        }

        private void markGap(int bytes) {
            LOG.warn("journal {}: {} bytes cannot be read, {} messages before them may have run", number(),
                bytes, entries.size());
            entries.values().forEach(Entry::markIncomplete);
        }

        /** A record that checks and cannot be understood is told; its message may have run. */
        private void replay(byte[] content) {
            try {
                replay(new DataInputStream(new ByteArrayInputStream(content)));
            } catch (IOException | RuntimeException e) {
                long message = ByteBuffer.wrap(content).getLong(1);
                LOG.warn("journal {}: a record of message {} is not understood: {}", number(), message,
                    e.toString());
                if (entries.containsKey(message)) {
                    entries.get(message).markIncomplete();
                }
            }
        }

        private void replay(DataInputStream in) throws IOException {
            byte type = in.readByte();
            long number = in.readLong();
            Entry entry = entries.get(number);
            switch (type) {
                case CLOCK -> {
                    clockReading = new ProcessClock.Reading(in.readUTF(), in.readLong(), in.readLong());
                    noteTime(clockReading.millis());
                }
                case ACCEPTED_WITHOUT_CLASS -> entries.put(number, new Entry(number, readMessage(in), null));
                case ACCEPTED -> {
                    Relay.MessageClass messageClass = messageClass(in);
                    entries.put(number, new Entry(number, readMessage(in), messageClass));
                }
                case ADOPTED -> adopted.add(new Origin(in.readLong(), number));
                case PREDECESSOR_EMPTIED -> emptied.add(number);
                case PASSED_ON -> passedOn.add(number);
                case WAIT -> {
                    long until = in.readLong();
                    waits.put(in.readUTF(), until);
                }
                case CLOSED -> entries.remove(number);
                case ENDPOINT_HEALTH -> {
                    EndpointHealth health = endpointHealth(in);
                    noteTime(health.sinceMillis);
                    if (health.health == Relay.Health.GOOD) {
                        endpointHealth.remove(health.host);
                    } else {
                        endpointHealth.put(health.host, health);
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

        private static void replayForEntry(Entry entry, byte type, DataInputStream in) throws IOException {
            switch (type) {
                case SENT -> entry.attempts.add(new Attempt(in.readLong(), in.readInt()));
                case NOT_RUN -> {
                    if (!entry.incomplete) {
                        entry.attempts.get(in.readShort()).mayHaveRun = false;
                    }
                }
                case NOT_MADE -> {
                    if (!entry.incomplete) {
                        Attempt attempt = entry.attempts.get(in.readShort());
                        attempt.mayHaveRun = false;
                        attempt.notMade = true;
                    }
                }
                case ENDED -> entry.end = new End(in.readBoolean(), in.readLong());
                default -> throw new IOException("journal holds a record of unknown sort " + type);
            }
        }
    }

    // ---- Records --------------------------------------------------------------------------------
    private interface ContentWriter {
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] record(byte type, long number, ContentWriter body) throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(content);
        out.writeByte(type);
        out.writeLong(number);
        body.write(out);
        byte[] bytes = content.toByteArray();
        int check = crc(ByteBuffer.wrap(bytes));
        return ByteBuffer.allocate(HEADER_BYTES + bytes.length).putInt(bytes.length).putInt(check).put(bytes)
            .array();
    }

    private static byte[] healthRecord(EndpointHealth health) {
        try {
            return record(ENDPOINT_HEALTH, 0, o -> {
                o.writeUTF(health.host);
                o.writeByte(health.health.ordinal());
                o.writeLong(health.sinceMillis);
                o.writeDouble(health.callsPerSecond);
            });
        } catch (IOException e) {
            throw new IllegalStateException("an array of bytes cannot fail to be written", e);
        }
    }

    private static EndpointHealth endpointHealth(DataInputStream in) throws IOException {
        String host = in.readUTF();
        return new EndpointHealth(host, Relay.Health.values()[in.readByte()], in.readLong(), in.readDouble());
    }

    private static byte[] clockRecord(ProcessClock.Reading clock) throws IOException {
        return record(CLOCK, 0, o -> {
            o.writeUTF(clock.bootId());
            o.writeLong(clock.millis());
            o.writeLong(clock.nanos());
        });
    }

    private static byte[] adoptedRecord(Origin origin) throws IOException {
        return record(ADOPTED, origin.number, o -> o.writeLong(origin.process));
    }

    private static byte[] acceptedRecord(Entry entry) throws IOException {
        Message message = entry.message;
        return record(entry.messageClass == null ? ACCEPTED_WITHOUT_CLASS : ACCEPTED, entry.number, o -> {
            if (entry.messageClass != null) {
                messageClass(o, entry.messageClass);
            }
            o.writeUTF(message.id());
            o.writeUTF(message.messageClass());
            o.writeInt(message.tenant());
            optionalText(o, message.routeKey());
            optionalText(o, message.idempotencyKey());
            o.writeLong(message.destination());
            o.writeLong(message.deadline());
            o.writeInt(message.body().length);
            o.write(message.body());
        });
    }

    private static void messageClass(DataOutputStream out, Relay.MessageClass messageClass) throws IOException {
        out.writeUTF(messageClass.name());
        out.writeLong(messageClass.aim());
        out.writeLong(messageClass.life());
        out.writeDouble(messageClass.worth());
        out.writeDouble(messageClass.lateWorth());
        out.writeByte(messageClass.effect().ordinal());
        out.writeBoolean(messageClass.zoneGroup());
        out.writeLong(messageClass.window());
        out.writeBoolean(messageClass.inOrder());
        out.writeShort(messageClass.tries());
    }

    private static Relay.MessageClass messageClass(DataInputStream in) throws IOException {
        return new Relay.MessageClass(in.readUTF(), in.readLong(), in.readLong(), in.readDouble(),
            in.readDouble(), Relay.Effect.values()[in.readByte()], in.readBoolean(), in.readLong(),
            in.readBoolean(), in.readShort());
    }

    private static Message readMessage(DataInputStream in) throws IOException {
        return new Message(in.readUTF(), in.readUTF(), in.readInt(), optionalText(in), optionalText(in),
            in.readLong(),
            in.readLong(), in.readNBytes(in.readInt()));
    }

    private static byte[] recordSent(Entry entry, Attempt attempt) throws IOException {
        return record(SENT, entry.number, o -> {
            o.writeLong(attempt.sentMillis);
            o.writeInt(attempt.zone);
        });
    }

    private static byte[] recordEnd(long number, End end) throws IOException {
        return record(ENDED, number, o -> {
            o.writeBoolean(end.refused());
            o.writeLong(end.retryAfterMicros());
        });
    }

    private static void optionalText(DataOutputStream out, String text) throws IOException {
        out.writeBoolean(text != null);
        if (text != null) {
            out.writeUTF(text);
        }
    }

    private static String optionalText(DataInputStream in) throws IOException {
        return in.readBoolean() ? in.readUTF() : null;
    }

    private static int crc(ByteBuffer bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return (int) crc.getValue();
    }
}
