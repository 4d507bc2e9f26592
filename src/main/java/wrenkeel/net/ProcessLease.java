package wrenkeel.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This process's registration in the state folder, which several relay processes may share. Each process has
 * a number, higher than all before it, and keeps a file {@code relay.N} locked. The operating system releases
 * the lock when the process ends, however it ends. The other files of a process carry the same number.
 */
final class ProcessLease implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ProcessLease.class);
    private static final String LOCK_FILE = "relay";
    private static final String JOURNAL_FILE = "journal";
    /** The handover snapshot; it exists from when its process hands over until the next one serves. */
    private static final String SNAPSHOT_FILE = "leaving";
    /** Bytes of one read: the Java runtime takes as many bytes of direct memory for it. */
    private static final int MAX_READ_BYTES = 65_536;
    /** The highest number that is recognized in a file's name: 18 digits. */
    private static final long MAX_NUMBER = 999_999_999_999_999_999L;

    private final Path folder;
    private final FileOperations files;
    private final long number;
    private final FileChannel lock;
    private final List<OtherProcess> predecessors = new ArrayList<>();

    private ProcessLease(Path folder, FileOperations files, long number, FileChannel lock) {
        this.folder = folder;
        this.files = files;
        this.number = number;
        this.lock = lock;
    }

    /**
     * Registers this process under the next number and lists the processes before it.
     *
     * @throws UnusableStateFolderException if a file has the highest number, so that none is left
     */
    static ProcessLease acquire(Path folder, FileOperations files) throws IOException {
        while (true) {
            List<Long> before = numbersOf(folder, LOCK_FILE);
            before.addAll(numbersOf(folder, JOURNAL_FILE));
            long latest = before.stream().mapToLong(n -> n).max().orElse(0);
            if (latest == MAX_NUMBER) {
                throw new UnusableStateFolderException(folder + " contains a file with the number " + latest
                    + ", which leaves no higher number for this process");
            }
            long next = latest + 1;
            try {
                FileChannel lock = createLocked(folder.resolve(LOCK_FILE + "." + next), files);
                ProcessLease lease = new ProcessLease(folder, files, next, lock);
                before.stream().distinct().sorted().map(n -> new OtherProcess(folder, files, n))
                    .filter(OtherProcess::hasUsableFiles).forEach(lease.predecessors::add);
                OtherProcess unnumbered = new OtherProcess(folder, files, 0);
                if (Files.exists(folder.resolve(JOURNAL_FILE)) && unnumbered.hasUsableFiles()) {
                    // Earlier releases had a single journal without a number.
                    lease.predecessors.add(0, unnumbered);
                }
                return lease;
            } catch (FileAlreadyExistsException e) {
                // Another process that starts at the same time has taken this number.
            }
        }
    }

    private static FileChannel createLocked(Path file, FileOperations files) throws IOException {
        FileChannel lock = files.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        try {
            lock.lock();
            return lock;
        } catch (IOException e) {
            lock.close();
            files.delete(file);
            throw e;
        }
    }

    /** Releases the number; to be called only if no other file was written under it. */
    void abandon() throws IOException {
        files.delete(file(LOCK_FILE));
        close();
    }

    /** Whether any process that uses the folder is alive. */
    static boolean isAnyProcessAlive(Path folder, FileOperations files) throws IOException {
        for (long other : numbersOf(folder, LOCK_FILE)) {
            try (OtherProcess process = new OtherProcess(folder, files, other)) {
                if (!process.hasEnded()) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns the numbers of the files {@code name.N}. */
    private static List<Long> numbersOf(Path folder, String name) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return new ArrayList<>(files.map(file -> file.getFileName().toString())
                .filter(file -> file.matches(name + "\\.[0-9]{1,18}"))
                .map(file -> Long.parseLong(file.substring(name.length() + 1))).toList());
        } catch (UncheckedIOException e) {
            // Thrown by the stream when reading the folder fails.
            throw e.getCause();
        }
    }

    /** Returns this process's file of the given name. */
    Path file(String name) {
        return folder.resolve(name + "." + number);
    }

    /** Returns the processes that had files in the folder when this one started, the oldest first. */
    List<OtherProcess> predecessors() {
        return predecessors;
    }

    /** Returns the processes with a higher number that have a journal. */
    List<OtherProcess> successors() throws IOException {
        return numbersOf(folder, JOURNAL_FILE).stream().filter(other -> other > number)
            .map(other -> new OtherProcess(folder, files, other)).toList();
    }

    /** Whether a process with a higher number is alive. */
    boolean hasStandby() throws IOException {
        for (long other : numbersOf(folder, LOCK_FILE)) {
            if (other > number) {
                try (OtherProcess later = new OtherProcess(folder, files, other)) {
                    if (!later.hasEnded()) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Writes the handover snapshot for the standby process, atomically. */
    void publishSnapshot(String snapshot) throws IOException {
        Path draft = file(SNAPSHOT_FILE + ".new");
        try (FileChannel out = files.open(draft, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer text = StandardCharsets.UTF_8.encode(snapshot);
            while (text.hasRemaining()) {
                out.write(text);
            }
        }
        files.replace(draft, file(SNAPSHOT_FILE));
    }

    /** Whether the next process has taken over, after {@link #publishSnapshot}. */
    boolean isTakenOver() {
        return !Files.exists(file(SNAPSHOT_FILE));
    }

    @Override
    public void close() throws IOException {
        lock.close();
    }

    /** Another process that uses or used the folder, and its files. */
    static final class OtherProcess implements AutoCloseable {
        private final Path folder;
        private final FileOperations files;
        private final long number;
        private FileChannel lock;
        private boolean ended;

        OtherProcess(Path folder, FileOperations files, long number) {
            this.folder = folder;
            this.files = files;
            this.number = number;
        }

        long number() {
            return number;
        }

        /** Whether no folder stands in the place of one of the process's files. */
        private boolean hasUsableFiles() {
            return !Files.isDirectory(file(LOCK_FILE)) && !Files.isDirectory(file(JOURNAL_FILE));
        }

        /** Returns the process's file of the given name; number 0 stands for the files without a number. */
        private Path file(String name) {
            return folder.resolve(number == 0 ? name : name + "." + number);
        }

        /** Whether the process has ended: its lock is free or does not exist. */
        boolean hasEnded() throws IOException {
            if (ended || number == 0) {
                return true;
            }
            try {
                if (lock == null) {
                    lock = files.open(file(LOCK_FILE), StandardOpenOption.WRITE);
                }
                ended = lock.tryLock() != null;
                return ended;
            } catch (OverlappingFileLockException e) {
                // The lock is held by another relay in this same Java process.
                return false;
            } catch (NoSuchFileException e) {
                return true;
            }
        }

        /** Returns the journal's bytes from a position on; empty if there is no journal. */
        byte[] readJournalFrom(long position) throws IOException {
            try (FileChannel in = files.open(file(JOURNAL_FILE), StandardOpenOption.READ)) {
                ByteBuffer bytes = ByteBuffer.allocate((int) Math.max(0, in.size() - position));
                int read = 0;
                while (bytes.hasRemaining() && read >= 0) {
                    ByteBuffer part = bytes.slice();
                    part.limit(Math.min(part.remaining(), MAX_READ_BYTES));
                    read = in.read(part, position + bytes.position());
                    bytes.position(bytes.position() + Math.max(0, read));
                }
                return Arrays.copyOf(bytes.array(), bytes.position());
            } catch (NoSuchFileException e) {
                return new byte[0];
            }
        }

        /** Returns the handover snapshot; empty if it cannot be read, null if there is none. */
        String readSnapshot() throws IOException {
            try {
                return new String(Files.readAllBytes(file(SNAPSHOT_FILE)), StandardCharsets.UTF_8);
            } catch (NoSuchFileException e) {
                return null;
            } catch (IOException e) {
                LOG.warn("cannot read the handover snapshot of process {}, continuing without it: {}", number,
                    e.toString());
                return "";
            }
        }

        /** Signals to the process that the next one serves now, by deleting its snapshot. */
        void confirmTakeover() {
            deleteOrWarn(SNAPSHOT_FILE);
        }

        /**
         * Deletes the files of a process that has ended. Fails only if the journal cannot be deleted, because
         * it would be read again. The lock file is deleted last.
         */
        void delete() throws IOException {
            files.delete(file(JOURNAL_FILE));
            deleteDrafts();
            deleteOrWarn(SNAPSHOT_FILE);
            deleteOrWarn(LOCK_FILE);
            close();
        }

        /** Deletes the files that a process which has ended was still preparing. */
        void deleteDrafts() {
            deleteOrWarn(JOURNAL_FILE + ".new");
            deleteOrWarn(SNAPSHOT_FILE + ".new");
        }

        private void deleteOrWarn(String name) {
            try {
                files.delete(file(name));
            } catch (IOException e) {
                LOG.warn("cannot delete a file of process {}: {}", number, e.toString());
            }
        }

        @Override
        public void close() throws IOException {
            if (lock != null) {
                lock.close();
                lock = null;
            }
        }
    }
}
