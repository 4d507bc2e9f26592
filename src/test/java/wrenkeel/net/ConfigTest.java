package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wrenkeel.Control;
import wrenkeel.Wire;

/** A configuration is read, or turned down in one plain line. */
class ConfigTest {
    @TempDir
    Path folder;
    private Platform platform;
    private Path file;

    @BeforeEach
    void begin() throws Exception {
        platform = new Platform(folder);
        platform.writeConfig();
        file = Path.of(platform.environment().get("EDGE_CONFIG"));
    }

    @AfterEach
    void end() {
        platform.close();
    }

    private void replace(String from, String to) throws IOException {
        String text = Files.readString(file);
        assertTrue(text.contains(from), from);
        Files.writeString(file, text.replace(from, to));
    }

    private void assertTurnedDown() {
        String fault = assertThrows(Config.Unusable.class, () -> Config.read(platform.environment())).getMessage();
        assertEquals(1, fault.lines().count(), fault);
    }

    /** Guards against a relay that starts and can never make a call, or hold a client. */
    @ParameterizedTest
    @ValueSource(strings = {"0", "-1", "69", "5000000000", "\"many\""})
    void aLimitOfSocketsThatLeavesNoConnectionsIsTurnedDown(String sockets) throws IOException {
        replace("\"sockets\":1024", "\"sockets\":" + sockets);
        assertTurnedDown();
    }

    @Test
    void theSmallestLimitOfSocketsLeavesAConnectionToEitherSide() throws Exception {
        replace("\"sockets\":1024", "\"sockets\":" + Descriptors.LIMIT_LEAST);
        Descriptors shares = Config.read(platform.environment()).descriptors();
        assertTrue(shares.clients() > 0 && shares.hosts() > 0, shares.toString());
    }

    /** The configuration with one value replaced, or taken out where the other is {@code REMOVED}. */
    private record Change(String path, Object other) { }

    private static final Object REMOVED = new Object();

    private static String json(Object value, String path, Change change) {
        Object written = path.equals(change.path) ? change.other : value;
        if (written instanceof Map<?, ?> map) {
            return map.entrySet().stream()
                .filter(entry -> !(path + "/" + entry.getKey()).equals(change.path) || change.other != REMOVED)
                .map(entry -> "\"" + entry.getKey() + "\":"
                    + json(entry.getValue(), path + "/" + entry.getKey(), change))
                .collect(Collectors.joining(",", "{", "}"));
        }
        if (written instanceof List<?> list) {
            return IntStream.range(0, list.size()).mapToObj(i -> json(list.get(i), path + "/" + i, change))
                .collect(Collectors.joining(",", "[", "]"));
        }
        return written instanceof String ? "\"" + written + "\"" : String.valueOf(written);
    }

    private static void paths(Object value, String path, List<String> all) {
        all.add(path);
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, inner) -> paths(inner, path + "/" + name, all));
        } else if (value instanceof List<?> list) {
            IntStream.range(0, list.size()).forEach(i -> paths(list.get(i), path + "/" + i, all));
        }
    }

    /** Guards the start: whatever one value is replaced by, it is read, or turned down in one line. */
    @Test
    void anyOneValueThatIsWrongIsReadOrTurnedDownInOneLine() throws Exception {
        Object whole = Wire.decode(Files.readString(file)).values();
        List<String> paths = new ArrayList<>();
        paths(whole, "", paths);
        List<String> faults = new ArrayList<>();
        for (String path : paths) {
            for (Object other : Arrays.asList(REMOVED, null, "x", "", -1, 0, 1.5, 1e300, 99_999_999_999L, true,
                    List.of(), List.of(1), Map.of(), List.of(List.of()))) {
                if (path.isEmpty() && other == REMOVED) {
                    continue;
                }
                Files.writeString(file, json(whole, "", new Change(path, other)));
                String fault = faultOfStart();
                if (fault != null) {
                    faults.add(path + " = " + (other == REMOVED ? "removed" : other) + ": " + fault);
                }
            }
        }
        assertEquals(List.of(), faults);
    }

    /** What a start would end with that is no plain line; null if it would not. */
    private String faultOfStart() {
        try {
            Config config = Config.read(platform.environment());
            config.descriptors();
            new HostList(config.zones(), config.kinds());
            new Control(config.seed(), config.settings());
            return null;
        } catch (Config.Unusable e) {
            return e.getMessage().lines().count() == 1 ? null : e.getMessage();
        } catch (RuntimeException | StackOverflowError e) {
            return e.toString();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "\0\1\2", "nonsense", "[]", "{\"settings\":", "{\"known\":[]}", "{} {}"})
    void aFileThatHoldsSomethingElseIsTurnedDown(String text) throws IOException {
        Files.writeString(file, text);
        assertTurnedDown();
    }

    @Test
    void aFileThatNestsWithoutEndIsTurnedDown() throws IOException {
        for (String open : List.of("[", "{\"a\":")) {
            Files.writeString(file, "{\"settings\":" + open.repeat(200_000));
            assertTurnedDown();
        }
    }

    /** A file of another form is no end of the start: each way is one plain line and a status of its own. */
    @Test
    void aStartThatCannotReadOrWriteIsOnePlainLineAndNotAStatusOfZero() throws IOException {
        Map<String, String> env = new HashMap<>(platform.environment());
        Path file = Files.createFile(folder.resolve("a-file"));
        for (Map<String, String> other : List.of(Map.of("EDGE_STATE", file.toString()),
                Map.of("EDGE_STATE", folder.resolve("absent").toString()), Map.of("EDGE_STATE", ""),
                Map.of("EDGE_CONFIG", folder.toString()), Map.of("EDGE_CONFIG", ""),
                Map.of("EDGE_CONFIG", folder.resolve("absent").toString()),
                Map.of("EDGE_LISTEN", "here"), Map.of("EDGE_DISCOVERY", "127.0.0.1:99999"))) {
            Map<String, String> changed = new HashMap<>(env);
            changed.putAll(other);
            assertStartFails(changed);
        }
    }

    private static void assertStartFails(Map<String, String> env) {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        PrintStream before = System.err;
        System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
        int status;
        try {
            status = Node.serve(env);
        } finally {
            System.setErr(before);
        }
        String lines = written.toString(StandardCharsets.UTF_8);
        assertEquals(2, status, env + ": " + lines);
        assertEquals(1, lines.lines().count(), lines);
        assertFalse(lines.contains("\tat "), lines);
    }
}
