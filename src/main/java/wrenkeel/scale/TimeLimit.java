package wrenkeel.scale;

import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Exits this JVM, and so ends the processes that it started, when a run exceeds its time limit. */
public final class TimeLimit {
    /** Exit code of a run that exceeded its time limit. */
    private static final int EXCEEDED_EXIT_CODE = 3;

    private TimeLimit() { }

    /** Runs an experiment and returns its result; exits the JVM if it takes longer than {@code seconds}. */
    public static int runWithin(long seconds, Callable<Integer> run) throws Exception {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "time limit");
            thread.setDaemon(true);
            return thread;
        });
        timer.schedule(() -> {
            System.err.println("run aborted: time limit of " + seconds + " s exceeded (--most-seconds)");
            System.exit(EXCEEDED_EXIT_CODE);
        }, seconds, TimeUnit.SECONDS);
        try {
            return run.call();
        } finally {
            timer.shutdownNow();
        }
    }
}
