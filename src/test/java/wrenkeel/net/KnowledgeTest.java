package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.*;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenkeel.Control;
import wrenkeel.Relay;

/** What one process leaves for the next. */
class KnowledgeTest {
    private static final int HOSTS = 2_000;
    private static final long SECOND = 1_000_000;

    /** Guards the folder's limit, beyond which the relay has crashed, and the rule on waits inside it. */
    @Test
    void ofVeryManyPlacesTheWaitsAreLeftFirstAndTheTextStaysSmall(@TempDir Path folder) throws Exception {
        String[] names = IntStream.range(0, HOSTS).mapToObj(i -> Platform.host("s-" + i, 80, i, "ready"))
            .toArray(String[]::new);
        try (Platform platform = new Platform(folder)) {
            Config config = platform.config(names);
            HostList hosts = new HostList(config.zones(), config.kinds());
            hosts.load(config.known().open());
            Control control = new Control(1, config.settings());
            List<Relay.Event> events = new ArrayList<>();
            for (long d = 0; d < HOSTS; d++) {
                events.add(new Relay.Introduced(hosts.activate(d).endpoints()));
            }
            long waiting = hosts.hostByName("s-1999").id;
            events.add(Relay.Known.waiting(waiting, 90 * SECOND));
            control.turn(SECOND, events);
            List<Relay.Known> all = control.knowledge();
            assertEquals(HOSTS, all.size());
            String text = Knowledge.write(all, hosts, time -> time, 20_000);
            assertTrue(text.length() >= 20_000 && text.length() < 20_500, "characters: " + text.length());
            List<Relay.Event> read = Knowledge.read(text, hosts, hosts::hostByName, time -> time);
            assertTrue(read.size() > 50 && read.size() < HOSTS / 10);
            assertEquals(waiting, ((Relay.Known) read.get(0)).endpoint());
            assertEquals(90 * SECOND, ((Relay.Known) read.get(0)).waitUntil());
        }
    }
}
