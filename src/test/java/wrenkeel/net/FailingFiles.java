package wrenkeel.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Files that can be written only while the test allows it, as in a full folder or on a disk that fails. */
final class FailingFiles implements FileOperations {
    /** What the system says; null while all goes well. */
    volatile String failure;
    /** Writes that still go well before {@link #failure} holds. */
    final AtomicInteger successfulWrites = new AtomicInteger();
    /** Writes that have failed. */
    final Semaphore failedWrites = new Semaphore(0);
    /** A write that fails leaves so many bytes of what it was to write. */
    volatile int bytesBeforeFailure;
    volatile boolean truncateFails, closeFails, replaceFails;

    FailingFiles(String failure) {
        this.failure = failure;
    }

    private void check() throws IOException {
        if (failure != null && successfulWrites.getAndDecrement() <= 0) {
            failedWrites.release();
            throw new IOException(failure);
        }
    }

    @Override
    public FileChannel open(Path file, OpenOption... options) throws IOException {
        return new Channel(SYSTEM.open(file, options));
    }

    @Override
    public void replace(Path by, Path file) throws IOException {
        if (replaceFails) {
            throw new IOException("Input/output error");
        }
        SYSTEM.replace(by, file);
    }

    @Override
    public void delete(Path file) throws IOException {
        SYSTEM.delete(file);
    }

    private final class Channel extends FileChannel {
        private final FileChannel file;

        Channel(FileChannel file) {
            this.file = file;
        }

        @Override
        public int write(ByteBuffer bytes) throws IOException {
            if (failure != null && successfulWrites.get() <= 0 && bytesBeforeFailure > 0) {
                ByteBuffer part = bytes.slice().limit(Math.min(bytesBeforeFailure, bytes.remaining()));
                file.write(part);
            }
            check();
            return file.write(bytes);
        }

        @Override
        public long write(ByteBuffer[] bytes, int offset, int length) throws IOException {
            check();
            return file.write(bytes, offset, length);
        }

        @Override
        public int write(ByteBuffer bytes, long position) throws IOException {
            check();
            return file.write(bytes, position);
        }

        @Override
        public FileChannel truncate(long size) throws IOException {
            if (truncateFails) {
                throw new IOException("Input/output error");
            }
            return file.truncate(size);
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            return file.read(into);
        }

        @Override
        public long read(ByteBuffer[] into, int offset, int length) throws IOException {
            return file.read(into, offset, length);
        }

        @Override
        public int read(ByteBuffer into, long position) throws IOException {
            return file.read(into, position);
        }

        @Override
        public long position() throws IOException {
            return file.position();
        }

        @Override
        public FileChannel position(long position) throws IOException {
            return file.position(position);
        }

        @Override
        public long size() throws IOException {
            return file.size();
        }

        @Override
        public void force(boolean metaData) throws IOException {
            file.force(metaData);
        }

        @Override
        public long transferTo(long position, long count, WritableByteChannel to) throws IOException {
            return file.transferTo(position, count, to);
        }

        @Override
        public long transferFrom(ReadableByteChannel from, long position, long count) throws IOException {
            return file.transferFrom(from, position, count);
        }

        @Override
        public MappedByteBuffer map(MapMode mode, long position, long size) {
            throw new UnsupportedOperationException(List.of(mode, position, size).toString());
        }

        @Override
        public FileLock lock(long position, long size, boolean shared) throws IOException {
            return file.lock(position, size, shared);
        }

        @Override
        public FileLock tryLock(long position, long size, boolean shared) throws IOException {
            return file.tryLock(position, size, shared);
        }

        @Override
        protected void implCloseChannel() throws IOException {
            file.close();
            if (closeFails) {
                throw new IOException("Input/output error");
            }
        }
    }
}
