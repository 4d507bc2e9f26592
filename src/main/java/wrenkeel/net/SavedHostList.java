package wrenkeel.net;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Where a configuration file holds the list as last had: {@code length} bytes from {@code offset} on; of
 * length 0 where it holds none. A large fleet's list is read from there when it is needed, and never held as
 * text.
 */
record SavedHostList(Path file, long offset, long length) {
    boolean isEmpty() {
        return length == 0;
    }

    /** The list's text. */
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

    /** Ends after so many bytes. */
    private static final class RangeInputStream extends FilterInputStream {
        private long remaining;

        RangeInputStream(InputStream all, long length) {
            super(all);
            remaining = length;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] into, int at, int most) throws IOException {
            if (remaining == 0) {
                return -1;
            }
            int got = super.read(into, at, (int) Math.min(most, remaining));
            remaining -= Math.max(0, got);
            return got;
        }
    }
}
