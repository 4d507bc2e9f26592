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
 * Discovery's list: hosts numbered from 0, 1.7 a destination, the same for the same seed, and what has
 * changed since. Only what changed is held by the entry; all else is worked out from the number. Any thread
 * may call.
 */
public final class HostCatalog {
    /** Two regions with five zones. */
    static final List<String> ZONES = List.of("a1", "a2", "a3", "b1", "b2");
    static final List<String> KINDS = List.of("m1", "m2");
    /** Changes remembered; who asks for older ones gets the whole list. */
    static final int MAX_CHANGES = 4_096;
    private static final JsonFactory JSON = new JsonFactory();
    private static final long FIRST_VERSION = 41;
    /** Odd, so that no two numbers below 2^32 have the same product in 32 bits. */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    /** The standing of one host. */
    public enum Health {
        READY, DRAINING, GONE;

        String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * What is no longer as it was at first: its standing, where it is dialled, and when it began (Unix ms).
     */
    private record HostState(Health health, String address, long bornMillis) { }

    /** One change: the host that it is about, by its number. */
    private record Change(long version, int host) { }

    private final int hostCount;
    private final int salt;
    private final IntFunction<String> initialAddresses;
    private final Map<Integer, HostState> changedHosts = new HashMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private long version = FIRST_VERSION;
    private int goneCount;
    /** The list as it stands, encoded; null after a change until somebody asks. */
    private byte[] encodedList;

    /** Hosts with addresses that nobody answers; they are for relays that make no calls. */
    HostCatalog(int hostCount, long seed) {
        this(hostCount, seed, HostCatalog::unansweredAddress);
    }

    /**
     * @param dials the address and port of each host
     */
    public HostCatalog(int hostCount, long seed, IntFunction<String> initialAddresses) {
        this.hostCount = hostCount;
        this.initialAddresses = initialAddresses;
        salt = new Random(seed).nextInt();
    }

    private static String unansweredAddress(int host) {
        return "10." + (1 + (host >> 16 & 0x7f)) + "." + (host >> 8 & 0xff) + "." + (host & 0xff) + ":8081";
    }

    /** How many hosts there are, those that are gone included. */
    public int hostCount() {
        return hostCount;
    }

    public int destinationCount() {
        return hostCount == 0 ? 0 : destinationOf(hostCount - 1) + 1;
    }

    /** The number of a host's destination. */
    public static int destinationOf(int host) {
        return (int) (host * 10L / 17);
    }

    public String hostName(int host) {
        return String.format(Locale.ROOT, "s-%08x", host * HASH_MULTIPLIER + salt);
    }

    public synchronized long version() {
        return version;
    }

    /** How many hosts the list names, ready or draining. */
    synchronized int listedCount() {
        return hostCount - goneCount;
    }

    /** Changes the standing of one host; the list's new version. */
    public synchronized long changeHealth(int host, Health health) {
        HostState previous = stateOf(host);
        // One that comes back has started anew.
        long bornMillis = previous.health == Health.GONE && health != Health.GONE ? System.currentTimeMillis()
            : previous.bornMillis;
        return recordChange(host, new HostState(health, previous.address, bornMillis));
    }

    /** Gives one host another address; the list's new version. */
    synchronized long changeAddress(int host, String address) {
        HostState previous = stateOf(host);
        return recordChange(host, new HostState(previous.health, address, previous.bornMillis));
    }

    private HostState stateOf(int host) {
        if (host < 0 || host >= hostCount) {
            throw new IndexOutOfBoundsException("host " + host + " of " + hostCount);
        }
        HostState state = changedHosts.get(host);
        return state == null ? new HostState(Health.READY, initialAddresses.apply(host), 0) : state;
    }

    private long recordChange(int host, HostState newState) {
        goneCount += (newState.health == Health.GONE ? 1 : 0) - (stateOf(host).health == Health.GONE ? 1 : 0);
        changedHosts.put(host, newState);
        encodedList = null;
        changes.add(new Change(++version, host));
        if (changes.size() > MAX_CHANGES) {
            changes.remove();
        }
        return version;
    }

    /** The whole list in discovery's form. Shared by all who ask: not to be written to. */
    synchronized byte[] wholeList() {
        if (encodedList == null) {
            encodedList = encode(true, null);
        }
        return encodedList;
    }

    /** What changed after a version, perhaps nothing; the whole list where that is no longer known. */
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

    /** True where the answer to a watch after this version is made of changes. */
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
            throw new IllegalStateException("an array of bytes cannot fail to be written", e);
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
