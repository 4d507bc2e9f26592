package wrenkeel.scale;

import java.util.SplittableRandom;

/**
 * Draws destinations from a Zipf distribution: destination k (from 0) has a share in proportion to
 * 1 / (k + 1)^exponent, so destination 0 is the busiest.
 */
final class ZipfSampler {
    /** Sum of the shares of all destinations up to and including each one, not normalized. */
    private final double[] cumulativeShares;

    /** {@code exponent}: 0 for a uniform distribution. */
    ZipfSampler(int destinations, double exponent) {
        if (destinations < 1 || exponent < 0) {
            throw new IllegalArgumentException("needs at least 1 destination and an exponent of at least 0");
        }
        cumulativeShares = new double[destinations];
        double sum = 0;
        for (int k = 0; k < destinations; k++) {
            sum += Math.pow(k + 1, -exponent);
            cumulativeShares[k] = sum;
        }
    }

    /** Draws a destination. */
    int next(SplittableRandom random) {
        return destinationAt(random.nextDouble());
    }

    /** The destination at this point of the cumulative distribution, from 0 to 1 (exclusive). */
    int destinationAt(double point) {
        double target = point * cumulativeShares[cumulativeShares.length - 1];
        int low = 0;
        int high = cumulativeShares.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (cumulativeShares[middle] > target) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    /** Share of all traffic that goes to this destination, 0 to 1. */
    double share(int destination) {
        double before = destination == 0 ? 0 : cumulativeShares[destination - 1];
        return (cumulativeShares[destination] - before) / cumulativeShares[cumulativeShares.length - 1];
    }
}
