package org.kingcuproad.policy.lockstep;

import java.util.Arrays;
import java.util.List;

/**
 * Immutable assignment of the experts of each layer set to the ranks of a group: the content of an expert map.
 *
 * <p>A rank may hold fewer experts of a set than it has slots. The ranks that hold an expert share its tokens evenly.
 */
public final class ExpertPlacement {

    private final int[][][] bySetAndRank;

    private ExpertPlacement(int[][][] bySetAndRank) {
        this.bySetAndRank = bySetAndRank;
    }

    /**
     * Creates a placement from a copy of the given arrays.
     *
     * @param bySetAndRank experts by set and rank, in any order
     * @return the placement
     */
    public static ExpertPlacement of(int[][][] bySetAndRank) {
        int[][][] copy = new int[bySetAndRank.length][][];
        Arrays.setAll(
                copy,
                set -> Arrays.stream(bySetAndRank[set])
                        .map(int[]::clone)
                        .peek(Arrays::sort)
                        .toArray(int[][]::new));
        return new ExpertPlacement(copy);
    }

    /**
     * Combines the experts that the single ranks report.
     *
     * @param ranks for each rank its experts by set
     * @return the placement
     */
    public static ExpertPlacement ofRanks(List<int[][]> ranks) {
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
     * Returns the number of layer sets.
     *
     * @return the number of sets
     */
    public int sets() {
        return bySetAndRank.length;
    }

    /**
     * Returns the number of ranks in the group.
     *
     * @return the number of ranks
     */
    public int ranks() {
        return bySetAndRank[0].length;
    }

    /**
     * Returns the experts of a set that a rank holds.
     *
     * @param set index of the set
     * @param rank number of the rank
     * @return a copy, in ascending order
     */
    public int[] experts(int set, int rank) {
        return bySetAndRank[set][rank].clone();
    }

    /**
     * Returns a copy in which one set is assigned differently.
     *
     * @param set index of the set
     * @param byRank experts of the set by rank
     * @return the new placement
     */
    public ExpertPlacement withSet(int set, int[][] byRank) {
        int[][][] changed = bySetAndRank.clone();
        changed[set] = byRank;
        return of(changed);
    }

    /**
     * Counts the copies of experts that ranks need to make to change from another placement to this one.
     *
     * @param from placement to start from, with the same numbers of sets and ranks
     * @return the number of copies
     */
    public int copiesFrom(ExpertPlacement from) {
        int copies = 0;
        for (int set = 0; set < sets(); set++) {
            for (int rank = 0; rank < ranks(); rank++) {
                int[] before = from.bySetAndRank[set][rank];
                copies += (int) Arrays.stream(bySetAndRank[set][rank])
                        .filter(expert -> Arrays.binarySearch(before, expert) < 0)
                        .count();
            }
        }
        return copies;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ExpertPlacement placement && Arrays.deepEquals(bySetAndRank, placement.bySetAndRank);
    }

    @Override
    public int hashCode() {
        return Arrays.deepHashCode(bySetAndRank);
    }
}
