package wrenkeel.net;

import java.util.Arrays;

/**
 * Byte strings, one behind the other in pages. What is freed is not used again; its owner copies all that is
 * in use to a new arena when {@link #isWasteful}. One thread.
 */
final class ByteArena {
    /** Bytes of the longest string. */
    static final int MAX_STRING_BYTES = 1_000;
    private static final int PAGE_BITS = 14, PAGE_BYTES = 1 << PAGE_BITS, PREFIX_BYTES = 2;

    private byte[][] pages = new byte[4][];
    private int pageCount;
    /** Bytes used of the last page. */
    private int lastPageEnd = PAGE_BYTES;
    private long usedBytes;

    /** Takes a copy of the first {@code length} bytes, {@link #MAX_STRING_BYTES} at most; its place is 0 or more. */
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

    /** Copies a string to the start of {@code into}; its length in bytes. */
    int read(int place, byte[] into) {
        byte[] page = pages[place >> PAGE_BITS];
        int offset = place & PAGE_BYTES - 1;
        int length = length(page, offset);
        System.arraycopy(page, offset + PREFIX_BYTES, into, 0, length);
        return length;
    }

    boolean contains(int place, byte[] other, int otherLength) {
        byte[] page = pages[place >> PAGE_BITS];
        int offset = place & PAGE_BYTES - 1;
        int source = offset + PREFIX_BYTES;
        return length(page, offset) == otherLength
            && Arrays.equals(page, source, source + otherLength, other, 0, otherLength);
    }

    void free(int place) {
        usedBytes -= PREFIX_BYTES + length(pages[place >> PAGE_BITS], place & PAGE_BYTES - 1);
    }

    /** Bytes of the pages. */
    long allocatedBytes() {
        return (long) pageCount << PAGE_BITS;
    }

    /** It has more than a few pages, and over a quarter of them is not in use. */
    boolean isWasteful() {
        return pageCount > 4 && usedBytes < allocatedBytes() / 4 * 3;
    }

    private static int length(byte[] page, int offset) {
        return (page[offset] & 0xff) << 8 | page[offset + 1] & 0xff;
    }
}
