package org.kingcuproad.policy.mapswitch;

import net.openhft.hashing.LongHashFunction;

/**
 * The incarnations of all ranks of a group, as known to one rank. Every promise and decision belongs to one view: when
 * a rank restarts and loses its promise, the view changes and promises of the old view become invalid.
 */
public final class GroupView {

    private static final LongHashFunction HASH = LongHashFunction.xx3(5);

    private final long[] incarnations;
    private long hash;

    /**
     * Creates a view in which only the incarnation of the own rank is known; the others are zero.
     *
     * @param ranks number of ranks
     * @param rank number of the own rank
     * @param incarnation own incarnation, not zero
     */
    public GroupView(int ranks, int rank, long incarnation) {
        incarnations = new long[ranks];
        incarnations[rank] = incarnation;
        hash = hash(incarnations);
    }

    /**
     * Hashes the incarnations of all ranks.
     *
     * @param incarnations incarnation of each rank
     * @return the hash by which messages identify the view
     */
    public static long hash(long[] incarnations) {
        return HASH.hashLongs(incarnations);
    }

    int ranks() {
        return incarnations.length;
    }

    long hash() {
        return hash;
    }

    long incarnation(int rank) {
        return incarnations[rank];
    }

    void update(int rank, long incarnation) {
        incarnations[rank] = incarnation;
        hash = hash(incarnations);
    }
}
