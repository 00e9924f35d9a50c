package org.kingcuproad.policy.placement;

/**
 * Parameters of the planner that environment documents cannot set.
 *
 * @param moveSlowdown share by which steps take longer while weights are being loaded
 * @param expertShareOfStep share of the step time spent in the expert layers
 * @param batchSeconds maximum loading time of one batch of moves, in seconds
 * @param planIntervalSeconds minimum time between two plans, in seconds
 * @param smoothingSeconds time constant of the moving average of load shares, in seconds
 * @param minPatternSeconds time for which a load pattern must have been observed to be planned for, in seconds; also
 *     the time constant with which the weight of an absent pattern decays
 * @param minimumImprovement smallest improvement of a layer that justifies moves, as a share of the ideal time
 * @param noiseMultiple number of standard errors of the load estimate that an improvement must exceed
 */
public record PlacementTuning(
        double moveSlowdown,
        double expertShareOfStep,
        int batchSeconds,
        int planIntervalSeconds,
        int smoothingSeconds,
        int minPatternSeconds,
        double minimumImprovement,
        double noiseMultiple) {

    private static final PlacementTuning DEFAULTS = new PlacementTuning(0.1, 0.6, 60, 60, 200, 180, 0.01, 2);

    /**
     * Returns the values used outside experiments and tests.
     *
     * @return the defaults
     */
    public static PlacementTuning defaults() {
        return DEFAULTS;
    }

    /**
     * Returns a copy with another threshold below which improvements are attributed to noise.
     *
     * @param improvement smallest improvement of a layer that justifies moves, as a share of the ideal time
     * @param multiple number of standard errors of the load estimate that an improvement must exceed
     * @return the copy
     */
    public PlacementTuning withHysteresis(double improvement, double multiple) {
        return new PlacementTuning(
                moveSlowdown,
                expertShareOfStep,
                batchSeconds,
                planIntervalSeconds,
                smoothingSeconds,
                minPatternSeconds,
                improvement,
                multiple);
    }
}
