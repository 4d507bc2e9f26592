package wrenkeel.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/**
 * List-only relays in child processes of some hundreds of relays each. The relays are numbered from 0 over
 * all processes. The methods send a command to all processes (see {@link ListOnlyProcess}) and wait for their
 * answers. Not thread-safe.
 */
final class ListOnlyFleet implements AutoCloseable {
    /** Significant decimal digits of the histograms. */
    static final int HISTOGRAM_DIGITS = 3;
    /** After this time a process that was told to end is killed. */
    private static final long EXIT_TIMEOUT_SECONDS = 5;
    /** Flags of a real relay that affect its speed. */
    private static final List<String> JVM_FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
        "-XX:-UsePerfData", "-Xss512k", "-Dorg.slf4j.simpleLogger.defaultLogLevel=error");

    /**
     * How long some versions of the list took from their publication until relays applied them.
     *
     * @param delays microseconds, one value for each version and relay
     * @param lastRelayDelays microseconds until the last relay applied each version, in order of versions
     */
    record PropagationTimes(Histogram delays, List<Long> lastRelayDelays) { }

    /** Memory and open file descriptors of all processes, measured after a garbage collection. */
    record Memory(long heapBytes, long rssBytes, long descriptors) { }

    private final int relaysPerProcess;
    private final int relayCount;
    private final Path folder;
    private final List<ChildProcess> children = new ArrayList<>();
    /** Ends the processes and deletes their files if this JVM exits before {@link #close} is called. */
    private final Thread shutdownHook = new Thread(this::endAndDelete, "end of the list-only relays");

    /**
     * Starts the processes and configures one relay for each agent; {@link #start} starts the relays.
     *
     * @param relaysPerProcess number of relays in each process; the last may have fewer
     * @param heapMb maximum heap of a process, in MB
     */
    ListOnlyFleet(FleetAgents agents, int relaysPerProcess, int heapMb) throws IOException {
        this.relaysPerProcess = relaysPerProcess;
        this.relayCount = agents.size();
        this.folder = Files.createTempDirectory("wrenkeel-fleet");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            for (int from = 0; from < relayCount; from += relaysPerProcess) {
                children.add(new ChildProcess(Files.createDirectory(folder.resolve("p" + from)), heapMb));
            }
            sendToAll(child -> "add " + IntStream.range(0, child.size).mapToObj(i ->
                String.valueOf(agents.port(child.firstRelay + i))).collect(Collectors.joining(" ")));
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    /** Starts the relays with numbers from {@code from} to {@code to}, exclusive. */
    void start(int from, int to) throws IOException {
        sendRange("start", from, to);
    }

    /**
     * Stops the relays with numbers from {@code from} to {@code to}, exclusive, without a clean shutdown, as
     * SIGKILL would. They can be started again.
     */
    void stop(int from, int to) throws IOException {
        sendRange("stop", from, to);
    }

    /** Sends a command with a range of relays, clipped to the relays of each process. */
    private List<String> sendRange(String command, int from, int to) throws IOException {
        return sendToAll(child -> command + " " + clamp(from - child.firstRelay, child.size) + " "
            + clamp(to - child.firstRelay, child.size));
    }

    private static int clamp(int number, int size) {
        return Math.max(0, Math.min(number, size));
    }

    /**
     * Waits until all running relays have applied this version, at most for the given time, and returns how
     * many have.
     */
    long awaitVersion(long version, long seconds) throws IOException {
        return sendToAll(child -> "await " + version + " " + seconds).stream()
            .mapToLong(Long::parseLong).sum();
    }

    /**
     * Makes the relays record when they apply each of the {@code versions} versions after {@code version},
     * which all relays must have applied.
     */
    void recordVersions(long version, int versions) throws IOException {
        sendToAll(child -> "note " + version + " " + versions);
    }

    /**
     * Returns how long the recorded versions took to reach the relays.
     *
     * @param publishedAtMicros when each recorded version was published, in microseconds since the Unix epoch
     */
    PropagationTimes propagationTimes(List<Long> publishedAtMicros) throws IOException {
        String command = "inforce "
            + publishedAtMicros.stream().map(String::valueOf).collect(Collectors.joining(" "));
        Histogram delays = new Histogram(HISTOGRAM_DIGITS);
        Map<Integer, Long> lastRelayDelays = new TreeMap<>();
        for (String answer : sendToAll(child -> command)) {
            String[] words = answer.split(" ");
            delays.add(decode(words[0]));
            for (int i = 1; i < words.length; i++) {
                lastRelayDelays.merge(i, Long.parseLong(words[i]), Math::max);
            }
        }
        return new PropagationTimes(delays, List.copyOf(lastRelayDelays.values()));
    }

    /**
     * Returns the microseconds from the latest start of each relay in the range (with {@code to} exclusive)
     * until it applied its first list. Relays that have not applied one are left out.
     */
    Histogram startTimes(int from, int to) throws IOException {
        Histogram delays = new Histogram(HISTOGRAM_DIGITS);
        for (String answer : sendRange("starts", from, to)) {
            delays.add(decode(answer));
        }
        return delays;
    }

    /** Collects garbage in all processes and measures them. */
    Memory measureMemory() throws IOException {
        long heap = 0;
        long descriptors = 0;
        for (String answer : sendToAll(child -> "memory")) {
            heap += Long.parseLong(answer.split(" ")[0]);
            descriptors += Long.parseLong(answer.split(" ")[1]);
        }
        long rss = 0;
        for (ChildProcess child : children) {
            rss += child.stats.rssBytes();
        }
        return new Memory(heap, rss, descriptors);
    }

    /** Returns the processor time of all processes so far, in microseconds. */
    long cpuMicros() throws IOException {
        long all = 0;
        for (ChildProcess child : children) {
            all += child.stats.cpuMicros();
        }
        return all;
    }

    /** Returns the number of processes. */
    int processCount() {
        return children.size();
    }

    /** Sends a command to every process before it waits for the first answer; returns the answers. */
    private List<String> sendToAll(Function<ChildProcess, String> command) throws IOException {
        for (ChildProcess child : children) {
            child.commands.println(command.apply(child));
        }
        List<String> answers = new ArrayList<>();
        for (ChildProcess child : children) {
            answers.add(child.readAnswer());
        }
        return answers;
    }

    /** Encodes a histogram as one word of text. */
    static String encode(Histogram histogram) {
        ByteBuffer bytes = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(bytes);
        return Base64.getEncoder().encodeToString(Arrays.copyOf(bytes.array(), length));
    }

    /** Decodes the output of {@link #encode}. */
    static Histogram decode(String text) throws IOException {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(Base64.getDecoder().decode(text));
            return Histogram.decodeFromCompressedByteBuffer(bytes, 0);
        } catch (DataFormatException e) {
            throw new IOException("answer of a process is not a valid histogram", e);
        }
    }

    /** Ends the processes and deletes the relays' files. */
    @Override
    public void close() {
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        endAndDelete();
    }

    private void endAndDelete() {
        children.forEach(child -> child.commands.close());
        children.forEach(ChildProcess::awaitExit);
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException | UncheckedIOException e) {
            System.err.println("could not delete " + folder + ": " + e);
        }
    }

    /** One process with the relays from {@code firstRelay} on. */
    private final class ChildProcess {
        private final int firstRelay = children.size() * relaysPerProcess;
        private final int size = Math.min(relaysPerProcess, relayCount - firstRelay);
        private final Process process;
        private final PrintStream commands;
        private final BufferedReader answers;
        private final ProcessStats stats;
        private final Path errorLog;

        ChildProcess(Path home, int heapMb) throws IOException {
            errorLog = home.resolve("errors");
            List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx" + heapMb + "m"));
            command.addAll(JVM_FLAGS);
            command.addAll(List.of("-cp", System.getProperty("java.class.path"),
                ListOnlyProcess.class.getName(), home.toString()));
            process = new ProcessBuilder(command).redirectError(errorLog.toFile()).start();
            commands = new PrintStream(process.getOutputStream(), true, StandardCharsets.US_ASCII);
            answers = new BufferedReader(new InputStreamReader(process.getInputStream(),
                StandardCharsets.US_ASCII));
            stats = new ProcessStats(process.pid());
        }

        /** Reads the answer to the latest command; fails if the command failed or the process has ended. */
        String readAnswer() throws IOException {
            String line = answers.readLine();
            if (line == null || !line.startsWith("ok")) {
                String log = Files.readString(errorLog);
                throw new IOException("process of the relays from number " + firstRelay + " on: "
                    + (line == null ? "the process ended without an answer" : line)
                    + (log.isEmpty() ? "" : "\n" + log));
            }
            return line.substring(Math.min(line.length(), 3));
        }

        /** Waits until the process has ended; kills it after a timeout. */
        void awaitExit() {
            try {
                if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                    process.destroyForcibly().waitFor();
                }
            } catch (InterruptedException e) {
                process.destroyForcibly();
                Thread.currentThread().interrupt();
            }
        }
    }
}
