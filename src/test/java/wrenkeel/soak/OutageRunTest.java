package wrenkeel.soak;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;
import wrenkeel.KnownRed;
import wrenkeel.soak.OutageShape.Failure;
import wrenkeel.soak.OutageShape.QuietSpell;
import wrenkeel.soak.OutageShape.Restart;

/** Runs real relays against one destination that has an outage and returns cold. */
@ExtendWith(KnownRed.class)
@Timeout(180)
class OutageRunTest {
    @TempDir
    private Path root;

    /** Creates the part of a repository that starts a relay from the classes under test; returns its root. */
    private Path createRepository() throws Exception {
        Files.createDirectories(root.resolve("deploy"));
        Files.writeString(root.resolve("deploy/balancer.toml"), "run = \"exec sh relay.sh\"\n");
        Files.writeString(root.resolve("relay.sh"), "exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 "
            + "-Xshare:auto -Xmx64m -cp " + absoluteClassPath() + " wrenkeel.Main serve\n");
        return root;
    }

    private static String absoluteClassPath() {
        StringBuilder classPath = new StringBuilder();
        for (String part : System.getProperty("java.class.path").split(File.pathSeparator)) {
            classPath.append(classPath.length() == 0 ? "" : File.pathSeparator)
                .append(Path.of(part).toAbsolutePath());
        }
        return classPath.toString();
    }

    /**
     * All 24 relays are killed 1.5 s before the end of a 6 s outage and restarted with their state folders.
     * If the restarted relays did not recover the outage from there, they would together overload the cold
     * destination.
     */
    @Test
    void relaysKilledDuringAnOutageStayWithinTheColdStartBudget() throws Exception {
        OutageRun.Result result = run(OutageShape.steady(1, 24, 16, 20, Failure.NO_RESPONSE, 6_000)
            .with(QuietSpell.NONE, new Restart(1, -1_500)));
        assertTrue(result.worstWindow().ratio() <= 1, result.toString());
    }

    private OutageRun.Result run(OutageShape shape) throws Exception {
        try (OutageRun run = new OutageRun(createRepository(), shape)) {
            OutageRun.Result result = run.run();
            System.out.println("outage run: " + shape + ": " + result);
            return result;
        }
    }

    @Test
    void quietRelaysWhoseCallsAreCutAtTheReturnDoNotOverloadTheDestination() throws Exception {
        OutageRun.Result result = run(
            OutageShape.steady(1, 48, 8, 10, Failure.NO_RESPONSE_THEN_RESET, 6_000)
                .with(new QuietSpell(-6_000, 2_500), Restart.NONE));
        assertFalse(result.isBroken(), result.toString());
    }
}
