package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The memory that clients can make the server use for what they send, and for responses they do not read. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ReceiveBuffersTest {
    /** A third of the largest limit of file descriptors. */
    private static final int CLIENTS = 341;
    private static final int BODY_BYTES = 60_000;
    private static final int WRITTEN_BYTES = 45_000;
    /** The limit of direct memory in the run line. */
    private static final long DIRECT_MEMORY_LIMIT = 16 << 20;
    /** The limit of the heap in the run line. */
    private static final long HEAP_BYTES = 64 << 20;
    private static final String HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();

    @AfterEach
    void tearDown() throws InterruptedException {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }

    private static String partOfMessage(int writtenBytes) {
        return "GET /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
            + "x".repeat(writtenBytes);
    }

    private static long directBytes() {
        return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
            .filter(pool -> pool.getName().equals("direct")).mapToLong(BufferPoolMXBean::getMemoryUsed).sum();
    }

    /**
     * Guards against a relay that hangs: once requests of which clients have written a part use up the direct
     * memory, each read of a socket blocks the event loop for half a second.
     */
    @Test
    void halfWrittenRequestsOfAllClientsDoNotUseUpTheDirectMemory() throws Exception {
        ConnectionLimiter connections = new ConnectionLimiter(CLIENTS);
        ClientListener listener = eventLoop.submit(() -> ClientListener.open(
            new InetSocketAddress(Platform.LOOPBACK, 0), eventLoop, new Server(connections), nanos -> { },
            ListeningSockets.SYSTEM)).get();
        List<Socket> clients = new ArrayList<>();
        long before = directBytes();
        byte[] part = partOfMessage(WRITTEN_BYTES).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = new Socket(Platform.LOOPBACK, listener.address().getPort());
            clients.add(client);
            client.getOutputStream().write(part);
        }
        while (eventLoop.submit(connections::size).get() < CLIENTS) {
            Thread.onSpinWait();
        }
        // An iteration of the event loop reads all sockets that have input.
        eventLoop.submit(() -> { }).get();
        long used = directBytes() - before;
        for (Socket client : clients) {
            client.close();
        }
        eventLoop.submit(listener::close).get();
        assertTrue(used < DIRECT_MEMORY_LIMIT / 2, used + " bytes of direct memory");
    }

    /**
     * Guards the memory limit: while a process is replaced, both processes may be full of half-written
     * requests, and each has a heap of this size.
     */
    @Test
    void halfWrittenRequestsOfAllClientsTakeAtMostAnEighthOfTheHeap() {
        Server server = new Server(new ConnectionLimiter(CLIENTS), 300, Server.maxReceiveBytes(HEAP_BYTES));
        List<EmbeddedChannel> channels = new ArrayList<>();
        byte[] part = partOfMessage(WRITTEN_BYTES).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < CLIENTS; i++) {
            EmbeddedChannel channel = newChannel(server);
            channels.add(channel);
            for (int begin = 0; begin < part.length; begin += HeapBufferAllocator.MAX_READ_BYTES) {
                int length = Math.min(HeapBufferAllocator.MAX_READ_BYTES, part.length - begin);
                channel.writeInbound(channel.alloc().heapBuffer(length).writeBytes(part, begin, length));
                long used = server.receivedBytes();
                assertTrue(used <= HEAP_BYTES / 8, used + " bytes after client " + i);
            }
        }
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    }

    /**
     * Guards against a heap that incomplete requests fill: above the limit the client that has waited longest
     * gets an error, and the others can go on.
     */
    @Test
    void incompleteRequestsAboveTheLimitAreRefusedTheLongestWaitingFirst() throws Exception {
        Server server = new Server(new ConnectionLimiter(10), 300, 2 * WRITTEN_BYTES + BODY_BYTES / 2);
        List<SocketPair> pairs = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            SocketPair pair = new SocketPair(server);
            pairs.add(pair);
            pair.send(partOfMessage(WRITTEN_BYTES));
            pair.register(eventLoop);
            eventLoop.submit(() -> SocketReader.readNow(pair.channel)).get();
        }
        assertEquals("503", pairs.get(0).readStatus());
        assertTrue(pairs.get(0).readsEndOfStream());
        for (SocketPair pair : pairs.subList(1, 3)) {
            pair.client.getOutputStream().write(new byte[BODY_BYTES - WRITTEN_BYTES]);
            assertEquals("200", pair.readStatus());
        }
        for (SocketPair pair : pairs) {
            pair.close();
        }
    }

    /**
     * Guards against requests that are refused for no reason: buffers that are not released would use up the
     * limit for good.
     */
    @ParameterizedTest
    @ValueSource(strings = {"nonsense\r\n\r\n", "GET /healthz HTT", "GET /healthz HTTP/1.1\r\nHost: a\r\nX",
        "GET /healthz HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf",
        "POST /bill HTTP/1.1\r\nContent-Length: 70000\r\n\r\nhalf",
        "POST /bill HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 70000\r\n\r\nhalf",
        "GET /healthz HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\nhalf",
        "GET /healthz HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n9\r\nhalf",
        "GET /healthz HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nnonsense\r\n",
        "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\nGET /healthz HTTP/1.1\r\n\r\n",
        "GET /healthz HTTP/1.1\r\n\r\nGET /healthz HTTP/1.1\r\n\r\nGET /he",
        "GET /healthz HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nother bytes"})
    void allBuffersAreReleasedWhenAConnectionEnds(String input) throws Exception {
        for (boolean refused : new boolean[] {false, true}) {
            Server server = new Server(new ConnectionLimiter(10), 300, refused ? 0 : BODY_BYTES);
            try (SocketPair pair = new SocketPair(server)) {
                pair.send(input);
                pair.register(eventLoop);
                eventLoop.submit(() -> SocketReader.readNow(pair.channel)).get();
                pair.client.close();
                pair.channel.closeFuture().sync();
                awaitChannelInactive(pair.channel);
                assertEquals(0, ((HeapBufferAllocator) pair.channel.alloc()).usedBytes(),
                    refused ? "refused" : "incomplete");
            }
        }
    }

    /** Waits until the handlers of a closed channel are removed, which follows in later tasks. */
    private void awaitChannelInactive(Channel channel) throws Exception {
        while (eventLoop.submit(() -> channel.pipeline().get(SocketReader.class)).get() != null) {
            Thread.onSpinWait();
        }
    }

    /** Guards against a heap that tiny header fields fill: each takes far more memory than its bytes. */
    @Test
    void aRequestWithTooManyHeaderFieldsIsRejected() {
        EmbeddedChannel channel = newChannel();
        channel.writeInbound(bytes("GET /healthz HTTP/1.1\r\n" + "a:\r\n".repeat(1_000)));
        ByteBuf response = channel.readOutbound();
        assertTrue(response.toString(StandardCharsets.US_ASCII).startsWith("HTTP/1.1 400"));
        response.release();
        channel.finishAndReleaseAll();
    }

    /** Holds all that is written, as a socket does whose peer reads nothing. */
    private static final class UnreadOutput extends ChannelOutboundHandlerAdapter {
        private final List<ChannelPromise> unsent = new ArrayList<>();

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ((ByteBuf) message).release();
            unsent.add(promise);
        }
    }

    /**
     * Guards against a heap that unread responses fill: while a client does not read its response, its next
     * requests are neither answered nor decoded, and nothing more is read.
     */
    @Test
    void requestsOfAClientThatReadsNoResponsesAreNotAnswered() {
        EmbeddedChannel channel = newChannel();
        UnreadOutput output = new UnreadOutput();
        channel.pipeline().addFirst(output);
        channel.writeInbound(bytes(HEALTH_REQUEST.repeat(100)));
        channel.runPendingTasks();
        assertEquals(1, output.unsent.size());
        assertFalse(channel.config().isAutoRead());
        output.unsent.get(0).setSuccess();
        channel.runPendingTasks();
        assertEquals(2, output.unsent.size());
        channel.close();
    }

    /** Counts what is written. */
    private static final class CountedOutput extends ChannelOutboundHandlerAdapter {
        private int writes;

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            writes++;
            context.write(message, promise);
        }
    }

    /**
     * Guards against timers that many requests on one connection delay: between two of its requests the event
     * loop runs what else is due.
     */
    @Test
    void pipelinedRequestsLetDueTimersRunBetweenThem() throws Exception {
        CountedOutput output = new CountedOutput();
        CompletableFuture<Integer> writesWhenDue = new CompletableFuture<>();
        try (SocketPair pair = new SocketPair(output, new Server(new ConnectionLimiter(10)))) {
            pair.send(HEALTH_REQUEST.repeat(100));
            eventLoop.submit(() -> {
                eventLoop.register(pair.channel);
                SocketReader.readNow(pair.channel);
                eventLoop.schedule(() -> writesWhenDue.complete(output.writes), 0, TimeUnit.MILLISECONDS);
            }).get();
            int writes = writesWhenDue.get();
            assertTrue(writes <= 2, writes + " requests were answered before a timer that was due");
            assertEquals(100, pair.readStatuses(100).size());
        }
    }

    private static EmbeddedChannel newChannel() {
        return newChannel(new Server(new ConnectionLimiter(10)));
    }

    private static EmbeddedChannel newChannel(Server server) {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.pipeline().addLast(server);
        channel.pipeline().fireChannelActive();
        return channel;
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }
}
