package org.kingcuproad.policy.lockstep;

import java.util.Arrays;

/** Number of experts that each rank may still copy in a change, over all sets. Not thread-safe. */
final class CopyBudget {

    private final int[] limits;
    private final int[] used;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param limits maximum number of copies by rank
     */
    CopyBudget(int[] limits) {
        this.limits = limits.clone();
        this.used = new int[limits.length];
    }

    void setLimit(int copiesPerRank) {
        Arrays.fill(limits, copiesPerRank);
    }

    int remaining(int rank) {
        return limits[rank] - used[rank];
    }

    void use(int rank) {
        used[rank]++;
    }

    void giveBack(int rank) {
        used[rank]--;
    }
}
