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

/** The handover snapshot that one process writes for the next. */
class HandoverSnapshotTest {
    private static final int HOSTS = 2_000;
    private static final long SECOND_MICROS = 1_000_000;

    /**
     * A snapshot of very many destinations must stay within the folder's limit: a relay that exceeds it
     * counts as crashed. What is left out must not be a wait that a host asked for.
     */
    @Test
    void waitsComeFirstAndTheTextStaysSmallForManyDestinations(@TempDir Path folder) throws Exception {
        String[] names = IntStream.range(0, HOSTS).mapToObj(i -> Platform.hostJson("s-" + i, 80, i, "ready"))
            .toArray(String[]::new);
        try (Platform platform = new Platform(folder)) {
            Config config = platform.writeConfig(names);
            HostList hosts = new HostList(config.zones(), config.kinds());
            hosts.load(config.savedList().open());
            Control control = new Control(1, config.settings());
            List<Relay.Event> events = new ArrayList<>();
            for (long destination = 0; destination < HOSTS; destination++) {
                events.add(new Relay.DestinationIntroduced(hosts.activate(destination).endpoints()));
            }
            long waiting = hosts.hostByName("s-1999").id;
            events.add(Relay.EndpointSnapshot.ofWait(waiting, 90 * SECOND_MICROS));
            control.turn(SECOND_MICROS, events);
            List<Relay.EndpointSnapshot> all = control.endpointSnapshots();
            assertEquals(HOSTS, all.size());
            String text = HandoverSnapshot.write(all, hosts, time -> time, 20_000);
            assertTrue(text.length() >= 20_000 && text.length() < 20_500, "characters: " + text.length());
            List<Relay.Event> read = HandoverSnapshot.read(text, hosts, hosts::hostByName, time -> time);
            assertTrue(read.size() > 50 && read.size() < HOSTS / 10);
            assertEquals(waiting, ((Relay.EndpointSnapshot) read.get(0)).endpoint());
            assertEquals(90 * SECOND_MICROS, ((Relay.EndpointSnapshot) read.get(0)).waitUntil());
        }
    }
}
