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
    private static final int BROKEN = 1;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N",
        description = "First seed (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--seeds", defaultValue = "1", paramLabel = "K",
        description = "How many, counting up (default: ${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--relays", defaultValue = "10..16", paramLabel = "A..B",
        description = "How many relays; the seed draws one of the range (default: ${DEFAULT-VALUE}).")
    private String relays;

    @Option(names = "--clusters", defaultValue = "8", paramLabel = "N",
        description = "Groups of two or three troubles that overlap (default: ${DEFAULT-VALUE}).")
    private int clusters;

    @Option(names = "--root", defaultValue = ".", paramLabel = "DIR",
        description = "The repository's root, built, whose relay is played (default: ${DEFAULT-VALUE}).")
    private Path root;

    @Option(names = "--logs", paramLabel = "DIR",
        description = "Keep the relays' logs of runs that break a rule here.")
    private Path logs;

    @Option(names = "--trace", description = "Let the relays log each step of each message.")
    private boolean trace;

    @Option(names = "--most-seconds", defaultValue = "3600", paramLabel = "N",
        description = "The whole run ends with an error after so long (default: ${DEFAULT-VALUE}).")
    private long mostSeconds;

    private SoakCommand() { }

    /** The exit code: 0 where no rule was broken, 1 where one was, 2 for a command line of no use. */
    public static int run(String[] args) {
        return new CommandLine(new SoakCommand()).execute(args);
    }

    @Override
    public Integer call() throws Exception {
        return TimeLimit.runWithin(mostSeconds, this::playAll);
    }

    private int playAll() throws InterruptedException, ExecutionException {
        int broken = 0;
        try {
            for (long next = seed; next < seed + seeds; next++) {
                broken += play(next).isEmpty() ? 0 : 1;
            }
        } catch (IOException e) {
            System.err.println("soak: " + e.getMessage());
            return BROKEN;
        }
        System.out.println(seeds + " seeds, " + broken + " broke a rule");
        return broken == 0 ? 0 : BROKEN;
    }

    private List<Finding> play(long next) throws IOException, InterruptedException, ExecutionException {
        int count = relayCount(next);
        try (SoakRun run = new SoakRun(root.toAbsolutePath().normalize(), next, count, clusters, trace)) {
            System.out.println("seed " + next + ", " + count + " relays");
            run.schedule().troubles().forEach(trouble -> System.out.println("  " + trouble));
            List<Finding> findings = run.play();
            System.out.println("  " + run.summary());
            findings.forEach(finding -> System.out.println("  BROKEN " + finding));
            if (!findings.isEmpty() && logs != null) {
                run.keepLogs(logs.resolve("seed-" + next));
            }
            return findings;
        }
    }

    private int relayCount(long next) {
        String[] bounds = relays.split("\\.\\.");
        int least = Integer.parseInt(bounds[0]);
        int most = Integer.parseInt(bounds[bounds.length - 1]);
        return least + new SplittableRandom(next).nextInt(most - least + 1);
    }
}
