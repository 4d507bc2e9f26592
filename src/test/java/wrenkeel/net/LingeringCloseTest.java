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

/** What becomes of a response that stands in the socket as its connection ends. On real sockets. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class LingeringCloseTest {
    /** ms; longer than the test, so that nothing ends by time. */
    private static final long ENDLESS = 3_600_000;
    /** More than one read takes: bytes are unread as the error is answered. */
    private static final String MUCH = "x".repeat(60_000);
    private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop thread = group.next();
    private final ConnectionLimiter callers = new ConnectionLimiter(10);
    /** What came through to the handlers behind. */
    private final BlockingQueue<String> read = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Answers each read with "ok" and closes. */
    private final class Answerer extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            read.add(bytes.toString(StandardCharsets.US_ASCII));
            context.writeAndFlush(context.alloc().buffer().writeBytes(new byte[] {'o', 'k'}));
            context.channel().close();
        }
    }

    private SocketPair lingering(long millis) throws IOException {
        return new SocketPair(new LingeringClose(callers, millis), new Answerer());
    }

    private int size() throws Exception {
        return thread.submit(callers::size).get();
    }

    /** Guards the response: a close over unread bytes resets the connection under a peer that still sends. */
    @ParameterizedTest
    @ValueSource(strings = {"nonsense\r\n\r\n", "POST /bill HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",
        "GET /bill HTTP/1.1\r\nHost: a\r\n\r\n", "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"})
    void aPeerThatStillSendsIsNotReset(String request) throws Exception {
        try (SocketPair pair = new SocketPair(new Server(callers, ENDLESS))) {
            pair.send(request + MUCH);
            pair.register(thread);
            assertNotNull(pair.readStatus());
            assertTrue(pair.readsEndOfStream());
            pair.awaitRelease(thread);
            for (int i = 0; i < 3; i++) {
                pair.client.getOutputStream().write(new byte[10_000]);
            }
            pair.client.shutdownOutput();
            pair.channel.closeFuture().sync();
        }
    }

    /** Guards against a lost message: a request that crosses the idle time-out is neither served nor reset. */
    @Test
    void aRequestThatCrossesTheIdleTimeOutIsDiscarded() throws Exception {
        try (SocketPair pair = new SocketPair(new Server(callers, ENDLESS))) {
            pair.send(HEALTH);
            pair.register(thread);
            assertEquals("200", pair.readStatus());
            ChannelHandlerContext deadline = pair.channel.pipeline().context(RequestDeadline.class);
            thread.submit(() -> ((RequestDeadline) deadline.handler()).expire(deadline)).get();
            assertTrue(pair.readsEndOfStream());
            pair.awaitRelease(thread);
            for (int i = 0; i < 3; i++) {
                pair.client.getOutputStream().write(HEALTH.getBytes(StandardCharsets.US_ASCII));
            }
            pair.client.shutdownOutput();
            pair.channel.closeFuture().sync();
            assertTrue(pair.readsEndOfStream());
        }
    }

    /** Guards against a lost message: what comes after the shutdown is not passed on. */
    @Test
    void whatComesAfterTheShutdownIsDiscarded() throws Exception {
        try (SocketPair pair = lingering(ENDLESS)) {
            pair.register(thread);
            pair.send("a");
            assertEquals('o', pair.client.getInputStream().read());
            assertEquals('k', pair.client.getInputStream().read());
            assertTrue(pair.readsEndOfStream());
            pair.client.getOutputStream().write(MUCH.getBytes(StandardCharsets.US_ASCII));
            pair.client.shutdownOutput();
            // The peer's end is read behind the bytes.
            pair.channel.closeFuture().sync();
        }
        assertEquals("a", read.take());
        assertTrue(read.isEmpty());
    }

    /** Guards the CPU and the descriptors: a peer that goes on sending is neither heard out nor kept. */
    @Test
    void aPeerThatGoesOnSendingIsReset() throws Exception {
        try (SocketPair pair = lingering(200)) {
            pair.register(thread);
            assertThrows(SocketException.class, () -> {
                while (true) {
                    pair.client.getOutputStream().write(MUCH.getBytes(StandardCharsets.US_ASCII));
                }
            });
            pair.channel.closeFuture().sync();
        }
    }

    /** Guards the silent peer's deadline and the places: nothing was written, so there is nothing to wait for. */
    @Test
    void aConnectionWithoutAResponseIsClosedAtOnce() throws Exception {
        try (SocketPair pair = lingering(ENDLESS)) {
            pair.register(thread);
            pair.channel.close().sync();
            assertTrue(pair.readsEndOfStream());
        }
    }

    @Test
    void aLingeringConnectionHoldsAPlaceAndIsTheFirstToGiveWay() throws Exception {
        ConnectionLimiter three = new ConnectionLimiter(3);
        try (SocketPair quiet = new SocketPair(); SocketPair lingers = new SocketPair(new LingeringClose(three, ENDLESS));
             SocketPair newcomer = new SocketPair()) {
            for (SocketPair pair : new SocketPair[] {quiet, lingers, newcomer}) {
                pair.register(thread);
            }
            thread.submit(() -> {
                three.connected(quiet.channel);
                three.awaitingRequest(quiet.channel);
                three.connected(lingers.channel);
                three.awaitingRequest(lingers.channel);
                lingers.channel.writeAndFlush(lingers.channel.alloc().buffer().writeByte('a'));
                lingers.channel.close();
                assertTrue(lingers.channel.isOpen());
                assertEquals(2, three.size());
                three.setMaxConnections(2);
                three.connected(newcomer.channel);
                assertFalse(lingers.channel.isOpen());
                assertTrue(quiet.channel.isOpen());
                assertTrue(newcomer.channel.isOpen());
            }).get();
        }
    }

    /** Guards the orderly end, which waits until no connection is left. */
    @Test
    void aPeerThatKeepsItsSideOpenDoesNotHoldItsPlaceForLong() throws Exception {
        try (SocketPair pair = new SocketPair(new Server(callers))) {
            pair.send(HEALTH.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            pair.register(thread);
            assertEquals("200", pair.readStatus());
            assertTrue(pair.readsEndOfStream());
            pair.channel.closeFuture().sync();
            while (size() > 0) {
                Thread.onSpinWait();
            }
        }
    }
}
