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
    private final Path proc;
    /** Processor time of each thread as last seen, ns: one that has ended is told of no more. */
    private final Map<String, Long> threads = new HashMap<>();

    ProcessStats(long pid) {
        proc = Path.of("/proc", Long.toString(pid));
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
        try (Stream<Path> all = Files.list(proc.resolve("task"))) {
            tasks = all.toList();
        }
        for (Path task : tasks) {
            try {
                String[] words = Files.readString(task.resolve("schedstat")).split(" ");
                threads.put(task.getFileName().toString(), Long.parseLong(words[0]));
            } catch (IOException e) {
                // It has ended since the folder was read.
                continue;
            }
        }
        return Map.copyOf(threads);
    }

    /** Resident memory, bytes. */
    long rssBytes() throws IOException {
        return status("VmRSS");
    }

    /** The most resident memory so far, bytes. */
    long peakRssBytes() throws IOException {
        return status("VmHWM");
    }

    /** Bytes handed to the system by all writes so far, to sockets and pipes too. */
    long writtenBytes() throws IOException {
        return number("io", "wchar");
    }

    private long status(String name) throws IOException {
        return 1_024 * number("status", name);
    }

    private long number(String file, String name) throws IOException {
        for (String line : Files.readAllLines(proc.resolve(file))) {
            if (line.startsWith(name + ":")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("no " + name + " in " + proc.resolve(file));
    }
}
