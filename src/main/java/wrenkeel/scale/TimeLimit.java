package wrenkeel.scale;

import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Ends this JVM, with the processes that it started, once a run has lasted too long. */
public final class TimeLimit {
    /** The exit code then. */
    private static final int EXCEEDED_EXIT_CODE = 3;

    private TimeLimit() { }

    /** Runs an experiment that may last so long. */
    public static int runWithin(long seconds, Callable<Integer> run) throws Exception {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "time limit");
            thread.setDaemon(true);
            return thread;
        });
        timer.schedule(() -> {
            System.err.println("ended: the run has lasted " + seconds + " s (--most-seconds)");
            System.exit(EXCEEDED_EXIT_CODE);
        }, seconds, TimeUnit.SECONDS);
        try {
            return run.call();
        } finally {
            timer.shutdownNow();
        }
    }
}
