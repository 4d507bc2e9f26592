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

    /** {@code most}: changes kept. From now on only this log changes the catalog. */
    ChangeLog(HostCatalog catalog, int capacity) {
        this.catalog = catalog;
        this.encodedChanges = new byte[capacity][];
        this.firstVersion = catalog.version();
        wholeLists.put(firstVersion, catalog.wholeList());
    }

    /** Gives one host another standing, and returns the list's version. */
    synchronized long publish(int host, HostCatalog.Health health) {
        long versionBefore = catalog.version();
        long version = catalog.changeHealth(host, health);
        encodedChanges[slot(version)] = extractEntry(catalog.changesSince(versionBefore));
        return version;
    }

    /** The one entry of an answer. */
    private static byte[] extractEntry(byte[] answer) {
        int start = new String(answer, StandardCharsets.US_ASCII)
            .indexOf(new String(HOSTS_FIELD, StandardCharsets.US_ASCII)) + HOSTS_FIELD.length;
        return Arrays.copyOfRange(answer, start, answer.length - LIST_END.length);
    }

    private int slot(long version) {
        return (int) (version % encodedChanges.length);
    }

    synchronized long latestVersion() {
        return catalog.version();
    }

    /** The answer to a watch: what came after one version up to another; null if the log begins later. */
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
     * The latest encoded whole list that is no newer than this version; whoever gets it asks for the rest
     * next. Null if all that are kept are newer.
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
