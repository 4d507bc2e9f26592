package wrenkeel.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import wrenkeel.Relay;
import wrenkeel.Wire;

/**
 * Measures what the relays of a fleet learn about destinations from their own calls, depending on the
 * number of relays that share the same traffic. Each relay runs the real decision module; everything around
 * it is simulated in this process ({@link LearnFleet}). The destinations' limits, outages and cold starts
 * are assumptions; limits and outages can be set by options.
 */
@Command(name = "learn", mixinStandardHelpOptions = true,
    description = "Many decision modules on a virtual clock: refused calls, collapses, copies, destinations "
        + "known.")
final class LearnExperiment implements Callable<Integer> {
    @Mixin
    private CommonOptions options;

    @Option(names = "--destinations", defaultValue = "40", paramLabel = "N",
        description = "Destinations, with two endpoints each (default: ${DEFAULT-VALUE}).")
    private int destinations;

    @Option(names = "--rate", defaultValue = "1.842", paramLabel = "X",
        description = "Messages per second to each destination, over all relays (default: ${DEFAULT-VALUE}).")
    private double messageRate;

    @Option(names = "--limit", defaultValue = "3.9", paramLabel = "X",
        description = "Calls per second that a destination accepts, counted over 2 s (default: "
            + "${DEFAULT-VALUE}).")
    private double callsPerSecond;

    @Option(names = "--tells-wait", defaultValue = "true", negatable = true, fallbackValue = "true",
        description = "Destinations send Retry-After with refused calls (default: ${DEFAULT-VALUE}).")
    private boolean sendsRetryAfter;

    @Option(names = "--keep-all",
        description = "Introduce all destinations to the relays at the start, and never release one.")
    private boolean keepAll;

    @Option(names = "--down", defaultValue = "0.013", paramLabel = "X",
        description = "Share of the time that a destination has an outage (default: ${DEFAULT-VALUE}).")
    private double outageShare;

    @Option(names = "--outage-seconds", defaultValue = "30", paramLabel = "N",
        description = "Mean length of an outage, in seconds (default: ${DEFAULT-VALUE}).")
    private double outageSeconds;

    @Option(names = "--warm-up-seconds", defaultValue = "300", paramLabel = "N",
        description = "Virtual seconds before the measurement (default: ${DEFAULT-VALUE}).")
    private long warmUpSeconds;

    @Option(names = "--play-seconds", defaultValue = "1200", paramLabel = "N",
        description = "Virtual seconds of the measurement (default: ${DEFAULT-VALUE}).")
    private long playSeconds;

    @Override
    public Integer call() throws Exception {
        return TimeLimit.runWithin(options.maxSeconds(), this::run);
    }

    private int run() throws IOException {
        EndpointModel.Behaviour behaviour = EndpointModel.Behaviour.unlimited(250_000, 0.4)
            .with(new EndpointModel.Limit(2 * callsPerSecond, 2_000, sendsRetryAfter, false))
            .with(new EndpointModel.ColdStart(0.2, 10_000, 2, 2_000, 5_000));
        try (Report report = new Report("learn", options)) {
            for (int play = 0; play < options.plays(); play++) {
                for (long relays : options.sizes(10L, 100L, 500L, 1_000L, 2_300L)) {
                    int count = Math.toIntExact(relays);
                    LearnFleet.Setup setup = new LearnFleet.Setup(count, destinations, messageRate, behaviour,
                        outageShare, outageSeconds, !keepAll);
                    LearnFleet fleet = new LearnFleet(setup, relaySettings(count), options.seed(play));
                    report.add(new Measurement("learn", relays, play, options.seed(play),
                        fleet.play(warmUpSeconds, playSeconds)));
                }
            }
            report.finish(options.target(2_300));
        }
        return 0;
    }

    /** The settings that a real relay of a fleet of this size would read from its configuration file. */
    static Relay.Settings relaySettings(int relays) throws IOException {
        Path file = Files.createTempFile("scale-learn", ".json");
        try {
            RelayConfig.write(file,
                RelaySettings.typical("n1").withRelays(relays).withProfiles(TrafficExperiment.PROFILES),
                new InetSocketAddress("127.0.0.1", 1), null);
            return Wire.settings(Wire.decode(Files.readString(file)).object("settings"));
        } finally {
            Files.delete(file);
        }
    }
}
