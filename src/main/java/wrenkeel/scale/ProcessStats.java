package wrenkeel.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Resource usage of one process, read from Linux's {@code /proc}. Not thread-safe. */
final class ProcessStats {
    private final Path procFolder;
    /** Latest known processor time of each thread, in ns; kept because ended threads vanish from /proc. */
    private final Map<String, Long> nanosByThread = new HashMap<>();

    ProcessStats(long pid) {
        procFolder = Path.of("/proc", Long.toString(pid));
    }

    /**
     * Returns the processor time of all threads since the start, in microseconds. It comes from the
     * scheduler's statistics, which are finer than the 10 ms ticks of {@code stat}. The time of a thread
     * between the last call of this method and the thread's end is missed.
     */
    long cpuMicros() throws IOException {
        return threadNanos().values().stream().mapToLong(nanos -> nanos).sum() / 1_000;
    }

    /** Returns the processor time in ns by thread id, including threads that have ended. */
    Map<String, Long> threadNanos() throws IOException {
        List<Path> tasks;
        try (Stream<Path> all = Files.list(procFolder.resolve("task"))) {
            tasks = all.toList();
        }
        for (Path task : tasks) {
            try {
                String[] words = Files.readString(task.resolve("schedstat")).split(" ");
                nanosByThread.put(task.getFileName().toString(), Long.parseLong(words[0]));
            } catch (IOException e) {
                // The thread has ended since the folder was listed.
                continue;
            }
        }
        return Map.copyOf(nanosByThread);
    }

    /** Returns the resident memory in bytes. */
    long rssBytes() throws IOException {
        return statusBytes("VmRSS");
    }

    /** Returns the peak resident memory so far, in bytes. */
    long peakRssBytes() throws IOException {
        return statusBytes("VmHWM");
    }

    /** Returns the bytes passed to write calls so far, including those to sockets and pipes. */
    long writtenBytes() throws IOException {
        return readNumber("io", "wchar");
    }

    /** Reads a field in kB from {@code status}; returns bytes. */
    private long statusBytes(String name) throws IOException {
        return 1_024 * readNumber("status", name);
    }

    /** Reads a number from a line of the form {@code name: number}. */
    private long readNumber(String file, String name) throws IOException {
        for (String line : Files.readAllLines(procFolder.resolve(file))) {
            if (line.startsWith(name + ":")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("no field " + name + " in " + procFolder.resolve(file));
    }
}
