package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Closing a connection so that the peer can still read the response. On real sockets: a close over unread
 * bytes resets the connection, and the peer may lose the response.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class LingeringCloseTest {
    /** A linger time longer than the test, so that no connection is closed by its timer. */
    private static final long LONGER_THAN_TEST_MS = 3_600_000;
    /** More bytes than one read takes: some are still unread when the error response is sent. */
    private static final String MORE_THAN_ONE_READ = "x".repeat(60_000);
    private static final String HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final ConnectionLimiter limiter = new ConnectionLimiter(10);
    /** Input that reached the handler after the lingering close. */
    private final BlockingQueue<String> receivedTexts = new LinkedBlockingQueue<>();

    @AfterEach
    void tearDown() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Records the input of each read, responds "ok" and closes the connection. */
    private final class RespondAndClose extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            receivedTexts.add(bytes.toString(StandardCharsets.US_ASCII));
            context.writeAndFlush(context.alloc().buffer().writeBytes(new byte[] {'o', 'k'}));
            context.channel().close();
        }
    }

    /** Opens a connection whose server responds "ok" and closes, with this linger time. */
    private SocketPair lingeringPair(long millis) throws IOException {
        return new SocketPair(new LingeringClose(limiter, millis), new RespondAndClose());
    }

    private int connectionCount() throws Exception {
        return eventLoop.submit(limiter::size).get();
    }

    /**
     * Guards the response: closing over unread bytes would reset the connection of a peer that is still
     * sending.
     */
    @ParameterizedTest
    @ValueSource(strings = {"nonsense\r\n\r\n", "POST /bill HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",
        "GET /bill HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"})
    void aPeerThatIsStillSendingIsNotReset(String request) throws Exception {
        try (SocketPair pair = new SocketPair(new Server(limiter, LONGER_THAN_TEST_MS))) {
            pair.send(request + MORE_THAN_ONE_READ);
            pair.register(eventLoop);
            assertNotNull(pair.readStatus());
            assertTrue(pair.readsEndOfStream());
            pair.awaitRelease(eventLoop);
            for (int i = 0; i < 3; i++) {
                pair.client.getOutputStream().write(new byte[10_000]);
            }
            pair.client.shutdownOutput();
            pair.channel.closeFuture().sync();
        }
    }

    /**
     * Guards against a lost message: a request that the client sends while the server closes the idle
     * connection is neither served nor answered by a reset.
     */
    @Test
    void aRequestSentAfterTheIdleTimeoutIsDiscarded() throws Exception {
        try (SocketPair pair = new SocketPair(new Server(limiter, LONGER_THAN_TEST_MS))) {
            pair.send(HEALTH_REQUEST);
            pair.register(eventLoop);
            assertEquals("200", pair.readStatus());
            ChannelHandlerContext deadline = pair.channel.pipeline().context(RequestDeadline.class);
            eventLoop.submit(() -> ((RequestDeadline) deadline.handler()).expire(deadline)).get();
            assertTrue(pair.readsEndOfStream());
            pair.awaitRelease(eventLoop);
            for (int i = 0; i < 3; i++) {
                pair.client.getOutputStream().write(HEALTH_REQUEST.getBytes(StandardCharsets.US_ASCII));
            }
            pair.client.shutdownOutput();
            pair.channel.closeFuture().sync();
            assertTrue(pair.readsEndOfStream());
        }
    }

    /**
     * Guards against a lost message: input after the output is shut down cannot be answered, and is not
     * handled.
     */
    @Test
    void inputAfterTheOutputShutdownIsDiscarded() throws Exception {
        try (SocketPair pair = lingeringPair(LONGER_THAN_TEST_MS)) {
            pair.send("a");
            pair.register(eventLoop);
            assertEquals('o', pair.client.getInputStream().read());
            assertEquals('k', pair.client.getInputStream().read());
            assertTrue(pair.readsEndOfStream());
            pair.client.getOutputStream().write(MORE_THAN_ONE_READ.getBytes(StandardCharsets.US_ASCII));
            pair.client.shutdownOutput();
            // The end of the stream is read after the bytes.
            pair.channel.closeFuture().sync();
        }
        assertEquals("a", receivedTexts.take());
        assertTrue(receivedTexts.isEmpty());
    }

    /**
     * Guards the CPU and the file descriptors: a peer that keeps sending must not be read for ever or kept
     * open.
     */
    @Test
    void aPeerThatKeepsSendingIsReset() throws Exception {
        try (SocketPair pair = lingeringPair(200)) {
            pair.register(eventLoop);
            assertThrows(SocketException.class, () -> {
                while (true) {
                    pair.client.getOutputStream()
                        .write(MORE_THAN_ONE_READ.getBytes(StandardCharsets.US_ASCII));
                }
            });
            pair.channel.closeFuture().sync();
        }
    }

    /**
     * Guards the deadline of silent peers and the limit of connections: if nothing was written, there is
     * nothing that the peer has yet to read.
     */
    @Test
    void aConnectionWithoutAResponseIsClosedAtOnce() throws Exception {
        try (SocketPair pair = lingeringPair(LONGER_THAN_TEST_MS)) {
            pair.register(eventLoop);
            pair.channel.close().sync();
            assertTrue(pair.readsEndOfStream());
        }
    }

    @Test
    void aLingeringConnectionCountsAsOpenAndIsEvictedFirst() throws Exception {
        ConnectionLimiter limitOfThree = new ConnectionLimiter(3);
        try (SocketPair silent = new SocketPair();
             SocketPair lingering = new SocketPair(new LingeringClose(limitOfThree, LONGER_THAN_TEST_MS));
             SocketPair newConnection = new SocketPair()) {
            for (SocketPair pair : new SocketPair[] {silent, lingering, newConnection}) {
                pair.register(eventLoop);
            }
            eventLoop.submit(() -> {
                limitOfThree.connected(silent.channel);
                limitOfThree.awaitingRequest(silent.channel);
                limitOfThree.connected(lingering.channel);
                limitOfThree.awaitingRequest(lingering.channel);
                lingering.channel.writeAndFlush(lingering.channel.alloc().buffer().writeByte('a'));
                lingering.channel.close();
                assertTrue(lingering.channel.isOpen());
                assertEquals(2, limitOfThree.size());
                limitOfThree.setMaxConnections(2);
                limitOfThree.connected(newConnection.channel);
                assertFalse(lingering.channel.isOpen());
                assertTrue(silent.channel.isOpen());
                assertTrue(newConnection.channel.isOpen());
            }).get();
        }
    }

    /** Guards the orderly shutdown, which waits until no connection is left. */
    @Test
    void aPeerThatKeepsItsSideOpenIsRemovedAfterTheLingerTime() throws Exception {
        try (SocketPair pair = new SocketPair(new Server(limiter))) {
            pair.send(HEALTH_REQUEST.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            pair.register(eventLoop);
            assertEquals("200", pair.readStatus());
            assertTrue(pair.readsEndOfStream());
            pair.channel.closeFuture().sync();
            while (connectionCount() > 0) {
                Thread.onSpinWait();
            }
        }
    }
}
