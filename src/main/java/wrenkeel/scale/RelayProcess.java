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
 * One real relay, started by {@code run} of the deploy file under the limits that stand there, with a
 * temporary folder of its own that is deleted at the end. At most one process at a time; it dies with this
 * JVM. Not for several threads.
 */
public final class RelayProcess implements AutoCloseable {
    private static final Pattern RUN_SETTING = Pattern.compile("(?m)^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"");
    /** With what follows the port: a line may be half written. */
    private static final Pattern SERVING_LINE = Pattern.compile("serving on \\S*?:(\\d+)\\D"),
        CONSOLE_LINE = Pattern.compile("operators at \\S*?:(\\d+)\\D");
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
    private static final int CALL_TIMEOUT_MS = 2_000;

    private final Path root;
    private final Path folder;
    private final RelaySettings settings;
    private InetSocketAddress agent;
    private final Map<String, String> environment;
    private final Thread shutdownHook = new Thread(this::killAndDelete, "end of a relay");
    private Process process;
    private ProcessStats stats;
    private int startCount;
    private InetSocketAddress clientAddress;
    private InetSocketAddress consoleAddress;

    /**
     * Writes the configuration; {@link #start} starts the process.
     *
     * @param root the repository's root, built
     * @param known the list that the configuration holds, in discovery's form; null for none
     */
    RelayProcess(Path root, RelaySettings settings, InetSocketAddress agent, byte[] knownList)
        throws IOException {
        this(root, settings, agent, knownList, Map.of());
    }

    /** {@code environment}: further variables that the process is started with. */
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
     * Starts the process, or one more after the last has ended; the lasting folder is kept. Does not wait.
     */
    public void start() throws IOException {
        if (process != null && process.isAlive()) {
            throw new IllegalStateException("process " + process.pid() + " runs");
        }
        clientAddress = null;
        consoleAddress = null;
        ProcessBuilder processBuilder = new ProcessBuilder("/bin/sh", "-c", readRunCommand(root)).directory(root.toFile())
            .redirectErrorStream(true).redirectOutput(log(++startCount).toFile());
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
        Matcher processBuilder = RUN_SETTING.matcher(Files.readString(file));
        if (!processBuilder.find()) {
            throw new IOException("no run = \"...\" in " + file);
        }
        return processBuilder.group(1).replaceAll("\\\\(.)", "$1");
    }

    private Path log(int start) {
        return folder.resolve("log." + start);
    }

    /** What the latest process has written so far. */
    public String log() throws IOException {
        return startCount == 0 ? "" : Files.readString(log(startCount));
    }

    /** What all processes have written so far, the latest last. */
    public String allLogs() throws IOException {
        StringBuilder walk = new StringBuilder();
        for (int start = 1; start <= startCount; start++) {
            walk.append("---- start ").append(start).append('\n').append(Files.readString(log(start)));
        }
        return walk.toString();
    }

    /** Waits until the process has ended; false where it has not in time. */
    public boolean awaitExit(Duration timeout) throws InterruptedException {
        return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** The folder that lasts. */
    public Path stateFolder() {
        return folder.resolve("state");
    }

    public long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Waits until the process serves clients; false where it does not in time. */
    public boolean awaitServing(Duration timeout) throws IOException, InterruptedException {
        if (!awaitConsole(timeout)) {
            return false;
        }
        clientAddress = awaitAddress(SERVING_LINE, timeout);
        return clientAddress != null;
    }

    /** Waits until the process answers operators; false where it does not in time. */
    boolean awaitConsole(Duration timeout) throws IOException, InterruptedException {
        if (consoleAddress == null) {
            consoleAddress = awaitAddress(CONSOLE_LINE, timeout);
        }
        return consoleAddress != null;
    }

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
                throw new IOException("the relay ended with code " + process.exitValue() + ": "
                    + log().lines().limit(3).toList());
            }
            if (System.nanoTime() > deadlineNanos) {
                return null;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }

    /** Where clients connect, once it serves. */
    public InetSocketAddress clientAddress() {
        return clientAddress;
    }

    /** Where operators connect, once it answers them. */
    InetSocketAddress consoleAddress() {
        return consoleAddress;
    }

    /** The figures of the console. */
    public Wire.Fields telemetry() throws IOException {
        HttpURLConnection call = openConnection("telemetry");
        try (InputStream answer = call.getInputStream()) {
            return Wire.decode(new String(answer.readAllBytes(), StandardCharsets.UTF_8));
        } finally {
            call.disconnect();
        }
    }

    /** True if the console says that it serves. */
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

    /** How many hosts the list that it holds names. */
    long memberCount() throws IOException {
        return telemetry().whole("members");
    }

    /**
     * Waits until the list that it holds names so many hosts; false where it does not in time, or ends. One
     * that is too busy to answer its operators is asked again.
     */
    boolean awaitMemberCount(long hosts, Duration timeout, Duration pollInterval)
        throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (isAlive() && System.nanoTime() < deadlineNanos) {
            try {
                if (awaitConsole(Duration.ofNanos(deadlineNanos - System.nanoTime())) && memberCount() == hosts) {
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

    /** Processor time of the process since its start, us. */
    long cpuMicros() throws IOException {
        return stats.cpuMicros();
    }

    /** Processor time of each thread, ns, named by the system's number for it. */
    Map<String, Long> threadNanos() throws IOException {
        return stats.threadNanos();
    }

    /** Bytes handed to the system by all writes since the start, to sockets too. */
    long writtenBytes() throws IOException {
        return stats.writtenBytes();
    }

    /** Resident memory, bytes. */
    public long rssBytes() throws IOException {
        return stats.rssBytes();
    }

    /** The most resident memory since the start, bytes. */
    long peakRssBytes() throws IOException {
        return stats.peakRssBytes();
    }

    /** SIGKILL; returns once the process has ended. */
    public void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** SIGTERM; returns once the process has ended, by SIGKILL where it takes longer. */
    void terminate(Duration timeout) throws InterruptedException {
        process.destroy();
        if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
            kill();
        }
    }

    /** Writes the configuration anew with another address of discovery, then SIGHUP. */
    public void reload(InetSocketAddress otherAgent) throws IOException, InterruptedException {
        agent = otherAgent;
        Path draft = folder.resolve("config.new");
        RelayConfig.write(draft, settings, otherAgent, null);
        Files.move(draft, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
        reload();
    }

    /** Sends a signal by its name, such as STOP. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
    }

    /** SIGTERM; does not wait. */
    public void requestTermination() {
        process.destroy();
    }

    /** SIGHUP: the configuration is read anew. */
    void reload() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** Ends the process and deletes its folder. */
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
            System.err.println("left behind: " + folder + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
