package org.kingcuproad.policy.lockstep;

import java.util.Arrays;

/**
 * Estimated demand for the experts of one layer set.
 *
 * @param counts how often each expert was chosen recently
 * @param variances variance of each count, which tells how much of it may be due to single requests
 */
@SuppressWarnings("ArrayRecordComponent")
public record Demand(double[] counts, double[] variances) {

    /**
     * Returns the sum of the counts.
     *
     * @return the number of recent choices in the set
     */
    public double total() {
        return Arrays.stream(counts).sum();
    }
}
