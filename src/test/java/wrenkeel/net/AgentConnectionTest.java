package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls to the discovery agent on a real event loop. */
class AgentConnectionTest {
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();

    @AfterEach
    void stopEventLoop() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }

    /**
     * Clients may occupy all file descriptors with idle connections. A request to the agent must then fail at
     * once, on the event loop, so that the watch and the notices are repeated as soon as a descriptor is
     * free.
     */
    @Test
    void requestWithoutAFreeDescriptorEndsAtOnceOnTheEventLoop() throws Exception {
        AgentConnection connection = new AgentConnection(eventLoop, new Bootstrap().group(group), () -> {
            throw new ChannelException("too many open files");
        }, new InetSocketAddress(Platform.LOOPBACK, 9), CONNECT_TIMEOUT_MS);
        BlockingQueue<Integer> statuses = new LinkedBlockingQueue<>();
        BlockingQueue<Boolean> onEventLoop = new LinkedBlockingQueue<>();
        long longTimeoutMs = TimeUnit.HOURS.toMillis(1);
        for (int i = 0; i < 2; i++) {
            eventLoop.submit(() -> connection.send(HttpMethod.GET, "/v1/servers", "", longTimeoutMs, null,
                response -> {
                    onEventLoop.add(eventLoop.inEventLoop());
                    statuses.add(response.status);
                })).get();
            assertEquals(0, statuses.poll(Platform.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertTrue(onEventLoop.take());
        }
    }
}
