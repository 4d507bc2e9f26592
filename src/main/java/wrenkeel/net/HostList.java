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
 * The hosts of discovery's list. Every host is a row of a {@link HostTable}. A destination is active while
 * the decision module works with it: only for active destinations are there {@link Host} objects, and only
 * their hosts are reported to the module. A list, or a list of changes, is applied as a whole or not at all.
 * Not thread-safe.
 */
final class HostList {
    /** Size of a row, including its name and its part of the indexes. */
    private static final int ROW_BYTES = 64;
    /** Rows may fill the heap divided by this. */
    private static final int HEAP_DIVISOR = 2;
    /** A row stores its kind in one byte. */
    private static final int MAX_KINDS = 255;
    private static final int READ_BUFFER_BYTES = 8 * 1024;

    /** A host of an active destination. The decision module knows it by its {@code id}. */
    static final class Host {
        final long id;
        final String name;
        InetSocketAddress address;
        int zone;
        int kind;
        long destination;
        boolean ready;
        /** True while the list names this host, ready or draining, as one of this destination. */
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
     * What an update of the list has changed.
     *
     * @param event the changes to hosts of active destinations, for the decision module
     * @param unavailable hosts to which waiting calls must not be sent any more: they are draining or gone,
     *     or they belong to another destination now
     */
    record Change(Relay.ListUpdated event, List<Host> unavailable) { }

    private final List<String> zones;
    private final List<String> kinds;
    private final HostTable table;
    /** The hosts of active destinations by id. Hosts that are gone stay until the module releases them. */
    private final Map<Long, Host> hostsById = new HashMap<>();
    /** The active destinations and their hosts. */
    private final Map<Long, Set<Host>> activeDestinations = new HashMap<>();
    /** The update that is being read; null for none. */
    private PendingUpdate pendingUpdate;
    private long version = -1;
    private int listedCount;
    private int drainingCount;

    /**
     * Creates an empty list whose rows may fill half of the heap. {@code zones} and {@code kinds} are the
     * names in the settings, in the order of their numbers.
     */
    HostList(List<String> zones, List<String> kinds) {
        this(zones, kinds, (int) Math.min(Integer.MAX_VALUE,
            Runtime.getRuntime().maxMemory() / HEAP_DIVISOR / ROW_BYTES));
    }

    /** {@code maxRows} limits the rows for listed hosts and for the entries of an update together. */
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

    /** The version of the current list; -1 before the first. */
    long version() {
        return version;
    }

    /** The number of hosts in the current list, ready or draining. */
    int listedCount() {
        return listedCount;
    }

    /** The number of hosts in the current list that are draining. */
    int drainingCount() {
        return drainingCount;
    }

    /** The number of rows in use: equal to {@link #listedCount} unless an update is being read. */
    int rowCount() {
        return table.rowCount();
    }

    /** The largest number of rows that have been in use at one time. */
    int allocatedRowCount() {
        return table.end();
    }

    /** True if a list has ever named this destination, even if all of its hosts are gone now. */
    boolean isKnown(long destination) {
        return table.isKnown(destination);
    }

    /** The destination of a listed host; null if the list names no host of this name. */
    Long destinationOf(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        int row = table.rowByName(bytes, bytes.length);
        return row == HostTable.NONE ? null : (Long) table.destination(row);
    }

    // ---- Active destinations ------------------------------------------------------------------------
    /** True if the decision module works with this destination. */
    boolean isActive(long destination) {
        return activeDestinations.containsKey(destination);
    }

    /**
     * Makes a destination active: from now on, changes to its hosts are reported. Returns an event with its
     * listed hosts; null if it is active already.
     */
    Relay.ListUpdated activate(long destination) {
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
        return new Relay.ListUpdated(ListKind.CHANGES, endpoints);
    }

    /** Ends the active state of a destination, after the module has released it. */
    void deactivate(long destination) {
        Set<Host> released = activeDestinations.remove(destination);
        if (released != null) {
            for (Host host : released) {
                hostsById.remove(host.id);
                table.releaseId(host.id, host.name);
            }
        }
    }

    /**
     * Called when the module keeps no state of a host any more: removes the host if the list doesn't name
     * it.
     */
    void releaseHost(long id) {
        Host host = hostsById.get(id);
        if (host != null && !host.listed) {
            hostsById.remove(id);
            activeDestinations.get(host.destination).remove(host);
            table.releaseId(id, host.name);
        }
    }

    /** The host with this id, which may be gone; null if it is not a host of an active destination. */
    Host hostById(long id) {
        return hostsById.get(id);
    }

    /** The host with this name, which may be gone; null if it is not a host of an active destination. */
    Host hostByName(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        Host host = hostsById.get(table.idFor(bytes, bytes.length));
        return host != null && host.name.equals(name) ? host : null;
    }

    /**
     * A copy of a destination's hosts, including those that are gone; empty if the destination is not
     * active.
     */
    Collection<Host> hostsOf(long destination) {
        Set<Host> found = activeDestinations.get(destination);
        return found == null ? List.of() : List.copyOf(found);
    }

    /**
     * Marks a host as draining because another process has received a newer list, in which it is draining or
     * gone. An update that is being read may also be older than that list, as its transfer has begun before;
     * the host therefore stays draining until a later update names it as ready.
     *
     * @return the change, for the decision module
     */
    Relay.ListUpdated markDraining(Host host) {
        host.ready = false;
        int row = table.rowById(host.id);
        if (row != HostTable.NONE && table.destination(row) == host.destination) {
            setListed(row, true, false);
            if (pendingUpdate != null) {
                table.setFlag(row, HostTable.DRAINED_MEANWHILE, true);
                pendingUpdate.drainedIds.add(host.id);
            }
        }
        return new Relay.ListUpdated(ListKind.CHANGES, List.of(new Endpoint(host.id, host.zone, host.kind,
            host.destination, Listing.DRAINING, 0)));
    }

    /** The listed rows of a destination in ascending order, which is mostly the order of first listing. */
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

    /** Copies the row of a listed host of an active destination to its object, which is created if needed. */
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

    /** Sets the flags of a row and updates the counters. */
    private void setListed(int row, boolean nowListed, boolean nowReady) {
        boolean wasListed = table.hasFlag(row, HostTable.LISTED);
        listedCount += (nowListed ? 1 : 0) - (wasListed ? 1 : 0);
        drainingCount += (nowListed && !nowReady ? 1 : 0)
            - (wasListed && !table.hasFlag(row, HostTable.READY) ? 1 : 0);
        table.setFlag(row, HostTable.LISTED, nowListed);
        table.setFlag(row, HostTable.READY, nowReady);
    }

    // ---- Lists --------------------------------------------------------------------------------------
    /** Reads and applies a complete list or a list of changes. */
    Change load(InputStream text) throws IOException {
        PendingUpdate update = beginUpdate();
        try {
            byte[] buffer = new byte[READ_BUFFER_BYTES];
            for (int length = text.read(buffer); length >= 0; length = text.read(buffer)) {
                update.feed(buffer, 0, length);
            }
            return update.commit();
        } finally {
            update.abandon();
        }
    }

    /** Begins to read a list or a list of changes. One that is still being read is abandoned. */
    PendingUpdate beginUpdate() {
        if (pendingUpdate != null) {
            pendingUpdate.abandon();
        }
        pendingUpdate = new PendingUpdate();
        return pendingUpdate;
    }

    /**
     * A list or a list of changes that is being read. Its entries are kept in unlinked rows, so that the
     * current list stays unchanged until {@link #commit}.
     */
    final class PendingUpdate {
        private final ListReader reader = new ListReader(zones, kinds, this::addEntry);
        /**
         * The first and the last row of a chain in the order of the text: the entries that change something
         * or belong to an active destination.
         */
        private int firstEntry = HostTable.NONE;
        private int lastEntry = HostTable.NONE;
        /** Some rows have the flag {@link HostTable#SEEN_IN_UPDATE}. */
        private boolean hasSeenMarks;
        /** Hosts for which {@link #markDraining} has been called while this update was being read. */
        private final List<Long> drainedIds = new ArrayList<>();
        /** Destinations that became active while this update was being read. */
        private final Set<Long> activatedMeanwhile = new LinkedHashSet<>();
        /** The changes to report to the decision module. */
        private final List<Endpoint> endpoints = new ArrayList<>();
        private final Set<Host> unavailable = new LinkedHashSet<>();
        /** Rows whose host has left the list or changed its destination. */
        private int[] unlistedRows = new int[16];
        private int unlistedCount;

        private PendingUpdate() { }

        /**
         * Reads the next piece of the text, which may be cut anywhere. If it is malformed, abandons the
         * update.
         */
        void feed(byte[] bytes, int from, int length) throws Wire.MalformedException {
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

        /** Called at the end of the text: applies the update, or abandons it if it is malformed. */
        Change commit() throws Wire.MalformedException {
            try {
                requireUnderWay();
                reader.end();
                return apply();
            } finally {
                abandon();
            }
        }

        /** Discards the update. Does nothing if it has been applied or abandoned already. */
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

        private void requireUnderWay() throws Wire.MalformedException {
            if (pendingUpdate != this) {
                throw new Wire.MalformedException("reading of the list was abandoned");
            }
        }

        /** Keeps an entry until the update is applied, unless it changes nothing. */
        private void addEntry(ListReader.Entry entry) throws Wire.MalformedException {
            int row = table.rowByName(entry.name, entry.nameLength);
            boolean known = row != HostTable.NONE;
            if (known && reader.mayBeWhole()) {
                table.setFlag(row, HostTable.SEEN_IN_UPDATE, true);
                hasSeenMarks = true;
            }
            // Entries of active destinations are reported even if they change nothing. If an earlier entry
            // of this update has changed the host, this one must override it.
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

        /** Applies the entries and collects what to report. */
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
                    if (table.hasFlag(unlistedRows[i], HostTable.LINKED)
                        && !table.hasFlag(unlistedRows[i], HostTable.LISTED)) {
                        table.freeUnlisted(table.destination(unlistedRows[i]));
                    }
                }
            }
            version = reader.version();
            return new Change(
                new Relay.ListUpdated(reader.isWhole() ? ListKind.WHOLE : ListKind.CHANGES, endpoints),
                List.copyOf(unavailable));
        }

        /** Applies one entry, whose row becomes the host's row or is freed. */
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

        /** Reports a host that the list names, if its destination is active. */
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

        /** Marks the host of a row as not listed any more. */
        private void removeRow(int row, boolean report) {
            setListed(row, false, false);
            addUnlistedRow(row);
            Host host = hostsById.get(table.id(row));
            if (host != null && host.listed) {
                reportGone(host, report);
            }
        }

        /** Marks a host as gone. {@code report}: whether the change goes to the decision module. */
        private void reportGone(Host host, boolean report) {
            host.markGone();
            unavailable.add(host);
            if (report) {
                endpoints.add(new Endpoint(host.id, host.zone, host.kind, host.destination,
                    Listing.GONE, 0));
            }
        }

        private void addUnlistedRow(int row) {
            unlistedRows = unlistedCount == unlistedRows.length
                ? Arrays.copyOf(unlistedRows, 2 * unlistedCount) : unlistedRows;
            unlistedRows[unlistedCount++] = row;
        }

        /**
         * Removes the hosts that a whole list doesn't name. They aren't reported: the decision module drops
         * the endpoints that a whole list leaves out.
         */
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

        /**
         * Reports the hosts of a destination that became active while the update was being read, as far as
         * they aren't reported yet: entries without changes that came before that were not kept.
         */
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
