package wrenkeel.scale;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Ends the whole run, with the processes that it started, once it has lasted too long. */
final class TimeLimit implements AutoCloseable {
    private static final int EXCEEDED = 3;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "time limit");
        thread.setDaemon(true);
        return thread;
    });

    TimeLimit(long seconds) {
        timer.schedule(() -> {
            System.err.println("ended: the run has lasted " + seconds + " s, as many as --most-seconds allows");
            System.exit(EXCEEDED);
        }, seconds, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
