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
 * The results of one run. As JSON lines, each written at once: {@code header}, one {@code play} a
 * measurement, one {@code line} a value, {@code end}. At the end also a table to read.
 */
final class Report implements Closeable {
    private static final JsonFactory JSON = new JsonFactory();

    private final String experiment;
    private final List<Measurement> plays = new ArrayList<>();
    private final JsonGenerator out;
    private final PrintStream table;

    /** Writes to the file that the options name, if any, and the table to standard output. */
    Report(String experiment, CommonOptions options) throws IOException {
        this(experiment, options.commandLine(), options.seed(0), options.plays(),
            options.out() == null ? OutputStream.nullOutputStream() : Files.newOutputStream(options.out()),
            System.out);
    }

    Report(String experiment, String commandLine, long seed, int plays, OutputStream lines, PrintStream table)
        throws IOException {
        this.experiment = experiment;
        this.table = table;
        out = JSON.createGenerator(lines);
        out.setRootValueSeparator(null);
        head("header");
        out.writeStringField("experiment", experiment);
        out.writeStringField("command", commandLine);
        out.writeNumberField("seed", seed);
        out.writeNumberField("plays", plays);
        out.writeNumberField("load_average", load());
        out.writeNumberField("processors", Runtime.getRuntime().availableProcessors());
        out.writeStringField("java", Runtime.version().toString());
        endLine();
    }

    /** Keeps a measurement, and writes it at once, so that a run cut short leaves what it had. */
    void add(Measurement play) throws IOException {
        plays.add(play);
        head("play");
        out.writeStringField("experiment", play.experiment());
        out.writeNumberField("size", play.size());
        out.writeNumberField("play", play.play());
        out.writeNumberField("seed", play.seed());
        out.writeObjectFieldStart("values");
        for (String value : play.values().keySet()) {
            number(value, play.values().get(value));
        }
        out.writeEndObject();
        endLine();
        table.printf("%s, size %s, play %d: %s%n", experiment, grouped(play.size()), play.play() + 1,
            play.values().entrySet().stream().map(value -> value.getKey() + " " + figure(value.getValue()))
                .collect(Collectors.joining(", ")));
    }

    /** Writes the line through each value, carried to the target, and prints the table. */
    void finish(long target) throws IOException {
        Set<String> values = new LinkedHashSet<>();
        plays.forEach(play -> values.addAll(play.values().keySet()));
        TextTable means = means(values);
        TextTable lines = new TextTable("value", "at 0", "per 1,000", "r2", "at " + grouped(target),
            "spread");
        for (String value : values) {
            int sizes = Line.sizes(value, plays);
            head("line");
            out.writeStringField("value", value);
            if (sizes < Line.SIZES_LEAST) {
                out.writeStringField("refused", "measured at " + sizes + " sizes, at least "
                    + Line.SIZES_LEAST + " are needed");
                lines.row(value, "-", "-", "-", "-", "only " + sizes + " sizes");
            } else {
                Line line = Line.fit(value, plays, target);
                number("at0", line.at0());
                number("per_unit", line.perUnit());
                number("r2", line.r2());
                out.writeNumberField("target", target);
                number("at_target", line.atTarget());
                number("spread", line.spread());
                lines.row(value, figure(line.at0()), figure(line.perUnit() * 1_000), figure(line.r2()),
                    figure(line.atTarget()), figure(line.spread()));
            }
            endLine();
        }
        head("end");
        out.writeNumberField("load_average", load());
        endLine();
        table.println();
        table.println("Means over the plays of each size:");
        means.print(table);
        table.println();
        table.println("Lines by least squares over all plays:");
        lines.print(table);
    }

    private TextTable means(Set<String> values) {
        List<String> head = new ArrayList<>(List.of("size", "plays"));
        head.addAll(values);
        TextTable means = new TextTable(head.toArray(String[]::new));
        Set<Long> sizes = new TreeSet<>();
        plays.forEach(play -> sizes.add(play.size()));
        for (long size : sizes) {
            List<Measurement> same = plays.stream().filter(play -> play.size() == size).toList();
            List<String> row = new ArrayList<>(List.of(grouped(size), String.valueOf(same.size())));
            for (String value : values) {
                row.add(same.stream().filter(play -> play.values().containsKey(value))
                    .mapToDouble(play -> play.values().get(value)).average().stream()
                    .mapToObj(Report::figure).findFirst().orElse("-"));
            }
            means.row(row.toArray(String[]::new));
        }
        return means;
    }

    private static String grouped(long number) {
        return String.format(Locale.ROOT, "%,d", number);
    }

    /** About four digits. */
    private static String figure(double value) {
        double size = Math.abs(value);
        boolean small = size < 0.1 && size > 0;
        String form = size >= 1_000 ? "%,.0f" : size >= 10 ? "%.1f" : small ? "%.2e" : "%.3f";
        return String.format(Locale.ROOT, form, value);
    }

    private static double load() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    private void head(String kind) throws IOException {
        out.writeStartObject();
        out.writeStringField("kind", kind);
    }

    /** Rounded to six digits: the files are kept. */
    private void number(String name, double value) throws IOException {
        out.writeFieldName(name);
        if (Double.isFinite(value)) {
            out.writeNumber(Double.parseDouble(String.format(Locale.ROOT, "%.6g", value)));
        } else {
            out.writeNull();
        }
    }

    private void endLine() throws IOException {
        out.writeEndObject();
        out.writeRaw('\n');
        out.flush();
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
