package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which connection is closed when the limit of connections is reached. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ConnectionLimiterTest {
    private static final String HALF_REQUEST = "GET /healthz HTTP/1.1\r\nHos";
    private static final String HEALTH_REQUEST = HALF_REQUEST + "t: a\r\n\r\n";

    /** Allows three connections. */
    private final ConnectionLimiter limiter = new ConnectionLimiter(3);
    private final List<EmbeddedChannel> channels =
        IntStream.range(0, 6).mapToObj(i -> new EmbeddedChannel()).toList();

    private EmbeddedChannel connect(int i) {
        limiter.connected(channels.get(i));
        limiter.awaitingRequest(channels.get(i));
        return channels.get(i);
    }

    /** Returns, for each channel in order, "o" if it is open and "-" if it is closed. */
    private String openChannels() {
        return String.join("", channels.stream().map(c -> c.isOpen() ? "o" : "-").toList());
    }

    /**
     * Guards the file descriptors: of many connections that arrive at once, each must evict a different one.
     */
    @Test
    void eachNewConnectionAtTheLimitEvictsADifferentOne() {
        IntStream.range(0, 6).forEach(this::connect);
        assertEquals("---ooo", openChannels());
        assertEquals(3, limiter.size());
    }

    @Test
    void connectionWithPartOfARequestIsEvictedAfterThoseWithoutBytes() {
        IntStream.range(0, 3).forEach(this::connect);
        limiter.bytesReceived(channels.get(0));
        connect(3);
        assertEquals("o-oooo", openChannels());
    }

    /** Guards against a lost message: a whole request must be answered. */
    @Test
    void connectionThatAwaitsItsResponseIsNotEvicted() {
        IntStream.range(0, 3).forEach(this::connect);
        IntStream.range(0, 3).forEach(i -> limiter.requestReceived(channels.get(i)));
        connect(3);
        assertEquals("ooo-oo", openChannels());
        limiter.awaitingRequest(channels.get(1));
        connect(4);
        assertEquals("o-o-oo", openChannels());
    }

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final List<SocketPair> pairs = new ArrayList<>();

    @AfterEach
    void tearDown() throws IOException {
        for (SocketPair pair : pairs) {
            pair.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /**
     * Opens a connection to the relay's server.
     *
     * @param responds false for a server that never responds: each whole request stays open
     */
    private SocketPair openConnection(boolean responds) throws Exception {
        SocketPair pair = new SocketPair(new Server(limiter));
        pairs.add(pair);
        pair.register(eventLoop);
        if (!responds) {
            pair.channel.pipeline().removeLast();
        }
        return pair;
    }

    private interface Task {
        void run() throws Exception;
    }

    /** Runs a task on the event loop, which reads no socket meanwhile unless the task itself does. */
    private void onEventLoop(Task task) throws Exception {
        eventLoop.submit(() -> {
            task.run();
            return null;
        }).get();
    }

    /** Opens a connection that the limiter counts; to be called on the event loop. */
    private void connectAnother() throws IOException {
        SocketPair pair = new SocketPair();
        pairs.add(pair);
        eventLoop.register(pair.channel);
        limiter.connected(pair.channel);
    }

    /** Returns, for each pair in order, "o" if its server's channel is open and "-" if it is closed. */
    private static String openPairs(SocketPair... pairs) {
        return String.join("", Stream.of(pairs).map(pair -> pair.channel.isOpen() ? "o" : "-").toList());
    }

    /**
     * Guards against a lost message: a busy relay may not yet have read the bytes of the connection that has
     * sent nothing for the longest.
     */
    @ParameterizedTest
    @ValueSource(strings = {HEALTH_REQUEST, HALF_REQUEST})
    void connectionWithUnreadBytesIsNotEvicted(String unreadText) throws Exception {
        SocketPair first = openConnection(true);
        SocketPair second = openConnection(true);
        SocketPair third = openConnection(true);
        onEventLoop(() -> {
            first.send(unreadText);
            connectAnother();
            assertEquals("o-o", openPairs(first, second, third));
        });
        first.client.getOutputStream()
            .write(HEALTH_REQUEST.substring(unreadText.length()).getBytes(StandardCharsets.US_ASCII));
        assertEquals("200", first.readStatus());
    }

    /**
     * Guards against lost messages: when every connection has sent a request, the new connection is closed.
     */
    @Test
    void newConnectionIsClosedWhenAllOthersHaveSentARequest() throws Exception {
        SocketPair first = openConnection(false);
        SocketPair second = openConnection(false);
        SocketPair third = openConnection(false);
        onEventLoop(() -> {
            for (SocketPair pair : List.of(first, second, third)) {
                pair.send(HEALTH_REQUEST);
            }
            connectAnother();
            assertEquals("ooo-", openPairs(pairs.toArray(SocketPair[]::new)));
            assertEquals(3, limiter.size());
        });
    }

    /**
     * Guards slow clients: a connection with part of its first request is evicted after all those that have
     * sent nothing since they connected, even if they connected later.
     */
    @Test
    void connectionWithPartOfItsFirstRequestIsEvictedLast() throws Exception {
        SocketPair first = openConnection(true);
        onEventLoop(() -> {
            first.send(HALF_REQUEST);
            assertTrue(SocketReader.readNow(first.channel));
        });
        SocketPair second = openConnection(true);
        SocketPair third = openConnection(true);
        onEventLoop(() -> {
            connectAnother();
            connectAnother();
            assertEquals("o--", openPairs(first, second, third));
            connectAnother();
            assertEquals("---", openPairs(first, second, third));
        });
    }

    /** Guards against a lost message: the last byte of a later request may be in transit. */
    @Test
    void connectionWithPartOfALaterRequestIsNotEvicted() throws Exception {
        SocketPair first = openConnection(true);
        first.send(HEALTH_REQUEST);
        assertEquals("200", first.readStatus());
        onEventLoop(() -> {
            first.send(HALF_REQUEST);
            limiter.setMaxConnections(0);
            assertEquals("o", openPairs(first));
        });
    }

    /**
     * Guards against a lost message: the next request's first bytes may arrive in one read with the previous
     * request.
     */
    @ParameterizedTest
    @ValueSource(strings = {"G", "GET /healthz HTTP/1.1\r\n", HALF_REQUEST})
    void connectionThatSentPartOfTheNextRequestInTheSameReadIsNotEvicted(String part) throws Exception {
        SocketPair first = openConnection(true);
        onEventLoop(() -> {
            first.send(HEALTH_REQUEST + part);
            assertTrue(SocketReader.readNow(first.channel));
            limiter.setMaxConnections(0);
            assertEquals("o", openPairs(first));
        });
        first.client.getOutputStream()
            .write(HEALTH_REQUEST.substring(part.length()).getBytes(StandardCharsets.US_ASCII));
        assertEquals(List.of("200", "200"), first.readStatuses(2));
        onEventLoop(() -> limiter.setMaxConnections(0));
        assertTrue(first.readsEndOfStream());
    }

    /**
     * Guards the file descriptors while one process replaces another, and against lost messages: a lower
     * limit closes the connections above it, but none with unread bytes.
     */
    @Test
    void lowerLimitClosesOnlyConnectionsWithoutUnreadBytes() throws Exception {
        SocketPair first = openConnection(false);
        SocketPair second = openConnection(false);
        SocketPair third = openConnection(false);
        onEventLoop(() -> {
            second.send(HEALTH_REQUEST);
            limiter.setMaxConnections(1);
            assertEquals("-o-", openPairs(first, second, third));
        });
    }
}
