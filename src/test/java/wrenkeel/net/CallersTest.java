package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Who gives way when all places are taken. */
class CallersTest {
    private final Callers callers = new Callers(3);
    private final List<EmbeddedChannel> channels = IntStream.range(0, 6).mapToObj(i -> new EmbeddedChannel()).toList();

    private EmbeddedChannel connect(int i) {
        callers.connected(channels.get(i));
        callers.awaited(channels.get(i));
        return channels.get(i);
    }

    private String open() {
        return String.join("", channels.stream().map(c -> c.isOpen() ? "o" : "-").toList());
    }

    /** Guards the descriptors: of a crowd that comes at once, each must push out another one. */
    @Test
    void eachNewcomerTakesThePlaceOfAnother() {
        IntStream.range(0, 6).forEach(this::connect);
        assertEquals("---ooo", open());
        assertEquals(3, callers.size());
    }

    @Test
    void theOneThatSpokeLastStaysLongest() {
        IntStream.range(0, 3).forEach(this::connect);
        callers.heard(channels.get(0));
        connect(3);
        assertEquals("o-oooo", open());
    }

    /** Guards against a lost message: a whole request must have its answer. */
    @Test
    void oneThatAwaitsItsAnswerIsNotClosed() {
        IntStream.range(0, 3).forEach(this::connect);
        IntStream.range(0, 3).forEach(i -> callers.asked(channels.get(i)));
        connect(3);
        assertEquals("ooo-oo", open());
        callers.awaited(channels.get(1));
        connect(4);
        assertEquals("o-o-oo", open());
    }
}
