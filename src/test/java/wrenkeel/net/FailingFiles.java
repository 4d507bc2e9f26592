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

/** File operations whose writes fail while the test says so, as on a full or failing disk. */
final class FailingFiles implements FileOperations {
    /** Message of the exception that writes throw; null while they succeed. */
    volatile String failure;
    /** Writes that still succeed before {@link #failure} takes effect. */
    final AtomicInteger successfulWrites = new AtomicInteger();
    /** One permit for each failed write. */
    final Semaphore failedWrites = new Semaphore(0);
    /** Bytes that a failing write still writes. */
    volatile int bytesBeforeFailure;
    /** These operations fail while set. */
    volatile boolean truncateFails, closeFails, replaceFails;

    /** Runs after each write, replacement and deletion. */
    volatile Runnable afterChange = () -> { };

    FailingFiles(String failure) {
        this.failure = failure;
    }

    /** Throws the failure that is in force. */
    private void throwIfFailing() throws IOException {
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
    public void replace(Path source, Path target) throws IOException {
        if (replaceFails) {
            throw new IOException("Input/output error");
        }
        SYSTEM.replace(source, target);
        afterChange.run();
    }

    @Override
    public void delete(Path file) throws IOException {
        SYSTEM.delete(file);
        afterChange.run();
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
            throwIfFailing();
            int written = file.write(bytes);
            afterChange.run();
            return written;
        }

        @Override
        public long write(ByteBuffer[] bytes, int offset, int length) throws IOException {
            throwIfFailing();
            return file.write(bytes, offset, length);
        }

        @Override
        public int write(ByteBuffer bytes, long position) throws IOException {
            throwIfFailing();
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
