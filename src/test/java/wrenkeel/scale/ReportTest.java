package wrenkeel.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import wrenkeel.Wire;

final class ReportTest {
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final ByteArrayOutputStream table = new ByteArrayOutputStream();

    private Report report() throws IOException {
        return new Report("list", "list --seed 5", 5, 2, lines,
            new PrintStream(table, true, StandardCharsets.UTF_8));
    }

    private List<Wire.Fields> writtenRecords() throws IOException {
        List<String> all = lines.toString(StandardCharsets.UTF_8).lines().toList();
        return Wire.decodeArray("[" + String.join(",", all) + "]");
    }

    @Test
    void writesTheHeaderAndEachPlayImmediately() throws IOException {
        try (Report report = report()) {
            assertEquals("header", writtenRecords().get(0).text("kind"));
            assertEquals("list --seed 5", writtenRecords().get(0).text("command"));
            assertEquals(5, writtenRecords().get(0).longValue("seed"));
            assertEquals(2, writtenRecords().get(0).longValue("plays"));
            assertTrue(writtenRecords().get(0).longValue("processors") > 0);
            assertTrue(writtenRecords().get(0).values().keySet()
                .containsAll(List.of("load_average", "java")));
            Map<String, Double> values = new LinkedHashMap<>();
            values.put("rss_mb", 53.123456789);
            values.put("cpu_ms", Double.NaN);
            report.add(new Measurement("list", 20, 1, 6, values));
            Wire.Fields play = writtenRecords().get(1);
            assertEquals("play", play.text("kind"));
            assertEquals(20, play.longValue("size"));
            assertEquals(1, play.longValue("play"));
            assertEquals(6, play.longValue("seed"));
            assertEquals(53.1235, play.object("values").doubleValue("rss_mb"));
            assertTrue(play.object("values").values().containsKey("cpu_ms"));
        }
    }

    @Test
    void finishWritesAFitForEachValueOrTheReasonForNone() throws IOException {
        try (Report report = report()) {
            for (long size = 1; size <= 4; size++) {
                report.add(new Measurement("list", size, 0, 5, size < 4
                    ? Map.of("rss_mb", 50.0 + size, "held_ms", 9.0) : Map.of("rss_mb", 50.0 + size)));
            }
            report.finish(1_000);
        }
        List<Wire.Fields> ends = writtenRecords().subList(5, 8);
        for (Wire.Fields line : ends.subList(0, 2)) {
            assertEquals("line", line.text("kind"));
            if (line.text("value").equals("rss_mb")) {
                assertEquals(50, line.doubleValue("at0"));
                assertEquals(1, line.doubleValue("per_unit"));
                assertEquals(1_000, line.longValue("target"));
                assertEquals(1_050, line.doubleValue("at_target"));
            } else {
                assertTrue(line.text("refused").contains("3 sizes"));
            }
        }
        assertEquals("end", ends.get(2).text("kind"));
        String text = table.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains("1,050") && text.contains("only 3 sizes"), text);
    }
}
