package wrenkeel.scale;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Plays an experiment with a fleet at each size, and reports. */
final class FleetPlays {
    /** One play with so many relays; its values by name. */
    interface Play {
        Map<String, Double> play(int size, long seed) throws IOException, InterruptedException;
    }

    private FleetPlays() { }

    /** {@code sizes} and {@code target}, in relays, where the options name none. */
    static int run(String experiment, CommonOptions options, List<Long> sizes, long target, Play play)
        throws Exception {
        return TimeLimit.runWithin(options.maxSeconds(), () -> {
            try (Report report = new Report(experiment, options)) {
                // Plays outside, sizes inside: what drifts on the machine shows as spread, not as a slope.
                for (int i = 0; i < options.plays(); i++) {
                    for (long size : options.sizes(sizes.toArray(Long[]::new))) {
                        report.add(new Measurement(experiment, size, i, options.seed(i),
                            play.play(Math.toIntExact(size), options.seed(i))));
                    }
                }
                report.finish(options.target(target));
            }
            return 0;
        });
    }
}
