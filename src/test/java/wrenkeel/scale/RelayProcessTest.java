package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Uses shell commands in place of a relay; they print the log lines of a relay, and wait. */
@Timeout(60)
final class RelayProcessTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    @TempDir
    private Path root;

    private RelayProcess relay(String run) throws IOException {
        Files.createDirectories(root.resolve("deploy"));
        Files.writeString(root.resolve("deploy/balancer.toml"),
            "build = \"true\"\nrun = \"" + run + "\"   # one\n");
        return new RelayProcess(root, RelaySettings.typical("n1"),
            new InetSocketAddress("127.0.0.1", 9), null);
    }

    @Test
    void processGetsItsEnvironmentAndAddressesAreReadFromItsLog() throws Exception {
        Path state;
        try (RelayProcess relay = relay("echo \\\"operators at /127.0.0.1:7 of $EDGE_NAME\\\"; "
            + "echo \\\"$EDGE_DISCOVERY\\\"; echo serving on /127.0.0.1:8, 0 messages; exec sleep 50")) {
            relay.start();
            assertTrue(relay.awaitServing(TIMEOUT));
            assertEquals(new InetSocketAddress("127.0.0.1", 7), relay.consoleAddress());
            assertEquals(new InetSocketAddress("127.0.0.1", 8), relay.clientAddress());
            assertTrue(relay.log().contains("of n1\n127.0.0.1:9"), relay.log());
            assertTrue(relay.rssBytes() > 0 && relay.peakRssBytes() >= relay.rssBytes());
            assertTrue(relay.cpuMicros() > 0);
            assertThrows(IllegalStateException.class, relay::start);
            state = relay.stateFolder();
            assertTrue(Files.isDirectory(state));
        }
        assertFalse(Files.exists(state));
    }

    @Test
    void stateFolderSurvivesAKilledProcess() throws Exception {
        try (RelayProcess relay = relay("echo x >> $EDGE_STATE/starts; echo operators at /127.0.0.1:7;"
            + " echo serving on /127.0.0.1:8; exec sleep 50")) {
            relay.start();
            assertTrue(relay.awaitServing(TIMEOUT));
            long first = relay.pid();
            relay.kill();
            assertFalse(relay.isAlive());
            relay.start();
            assertTrue(relay.awaitServing(TIMEOUT));
            assertNotEquals(first, relay.pid());
            assertEquals(List.of("x", "x"), Files.readAllLines(relay.stateFolder().resolve("starts")));
            relay.terminate(TIMEOUT);
            assertFalse(relay.isAlive());
        }
    }

    @Test
    void earlyExitRaisesAnErrorWithExitCodeAndOutput() throws Exception {
        try (RelayProcess relay = relay("echo no such thing; exit 2")) {
            relay.start();
            String fault = assertThrows(IOException.class, () -> relay.awaitServing(TIMEOUT)).getMessage();
            assertTrue(fault.contains("code 2") && fault.contains("no such thing"), fault);
            assertFalse(relay.awaitMemberCount(20, TIMEOUT, Duration.ofMillis(1)));
        }
    }

    @Test
    void waitingForASilentProcessTimesOut() throws Exception {
        try (RelayProcess relay = relay("exec sleep 50")) {
            relay.start();
            assertFalse(relay.awaitServing(Duration.ZERO));
            assertFalse(relay.awaitMemberCount(20, Duration.ofMillis(1), Duration.ofMillis(1)));
        }
    }

    /** Guards against a relay that loads the tools' classes, which would cost start time and memory. */
    @Test
    void relaySourcesDoNotReferToScaleOrSoakTools() throws IOException {
        Path sources = Path.of("src/main/java/wrenkeel");
        List<Path> tools = List.of(sources.resolve("scale"), sources.resolve("soak"));
        try (Stream<Path> files = Files.walk(sources)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                if (tools.stream().noneMatch(file::startsWith) && !file.endsWith("Main.java")) {
                    String text = Files.readString(file);
                    for (String name : List.of("wrenkeel.scale", "wrenkeel.soak", "picocli", "HdrHistogram")) {
                        assertFalse(text.contains(name), file + " names " + name);
                    }
                }
            }
        }
    }
}
