package wrenkeel.net;

import io.netty.util.collection.IntObjectHashMap;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.zip.CRC32;
import wrenkeel.Relay;
import wrenkeel.Wire;

/**
 * Rows of hosts in columns of primitives, about 60 bytes each. A row is free; or an entry of a list that is
 * being read; or linked: then its host is found by name and by number, and its destination leads to it. One
 * thread.
 */
final class HostTable {
    /** No row, or no place. */
    static final int NONE = -1;
    /** Flags of a row that is linked: named by the list as it stands; and, of these, ready. */
    static final int LINKED = 1, LISTED = 2, READY = 4;
    /** Flags of a linked row while a list is read: it has named the host; as changed; drained meanwhile. */
    static final int SEEN = 8, CHANGED = 16, DRAINED = 32;
    /** Flags of an entry: its host is gone; no address was to be read from it. */
    static final int GONE = 64, UNDIALABLE = 128;
    /** The address has 16 bytes, or the share needs a double's bits: that is in the arena. */
    private static final int LONG_ADDRESS = 256, LONG_SHARE = 512;
    private static final int PAGE_BITS = 10, PAGE = 1 << PAGE_BITS;
    /** Bytes of a name, of a mean name and of an address of IP version 6. */
    private static final int NAME_MEAN = 32, LONG_BYTES = 16;
    /** Sites that can be told apart. */
    private static final int SITES_MOST = Character.MAX_VALUE;
    private static final int ARENA_LEAST = 1 << 20;

    /**
     * Columns of some rows; {@code site}: place of the zone; {@code share}: bits of a float, or place in the
     * arena; {@code next}: row of the same destination, of the same list, or free. */
    private static final class Page {
        final int[] number = new int[PAGE];
        final char[] site = new char[PAGE];
        final byte[] kind = new byte[PAGE];
        final short[] flags = new short[PAGE];
        final long[] destination = new long[PAGE];
        final int[] share = new int[PAGE];
        final int[] address = new int[PAGE];
        final char[] port = new char[PAGE];
        final int[] name = new int[PAGE];
        final int[] next = new int[PAGE];
    }

    private final int most;
    private final LongFunction<String> holders;
    private Page[] pages = new Page[4];
    /** Rows that the pages hold or held; those before {@code end} have been used. */
    private int end;
    private int rows;
    private int free = NONE;
    private ByteArena arena = new ByteArena();
    private final RowIndex byNumber = new RowIndex(row -> page(row).number[row & PAGE - 1]);
    /** Leads to the first row of each destination. */
    private final RowIndex byDestination = new RowIndex(row -> Long.hashCode(destination(row)));
    /** Destinations that a list has named and that have no row. */
    private final Set<Long> bare = new HashSet<>();
    /** By their CRC-32, the names whose number is another one, with that. */
    private final IntObjectHashMap<Map<String, Integer>> hashedOn = new IntObjectHashMap<>();
    /** The zones of all sites that were ever named, and the place of each. */
    private int[] zones = new int[8];
    private final IntObjectHashMap<Character> sites = new IntObjectHashMap<>();
    private final CRC32 crc = new CRC32();
    private final byte[] scratch = new byte[ByteArena.LONGEST];

    /**
     * {@code most}: rows at most; {@code holders}: names the host that keeps a number though it may have no
     * row, or null.
     */
    HostTable(int most, LongFunction<String> holders) {
        this.most = most;
        this.holders = holders;
    }

    // ---- Columns --------------------------------------------------------------------------------
    private Page page(int row) {
        return pages[row >> PAGE_BITS];
    }

    /** Rows that are not free. */
    int rows() {
        return rows;
    }

    /** All rows are below this one. */
    int end() {
        return end;
    }

    boolean has(int row, int flag) {
        return (page(row).flags[row & PAGE - 1] & flag) != 0;
    }

    void set(int row, int flag, boolean on) {
        short[] flags = page(row).flags;
        flags[row & PAGE - 1] = (short) (on ? flags[row & PAGE - 1] | flag : flags[row & PAGE - 1] & ~flag);
    }

    long number(int row) {
        return page(row).number[row & PAGE - 1] & 0xffffffffL;
    }

    int zone(int row) {
        return zones[page(row).site[row & PAGE - 1]];
    }

    int kind(int row) {
        return page(row).kind[row & PAGE - 1] & 0xff;
    }

    long destination(int row) {
        return page(row).destination[row & PAGE - 1];
    }

    double share(int row) {
        int held = page(row).share[row & PAGE - 1];
        if (!has(row, LONG_SHARE)) {
            return Float.intBitsToFloat(held);
        }
        byte[] bytes = new byte[Double.BYTES];
        arena.read(held, bytes);
        return ByteBuffer.wrap(bytes).getDouble();
    }

    /** A float's bits where they say all, as for most shares; else a place in the arena. */
    private int hold(double share, boolean isLong) {
        return isLong ? arena.add(ByteBuffer.allocate(Double.BYTES).putDouble(share).array(), Double.BYTES)
            : Float.floatToIntBits((float) share);
    }

    private char site(int zone) throws Wire.MalformedException {
        Character held = sites.get(zone);
        if (held == null) {
            if (sites.size() == SITES_MOST) {
                throw new Wire.MalformedException("more than " + SITES_MOST + " sites");
            }
            held = (char) sites.size();
            zones = held == zones.length ? Arrays.copyOf(zones, 2 * held) : zones;
            zones[held] = zone;
            sites.put(zone, held);
        }
        return held;
    }

    int next(int row) {
        return page(row).next[row & PAGE - 1];
    }

    void next(int row, int next) {
        page(row).next[row & PAGE - 1] = next;
    }

    private int nameAt(int row) {
        return page(row).name[row & PAGE - 1];
    }

    String name(int row) {
        int length = arena.read(nameAt(row), scratch);
        return new String(scratch, 0, length, StandardCharsets.UTF_8);
    }

    InetSocketAddress dial(int row) {
        Page page = page(row);
        int at = row & PAGE - 1;
        byte[] bytes;
        if (has(row, LONG_ADDRESS)) {
            bytes = new byte[LONG_BYTES];
            arena.read(page.address[at], bytes);
        } else {
            int a = page.address[at];
            bytes = new byte[] {(byte) (a >> 24), (byte) (a >> 16), (byte) (a >> 8), (byte) a};
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), page.port[at]);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("4 or 16 bytes are an address", e);
        }
    }

    // ---- Entries of a list that is being read -----------------------------------------------------
    /**
     * A row for an entry, not linked; {@code host}: the linked row of its host, whose number it then has
     * instead of a name, or {@link #NONE}.
     */
    int add(ListReader.Entry entry, int host) throws Wire.MalformedException {
        if (rows >= most) {
            throw new Wire.MalformedException("more than " + most + " hosts");
        }
        if (arena.size() > Math.max(ARENA_LEAST, (long) most * NAME_MEAN)) {
            throw new Wire.MalformedException("names of more than " + arena.size() + " bytes in all");
        }
        char site = site(entry.zone);
        int row = allocate();
        Page page = page(row);
        int at = row & PAGE - 1;
        boolean isLong = entry.longAddress != null;
        boolean isLongShare = (float) entry.share != entry.share;
        page.number[at] = host == NONE ? crc(entry.name, entry.nameLength) : (int) number(host);
        page.name[at] = host == NONE ? arena.add(entry.name, entry.nameLength) : NONE;
        page.site[at] = site;
        page.kind[at] = (byte) entry.kind;
        page.destination[at] = entry.destination;
        page.share[at] = hold(entry.share, isLongShare);
        page.address[at] = isLong ? arena.add(entry.longAddress, LONG_BYTES) : entry.address;
        page.port[at] = (char) entry.port;
        page.next[at] = NONE;
        page.flags[at] = (short) ((isLong ? LONG_ADDRESS : 0) | (isLongShare ? LONG_SHARE : 0)
            | (entry.listing == Relay.Listing.READY ? READY : 0)
            | (entry.listing == Relay.Listing.GONE ? GONE : 0) | (entry.undialable ? UNDIALABLE : 0));
        return row;
    }

    /** The linked row of an entry's host; {@link #NONE} if there is none. */
    int host(int entry) {
        int row = numbered((int) number(entry));
        if (nameAt(entry) == NONE || row == NONE && !hashedOn.containsKey((int) number(entry))) {
            return row;
        }
        int length = arena.read(nameAt(entry), scratch);
        return named(scratch, length, (int) number(entry));
    }

    /** True if a linked row holds just what the entry says. */
    boolean same(int row, ListReader.Entry entry) {
        Page page = page(row);
        int at = row & PAGE - 1;
        boolean address = has(row, LONG_ADDRESS)
            ? entry.longAddress != null && arena.holds(page.address[at], entry.longAddress, LONG_BYTES)
            : entry.longAddress == null && page.address[at] == entry.address;
        return address && page.port[at] == entry.port && page.destination[at] == entry.destination
            && zone(row) == entry.zone && kind(row) == entry.kind && share(row) == entry.share
            && entry.listing == (has(row, READY) ? Relay.Listing.READY : Relay.Listing.DRAINING);
    }

    /** Gives a linked row the place, share and address of an entry of the same host; the entry goes. */
    void update(int row, int entry) {
        Page to = page(row);
        int at = row & PAGE - 1;
        Page from = page(entry);
        int source = entry & PAGE - 1;
        if (has(row, LONG_ADDRESS)) {
            arena.free(to.address[at]);
        }
        if (has(row, LONG_SHARE)) {
            arena.free(to.share[at]);
        }
        to.site[at] = from.site[source];
        to.kind[at] = from.kind[source];
        to.share[at] = from.share[source];
        to.address[at] = from.address[source];
        to.port[at] = from.port[source];
        set(row, LONG_ADDRESS, has(entry, LONG_ADDRESS));
        set(row, LONG_SHARE, has(entry, LONG_SHARE));
        set(entry, LONG_ADDRESS | LONG_SHARE, false);
        free(entry);
    }

    /** Makes an entry the row of a host that has none. */
    void link(int entry) {
        page(entry).number[entry & PAGE - 1] = assign(entry, (int) number(entry));
        byNumber.add(entry);
        join(entry);
    }

    /** Makes an entry the row of a host in place of one of another destination, which waits to be pruned. */
    void move(int row, int entry) {
        if (nameAt(entry) != NONE) {
            arena.free(nameAt(entry));
        }
        page(entry).number[entry & PAGE - 1] = (int) number(row);
        page(entry).name[entry & PAGE - 1] = nameAt(row);
        page(row).name[row & PAGE - 1] = NONE;
        byNumber.replace(row, entry);
        join(entry);
        set(row, LISTED, false);
    }

    /** Frees an entry. */
    void free(int row) {
        if (nameAt(row) != NONE) {
            arena.free(nameAt(row));
        }
        if (has(row, LONG_ADDRESS)) {
            arena.free(page(row).address[row & PAGE - 1]);
        }
        if (has(row, LONG_SHARE)) {
            arena.free(page(row).share[row & PAGE - 1]);
        }
        page(row).flags[row & PAGE - 1] = 0;
        next(row, free);
        free = row;
        rows--;
    }

    private int allocate() {
        int row = free;
        if (row != NONE) {
            free = next(row);
        } else {
            row = end++;
            if (row >> PAGE_BITS == pages.length) {
                pages = Arrays.copyOf(pages, 2 * pages.length);
            }
            if ((row & PAGE - 1) == 0) {
                pages[row >> PAGE_BITS] = new Page();
            }
        }
        rows++;
        return row;
    }

    // ---- Linked rows ------------------------------------------------------------------------------
    /** The linked row of a host's name; {@link #NONE} if there is none. */
    int named(byte[] name, int length) {
        return named(name, length, crc(name, length));
    }

    private int named(byte[] name, int length, int hash) {
        int row = numbered(hash);
        if (row != NONE && arena.holds(nameAt(row), name, length)) {
            return row;
        }
        Map<String, Integer> names = hashedOn.get(hash);
        Integer number = names == null ? null
            : names.get(new String(name, 0, length, StandardCharsets.UTF_8));
        return number == null ? NONE : numbered(number);
    }

    /** The linked row of a host's number; {@link #NONE} if there is none. */
    int numbered(long number) {
        return numbered((int) number);
    }

    private int numbered(int number) {
        int slot = byNumber.first(number);
        int row = byNumber.row(slot);
        while (row >= 0 && page(row).number[row & PAGE - 1] != number) {
            slot = byNumber.next(slot);
            row = byNumber.row(slot);
        }
        return row;
    }

    /** The number that a host of this name has, or would be given. */
    long numberOf(byte[] name, int length) {
        int hash = crc(name, length);
        Map<String, Integer> names = hashedOn.get(hash);
        Integer number = names == null ? null
            : names.get(new String(name, 0, length, StandardCharsets.UTF_8));
        return (number == null ? hash : number) & 0xffffffffL;
    }

    /** The first linked row of a destination; {@link #next} leads on. {@link #NONE} if there is none. */
    int firstOf(long destination) {
        int slot = byDestination.first(Long.hashCode(destination));
        int row = byDestination.row(slot);
        while (row >= 0 && destination(row) != destination) {
            slot = byDestination.next(slot);
            row = byDestination.row(slot);
        }
        return row;
    }

    /** True for a destination that a list has named. */
    boolean knows(long destination) {
        return firstOf(destination) != NONE || bare.contains(destination);
    }

    /** A list has named this destination, though perhaps no host of it that can be used. */
    void know(long destination) {
        if (firstOf(destination) == NONE) {
            bare.add(destination);
        }
    }

    private void join(int row) {
        long destination = destination(row);
        int first = firstOf(destination);
        if (first == NONE) {
            next(row, NONE);
            byDestination.add(row);
            if (!bare.isEmpty()) {
                bare.remove(destination);
            }
        } else {
            next(row, next(first));
            next(first, row);
        }
        set(row, LINKED, true);
    }

    /** Frees all linked rows of a destination that are not listed any more, in one walk over its rows. */
    void prune(long destination) {
        int first = firstOf(destination);
        int kept = NONE;
        int last = NONE;
        int gone = NONE;
        for (int row = first; row != NONE;) {
            int next = next(row);
            if (!has(row, LISTED)) {
                next(row, gone);
                gone = row;
            } else {
                kept = kept == NONE ? row : kept;
                if (last != NONE) {
                    next(last, row);
                }
                last = row;
            }
            row = next;
        }
        if (last == NONE) {
            if (first != NONE) {
                byDestination.remove(first);
                bare.add(destination);
            }
        } else {
            next(last, NONE);
            if (kept != first) {
                byDestination.replace(first, kept);
            }
        }
        while (gone != NONE) {
            int row = gone;
            gone = next(row);
            // One whose host has moved has given its name and its number to another row.
            if (nameAt(row) != NONE) {
                long number = number(row);
                String odd = hashedOn.isEmpty() ? null : name(row);
                byNumber.remove(row);
                if (odd != null) {
                    letGo(number, odd);
                }
            }
            free(row);
        }
    }

    /** Copies the names over once too much room is wasted. */
    void tidy() {
        if (arena.wasteful()) {
            ByteArena old = arena;
            arena = new ByteArena();
            for (int row = 0; row < end; row++) {
                Page page = page(row);
                int at = row & PAGE - 1;
                if (page.flags[at] != 0 && page.name[at] != NONE) {
                    page.name[at] = arena.add(scratch, old.read(page.name[at], scratch));
                }
                if (has(row, LONG_ADDRESS)) {
                    page.address[at] = arena.add(scratch, old.read(page.address[at], scratch));
                }
                if (has(row, LONG_SHARE)) {
                    page.share[at] = arena.add(scratch, old.read(page.share[at], scratch));
                }
            }
        }
    }

    // ---- Numbers ----------------------------------------------------------------------------------
    private int crc(byte[] name, int length) {
        crc.reset();
        crc.update(name, 0, length);
        return (int) crc.getValue();
    }

    /**
     * A number below 2^32 that is the same at every relay; of two names that collide the later one is hashed
     * on. A host that has gone and comes back has its number again for as long as it is held.
     */
    private int assign(int entry, int hash) {
        Map<String, Integer> names = hashedOn.get(hash);
        if (names == null && numbered(hash) == NONE && holders.apply(hash & 0xffffffffL) == null) {
            return hash;
        }
        String name = name(entry);
        names = names == null ? new HashMap<>() : names;
        if (names.containsKey(name)) {
            return names.get(name);
        }
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int number = crc(bytes, bytes.length);
        while (!isFree(number, name)) {
            crc.update(bytes, 0, bytes.length);
            number = (int) crc.getValue();
        }
        if (number != hash) {
            names.put(name, number);
            hashedOn.put(hash, names);
        }
        return number;
    }

    private boolean isFree(int number, String name) {
        String holder = holders.apply(number & 0xffffffffL);
        return numbered(number) == NONE && (holder == null || holder.equals(name));
    }

    /** Forgets that a name was hashed on, once neither a row nor a host has its number. */
    void letGo(long number, String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int hash = crc(bytes, bytes.length);
        Map<String, Integer> names = hashedOn.get(hash);
        if (names != null && numbered(number) == NONE && holders.apply(number) == null
            && names.remove(name, (int) number) && names.isEmpty()) {
            hashedOn.remove(hash);
        }
    }
}
