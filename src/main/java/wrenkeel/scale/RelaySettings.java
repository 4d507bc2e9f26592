package wrenkeel.scale;

import java.util.List;

/**
 * What one relay's configuration holds besides the list: {@code relays} is the size of the fleet that it is
 * told of, {@code seed} hexadecimal, {@code cores}, {@code memoryMb}, {@code sockets} and {@code diskMb} its
 * limits. {@code zones} and {@code kinds} are those that a {@link HostCatalog} names; {@code callSlots} is how
 * many calls may be out at once, {@code maxOpenMessages} how many messages may be held.
 */
public record RelaySettings(String name, String seed, int relays, double cores, int memoryMb, int sockets,
                     double diskMb, List<String> zones, List<String> kinds, List<Profile> profiles,
                     int callSlots, int maxOpenMessages, List<Tenant> tenants) {

    /**
     * A class of messages: times in milliseconds; semantics {@code retryable}, {@code dedup} or {@code
     * fragile}.
     */
    public record Profile(String name, long aimMs, long hardLimitMs, String semantics, long windowMs) { }

    /** A client whose messages count in full up to a rate over all relays. */
    public record Tenant(String name, double quotaPerSecond) { }

    /** A relay of a fleet of 2,300, with the limits of the deployment and one class of each sort. */
    public static RelaySettings typical(String name) {
        return new RelaySettings(name, "8c1f30d27a5be964", 2_300, 1, 192, 1_024, 3, HostCatalog.ZONES,
            HostCatalog.KINDS, List.of(new Profile("notice", 2_000, 16_000, "dedup", 15_000),
                new Profile("query", 1_000, 4_000, "retryable", 0),
                new Profile("order", 2_000, 16_000, "fragile", 0)), 64, 1_000, List.of());
    }

    /** The same under another name. */
    public RelaySettings withName(String newName) {
        return new RelaySettings(newName, seed, relays, cores, memoryMb, sockets, diskMb, zones, kinds,
            profiles, callSlots, maxOpenMessages, tenants);
    }

    public RelaySettings withRelays(int relayCount) {
        return new RelaySettings(name, seed, relayCount, cores, memoryMb, sockets, diskMb, zones, kinds, profiles,
            callSlots, maxOpenMessages, tenants);
    }

    public RelaySettings withProfiles(List<Profile> newProfiles) {
        return new RelaySettings(name, seed, relays, cores, memoryMb, sockets, diskMb, zones, kinds, newProfiles,
            callSlots, maxOpenMessages, tenants);
    }

    public RelaySettings withDisk(double megabytes) {
        return new RelaySettings(name, seed, relays, cores, memoryMb, sockets, megabytes, zones, kinds,
            profiles, callSlots, maxOpenMessages, tenants);
    }

    public RelaySettings withCalls(int newCallSlots, int newMaxOpenMessages) {
        return new RelaySettings(name, seed, relays, cores, memoryMb, sockets, diskMb, zones, kinds, profiles,
            newCallSlots, newMaxOpenMessages, tenants);
    }

    RelaySettings withTenants(List<Tenant> newTenants) {
        return new RelaySettings(name, seed, relays, cores, memoryMb, sockets, diskMb, zones, kinds, profiles,
            callSlots, maxOpenMessages, newTenants);
    }
}
