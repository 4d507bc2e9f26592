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

/** A configuration is accepted, or rejected with a message of one line. */
class ConfigTest {
    @TempDir
    Path folder;
    private Platform platform;
    private Path file;

    @BeforeEach
    void setUp() throws Exception {
        platform = new Platform(folder);
        platform.writeConfig();
        file = Path.of(platform.environment().get("EDGE_CONFIG"));
    }

    @AfterEach
    void tearDown() {
        platform.close();
    }

    private void replace(String from, String to) throws IOException {
        String text = Files.readString(file);
        assertTrue(text.contains(from), from);
        Files.writeString(file, text.replace(from, to));
    }

    private void assertRejectedInOneLine() {
        String message = assertThrows(Config.InvalidConfigException.class,
            () -> Config.read(platform.environment())).getMessage();
        assertEquals(1, message.lines().count(), message);
    }

    /** A relay with such a limit would start but could never make a call or hold a client's connection. */
    @ParameterizedTest
    @ValueSource(strings = {"0", "-1", "69", "5000000000", "\"many\""})
    void aSocketLimitThatLeavesNoConnectionsIsRejected(String sockets) throws IOException {
        replace("\"sockets\":1024", "\"sockets\":" + sockets);
        assertRejectedInOneLine();
    }

    @Test
    void theSmallestSocketLimitLeavesConnectionsForClientsAndHosts() throws Exception {
        replace("\"sockets\":1024", "\"sockets\":" + DescriptorBudget.MIN_LIMIT);
        DescriptorBudget shares = Config.read(platform.environment()).descriptorBudget();
        assertTrue(shares.clientConnections() > 0 && shares.hostConnections() > 0, shares.toString());
    }

    /**
     * Replaces the value at a path of the configuration, or removes it if the replacement is
     * {@code REMOVED}.
     */
    private record Change(String path, Object replacement) { }

    private static final Object REMOVED = new Object();

    /** Writes a decoded value as JSON, with one change. */
    private static String json(Object value, String path, Change change) {
        Object written = path.equals(change.path) ? change.replacement : value;
        if (written instanceof Map<?, ?> map) {
            return map.entrySet().stream()
                .filter(entry -> !(path + "/" + entry.getKey()).equals(change.path)
                    || change.replacement != REMOVED)
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

    /** Collects the paths of a value and of all values in it. */
    private static void collectPaths(Object value, String path, List<String> all) {
        all.add(path);
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, inner) -> collectPaths(inner, path + "/" + name, all));
        } else if (value instanceof List<?> list) {
            IntStream.range(0, list.size()).forEach(i -> collectPaths(list.get(i), path + "/" + i, all));
        }
    }

    /** Whatever replaces a single value, the start must not fail with anything but a message of one line. */
    @Test
    void anySingleReplacedValueIsAcceptedOrRejectedInOneLine() throws Exception {
        Object configuration = Wire.decode(Files.readString(file)).values();
        List<String> paths = new ArrayList<>();
        collectPaths(configuration, "", paths);
        List<String> failures = new ArrayList<>();
        for (String path : paths) {
            for (Object replacement : Arrays.asList(REMOVED, null, "x", "", -1, 0, 1.5, 1e300,
                    99_999_999_999L, true, List.of(), List.of(1), Map.of(), List.of(List.of()))) {
                if (path.isEmpty() && replacement == REMOVED) {
                    continue;
                }
                Files.writeString(file, json(configuration, "", new Change(path, replacement)));
                String failure = unexpectedStartFailure();
                if (failure != null) {
                    failures.add(path + " = " + (replacement == REMOVED ? "removed" : replacement) + ": "
                        + failure);
                }
            }
        }
        assertEquals(List.of(), failures);
    }

    /** Returns the failure of a start that is not reported in one line; null if there is none. */
    private String unexpectedStartFailure() {
        try {
            Config config = Config.read(platform.environment());
            config.descriptorBudget();
            new HostList(config.zones(), config.kinds());
            new Control(config.seed(), config.settings());
            return null;
        } catch (Config.InvalidConfigException e) {
            return e.getMessage().lines().count() == 1 ? null : e.getMessage();
        } catch (RuntimeException | StackOverflowError e) {
            return e.toString();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "\0\1\2", "nonsense", "[]", "{\"settings\":", "{\"known\":[]}", "{} {}"})
    void aFileWithOtherContentIsRejected(String text) throws IOException {
        Files.writeString(file, text);
        assertRejectedInOneLine();
    }

    @Test
    void aDeeplyNestedFileIsRejected() throws IOException {
        for (String open : List.of("[", "{\"a\":")) {
            Files.writeString(file, "{\"settings\":" + open.repeat(200_000));
            assertRejectedInOneLine();
        }
    }

    /**
     * Guards against a second execution, among others: a file that is taken while the relay runs must not
     * lack a key of a class or a tenant, since the key's default may allow what the file in force forbids.
     */
    @Test
    void aReloadWithoutAKeyOfAClassOrATenantIsRejected() throws Exception {
        replace("\"profiles\":[",
            "\"tenants\":[{\"name\":\"t\",\"quota-per-s\":5,\"share\":1}],\"profiles\":[");
        replace("\"semantics\":\"fragile\"", "\"semantics\":\"fragile\",\"worth\":2,\"late-worth\":0.5,"
            + "\"sequential\":true,\"stream\":false");
        replace("\"group\":\"all\"", "\"group\":\"zone\",\"worth\":1");
        Config inForce = Config.read(platform.environment());
        Object configuration = Wire.decode(Files.readString(file)).values();
        List<String> paths = new ArrayList<>();
        collectPaths(configuration, "", paths);
        paths.removeIf(path -> !path.matches("/settings/(profiles|tenants)/\\d+/.*"));
        assertEquals(18, paths.size(), paths.toString());
        List<String> accepted = new ArrayList<>();
        for (String path : paths) {
            for (Object replacement : Arrays.asList(REMOVED, null)) {
                Files.writeString(file, json(configuration, "", new Change(path, replacement)));
                try {
                    inForce.reload(platform.environment());
                    accepted.add(path + " = " + replacement);
                } catch (Config.InvalidConfigException e) {
                    assertTrue(e.getMessage().contains(path.substring(path.lastIndexOf('/') + 1)),
                        path + ": " + e.getMessage());
                }
            }
        }
        assertEquals(List.of(), accepted);
    }

    /** A class may change its effect, be added and be dropped, with the keys that its effect needs. */
    @ParameterizedTest
    @ValueSource(strings = {
        "{\"name\":\"bill\",\"aim\":2000,\"hard-limit\":16000,\"semantics\":\"fragile\"}",
        "{\"name\":\"pay\",\"aim\":2000,\"hard-limit\":16000,\"semantics\":\"dedup\",\"group\":\"zone\","
            + "\"window\":9000}",
        "{\"name\":\"new\",\"aim\":20,\"hard-limit\":160,\"semantics\":\"retryable\"}"})
    void aReloadWithOtherCompleteClassesIsAccepted(String messageClass) throws Exception {
        Config inForce = Config.read(platform.environment());
        String text = Files.readString(file);
        Files.writeString(file, text.substring(0, text.indexOf("\"profiles\"")) + "\"profiles\":["
            + messageClass + "]}}");
        assertEquals(1, inForce.reload(platform.environment()).settings().classes().size());
    }

    /** A class whose repeats are dropped must say by whom; a start without that assumes the narrower scope. */
    @Test
    void aClassWithoutAGroupIsRepeatedWithinAZoneOnly() throws Exception {
        replace("\"group\":\"all\",", "");
        assertTrue(Config.read(platform.environment()).settings().classes().get(0).dedupPerZone());
        replace("\"semantics\":\"fragile\"",
            "\"semantics\":\"dedup\",\"window\":9,\"group\":\"everywhere\"");
        assertRejectedInOneLine();
    }

    /** A start that cannot use its environment prints one line without a stack trace and returns status 2. */
    @Test
    void aStartThatCannotReadOrWritePrintsOneLineAndReturnsTwo() throws IOException {
        Map<String, String> env = new HashMap<>(platform.environment());
        Path plainFile = Files.createFile(folder.resolve("a-file"));
        for (Map<String, String> override : List.of(Map.of("EDGE_STATE", plainFile.toString()),
                Map.of("EDGE_STATE", folder.resolve("absent").toString()), Map.of("EDGE_STATE", ""),
                Map.of("EDGE_CONFIG", folder.toString()), Map.of("EDGE_CONFIG", ""),
                Map.of("EDGE_CONFIG", folder.resolve("absent").toString()),
                Map.of("EDGE_LISTEN", "here"), Map.of("EDGE_DISCOVERY", "127.0.0.1:99999"))) {
            Map<String, String> changed = new HashMap<>(env);
            changed.putAll(override);
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
