package wrenkeel.scale;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import wrenkeel.Wire;

/**
 * One real relay, started by {@code run} of the deploy file under the limits that stand there, with a temporary folder
 * of its own that is deleted at the end. At most one process at a time; it dies with this JVM. Not for several threads.
 */
final class RelayProcess implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"");
    private static final Pattern SERVING = Pattern.compile("serving on \\S*?:(\\d+)"),
        CONSOLE = Pattern.compile("operators at \\S*?:(\\d+)");
    private static final Duration LOOK = Duration.ofMillis(5);
    private static final int CALL_PATIENCE = 2_000;

    private final Path root;
    private final Path folder;
    private final RelaySettings settings;
    private final InetSocketAddress agent;
    private final Thread atExit = new Thread(this::end, "end of a relay");
    private Process process;
    private ProcessStats stats;
    private int starts;
    private InetSocketAddress clients;
    private InetSocketAddress console;

    /**
     * Writes the configuration; {@link #start} starts the process.
     *
     * @param root the repository's root, built
     * @param known the list that the configuration holds, in discovery's form; null for none
     */
    RelayProcess(Path root, RelaySettings settings, InetSocketAddress agent, byte[] known) throws IOException {
        this.root = root;
        this.settings = settings;
        this.agent = agent;
        folder = Files.createTempDirectory("scale-relay");
        Files.createDirectory(folder.resolve("state"));
        Files.createDirectory(folder.resolve("tmp"));
        RelayConfig.write(folder.resolve("config.json"), settings, agent, known);
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    /** Starts the process, or one more after the last has ended; the lasting folder is kept. Does not wait. */
    void start() throws IOException {
        if (process != null && process.isAlive()) {
            throw new IllegalStateException("process " + process.pid() + " runs");
        }
        clients = null;
        console = null;
        ProcessBuilder run = new ProcessBuilder("/bin/sh", "-c", command(root)).directory(root.toFile())
            .redirectErrorStream(true).redirectOutput(log(++starts).toFile());
        run.environment().putAll(Map.of("EDGE_NAME", settings.name(), "EDGE_LISTEN", "127.0.0.1:0",
            "EDGE_CONSOLE", "127.0.0.1:0", "EDGE_DISCOVERY", RelayConfig.text(agent),
            "EDGE_STATE", state().toString(), "EDGE_CONFIG", folder.resolve("config.json").toString(),
            "TMPDIR", folder.resolve("tmp").toString()));
        process = run.start();
        stats = new ProcessStats(process.pid());
    }

    private static String command(Path root) throws IOException {
        Path file = root.resolve("deploy/balancer.toml");
        Matcher run = RUN.matcher(Files.readString(file));
        if (!run.find()) {
            throw new IOException("no run = \"...\" in " + file);
        }
        return run.group(1).replaceAll("\\\\(.)", "$1");
    }

    private Path log(int start) {
        return folder.resolve("log." + start);
    }

    /** What the latest process has written so far. */
    String log() throws IOException {
        return starts == 0 ? "" : Files.readString(log(starts));
    }

    /** The folder that lasts. */
    Path state() {
        return folder.resolve("state");
    }

    long pid() {
        return process.pid();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    /** Waits until the process serves clients; false where it does not in time. */
    boolean awaitServing(Duration atMost) throws IOException, InterruptedException {
        if (!awaitConsole(atMost)) {
            return false;
        }
        clients = awaitAddress(SERVING, atMost);
        return clients != null;
    }

    /** Waits until the process answers operators; false where it does not in time. */
    boolean awaitConsole(Duration atMost) throws IOException, InterruptedException {
        if (console == null) {
            console = awaitAddress(CONSOLE, atMost);
        }
        return console != null;
    }

    private InetSocketAddress awaitAddress(Pattern pattern, Duration atMost) throws IOException, InterruptedException {
        long by = System.nanoTime() + atMost.toNanos();
        while (true) {
            boolean ended = !process.isAlive();
            Matcher line = pattern.matcher(log());
            if (line.find()) {
                return new InetSocketAddress("127.0.0.1", Integer.parseInt(line.group(1)));
            }
            if (ended) {
                throw new IOException("the relay ended with code " + process.exitValue() + ": "
                    + log().lines().limit(3).toList());
            }
            if (System.nanoTime() > by) {
                return null;
            }
            Thread.sleep(LOOK.toMillis());
        }
    }

    /** Where clients connect, once it serves. */
    InetSocketAddress clients() {
        return clients;
    }

    /** Where operators connect, once it answers them. */
    InetSocketAddress console() {
        return console;
    }

    /** The figures of the console. */
    Wire.Fields telemetry() throws IOException {
        HttpURLConnection call = (HttpURLConnection) URI.create("http://" + RelayConfig.text(console)
            + "/api/telemetry").toURL().openConnection();
        call.setConnectTimeout(CALL_PATIENCE);
        call.setReadTimeout(CALL_PATIENCE);
        try (InputStream answer = call.getInputStream()) {
            return Wire.decode(new String(answer.readAllBytes(), StandardCharsets.UTF_8));
        } finally {
            call.disconnect();
        }
    }

    /** How many hosts the list that it holds names. */
    long members() throws IOException {
        return telemetry().whole("members");
    }

    /** Waits until the list that it holds names so many hosts; false where it does not in time. */
    boolean awaitMembers(long hosts, Duration atMost, Duration look) throws IOException, InterruptedException {
        long by = System.nanoTime() + atMost.toNanos();
        if (!awaitConsole(atMost)) {
            return false;
        }
        while (members() != hosts) {
            if (System.nanoTime() > by) {
                return false;
            }
            Thread.sleep(look.toMillis());
        }
        return true;
    }

    /** Processor time of the process since its start, us. */
    long cpuMicros() throws IOException {
        return stats.cpuMicros();
    }

    /** Resident memory, bytes. */
    long rssBytes() throws IOException {
        return stats.rssBytes();
    }

    /** The most resident memory since the start, bytes. */
    long peakRssBytes() throws IOException {
        return stats.peakRssBytes();
    }

    /** SIGKILL; returns once the process has ended. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** SIGTERM; returns once the process has ended, by SIGKILL where it takes longer. */
    void terminate(Duration atMost) throws InterruptedException {
        process.destroy();
        if (!process.waitFor(atMost.toMillis(), TimeUnit.MILLISECONDS)) {
            kill();
        }
    }

    /** SIGHUP: the configuration is read anew. */
    void reload() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", Long.toString(pid())).start().waitFor();
    }

    private void end() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Ends the process and deletes its folder. */
    @Override
    public void close() throws IOException {
        end();
        Runtime.getRuntime().removeShutdownHook(atExit);
        try {
            if (process != null) {
                process.waitFor();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        List<Path> left;
        try (Stream<Path> all = Files.walk(folder)) {
            left = all.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : left) {
            Files.delete(path);
        }
    }
}
