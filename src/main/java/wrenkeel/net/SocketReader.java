package wrenkeel.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Notifies the {@link ConnectionLimiter} of received bytes, and reads a socket on demand: a busy thread may
 * have left bytes unread in it. Must be the first handler in the pipeline.
 */
final class SocketReader extends ChannelInboundHandlerAdapter {
    private final ConnectionLimiter connections;
    private long bytesReceived;

    SocketReader(ConnectionLimiter connections) {
        this.connections = connections;
    }

    /** Reads the unread bytes of a connection through its pipeline; returns false if there were none. */
    static boolean readNow(Channel channel) {
        SocketReader reader = channel.pipeline().get(SocketReader.class);
        if (reader == null || !channel.isActive()
            || !(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket)) {
            return false;
        }
        long before = reader.bytesReceived;
        socket.read();
        return reader.bytesReceived > before;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            bytesReceived += bytes.readableBytes();
            connections.bytesReceived(context.channel());
        }
        context.fireChannelRead(message);
    }
}
