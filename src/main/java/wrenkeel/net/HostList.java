package wrenkeel.net;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import wrenkeel.Relay;
import wrenkeel.Relay.Endpoint;
import wrenkeel.Relay.ListKind;
import wrenkeel.Relay.Listing;
import wrenkeel.Wire;

/**
 * The hosts that discovery's list names. All of them are rows of a table; those of the destinations that the
 * module has been told of are objects besides, and the module hears of these alone. A list is taken in whole
 * or not at all. One thread.
 */
final class HostList {
    /** Bytes of a row, with its name and its part of the indexes; part of the heap that rows may fill. */
    private static final int ROW_BYTES = 64, HEAP_DIVISOR = 2;
    private static final int MAX_KINDS = 255, READ_BUFFER_BYTES = 8 * 1024;

    /** A host of a destination that the module has been told of; {@code id} is what it knows it by. */
    static final class Host {
        final long id;
        final String name;
        InetSocketAddress address;
        int zone;
        int kind;
        long destination;
        boolean ready;
        /** Named by the list as it stands, ready or draining, and of this destination. */
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

    /**
     * What a list has changed. {@code event}: what the module is to be told; {@code unavailable}: hosts to which
     * no call may go out any more that waits: not ready, gone, or of another destination now.
     */
    record Change(Relay.Listed event, List<Host> unavailable) { }

    private final List<String> zones;
    private final List<String> kinds;
    private final HostTable table;
    /** By number; some are gone, and kept until the module holds nothing of them. */
    private final Map<Long, Host> hostsById = new HashMap<>();
    /** The destinations that the module has been told of, with their hosts. */
    private final Map<Long, Set<Host>> activeDestinations = new HashMap<>();
    private PendingUpdate pendingUpdate;
    private long version = -1;
    private int listedCount;
    private int drainingCount;

    HostList(List<String> zones, List<String> kinds) {
        this(zones, kinds, (int) Math.min(Integer.MAX_VALUE,
            Runtime.getRuntime().maxMemory() / HEAP_DIVISOR / ROW_BYTES));
    }

    /** {@code most}: rows, for hosts held and for what a list that is being read changes. */
    HostList(List<String> zones, List<String> kinds, int maxRows) {
        if (kinds.size() > MAX_KINDS) {
            throw new IllegalArgumentException("more than " + MAX_KINDS + " kinds");
        }
        this.zones = zones;
        this.kinds = kinds;
        this.table = new HostTable(maxRows, id -> {
            Host host = hostsById.get(id);
            return host == null ? null : host.name;
        });
    }

    /** The version of the list held; -1 before the first. */
    long version() {
        return version;
    }

    /** How many hosts the list names now, ready or draining. */
    int listedCount() {
        return listedCount;
    }

    /** How many of these are not ready. */
    int drainingCount() {
        return drainingCount;
    }

    /** Rows in use: as many as are listed, unless a list is being read. */
    int rowCount() {
        return table.rowCount();
    }

    /** Rows that have ever been in use at one time. */
    int allocatedRowCount() {
        return table.end();
    }

    /** True for a destination that a list has named; it stays one while all of its hosts are gone. */
    boolean isKnown(long destination) {
        return table.isKnown(destination);
    }

    /** The destination of a listed host; null if the list names none of this name. */
    Long destinationOf(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int row = table.rowByName(bytes, bytes.length);
        return row == HostTable.NONE ? null : (Long) table.destination(row);
    }

    // ---- What the module has been told of -----------------------------------------------------------
    boolean isActive(long destination) {
        return activeDestinations.containsKey(destination);
    }

    /** The module is to know this destination from now on: its listed hosts; null if it does already. */
    Relay.Listed activate(long destination) {
        if (activeDestinations.containsKey(destination)) {
            return null;
        }
        activeDestinations.put(destination, new LinkedHashSet<>());
        if (pendingUpdate != null) {
            pendingUpdate.activatedMeanwhile.add(destination);
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (int row : listedRowsOf(destination)) {
            syncHost(row);
            endpoints.add(endpoint(row));
        }
        return new Relay.Listed(ListKind.CHANGES, endpoints);
    }

    /** The module has forgotten the destination. */
    void deactivate(long destination) {
        Set<Host> released = activeDestinations.remove(destination);
        if (released != null) {
            for (Host host : released) {
                hostsById.remove(host.id);
                table.releaseId(host.id, host.name);
            }
        }
    }

    /** The module holds nothing of this host any more; it goes if the list does not name it. */
    void releaseHost(long id) {
        Host host = hostsById.get(id);
        if (host != null && !host.listed) {
            hostsById.remove(id);
            activeDestinations.get(host.destination).remove(host);
            table.releaseId(id, host.name);
        }
    }

    /** The host of this number, perhaps gone; null if the module has not been told of it. */
    Host hostById(long id) {
        return hostsById.get(id);
    }

    /** The host of this name, perhaps gone; null if the module has not been told of it. */
    Host hostByName(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        Host host = hostsById.get(table.idFor(bytes, bytes.length));
        return host != null && host.name.equals(name) ? host : null;
    }

    /** A copy of a destination's hosts, gone ones included; none if the module has not been told of it. */
    Collection<Host> hostsOf(long destination) {
        Set<Host> held = activeDestinations.get(destination);
        return held == null ? List.of() : List.copyOf(held);
    }

    /**
     * A host that another process was told is draining or gone; this one's list is older. A list that is
     * being read may be older too, for its text began before: the host drains until a later one names it.
     */
    Relay.Listed markDraining(Host host) {
        host.ready = false;
        int row = table.rowById(host.id);
        if (row != HostTable.NONE && table.destination(row) == host.destination) {
            setListed(row, true, false);
            if (pendingUpdate != null) {
                table.setFlag(row, HostTable.DRAINED_MEANWHILE, true);
                pendingUpdate.drainedIds.add(host.id);
            }
        }
        return new Relay.Listed(ListKind.CHANGES, List.of(new Endpoint(host.id, host.zone, host.kind,
            host.destination, Listing.DRAINING, 0)));
    }

    /** In the order in which they were first listed, for the most part. */
    private int[] listedRowsOf(long destination) {
        int[] rows = new int[4];
        int count = 0;
        for (int row = table.firstRowOf(destination); row != HostTable.NONE; row = table.next(row)) {
            if (table.hasFlag(row, HostTable.LISTED)) {
                rows = count == rows.length ? Arrays.copyOf(rows, 2 * count) : rows;
                rows[count++] = row;
            }
        }
        Arrays.sort(rows, 0, count);
        return Arrays.copyOf(rows, count);
    }

    private Endpoint endpoint(int row) {
        return new Endpoint(table.id(row), table.zone(row), table.kind(row), table.destination(row),
            table.hasFlag(row, HostTable.READY) ? Listing.READY : Listing.DRAINING, table.share(row));
    }

    /** Brings the object of a listed host of a told destination up to its row, and makes it if need be. */
    private Host syncHost(int row) {
        long destination = table.destination(row);
        Host host = hostsById.get(table.id(row));
        if (host == null) {
            host = new Host(table.id(row), table.name(row));
            hostsById.put(host.id, host);
        } else if (host.destination != destination) {
            activeDestinations.get(host.destination).remove(host);
        }
        activeDestinations.get(destination).add(host);
        host.destination = destination;
        host.address = table.address(row);
        host.zone = table.zone(row);
        host.kind = table.kind(row);
        host.ready = table.hasFlag(row, HostTable.READY);
        host.listed = true;
        return host;
    }

    private void setListed(int row, boolean nowListed, boolean nowReady) {
        boolean wasListed = table.hasFlag(row, HostTable.LISTED);
        listedCount += (nowListed ? 1 : 0) - (wasListed ? 1 : 0);
        drainingCount += (nowListed && !nowReady ? 1 : 0) - (wasListed && !table.hasFlag(row, HostTable.READY) ? 1 : 0);
        table.setFlag(row, HostTable.LISTED, nowListed);
        table.setFlag(row, HostTable.READY, nowReady);
    }

    // ---- Lists --------------------------------------------------------------------------------------
    /** Takes in a list or its changes. */
    Change load(InputStream text) throws IOException {
        PendingUpdate update = beginUpdate();
        try {
            byte[] piece = new byte[READ_BUFFER_BYTES];
            for (int length = text.read(piece); length >= 0; length = text.read(piece)) {
                update.feed(piece, 0, length);
            }
            return update.commit();
        } finally {
            update.abandon();
        }
    }

    /** Begins to read a list or its changes; one that is still being read is abandoned. */
    PendingUpdate beginUpdate() {
        if (pendingUpdate != null) {
            pendingUpdate.abandon();
        }
        pendingUpdate = new PendingUpdate();
        return pendingUpdate;
    }

    /** One list that is being read. What it changes are rows that are not linked, until its end has come. */
    final class PendingUpdate {
        private final ListReader reader = new ListReader(zones, kinds, this::addEntry);
        /** The entries that change something, or concern the module, in their order. */
        private int firstEntry = HostTable.NONE;
        private int lastEntry = HostTable.NONE;
        /** Some rows are marked as seen. */
        private boolean hasSeenMarks;
        private final List<Long> drainedIds = new ArrayList<>();
        private final Set<Long> activatedMeanwhile = new LinkedHashSet<>();
        private final List<Endpoint> endpoints = new ArrayList<>();
        private final Set<Host> unavailable = new LinkedHashSet<>();
        /** Rows that have left the list or their destination. */
        private int[] unlistedRows = new int[16];
        private int unlistedCount;

        private PendingUpdate() { }

        /** Reads a piece of the text, cut anywhere. After a fault nothing of the list stays. */
        void feed(byte[] bytes, int from, int length) throws Wire.Malformed {
            boolean succeeded = false;
            try {
                requireUnderWay();
                reader.feed(bytes, from, length);
                succeeded = true;
            } finally {
                if (!succeeded) {
                    abandon();
                }
            }
        }

        /** The text is complete: from now on the list holds, or, after a fault, nothing of it. */
        Change commit() throws Wire.Malformed {
            try {
                requireUnderWay();
                reader.end();
                return apply();
            } finally {
                abandon();
            }
        }

        /** Nothing of the list stays. Does nothing once its end has come. */
        void abandon() {
            if (pendingUpdate != this) {
                return;
            }
            pendingUpdate = null;
            for (int entry = firstEntry; entry != HostTable.NONE;) {
                int next = table.next(entry);
                int row = table.rowOfEntry(entry);
                if (row != HostTable.NONE) {
                    table.setFlag(row, HostTable.HAS_ENTRY, false);
                }
                table.free(entry);
                entry = next;
            }
            for (int row = 0; hasSeenMarks && row < table.end(); row++) {
                table.setFlag(row, HostTable.SEEN_IN_UPDATE, false);
            }
            for (long id : drainedIds) {
                int row = table.rowById(id);
                if (row != HostTable.NONE) {
                    table.setFlag(row, HostTable.DRAINED_MEANWHILE, false);
                }
            }
            table.compactArena();
            reader.close();
        }

        private void requireUnderWay() throws Wire.Malformed {
            if (pendingUpdate != this) {
                throw new Wire.Malformed("the list has been abandoned");
            }
        }

        private void addEntry(ListReader.Entry entry) throws Wire.Malformed {
            int row = table.rowByName(entry.name, entry.nameLength);
            boolean known = row != HostTable.NONE;
            if (known && reader.mayBeWhole()) {
                table.setFlag(row, HostTable.SEEN_IN_UPDATE, true);
                hasSeenMarks = true;
            }
            // The module hears of what is named again too; and a later entry counts, not an earlier one.
            if (known && table.matches(row, entry) && !table.hasFlag(row, HostTable.HAS_ENTRY)
                && !activeDestinations.containsKey(entry.destination)) {
                return;
            }
            int added = table.addEntry(entry, row);
            if (known) {
                table.setFlag(row, HostTable.HAS_ENTRY, true);
            }
            if (lastEntry == HostTable.NONE) {
                firstEntry = added;
            } else {
                table.next(lastEntry, added);
            }
            lastEntry = added;
        }

        private Change apply() {
            while (firstEntry != HostTable.NONE) {
                int entry = firstEntry;
                firstEntry = table.next(entry);
                apply(entry);
            }
            if (reader.isWhole()) {
                removeUnseen();
                activatedMeanwhile.forEach(this::addUnreported);
            } else {
                for (int i = 0; i < unlistedCount; i++) {
                    if (table.hasFlag(unlistedRows[i], HostTable.LINKED) && !table.hasFlag(unlistedRows[i], HostTable.LISTED)) {
                        table.freeUnlisted(table.destination(unlistedRows[i]));
                    }
                }
            }
            version = reader.version();
            return new Change(new Relay.Listed(reader.isWhole() ? ListKind.WHOLE : ListKind.CHANGES, endpoints),
                List.copyOf(unavailable));
        }

        private void apply(int entry) {
            int row = table.rowOfEntry(entry);
            boolean known = row != HostTable.NONE;
            if (known) {
                table.setFlag(row, HostTable.HAS_ENTRY, false);
            }
            if (table.hasFlag(entry, HostTable.GONE)) {
                if (table.hasFlag(entry, HostTable.UNUSABLE_ADDRESS)) {
                    table.markKnown(table.destination(entry));
                }
                table.free(entry);
                if (known && table.hasFlag(row, HostTable.LISTED)) {
                    removeRow(row, true);
                }
                return;
            }
            boolean ready = table.hasFlag(entry, HostTable.READY)
                && !(known && table.hasFlag(row, HostTable.DRAINED_MEANWHILE));
            if (!known) {
                table.linkNewHost(entry);
                row = entry;
            } else if (table.destination(row) == table.destination(entry)) {
                table.update(row, entry);
            } else {
                setListed(row, false, false);
                table.replaceMovedHost(row, entry);
                addUnlistedRow(row);
                row = entry;
            }
            table.setFlag(row, HostTable.SEEN_IN_UPDATE, reader.isWhole());
            setListed(row, true, ready);
            reportListed(row);
        }

        /** Tells of a host that the list names. */
        private void reportListed(int row) {
            Host host = hostsById.get(table.id(row));
            boolean moved = host != null && host.listed && host.destination != table.destination(row);
            if (activeDestinations.containsKey(table.destination(row))) {
                host = syncHost(row);
                endpoints.add(endpoint(row));
                if (moved || !host.ready) {
                    unavailable.add(host);
                }
            } else if (moved) {
                reportGone(host, true);
            }
        }

        private void removeRow(int row, boolean report) {
            setListed(row, false, false);
            addUnlistedRow(row);
            Host host = hostsById.get(table.id(row));
            if (host != null && host.listed) {
                reportGone(host, report);
            }
        }

        private void reportGone(Host host, boolean report) {
            host.markGone();
            unavailable.add(host);
            if (report) {
                endpoints.add(new Endpoint(host.id, host.zone, host.kind, host.destination,
                    Listing.GONE, 0));
            }
        }

        private void addUnlistedRow(int row) {
            unlistedRows = unlistedCount == unlistedRows.length ? Arrays.copyOf(unlistedRows, 2 * unlistedCount) : unlistedRows;
            unlistedRows[unlistedCount++] = row;
        }

        /** A whole list leaves out what is gone; the module sees that by itself. */
        private void removeUnseen() {
            for (int row = 0; row < table.end(); row++) {
                if (table.hasFlag(row, HostTable.LISTED) && !table.hasFlag(row, HostTable.SEEN_IN_UPDATE)) {
                    removeRow(row, false);
                }
            }
            for (int row = 0; row < table.end(); row++) {
                if (table.hasFlag(row, HostTable.LINKED)) {
                    table.setFlag(row, HostTable.SEEN_IN_UPDATE, false);
                    if (!table.hasFlag(row, HostTable.LISTED)) {
                        table.freeUnlisted(table.destination(row));
                    }
                }
            }
            hasSeenMarks = false;
        }

        /** Hosts whose entries came before the module was told of their destination, and said nothing new. */
        private void addUnreported(long destination) {
            Set<Long> reportedIds = endpoints.stream().map(Endpoint::id).collect(Collectors.toSet());
            if (activeDestinations.containsKey(destination)) {
                for (int row : listedRowsOf(destination)) {
                    if (!reportedIds.contains(table.id(row))) {
                        endpoints.add(endpoint(row));
                    }
                }
            }
        }
    }
}
