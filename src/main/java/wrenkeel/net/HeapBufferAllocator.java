package wrenkeel.net;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledDirectByteBuf;
import io.netty.buffer.UnpooledHeapByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Allocates the buffers of sockets on the heap, and counts the bytes in use. A socket is then read through
 * the one direct buffer that the Java runtime keeps for each thread. Direct buffers would be kept for as long
 * as what was read into them, and once the limit of direct memory is reached, each further allocation blocks
 * its thread for half a second before it fails.
 */
final class HeapBufferAllocator extends AbstractByteBufAllocator {
    /** Bytes read from a socket at first; grows as long as the buffer is filled. */
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MIN_READ_BYTES = 64;
    /** Most bytes that one read takes from a socket, and so may hold while the peer's data is incomplete. */
    static final int MAX_READ_BYTES = 16_384;

    private final AtomicLong usedBytes = new AtomicLong();

    HeapBufferAllocator() {
        super(false);
    }

    /** Returns the sizes of the buffers that sockets are read into; one object for each bootstrap. */
    static RecvByteBufAllocator readSizes() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }

    /** Returns the bytes of all heap buffers that are allocated and not yet released. */
    long usedBytes() {
        return usedBytes.get();
    }

    @Override
    public ByteBuf ioBuffer() {
        return heapBuffer();
    }

    @Override
    public ByteBuf ioBuffer(int initialCapacity) {
        return heapBuffer(initialCapacity);
    }

    @Override
    public ByteBuf ioBuffer(int initialCapacity, int maxCapacity) {
        return heapBuffer(initialCapacity, maxCapacity);
    }

    @Override
    protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
        return new CountedBuffer(initialCapacity, maxCapacity);
    }

    @Override
    protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
        return new UnpooledDirectByteBuf(this, initialCapacity, maxCapacity);
    }

    @Override
    public boolean isDirectBufferPooled() {
        return false;
    }

    /** A heap buffer whose array is counted. */
    private final class CountedBuffer extends UnpooledHeapByteBuf {
        CountedBuffer(int initialCapacity, int maxCapacity) {
            super(HeapBufferAllocator.this, initialCapacity, maxCapacity);
        }

        @Override
        protected byte[] allocateArray(int length) {
            byte[] array = super.allocateArray(length);
            usedBytes.addAndGet(length);
            return array;
        }

        @Override
        protected void freeArray(byte[] array) {
            usedBytes.addAndGet(-array.length);
            super.freeArray(array);
        }
    }
}
