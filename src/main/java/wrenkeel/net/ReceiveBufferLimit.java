package wrenkeel.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Limits the memory for what clients have sent of incomplete requests. Above the limit, the connection that
 * has waited longest for the rest of its request gets the event {@link Exceeded}, then the next one, until
 * enough memory is released. Must follow the {@link SocketReader}; one object serves all connections.
 */
@ChannelHandler.Sharable
final class ReceiveBufferLimit extends ChannelInboundHandlerAdapter {
    /** Asks a connection's handler to refuse the incomplete request and to release what it has received. */
    enum Exceeded {
        INSTANCE
    }

    private final ConnectionLimiter connections;
    private final HeapBufferAllocator buffers;
    private final long maxBytes;

    ReceiveBufferLimit(ConnectionLimiter connections, HeapBufferAllocator buffers, long maxBytes) {
        this.connections = connections;
        this.buffers = buffers;
        this.maxBytes = maxBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        context.fireChannelRead(message);
        Channel stalled = nextToRefuse();
        while (stalled != null) {
            stalled.pipeline().fireUserEventTriggered(Exceeded.INSTANCE);
            stalled = nextToRefuse();
        }
    }

    private Channel nextToRefuse() {
        return buffers.usedBytes() > maxBytes ? connections.takeLongestPartialRequest() : null;
    }
}
