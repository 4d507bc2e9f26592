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
 * The configuration of one relay: a JSON file, in which environment variables override some addresses.
 *
 * @param listenAddress where clients connect
 * @param discoveryAddress address of the discovery agent
 * @param otherDiscoveryAddress the agent's address in the file, if the environment names a different one:
 *     the environment may have the values of an earlier start; null otherwise
 * @param consoleAddress where operators connect; null if there is none
 * @param stateFolder folder for data that outlasts the process
 * @param seed seed of the decision module's random numbers
 * @param socketLimit file descriptors that the process may hold open
 * @param diskLimitBytes bytes that the process may use in the state folder
 * @param settings the decision module's settings
 * @param zones names of zones in discovery's list; the module knows a zone by its position here
 * @param kinds names of kinds in discovery's list; the module knows a kind by its position here
 * @param savedList position of the host list that the configuration file holds
 * @param fields all that was read from the file, without the hosts of that list
 */
record Config(InetSocketAddress listenAddress, InetSocketAddress discoveryAddress,
              InetSocketAddress otherDiscoveryAddress, InetSocketAddress consoleAddress, Path stateFolder,
              long seed, int socketLimit, long diskLimitBytes, Relay.Settings settings, List<String> zones,
              List<String> kinds, SavedHostList savedList, Wire.Fields fields) {

    /** Subtracted from a key's window, in addition to the connect timeout, for the network delay. */
    private static final long WINDOW_MARGIN_MICROS = 100_000;
    private static final long DEFAULT_SOCKET_LIMIT = 1_024;

    /** The configuration cannot be read or used; the message is a single line. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            super(message);
        }
    }

    /**
     * Reads the file that {@code EDGE_CONFIG} names. {@code EDGE_LISTEN}, {@code EDGE_DISCOVERY} and
     * {@code EDGE_CONSOLE} override the addresses in it; {@code EDGE_STATE} names the state folder.
     */
    static Config read(Map<String, String> env) throws InvalidConfigException {
        String file = env.get("EDGE_CONFIG");
        String state = env.get("EDGE_STATE");
        if (file == null || file.isEmpty() || state == null || state.isEmpty()) {
            throw new InvalidConfigException("EDGE_CONFIG and EDGE_STATE must be set");
        }
        SavedHostList[] savedList = {new SavedHostList(Path.of(file), 0, 0)};
        try (InputStream text = Files.newInputStream(Path.of(file))) {
            Wire.Fields all = Wire.decode(text, "known",
                (offset, length) -> savedList[0] = new SavedHostList(Path.of(file), offset, length));
            Wire.Fields limits = all.object("limits");
            Wire.Fields settings = all.object("settings");
            return new Config(
                address(env.getOrDefault("EDGE_LISTEN", all.text("listen", ""))),
                address(env.getOrDefault("EDGE_DISCOVERY", all.text("discovery", ""))),
                overriddenAddress(env.get("EDGE_DISCOVERY"), all.text("discovery", "")),
                optionalAddress(env.getOrDefault("EDGE_CONSOLE", all.text("console", null))),
                writableFolder(state),
                seed(all.text("seed", "0")),
                validSocketLimit(limits.longValue("sockets", DEFAULT_SOCKET_LIMIT)),
                (long) (limits.doubleValue("disk_mb", 3) * 1_000_000),
                validated(Wire.settings(settings)),
                names(settings, "localities"),
                names(settings, "kinds"),
                savedListOrEmpty(all, savedList[0]),
                all);
        } catch (Wire.MalformedException e) {
            throw new InvalidConfigException("configuration " + file + ": " + e.getMessage());
        } catch (IOException e) {
            throw new InvalidConfigException("cannot read configuration " + file + ": " + e);
        }
    }

    /**
     * Reads the file again while the relay runs; either the whole file takes effect or nothing of it.
     *
     * <p>The discovery address is taken from the file, because the environment still has the values of the
     * start. The listen and console addresses, the state folder and the seed stay as they are. The file must
     * have every key that the one in force has, see {@link ConfigKeys}. It must not change the kinds or the
     * order of the zones, because the module knows endpoints by their numbers. It may name further zones;
     * hosts in those keep the numbers that zones without a name get.
     */
    Config reload(Map<String, String> env) throws InvalidConfigException {
        Map<String, String> folders = new HashMap<>(env);
        folders.keySet().retainAll(Set.of("EDGE_CONFIG", "EDGE_STATE"));
        Config next = read(folders);
        ConfigKeys.requireComplete(fields, next.fields);
        int named = Math.min(zones.size(), next.zones.size());
        if (!next.zones.subList(0, named).equals(zones.subList(0, named)) || !next.kinds.equals(kinds)) {
            throw new InvalidConfigException(
                "kinds and the order of localities cannot change while the relay runs");
        }
        return new Config(listenAddress, next.discoveryAddress, null, consoleAddress, stateFolder, seed,
            next.socketLimit, next.diskLimitBytes, next.settings, zones, kinds, next.savedList, next.fields);
    }

    /** Returns an empty list if the saved list's object has no fields; fails if it is not an object. */
    private static SavedHostList savedListOrEmpty(Wire.Fields all, SavedHostList savedList)
        throws Wire.MalformedException {
        return all.object("known").values().isEmpty() ? new SavedHostList(savedList.file(), 0, 0) : savedList;
    }

    /** Returns how many connections clients and hosts may use. */
    DescriptorBudget descriptorBudget() {
        return DescriptorBudget.of(socketLimit, settings.limits().callSlots());
    }

    private static InetSocketAddress optionalAddress(String text) throws InvalidConfigException {
        return text == null ? null : address(text);
    }

    /** Returns the address in the file if another one overrides it; null if none does or it is unusable. */
    private static InetSocketAddress overriddenAddress(String override, String text) {
        if (override == null) {
            return null;
        }
        try {
            InetSocketAddress overridden = address(text);
            return overridden.equals(address(override)) ? null : overridden;
        } catch (InvalidConfigException e) {
            return null;
        }
    }

    private static Path writableFolder(String name) throws InvalidConfigException {
        Path folder = Path.of(name);
        if (!Files.isDirectory(folder) || !Files.isWritable(folder)) {
            throw new InvalidConfigException("EDGE_STATE is not a writable folder: " + name);
        }
        return folder;
    }

    /** Rejects a limit that would leave no connection for clients or for hosts. */
    private static int validSocketLimit(long limit) throws InvalidConfigException {
        if (limit < DescriptorBudget.MIN_LIMIT || limit > Integer.MAX_VALUE) {
            throw new InvalidConfigException("limits.sockets is " + limit + ", at least "
                + DescriptorBudget.MIN_LIMIT + " are needed");
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
     * Checks the settings and shortens each class's window, the time in which a host drops a repeated
     * message. A call may be sent as late as its connection is established, so the module gets a window that
     * is shorter by the connect timeout and a margin. A repeat that it allows then still arrives inside the
     * real window.
     */
    private static Relay.Settings validated(Relay.Settings settings) throws InvalidConfigException {
        if (settings.classes().isEmpty() || settings.kinds().isEmpty() || settings.relayCount() < 1
            || settings.limits().callSlots() < 1
            || settings.limits().connectTimeout() <= 0 || settings.limits().keepAlive() <= 0) {
            throw new InvalidConfigException(
                "settings must have classes, kinds, and positive relays, slots and connection times");
        }
        Set<String> names = new HashSet<>();
        for (Relay.MessageClass c : settings.classes()) {
            if (c.name().isEmpty() || !names.add(c.name()) || c.aim() <= 0 || c.lifetime() <= 0
                || c.maxAttempts() < 1) {
                throw new InvalidConfigException("class '" + c.name() + "' must have a unique name, and a"
                    + " positive target time, deadline and number of attempts");
            }
            if (c.effect() == Relay.Effect.KEYED && c.dedupWindow() <= 0) {
                throw new InvalidConfigException(
                    "class '" + c.name() + "' must have a window in which a repeat is dropped");
            }
        }
        List<Relay.MessageClass> classes = settings.classes().stream().map(c -> new Relay.MessageClass(
            c.name(), c.aim(), c.lifetime(), c.worth(), c.lateWorth(), c.effect(), c.dedupPerZone(),
            Math.max(0, c.dedupWindow() - settings.limits().connectTimeout() - WINDOW_MARGIN_MICROS),
            c.inOrder(), c.maxAttempts())).toList();
        return settings.withClasses(classes);
    }

    private static List<String> names(Wire.Fields settings, String field) throws Wire.MalformedException {
        List<String> names = new ArrayList<>();
        for (Object name : settings.list(field)) {
            names.add(String.valueOf(name));
        }
        return names;
    }

    /** Parses an IP address and a port. Host names are not resolved, because there is no DNS. */
    static InetSocketAddress address(String text) throws InvalidConfigException {
        int colon = text.lastIndexOf(':');
        try {
            byte[] host = NetUtil.createByteArrayFromIpAddressString(text.substring(0, Math.max(0, colon)));
            if (host != null) {
                return new InetSocketAddress(InetAddress.getByAddress(host),
                    Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IOException | IllegalArgumentException e) {
            // Every malformed address is reported by the one exception below.
        }
        throw new InvalidConfigException("not an address and port: '" + text + "'");
    }
}
