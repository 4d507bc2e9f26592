package wrenkeel.scale;

import java.util.List;

/**
 * Configuration of one relay, without the host list.
 *
 * @param seed hexadecimal
 * @param relays configured number of relays in the fleet
 * @param cores limit of processor cores
 * @param memoryMb limit of memory
 * @param sockets limit of sockets
 * @param diskMb limit of disk space
 * @param zones the zones that a {@link HostCatalog} uses
 * @param kinds the kinds of hosts that a {@link HostCatalog} uses
 * @param profiles the message classes
 * @param callSlots maximum number of calls in flight
 * @param maxOpenMessages maximum number of messages held
 */
public record RelaySettings(String name, String seed, int relays, double cores, int memoryMb, int sockets,
                     double diskMb, List<String> zones, List<String> kinds, List<Profile> profiles,
                     int callSlots, int maxOpenMessages, List<Tenant> tenants) {

    /**
     * A message class.
     *
     * @param aimMs target time, within which a message earns full worth
     * @param hardLimitMs time after which a message has failed
     * @param semantics {@code retryable}, {@code dedup} or {@code fragile}
     * @param windowMs period within which destinations recognize a repeated message; 0 without {@code dedup}
     */
    public record Profile(String name, long aimMs, long hardLimitMs, String semantics, long windowMs) { }

    /** A client with the message rate, over all relays, up to which its messages have full worth. */
    public record Tenant(String name, double quotaPerSecond) { }

    /** Returns a relay of a fleet of 2,300, with the deployment's limits and a class for each semantics. */
    public static RelaySettings typical(String name) {
        return new RelaySettings(name, "8c1f30d27a5be964", 2_300, 1, 192, 1_024, 3, HostCatalog.ZONES,
            HostCatalog.KINDS, List.of(new Profile("notice", 2_000, 16_000, "dedup", 15_000),
                new Profile("query", 1_000, 4_000, "retryable", 0),
                new Profile("order", 2_000, 16_000, "fragile", 0)), 64, 1_000, List.of());
    }

    /** Returns these settings with another relay name. */
    public RelaySettings withName(String newName) {
        return new RelaySettings(newName, seed, relays, cores, memoryMb, sockets, diskMb, zones, kinds,
            profiles, callSlots, maxOpenMessages, tenants);
    }

    /** Returns these settings with another number of relays in the fleet. */
    public RelaySettings withRelays(int relayCount) {
        return new RelaySettings(name, seed, relayCount, cores, memoryMb, sockets, diskMb, zones, kinds,
            profiles, callSlots, maxOpenMessages, tenants);
    }

    /** Returns these settings with other message classes. */
    public RelaySettings withProfiles(List<Profile> newProfiles) {
        return new RelaySettings(name, seed, relays, cores, memoryMb, sockets, diskMb, zones, kinds,
            newProfiles, callSlots, maxOpenMessages, tenants);
    }

    /** Returns these settings with another limit of disk space. */
    public RelaySettings withDisk(double megabytes) {
        return new RelaySettings(name, seed, relays, cores, memoryMb, sockets, megabytes, zones, kinds,
            profiles, callSlots, maxOpenMessages, tenants);
    }

    /** Returns these settings with other limits of calls in flight and messages held. */
    public RelaySettings withCalls(int newCallSlots, int newMaxOpenMessages) {
        return new RelaySettings(name, seed, relays, cores, memoryMb, sockets, diskMb, zones, kinds, profiles,
            newCallSlots, newMaxOpenMessages, tenants);
    }

    /** Returns these settings with other tenants. */
    RelaySettings withTenants(List<Tenant> newTenants) {
        return new RelaySettings(name, seed, relays, cores, memoryMb, sockets, diskMb, zones, kinds, profiles,
            callSlots, maxOpenMessages, newTenants);
    }
}
