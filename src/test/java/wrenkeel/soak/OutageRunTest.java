package wrenkeel.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;
import wrenkeel.KnownRed;
import wrenkeel.scale.EndpointModel.Mode;

/** Real relays against one destination that has an outage and comes back cold. */
@ExtendWith(KnownRed.class)
@Timeout(180)
class OutageRunTest {
    @TempDir
    private Path root;

    /** A repository whose relay is the classes under test. */
    private Path repository() throws Exception {
        Files.createDirectories(root.resolve("deploy"));
        Files.writeString(root.resolve("deploy/balancer.toml"), "run = \"exec sh relay.sh\"\n");
        Files.writeString(root.resolve("relay.sh"), "exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 "
            + "-Xshare:auto -Xmx64m -cp " + absoluteClassPath() + " wrenkeel.Main serve\n");
        return root;
    }

    private static String absoluteClassPath() {
        StringBuilder all = new StringBuilder();
        for (String part : System.getProperty("java.class.path").split(File.pathSeparator)) {
            all.append(all.length() == 0 ? "" : File.pathSeparator).append(Path.of(part).toAbsolutePath());
        }
        return all.toString();
    }

    @Test
    void relaysKilledInAnOutageKeepTheBudgetOfTheColdDestination() throws Exception {
        try (OutageRun run = new OutageRun(repository(),
                new OutageRun.Plan(1, 24, 16, 20, Mode.SILENT, 6_000, 1, 1_500, true, 0))) {
            OutageRun.Result result = run.play();
            System.out.println("outage run: " + result);
            assertTrue(result.worst().ratio() <= 1, result.toString());
        }
    }
}
