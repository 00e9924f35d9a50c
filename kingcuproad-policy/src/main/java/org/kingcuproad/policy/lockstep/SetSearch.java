package org.kingcuproad.policy.lockstep;

import org.jspecify.annotations.Nullable;

/**
 * Search for a better assignment of one set, one adjustment at a time, that remembers the next adjustment and the best
 * assignment so far. Not thread-safe.
 */
final class SetSearch {

    private final ReplicaPlanner planner;
    private final double targetMaxLoad;
    private final double minGainPerCopy;
    private final double initialMaxLoad;
    private ReplicaPlanner.@Nullable Adjustment next;
    private double nextGainPerCopy;
    private boolean outdated;
    private double bestNetGain;
    private int[][] best;

    /**
     * Creates a search without any adjustments.
     *
     * @param planner the search for single adjustments
     * @param targetMaxLoad maximum rank load below which a reduction is of no use
     * @param minGainPerCopy minimum reduction of the maximum rank load that justifies a copy
     */
    SetSearch(ReplicaPlanner planner, double targetMaxLoad, double minGainPerCopy) {
        this.planner = planner;
        this.targetMaxLoad = targetMaxLoad;
        this.minGainPerCopy = minGainPerCopy;
        this.initialMaxLoad = planner.maxLoad();
        this.best = planner.currentAssignment();
        expectAdjustment();
    }

    /** Tells whether the next adjustment has to be looked for. */
    boolean outdated() {
        return outdated;
    }

    /** Looks for the next adjustment. */
    void update() {
        outdated = false;
        next = planner.bestAdjustment();
        ReplicaPlanner.Adjustment found = next;
        nextGainPerCopy = found == null ? 0 : planner.gainPerCopy(found);
    }

    /**
     * Returns the gain of the next adjustment for each copy, 0 if there is none that is worth its copies. While the
     * adjustment is outdated, this is an upper bound, so only the search with the highest one needs to be updated.
     */
    double gainPerCopy() {
        return nextGainPerCopy < minGainPerCopy ? 0 : nextGainPerCopy;
    }

    /** Requires a new search if the budget of a rank has been raised. */
    void onBudgetRaised() {
        expectAdjustment();
    }

    private void expectAdjustment() {
        outdated = planner.maxLoad() > targetMaxLoad;
        nextGainPerCopy = outdated ? Double.MAX_VALUE : 0;
    }

    /** Requires a new search if the next adjustment needs copies of a rank that may make no more. */
    void onBudgetUsed(CopyBudget budget) {
        ReplicaPlanner.Adjustment adjustment = next;
        outdated |= adjustment != null
                && nextGainPerCopy >= minGainPerCopy
                && (budget.remaining(adjustment.to()) <= 0
                        || (adjustment.isSwap() && budget.remaining(adjustment.from()) <= 0));
    }

    /** Applies the next adjustment. */
    void advance() {
        ReplicaPlanner.Adjustment adjustment = next;
        if (adjustment == null) {
            return;
        }
        planner.apply(adjustment);
        next = null;
        expectAdjustment();
        double netGain =
                initialMaxLoad - Math.max(targetMaxLoad, planner.maxLoad()) - minGainPerCopy * planner.countCopies();
        if (netGain > bestNetGain) {
            bestNetGain = netGain;
            best = planner.currentAssignment();
        }
    }

    /** Returns the experts by rank of the best assignment so far. */
    int[][] best() {
        return best;
    }
}
