import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the relay, started by the run line of the deploy file. The root is the current folder. */
final class Relay implements AutoCloseable {
    private final Play play;
    final String label;
    final int listenPort;
    final int consolePort;
    private final Process process;

    /**
     * Starts a process.
     *
     * @param shared folder with config.json, state and tmp, which processes of one relay share
     */
    Relay(Play play, String label, Path shared, int listenPort, int consolePort, int agentPort)
        throws IOException {
        this.play = play;
        this.label = label;
        this.listenPort = listenPort;
        this.consolePort = consolePort;
        Matcher run = Pattern.compile("(?m)^run = \"(.*?)\"\\s*(#.*)?$")
            .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no run line in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        Map<String, String> env = builder.environment();
        env.put("EDGE_NAME", "n0");
        env.put("EDGE_LISTEN", "127.0.0.1:" + listenPort);
        env.put("EDGE_DISCOVERY", "127.0.0.1:" + agentPort);
        env.put("EDGE_CONSOLE", "127.0.0.1:" + consolePort);
        env.put("EDGE_STATE", shared.resolve("state").toString());
        env.put("EDGE_CONFIG", shared.resolve("config.json").toString());
        env.put("TMPDIR", shared.resolve("tmp").toString());
        File log = shared.resolve(label + ".log").toFile();
        process = builder.redirectErrorStream(true).redirectOutput(log).start();
        play.closing(this);
        play.note("relay process " + label + " started");
    }

    /** Prepares the folder that the processes of one relay share. */
    static Path prepare(Play play, String config) throws IOException {
        Path shared = Files.createDirectory(play.folder.resolve("relay"));
        Files.createDirectory(shared.resolve("state"));
        Files.createDirectory(shared.resolve("tmp"));
        Files.writeString(shared.resolve("config.json"), config);
        return shared;
    }

    /** Waits until the relay serves its clients. */
    void awaitServing() throws Exception {
        await(listenPort, "/healthz", "serves");
    }

    /** Waits until the console says that this process can serve. */
    void awaitReady() throws Exception {
        await(consolePort, "/api/ready", "is ready");
    }

    private void await(int port, String path, String what) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < end) {
            if (!process.isAlive()) {
                throw new Play.CannotRun("relay process " + label + " has ended");
            }
            Http.Answer answer = Http.exchange(port, "GET " + path
                + " HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n", 1_000);
            if (answer != null && answer.status() == 200) {
                play.note("relay process " + label + " " + what);
                return;
            }
            Thread.sleep(20);
        }
        throw new Play.CannotRun("relay process " + label + " was not ready within 30 s");
    }

    void terminate() {
        process.destroy();
        play.note("SIGTERM to " + label);
    }

    void kill() {
        process.destroyForcibly();
        play.note("SIGKILL to " + label);
    }

    /** Replaces the configuration file and sends SIGHUP. */
    void reload(Path shared, String config) throws Exception {
        Path next = shared.resolve("config.json.new");
        Files.writeString(next, config);
        Files.move(next, shared.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE,
            StandardCopyOption.REPLACE_EXISTING);
        if (new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid()).start().waitFor() != 0) {
            throw new Play.CannotRun("SIGHUP could not be sent");
        }
        play.note("new configuration file, SIGHUP to " + label);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        process.onExit().orTimeout(5, TimeUnit.SECONDS).handle((ended, late) -> null).join();
    }
}
