package wrenkeel.scale;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** A plain-text table with right-aligned columns, each as wide as its widest cell. */
final class TextTable {
    private final List<String[]> rows = new ArrayList<>();
    private final int columns;

    TextTable(String... header) {
        columns = header.length;
        addRow(header);
    }

    /**
     * Adds a row.
     *
     * @throws IllegalArgumentException if the number of cells differs from that of the header
     */
    void addRow(String... cells) {
        if (cells.length != columns) {
            throw new IllegalArgumentException(
                "row has " + cells.length + " cells, table has " + columns + " columns");
        }
        rows.add(cells);
    }

    void print(PrintStream out) {
        int[] widths = new int[columns];
        for (String[] row : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row[i].length());
            }
        }
        for (String[] row : rows) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                text.append("  ").append(" ".repeat(widths[i] - row[i].length())).append(row[i]);
            }
            out.println(text);
        }
    }
}
