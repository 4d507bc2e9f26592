package wrenkeel.scale;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** The system's wall clock, which gives comparable times in all processes of a machine. */
final class EpochClock {
    private EpochClock() { }

    /** Returns the microseconds since the Unix epoch. */
    static long micros() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }
}
