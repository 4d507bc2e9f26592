package wrenkeel.scale;

import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The options that all experiments have. */
final class CommonOptions {
    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Option(names = "--sizes", split = ",", paramLabel = "N",
        description = "Sizes to play, at least four for a line. Default: those of the experiment.")
    private List<Long> sizes;

    @Option(names = "--plays", defaultValue = "3", paramLabel = "N",
        description = "Plays of each size (default: ${DEFAULT-VALUE}).")
    private int plays;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N",
        description = "Seed of the first play; each further play adds 1 (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--target", paramLabel = "N",
        description = "Size that the lines are carried to. Default: that of the experiment.")
    private Long target;

    @Option(names = "--out", paramLabel = "FILE", description = "Also write the results here, as JSON lines.")
    private Path outputFile;

    @Option(names = "--root", defaultValue = ".", paramLabel = "DIR",
        description = "The repository's root, built, with deploy/balancer.toml (default: ${DEFAULT-VALUE}).")
    private Path root;

    @Option(names = "--most-seconds", defaultValue = "900", paramLabel = "N",
        description = "The whole run ends with an error after so long (default: ${DEFAULT-VALUE}).")
    private long maxSeconds;

    /** The sizes asked for, or else these. */
    List<Long> sizes(Long... defaultValue) {
        return sizes == null ? List.of(defaultValue) : List.copyOf(sizes);
    }

    int plays() {
        return plays;
    }

    /** The seed of one play, counted from 0. */
    long seed(int play) {
        return seed + play;
    }

    long target(long defaultValue) {
        return target == null ? defaultValue : target;
    }

    /** Null where none is asked for. */
    Path outputFile() {
        return outputFile;
    }

    Path root() {
        return root.toAbsolutePath().normalize();
    }

    long maxSeconds() {
        return maxSeconds;
    }

    /** The arguments as given, from {@code scale} on. */
    String commandLine() {
        return String.join(" ", spec.root().commandLine().getParseResult().originalArgs());
    }
}
