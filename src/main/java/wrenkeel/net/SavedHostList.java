package wrenkeel.net;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The position in the configuration file of the last known host list. A large fleet's list is read from there
 * when it is needed and is never held in memory as text.
 *
 * @param offset of the list's first byte in the file
 * @param length of the list in bytes; 0 if the file holds no list
 */
record SavedHostList(Path file, long offset, long length) {
    boolean isEmpty() {
        return length == 0;
    }

    /** Opens a stream of the list's bytes; the caller closes it. */
    InputStream open() throws IOException {
        InputStream all = Files.newInputStream(file);
        try {
            all.skipNBytes(offset);
            return new RangeInputStream(all, length);
        } catch (IOException e) {
            all.close();
            throw e;
        }
    }

    /** A stream that ends after a given number of bytes. */
    private static final class RangeInputStream extends FilterInputStream {
        private long remaining;

        RangeInputStream(InputStream in, long length) {
            super(in);
            remaining = length;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] buffer, int offset, int maxLength) throws IOException {
            if (remaining == 0) {
                return -1;
            }
            int count = super.read(buffer, offset, (int) Math.min(maxLength, remaining));
            remaining -= Math.max(0, count);
            return count;
        }
    }
}
