package wrenkeel.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Least-squares linear fit of one value over the sizes of all plays.
 *
 * @param value name of the value
 * @param at0 the fit at size 0, in the value's unit
 * @param perUnit slope: change of the value per unit of size
 * @param r2 share of the variance that the fit explains
 * @param atTarget the fit extrapolated to the target size, in the value's unit
 * @param spread the largest (max - min) / mean over the plays of one size
 */
record LinearFit(String value, double at0, double perUnit, double r2, double atTarget, double spread) {
    /** Minimum number of sizes for a fit. */
    static final int MIN_SIZES = 4;

    /** Number of sizes for which this value was measured. */
    static int countSizes(String value, List<Measurement> plays) {
        return bySize(value, plays).size();
    }

    /**
     * Fits the value; plays without it are left out.
     *
     * @throws IllegalArgumentException if fewer than {@link #MIN_SIZES} sizes have the value
     */
    static LinearFit fit(String value, List<Measurement> plays, long target) {
        Map<Long, List<Double>> bySize = bySize(value, plays);
        if (bySize.size() < MIN_SIZES) {
            throw new IllegalArgumentException("no linear fit for " + value + ": measured at " + bySize.size()
                + " sizes, at least " + MIN_SIZES + " are needed");
        }
        double count = 0;
        double meanX = 0;
        double meanY = 0;
        for (Map.Entry<Long, List<Double>> entry : bySize.entrySet()) {
            for (double y : entry.getValue()) {
                count++;
                meanX += (entry.getKey() - meanX) / count;
                meanY += (y - meanY) / count;
            }
        }
        double xx = 0;
        double xy = 0;
        double yy = 0;
        double spread = 0;
        for (Map.Entry<Long, List<Double>> entry : bySize.entrySet()) {
            double dx = entry.getKey() - meanX;
            for (double y : entry.getValue()) {
                xx += dx * dx;
                xy += dx * (y - meanY);
                yy += (y - meanY) * (y - meanY);
            }
            spread = Math.max(spread, spread(entry.getValue()));
        }
        double perUnit = xy / xx;
        double at0 = meanY - perUnit * meanX;
        double r2 = yy == 0 ? 1 : xy * xy / (xx * yy);
        return new LinearFit(value, at0, perUnit, r2, at0 + perUnit * target, spread);
    }

    private static double spread(List<Double> values) {
        double min = values.stream().mapToDouble(v -> v).min().orElseThrow();
        double max = values.stream().mapToDouble(v -> v).max().orElseThrow();
        double mean = values.stream().mapToDouble(v -> v).average().orElseThrow();
        return max == min ? 0 : (max - min) / Math.abs(mean);
    }

    private static Map<Long, List<Double>> bySize(String value, List<Measurement> plays) {
        Map<Long, List<Double>> bySize = new TreeMap<>();
        for (Measurement play : plays) {
            Double measured = play.values().get(value);
            if (measured != null) {
                bySize.computeIfAbsent(play.size(), size -> new ArrayList<>()).add(measured);
            }
        }
        return bySize;
    }
}
