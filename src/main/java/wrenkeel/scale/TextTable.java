package wrenkeel.scale;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Rows of text in columns, each as wide as its widest cell and set to the right. */
final class TextTable {
    private final List<String[]> rows = new ArrayList<>();
    private final int columns;

    TextTable(String... head) {
        columns = head.length;
        addRow(head);
    }

    void addRow(String... cells) {
        if (cells.length != columns) {
            throw new IllegalArgumentException(cells.length + " cells in a table of " + columns + " columns");
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
