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
 * A compact table of hosts: rows whose fields are stored in arrays of primitives, about 60 bytes for each
 * host. A row is in one of three states. It is free; or it holds an entry of a list that is being read; or it
 * is linked, which means that it is found by the host's name, by the host's id and through its destination.
 * Not thread-safe.
 */
final class HostTable {
    /** In place of a row number or a place in the arena: none. */
    static final int NONE = -1;
    /** Flag of a linked row. */
    static final int LINKED = 1;
    /** Flag of a linked row: the current list names its host. */
    static final int LISTED = 2;
    /** Flag of a listed row or of an entry: its host is ready, not draining. */
    static final int READY = 4;
    /** Flag of a linked row: the list that is being read names its host. */
    static final int SEEN_IN_UPDATE = 8;
    /** Flag of a linked row: the list that is being read has an entry for its host that will be applied. */
    static final int HAS_ENTRY = 16;
    /** Flag of a linked row: its host was marked as draining while the list was being read. */
    static final int DRAINED_MEANWHILE = 32;
    /** Flag of an entry: its host is gone. */
    static final int GONE = 64;
    /** Flag of an entry: its address could not be parsed. */
    static final int UNUSABLE_ADDRESS = 128;
    /** Flag: the address has 16 bytes, which are in the arena. */
    private static final int ADDRESS_IN_ARENA = 256;
    /** Flag: the share needs the precision of a double, whose bytes are in the arena. */
    private static final int SHARE_IN_ARENA = 512;
    private static final int PAGE_BITS = 10;
    private static final int PAGE_ROWS = 1 << PAGE_BITS;
    /** Assumed mean length of host names, for the limit of the arena's size. */
    private static final int MEAN_NAME_BYTES = 32;
    private static final int IPV6_BYTES = 16;
    /** Number of different zones that the table can hold: a row stores an index of 16 bits. */
    private static final int MAX_ZONES = Character.MAX_VALUE;
    /** The arena's size is limited in proportion to the rows, but not to less than this. */
    private static final int MIN_ARENA_LIMIT_BYTES = 1 << 20;

    /** The columns of {@link #PAGE_ROWS} rows. */
    private static final class Page {
        /** Id of the host as an unsigned number; of an entry for a new host, the CRC-32 of its name. */
        final int[] id = new int[PAGE_ROWS];
        /** Index in {@link HostTable#zones}. */
        final char[] zoneIndex = new char[PAGE_ROWS];
        final byte[] kind = new byte[PAGE_ROWS];
        final short[] flags = new short[PAGE_ROWS];
        final long[] destination = new long[PAGE_ROWS];
        /** Bits of a float, or place in the arena. */
        final int[] share = new int[PAGE_ROWS];
        /** IPv4 address, or place in the arena. */
        final int[] address = new int[PAGE_ROWS];
        final char[] port = new char[PAGE_ROWS];
        /** Place in the arena; {@link #NONE} while another row has the host's name. */
        final int[] name = new int[PAGE_ROWS];
        /** The next row of the same destination, of the same list that is being read, or of the free rows. */
        final int[] next = new int[PAGE_ROWS];
    }

    private final int maxRows;
    private final LongFunction<String> nameOfHeldId;
    private Page[] pages = new Page[4];
    /** All rows that have ever been used are below this one. */
    private int end;
    private int rowCount;
    /** Head of the chain of free rows. */
    private int firstFree = NONE;
    /** Names, IPv6 addresses and shares that don't fit into a float. */
    private ByteArena arena = new ByteArena();
    /** The linked rows by host id. */
    private final RowIndex byId = new RowIndex(row -> page(row).id[row & PAGE_ROWS - 1]);
    /** The first row of each destination; the others follow by {@link #next}. */
    private final RowIndex byDestination = new RowIndex(row -> Long.hashCode(destination(row)));
    /** Destinations that a list has named and that have no row now. */
    private final Set<Long> destinationsWithoutRows = new HashSet<>();
    /** The ids of hosts whose name's CRC-32 was taken by another host: CRC-32 of the name, to name, to id. */
    private final IntObjectHashMap<Map<String, Integer>> rehashedIds = new IntObjectHashMap<>();
    /** All zones that have ever been named, by index. */
    private int[] zones = new int[8];
    /** The index of each zone in {@link #zones}. */
    private final IntObjectHashMap<Character> zoneIndexes = new IntObjectHashMap<>();
    private final CRC32 crc32 = new CRC32();
    /** Buffer for names and other byte strings of the arena. */
    private final byte[] scratch = new byte[ByteArena.MAX_STRING_BYTES];

    /**
     * Creates an empty table.
     *
     * @param maxRows the limit of rows in use, linked rows and entries together
     * @param nameOfHeldId returns the name of the host that holds an id, even without a row; null if no host
     *     holds it
     */
    HostTable(int maxRows, LongFunction<String> nameOfHeldId) {
        this.maxRows = maxRows;
        this.nameOfHeldId = nameOfHeldId;
    }

    // ---- Columns --------------------------------------------------------------------------------
    private Page page(int row) {
        return pages[row >> PAGE_BITS];
    }

    /** The number of rows that are not free. */
    int rowCount() {
        return rowCount;
    }

    /** All rows that have ever been used are below this one. */
    int end() {
        return end;
    }

    /** True if a row has at least one of these flags. */
    boolean hasFlag(int row, int flag) {
        return (page(row).flags[row & PAGE_ROWS - 1] & flag) != 0;
    }

    /** Sets or clears flags of a row. */
    void setFlag(int row, int flag, boolean on) {
        short[] flags = page(row).flags;
        flags[row & PAGE_ROWS - 1] =
            (short) (on ? flags[row & PAGE_ROWS - 1] | flag : flags[row & PAGE_ROWS - 1] & ~flag);
    }

    /** The id of a row's host, below 2^32. */
    long id(int row) {
        return page(row).id[row & PAGE_ROWS - 1] & 0xffffffffL;
    }

    int zone(int row) {
        return zones[page(row).zoneIndex[row & PAGE_ROWS - 1]];
    }

    int kind(int row) {
        return page(row).kind[row & PAGE_ROWS - 1] & 0xff;
    }

    long destination(int row) {
        return page(row).destination[row & PAGE_ROWS - 1];
    }

    double share(int row) {
        int stored = page(row).share[row & PAGE_ROWS - 1];
        if (!hasFlag(row, SHARE_IN_ARENA)) {
            return Float.intBitsToFloat(stored);
        }
        byte[] bytes = new byte[Double.BYTES];
        arena.read(stored, bytes);
        return ByteBuffer.wrap(bytes).getDouble();
    }

    /** The value of the column for a share: the bits of a float if it is exact, else a place in the arena. */
    private int encodeShare(double share, boolean needsDouble) {
        return needsDouble
            ? arena.add(ByteBuffer.allocate(Double.BYTES).putDouble(share).array(), Double.BYTES)
            : Float.floatToIntBits((float) share);
    }

    /** The index of a zone, which is added if it is new. */
    private char zoneIndex(int zone) throws Wire.MalformedException {
        Character index = zoneIndexes.get(zone);
        if (index == null) {
            if (zoneIndexes.size() == MAX_ZONES) {
                throw new Wire.MalformedException("hosts are in more than " + MAX_ZONES + " zones");
            }
            index = (char) zoneIndexes.size();
            zones = index == zones.length ? Arrays.copyOf(zones, 2 * index) : zones;
            zones[index] = zone;
            zoneIndexes.put(zone, index);
        }
        return index;
    }

    /** The next row of a chain; {@link #NONE} for the last. */
    int next(int row) {
        return page(row).next[row & PAGE_ROWS - 1];
    }

    /** Sets the next row of a chain. */
    void next(int row, int next) {
        page(row).next[row & PAGE_ROWS - 1] = next;
    }

    /** The place of a row's name in the arena; {@link #NONE} if it has none. */
    private int namePlace(int row) {
        return page(row).name[row & PAGE_ROWS - 1];
    }

    String name(int row) {
        int length = arena.read(namePlace(row), scratch);
        return new String(scratch, 0, length, StandardCharsets.UTF_8);
    }

    InetSocketAddress address(int row) {
        Page page = page(row);
        int index = row & PAGE_ROWS - 1;
        byte[] bytes;
        if (hasFlag(row, ADDRESS_IN_ARENA)) {
            bytes = new byte[IPV6_BYTES];
            arena.read(page.address[index], bytes);
        } else {
            int bits = page.address[index];
            bytes = new byte[] {(byte) (bits >> 24), (byte) (bits >> 16), (byte) (bits >> 8), (byte) bits};
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), page.port[index]);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an address of 4 or 16 bytes was not accepted", e);
        }
    }

    // ---- Entries of a list that is being read -----------------------------------------------------
    /**
     * Stores an entry in an unlinked row.
     *
     * @param hostRow the linked row of the entry's host, whose id the entry then has instead of a name;
     *     {@link #NONE} if there is none
     * @return the entry's row
     * @throws Wire.MalformedException if the table is full
     */
    int addEntry(ListReader.Entry entry, int hostRow) throws Wire.MalformedException {
        if (rowCount >= maxRows) {
            throw new Wire.MalformedException("hosts and changes take more than " + maxRows + " rows");
        }
        if (arena.allocatedBytes() > Math.max(MIN_ARENA_LIMIT_BYTES, (long) maxRows * MEAN_NAME_BYTES)) {
            throw new Wire.MalformedException(
                "host names take more than " + arena.allocatedBytes() + " bytes in all");
        }
        char zoneIndex = zoneIndex(entry.zone);
        int row = allocate();
        Page page = page(row);
        int index = row & PAGE_ROWS - 1;
        boolean isIpv6 = entry.ipv6Address != null;
        boolean needsDouble = (float) entry.share != entry.share;
        page.id[index] = hostRow == NONE ? crc(entry.name, entry.nameLength) : (int) id(hostRow);
        page.name[index] = hostRow == NONE ? arena.add(entry.name, entry.nameLength) : NONE;
        page.zoneIndex[index] = zoneIndex;
        page.kind[index] = (byte) entry.kind;
        page.destination[index] = entry.destination;
        page.share[index] = encodeShare(entry.share, needsDouble);
        page.address[index] = isIpv6 ? arena.add(entry.ipv6Address, IPV6_BYTES) : entry.ipv4Address;
        page.port[index] = (char) entry.port;
        page.next[index] = NONE;
        page.flags[index] = (short) ((isIpv6 ? ADDRESS_IN_ARENA : 0) | (needsDouble ? SHARE_IN_ARENA : 0)
            | (entry.listing == Relay.Listing.READY ? READY : 0)
            | (entry.listing == Relay.Listing.GONE ? GONE : 0)
            | (entry.unusableAddress ? UNUSABLE_ADDRESS : 0));
        return row;
    }

    /** The linked row of an entry's host; {@link #NONE} if there is none. */
    int rowOfEntry(int entry) {
        int row = rowById((int) id(entry));
        if (namePlace(entry) == NONE || row == NONE && !rehashedIds.containsKey((int) id(entry))) {
            return row;
        }
        int length = arena.read(namePlace(entry), scratch);
        return rowByName(scratch, length, (int) id(entry));
    }

    /** True if an entry changes nothing of the linked row of its host. */
    boolean matches(int row, ListReader.Entry entry) {
        Page page = page(row);
        int index = row & PAGE_ROWS - 1;
        boolean sameAddress = hasFlag(row, ADDRESS_IN_ARENA)
            ? entry.ipv6Address != null && arena.contains(page.address[index], entry.ipv6Address, IPV6_BYTES)
            : entry.ipv6Address == null && page.address[index] == entry.ipv4Address;
        return sameAddress && page.port[index] == entry.port && page.destination[index] == entry.destination
            && zone(row) == entry.zone && kind(row) == entry.kind && share(row) == entry.share
            && entry.listing == (hasFlag(row, READY) ? Relay.Listing.READY : Relay.Listing.DRAINING);
    }

    /**
     * Copies zone, kind, share and address from an entry to the linked row of its host, and frees the
     * entry.
     */
    void update(int row, int entry) {
        Page to = page(row);
        int index = row & PAGE_ROWS - 1;
        Page from = page(entry);
        int entryIndex = entry & PAGE_ROWS - 1;
        if (hasFlag(row, ADDRESS_IN_ARENA)) {
            arena.free(to.address[index]);
        }
        if (hasFlag(row, SHARE_IN_ARENA)) {
            arena.free(to.share[index]);
        }
        to.zoneIndex[index] = from.zoneIndex[entryIndex];
        to.kind[index] = from.kind[entryIndex];
        to.share[index] = from.share[entryIndex];
        to.address[index] = from.address[entryIndex];
        to.port[index] = from.port[entryIndex];
        setFlag(row, ADDRESS_IN_ARENA, hasFlag(entry, ADDRESS_IN_ARENA));
        setFlag(row, SHARE_IN_ARENA, hasFlag(entry, SHARE_IN_ARENA));
        setFlag(entry, ADDRESS_IN_ARENA | SHARE_IN_ARENA, false);
        free(entry);
    }

    /** Makes an entry the linked row of its host, which has none yet. */
    void linkNewHost(int entry) {
        page(entry).id[entry & PAGE_ROWS - 1] = assignId(entry, (int) id(entry));
        byId.add(entry);
        linkToDestination(entry);
    }

    /**
     * Makes an entry the linked row of its host, whose destination has changed. The old row stays linked to
     * the old destination until {@link #freeUnlisted}.
     */
    void replaceMovedHost(int row, int entry) {
        if (namePlace(entry) != NONE) {
            arena.free(namePlace(entry));
        }
        page(entry).id[entry & PAGE_ROWS - 1] = (int) id(row);
        page(entry).name[entry & PAGE_ROWS - 1] = namePlace(row);
        page(row).name[row & PAGE_ROWS - 1] = NONE;
        byId.replace(row, entry);
        linkToDestination(entry);
        setFlag(row, LISTED, false);
    }

    /** Frees an entry, or a linked row that is not in the indexes any more. */
    void free(int row) {
        if (namePlace(row) != NONE) {
            arena.free(namePlace(row));
        }
        if (hasFlag(row, ADDRESS_IN_ARENA)) {
            arena.free(page(row).address[row & PAGE_ROWS - 1]);
        }
        if (hasFlag(row, SHARE_IN_ARENA)) {
            arena.free(page(row).share[row & PAGE_ROWS - 1]);
        }
        page(row).flags[row & PAGE_ROWS - 1] = 0;
        next(row, firstFree);
        firstFree = row;
        rowCount--;
    }

    private int allocate() {
        int row = firstFree;
        if (row != NONE) {
            firstFree = next(row);
        } else {
            row = end++;
            if (row >> PAGE_BITS == pages.length) {
                pages = Arrays.copyOf(pages, 2 * pages.length);
            }
            if ((row & PAGE_ROWS - 1) == 0) {
                pages[row >> PAGE_BITS] = new Page();
            }
        }
        rowCount++;
        return row;
    }

    // ---- Linked rows ------------------------------------------------------------------------------
    /** The linked row of the host with this name; {@link #NONE} if there is none. */
    int rowByName(byte[] name, int length) {
        return rowByName(name, length, crc(name, length));
    }

    private int rowByName(byte[] name, int length, int hash) {
        int row = rowById(hash);
        if (row != NONE && arena.contains(namePlace(row), name, length)) {
            return row;
        }
        Map<String, Integer> idsByName = rehashedIds.get(hash);
        Integer id = idsByName == null ? null
            : idsByName.get(new String(name, 0, length, StandardCharsets.UTF_8));
        return id == null ? NONE : rowById(id);
    }

    /** The linked row of the host with this id; {@link #NONE} if there is none. */
    int rowById(long id) {
        return rowById((int) id);
    }

    private int rowById(int id) {
        int slot = byId.firstSlot(id);
        int row = byId.rowAt(slot);
        while (row >= 0 && page(row).id[row & PAGE_ROWS - 1] != id) {
            slot = byId.nextSlot(slot);
            row = byId.rowAt(slot);
        }
        return row;
    }

    /** The id that a host of this name has, or would be assigned if its CRC-32 is free. */
    long idFor(byte[] name, int length) {
        int hash = crc(name, length);
        Map<String, Integer> idsByName = rehashedIds.get(hash);
        Integer id = idsByName == null ? null
            : idsByName.get(new String(name, 0, length, StandardCharsets.UTF_8));
        return (id == null ? hash : id) & 0xffffffffL;
    }

    /** The first linked row of a destination; the others follow by {@link #next}. {@link #NONE} for none. */
    int firstRowOf(long destination) {
        int slot = byDestination.firstSlot(Long.hashCode(destination));
        int row = byDestination.rowAt(slot);
        while (row >= 0 && destination(row) != destination) {
            slot = byDestination.nextSlot(slot);
            row = byDestination.rowAt(slot);
        }
        return row;
    }

    /** True if a list has ever named this destination. */
    boolean isKnown(long destination) {
        return firstRowOf(destination) != NONE || destinationsWithoutRows.contains(destination);
    }

    /** Records that a list has named this destination, even if none of its hosts can be used. */
    void markKnown(long destination) {
        if (firstRowOf(destination) == NONE) {
            destinationsWithoutRows.add(destination);
        }
    }

    /** Adds a row to the chain of its destination, after the first one. */
    private void linkToDestination(int row) {
        long destination = destination(row);
        int first = firstRowOf(destination);
        if (first == NONE) {
            next(row, NONE);
            byDestination.add(row);
            if (!destinationsWithoutRows.isEmpty()) {
                destinationsWithoutRows.remove(destination);
            }
        } else {
            next(row, next(first));
            next(first, row);
        }
        setFlag(row, LINKED, true);
    }

    /** Frees all linked rows of a destination that are not listed any more, in one pass over its chain. */
    void freeUnlisted(long destination) {
        int first = firstRowOf(destination);
        int firstKept = NONE;
        int lastKept = NONE;
        int firstRemoved = NONE;
        for (int row = first; row != NONE;) {
            int next = next(row);
            if (!hasFlag(row, LISTED)) {
                next(row, firstRemoved);
                firstRemoved = row;
            } else {
                firstKept = firstKept == NONE ? row : firstKept;
                if (lastKept != NONE) {
                    next(lastKept, row);
                }
                lastKept = row;
            }
            row = next;
        }
        if (lastKept == NONE) {
            if (first != NONE) {
                byDestination.remove(first);
                destinationsWithoutRows.add(destination);
            }
        } else {
            next(lastKept, NONE);
            if (firstKept != first) {
                byDestination.replace(first, firstKept);
            }
        }
        while (firstRemoved != NONE) {
            int row = firstRemoved;
            firstRemoved = next(row);
            // A row without a name has passed its name and its id on to another row: its host has moved.
            if (namePlace(row) != NONE) {
                long id = id(row);
                String rehashedName = rehashedIds.isEmpty() ? null : name(row);
                byId.remove(row);
                if (rehashedName != null) {
                    releaseId(id, rehashedName);
                }
            }
            free(row);
        }
    }

    /** Copies what is in use to a new arena once too much of the arena is unused. */
    void compactArena() {
        if (arena.isWasteful()) {
            ByteArena oldArena = arena;
            arena = new ByteArena();
            for (int row = 0; row < end; row++) {
                Page page = page(row);
                int index = row & PAGE_ROWS - 1;
                if (page.flags[index] != 0 && page.name[index] != NONE) {
                    page.name[index] = arena.add(scratch, oldArena.read(page.name[index], scratch));
                }
                if (hasFlag(row, ADDRESS_IN_ARENA)) {
                    page.address[index] = arena.add(scratch, oldArena.read(page.address[index], scratch));
                }
                if (hasFlag(row, SHARE_IN_ARENA)) {
                    page.share[index] = arena.add(scratch, oldArena.read(page.share[index], scratch));
                }
            }
        }
    }

    // ---- Ids ----------------------------------------------------------------------------------
    /** CRC-32 of a name; {@link #crc32} can be continued from there. */
    private int crc(byte[] name, int length) {
        crc32.reset();
        crc32.update(name, 0, length);
        return (int) crc32.getValue();
    }

    /**
     * Assigns the id of a new host: the CRC-32 of its name, which is the same at every relay. If another host
     * has this id, the name is hashed repeatedly until a free id is found. A host that comes back after it
     * has gone gets the same id again, as long as its old id is still held.
     */
    private int assignId(int entry, int hash) {
        Map<String, Integer> idsByName = rehashedIds.get(hash);
        if (idsByName == null && rowById(hash) == NONE && nameOfHeldId.apply(hash & 0xffffffffL) == null) {
            return hash;
        }
        String name = name(entry);
        idsByName = idsByName == null ? new HashMap<>() : idsByName;
        if (idsByName.containsKey(name)) {
            return idsByName.get(name);
        }
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int id = crc(bytes, bytes.length);
        while (!isFree(id, name)) {
            crc32.update(bytes, 0, bytes.length);
            id = (int) crc32.getValue();
        }
        if (id != hash) {
            idsByName.put(name, id);
            rehashedIds.put(hash, idsByName);
        }
        return id;
    }

    private boolean isFree(int id, String name) {
        String holder = nameOfHeldId.apply(id & 0xffffffffL);
        return rowById(id) == NONE && (holder == null || holder.equals(name));
    }

    /** Forgets the id of a name that was hashed repeatedly, unless a row or a host still has it. */
    void releaseId(long id, String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int hash = crc(bytes, bytes.length);
        Map<String, Integer> idsByName = rehashedIds.get(hash);
        if (idsByName != null && rowById(id) == NONE && nameOfHeldId.apply(id) == null
            && idsByName.remove(name, (int) id) && idsByName.isEmpty()) {
            rehashedIds.remove(hash);
        }
    }
}
