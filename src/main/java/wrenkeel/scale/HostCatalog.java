package wrenkeel.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntFunction;

/**
 * A generated host list as discovery serves it, with a log of its changes. Hosts are numbered from 0, with
 * 1.7 hosts per destination; the same seed gives the same list. Only hosts that have changed are stored; all
 * others are computed from their number. Thread-safe.
 */
public final class HostCatalog {
    /** The five zones; the letter stands for one of two regions. */
    static final List<String> ZONES = List.of("a1", "a2", "a3", "b1", "b2");
    /** The kinds of hosts. */
    static final List<String> KINDS = List.of("m1", "m2");
    /** Number of changes kept; a request for older ones is answered with the whole list. */
    static final int MAX_CHANGES = 4_096;
    private static final JsonFactory JSON = new JsonFactory();
    private static final long FIRST_VERSION = 41;
    /** Odd, so that no two host numbers have the same 32-bit product, which would give equal names. */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    /** The health of one host. {@code GONE} hosts are not part of the whole list. */
    public enum Health {
        READY, DRAINING, GONE;

        /** Returns the value of the {@code health} field in discovery's list. */
        String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * The variable part of a host's entry.
     *
     * @param address address and port
     * @param bornMillis when the host started, in milliseconds since the Unix epoch; 0 for the initial start
     */
    private record HostState(Health health, String address, long bornMillis) { }

    /** One change: the list's version after it, and the number of the changed host. */
    private record Change(long version, int host) { }

    private final int hostCount;
    private final int salt;
    private final IntFunction<String> initialAddresses;
    private final Map<Integer, HostState> changedHosts = new HashMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private long version = FIRST_VERSION;
    private int goneCount;
    /** The current whole list, encoded; null after a change until it is requested. */
    private byte[] wholeList;

    /** Creates a list whose addresses do not answer, for relays that make no calls. */
    HostCatalog(int hostCount, long seed) {
        this(hostCount, seed, HostCatalog::unansweredAddress);
    }

    /**
     * Creates a list of ready hosts.
     *
     * @param initialAddresses the address and port of each host, by the host's number
     */
    public HostCatalog(int hostCount, long seed, IntFunction<String> initialAddresses) {
        this.hostCount = hostCount;
        this.initialAddresses = initialAddresses;
        salt = new Random(seed).nextInt();
    }

    private static String unansweredAddress(int host) {
        return "10." + (1 + (host >> 16 & 0x7f)) + "." + (host >> 8 & 0xff) + "." + (host & 0xff) + ":8081";
    }

    /** Returns the number of hosts, including those that are gone. */
    public int totalHosts() {
        return hostCount;
    }

    /** Returns the number of destinations. */
    public int destinationCount() {
        return hostCount == 0 ? 0 : destinationOf(hostCount - 1) + 1;
    }

    /** Returns the number of the destination that a host belongs to. */
    public static int destinationOf(int host) {
        return (int) (host * 10L / 17);
    }

    /** Returns the name of a host in the list. */
    public String hostName(int host) {
        return String.format(Locale.ROOT, "s-%08x", host * HASH_MULTIPLIER + salt);
    }

    /** Returns the current version of the list. */
    public synchronized long version() {
        return version;
    }

    /** Returns the number of hosts in the whole list, ready or draining. */
    synchronized int listedCount() {
        return hostCount - goneCount;
    }

    /** Changes the health of one host, and returns the list's new version. */
    public synchronized long changeHealth(int host, Health health) {
        HostState previous = stateOf(host);
        // A host that returns has a new start time.
        long bornMillis = previous.health == Health.GONE && health != Health.GONE ? System.currentTimeMillis()
            : previous.bornMillis;
        return recordChange(host, new HostState(health, previous.address, bornMillis));
    }

    /** Changes the address of one host, and returns the list's new version. */
    synchronized long changeAddress(int host, String address) {
        HostState previous = stateOf(host);
        return recordChange(host, new HostState(previous.health, address, previous.bornMillis));
    }

    private HostState stateOf(int host) {
        if (host < 0 || host >= hostCount) {
            throw new IndexOutOfBoundsException(
                "host " + host + " does not exist; number of hosts: " + hostCount);
        }
        HostState state = changedHosts.get(host);
        return state == null ? new HostState(Health.READY, initialAddresses.apply(host), 0) : state;
    }

    private long recordChange(int host, HostState newState) {
        goneCount += (newState.health == Health.GONE ? 1 : 0) - (stateOf(host).health == Health.GONE ? 1 : 0);
        changedHosts.put(host, newState);
        wholeList = null;
        changes.add(new Change(++version, host));
        if (changes.size() > MAX_CHANGES) {
            changes.remove();
        }
        return version;
    }

    /** Returns the whole list in discovery's JSON form. Callers share the array and must not modify it. */
    synchronized byte[] wholeList() {
        if (wholeList == null) {
            wholeList = encode(true, null);
        }
        return wholeList;
    }

    /**
     * Returns the hosts that changed after a version, perhaps none, in discovery's JSON form; the whole list
     * if the changes are no longer known.
     */
    synchronized byte[] changesSince(long after) {
        if (!hasChangesSince(after)) {
            return wholeList();
        }
        Set<Integer> hostNumbers = new LinkedHashSet<>();
        for (Change change : changes) {
            if (change.version > after) {
                hostNumbers.add(change.host);
            }
        }
        return encode(false, hostNumbers);
    }

    /** Returns whether {@link #changesSince} answers with changes rather than with the whole list. */
    synchronized boolean hasChangesSince(long after) {
        return after <= version && after >= version - changes.size();
    }

    private byte[] encode(boolean whole, Set<Integer> hostNumbers) {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream(whole ? 64 + hostCount * 132 : 256);
        try (JsonGenerator json = JSON.createGenerator(buffer)) {
            json.writeStartObject();
            json.writeNumberField("seq", version);
            json.writeBooleanField("whole", whole);
            json.writeArrayFieldStart("hosts");
            if (whole) {
                for (int host = 0; host < hostCount; host++) {
                    if (stateOf(host).health != Health.GONE) {
                        writeHost(json, host);
                    }
                }
            } else {
                for (int host : hostNumbers) {
                    writeHost(json, host);
                }
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("could not encode the host list in memory", e);
        }
        return buffer.toByteArray();
    }

    private void writeHost(JsonGenerator json, int host) throws IOException {
        HostState state = stateOf(host);
        json.writeStartObject();
        json.writeStringField("host", hostName(host));
        json.writeStringField("dial", state.address);
        json.writeStringField("site", ZONES.get(host % ZONES.size()));
        json.writeStringField("class", KINDS.get(host % KINDS.size()));
        json.writeNumberField("block", destinationOf(host));
        json.writeStringField("health", state.health.wireName());
        json.writeNumberField("share", 1.0);
        json.writeNumberField("born_ms", state.bornMillis);
        json.writeEndObject();
    }
}
