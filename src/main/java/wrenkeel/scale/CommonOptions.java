package wrenkeel.scale;

import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The command line options that all experiments share. A play is one measurement of one size; an experiment
 * plays each of its sizes several times.
 */
final class CommonOptions {
    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Option(names = "--sizes", split = ",", paramLabel = "N",
        description = "Sizes to measure, at least four for a linear fit. Default: those of the experiment.")
    private List<Long> sizes;

    @Option(names = "--plays", defaultValue = "3", paramLabel = "N",
        description = "Plays (measurements) of each size (default: ${DEFAULT-VALUE}).")
    private int plays;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N",
        description = "Seed of the first play; each further play adds 1 (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--target", paramLabel = "N",
        description = "Size to which the linear fits are extrapolated. Default: that of the experiment.")
    private Long target;

    @Option(names = "--out", paramLabel = "FILE",
        description = "Also write the results to this file, as JSON lines.")
    private Path outputFile;

    @Option(names = "--root", defaultValue = ".", paramLabel = "DIR",
        description = "Root of the repository, with deploy/balancer.toml and a finished build "
            + "(default: ${DEFAULT-VALUE}).")
    private Path root;

    @Option(names = "--most-seconds", defaultValue = "900", paramLabel = "N",
        description = "Time limit of the whole run, which then ends with an error "
            + "(default: ${DEFAULT-VALUE}).")
    private long maxSeconds;

    /** The sizes from the command line, or these if there are none. */
    List<Long> sizes(Long... defaultSizes) {
        return sizes == null ? List.of(defaultSizes) : List.copyOf(sizes);
    }

    int plays() {
        return plays;
    }

    /** The seed of one play; plays are counted from 0. */
    long seed(int play) {
        return seed + play;
    }

    /** The target size from the command line, or this one if there is none. */
    long target(long defaultValue) {
        return target == null ? defaultValue : target;
    }

    /** The file to which results are written too; null if there is none. */
    Path outputFile() {
        return outputFile;
    }

    Path root() {
        return root.toAbsolutePath().normalize();
    }

    long maxSeconds() {
        return maxSeconds;
    }

    /** The original command line arguments, starting with {@code scale}. */
    String commandLine() {
        return String.join(" ", spec.root().commandLine().getParseResult().originalArgs());
    }
}
