package wrenkeel.scale;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Command line entry point of the scale runs; each experiment is a subcommand. Relays load none of these
 * classes.
 */
@Command(name = "scale", mixinStandardHelpOptions = true,
    description = "Measures how cost grows with size; on loopback only, with limits on time and memory.",
    subcommands = {
        ListExperiment.class,
        ChangeExperiment.class,
        RelaysExperiment.class,
        RestartExperiment.class,
        TrafficExperiment.class,
        LearnExperiment.class,
    })
public final class ScaleCommand {
    private ScaleCommand() { }

    /**
     * Runs an experiment and returns the exit code: 0 once all plays are measured, 1 after an error, 2 for an
     * invalid command line.
     */
    public static int run(String[] args) {
        return new CommandLine(new ScaleCommand()).execute(args);
    }
}
