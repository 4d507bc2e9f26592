import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One play of a case: the record, the temporary folder, and everything that has to be ended. The exit status is
 * 10 if the rule was broken, 0 if it held and 2 if the case could not run; run.sh turns 10 into 1.
 */
abstract class Play {
    static final int BROKEN = 10;
    private static final long MAX_SECONDS = 110;

    /** False for the play without the disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final long startNanos = System.nanoTime();
    private PrintWriter out;
    Path folder;
    private final List<AutoCloseable> toClose = new ArrayList<>();
    private final Set<Integer> ports = new HashSet<>();

    /** Thrown if the case could not run: nothing can be said about the rule. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String reason) {
            super(reason);
        }
    }

    /** Plays the case; returns true if the rule held. */
    abstract boolean play() throws Exception;

    /** Runs the case of the folder that is the first argument. */
    final void run(String[] args) {
        int status = 2;
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(TimeUnit.SECONDS.toMillis(MAX_SECONDS));
            } catch (InterruptedException e) {
                return;
            }
            note("the play took too long");
            closeAll();
            Runtime.getRuntime().halt(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::closeAll));
        try {
            out = new PrintWriter(Files.newBufferedWriter(Path.of(args[0], "record.txt")), true);
            folder = Files.createTempDirectory("case");
            note(trouble ? "play with the disruption" : "play without the disruption");
            boolean held = play();
            note(held ? "RULE HELD" : "RULE BROKEN");
            status = held ? 0 : BROKEN;
        } catch (CannotRun e) {
            note("could not run: " + e.getMessage());
        } catch (Throwable e) {
            note("could not run: " + e);
            e.printStackTrace();
        }
        closeAll();
        Runtime.getRuntime().halt(status);
    }

    /** Milliseconds since the start of the play. */
    final long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Writes a line into the record. */
    final synchronized void note(String line) {
        String stamped = String.format("%7d ms  %s", millis(), line);
        if (out != null) {
            out.println(stamped);
        }
        System.out.println(stamped);
    }

    final void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - millis()));
    }

    final synchronized <T extends AutoCloseable> T closing(T resource) {
        toClose.add(resource);
        return resource;
    }

    private synchronized void closeAll() {
        for (AutoCloseable resource : toClose) {
            try {
                resource.close();
            } catch (Exception e) {
                System.err.println(e);
            }
        }
        toClose.clear();
        if (folder != null && Files.isDirectory(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            } catch (IOException e) {
                System.err.println(e);
            }
        }
    }

    /** A loopback port that is free now, below the ports that outgoing connections get. */
    final int freePort() throws CannotRun {
        for (int tries = 0; tries < 1_000; tries++) {
            int port = ThreadLocalRandom.current().nextInt(21_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (ports.add(socket.getLocalPort())) {
                    return port;
                }
            } catch (IOException e) {
                // The port is in use.
            }
        }
        throw new CannotRun("no free port");
    }
}
