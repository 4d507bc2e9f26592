package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class LinearFitTest {
    private static Measurement play(long size, int play, double value) {
        return new Measurement("list", size, play, 1, Map.of("cpu_ms", value));
    }

    @Test
    void fitsAStraightLineAndExtrapolatesItToTheTarget() {
        List<Measurement> plays = new ArrayList<>();
        for (long size : List.of(10L, 1_000L, 20_000L, 300_000L)) {
            plays.add(play(size, 0, 7 + 0.25 * size));
        }
        LinearFit fit = LinearFit.fit("cpu_ms", plays, 1_000_000);
        assertEquals(7, fit.at0(), 1e-6);
        assertEquals(0.25, fit.perUnit(), 1e-12);
        assertEquals(1, fit.r2(), 1e-12);
        assertEquals(250_007, fit.atTarget(), 1e-6);
        assertEquals(0, fit.spread());
    }

    @Test
    void spreadIsTheLargestOfAnySizeAndNoiseLowersRSquared() {
        List<Measurement> plays = new ArrayList<>();
        for (long size = 1; size <= 4; size++) {
            plays.add(play(size, 0, 10 * size - 1));
            plays.add(play(size, 1, 10 * size + 1));
        }
        LinearFit fit = LinearFit.fit("cpu_ms", plays, 10);
        assertEquals(10, fit.perUnit(), 1e-9);
        assertEquals(100, fit.atTarget(), 1e-9);
        assertEquals(0.2, fit.spread(), 1e-9);
        // Sum of squares over the 8 plays: 1000 from the fit, 8 from the noise.
        assertEquals(1_000.0 / 1_008, fit.r2(), 1e-9);
    }

    @Test
    void fitsAConstantValueExactly() {
        List<Measurement> plays = List.of(play(1, 0, 0), play(2, 0, 0), play(3, 0, 0), play(4, 0, 0));
        assertEquals(new LinearFit("cpu_ms", 0, 0, 1, 0, 0), LinearFit.fit("cpu_ms", plays, 9));
    }

    @Test
    void rejectsThreeSizesWhateverTheNumberOfPlays() {
        List<Measurement> plays = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            plays.add(play(i % 3, i / 3, i));
        }
        plays.add(new Measurement("list", 77, 0, 1, Map.of("other_ms", 1.0)));
        assertEquals(3, LinearFit.countSizes("cpu_ms", plays));
        assertThrows(IllegalArgumentException.class, () -> LinearFit.fit("cpu_ms", plays, 9));
    }
}
