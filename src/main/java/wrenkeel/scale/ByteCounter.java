package wrenkeel.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes that cross the connections it is the first handler of. Any number of connections. */
@ChannelHandler.Sharable
final class ByteCounter extends ChannelDuplexHandler {
    private final LongAdder read = new LongAdder(), written = new LongAdder(), connections = new LongAdder();

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connections.increment();
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            read.add(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            written.add(bytes.readableBytes());
        }
        context.write(message, promise);
    }

    /** Bytes received from the peers. */
    long bytesRead() {
        return read.sum();
    }

    /** Bytes handed to the peers' sockets. */
    long bytesWritten() {
        return written.sum();
    }

    /** Connections that have come up. */
    long connections() {
        return connections.sum();
    }
}
