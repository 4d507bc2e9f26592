package wrenkeel.net;

import java.util.Arrays;

/**
 * Byte strings, one behind the other in pages. What is freed is not used again; its owner copies all that is
 * in use to a new arena when {@link #wasteful}. One thread.
 */
final class ByteArena {
    /** Bytes of the longest string. */
    static final int LONGEST = 1_000;
    private static final int PAGE_BITS = 14, PAGE = 1 << PAGE_BITS, LENGTH_BYTES = 2;

    private byte[][] pages = new byte[4][];
    private int count;
    /** Bytes used of the last page. */
    private int end = PAGE;
    private long used;

    /** Takes a copy of the first {@code length} bytes, {@link #LONGEST} at most; its place is 0 or more. */
    int add(byte[] from, int length) {
        if (end + LENGTH_BYTES + length > PAGE) {
            if (count == pages.length) {
                pages = Arrays.copyOf(pages, 2 * count);
            }
            pages[count++] = new byte[PAGE];
            end = 0;
        }
        byte[] page = pages[count - 1];
        int place = (count - 1 << PAGE_BITS) + end;
        page[end] = (byte) (length >> 8);
        page[end + 1] = (byte) length;
        System.arraycopy(from, 0, page, end + LENGTH_BYTES, length);
        end += LENGTH_BYTES + length;
        used += LENGTH_BYTES + length;
        return place;
    }

    /** Copies a string to the start of {@code into}; its length in bytes. */
    int read(int place, byte[] into) {
        byte[] page = pages[place >> PAGE_BITS];
        int at = place & PAGE - 1;
        int length = length(page, at);
        System.arraycopy(page, at + LENGTH_BYTES, into, 0, length);
        return length;
    }

    boolean holds(int place, byte[] other, int otherLength) {
        byte[] page = pages[place >> PAGE_BITS];
        int at = place & PAGE - 1;
        int from = at + LENGTH_BYTES;
        return length(page, at) == otherLength
            && Arrays.equals(page, from, from + otherLength, other, 0, otherLength);
    }

    void free(int place) {
        used -= LENGTH_BYTES + length(pages[place >> PAGE_BITS], place & PAGE - 1);
    }

    /** Bytes of the pages. */
    long size() {
        return (long) count << PAGE_BITS;
    }

    /** It has more than a few pages, and over a quarter of them is not in use. */
    boolean wasteful() {
        return count > 4 && used < size() / 4 * 3;
    }

    private static int length(byte[] page, int at) {
        return (page[at] & 0xff) << 8 | page[at + 1] & 0xff;
    }
}
