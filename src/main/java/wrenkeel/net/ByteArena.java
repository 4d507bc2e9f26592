package wrenkeel.net;

import java.util.Arrays;

/**
 * A store of byte strings, which are appended to large pages. The space of freed strings is not reused; when
 * too much of it has gathered ({@link #isWasteful}), the owner copies the strings in use to a new arena. Not
 * thread-safe.
 */
final class ByteArena {
    /** Length of the longest string that can be stored. */
    static final int MAX_STRING_BYTES = 1_000;
    private static final int PAGE_BITS = 14;
    private static final int PAGE_BYTES = 1 << PAGE_BITS;
    /** Length of the prefix that holds a string's length. */
    private static final int PREFIX_BYTES = 2;

    private byte[][] pages = new byte[4][];
    /** Number of elements of {@link #pages} in use. */
    private int pageCount;
    /** Number of bytes used of the last page. */
    private int lastPageEnd = PAGE_BYTES;
    /** Bytes of all strings that are not freed, including their length prefixes. */
    private long usedBytes;

    /**
     * Stores a copy of the first {@code length} bytes, at most {@link #MAX_STRING_BYTES}. Returns its place,
     * by which it can be read; places are not negative.
     */
    int add(byte[] source, int length) {
        if (lastPageEnd + PREFIX_BYTES + length > PAGE_BYTES) {
            if (pageCount == pages.length) {
                pages = Arrays.copyOf(pages, 2 * pageCount);
            }
            pages[pageCount++] = new byte[PAGE_BYTES];
            lastPageEnd = 0;
        }
        byte[] page = pages[pageCount - 1];
        int place = (pageCount - 1 << PAGE_BITS) + lastPageEnd;
        page[lastPageEnd] = (byte) (length >> 8);
        page[lastPageEnd + 1] = (byte) length;
        System.arraycopy(source, 0, page, lastPageEnd + PREFIX_BYTES, length);
        lastPageEnd += PREFIX_BYTES + length;
        usedBytes += PREFIX_BYTES + length;
        return place;
    }

    /** Copies a string to the start of {@code into}, and returns its length in bytes. */
    int read(int place, byte[] into) {
        byte[] page = pages[place >> PAGE_BITS];
        int offset = place & PAGE_BYTES - 1;
        int length = length(page, offset);
        System.arraycopy(page, offset + PREFIX_BYTES, into, 0, length);
        return length;
    }

    /** True if the string at a place equals the first {@code otherLength} bytes of {@code other}. */
    boolean contains(int place, byte[] other, int otherLength) {
        byte[] page = pages[place >> PAGE_BITS];
        int offset = place & PAGE_BYTES - 1;
        int source = offset + PREFIX_BYTES;
        return length(page, offset) == otherLength
            && Arrays.equals(page, source, source + otherLength, other, 0, otherLength);
    }

    /** Marks a string as not in use any more. */
    void free(int place) {
        usedBytes -= PREFIX_BYTES + length(pages[place >> PAGE_BITS], place & PAGE_BYTES - 1);
    }

    /** The memory taken by all pages. */
    long allocatedBytes() {
        return (long) pageCount << PAGE_BITS;
    }

    /** True if there are more than four pages and over a quarter of their space is not in use. */
    boolean isWasteful() {
        return pageCount > 4 && usedBytes < allocatedBytes() / 4 * 3;
    }

    private static int length(byte[] page, int offset) {
        return (page[offset] & 0xff) << 8 | page[offset + 1] & 0xff;
    }
}
