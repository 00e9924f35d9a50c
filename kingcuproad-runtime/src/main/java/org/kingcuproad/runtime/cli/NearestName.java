package org.kingcuproad.runtime.cli;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the name that was probably meant by a mistyped one. */
final class NearestName {

    /** A name that differs in more than this fraction of its letters is probably not meant. */
    private static final double MAX_DIFFERENCE = 0.5;

    private NearestName() {}

    /**
     * Returns the name with the fewest differing letters.
     *
     * @param mistyped what was typed
     * @param names the existing names
     * @return the nearest name, or empty if all are far from what was typed
     */
    static Optional<String> find(String mistyped, Collection<String> names) {
        return names.stream()
                .min(Comparator.comparingInt(name -> editDistance(mistyped, name)))
                .filter(name ->
                        editDistance(mistyped, name) <= MAX_DIFFERENCE * Math.max(mistyped.length(), name.length()));
    }

    /** Returns the number of letters to insert, delete or replace to get from one name to the other. */
    private static int editDistance(String from, String to) {
        int[] previous = new int[to.length() + 1];
        for (int column = 0; column <= to.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= from.length(); row++) {
            int[] current = new int[to.length() + 1];
            current[0] = row;
            for (int column = 1; column <= to.length(); column++) {
                int replaced = previous[column - 1] + (from.charAt(row - 1) == to.charAt(column - 1) ? 0 : 1);
                current[column] = Math.min(replaced, 1 + Math.min(previous[column], current[column - 1]));
            }
            previous = current;
        }
        return previous[to.length()];
    }
}
