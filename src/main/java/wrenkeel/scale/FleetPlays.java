package wrenkeel.scale;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Runs an experiment with a fleet at each size, several times, and reports the results. */
final class FleetPlays {
    /** One measured run of an experiment. */
    interface Play {
        /** Runs the experiment with {@code size} relays and returns the measured values by name. */
        Map<String, Double> play(int size, long seed) throws IOException, InterruptedException;
    }

    private FleetPlays() { }

    /**
     * Runs the experiment within the time limit of the options, and returns the exit code.
     *
     * @param sizes fleet sizes, in relays, if the options name none
     * @param targetRelays fleet size that the report extrapolates to, if the options name none
     */
    static int run(String experiment, CommonOptions options, List<Long> sizes, long targetRelays, Play play)
        throws Exception {
        return TimeLimit.runWithin(options.maxSeconds(), () -> {
            try (Report report = new Report(experiment, options)) {
                // The sizes are the inner loop: a drift of the machine's speed then shows as variance among
                // the plays of a size, not as a trend over the sizes.
                for (int i = 0; i < options.plays(); i++) {
                    for (long size : options.sizes(sizes.toArray(Long[]::new))) {
                        report.add(new Measurement(experiment, size, i, options.seed(i),
                            play.play(Math.toIntExact(size), options.seed(i))));
                    }
                }
                report.finish(options.target(targetRelays));
            }
            return 0;
        });
    }
}
