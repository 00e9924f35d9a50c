package org.kingcuproad.policy.lockstep;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Difference between two expert maps of a group.
 *
 * <p>The map of 129 ranks and 16 sets takes 10 KB, while a change concerns a few hundred of its lists. On links of a
 * few megabits per second only the difference reaches all ranks within the seconds that a pattern of demand lasts.
 *
 * @param baseVersion version of the map to which the difference applies
 * @param changes the lists that differ
 */
public record MapDelta(long baseVersion, List<Change> changes) {

    /** Creates a delta from a copy of the list. */
    public MapDelta {
        changes = List.copyOf(changes);
    }

    /**
     * New experts of one rank in one set.
     *
     * @param set index of the set
     * @param rank number of the rank
     * @param experts all experts of the set that the rank holds, in ascending order
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Change(int set, int rank, int[] experts) {}

    /**
     * Computes the difference between two maps.
     *
     * @param baseVersion version of the base
     * @param base the map to start from
     * @param target the map to reach, with the same numbers of sets and ranks
     * @return the difference
     */
    public static MapDelta between(long baseVersion, ExpertPlacement base, ExpertPlacement target) {
        return new MapDelta(
                baseVersion,
                IntStream.range(0, target.sets())
                        .boxed()
                        .flatMap(set -> changesOfSet(base, target, set))
                        .toList());
    }

    private static Stream<Change> changesOfSet(ExpertPlacement base, ExpertPlacement target, int set) {
        return IntStream.range(0, target.ranks())
                .filter(rank -> !Arrays.equals(base.experts(set, rank), target.experts(set, rank)))
                .mapToObj(rank -> new Change(set, rank, target.experts(set, rank)));
    }

    /**
     * Applies the difference.
     *
     * @param base the map with the base version
     * @return the target
     */
    public ExpertPlacement applyTo(ExpertPlacement base) {
        int[][][] bySetAndRank =
                IntStream.range(0, base.sets()).mapToObj(base::expertsByRank).toArray(int[][][]::new);
        changes.forEach(change -> bySetAndRank[change.set()][change.rank()] = change.experts());
        return ExpertPlacement.of(bySetAndRank);
    }
}
