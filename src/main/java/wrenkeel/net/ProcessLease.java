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
 * This process among those that share the lasting folder. Each has a number, higher than any before it, and a
 * file {@code relay.N} that it keeps locked: the lock is free once the process has ended, however it ended.
 */
final class ProcessLease implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ProcessLease.class);
    private static final String LOCK_FILE = "relay", JOURNAL_FILE = "journal", SNAPSHOT_FILE = "leaving";
    /** The highest number, of 18 digits: files with longer ones are not looked for. */
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

    /** Takes the next number. */
    static ProcessLease acquire(Path folder, FileOperations files) throws IOException {
        while (true) {
            List<Long> before = numbersOf(folder, LOCK_FILE);
            before.addAll(numbersOf(folder, JOURNAL_FILE));
            long latest = before.stream().mapToLong(n -> n).max().orElse(0);
            if (latest == MAX_NUMBER) {
                throw new UnusableStateFolderException(folder + " holds a file with the number " + latest
                    + ", none is left above it");
            }
            long next = latest + 1;
            try {
                FileChannel lock = createLocked(folder.resolve(LOCK_FILE + "." + next), files);
                ProcessLease tenure = new ProcessLease(folder, files, next, lock);
                before.stream().distinct().sorted().map(n -> new OtherProcess(folder, files, n))
                    .filter(OtherProcess::isRelay).forEach(tenure.predecessors::add);
                OtherProcess unnumbered = new OtherProcess(folder, files, 0);
                if (Files.exists(folder.resolve(JOURNAL_FILE)) && unnumbered.isRelay()) {
                    // Written by a release that had one file and no number.
                    tenure.predecessors.add(0, unnumbered);
                }
                return tenure;
            } catch (FileAlreadyExistsException e) {
                // Another process that starts now was faster.
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

    /** Gives the number back: nothing was written under it. */
    void abandon() throws IOException {
        files.delete(file(LOCK_FILE));
        close();
    }

    /** True while any process that shares the folder lives. */
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

    private static List<Long> numbersOf(Path folder, String name) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return new ArrayList<>(files.map(file -> file.getFileName().toString())
                .filter(file -> file.matches(name + "\\.[0-9]{1,18}"))
                .map(file -> Long.parseLong(file.substring(name.length() + 1))).toList());
        } catch (UncheckedIOException e) {
            // The folder could not be read to its end.
            throw e.getCause();
        }
    }

    Path file(String name) {
        return folder.resolve(name + "." + number);
    }

    List<OtherProcess> predecessors() {
        return predecessors;
    }

    /** True while a process with a higher number lives. */
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

    /** Leaves what this process knows to the one that stands by. */
    void publishSnapshot(String knowledge) throws IOException {
        Path draft = file(SNAPSHOT_FILE + ".new");
        try (FileChannel out = files.open(draft, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer text = StandardCharsets.UTF_8.encode(knowledge);
            while (text.hasRemaining()) {
                out.write(text);
            }
        }
        files.replace(draft, file(SNAPSHOT_FILE));
    }

    /** True once the later process has taken over. */
    boolean isTakenOver() {
        return !Files.exists(file(SNAPSHOT_FILE));
    }

    @Override
    public void close() throws IOException {
        lock.close();
    }

    /** Another process of the folder, and its files. */
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

        /** False where something else than a relay's files has their names. */
        private boolean isRelay() {
            return !Files.isDirectory(file(LOCK_FILE)) && !Files.isDirectory(file(JOURNAL_FILE));
        }

        private Path file(String name) {
            return folder.resolve(number == 0 ? name : name + "." + number);
        }

        /** True once it has ended. */
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
                // Held by another relay inside this very process.
                return false;
            } catch (NoSuchFileException e) {
                return true;
            }
        }

        /** Its journal from this byte on. */
        byte[] readJournalFrom(long position) throws IOException {
            try (FileChannel in = files.open(file(JOURNAL_FILE), StandardOpenOption.READ)) {
                ByteBuffer bytes = ByteBuffer.allocate((int) Math.max(0, in.size() - position));
                while (bytes.hasRemaining() && in.read(bytes, position + bytes.position()) >= 0) {
                    continue;
                }
                return Arrays.copyOf(bytes.array(), bytes.position());
            } catch (NoSuchFileException e) {
                return new byte[0];
            }
        }

        /** What it has left for the process that takes over, readable or not; null while it serves. */
        String readSnapshot() throws IOException {
            try {
                return new String(Files.readAllBytes(file(SNAPSHOT_FILE)), StandardCharsets.UTF_8);
            } catch (NoSuchFileException e) {
                return null;
            } catch (IOException e) {
                LOG.warn("what process {} left cannot be read, done without: {}", number, e.toString());
                return "";
            }
        }

        /** Tells it that another process serves now. */
        void confirmTakeover() {
            deleteOrWarn(SNAPSHOT_FILE);
        }

        /**
         * It has ended, and nothing in its files is needed any more. The journal must go, lest it be read
         * again; the lock goes last.
         */
        void delete() throws IOException {
            files.delete(file(JOURNAL_FILE));
            for (String name : List.of(JOURNAL_FILE + ".new", SNAPSHOT_FILE + ".new", SNAPSHOT_FILE, LOCK_FILE)) {
                deleteOrWarn(name);
            }
            close();
        }

        private void deleteOrWarn(String name) {
            try {
                files.delete(file(name));
            } catch (IOException e) {
                LOG.warn("a file of process {} stays: {}", number, e.toString());
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
