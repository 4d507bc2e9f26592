package wrenkeel.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes read from a connection and the bytes that the operating system has accepted for sending.
 * Must be the first handler of the connection's pipeline, so that it sees encoded bytes.
 */
final class ByteCounter extends ChannelDuplexHandler {
    private final LongAdder bytesIn;
    private final LongAdder bytesOut;

    ByteCounter(LongAdder bytesIn, LongAdder bytesOut) {
        this.bytesIn = bytesIn;
        this.bytesOut = bytesOut;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            bytesIn.add(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        ChannelPromise done = promise.unvoid();
        if (message instanceof ByteBuf bytes) {
            int length = bytes.readableBytes();
            done.addListener(written -> {
                if (written.isSuccess()) {
                    bytesOut.add(length);
                }
            });
        }
        context.write(message, done);
    }
}
