package wrenkeel.scale;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * The list as its source has published it: a bounded log of changes and the latest whole lists as encoded.
 * All control machines and agents of a run share one, so that thousands of them fit into a process; how much
 * of it each has been sent is its own affair. Any thread.
 */
final class ChangeLog {
    /** Encoded whole lists kept: nodes that are some changes behind are served from an older one. */
    private static final int WHOLES_MOST = 4;
    private static final byte[] HOSTS = "\"hosts\":[".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] END = "]}".getBytes(StandardCharsets.US_ASCII);

    private final HostCatalog catalog;
    private final byte[][] entries;
    private final long first;
    private final TreeMap<Long, byte[]> wholes = new TreeMap<>();
    private long builtAfter = -1;
    private long builtUpTo = -1;
    private byte[] built;

    /** {@code most}: changes kept. From now on only this log changes the catalog. */
    ChangeLog(HostCatalog catalog, int most) {
        this.catalog = catalog;
        this.entries = new byte[most][];
        this.first = catalog.version();
        wholes.put(first, catalog.wholeList());
    }

    /** Gives one host another standing, and returns the list's version. */
    synchronized long publish(int host, HostCatalog.Health health) {
        long before = catalog.version();
        long version = catalog.changeHealth(host, health);
        entries[slot(version)] = entry(catalog.changesSince(before));
        return version;
    }

    /** The one entry of an answer. */
    private static byte[] entry(byte[] answer) {
        int from = new String(answer, StandardCharsets.US_ASCII)
            .indexOf(new String(HOSTS, StandardCharsets.US_ASCII)) + HOSTS.length;
        return Arrays.copyOfRange(answer, from, answer.length - END.length);
    }

    private int slot(long version) {
        return (int) (version % entries.length);
    }

    synchronized long latestVersion() {
        return catalog.version();
    }

    /** The answer to a watch: what came after one version up to another; null if the log begins later. */
    synchronized byte[] changesBetween(long after, long upTo) {
        if (after < first || after > upTo || after < latestVersion() - entries.length) {
            return null;
        }
        if (after != builtAfter || upTo != builtUpTo) {
            built = build(after, upTo);
            builtAfter = after;
            builtUpTo = upTo;
        }
        return built;
    }

    private byte[] build(long after, long upTo) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        text.writeBytes(("{\"seq\":" + upTo + ",\"whole\":false,").getBytes(StandardCharsets.US_ASCII));
        text.writeBytes(HOSTS);
        for (long version = after + 1; version <= upTo; version++) {
            if (version > after + 1) {
                text.write(',');
            }
            text.writeBytes(entries[slot(version)]);
        }
        text.writeBytes(END);
        return text.toByteArray();
    }

    /**
     * The latest encoded whole list that is no newer than this version; whoever gets it asks for the rest
     * next. Null if all that are kept are newer.
     */
    synchronized byte[] wholeList(long upTo) {
        long latest = latestVersion();
        if (upTo >= latest && !wholes.containsKey(latest)) {
            wholes.put(latest, catalog.wholeList());
            if (wholes.size() > WHOLES_MOST) {
                wholes.pollFirstEntry();
            }
        }
        Map.Entry<Long, byte[]> newest = wholes.floorEntry(upTo);
        return newest == null ? null : newest.getValue();
    }
}
