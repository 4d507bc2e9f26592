package wrenkeel.net;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which ends a process that has no handler for it. The JDK offers signal handlers only in
 * sun.misc, which is used by reflection because a direct use does not compile without a warning.
 */
final class HangupSignal {
    private HangupSignal() { }

    /** From now on runs the task at each SIGHUP, on a thread of its own. */
    static void setHandler(Runnable task) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object taskHandler = Proxy.newProxyInstance(HangupSignal.class.getClassLoader(),
            new Class<?>[] {handler},
            (proxy, method, arguments) -> {
                task.run();
                return null;
            });
        signal.getMethod("handle", signal, handler)
            .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), taskHandler);
    }
}
