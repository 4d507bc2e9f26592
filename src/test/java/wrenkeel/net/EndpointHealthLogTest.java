package wrenkeel.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import wrenkeel.Relay;

/** The log lines for changes of endpoints' health. */
class EndpointHealthLogTest {
    private final List<String> lines = new ArrayList<>();
    /** The log's clock, in nanoseconds. */
    private long nowNanos;
    private final EndpointHealthLog log = new EndpointHealthLog(() -> nowNanos, lines::add);

    /** Logs that the endpoint's health has become OUT after a failed probe. */
    private void logOut(long endpoint) {
        HostList.Host host = new HostList.Host(endpoint, "s-" + endpoint);
        log.logChange(new Relay.HealthChanged(endpoint, Relay.Health.OUT, 0, 1.5,
            Relay.HealthReason.TRIAL_FAILED, 2, 0.25), host);
    }

    @Test
    void aLineHasTheEndpointTheReasonAndTheSlowStartBudget() {
        logOut(7);
        assertEquals(List.of("endpoint s-7 of destination 0: OUT, TRIAL_FAILED; "
            + "1.50 calls a second before the outage, 2 calls in the slow start window, 0.25 allowed"),
            lines);
    }

    @Test
    void aFloodIsLimitedAndDoesNotHideLaterChanges() {
        for (int i = 0; i < 1_000; i++) {
            logOut(i);
        }
        assertTrue(lines.size() < 100, "lines: " + lines.size());
        int flood = lines.size();
        nowNanos += TimeUnit.SECONDS.toNanos(10);
        logOut(5_000);
        assertTrue(lines.get(flood).startsWith("endpoint s-5000 "), lines.get(flood));
        assertTrue(lines.get(flood + 1).startsWith((1_000 - flood) + " changes"), lines.get(flood + 1));
    }
}
