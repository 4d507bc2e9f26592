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

/** Hollow relays in processes of some hundreds each, told what to do by {@link ListOnlyProcess}'s commands. */
final class ListOnlyFleet implements AutoCloseable {
    /** Digits of a histogram that count. */
    static final int HISTOGRAM_DIGITS = 3;
    private static final long EXIT_TIMEOUT_SECONDS = 5;
    /** The flags of a real relay that shape its speed. */
    private static final List<String> JVM_FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
        "-XX:-UsePerfData", "-Xss512k", "-Dorg.slf4j.simpleLogger.defaultLogLevel=error");

    /** How long some versions took to be in force: at all relays, and at the last one of each, us. */
    record PropagationTimes(Histogram delays, List<Long> lastRelayDelays) { }

    /** After a collection, over all processes. */
    record Memory(long heapBytes, long rssBytes, long descriptors) { }

    private final int relaysPerProcess;
    private final int relayCount;
    private final Path folder;
    private final List<ChildProcess> children = new ArrayList<>();
    /** Where the run is ended before its time, the processes and their files go with it. */
    private final Thread shutdownHook = new Thread(this::endAndDelete, "end of the hollow relays");

    /**
     * Starts the processes; their relays are not started yet.
     *
     * @param each relays a process
     * @param heapMb most heap of a process
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

    /** Starts the relays from one number up to another, exclusive. */
    void start(int from, int to) throws IOException {
        sendRange("start", from, to);
    }

    /** Ends them as by SIGKILL; they can be started anew. */
    void stop(int from, int to) throws IOException {
        sendRange("stop", from, to);
    }

    private List<String> sendRange(String command, int from, int to) throws IOException {
        return sendToAll(child -> command + " " + clamp(from - child.firstRelay, child.size) + " "
            + clamp(to - child.firstRelay, child.size));
    }

    private static int clamp(int number, int size) {
        return Math.max(0, Math.min(number, size));
    }

    /** Waits until all that run hold this version; how many do after so many seconds. */
    long awaitVersion(long version, long seconds) throws IOException {
        return sendToAll(child -> "await " + version + " " + seconds).stream().mapToLong(Long::parseLong).sum();
    }

    /** Notes from now on when each of so many versions after this one, which all hold, is in force. */
    void recordVersions(long version, int versions) throws IOException {
        sendToAll(child -> "note " + version + " " + versions);
    }

    /** Given when each of the noted versions was published (epoch us): how long they took to be in force. */
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

    /** us from the latest start of each of these relays until its list was in force; others are left out. */
    Histogram startTimes(int from, int to) throws IOException {
        Histogram delays = new Histogram(HISTOGRAM_DIGITS);
        for (String answer : sendRange("starts", from, to)) {
            delays.add(decode(answer));
        }
        return delays;
    }

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

    /** us of processor time of all processes so far. */
    long cpuMicros() throws IOException {
        long all = 0;
        for (ChildProcess child : children) {
            all += child.stats.cpuMicros();
        }
        return all;
    }

    int processCount() {
        return children.size();
    }

    /** All are told before the first is waited for. */
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

    static String encode(Histogram histogram) {
        ByteBuffer bytes = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(bytes);
        return Base64.getEncoder().encodeToString(Arrays.copyOf(bytes.array(), length));
    }

    static Histogram decode(String text) throws IOException {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(Base64.getDecoder().decode(text));
            return Histogram.decodeFromCompressedByteBuffer(bytes, 0);
        } catch (DataFormatException e) {
            throw new IOException("a process answered with no histogram", e);
        }
    }

    /** Ends the processes by their numbers, and removes the relays' files. */
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
            System.err.println("left behind: " + folder + ": " + e);
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

        String readAnswer() throws IOException {
            String line = answers.readLine();
            if (line == null || !line.startsWith("ok")) {
                String log = Files.readString(errorLog);
                throw new IOException("hollow relays from " + firstRelay + " on: "
                    + (line == null ? "the process has ended" : line) + (log.isEmpty() ? "" : "\n" + log));
            }
            return line.substring(Math.min(line.length(), 3));
        }

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
