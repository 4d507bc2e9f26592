package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards the file descriptors: connections without a request must not occupy them for long. Most tests run on
 * an embedded channel whose clock they move.
 */
class RequestDeadlineTest {
    /** Time from connecting within which the platform requires an error or a close if no request arrives. */
    private static final long MAX_REQUEST_SECONDS = 3;
    private static final String HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String MESSAGE_REQUEST =
        "POST /bill HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";

    /** Returns a new connection to a server that reads requests and does not handle them. */
    private static EmbeddedChannel newChannel() {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.freezeTime();
        channel.pipeline().addLast(new Server(new ConnectionLimiter(10)));
        channel.pipeline().fireChannelActive();
        // The last handler would pass requests to the driver, which is not under test.
        channel.pipeline().removeLast();
        return channel;
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static void advance(EmbeddedChannel channel, long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void aSilentPeerIsClosed() {
        EmbeddedChannel channel = newChannel();
        advance(channel, 1_000);
        assertTrue(channel.isOpen());
        advance(channel, 1_000 * (MAX_REQUEST_SECONDS - 1));
        assertFalse(channel.isOpen());
    }

    @Test
    void aPeerThatSendsByteByByteIsClosedNoLater() {
        EmbeddedChannel channel = newChannel();
        for (int i = 0; i < MAX_REQUEST_SECONDS * 4 && channel.isOpen(); i++) {
            channel.writeInbound(bytes(MESSAGE_REQUEST.substring(i, i + 1)));
            advance(channel, 250);
        }
        assertFalse(channel.isOpen());
    }

    /**
     * Guards against a lost message: a request that is written within 2 s and that a busy relay reads
     * slightly later must not be cut off.
     */
    @Test
    void aRequestSentWithinTwoSecondsAndReadSlightlyLaterIsServed() {
        EmbeddedChannel channel = newChannel();
        for (int i = 0; i < MESSAGE_REQUEST.length(); i++) {
            channel.writeInbound(bytes(MESSAGE_REQUEST.substring(i, i + 1)));
            advance(channel, 2_400 / MESSAGE_REQUEST.length());
        }
        FullHttpRequest request = channel.readInbound();
        assertNotNull(request);
        request.release();
    }

    @Test
    void theDeadlineIsSuspendedUntilTheResponseAndThenRestarts() {
        EmbeddedChannel channel = newChannel();
        advance(channel, 1_500);
        channel.writeInbound(bytes(MESSAGE_REQUEST));
        FullHttpRequest request = channel.readInbound();
        request.release();
        advance(channel, 60_000);
        assertTrue(channel.isOpen());
        channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.ACCEPTED));
        advance(channel, 1_500);
        assertTrue(channel.isOpen());
        advance(channel, 1_500);
        assertFalse(channel.isOpen());
    }

    /** Reads a whole request on the connection and responds to it. */
    private static void exchange(EmbeddedChannel channel) {
        channel.writeInbound(bytes(MESSAGE_REQUEST));
        FullHttpRequest request = channel.readInbound();
        request.release();
        channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.ACCEPTED));
    }

    /**
     * Guards against a lost message: the rest between two requests, which may be 2 s, must not be taken off
     * the time to write the second one.
     */
    @Test
    void aRequestAfterARestHasItsWholeTimeFromItsFirstByte() {
        EmbeddedChannel channel = newChannel();
        for (int i = 0; i < 3; i++) {
            exchange(channel);
            advance(channel, 1_950);
            channel.writeInbound(bytes(MESSAGE_REQUEST.substring(0, 10)));
            advance(channel, 2_400);
            channel.writeInbound(bytes(MESSAGE_REQUEST.substring(10)));
            FullHttpRequest request = channel.readInbound();
            assertNotNull(request, "request " + i);
            request.release();
            channel.writeOutbound(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.ACCEPTED));
        }
    }

    /** Guards the file descriptors: only the first byte of a request starts its time. */
    @Test
    void aPeerThatSendsItsSecondRequestByteByByteIsClosedNoLater() {
        EmbeddedChannel channel = newChannel();
        exchange(channel);
        advance(channel, 1_500);
        for (int i = 0; i < MAX_REQUEST_SECONDS * 4 && channel.isOpen(); i++) {
            channel.writeInbound(bytes(MESSAGE_REQUEST.substring(i, i + 1)));
            advance(channel, 250);
        }
        assertFalse(channel.isOpen());
    }

    /**
     * Guards against a lost message: the first byte of the next request may be unread in the socket when the
     * rest after a response is over.
     */
    @Test
    void aRequestWhoseFirstByteIsUnreadAtTheEndOfTheRestIsServed() throws Exception {
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop eventLoop = group.next();
        try (SocketPair pair = new SocketPair(new Server(new ConnectionLimiter(10)))) {
            pair.send(HEALTH_REQUEST);
            pair.register(eventLoop);
            assertEquals("200", pair.readStatus());
            eventLoop.submit(() -> {
                pair.send(HEALTH_REQUEST.substring(0, 1));
                expire(pair);
                return null;
            }).get();
            pair.client.getOutputStream()
                .write(HEALTH_REQUEST.substring(1).getBytes(StandardCharsets.US_ASCII));
            assertEquals("200", pair.readStatus());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /**
     * Guards against a lost message: its last byte may arrive while the thread is busy, just before the
     * deadline.
     */
    @Test
    void aRequestUnreadInTheSocketAtTheDeadlineIsServed() throws Exception {
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop eventLoop = group.next();
        try (SocketPair complete = new SocketPair(new Server(new ConnectionLimiter(10)));
             SocketPair incomplete = new SocketPair(new Server(new ConnectionLimiter(10)))) {
            complete.register(eventLoop);
            incomplete.register(eventLoop);
            eventLoop.submit(() -> {
                complete.send(HEALTH_REQUEST);
                incomplete.send(HEALTH_REQUEST.substring(0, HEALTH_REQUEST.length() - 1));
                expire(complete);
                expire(incomplete);
                return null;
            }).get();
            assertEquals("200", complete.readStatus());
            assertTrue(complete.channel.isOpen());
            assertTrue(incomplete.readsEndOfStream());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /**
     * Guards against a lost message: a request in many chunks may have arrived whole and be decoded in part
     * only when its time is up.
     */
    @Test
    void aRequestThatIsNotDecodedAtTheDeadlineIsAnswered() {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.freezeTime();
        channel.pipeline().addLast(new Server(new ConnectionLimiter(10)));
        channel.pipeline().fireChannelActive();
        channel.pipeline().fireChannelRead(bytes("GET /healthz HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "1\r\nx\r\n".repeat(100) + "0\r\n\r\n"));
        expire(channel);
        ByteBuf response = channel.readOutbound();
        assertNotNull(response, "closed without an answer");
        assertTrue(response.toString(StandardCharsets.US_ASCII).startsWith("HTTP/1.1 503"));
        response.release();
        channel.finishAndReleaseAll();
    }

    private static void expire(SocketPair pair) {
        expire(pair.channel);
    }

    /** Runs the connection's deadline now, as its timer would. */
    private static void expire(Channel channel) {
        ChannelHandlerContext context = channel.pipeline().context(RequestDeadline.class);
        ((RequestDeadline) context.handler()).expire(context);
    }
}
