package wrenkeel.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The clocks of the machine, as this process reads them. */
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

    /** Nanoseconds since some moment of this boot; never goes back, is the same for all processes. */
    long monotonicNanos();

    /** Unix time in milliseconds; may be stepped at any moment, forward or back. */
    long wallMillis();

    /** Names the machine's present boot, within which monotonic readings compare; empty where unknown. */
    String bootId();
}
