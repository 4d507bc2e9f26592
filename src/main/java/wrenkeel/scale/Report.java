package wrenkeel.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Writes the results of one run as JSON lines, each flushed immediately: a {@code header}, one {@code play}
 * for each measurement, one {@code line} (linear fit) for each value, and {@code end}. Also prints the
 * results as text tables.
 */
final class Report implements Closeable {
    private static final JsonFactory JSON = new JsonFactory();

    private final String experiment;
    private final List<Measurement> plays = new ArrayList<>();
    private final JsonGenerator json;
    private final PrintStream table;

    /**
     * Writes the JSON lines to the file of the options, if there is one, and the tables to standard output.
     */
    Report(String experiment, CommonOptions options) throws IOException {
        this(experiment, options.commandLine(), options.seed(0), options.plays(),
            options.outputFile() == null ? OutputStream.nullOutputStream()
                : Files.newOutputStream(options.outputFile()),
            System.out);
    }

    /**
     * Writes the JSON lines to {@code lines} and the tables to {@code table}; writes the header
     * immediately.
     */
    Report(String experiment, String commandLine, long seed, int plays, OutputStream lines, PrintStream table)
        throws IOException {
        this.experiment = experiment;
        this.table = table;
        json = JSON.createGenerator(lines);
        json.setRootValueSeparator(null);
        startRecord("header");
        json.writeStringField("experiment", experiment);
        json.writeStringField("command", commandLine);
        json.writeNumberField("seed", seed);
        json.writeNumberField("plays", plays);
        json.writeNumberField("load_average", loadAverage());
        json.writeNumberField("processors", Runtime.getRuntime().availableProcessors());
        json.writeStringField("java", Runtime.version().toString());
        endRecord();
    }

    /** Adds a measurement and writes it immediately, so that an aborted run leaves its results so far. */
    void add(Measurement play) throws IOException {
        plays.add(play);
        startRecord("play");
        json.writeStringField("experiment", play.experiment());
        json.writeNumberField("size", play.size());
        json.writeNumberField("play", play.play());
        json.writeNumberField("seed", play.seed());
        json.writeObjectFieldStart("values");
        for (String value : play.values().keySet()) {
            writeNumber(value, play.values().get(value));
        }
        json.writeEndObject();
        endRecord();
        table.printf("%s, size %s, play %d: %s%n", experiment, formatGrouped(play.size()), play.play() + 1,
            play.values().entrySet().stream().map(value -> value.getKey() + " " + format(value.getValue()))
                .collect(Collectors.joining(", ")));
    }

    /** Writes the linear fit of each value, extrapolated to the target size, and prints the tables. */
    void finish(long target) throws IOException {
        Set<String> values = new LinkedHashSet<>();
        plays.forEach(play -> values.addAll(play.values().keySet()));
        TextTable meansBySize = meansTable(values);
        TextTable fitTable = new TextTable("value", "at 0", "per 1,000", "r2", "at " + formatGrouped(target),
            "spread");
        for (String value : values) {
            int sizes = LinearFit.countSizes(value, plays);
            startRecord("line");
            json.writeStringField("value", value);
            if (sizes < LinearFit.MIN_SIZES) {
                json.writeStringField("refused", "measured at " + sizes + " sizes, at least "
                    + LinearFit.MIN_SIZES + " are needed");
                fitTable.addRow(value, "-", "-", "-", "-", "only " + sizes + " sizes");
            } else {
                LinearFit fit = LinearFit.fit(value, plays, target);
                writeNumber("at0", fit.at0());
                writeNumber("per_unit", fit.perUnit());
                writeNumber("r2", fit.r2());
                json.writeNumberField("target", target);
                writeNumber("at_target", fit.atTarget());
                writeNumber("spread", fit.spread());
                fitTable.addRow(value, format(fit.at0()), format(fit.perUnit() * 1_000), format(fit.r2()),
                    format(fit.atTarget()), format(fit.spread()));
            }
            endRecord();
        }
        startRecord("end");
        json.writeNumberField("load_average", loadAverage());
        endRecord();
        table.println();
        table.println("Means over the plays of each size:");
        meansBySize.print(table);
        table.println();
        table.println("Linear fits (least squares) over all plays:");
        fitTable.print(table);
    }

    private TextTable meansTable(Set<String> values) {
        List<String> header = new ArrayList<>(List.of("size", "plays"));
        header.addAll(values);
        TextTable means = new TextTable(header.toArray(String[]::new));
        Set<Long> sizes = new TreeSet<>();
        plays.forEach(play -> sizes.add(play.size()));
        for (long size : sizes) {
            List<Measurement> same = plays.stream().filter(play -> play.size() == size).toList();
            List<String> row = new ArrayList<>(List.of(formatGrouped(size), String.valueOf(same.size())));
            for (String value : values) {
                row.add(same.stream().filter(play -> play.values().containsKey(value))
                    .mapToDouble(play -> play.values().get(value)).average().stream()
                    .mapToObj(Report::format).findFirst().orElse("-"));
            }
            means.addRow(row.toArray(String[]::new));
        }
        return means;
    }

    private static String formatGrouped(long number) {
        return String.format(Locale.ROOT, "%,d", number);
    }

    /** Formats a number with three to five significant digits, or as an integer from 1,000 on. */
    private static String format(double value) {
        double size = Math.abs(value);
        boolean small = size < 0.1 && size > 0;
        String form = size >= 1_000 ? "%,.0f" : size >= 10 ? "%.1f" : small ? "%.2e" : "%.3f";
        return String.format(Locale.ROOT, form, value);
    }

    private static double loadAverage() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    private void startRecord(String kind) throws IOException {
        json.writeStartObject();
        json.writeStringField("kind", kind);
    }

    /**
     * Writes a number rounded to six significant digits, which keeps stored result files small; not finite:
     * null.
     */
    private void writeNumber(String name, double value) throws IOException {
        json.writeFieldName(name);
        if (Double.isFinite(value)) {
            json.writeNumber(Double.parseDouble(String.format(Locale.ROOT, "%.6g", value)));
        } else {
            json.writeNull();
        }
    }

    private void endRecord() throws IOException {
        json.writeEndObject();
        json.writeRaw('\n');
        json.flush();
    }

    @Override
    public void close() throws IOException {
        json.close();
    }
}
