package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HangupSignalTest {
    /** Guards against an end at SIGHUP, which would be a crash: without a handler this test's process dies too. */
    @Test
    void theHandlerRunsOnEachHangup() throws Exception {
        Semaphore received = new Semaphore(0);
        HangupSignal.setHandler(received::release);
        Class<?> signal = Class.forName("sun.misc.Signal");
        for (int i = 0; i < 2; i++) {
            signal.getMethod("raise", signal).invoke(null, signal.getConstructor(String.class).newInstance("HUP"));
            assertTrue(received.tryAcquire(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }
}
