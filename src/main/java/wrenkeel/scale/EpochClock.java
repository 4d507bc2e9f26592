package wrenkeel.scale;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** The one clock that all processes of a machine read. */
final class EpochClock {
    private EpochClock() { }

    /** us since the Unix epoch. */
    static long micros() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }
}
