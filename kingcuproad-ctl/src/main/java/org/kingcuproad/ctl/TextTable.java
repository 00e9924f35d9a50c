package org.kingcuproad.ctl;

import java.util.Arrays;
import java.util.List;

/** Lays out comma-separated lines in columns of equal width. */
final class TextTable {

    private TextTable() {}

    /**
     * Lays out lines.
     *
     * @param lines lines with the same number of comma-separated fields
     * @return the lines with padded fields
     */
    static List<String> of(List<String> lines) {
        List<String[]> rows = lines.stream().map(line -> line.split(",", -1)).toList();
        int[] widths = new int[rows.getFirst().length];
        rows.forEach(row -> Arrays.setAll(widths, column -> Math.max(widths[column], row[column].length())));
        return rows.stream().map(row -> pad(row, widths)).toList();
    }

    private static String pad(String[] row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < row.length; column++) {
            line.append(row[column]).append(" ".repeat(widths[column] - row[column].length() + 2));
        }
        return line.toString().stripTrailing();
    }
}
