package wrenkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The shapes of outages that are drawn. */
class OutageShapeTest {
    @Test
    void oneSeedAlwaysGivesTheSameShape() {
        assertEquals(OutageShape.draw(7), OutageShape.draw(7));
    }

    @Test
    void shapesOfAllFailuresAndFleetSizesAreDrawn() {
        Set<OutageShape.Failure> failures = LongStream.range(0, 500).mapToObj(OutageShape::draw)
            .map(OutageShape::failure).collect(Collectors.toSet());
        Set<Integer> sizes = LongStream.range(0, 500).mapToObj(OutageShape::draw).map(OutageShape::relays)
            .collect(Collectors.toSet());
        assertEquals(Set.copyOf(Arrays.asList(OutageShape.Failure.values())), failures);
        assertEquals(Set.of(24, 48, 120, 2_300), sizes);
    }

    @Test
    void eachRelayGetsBetweenOneMessageInFiftySecondsAndTwoASecond() {
        LongStream.range(0, 500).mapToObj(OutageShape::draw).forEach(shape -> {
            double rate = shape.messagesPerSecond() / shape.relays();
            assertTrue(rate >= 0.02 && rate <= 2, shape.toString());
        });
    }

    @Test
    void playableShapesFitRealProcesses() {
        LongStream.range(0, 50).mapToObj(OutageShape::drawPlayable).forEach(shape ->
            assertTrue(shape.relays() <= 48 && shape.endpoints() == 1 && OutageRun.canPlay(shape.failure()),
                shape.toString()));
    }
}
