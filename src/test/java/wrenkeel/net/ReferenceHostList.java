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

/**
 * A simple and slow counterpart of {@link HostList}, with which a test compares the real one. It works on the
 * parsed JSON of each list, keeps an object for every host that a list has ever named, and reports the hosts
 * of all destinations, active or not.
 */
final class ReferenceHostList {
    /** This bit is set in the numbers of zones that the settings don't name. */
    private static final int UNCONFIGURED_ZONE_FLAG = 1 << 30;

    /** One host. The decision module identifies it by its {@code id}. */
    static final class Host {
        final long id;
        final String name;
        InetSocketAddress address;
        int zone;
        int kind;
        long destination;
        boolean ready;
        /** The current list names the host, as ready or draining. */
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

    /** The names of the zones in the settings; the index is the zone's number. */
    private final List<String> zones;
    /** The names of the kinds of host in the settings; the index is the kind's number. */
    private final List<String> kinds;
    private final Map<String, Host> hostsByName = new HashMap<>();
    private final Map<Long, Host> hostsById = new HashMap<>();
    private final Set<Long> knownDestinations = new HashSet<>();
    private long version = -1;

    ReferenceHostList(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** The version of the current list; -1 before the first one. */
    long version() {
        return version;
    }

    /** The host with this id; null if there is none. */
    Host hostById(long id) {
        return hostsById.get(id);
    }

    /** The host with this name; null if no list has named it. */
    Host hostByName(String name) {
        return hostsByName.get(name);
    }

    /** The number of hosts that the current list names. */
    int listedCount() {
        return (int) hostsById.values().stream().filter(host -> host.listed).count();
    }

    /** True if a list has ever named a host of this destination, even if all its hosts are gone now. */
    boolean isKnown(long destination) {
        return knownDestinations.contains(destination);
    }

    /** Applies a whole list or a list of changes, and returns the event for the decision module. */
    Relay.ListUpdated load(Wire.Fields list) throws Wire.MalformedException {
        List<Relay.Endpoint> endpoints = new ArrayList<>();
        List<Wire.Fields> entries = list.objects("hosts");
        boolean whole = list.booleanValue("whole");
        long newVersion = list.longValue("seq");
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
        return new Relay.ListUpdated(whole ? Relay.ListKind.WHOLE : Relay.ListKind.CHANGES, endpoints);
    }

    /**
     * Marks a host as draining because another process has received a newer list, in which it is draining or
     * gone. Returns the event for the decision module.
     */
    Relay.ListUpdated markDraining(Host host) {
        host.ready = false;
        return new Relay.ListUpdated(Relay.ListKind.CHANGES, List.of(new Relay.Endpoint(host.id, host.zone,
            host.kind, host.destination, Relay.Listing.DRAINING, 0)));
    }

    /** Applies one entry of a list. Returns null for an unusable entry, which affects no other entry. */
    private Relay.Endpoint applyEntry(Wire.Fields entry) throws Wire.MalformedException {
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
            } catch (Config.InvalidConfigException e) {
                host.markGone();
                listing = Relay.Listing.GONE;
            }
            host.zone = zone;
            host.kind = kind;
            host.destination = entry.longValue("block");
            knownDestinations.add(host.destination);
        }
        return new Relay.Endpoint(host.id, zone, Math.max(0, kind), entry.longValue("block", 0), listing,
            entry.doubleValue("share", 1));
    }

    /**
     * The number of a zone: its index in the settings, or a hash with the bit {@link #UNCONFIGURED_ZONE_FLAG}
     * if the settings don't name it. The hash is the same after a restart, as it must be because the journal
     * stores it.
     */
    private int zoneOf(String site) {
        int configured = zones.indexOf(site);
        return configured >= 0 ? configured
            : UNCONFIGURED_ZONE_FLAG | (int) crc(site) & UNCONFIGURED_ZONE_FLAG - 1;
    }

    private static long crc(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }

    /**
     * The id of a new host: the CRC-32 of its name, which is below 2^32 and the same at every relay. If
     * another host has that id already, the name is appended to the hashed text until the id is free.
     */
    private long freeId(String name) {
        CRC32 crc = new CRC32();
        do {
            crc.update(name.getBytes(StandardCharsets.UTF_8));
        } while (hostsById.containsKey(crc.getValue()));
        return crc.getValue();
    }
}
