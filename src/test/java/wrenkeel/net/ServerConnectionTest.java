package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The responses on one client connection, and their order. The driver and the sockets are real; the requests
 * that a client has sent are read in one iteration of the event loop, before the module decides about any of
 * them.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ServerConnectionTest {
    private static final String HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

    @TempDir
    Path folder;
    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private Platform platform;
    private StubHost host;
    private Journal journal;
    private ControlDriver driver;
    private Server server;

    @BeforeEach
    void setUp() throws Exception {
        platform = new Platform(folder);
        host = new StubHost();
        Config config = platform.writeConfig(Platform.hostJson("s-1", host.port(), 7, "ready"));
        journal = new Journal(config.stateFolder(), config.diskLimitBytes());
        Bootstrap calls = new Bootstrap().group(eventLoop);
        Metrics metrics = new Metrics();
        onEventLoop(() -> {
            HostList hosts = new HostList(config.zones(), config.kinds());
            HostPool pool = new HostPool(eventLoop, calls, 1_000_000, 15_000_000, 100, metrics);
            driver = new ControlDriver(eventLoop, ProcessClock.system(), config, hosts, pool, journal,
                metrics, (whenListed, whenNoticed) ->
                    new Discovery(eventLoop, calls, config.discoveryAddress(), hosts, whenListed,
                        whenNoticed));
            driver.start(config.savedList());
            server = new Server(new ConnectionLimiter(10));
            server.serve(driver, metrics);
        });
    }

    @AfterEach
    void tearDown() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        journal.close();
        host.close();
        platform.close();
    }

    private interface Task {
        void run() throws Exception;
    }

    /** Runs a task on the event loop. */
    private void onEventLoop(Task task) throws Exception {
        eventLoop.submit(() -> {
            task.run();
            return null;
        }).get();
    }

    /** Returns a request that submits a message with a body of two bytes. */
    private static String post(String id, String... extraHeaders) {
        return "POST /bill HTTP/1.1\r\nHost: a\r\n"
            + String.join("\r\n", Platform.Client.headers(id, "bill", 7, 16_000))
            + "\r\n" + String.join("", extraHeaders) + "Content-Length: 2\r\n\r\nhi";
    }

    /**
     * Opens a connection on which all of these requests have arrived before the server reads the first byte.
     */
    private SocketPair connectAndSend(String requests) throws Exception {
        SocketPair pair = new SocketPair(server);
        pair.send(requests);
        pair.register(eventLoop);
        return pair;
    }

    @Test
    void aHealthCheckAfterAMessageIsAnsweredAfterIt() throws Exception {
        try (var pair = connectAndSend(post("a") + HEALTH_REQUEST + post("b") + HEALTH_REQUEST)) {
            assertEquals(List.of("202", "200", "202", "200"), pair.readStatuses(4));
        }
    }

    /** Guards against a connection that is not read any more once requests on it had to wait. */
    @Test
    void aRequestAfterSeveralAtOnceIsAnswered() throws Exception {
        try (var pair = connectAndSend(post("a") + post("b"))) {
            assertEquals(List.of("202", "202"), pair.readStatuses(2));
            assertTrue(eventLoop.submit(() -> pair.channel.config().isAutoRead()).get());
            pair.client.getOutputStream().write(post("c").getBytes(StandardCharsets.US_ASCII));
            assertEquals("202", pair.readStatus());
        }
    }

    /**
     * Guards against a lost message: an error that closes the connection must not cut off the response before
     * it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"nonsense\r\n\r\n", "GET /bill HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /bill HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",
        "POST /bill HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 70000\r\n\r\n"})
    void aMessageIsAnsweredBeforeTheErrorThatClosesItsConnection(String invalidRequest) throws Exception {
        try (var pair = connectAndSend(post("a") + invalidRequest + HEALTH_REQUEST)) {
            assertEquals("202", pair.readStatus());
            assertTrue(pair.readStatus().startsWith("4"));
            assertTrue(pair.readsEndOfStream(), "nothing after the error is served");
        }
        assertEquals(1, unfinishedMessages());
    }

    @Test
    void nothingAfterARequestThatClosesTheConnectionIsServed() throws Exception {
        try (var pair = connectAndSend(post("a", "Connection: close\r\n") + post("b"))) {
            assertEquals("202", pair.readStatus());
            assertTrue(pair.readsEndOfStream());
        }
        assertEquals(1, unfinishedMessages());
    }

    /**
     * Guards against a lost message: during shutdown all requests read so far are answered before the close.
     */
    @Test
    void duringShutdownAllRequestsReadSoFarAreAnswered() throws Exception {
        onEventLoop(server::closeAfterResponses);
        try (var pair = connectAndSend(post("a") + HEALTH_REQUEST + post("b"))) {
            assertEquals(List.of("202", "503", "202"), pair.readStatuses(3));
            assertTrue(pair.readsEndOfStream());
        }
    }

    /**
     * Guards against a lost message: during shutdown the rest of a partly read request is awaited and
     * answered.
     */
    @Test
    void duringShutdownAPartlyReadRequestIsAnswered() throws Exception {
        onEventLoop(server::closeAfterResponses);
        String second = post("b");
        String firstHalf = second.substring(0, second.length() / 2);
        try (var pair = connectAndSend(post("a") + firstHalf)) {
            assertEquals("202", pair.readStatus());
            pair.client.getOutputStream()
                .write(second.substring(firstHalf.length()).getBytes(StandardCharsets.US_ASCII));
            assertEquals("202", pair.readStatus());
            assertTrue(pair.readsEndOfStream());
        }
    }

    /**
     * Guards against a lost message: when the process ends, requests that are not yet decided are refused.
     */
    @Test
    void requestsNotYetDecidedWhenTheDriverStopsAreRefused() throws Exception {
        SocketPair pair = new SocketPair(server);
        pair.send(post("a") + post("b"));
        onEventLoop(() -> {
            eventLoop.register(pair.channel);
            assertTrue(pair.channel.isRegistered());
            assertTrue(SocketReader.readNow(pair.channel));
            driver.stop();
        });
        assertEquals(List.of("503", "503"), pair.readStatuses(2));
        assertEquals(0, unfinishedMessages());
        pair.close();
    }

    /**
     * Guards against a lost message: when an internal error follows a message that is not answered yet, the
     * message is withdrawn and its client receives an error response.
     */
    @Test
    void anInternalErrorAfterAMessageIsAnsweredAndWithdrawsTheMessage() throws Exception {
        try (SocketPair pair = new SocketPair(server, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addBefore(channel.pipeline().context(RequestSequencer.class).name(), null,
                    new FailsBehindARequest());
            }
        })) {
            pair.send(post("a") + post("b"));
            pair.register(eventLoop);
            assertEquals("500", pair.readStatus());
            assertTrue(pair.readsEndOfStream());
        }
        assertEquals(0, unfinishedMessages());
        onEventLoop(() -> assertTrue(driver.isIdle()));
    }

    /** Throws when a whole request has been passed on and its response is outstanding. */
    private static final class FailsBehindARequest extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            context.fireChannelRead(message);
            if (message instanceof LastHttpContent) {
                throw new IllegalStateException("exception thrown by the test");
            }
        }
    }

    /**
     * Guards against duplicate deliveries: a client that resets its connection before the response submits
     * again.
     */
    @Test
    void aMessageWhoseClientResetTheConnectionIsWithdrawn() throws Exception {
        try (SocketPair pair = new SocketPair(server)) {
            pair.send(post("a"));
            onEventLoop(() -> {
                eventLoop.register(pair.channel);
                assertTrue(SocketReader.readNow(pair.channel));
                pair.client.setSoLinger(true, 0);
                pair.client.close();
            });
            pair.channel.closeFuture().sync();
        }
        assertEquals(0, unfinishedMessages());
        onEventLoop(() -> assertTrue(driver.isIdle()));
    }

    /** Returns how many messages of the journal have not ended, once the requests read so far are decided. */
    private int unfinishedMessages() throws Exception {
        for (int iteration = 0; iteration < 10; iteration++) {
            onEventLoop(() -> { });
        }
        return eventLoop.submit(() -> journal.openEntries().size()).get();
    }
}
