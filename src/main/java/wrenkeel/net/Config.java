package wrenkeel.net;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wrenkeel.Relay;
import wrenkeel.Wire;

/**
 * What the platform tells one relay at its start. {@code zones} and {@code kinds} hold the names that
 * discovery's list uses, in the order of the numbers that the module knows them by; {@code savedList} tells where
 * the list as last had stands; {@code consoleAddress} is null where operators have no address; {@code fields} is
 * all that was read but for the list's hosts.
 */
record Config(InetSocketAddress listenAddress, InetSocketAddress discoveryAddress, InetSocketAddress consoleAddress, Path stateFolder,
              long seed, int socketLimit, long diskLimitBytes, Relay.Settings settings, List<String> zones,
              List<String> kinds, SavedHostList savedList, Wire.Fields fields) {

    /** us; taken off a key's window besides: for the way to the host. */
    private static final long WINDOW_MARGIN_MICROS = 100_000;
    private static final long DEFAULT_SOCKET_LIMIT = 1_024;

    /** A configuration that no relay can run with; the message is one plain line. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String fault) {
            super(fault);
        }
    }

    /** Reads the configuration named by the environment. */
    static Config read(Map<String, String> env) throws InvalidConfigException {
        String file = env.get("EDGE_CONFIG");
        String state = env.get("EDGE_STATE");
        if (file == null || file.isEmpty() || state == null || state.isEmpty()) {
            throw new InvalidConfigException("EDGE_CONFIG and EDGE_STATE must be set");
        }
        SavedHostList[] known = {new SavedHostList(Path.of(file), 0, 0)};
        try (InputStream text = Files.newInputStream(Path.of(file))) {
            Wire.Fields all = Wire.decode(text, "known",
                (from, length) -> known[0] = new SavedHostList(Path.of(file), from, length));
            Wire.Fields limits = all.object("limits");
            Wire.Fields settings = all.object("settings");
            return new Config(
                address(env.getOrDefault("EDGE_LISTEN", all.text("listen", ""))),
                address(env.getOrDefault("EDGE_DISCOVERY", all.text("discovery", ""))),
                optionalAddress(env.getOrDefault("EDGE_CONSOLE", all.text("console", null))), writableFolder(state),
                seed(all.text("seed", "0")), validSocketLimit(limits.longValue("sockets", DEFAULT_SOCKET_LIMIT)),
                (long) (limits.doubleValue("disk_mb", 3) * 1_000_000), validated(Wire.settings(settings)),
                names(settings, "localities"), names(settings, "kinds"), savedListOrEmpty(all, known[0]), all);
        } catch (Wire.MalformedException e) {
            throw new InvalidConfigException("configuration " + file + ": " + e.getMessage());
        } catch (IOException e) {
            throw new InvalidConfigException("cannot read configuration " + file + ": " + e);
        }
    }

    /**
     * Reads the file anew for a process that runs, whole or not at all. Discovery is where the file says, for
     * the environment is that of the start. The file must have every key that the one in force has, and must
     * not change the kinds and the order of the sites: the list's endpoints are known by them. It may name
     * further sites; hosts there keep the numbers that sites without a name have.
     */
    Config reload(Map<String, String> env) throws InvalidConfigException {
        Map<String, String> folders = new HashMap<>(env);
        folders.keySet().retainAll(Set.of("EDGE_CONFIG", "EDGE_STATE"));
        Config next = read(folders);
        requireSameKeys("", fields, next.fields);
        int named = Math.min(zones.size(), next.zones.size());
        if (!next.zones.subList(0, named).equals(zones.subList(0, named)) || !next.kinds.equals(kinds)) {
            throw new InvalidConfigException("kinds and the order of localities cannot change while the relay runs");
        }
        return new Config(listenAddress, next.discoveryAddress, consoleAddress, stateFolder, seed, next.socketLimit, next.diskLimitBytes,
            next.settings, zones, kinds, next.savedList, next.fields);
    }

    /** One that names nothing counts as none; one that is no object is a fault. */
    private static SavedHostList savedListOrEmpty(Wire.Fields all, SavedHostList known) throws Wire.MalformedException {
        return all.object("known").values().isEmpty() ? new SavedHostList(known.file(), 0, 0) : known;
    }

    DescriptorBudget descriptorBudget() {
        return DescriptorBudget.of(socketLimit, settings.allowed().slots());
    }

    /** Entries of lists may differ in number and form; they are checked as they are read. */
    private static void requireSameKeys(String path, Wire.Fields before, Wire.Fields now) throws InvalidConfigException {
        for (Map.Entry<String, Object> entry : before.values().entrySet()) {
            Object value = now.values().get(entry.getKey());
            if (value == null && entry.getValue() != null) {
                throw new InvalidConfigException("configuration lacks '" + path + entry.getKey() + "'");
            }
            if (Wire.Fields.of(entry.getValue()) != null) {
                if (Wire.Fields.of(value) == null) {
                    throw new InvalidConfigException("configuration: '" + path + entry.getKey() + "' is not an object");
                }
                requireSameKeys(path + entry.getKey() + ".", Wire.Fields.of(entry.getValue()),
                    Wire.Fields.of(value));
            }
        }
    }

    private static InetSocketAddress optionalAddress(String text) throws InvalidConfigException {
        return text == null ? null : address(text);
    }

    private static Path writableFolder(String name) throws InvalidConfigException {
        Path folder = Path.of(name);
        if (!Files.isDirectory(folder) || !Files.isWritable(folder)) {
            throw new InvalidConfigException("EDGE_STATE is no writable folder: " + name);
        }
        return folder;
    }

    /** Fewer would leave no connection for clients or for hosts. */
    private static int validSocketLimit(long limit) throws InvalidConfigException {
        if (limit < DescriptorBudget.MIN_LIMIT || limit > Integer.MAX_VALUE) {
            throw new InvalidConfigException("limits.sockets is " + limit + ", at least " + DescriptorBudget.MIN_LIMIT
                + " are needed");
        }
        return (int) limit;
    }

    private static long seed(String hex) throws InvalidConfigException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("seed is not a hexadecimal number: " + hex);
        }
    }

    /**
     * One figure differs on sockets. A call goes out as late as its connection comes up, so the module is
     * told that keys are remembered for so much less: a repeat then still comes inside the true window.
     */
    private static Relay.Settings validated(Relay.Settings s) throws InvalidConfigException {
        if (s.classes().isEmpty() || s.kinds().isEmpty() || s.relays() < 1 || s.allowed().slots() < 1
            || s.allowed().connectTimeout() <= 0 || s.allowed().keepAlive() <= 0) {
            throw new InvalidConfigException("settings lack classes, kinds, relays, slots or connection times");
        }
        Set<String> names = new HashSet<>();
        for (Relay.MessageClass c : s.classes()) {
            if (c.name().isEmpty() || !names.add(c.name()) || c.aim() <= 0 || c.life() <= 0
                || c.tries() < 1) {
                throw new InvalidConfigException("class '" + c.name() + "' has no name of its own, or no positive aim,"
                    + " deadline or number of attempts");
            }
            if (c.effect() == Relay.Effect.KEYED && c.window() <= 0) {
                throw new InvalidConfigException("class '" + c.name() + "' has no window in which a repeat is dropped");
            }
        }
        List<Relay.MessageClass> classes = s.classes().stream().map(c -> new Relay.MessageClass(c.name(),
            c.aim(), c.life(), c.worth(), c.lateWorth(), c.effect(), c.zoneGroup(),
            Math.max(0, c.window() - s.allowed().connectTimeout() - WINDOW_MARGIN_MICROS), c.inOrder(),
            c.tries())).toList();
        return s.with(classes);
    }

    private static List<String> names(Wire.Fields settings, String field) throws Wire.MalformedException {
        List<String> names = new ArrayList<>();
        for (Object name : settings.list(field)) {
            names.add(String.valueOf(name));
        }
        return names;
    }

    /** An address in digits and a port; names are not looked up, for there is no DNS. */
    static InetSocketAddress address(String text) throws InvalidConfigException {
        int colon = text.lastIndexOf(':');
        try {
            byte[] host = NetUtil.createByteArrayFromIpAddressString(text.substring(0, Math.max(0, colon)));
            if (host != null) {
                return new InetSocketAddress(InetAddress.getByAddress(host),
                    Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IOException | IllegalArgumentException e) {
            // Falls through to the one message that fits every fault of an address.
        }
        throw new InvalidConfigException("not an address and port: '" + text + "'");
    }
}
