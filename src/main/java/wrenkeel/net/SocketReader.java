package wrenkeel.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Tells the register of connections which of them bring bytes, and reads on demand what stands unread in a
 * socket: a busy thread may have had no time for it. Comes first in the pipeline.
 */
final class SocketReader extends ChannelInboundHandlerAdapter {
    private final ConnectionLimiter connections;
    private long bytesReceived;

    SocketReader(ConnectionLimiter connections) {
        this.connections = connections;
    }

    /** Reads what has come on a connection, and passes it on as usual; false if nothing has. */
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
