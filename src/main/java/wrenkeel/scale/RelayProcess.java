package wrenkeel.scale;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
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
 * One real relay, started with the {@code run} command and the limits of {@code deploy/balancer.toml}, with
 * its own temporary folder, which {@link #close} deletes. It has at most one process at a time, and may be
 * restarted; the process is killed when this JVM exits. Not thread-safe.
 */
public final class RelayProcess implements AutoCloseable {
    /** The {@code run} setting of the deploy file. */
    private static final Pattern RUN_SETTING = Pattern.compile("(?m)^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"");
    /** Requires a character after the port, because the line may be only partly written. */
    private static final Pattern SERVING_LINE = Pattern.compile("serving on \\S*?:(\\d+)\\D");
    /** Like {@link #SERVING_LINE}. */
    private static final Pattern CONSOLE_LINE = Pattern.compile("operators at \\S*?:(\\d+)\\D");
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
    private static final int CALL_TIMEOUT_MS = 2_000;

    private final Path root;
    private final Path folder;
    private final RelaySettings settings;
    private InetSocketAddress agent;
    private final Map<String, String> environment;
    private final Thread shutdownHook = new Thread(this::killAndDelete, "relay cleanup");
    private Process process;
    private ProcessStats stats;
    private int startCount;
    private InetSocketAddress clientAddress;
    private InetSocketAddress consoleAddress;

    /**
     * Writes the configuration; {@link #start} starts the process.
     *
     * @param root root folder of the repository, which must be built
     * @param knownList the host list that the configuration holds, in discovery's JSON form; null for none
     */
    RelayProcess(Path root, RelaySettings settings, InetSocketAddress agent, byte[] knownList)
        throws IOException {
        this(root, settings, agent, knownList, Map.of());
    }

    /**
     * Like the other constructor; {@code environment} holds further environment variables for the process.
     */
    public RelayProcess(Path root, RelaySettings settings, InetSocketAddress agent, byte[] knownList,
                        Map<String, String> environment) throws IOException {
        this.root = root;
        this.settings = settings;
        this.agent = agent;
        this.environment = environment;
        folder = Files.createTempDirectory("scale-relay");
        Files.createDirectory(folder.resolve("state"));
        Files.createDirectory(folder.resolve("tmp"));
        RelayConfig.write(folder.resolve("config.json"), settings, agent, knownList);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Starts a process; the previous one must have ended. The state folder is kept. Does not wait until the
     * relay serves.
     */
    public void start() throws IOException {
        if (process != null && process.isAlive()) {
            throw new IllegalStateException("the relay is already running as process " + process.pid());
        }
        clientAddress = null;
        consoleAddress = null;
        ProcessBuilder processBuilder = new ProcessBuilder("/bin/sh", "-c", readRunCommand(root))
            .directory(root.toFile()).redirectErrorStream(true).redirectOutput(log(++startCount).toFile());
        processBuilder.environment().putAll(Map.of("EDGE_NAME", settings.name(), "EDGE_LISTEN", "127.0.0.1:0",
            "EDGE_CONSOLE", "127.0.0.1:0", "EDGE_DISCOVERY", RelayConfig.hostAndPort(agent),
            "EDGE_STATE", stateFolder().toString(), "EDGE_CONFIG", folder.resolve("config.json").toString(),
            "TMPDIR", folder.resolve("tmp").toString()));
        processBuilder.environment().putAll(environment);
        process = processBuilder.start();
        stats = new ProcessStats(process.pid());
    }

    private static String readRunCommand(Path root) throws IOException {
        Path file = root.resolve("deploy/balancer.toml");
        Matcher runSetting = RUN_SETTING.matcher(Files.readString(file));
        if (!runSetting.find()) {
            throw new IOException("no setting run = \"...\" in " + file);
        }
        return runSetting.group(1).replaceAll("\\\\(.)", "$1");
    }

    private Path log(int start) {
        return folder.resolve("log." + start);
    }

    /** Returns the output of the latest process so far; empty before the first start. */
    public String log() throws IOException {
        return startCount == 0 ? "" : Files.readString(log(startCount));
    }

    /** Returns the output of all processes so far, the latest last, each with a heading. */
    public String allLogs() throws IOException {
        StringBuilder logs = new StringBuilder();
        for (int start = 1; start <= startCount; start++) {
            logs.append("---- start ").append(start).append('\n').append(Files.readString(log(start)));
        }
        return logs.toString();
    }

    /** Waits until the process has ended; returns false on timeout. */
    public boolean awaitExit(Duration timeout) throws InterruptedException {
        return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns the relay's state folder, which outlasts restarts. */
    public Path stateFolder() {
        return folder.resolve("state");
    }

    /** Returns the id of the latest process. */
    public long pid() {
        return process.pid();
    }

    /** Returns whether a process is running. */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /**
     * Waits until the process serves clients; returns false on timeout.
     *
     * @throws IOException if the process has ended
     */
    public boolean awaitServing(Duration timeout) throws IOException, InterruptedException {
        if (!awaitConsole(timeout)) {
            return false;
        }
        clientAddress = awaitAddress(SERVING_LINE, timeout);
        return clientAddress != null;
    }

    /**
     * Waits until the process listens for operators; returns false on timeout.
     *
     * @throws IOException if the process has ended
     */
    boolean awaitConsole(Duration timeout) throws IOException, InterruptedException {
        if (consoleAddress == null) {
            consoleAddress = awaitAddress(CONSOLE_LINE, timeout);
        }
        return consoleAddress != null;
    }

    /** Waits for a line in the log of the latest process, and returns its address; null on timeout. */
    private InetSocketAddress awaitAddress(Pattern pattern, Duration timeout)
        throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (true) {
            boolean ended = !process.isAlive();
            Matcher line = pattern.matcher(log());
            if (line.find()) {
                return new InetSocketAddress("127.0.0.1", Integer.parseInt(line.group(1)));
            }
            if (ended) {
                throw new IOException("the relay exited with code " + process.exitValue()
                    + "; start of its log: " + log().lines().limit(3).toList());
            }
            if (System.nanoTime() > deadlineNanos) {
                return null;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }

    /** Returns the clients' address; null before {@link #awaitServing} has succeeded. */
    public InetSocketAddress clientAddress() {
        return clientAddress;
    }

    /** Returns the operators' address; null before {@link #awaitConsole} has succeeded. */
    InetSocketAddress consoleAddress() {
        return consoleAddress;
    }

    /** Returns the metrics of the relay's console. */
    public Wire.Fields telemetry() throws IOException {
        HttpURLConnection call = openConnection("telemetry");
        try (InputStream answer = call.getInputStream()) {
            return Wire.decode(new String(answer.readAllBytes(), StandardCharsets.UTF_8));
        } finally {
            call.disconnect();
        }
    }

    /** Returns whether the console reports the relay as ready. */
    boolean isReady() throws IOException {
        HttpURLConnection call = openConnection("ready");
        try {
            return call.getResponseCode() == HttpURLConnection.HTTP_OK;
        } finally {
            call.disconnect();
        }
    }

    private HttpURLConnection openConnection(String name) throws IOException {
        URI uri = URI.create("http://" + RelayConfig.hostAndPort(consoleAddress) + "/api/" + name);
        HttpURLConnection call = (HttpURLConnection) uri.toURL().openConnection();
        call.setConnectTimeout(CALL_TIMEOUT_MS);
        call.setReadTimeout(CALL_TIMEOUT_MS);
        return call;
    }

    /** Returns the number of hosts in the list that the relay holds. */
    long memberCount() throws IOException {
        return telemetry().longValue("members");
    }

    /**
     * Waits until the relay's list has the given number of hosts; returns false on timeout or when the
     * process ends. Failed calls are repeated, because the relay may be too busy to answer operators.
     */
    boolean awaitMemberCount(long hosts, Duration timeout, Duration pollInterval)
        throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (isAlive() && System.nanoTime() < deadlineNanos) {
            try {
                if (awaitConsole(Duration.ofNanos(deadlineNanos - System.nanoTime()))
                    && memberCount() == hosts) {
                    return true;
                }
            } catch (IOException e) {
                if (!isAlive()) {
                    System.err.println(settings.name() + ": " + e.getMessage());
                }
            }
            Thread.sleep(pollInterval.toMillis());
        }
        return false;
    }

    /** Returns the processor time of the process since its start, in microseconds. */
    long cpuMicros() throws IOException {
        return stats.cpuMicros();
    }

    /** Returns the processor time in ns by thread id. */
    Map<String, Long> threadNanos() throws IOException {
        return stats.threadNanos();
    }

    /** Returns the bytes passed to write calls since the start, including those to sockets. */
    long writtenBytes() throws IOException {
        return stats.writtenBytes();
    }

    /** Returns the resident memory in bytes. */
    public long rssBytes() throws IOException {
        return stats.rssBytes();
    }

    /** Returns the peak resident memory since the start, in bytes. */
    long peakRssBytes() throws IOException {
        return stats.peakRssBytes();
    }

    /** Sends SIGKILL, and waits until the process has ended. */
    public void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Sends SIGTERM, waits until the process has ended, and kills it on timeout. */
    void terminate(Duration timeout) throws InterruptedException {
        process.destroy();
        if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
            kill();
        }
    }

    /** Rewrites the configuration with another agent's address, and makes the relay reload it. */
    public void reload(InetSocketAddress otherAgent) throws IOException, InterruptedException {
        agent = otherAgent;
        Path draft = folder.resolve("config.new");
        RelayConfig.write(draft, settings, otherAgent, null);
        Files.move(draft, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
        reload();
    }

    /** Sends the signal of this name, such as STOP. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
    }

    /** Sends SIGTERM, and does not wait. */
    public void requestTermination() {
        process.destroy();
    }

    /** Sends SIGHUP, which makes the relay reload its configuration. */
    void reload() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** Kills the process and deletes the relay's folder. */
    @Override
    public void close() {
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        killAndDelete();
    }

    private void killAndDelete() {
        try {
            if (process != null) {
                kill();
            }
            List<Path> paths;
            try (Stream<Path> walk = Files.walk(folder)) {
                paths = walk.sorted(Comparator.reverseOrder()).toList();
            }
            for (Path path : paths) {
                Files.delete(path);
            }
        } catch (IOException e) {
            System.err.println("could not delete " + folder + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
