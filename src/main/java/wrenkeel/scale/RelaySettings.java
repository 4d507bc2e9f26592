package wrenkeel.scale;

import java.util.List;

/**
 * What one relay's configuration holds besides the list: {@code relays} is the size of the fleet that it is
 * told of, {@code seed} hexadecimal, {@code cores}, {@code memoryMb}, {@code sockets} and {@code diskMb} its
 * limits. {@code zones} and {@code kinds} are those that a {@link HostCatalog} names.
 */
record RelaySettings(String name, String seed, int relays, double cores, int memoryMb, int sockets,
                     double diskMb, List<String> zones, List<String> kinds, List<Profile> profiles) {

    /**
     * A class of messages: times in milliseconds; semantics {@code retryable}, {@code dedup} or {@code
     * fragile}.
     */
    record Profile(String name, long aim, long hardLimit, String semantics, long window) { }

    /** A relay of a fleet of 2,300, with the limits of the deployment and one class of each sort. */
    static RelaySettings typical(String name) {
        return new RelaySettings(name, "8c1f30d27a5be964", 2_300, 1, 192, 1_024, 3, HostCatalog.ZONES,
            HostCatalog.KINDS, List.of(new Profile("notice", 2_000, 16_000, "dedup", 15_000),
                new Profile("query", 1_000, 4_000, "retryable", 0),
                new Profile("order", 2_000, 16_000, "fragile", 0)));
    }

    RelaySettings withRelays(int count) {
        return new RelaySettings(name, seed, count, cores, memoryMb, sockets, diskMb, zones, kinds, profiles);
    }

    RelaySettings withProfiles(List<Profile> classes) {
        return new RelaySettings(name, seed, relays, cores, memoryMb, sockets, diskMb, zones, kinds, classes);
    }

    RelaySettings withDisk(double megabytes) {
        return new RelaySettings(name, seed, relays, cores, memoryMb, sockets, megabytes, zones, kinds,
            profiles);
    }
}
