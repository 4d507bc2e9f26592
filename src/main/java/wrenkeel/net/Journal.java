package wrenkeel.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wrenkeel.Relay;

/**
 * Write-ahead journal of the messages that this relay has accepted and not yet closed, in an append-only file
 * of the state folder. Each process writes a file of its own. A later process adopts the open messages from
 * the files of earlier ones; each message is adopted once, even if processes are killed meanwhile.
 *
 * <p>The file consists of {@link JournalRecords}. When it has grown, it is
 * rewritten with the current state alone. All files together stay within the limit, because each accepted
 * message reserves the bytes that all its records may need ({@link JournalSpace}).
 *
 * <p>Not thread-safe. A failed write throws {@link IOException}; before anything else is appended, the file
 * is then repaired from what this object holds in memory. That rewrites the whole file, unless the next
 * process reads it: the messages whose records are missing are then written once more at its end.
 */
final class Journal implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Journal.class);
    /** Zone of an attempt whose record is lost; no host has it. */
    private static final int UNKNOWN_ZONE = -1;

    /** One attempt to send a message. */
    static final class Attempt {
        /** Unix time when it was sent. */
        final long sentMillis;
        /** The zone of the host it was sent to. */
        final int zone;
        /** Whether the host may have processed the message. */
        boolean mayHaveRun = true;
        /**
         * Whether the attempt was never made, because this machine failed. It keeps its number among the
         * attempts of this process, but is not adopted by the next.
         */
        boolean notMade;

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

    /**
     * The end that was decided for a message. Its notice must be posted until the platform acknowledges it.
     *
     * @param refused whether the message was refused, so that sending it again is harmless; otherwise it
     *     failed
     * @param retryAfterMicros after which time to send a refused message again; 0 for no advice
     */
    record End(boolean refused, long retryAfterMicros) { }

    /**
     * Health of an endpoint as the decision module reported it.
     *
     * @param host name of the endpoint
     * @param sinceMillis Unix time when its outage began or, if it is returning, ended
     * @param callsPerSecond rate of this relay's calls to it before the outage
     */
    record EndpointHealth(String host, Relay.Health health, long sinceMillis, double callsPerSecond) { }

    /** An open message: accepted, and not yet closed or passed on. */
    static final class Entry {
        final long number;
        final Message message;
        /** The message's class when it was accepted; null if only the name of the class was recorded. */
        final Relay.MessageClass messageClass;
        /** The attempts so far, by their numbers. */
        final List<Attempt> attempts = new ArrayList<>();
        /** Null until the end is decided. */
        End end;
        long reservedBytes;
        /** Whether records may be missing, so that the numbers of its attempts are unknown. */
        boolean incomplete;

        Entry(long number, Message message, Relay.MessageClass messageClass) {
            this.number = number;
            this.message = message;
            this.messageClass = messageClass;
        }

        /** Whether the message must be sent in order with others of its route key. */
        boolean isOrdered() {
            return messageClass != null && messageClass.inOrder() && message.routeKey() != null;
        }

        /** Whether an endpoint may have run the message. */
        boolean mayHaveRun() {
            return attempts.stream().anyMatch(attempt -> attempt.mayHaveRun);
        }

        /**
         * Adds an attempt for the records that may be missing: sent as early as the message can have been
         * accepted, to an unknown zone.
         */
        void markIncomplete() {
            if (!incomplete) {
                incomplete = true;
                long lifetimeMillis = messageClass == null ? 0 : messageClass.lifetime() / 1_000;
                attempts.add(new Attempt(message.deadline() - lifetimeMillis, UNKNOWN_ZONE));
            }
        }
    }

    private final ProcessClock clock;
    private final FileOperations files;
    private final ProcessLease lease;
    private final Path file;
    /** Where a rewrite is prepared before it replaces {@link #file}. */
    private final Path newFile;
    private final JournalSpace space;
    /** The journals of earlier processes, the oldest first, until they hold no open message. */
    private final List<PredecessorJournal> predecessors = new ArrayList<>();
    /** The journals of later processes, as last read; empty unless this process hands over. */
    private final List<PredecessorJournal> successors = new ArrayList<>();
    /** The messages adopted from files that still exist. */
    private final Set<Origin> adopted = new LinkedHashSet<>();
    /** The open messages by their numbers, in the order in which they were accepted. */
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    /** Recorded health of endpoints that are out or returning, by their names. */
    private final Map<String, EndpointHealth> endpointHealth = new LinkedHashMap<>();
    /** Health from journals of earlier processes that {@link #takeInheritedHealth} has not returned yet. */
    private final Map<String, EndpointHealth> inheritedHealth = new LinkedHashMap<>();
    private final CompletedMessages completed = new CompletedMessages();
    private FileChannel channel;
    /** A write has failed, so the file must be repaired before the next. */
    private boolean repairNeeded;
    /** Messages of which the file lacks a record; number 0 stands for the health of endpoints. */
    private final Set<Long> unrecorded = new LinkedHashSet<>();
    /** The number given to a message last. */
    private long lastNumber;
    /**
     * Set when messages are passed on; the file is then no longer compacted, as the next process reads it.
     */
    private boolean handingOver;

    /** Creates a journal that uses the real clock and file system. */
    Journal(Path folder, long limitBytes) throws IOException {
        this(folder, limitBytes, ProcessClock.system(), FileOperations.SYSTEM);
    }

    /**
     * Creates the journal of this process. It holds no messages of earlier processes before {@link #adopt}.
     *
     * @param limitBytes bytes that the journals in the folder may use
     * @param clock clock of the times in messages and attempts
     * @throws UnusableStateFolderException if the journal cannot be created and retrying will not help
     */
    Journal(Path folder, long limitBytes, ProcessClock clock, FileOperations files) throws IOException {
        this.clock = clock;
        this.files = files;
        this.lease = ProcessLease.acquire(folder, files);
        this.file = lease.file("journal");
        this.newFile = lease.file("journal.new");
        this.space = new JournalSpace(limitBytes);
        for (ProcessLease.OtherProcess process : lease.predecessors()) {
            predecessors.add(new PredecessorJournal(process));
        }
        try {
            rewrite();
        } catch (IOException e) {
            lease.abandon();
            // A folder in the place of a file stays there; any other failure may pass.
            throw Files.isDirectory(newFile) || Files.isDirectory(file)
                ? new UnusableStateFolderException(e) : e;
        }
    }

    /** Whether an earlier process is alive and has not handed over; its messages must not be adopted then. */
    boolean isPredecessorServing() throws IOException {
        for (PredecessorJournal predecessor : predecessors) {
            if (!predecessor.process.hasEnded() && predecessor.process.readSnapshot() == null) {
                return true;
            }
        }
        return false;
    }

    /**
     * The handover snapshot of an earlier process.
     *
     * @param text as {@link HandoverSnapshot} writes it
     * @param shiftMillis what must be added to its times in Unix time to have them on this process's clock
     */
    record InheritedSnapshot(String text, long shiftMillis) { }

    /** Returns the handover snapshot of the latest earlier process that left one; null if none did. */
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

    /** Signals to the earlier processes that this one serves now. */
    void confirmTakeover() throws IOException {
        for (PredecessorJournal predecessor : predecessors) {
            predecessor.process.confirmTakeover();
        }
    }

    /** Whether the journal of an earlier process may still hold messages for this one. */
    boolean hasPredecessors() {
        return !predecessors.isEmpty();
    }

    /**
     * Returns and forgets the waits that hosts asked earlier processes for, as read since the last call:
     * until when nothing may be sent (Unix time, ms), by host.
     */
    Map<String, Long> waits() {
        Map<String, Long> waits = new HashMap<>();
        for (PredecessorJournal predecessor : predecessors) {
            RecordedTimes times = predecessor.times(clock);
            predecessor.waits.forEach((host, untilMillis) -> waits.put(host, times.waitUntil(untilMillis)));
            predecessor.waits.clear();
        }
        return waits;
    }

    /** Returns the number of messages that earlier processes still have in flight, by destination. */
    Map<Long, Integer> inFlightElsewhere() {
        Map<Long, Integer> inFlight = new HashMap<>();
        for (PredecessorJournal predecessor : predecessors) {
            predecessor.entries.values().stream().filter(e -> !predecessor.passedOn.contains(e.number))
                .forEach(e -> inFlight.merge(e.message.destination(), 1, Integer::sum));
        }
        return inFlight;
    }

    /**
     * Returns the route keys of the messages that earlier processes still have and that must be sent in
     * order, as read so far.
     */
    Set<String> orderedKeysElsewhere() {
        Set<String> keys = new LinkedHashSet<>();
        for (PredecessorJournal predecessor : predecessors) {
            predecessor.entries.values().stream()
                .filter(entry -> entry.end == null && entry.isOrdered())
                .forEach(entry -> keys.add(entry.message.routeKey()));
        }
        return keys;
    }

    /**
     * Adopts the messages that earlier processes have passed on, and all open messages of processes that have
     * ended, whose files are then deleted.
     *
     * @param onAdopted receives each adopted message once
     */
    void adopt(Consumer<Entry> onAdopted) throws IOException {
        for (PredecessorJournal predecessor : predecessors) {
            // In this order: a process that has ended writes nothing more, so the file is then read
            // completely.
            predecessor.processEnded = predecessor.process.hasEnded();
            if (predecessor.processEnded) {
                // Killed in the middle of a rewrite, it has left a file that takes up space.
                predecessor.process.deleteDrafts();
            }
            predecessor.readNewRecords();
        }
        predecessors.forEach(this::inheritHealth);
        for (PredecessorJournal predecessor : predecessors) {
            inheritCompletions(predecessor);
        }
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
                        Entry copy = adopt(entry, origin, predecessor.times(clock));
                        adopted.add(origin);
                        onAdopted.accept(copy);
                    }
                    predecessor.entries.remove(entry.number);
                }
            }
            if (predecessor.processEnded) {
                removePredecessor(predecessor);
            }
        }
        adopted.removeIf(origin ->
            predecessors.stream().noneMatch(predecessor -> predecessor.number() == origin.process));
    }

    /** Copies the health of endpoints from an earlier process, before its journal is deleted. */
    private void inheritHealth(PredecessorJournal predecessor) {
        RecordedTimes times = predecessor.times(clock);
        for (EndpointHealth health : predecessor.endpointHealth.values()) {
            EndpointHealth inherited = new EndpointHealth(health.host, health.health,
                times.outageTime(health.sinceMillis), health.callsPerSecond);
            inheritedHealth.put(inherited.host, inherited);
            if (!endpointHealth.containsKey(inherited.host)) {
                keepHealth(inherited);
            }
        }
        predecessor.endpointHealth.clear();
    }

    /** Takes over what an earlier process knows of messages that are over, as read since the last call. */
    private void inheritCompletions(PredecessorJournal predecessor) {
        RecordedTimes times = predecessor.times(clock);
        for (CompletedMessages.Completion recorded : predecessor.completions) {
            CompletedMessages.Completion inherited = new CompletedMessages.Completion(recorded.id(),
                recorded.delivered(), times.waitUntil(recorded.untilMillis()));
            completed.add(inherited, clock.millis());
            predecessor.inheritedCompletions.add(inherited);
        }
        predecessor.completions.clear();
    }

    /**
     * Returns what is known of a message that is over and that an endpoint has run or may have run, in this
     * process or another one; null if nothing is.
     */
    CompletedMessages.Completion completion(String id) throws IOException {
        for (PredecessorJournal predecessor : predecessors) {
            predecessor.readNewRecords();
            inheritCompletions(predecessor);
        }
        readSuccessors();
        return completed.find(id, clock.millis());
    }

    /**
     * Reads the journals of the processes that this one hands over to, each from its start, since they are
     * rewritten meanwhile.
     */
    private void readSuccessors() throws IOException {
        successors.clear();
        for (ProcessLease.OtherProcess process : handingOver ? lease.successors()
                : List.<ProcessLease.OtherProcess>of()) {
            PredecessorJournal successor = new PredecessorJournal(process);
            successor.readNewRecords();
            inheritCompletions(successor);
            successors.add(successor);
        }
    }

    /** Whether another process holds an open message of this id, as {@link #completion} has read it. */
    boolean isOpenElsewhere(String id) {
        return Stream.concat(predecessors.stream(), successors.stream()).anyMatch(other -> other.holds(id));
    }

    /** Notes that a message is over, if an endpoint may have run it. */
    private void noteCompletion(Entry entry, boolean delivered) {
        if (delivered || entry.mayHaveRun()) {
            long now = clock.millis();
            completed.add(new CompletedMessages.Completion(entry.message.id(), delivered,
                CompletedMessages.retainedUntil(now, entry.message.deadline())), now);
        }
    }

    /**
     * Returns and forgets the endpoints that earlier processes knew to be out or returning, as read since the
     * last call.
     */
    List<EndpointHealth> takeInheritedHealth() {
        List<EndpointHealth> health = List.copyOf(inheritedHealth.values());
        inheritedHealth.clear();
        return health;
    }

    /**
     * Records the health of an endpoint for the next process. The record of an endpoint with good health is
     * dropped. Once the space for health records is used up, no further endpoints are recorded.
     */
    void endpointHealth(EndpointHealth health) throws IOException {
        boolean known = endpointHealth.containsKey(health.host);
        if (keepHealth(health) || known) {
            append(JournalRecords.health(health));
        }
    }

    /** Returns the number of endpoints whose health is recorded. */
    int endpointHealthCount() {
        return endpointHealth.size();
    }

    /** Updates the health in memory; returns false if it needs no record or there is no space for one. */
    private boolean keepHealth(EndpointHealth health) {
        EndpointHealth before = endpointHealth.remove(health.host);
        space.healthChanged(before == null ? 0 : -JournalRecords.health(before).length);
        int length = JournalRecords.health(health).length;
        if (health.health == Relay.Health.GOOD || !space.hasRoomForHealth(length)) {
            return false;
        }
        endpointHealth.put(health.host, health);
        space.healthChanged(length);
        return true;
    }

    /**
     * Deletes the files of an earlier process that hold no open message any more. Records first the health of
     * endpoints, the messages that are over, and what that process had adopted from files that still exist,
     * so that it is not adopted again.
     */
    private void removePredecessor(PredecessorJournal predecessor) throws IOException {
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        for (EndpointHealth health : endpointHealth.values()) {
            records.writeBytes(JournalRecords.health(health));
        }
        for (Origin origin : predecessor.adopted) {
            records.writeBytes(JournalRecords.adopted(origin));
        }
        byte[] completions = encodeLatest(predecessor.inheritedCompletions);
        if (space.hasRoomFor(completions.length, predecessorBytes())) {
            records.writeBytes(completions);
        }
        records.writeBytes(
            JournalRecords.record(JournalRecords.PREDECESSOR_EMPTIED, predecessor.number(), o -> { }));
        writeAtEnd(records.toByteArray());
        predecessor.process.delete();
        predecessors.remove(predecessor);
    }

    /**
     * Copies a message into this journal. All its records go into one write, because a message that is
     * adopted without its attempts could be processed twice.
     */
    private Entry adopt(Entry source, Origin origin, RecordedTimes times) throws IOException {
        long deadline = times.deadline(source.message.deadline(), source.messageClass);
        Entry entry = new Entry(++lastNumber, source.message.withDeadline(deadline), source.messageClass);
        source.attempts.stream().filter(attempt -> !attempt.notMade)
            .forEach(attempt -> entry.attempts.add(attempt.withSendTime(times.sendTime(attempt.sentMillis))));
        entry.end = source.end;
        if (entry.end != null) {
            noteCompletion(entry, false);
        }
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        records.writeBytes(JournalRecords.adopted(origin));
        write(entry, records::writeBytes);
        writeAtEnd(records.toByteArray());
        entry.reservedBytes = JournalRecords.bytesToReserve(entry);
        space.reserve(entry.reservedBytes);
        entries.put(entry.number, entry);
        return entry;
    }

    /** Whether a later process is alive and can take over. */
    boolean hasStandby() throws IOException {
        return lease.hasStandby();
    }

    /**
     * Begins passing messages on to the next process. That process reads this file while it grows, so the
     * file is rewritten now for the last time.
     */
    void beginHandover() throws IOException {
        rewrite();
        handingOver = true;
        space.beginHandover();
    }

    /** Returns how large the snapshot may be, after {@link #beginHandover}. */
    long maxSnapshotBytes() {
        return space.maxSnapshotBytes(predecessorBytes());
    }

    /** Writes the handover snapshot for the next process, which then begins to serve. */
    void publishSnapshot(String snapshot) throws IOException {
        lease.publishSnapshot(snapshot);
    }

    /** Whether the next process has taken over, after {@link #publishSnapshot}. */
    boolean isTakenOver() {
        return lease.isTakenOver();
    }

    /** Passes a message on: from now on it belongs to the next process. */
    void passOn(Entry entry) throws IOException {
        append(JournalRecords.record(JournalRecords.PASSED_ON, entry.number, o -> { }));
        removeEntry(entry.number);
    }

    /** Records, for the next process, that a host asked to wait until the given Unix time. */
    void waits(String host, long untilMillis) throws IOException {
        byte[] record = JournalRecords.record(JournalRecords.WAIT, 0, o -> {
            o.writeLong(untilMillis);
            o.writeUTF(host);
        });
        space.reserve(record.length);
        append(record);
    }

    /** Returns the open messages in the order in which they were accepted. */
    Collection<Entry> openEntries() {
        return List.copyOf(entries.values());
    }

    /** Returns the number of open messages. */
    int openCount() {
        return entries.size();
    }

    /** Records a new message; returns null if there is no space for the records that it may need. */
    Entry accept(Message message, Relay.MessageClass messageClass) throws IOException {
        Entry entry = new Entry(lastNumber + 1, message, messageClass);
        byte[] record = JournalRecords.accepted(entry);
        entry.reservedBytes = JournalRecords.bytesToReserve(entry);
        if (!hasRoomFor(entry)) {
            return null;
        }
        append(record);
        lastNumber++;
        space.reserve(entry.reservedBytes);
        entries.put(entry.number, entry);
        return entry;
    }

    /**
     * Records an attempt. Must be called before the first byte is sent, since the host may process the
     * message from then on.
     *
     * @param sentMillis Unix time of the attempt
     * @param zone the host's zone
     */
    void recordSent(Entry entry, long sentMillis, int zone) throws IOException {
        Attempt attempt = new Attempt(sentMillis, zone);
        try {
            append(JournalRecords.sent(entry, attempt));
        } catch (IOException e) {
            // The attempt is not sent then. It keeps its number, so that later attempts keep theirs.
            attempt.mayHaveRun = false;
            throw e;
        } finally {
            entry.attempts.add(attempt);
        }
    }

    /** Records that an attempt was never made, because this machine had no socket for it. */
    void recordNotMade(Entry entry, int attempt) throws IOException {
        entry.attempts.get(attempt).mayHaveRun = false;
        entry.attempts.get(attempt).notMade = true;
        append(JournalRecords.record(JournalRecords.NOT_MADE, entry.number, o -> o.writeShort(attempt)));
    }

    /**
     * Adds an attempt in memory only. It was decided but is not made, because it cannot be recorded or must
     * not be sent; it keeps its number.
     */
    void addUnrecordedAttempt(Entry entry, long sentMillis, int zone) {
        Attempt attempt = new Attempt(sentMillis, zone);
        attempt.mayHaveRun = false;
        attempt.notMade = true;
        entry.attempts.add(attempt);
        // Without it in the file, the records of later attempts would have wrong numbers.
        repairNeeded = true;
        unrecorded.add(entry.number);
    }

    /** Records that an attempt had no effect, as its outcome has proved. */
    void recordNotRun(Entry entry, int attempt) throws IOException {
        entry.attempts.get(attempt).mayHaveRun = false;
        append(JournalRecords.record(JournalRecords.NOT_RUN, entry.number, o -> o.writeShort(attempt)));
    }

    /** Records the end that was decided for a message; its notice is due from now on. */
    void recordEnd(Entry entry, End end) throws IOException {
        entry.end = end;
        noteCompletion(entry, false);
        append(JournalRecords.ended(entry.number, end));
    }

    /** Closes a message that was delivered. */
    void recordDelivered(Entry entry) throws IOException {
        close(entry, true);
    }

    /** Closes a message that was withdrawn, that expired, or whose notice was acknowledged. */
    void recordClosed(Entry entry) throws IOException {
        close(entry, false);
    }

    /** Notes that a message was delivered after it was closed. */
    void noteLateDelivery(Entry entry) {
        noteCompletion(entry, true);
    }

    private void close(Entry entry, boolean delivered) throws IOException {
        removeEntry(entry.number);
        noteCompletion(entry, delivered);
        append(JournalRecords.closed(entry.number, delivered));
    }

    @Override
    public void close() throws IOException {
        channel.close();
        lease.close();
    }

    /** Whether there is room for a new message; makes room by a rewrite if that helps. */
    private boolean hasRoomFor(Entry entry) throws IOException {
        long unadopted = predecessors.stream().mapToLong(PredecessorJournal::unadoptedBytes).sum();
        if (!space.mayReserve(entry.reservedBytes, unadopted)) {
            return false;
        }
        if (handingOver) {
            return true;
        }
        long needed = 2 * entry.reservedBytes + unadopted;
        if (!space.hasRoomFor(needed, predecessorBytes()) && space.isRewriteWorthwhile(predecessorBytes())) {
            rewrite();
        }
        return space.hasRoomFor(needed, predecessorBytes());
    }

    /** Returns the bytes that the files of earlier processes take, and will take while those live. */
    private long predecessorBytes() {
        return predecessors.stream().mapToLong(predecessor ->
            predecessor.readBytes + (predecessor.processEnded ? 0 : space.growthOfLivingProcess())).sum();
    }

    private void removeEntry(long number) {
        Entry removed = entries.remove(number);
        space.release(removed == null ? 0 : removed.reservedBytes);
    }

    // ---- The file -------------------------------------------------------------------------------
    /** Appends a record, after a rewrite if the file would grow into the space that is reserved. */
    private void append(byte[] record) throws IOException {
        if (!handingOver && !space.hasRoomFor(record.length, predecessorBytes())
            && space.isRewriteWorthwhile(predecessorBytes())) {
            rewrite();
        }
        try {
            writeAtEnd(record);
        } catch (IOException e) {
            repairNeeded = true;
            unrecorded.add(JournalRecords.messageNumber(record));
            throw e;
        }
    }

    /** Writes at the end of the file, after a repair if one is needed. */
    private void writeAtEnd(byte[] records) throws IOException {
        if (repairNeeded) {
            repair();
        }
        long before = channel.position();
        try {
            write(channel, records);
        } catch (IOException e) {
            repairNeeded = channel.position() != before;
            throw e;
        }
        space.appended(records.length);
    }

    /**
     * Writes a record. If that fails halfway, the partial record is truncated, because records after it could
     * not be read.
     */
    private void write(FileChannel channel, byte[] record) throws IOException {
        long before = channel.position();
        try {
            for (ByteBuffer buffer = ByteBuffer.wrap(record); buffer.hasRemaining();) {
                channel.write(buffer);
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

    /** Makes up for all failed writes before. */
    void repair() throws IOException {
        if (handingOver) {
            writeUnrecorded();
        } else {
            rewrite();
        }
    }

    /**
     * Writes what the file lacks at its end. The next process reads the file from where it has stopped, so
     * that it must not be rewritten; it takes the last records of a message for the message's state.
     */
    private void writeUnrecorded() throws IOException {
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        for (long number : unrecorded) {
            if (number == 0) {
                endpointHealth.values().forEach(health -> records.writeBytes(JournalRecords.health(health)));
            } else if (entries.containsKey(number)) {
                write(entries.get(number), records::writeBytes);
            } else {
                records.writeBytes(JournalRecords.closed(number, false));
            }
        }
        repairNeeded = true;
        write(channel, records.toByteArray());
        repairNeeded = false;
        unrecorded.clear();
        space.reserve(records.size());
        space.appended(records.size());
    }

    /** Encodes the latest of these messages that are over, the oldest first, as far as there is space. */
    private byte[] encodeLatest(List<CompletedMessages.Completion> oldestFirst) {
        Deque<byte[]> latest = new ArrayDeque<>();
        long bytes = 0;
        for (int i = oldestFirst.size() - 1; i >= 0 && bytes <= space.maxCompletionBytes(); i--) {
            byte[] record = JournalRecords.completed(oldestFirst.get(i));
            bytes += record.length;
            if (bytes <= space.maxCompletionBytes()) {
                latest.addFirst(record);
            }
        }
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        latest.forEach(records::writeBytes);
        return records.toByteArray();
    }

    private interface RecordConsumer {
        void accept(byte[] record) throws IOException;
    }

    /** Writes all records of a message. */
    private static void write(Entry entry, RecordConsumer to) throws IOException {
        to.accept(JournalRecords.accepted(entry));
        for (int i = 0; i < entry.attempts.size(); i++) {
            int attempt = i;
            to.accept(JournalRecords.sent(entry, entry.attempts.get(i)));
            if (!entry.attempts.get(i).mayHaveRun) {
                byte type = entry.attempts.get(i).notMade ? JournalRecords.NOT_MADE
                    : JournalRecords.NOT_RUN;
                to.accept(JournalRecords.record(type, entry.number, o -> o.writeShort(attempt)));
            }
        }
        if (entry.end != null) {
            to.accept(JournalRecords.ended(entry.number, entry.end));
        }
    }

    /** Writes all current state to a new file, which then replaces the old one atomically. */
    private void rewrite() throws IOException {
        repairNeeded = true;
        if (channel != null && !space.hasRoomFor(0, predecessorBytes())) {
            throw new IOException("no space to rewrite the journal beside those of earlier processes");
        }
        FileChannel next = files.open(newFile, StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE);
        try {
            write(next, JournalRecords.clock(clock.reading()));
            for (EndpointHealth health : endpointHealth.values()) {
                write(next, JournalRecords.health(health));
            }
            for (Origin origin : adopted) {
                write(next, JournalRecords.adopted(origin));
            }
            write(next, encodeLatest(completed.oldestFirst()));
            for (Entry entry : entries.values()) {
                write(entry, record -> write(next, record));
            }
            files.replace(newFile, file);
            space.rewritten(next.position());
        } catch (IOException e) {
            discard(next, e);
            throw e;
        }
        FileChannel old = channel;
        channel = next;
        repairNeeded = false;
        unrecorded.clear();
        try {
            if (old != null) {
                old.close();
            }
        } catch (IOException e) {
            LOG.warn("cannot close the journal's old file: {}", e.toString());
        }
    }

    /** Deletes the new file after a failed rewrite. */
    private void discard(FileChannel next, IOException cause) {
        try {
            next.close();
            files.delete(newFile);
        } catch (IOException e) {
            // The file may stay: the next rewrite truncates it.
            cause.addSuppressed(e);
        }
    }

    /**
     * Identifies a message by the process that it was adopted from and its number in that process's journal.
     */
    record Origin(long process, long number) { }
}
