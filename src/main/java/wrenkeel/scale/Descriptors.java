package wrenkeel.scale;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** Counts the file descriptors of this process. */
final class Descriptors {
    private Descriptors() { }

    /** Returns how many are open now; -1 if the platform does not report it. */
    static long openCount() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
            ? system.getOpenFileDescriptorCount() : -1;
    }
}
