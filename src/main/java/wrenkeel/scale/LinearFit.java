package wrenkeel.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The straight line through one value over all plays of all sizes, by least squares. {@code at0} and {@code
 * atTarget} are in the value's unit, {@code perUnit} in that a unit of size; {@code r2} is the share of the
 * variance that the line explains; {@code spread} is the largest (max - min) / mean over the plays of one
 * size.
 */
record LinearFit(String value, double at0, double perUnit, double r2, double atTarget, double spread) {
    /** Fewer sizes make no line. */
    static final int MIN_SIZES = 4;

    /** How many sizes have this value. */
    static int countSizes(String value, List<Measurement> plays) {
        return bySize(value, plays).size();
    }

    /**
     * Plays without the value are left out.
     *
     * @throws IllegalArgumentException if fewer than four sizes have it
     */
    static LinearFit fit(String value, List<Measurement> plays, long target) {
        Map<Long, List<Double>> bySize = bySize(value, plays);
        if (bySize.size() < MIN_SIZES) {
            throw new IllegalArgumentException("no line for " + value + ": " + bySize.size()
                + " sizes have it, " + MIN_SIZES + " are needed");
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
