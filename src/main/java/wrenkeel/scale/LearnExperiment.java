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
 * What a fleet finds out about destinations by its own calls, by the number of relays that share the same
 * traffic. The relays' decisions are the real ones, everything round them is modelled in this process ({@link
 * LearnFleet}). The destinations' limits, outages and cold returns are assumptions, and options.
 */
@Command(name = "learn", mixinStandardHelpOptions = true,
    description = "Many relays' decisions on a virtual clock: refused calls, cold falls, copies, what is "
        + "known.")
final class LearnExperiment implements Callable<Integer> {
    @Mixin
    private CommonOptions options;

    @Option(names = "--destinations", defaultValue = "40", paramLabel = "N",
        description = "Destinations, with two endpoints each (default: ${DEFAULT-VALUE}).")
    private int destinations;

    @Option(names = "--rate", defaultValue = "1.842", paramLabel = "X",
        description = "Events a second for each destination, over all relays (default: ${DEFAULT-VALUE}).")
    private double messageRate;

    @Option(names = "--limit", defaultValue = "3.9", paramLabel = "X",
        description = "Calls a second that a destination takes, counted over 2 s (default: "
            + "${DEFAULT-VALUE}).")
    private double callsPerSecond;

    @Option(names = "--tells-wait", defaultValue = "true", negatable = true, fallbackValue = "true",
        description = "Refused calls are told to wait (default: ${DEFAULT-VALUE}).")
    private boolean sendsRetryAfter;

    @Option(names = "--keep-all",
        description = "The module is told of all destinations at the start and releases none.")
    private boolean keepAll;

    @Option(names = "--down", defaultValue = "0.013", paramLabel = "X",
        description = "Part of the time that a destination is out (default: ${DEFAULT-VALUE}).")
    private double outageShare;

    @Option(names = "--outage-seconds", defaultValue = "30", paramLabel = "N",
        description = "Mean length of an outage (default: ${DEFAULT-VALUE}).")
    private double outageSeconds;

    @Option(names = "--warm-up-seconds", defaultValue = "300", paramLabel = "N",
        description = "Virtual time before the play (default: ${DEFAULT-VALUE}).")
    private long warmUpSeconds;

    @Option(names = "--play-seconds", defaultValue = "1200", paramLabel = "N",
        description = "Virtual time measured (default: ${DEFAULT-VALUE}).")
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
                    LearnFleet.Setup setup = new LearnFleet.Setup(count, destinations, messageRate, behaviour, outageShare,
                        outageSeconds, !keepAll);
                    LearnFleet fleet = new LearnFleet(setup, relaySettings(count), options.seed(play));
                    report.add(new Measurement("learn", relays, play, options.seed(play),
                        fleet.play(warmUpSeconds, playSeconds)));
                }
            }
            report.finish(options.target(2_300));
        }
        return 0;
    }

    /** Those that a real relay would read. */
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
