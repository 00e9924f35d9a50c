package org.kingcuproad.policy.lockstep;

/**
 * What a map change is expected to bring and to cost, in time of passes.
 *
 * @param copies number of experts that ranks copy
 * @param copiesOfBusiestRank largest number of experts that one rank copies, which determines how long copying takes
 * @param maxLoadBefore load of the most loaded rank with the map in use, 1 is the mean; averaged over the sets
 * @param maxLoadAfter load of the most loaded rank with the planned map
 * @param gainMs time of passes that the planned map saves while the pattern lasts, in milliseconds
 * @param costMs time of passes that the change costs, in milliseconds
 */
public record MapChangeEstimate(
        int copies, int copiesOfBusiestRank, double maxLoadBefore, double maxLoadAfter, double gainMs, double costMs) {

    /**
     * Returns the gain less the cost.
     *
     * @return the time in milliseconds
     */
    public double netMs() {
        return gainMs - costMs;
    }
}
