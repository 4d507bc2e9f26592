package wrenkeel;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** How {@link KnownRed} reads its list of tests that are known to fail. */
class KnownRedTest {
    @TempDir
    Path folder;

    private Path writeList(String text) throws IOException {
        return Files.writeString(folder.resolve("list"), text);
    }

    @Test
    void testNamesAreReadUpToTheFirstColon() throws IOException {
        assertEquals(Set.of("ATest.one", "BTest.two"),
            KnownRed.read(writeList("# comment: no test\n\nATest.one: a cause, issue 1\n"
                + "BTest.two: another: with a colon\n")));
    }

    @Test
    void listOfMoreThanThreeTestsIsRejected() throws IOException {
        Path list = writeList("A.a: x\nB.b: x\nC.c: x\nD.d: x\n");
        assertThrows(IllegalStateException.class, () -> KnownRed.read(list));
    }

    @Test
    void missingListFailsTheBuild() {
        assertThrows(RuntimeException.class, () -> KnownRed.read(folder.resolve("none")));
    }
}
