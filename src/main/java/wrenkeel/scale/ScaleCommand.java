package wrenkeel.scale;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the scale runs: each experiment is a subcommand. Nothing of it is loaded by a relay. */
@Command(name = "scale", mixinStandardHelpOptions = true,
    description = "Measures how cost grows with size: on loopback only, bounded in time and memory.",
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
     * The exit code: 0 once all plays are measured, 1 after a fault, 2 for a command line that cannot be
     * read.
     */
    public static int run(String[] args) {
        return new CommandLine(new ScaleCommand()).execute(args);
    }
}
