package wrenkeel.net;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;
import wrenkeel.Relay;
import wrenkeel.Wire;

/** The list as it was held before it became a table: a tree of each text, and every host ever named. Slow and plain. */
final class ReferenceHostList {
    /** Set in the numbers of sites that the settings do not name. */
    private static final int UNCONFIGURED_ZONE_FLAG = 1 << 30;

    /** One host; {@code id} is what the module knows it by. */
    static final class Host {
        final long id;
        final String name;
        InetSocketAddress address;
        int zone;
        int kind;
        long destination;
        boolean ready;
        /** Named by the list as it stands, ready or draining. */
        boolean listed;

        Host(long id, String name) {
            this.id = id;
            this.name = name;
        }

        private void markGone() {
            ready = false;
            listed = false;
        }
    }

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Host> hostsByName = new HashMap<>();
    private final Map<Long, Host> hostsById = new HashMap<>();
    private final Set<Long> knownDestinations = new HashSet<>();
    private long version = -1;

    ReferenceHostList(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** The version of the list held; -1 before the first. */
    long version() {
        return version;
    }

    Host hostById(long id) {
        return hostsById.get(id);
    }

    /** The host of this name; null if no list has named it. */
    Host hostByName(String name) {
        return hostsByName.get(name);
    }

    /** How many hosts the list names now. */
    int listedCount() {
        return (int) hostsById.values().stream().filter(host -> host.listed).count();
    }

    /** True for a destination that a list has named; it stays one while all of its hosts are gone. */
    boolean isKnown(long destination) {
        return knownDestinations.contains(destination);
    }

    /** Takes a list or its changes in, and returns what the module is to be told. */
    Relay.Listed load(Wire.Fields list) throws Wire.Malformed {
        List<Relay.Endpoint> endpoints = new ArrayList<>();
        List<Wire.Fields> entries = list.objects("hosts");
        boolean whole = list.flag("whole");
        long newVersion = list.whole("seq");
        Set<Host> namedHosts = new HashSet<>();
        for (Wire.Fields entry : entries) {
            Relay.Endpoint endpoint = applyEntry(entry);
            if (endpoint != null) {
                endpoints.add(endpoint);
                namedHosts.add(hostById(endpoint.id()));
            }
        }
        if (whole) {
            hostsById.values().stream().filter(host -> !namedHosts.contains(host)).forEach(Host::markGone);
        }
        version = newVersion;
        return new Relay.Listed(whole ? Relay.ListKind.WHOLE : Relay.ListKind.CHANGES, endpoints);
    }

    /** A host that another process was told is draining or gone; this one's list is older. */
    Relay.Listed markDraining(Host host) {
        host.ready = false;
        return new Relay.Listed(Relay.ListKind.CHANGES, List.of(new Relay.Endpoint(host.id, host.zone,
            host.kind, host.destination, Relay.Listing.DRAINING, 0)));
    }

    /** One entry; null for one that cannot be used. The others still count. */
    private Relay.Endpoint applyEntry(Wire.Fields entry) throws Wire.Malformed {
        String name = entry.text("host");
        Relay.Listing listing = switch (entry.text("health")) {
            case "ready" -> Relay.Listing.READY;
            case "draining" -> Relay.Listing.DRAINING;
            case "gone" -> Relay.Listing.GONE;
            default -> null;
        };
        int zone = zoneOf(entry.text("site", ""));
        int kind = kinds.indexOf(entry.text("class", ""));
        Host host = hostsByName.get(name);
        if (listing == Relay.Listing.GONE && host == null) {
            return null;
        }
        if (listing == null || listing != Relay.Listing.GONE && kind < 0) {
            return null;
        }
        if (host == null) {
            host = new Host(freeId(name), name);
            hostsByName.put(name, host);
            hostsById.put(host.id, host);
        }
        host.ready = listing == Relay.Listing.READY;
        host.listed = listing != Relay.Listing.GONE;
        if (listing != Relay.Listing.GONE) {
            try {
                host.address = Config.address(entry.text("dial"));
            } catch (Config.Unusable e) {
                host.markGone();
                listing = Relay.Listing.GONE;
            }
            host.zone = zone;
            host.kind = kind;
            host.destination = entry.whole("block");
            knownDestinations.add(host.destination);
        }
        return new Relay.Endpoint(host.id, zone, Math.max(0, kind), entry.whole("block", 0), listing,
            entry.number("share", 1));
    }

    /**
     * The place of a site among those that the settings name. The list may hold more sites than that: such a
     * one has a number past them, which is the same after a restart, for the journal holds it.
     */
    private int zoneOf(String site) {
        int configured = zones.indexOf(site);
        return configured >= 0 ? configured : UNCONFIGURED_ZONE_FLAG | (int) crc(site) & UNCONFIGURED_ZONE_FLAG - 1;
    }

    private static long crc(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }

    /**
     * A number below 2^32 that is the same at every relay; of two names that collide the later one is hashed
     * on.
     */
    private long freeId(String name) {
        CRC32 crc = new CRC32();
        do {
            crc.update(name.getBytes(StandardCharsets.UTF_8));
        } while (hostsById.containsKey(crc.getValue()));
        return crc.getValue();
    }
}
