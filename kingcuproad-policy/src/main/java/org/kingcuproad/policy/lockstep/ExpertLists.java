package org.kingcuproad.policy.lockstep;

import java.util.Arrays;
import java.util.List;

/**
 * Which experts each rank of a group holds, as an immutable value.
 *
 * <p>A rank may hold fewer experts of a set than it has places. The ranks that hold an expert share its tokens evenly.
 */
public final class ExpertLists {

    private final int[][][] bySetAndRank;

    private ExpertLists(int[][][] bySetAndRank) {
        this.bySetAndRank = bySetAndRank;
    }

    /**
     * Creates the lists.
     *
     * @param bySetAndRank experts by set and rank
     * @return the lists
     */
    public static ExpertLists of(int[][][] bySetAndRank) {
        int[][][] copy = new int[bySetAndRank.length][][];
        Arrays.setAll(
                copy,
                set -> Arrays.stream(bySetAndRank[set])
                        .map(int[]::clone)
                        .peek(Arrays::sort)
                        .toArray(int[][]::new));
        return new ExpertLists(copy);
    }

    /**
     * Puts the lists of single ranks together.
     *
     * @param ranks for each rank its experts by set
     * @return the lists
     */
    public static ExpertLists ofRanks(List<int[][]> ranks) {
        int sets = ranks.getFirst().length;
        int[][][] bySetAndRank = new int[sets][ranks.size()][];
        for (int set = 0; set < sets; set++) {
            for (int rank = 0; rank < ranks.size(); rank++) {
                bySetAndRank[set][rank] = ranks.get(rank)[set];
            }
        }
        return of(bySetAndRank);
    }

    /**
     * Returns the number of sets.
     *
     * @return the number
     */
    public int sets() {
        return bySetAndRank.length;
    }

    /**
     * Returns the number of ranks.
     *
     * @return the number
     */
    public int ranks() {
        return bySetAndRank[0].length;
    }

    /**
     * Returns the experts of a set on one rank.
     *
     * @param set the set
     * @param rank the rank
     * @return a copy, in ascending order
     */
    public int[] experts(int set, int rank) {
        return bySetAndRank[set][rank].clone();
    }

    /**
     * Returns a copy with another assignment of one set.
     *
     * @param set the set
     * @param byRank experts of the set by rank
     * @return the new lists
     */
    public ExpertLists withSet(int set, int[][] byRank) {
        int[][][] changed = bySetAndRank.clone();
        changed[set] = byRank;
        return of(changed);
    }

    /**
     * Counts the experts that ranks would have to copy to get here.
     *
     * @param from lists to start from, of the same shape
     * @return the number of copies
     */
    public int copiesFrom(ExpertLists from) {
        int copies = 0;
        for (int set = 0; set < sets(); set++) {
            for (int rank = 0; rank < ranks(); rank++) {
                int[] old = from.bySetAndRank[set][rank];
                copies += (int) Arrays.stream(bySetAndRank[set][rank])
                        .filter(expert -> Arrays.binarySearch(old, expert) < 0)
                        .count();
            }
        }
        return copies;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ExpertLists lists && Arrays.deepEquals(bySetAndRank, lists.bySetAndRank);
    }

    @Override
    public int hashCode() {
        return Arrays.deepHashCode(bySetAndRank);
    }
}
