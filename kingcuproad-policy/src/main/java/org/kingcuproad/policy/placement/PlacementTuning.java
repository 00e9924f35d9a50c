package org.kingcuproad.policy.placement;

/**
 * Constants of the planner that no environment document sets.
 *
 * @param moveSlowdown share by which steps take longer while weights are loaded
 * @param expertShareOfStep share of the step time that the expert layers take
 * @param pieceSeconds time that one piece may load for, in seconds
 * @param planIntervalSeconds least time between two plans, in seconds
 * @param smoothingSeconds time constant of the average over token counts, in seconds
 * @param qualifySeconds time that a load pattern must have been seen for before it counts, in seconds
 * @param minimumGain least improvement of a layer that justifies moves, as a share of the ideal time
 * @param noiseMultiple how many standard errors of the load estimate an improvement must exceed
 */
public record PlacementTuning(
        double moveSlowdown,
        double expertShareOfStep,
        int pieceSeconds,
        int planIntervalSeconds,
        int smoothingSeconds,
        int qualifySeconds,
        double minimumGain,
        double noiseMultiple) {

    private static final PlacementTuning DEFAULTS = new PlacementTuning(0.1, 0.6, 60, 60, 200, 180, 0.01, 2);

    /**
     * Returns the values used unless an experiment varies them.
     *
     * @return the defaults
     */
    public static PlacementTuning defaults() {
        return DEFAULTS;
    }

    /**
     * Returns a copy with another threshold against noise.
     *
     * @param gain least improvement of a layer that justifies moves
     * @param multiple how many standard errors an improvement must exceed
     * @return the copy
     */
    public PlacementTuning withHysteresis(double gain, double multiple) {
        return new PlacementTuning(
                moveSlowdown,
                expertShareOfStep,
                pieceSeconds,
                planIntervalSeconds,
                smoothingSeconds,
                qualifySeconds,
                gain,
                multiple);
    }
}
