package wrenkeel.scale;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** File descriptors of this process. */
final class Descriptors {
    private Descriptors() { }

    /** How many are open now; -1 where the platform does not tell. */
    static long openCount() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
            ? system.getOpenFileDescriptorCount() : -1;
    }
}
