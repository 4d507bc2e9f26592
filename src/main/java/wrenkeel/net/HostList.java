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
    private static final int ROW_BYTES = 64, HEAP_PART = 2;
    private static final int KINDS_MOST = 255, PIECE = 8 * 1024;

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

        Host(long number, String name) {
            this.id = number;
            this.name = name;
        }

        private void leave() {
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
    private final Map<Long, Host> hosts = new HashMap<>();
    /** The destinations that the module has been told of, with their hosts. */
    private final Map<Long, Set<Host>> told = new HashMap<>();
    private PendingUpdate reading;
    private long version = -1;
    private int listed;
    private int draining;

    HostList(List<String> zones, List<String> kinds) {
        this(zones, kinds, (int) Math.min(Integer.MAX_VALUE,
            Runtime.getRuntime().maxMemory() / HEAP_PART / ROW_BYTES));
    }

    /** {@code most}: rows, for hosts held and for what a list that is being read changes. */
    HostList(List<String> zones, List<String> kinds, int most) {
        if (kinds.size() > KINDS_MOST) {
            throw new IllegalArgumentException("more than " + KINDS_MOST + " kinds");
        }
        this.zones = zones;
        this.kinds = kinds;
        this.table = new HostTable(most, number -> {
            Host host = hosts.get(number);
            return host == null ? null : host.name;
        });
    }

    /** The version of the list held; -1 before the first. */
    long version() {
        return version;
    }

    /** How many hosts the list names now, ready or draining. */
    int listedCount() {
        return listed;
    }

    /** How many of these are not ready. */
    int drainingCount() {
        return draining;
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
        return told.containsKey(destination);
    }

    /** The module is to know this destination from now on: its listed hosts; null if it does already. */
    Relay.Listed activate(long destination) {
        if (told.containsKey(destination)) {
            return null;
        }
        told.put(destination, new LinkedHashSet<>());
        if (reading != null) {
            reading.toldSince.add(destination);
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (int row : rowsOf(destination)) {
            show(row);
            endpoints.add(endpoint(row));
        }
        return new Relay.Listed(ListKind.CHANGES, endpoints);
    }

    /** The module has forgotten the destination. */
    void deactivate(long destination) {
        Set<Host> released = told.remove(destination);
        if (released != null) {
            for (Host host : released) {
                hosts.remove(host.id);
                table.releaseId(host.id, host.name);
            }
        }
    }

    /** The module holds nothing of this host any more; it goes if the list does not name it. */
    void releaseHost(long number) {
        Host host = hosts.get(number);
        if (host != null && !host.listed) {
            hosts.remove(number);
            told.get(host.destination).remove(host);
            table.releaseId(number, host.name);
        }
    }

    /** The host of this number, perhaps gone; null if the module has not been told of it. */
    Host hostById(long number) {
        return hosts.get(number);
    }

    /** The host of this name, perhaps gone; null if the module has not been told of it. */
    Host hostByName(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        Host host = hosts.get(table.idFor(bytes, bytes.length));
        return host != null && host.name.equals(name) ? host : null;
    }

    /** A copy of a destination's hosts, gone ones included; none if the module has not been told of it. */
    Collection<Host> hostsOf(long destination) {
        Set<Host> held = told.get(destination);
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
            stands(row, true, false);
            if (reading != null) {
                table.setFlag(row, HostTable.DRAINED_MEANWHILE, true);
                reading.drained.add(host.id);
            }
        }
        return new Relay.Listed(ListKind.CHANGES, List.of(new Endpoint(host.id, host.zone, host.kind,
            host.destination, Listing.DRAINING, 0)));
    }

    /** In the order in which they were first listed, for the most part. */
    private int[] rowsOf(long destination) {
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
    private Host show(int row) {
        long destination = table.destination(row);
        Host host = hosts.get(table.id(row));
        if (host == null) {
            host = new Host(table.id(row), table.name(row));
            hosts.put(host.id, host);
        } else if (host.destination != destination) {
            told.get(host.destination).remove(host);
        }
        told.get(destination).add(host);
        host.destination = destination;
        host.address = table.address(row);
        host.zone = table.zone(row);
        host.kind = table.kind(row);
        host.ready = table.hasFlag(row, HostTable.READY);
        host.listed = true;
        return host;
    }

    private void stands(int row, boolean nowListed, boolean nowReady) {
        boolean was = table.hasFlag(row, HostTable.LISTED);
        listed += (nowListed ? 1 : 0) - (was ? 1 : 0);
        draining += (nowListed && !nowReady ? 1 : 0) - (was && !table.hasFlag(row, HostTable.READY) ? 1 : 0);
        table.setFlag(row, HostTable.LISTED, nowListed);
        table.setFlag(row, HostTable.READY, nowReady);
    }

    // ---- Lists --------------------------------------------------------------------------------------
    /** Takes in a list or its changes. */
    Change load(InputStream text) throws IOException {
        PendingUpdate whole = beginUpdate();
        try {
            byte[] piece = new byte[PIECE];
            for (int length = text.read(piece); length >= 0; length = text.read(piece)) {
                whole.feed(piece, 0, length);
            }
            return whole.commit();
        } finally {
            whole.abandon();
        }
    }

    /** Begins to read a list or its changes; one that is still being read is abandoned. */
    PendingUpdate beginUpdate() {
        if (reading != null) {
            reading.abandon();
        }
        reading = new PendingUpdate();
        return reading;
    }

    /** One list that is being read. What it changes are rows that are not linked, until its end has come. */
    final class PendingUpdate {
        private final ListReader text = new ListReader(zones, kinds, this::read);
        /** The entries that change something, or concern the module, in their order. */
        private int first = HostTable.NONE;
        private int last = HostTable.NONE;
        /** Some rows are marked as seen. */
        private boolean marked;
        private final List<Long> drained = new ArrayList<>();
        private final Set<Long> toldSince = new LinkedHashSet<>();
        private final List<Endpoint> endpoints = new ArrayList<>();
        private final Set<Host> unready = new LinkedHashSet<>();
        /** Rows that have left the list or their destination. */
        private int[] left = new int[16];
        private int leftCount;

        private PendingUpdate() { }

        /** Reads a piece of the text, cut anywhere. After a fault nothing of the list stays. */
        void feed(byte[] bytes, int from, int length) throws Wire.Malformed {
            boolean good = false;
            try {
                underWay();
                text.feed(bytes, from, length);
                good = true;
            } finally {
                if (!good) {
                    abandon();
                }
            }
        }

        /** The text is complete: from now on the list holds, or, after a fault, nothing of it. */
        Change commit() throws Wire.Malformed {
            try {
                underWay();
                text.end();
                return apply();
            } finally {
                abandon();
            }
        }

        /** Nothing of the list stays. Does nothing once its end has come. */
        void abandon() {
            if (reading != this) {
                return;
            }
            reading = null;
            for (int entry = first; entry != HostTable.NONE;) {
                int next = table.next(entry);
                int row = table.rowOfEntry(entry);
                if (row != HostTable.NONE) {
                    table.setFlag(row, HostTable.HAS_ENTRY, false);
                }
                table.free(entry);
                entry = next;
            }
            for (int row = 0; marked && row < table.end(); row++) {
                table.setFlag(row, HostTable.SEEN_IN_UPDATE, false);
            }
            for (long number : drained) {
                int row = table.rowById(number);
                if (row != HostTable.NONE) {
                    table.setFlag(row, HostTable.DRAINED_MEANWHILE, false);
                }
            }
            table.compactArena();
            text.close();
        }

        private void underWay() throws Wire.Malformed {
            if (reading != this) {
                throw new Wire.Malformed("the list has been abandoned");
            }
        }

        private void read(ListReader.Entry entry) throws Wire.Malformed {
            int row = table.rowByName(entry.name, entry.nameLength);
            boolean known = row != HostTable.NONE;
            if (known && text.mayBeWhole()) {
                table.setFlag(row, HostTable.SEEN_IN_UPDATE, true);
                marked = true;
            }
            // The module hears of what is named again too; and a later entry counts, not an earlier one.
            if (known && table.matches(row, entry) && !table.hasFlag(row, HostTable.HAS_ENTRY)
                && !told.containsKey(entry.destination)) {
                return;
            }
            int added = table.addEntry(entry, row);
            if (known) {
                table.setFlag(row, HostTable.HAS_ENTRY, true);
            }
            if (last == HostTable.NONE) {
                first = added;
            } else {
                table.next(last, added);
            }
            last = added;
        }

        private Change apply() {
            while (first != HostTable.NONE) {
                int entry = first;
                first = table.next(entry);
                apply(entry);
            }
            if (text.isWhole()) {
                dropUnseen();
                toldSince.forEach(this::addMissing);
            } else {
                for (int i = 0; i < leftCount; i++) {
                    if (table.hasFlag(left[i], HostTable.LINKED) && !table.hasFlag(left[i], HostTable.LISTED)) {
                        table.freeUnlisted(table.destination(left[i]));
                    }
                }
            }
            version = text.version();
            return new Change(new Relay.Listed(text.isWhole() ? ListKind.WHOLE : ListKind.CHANGES, endpoints),
                List.copyOf(unready));
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
                    leave(row, true);
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
                stands(row, false, false);
                table.replaceMovedHost(row, entry);
                left(row);
                row = entry;
            }
            table.setFlag(row, HostTable.SEEN_IN_UPDATE, text.isWhole());
            stands(row, true, ready);
            listed(row);
        }

        /** Tells of a host that the list names. */
        private void listed(int row) {
            Host host = hosts.get(table.id(row));
            boolean moved = host != null && host.listed && host.destination != table.destination(row);
            if (told.containsKey(table.destination(row))) {
                host = show(row);
                endpoints.add(endpoint(row));
                if (moved || !host.ready) {
                    unready.add(host);
                }
            } else if (moved) {
                gone(host, true);
            }
        }

        private void leave(int row, boolean tell) {
            stands(row, false, false);
            left(row);
            Host host = hosts.get(table.id(row));
            if (host != null && host.listed) {
                gone(host, tell);
            }
        }

        private void gone(Host host, boolean tell) {
            host.leave();
            unready.add(host);
            if (tell) {
                endpoints.add(new Endpoint(host.id, host.zone, host.kind, host.destination,
                    Listing.GONE, 0));
            }
        }

        private void left(int row) {
            left = leftCount == left.length ? Arrays.copyOf(left, 2 * leftCount) : left;
            left[leftCount++] = row;
        }

        /** A whole list leaves out what is gone; the module sees that by itself. */
        private void dropUnseen() {
            for (int row = 0; row < table.end(); row++) {
                if (table.hasFlag(row, HostTable.LISTED) && !table.hasFlag(row, HostTable.SEEN_IN_UPDATE)) {
                    leave(row, false);
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
            marked = false;
        }

        /** Hosts whose entries came before the module was told of their destination, and said nothing new. */
        private void addMissing(long destination) {
            Set<Long> there = endpoints.stream().map(Endpoint::id).collect(Collectors.toSet());
            if (told.containsKey(destination)) {
                for (int row : rowsOf(destination)) {
                    if (!there.contains(table.id(row))) {
                        endpoints.add(endpoint(row));
                    }
                }
            }
        }
    }
}
