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

/**
 * The command {@code soak}: runs one seed after the other and prints schedule, summary and findings of each.
 * A serving relay does not load this class.
 */
@Command(name = "soak", mixinStandardHelpOptions = true,
    description = "Runs real relays on loopback under overlapping faults and checks the stand-ins' records.")
public final class SoakCommand implements Callable<Integer> {
    private static final int EXIT_FAILURE = 1;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N",
        description = "First seed (default: ${DEFAULT-VALUE}).")
    private long firstSeed;

    @Option(names = "--seeds", defaultValue = "1", paramLabel = "K",
        description = "Number of seeds, counting up from the first (default: ${DEFAULT-VALUE}).")
    private int seedCount;

    @Option(names = "--outages", defaultValue = "0", paramLabel = "K",
        description = "Number of outages of one destination, each with 24 or 48 relays, counting up from the"
            + " first seed (default: ${DEFAULT-VALUE}).")
    private int outageCount;

    @Option(names = "--relays", defaultValue = "10..16", paramLabel = "A..B",
        description = "Range of the number of relays; the seed draws one (default: ${DEFAULT-VALUE}).")
    private String relayRange;

    @Option(names = "--clusters", defaultValue = "8", paramLabel = "N",
        description = "Number of clusters of two or three overlapping faults (default: ${DEFAULT-VALUE}).")
    private int clusters;

    @Option(names = "--root", defaultValue = ".", paramLabel = "DIR",
        description = "Root of a built checkout of the repository (default: ${DEFAULT-VALUE}).")
    private Path root;

    @Option(names = "--logs", paramLabel = "DIR",
        description = "Folder in which to keep the relays' logs of runs that break a rule.")
    private Path logFolder;

    @Option(names = "--trace", description = "Have the relays log each step of each message.")
    private boolean trace;

    @Option(names = "--most-seconds", defaultValue = "3600", paramLabel = "N",
        description = "Time limit of the whole run; then the command fails (default: ${DEFAULT-VALUE}).")
    private long maxSeconds;

    private SoakCommand() { }

    /**
     * Runs the command and returns its exit code: 0 if no rule was broken, 1 if one was or a run could not be
     * carried out, 2 for an invalid command line.
     */
    public static int run(String[] args) {
        return new CommandLine(new SoakCommand()).execute(args);
    }

    @Override
    public Integer call() throws Exception {
        return TimeLimit.runWithin(maxSeconds, this::runSeeds);
    }

    private int runSeeds() throws InterruptedException, ExecutionException {
        int failedSeeds = 0;
        int failedOutages = 0;
        try {
            for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
                failedSeeds += runSeed(seed).isEmpty() ? 0 : 1;
            }
            for (long seed = firstSeed; seed < firstSeed + outageCount; seed++) {
                failedOutages += runOutage(seed) ? 0 : 1;
            }
        } catch (IOException e) {
            System.err.println("soak: " + e.getMessage());
            return EXIT_FAILURE;
        }
        System.out.println(seedCount + " seeds, " + failedSeeds + " broke a rule");
        System.out.println(outageCount + " outages, " + failedOutages + " broke the rule on cold endpoints");
        return failedSeeds + failedOutages == 0 ? 0 : EXIT_FAILURE;
    }

    /** Runs one seed, prints what it did and found, and returns the findings. */
    private List<Finding> runSeed(long seed) throws IOException, InterruptedException, ExecutionException {
        int count = relayCount(seed);
        try (SoakRun run = new SoakRun(root.toAbsolutePath().normalize(), seed, count, clusters, trace)) {
            System.out.println("seed " + seed + ", " + count + " relays");
            run.schedule().faults().forEach(fault -> System.out.println("  " + fault));
            List<Finding> findings = run.run();
            System.out.println("  " + run.summary());
            findings.forEach(finding -> System.out.println("  BROKEN " + finding));
            if (!findings.isEmpty() && logFolder != null) {
                run.saveLogs(logFolder.resolve("seed-" + seed));
            }
            return findings;
        }
    }

    /** Plays an outage and prints its shape and result; returns whether the rule was kept. */
    private boolean runOutage(long seed) throws IOException, InterruptedException, ExecutionException {
        OutageShape shape = OutageShape.drawPlayable(seed);
        System.out.println("outage " + seed + ": " + shape);
        try (OutageRun run = new OutageRun(root.toAbsolutePath().normalize(), shape)) {
            OutageRun.Result result = run.run();
            System.out.println((result.isBroken() ? "  BROKEN " : "  ") + result);
            if (result.isBroken() && logFolder != null) {
                run.saveLogs(logFolder.resolve("outage-" + seed));
            }
            return !result.isBroken();
        }
    }

    /** Draws the number of relays; both bounds of the range are included. */
    private int relayCount(long seed) {
        String[] bounds = relayRange.split("\\.\\.");
        int min = Integer.parseInt(bounds[0]);
        int max = Integer.parseInt(bounds[bounds.length - 1]);
        return min + new SplittableRandom(seed).nextInt(max - min + 1);
    }
}
