package org.kingcuproad.policy.lockstep;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

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
     * Returns the map with which a newly formed group starts: experts are assigned to the ranks in turn.
     *
     * @param shape dimensions of the group
     * @param ranks number of ranks
     * @return the placement
     */
    public static ExpertPlacement initial(GroupShape shape, int ranks) {
        int[][] inTurn = IntStream.range(0, ranks)
                .mapToObj(rank -> IntStream.iterate(
                                rank, expert -> expert < shape.expertsPerSet(), expert -> expert + ranks)
                        .toArray())
                .toArray(int[][]::new);
        return of(IntStream.range(0, shape.sets()).mapToObj(set -> inTurn).toArray(int[][][]::new));
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
     * Returns how many ranks hold each expert of a set.
     *
     * @param set index of the set
     * @param expertsPerSet number of experts in a set
     * @return number of ranks by expert
     */
    public int[] replicas(int set, int expertsPerSet) {
        int[] replicas = new int[expertsPerSet];
        Arrays.stream(bySetAndRank[set]).flatMapToInt(Arrays::stream).forEach(expert -> replicas[expert]++);
        return replicas;
    }

    /**
     * Returns the experts of a set by rank.
     *
     * @param set index of the set
     * @return a copy; the experts of a rank are in ascending order
     */
    public int[][] expertsByRank(int set) {
        return Arrays.stream(bySetAndRank[set]).map(int[]::clone).toArray(int[][]::new);
    }

    /**
     * Counts the experts of all sets that each rank needs to copy to change from another placement to this one.
     *
     * @param from placement to start from, with the same numbers of sets and ranks
     * @return the largest number of copies of a rank
     */
    public int maxCopiesPerRankFrom(ExpertPlacement from) {
        int most = 0;
        for (int rank = 0; rank < ranks(); rank++) {
            int copies = 0;
            for (int set = 0; set < sets(); set++) {
                copies += newExperts(from, set, rank);
            }
            most = Math.max(most, copies);
        }
        return most;
    }

    private int newExperts(ExpertPlacement from, int set, int rank) {
        int[] before = from.bySetAndRank[set][rank];
        return (int) Arrays.stream(bySetAndRank[set][rank])
                .filter(expert -> Arrays.binarySearch(before, expert) < 0)
                .count();
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
        changed[set] =
                Arrays.stream(byRank).map(int[]::clone).peek(Arrays::sort).toArray(int[][]::new);
        return new ExpertPlacement(changed);
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
                copies += newExperts(from, set, rank);
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
