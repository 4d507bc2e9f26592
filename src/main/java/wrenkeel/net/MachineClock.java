package wrenkeel.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The machine's clocks. */
interface MachineClock {
    /** The real clocks. */
    MachineClock SYSTEM = new MachineClock() {
        @Override
        public long monotonicNanos() {
            return System.nanoTime();
        }

        @Override
        public long wallMillis() {
            return System.currentTimeMillis();
        }

        @Override
        public String bootId() {
            try {
                return Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip();
            } catch (IOException e) {
                return "";
            }
        }
    };

    /** Nanoseconds since a fixed moment of this boot; never goes back and is the same for all processes. */
    long monotonicNanos();

    /** Unix time in milliseconds; may be stepped forward or back at any moment. */
    long wallMillis();

    /** Identifies the machine's current boot; monotonic times are comparable within it. Empty if unknown. */
    String bootId();
}
