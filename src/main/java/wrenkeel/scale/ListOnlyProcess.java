package wrenkeel.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Main class of a process that runs many list-only relays. It reads commands from its standard input, one per
 * line, and answers each with one line on its standard output: {@code ok} and the result, or {@code fault}
 * and the error. It exits when its standard input is closed, so that it never outlives the scale run. Relays
 * are numbered from 0 in each process.
 *
 * <pre>
 *   add PORT...               adds a relay for each agent's port         ok
 *   start FROM TO             starts relays FROM up to TO exclusive      ok
 *   stop FROM TO              stops them without cleanup, like SIGKILL   ok
 *   await VERSION SECONDS     waits until all running relays have
 *                             applied VERSION                            ok HOW-MANY-HAVE
 *   note VERSION COUNT        records when the COUNT versions after
 *                             VERSION are applied                        ok
 *   inforce AT...             delays until the recorded versions were
 *                             applied; AT: when each was published
 *                             (microseconds since the Unix epoch)        ok HISTOGRAM LAST-US...
 *   starts FROM TO            delays from start to first applied list    ok HISTOGRAM
 *   memory                    collects garbage, then measures            ok HEAP-BYTES DESCRIPTORS
 * </pre>
 */
final class ListOnlyProcess {
    private static final long POLL_INTERVAL_MS = 2;

    private final Path folder;
    private final List<TimedRelay> relays = new ArrayList<>();
    private long baseVersion;

    private ListOnlyProcess(Path folder) {
        this.folder = folder;
    }

    /** Takes one argument: an empty folder for the relays' files. */
    public static void main(String[] args) throws IOException {
        ListOnlyProcess process = new ListOnlyProcess(Path.of(args[0]));
        PrintStream answers = System.out;
        // Other output goes to standard error, so that standard output carries only answers.
        System.setOut(System.err);
        BufferedReader lines = new BufferedReader(new InputStreamReader(System.in,
            StandardCharsets.US_ASCII));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            try {
                answers.println(("ok " + process.execute(line.split(" "))).strip());
            } catch (IOException | InterruptedException | RuntimeException e) {
                answers.println("fault " + line.split(" ")[0] + ": " + e);
            }
        }
        System.exit(0);
    }

    private String execute(String[] words) throws IOException, InterruptedException {
        return switch (words[0]) {
            case "add" -> {
                for (int i = 1; i < words.length; i++) {
                    relays.add(new TimedRelay(folder, "n" + relays.size(), Integer.parseInt(words[i])));
                }
                yield "";
            }
            case "start" -> {
                relayRange(words).forEach(TimedRelay::start);
                yield "";
            }
            case "stop" -> {
                relayRange(words).forEach(TimedRelay::stop);
                yield "";
            }
            case "await" -> String.valueOf(awaitVersion(Long.parseLong(words[1]), Long.parseLong(words[2])));
            case "note" -> {
                baseVersion = Long.parseLong(words[1]);
                relays.forEach(relay -> relay.recordVersions(baseVersion, Integer.parseInt(words[2])));
                yield "";
            }
            case "inforce" -> propagationTimes(words);
            case "starts" -> startTimes(relayRange(words));
            case "memory" -> measureMemory();
            default -> throw new IllegalArgumentException("unknown command");
        };
    }

    private List<TimedRelay> relayRange(String[] words) {
        return relays.subList(Integer.parseInt(words[1]), Integer.parseInt(words[2]));
    }

    private long awaitVersion(long version, long seconds) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        long running = relays.stream().filter(TimedRelay::isStarted).count();
        long holding = 0;
        while (holding < running && System.nanoTime() < deadlineNanos) {
            Thread.sleep(POLL_INTERVAL_MS);
            holding = relays.stream()
                .filter(relay -> relay.isStarted() && relay.appliedVersion() >= version).count();
        }
        return holding;
    }

    private String propagationTimes(String[] words) {
        Histogram delays = new Histogram(ListOnlyFleet.HISTOGRAM_DIGITS);
        StringJoiner lastRelayDelays = new StringJoiner(" ");
        for (int i = 1; i < words.length; i++) {
            long publishedAtMicros = Long.parseLong(words[i]);
            long maxDelay = -1;
            for (TimedRelay relay : relays) {
                long appliedAtMicros = relay.appliedAtMicros(baseVersion + i);
                if (relay.isStarted() && appliedAtMicros > 0) {
                    delays.recordValue(Math.max(0, appliedAtMicros - publishedAtMicros));
                    maxDelay = Math.max(maxDelay, appliedAtMicros - publishedAtMicros);
                }
            }
            lastRelayDelays.add(String.valueOf(maxDelay));
        }
        return ListOnlyFleet.encode(delays) + " " + lastRelayDelays;
    }

    private static String startTimes(List<TimedRelay> range) {
        Histogram delays = new Histogram(ListOnlyFleet.HISTOGRAM_DIGITS);
        range.stream().filter(relay -> relay.firstAppliedAtMicros() > 0)
            .forEach(relay -> delays.recordValue(
                Math.max(0, relay.firstAppliedAtMicros() - relay.startedAtMicros())));
        return ListOnlyFleet.encode(delays);
    }

    private static String measureMemory() {
        System.gc();
        long heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        return heap + " " + Descriptors.openCount();
    }
}
