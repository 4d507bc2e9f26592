package wrenkeel.net;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which would end the process if nobody heard it. The JDK offers signals only through sun.misc; it is
 * reached by reflection, for a direct use cannot be compiled without a warning.
 */
final class HangupSignal {
    private HangupSignal() { }

    /** Runs this at each SIGHUP from now on, on a thread of its own. */
    static void setHandler(Runnable task) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object heard = Proxy.newProxyInstance(HangupSignal.class.getClassLoader(), new Class<?>[] {handler},
            (proxy, method, arguments) -> {
                task.run();
                return null;
            });
        signal.getMethod("handle", signal, handler)
            .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), heard);
    }
}
