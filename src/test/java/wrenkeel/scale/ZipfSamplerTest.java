package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class ZipfSamplerTest {
    @Test
    void sharesDecreaseWithTheRank() {
        ZipfSampler sampler = new ZipfSampler(3, 1);
        assertEquals(6.0 / 11, sampler.share(0), 1e-9);
        assertEquals(3.0 / 11, sampler.share(1), 1e-9);
        assertEquals(2.0 / 11, sampler.share(2), 1e-9);
    }

    @Property
    void pointMapsToTheDestinationThatCoversIt(@ForAll @IntRange(min = 1, max = 50) int destinations,
                                               @ForAll @DoubleRange(min = 0, max = 2) double exponent,
                                               @ForAll long seed) {
        ZipfSampler sampler = new ZipfSampler(destinations, exponent);
        double point = new SplittableRandom(seed).nextDouble();
        double before = 0;
        int expected = 0;
        while (expected < destinations - 1 && before + sampler.share(expected) <= point - 1e-12) {
            before += sampler.share(expected++);
        }
        assertEquals(expected, sampler.destinationAt(point), 1);
    }

    @Test
    void drawsDestinationsInProportionToTheirShares() {
        ZipfSampler sampler = new ZipfSampler(100, 0.85);
        SplittableRandom random = new SplittableRandom(5);
        int first = 0;
        for (int i = 0; i < 100_000; i++) {
            first += sampler.next(random) == 0 ? 1 : 0;
        }
        assertEquals(sampler.share(0), first / 100_000.0, 0.005);
    }
}
