package wrenkeel.scale;

import java.util.SplittableRandom;

/**
 * Draws destinations 0 to n - 1 where the k-th has a share in proportion to 1 / k^exponent; 0 is the busiest.
 */
final class ZipfSampler {
    private final double[] cumulativeShares;

    /** {@code exponent}: 0 for even traffic. */
    ZipfSampler(int destinations, double exponent) {
        if (destinations < 1 || exponent < 0) {
            throw new IllegalArgumentException("needs a destination and an exponent of 0 or more");
        }
        cumulativeShares = new double[destinations];
        double sum = 0;
        for (int k = 0; k < destinations; k++) {
            sum += Math.pow(k + 1, -exponent);
            cumulativeShares[k] = sum;
        }
    }

    int next(SplittableRandom random) {
        return destinationAt(random.nextDouble());
    }

    /** The destination at this point of the summed shares, 0 to 1 (exclusive). */
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

    /** Share of all traffic that a destination gets, 0 to 1. */
    double share(int destination) {
        double before = destination == 0 ? 0 : cumulativeShares[destination - 1];
        return (cumulativeShares[destination] - before) / cumulativeShares[cumulativeShares.length - 1];
    }
}
