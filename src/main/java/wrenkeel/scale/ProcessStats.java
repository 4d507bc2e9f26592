package wrenkeel.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** What Linux tells of one process, by {@code /proc}. Not for several threads. */
final class ProcessStats {
    private final Path procFolder;
    /** Processor time of each thread as last seen, ns: one that has ended is told of no more. */
    private final Map<String, Long> nanosByThread = new HashMap<>();

    ProcessStats(long pid) {
        procFolder = Path.of("/proc", Long.toString(pid));
    }

    /**
     * Processor time of all threads since the start, us. From the scheduler's own clock, not in ticks of 10
     * ms; what a thread did between the last call and its end is missed.
     */
    long cpuMicros() throws IOException {
        return threadNanos().values().stream().mapToLong(nanos -> nanos).sum() / 1_000;
    }

    /** The same by thread, ns, named by the system's number for it; those that have ended included. */
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
                // It has ended since the folder was read.
                continue;
            }
        }
        return Map.copyOf(nanosByThread);
    }

    /** Resident memory, bytes. */
    long rssBytes() throws IOException {
        return statusBytes("VmRSS");
    }

    /** The most resident memory so far, bytes. */
    long peakRssBytes() throws IOException {
        return statusBytes("VmHWM");
    }

    /** Bytes handed to the system by all writes so far, to sockets and pipes too. */
    long writtenBytes() throws IOException {
        return readNumber("io", "wchar");
    }

    private long statusBytes(String name) throws IOException {
        return 1_024 * readNumber("status", name);
    }

    private long readNumber(String file, String name) throws IOException {
        for (String line : Files.readAllLines(procFolder.resolve(file))) {
            if (line.startsWith(name + ":")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("no " + name + " in " + procFolder.resolve(file));
    }
}
