package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenkeel.Relay;
import wrenkeel.Wire;

final class TrafficExperimentTest {
    @Test
    void busiestThreadIsTheOneWithTheMostProcessorTime() {
        assertEquals(70, TrafficExperiment.busiestThreadNanos(Map.of("1", 1_000L, "2", 10L, "3", 90L),
            Map.of("1", 1_020L, "2", 50L, "4", 70L)));
    }

    @Test
    void relaySettingsContainTheRequestedLimitsAndTenants(@TempDir Path folder) throws IOException {
        RelaySettings settings = RelaySettings.typical("n1").withCalls(96, 700)
            .withTenants(List.of(new RelaySettings.Tenant("a", 40)));
        Path file = folder.resolve("config.json");
        RelayConfig.write(file, settings, new InetSocketAddress("127.0.0.1", 8500), null);
        Relay.Settings read = Wire.settings(Wire.decode(Files.readString(file)).object("settings"));
        assertEquals(96, read.limits().callSlots());
        assertEquals(700, read.limits().maxOpenMessages());
        assertEquals(List.of(new Relay.Tenant("a", 40)), read.tenants());
        assertEquals(2_300, read.relayCount());
    }

    @Test
    void submissionCountsAreCompleteOnceEachMessageHasAResult() {
        SubmissionCounts counts = new SubmissionCounts();
        int[] statuses = {200, 202, 429, 503, 504};
        for (int i = 0; i < statuses.length + 3; i++) {
            counts.recordSubmitted(2_000);
        }
        for (int status : statuses) {
            counts.recordAnswered(status, 1_000);
        }
        counts.recordTimedOut();
        counts.recordConnectionLost();
        assertEquals(false, counts.isComplete());
        counts.recordNotSent();
        assertEquals(true, counts.isComplete());
        assertEquals(List.of(2L, 2L, 1L), List.of(counts.accepted(), counts.refused(), counts.failed()));
        assertEquals(1, counts.answerMillis(50), 0.01);
        assertEquals(2, counts.submissionDelayMillis(50), 0.01);
    }
}
