package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The handler for SIGHUP. */
class HangupSignalTest {
    /** Guards against a crash: without a handler, SIGHUP ends the process, in this test too. */
    @Test
    void theHandlerRunsOnEachHangup() throws Exception {
        Semaphore received = new Semaphore(0);
        HangupSignal.setHandler(received::release);
        Class<?> signal = Class.forName("sun.misc.Signal");
        for (int i = 0; i < 2; i++) {
            signal.getMethod("raise", signal).invoke(null,
                signal.getConstructor(String.class).newInstance("HUP"));
            assertTrue(received.tryAcquire(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }
}
