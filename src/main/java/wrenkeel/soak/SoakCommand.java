package wrenkeel.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wrenkeel.scale.TimeLimit;

/** Entry point of the soak: plays seeds one after the other. Nothing of it is loaded by a relay. */
@Command(name = "soak", mixinStandardHelpOptions = true,
    description = "Plays real relays on loopback under faults that overlap; the stand-ins' records judge.")
public final class SoakCommand implements Callable<Integer> {
    private static final int EXIT_FAILURE = 1;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N",
        description = "First seed (default: ${DEFAULT-VALUE}).")
    private long firstSeed;

    @Option(names = "--seeds", defaultValue = "1", paramLabel = "K",
        description = "How many, counting up (default: ${DEFAULT-VALUE}).")
    private int seedCount;

    @Option(names = "--relays", defaultValue = "10..16", paramLabel = "A..B",
        description = "How many relays; the seed draws one of the range (default: ${DEFAULT-VALUE}).")
    private String relayRange;

    @Option(names = "--clusters", defaultValue = "8", paramLabel = "N",
        description = "Groups of two or three troubles that overlap (default: ${DEFAULT-VALUE}).")
    private int clusters;

    @Option(names = "--root", defaultValue = ".", paramLabel = "DIR",
        description = "The repository's root, built, whose relay is played (default: ${DEFAULT-VALUE}).")
    private Path root;

    @Option(names = "--logs", paramLabel = "DIR",
        description = "Keep the relays' logs of runs that break a rule here.")
    private Path logFolder;

    @Option(names = "--trace", description = "Let the relays log each step of each message.")
    private boolean trace;

    @Option(names = "--most-seconds", defaultValue = "3600", paramLabel = "N",
        description = "The whole run ends with an error after so long (default: ${DEFAULT-VALUE}).")
    private long maxSeconds;

    private SoakCommand() { }

    /** The exit code: 0 where no rule was broken, 1 where one was, 2 for a command line of no use. */
    public static int run(String[] args) {
        return new CommandLine(new SoakCommand()).execute(args);
    }

    @Override
    public Integer call() throws Exception {
        return TimeLimit.within(maxSeconds, this::runSeeds);
    }

    private int runSeeds() throws InterruptedException, ExecutionException {
        int failedSeeds = 0;
        try {
            for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
                failedSeeds += runSeed(seed).isEmpty() ? 0 : 1;
            }
        } catch (IOException e) {
            System.err.println("soak: " + e.getMessage());
            return EXIT_FAILURE;
        }
        System.out.println(seedCount + " seeds, " + failedSeeds + " broke a rule");
        return failedSeeds == 0 ? 0 : EXIT_FAILURE;
    }

    private List<Finding> runSeed(long seed) throws IOException, InterruptedException, ExecutionException {
        int count = relayCount(seed);
        try (SoakRun run = new SoakRun(root.toAbsolutePath().normalize(), seed, count, clusters, trace)) {
            System.out.println("seed " + seed + ", " + count + " relays");
            run.schedule().faults().forEach(trouble -> System.out.println("  " + trouble));
            List<Finding> findings = run.run();
            System.out.println("  " + run.summary());
            findings.forEach(finding -> System.out.println("  BROKEN " + finding));
            if (!findings.isEmpty() && logFolder != null) {
                run.saveLogs(logFolder.resolve("seed-" + seed));
            }
            return findings;
        }
    }

    private int relayCount(long seed) {
        String[] bounds = relayRange.split("\\.\\.");
        int min = Integer.parseInt(bounds[0]);
        int max = Integer.parseInt(bounds[bounds.length - 1]);
        return min + new SplittableRandom(seed).nextInt(max - min + 1);
    }
}
