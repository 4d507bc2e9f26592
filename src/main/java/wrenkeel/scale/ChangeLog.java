package wrenkeel.scale;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * The host list as its source has published it: a bounded log of encoded changes and the latest encoded whole
 * lists. All control machines and agents of a run share one log, so that thousands of them fit into a
 * process; each keeps track of the version that it has received. Thread-safe.
 */
final class ChangeLog {
    /**
     * Number of encoded whole lists kept; nodes that are some changes behind are served from an older one.
     */
    private static final int MAX_WHOLE_LISTS = 4;
    private static final byte[] HOSTS_FIELD = "\"hosts\":[".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] LIST_END = "]}".getBytes(StandardCharsets.US_ASCII);

    private final HostCatalog catalog;
    private final byte[][] encodedChanges;
    private final long firstVersion;
    private final TreeMap<Long, byte[]> wholeLists = new TreeMap<>();
    private long cachedAfter = -1;
    private long cachedUpTo = -1;
    private byte[] cachedAnswer;

    /** {@code capacity} is the number of changes kept. From now on, only this log may change the catalog. */
    ChangeLog(HostCatalog catalog, int capacity) {
        this.catalog = catalog;
        this.encodedChanges = new byte[capacity][];
        this.firstVersion = catalog.version();
        wholeLists.put(firstVersion, catalog.wholeList());
    }

    /** Changes the health of one host, and returns the list's new version. */
    synchronized long publish(int host, HostCatalog.Health health) {
        long versionBefore = catalog.version();
        long version = catalog.changeHealth(host, health);
        encodedChanges[slot(version)] = extractEntry(catalog.changesSince(versionBefore));
        return version;
    }

    /** Returns the encoded entry of an answer that holds exactly one. */
    private static byte[] extractEntry(byte[] answer) {
        int start = new String(answer, StandardCharsets.US_ASCII)
            .indexOf(new String(HOSTS_FIELD, StandardCharsets.US_ASCII)) + HOSTS_FIELD.length;
        return Arrays.copyOfRange(answer, start, answer.length - LIST_END.length);
    }

    private int slot(long version) {
        return (int) (version % encodedChanges.length);
    }

    /** Returns the latest published version. */
    synchronized long latestVersion() {
        return catalog.version();
    }

    /**
     * Returns the encoded answer to a watch: the changes after version {@code after} up to and including
     * {@code upTo}; null if the log no longer holds all of them or does not know the version. Callers must
     * not modify the array.
     */
    synchronized byte[] changesBetween(long after, long upTo) {
        if (after < firstVersion || after > upTo || after < latestVersion() - encodedChanges.length) {
            return null;
        }
        if (after != cachedAfter || upTo != cachedUpTo) {
            cachedAnswer = buildAnswer(after, upTo);
            cachedAfter = after;
            cachedUpTo = upTo;
        }
        return cachedAnswer;
    }

    private byte[] buildAnswer(long after, long upTo) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        text.writeBytes(("{\"seq\":" + upTo + ",\"whole\":false,").getBytes(StandardCharsets.US_ASCII));
        text.writeBytes(HOSTS_FIELD);
        for (long version = after + 1; version <= upTo; version++) {
            if (version > after + 1) {
                text.write(',');
            }
            text.writeBytes(encodedChanges[slot(version)]);
        }
        text.writeBytes(LIST_END);
        return text.toByteArray();
    }

    /**
     * Returns the latest encoded whole list that is no newer than {@code upTo}; its receiver requests the
     * remaining changes with its next call. Null if all whole lists that are kept are newer. Callers must not
     * modify the array.
     */
    synchronized byte[] wholeList(long upTo) {
        long latest = latestVersion();
        if (upTo >= latest && !wholeLists.containsKey(latest)) {
            wholeLists.put(latest, catalog.wholeList());
            if (wholeLists.size() > MAX_WHOLE_LISTS) {
                wholeLists.pollFirstEntry();
            }
        }
        Map.Entry<Long, byte[]> newestWholeList = wholeLists.floorEntry(upTo);
        return newestWholeList == null ? null : newestWholeList.getValue();
    }
}
