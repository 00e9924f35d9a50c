package org.kingcuproad.policy.placement;

import org.kingcuproad.model.PlacementSettings;

/**
 * Converts improvements and moves into seconds of step time, which makes gains and costs comparable.
 *
 * @param settings objective weights, payback horizon, expert size and loading rate from the environment document
 * @param tuning parameters of the planner
 * @param layers number of expert layers of the group
 */
record MoveCostModel(PlacementSettings settings, PlacementTuning tuning, int layers) {

    /** Returns the time that loading the weights for a number of moves takes at the weight store's rate, in seconds. */
    double loadSeconds(int moves) {
        return (double) moves * settings.expertBytes() / settings.weightStoreBytesPerSecond();
    }

    /** Returns the step time lost while the weights for a number of moves are loaded, in seconds. */
    double lostSeconds(int moves) {
        return loadSeconds(moves) * tuning.moveSlowdown();
    }

    /** Returns the step time that an improvement of one layer saves over a horizon, in seconds. */
    double savedSeconds(double improvement, double horizonSeconds) {
        return improvement * horizonSeconds * tuning.expertShareOfStep() / layers;
    }

    /**
     * Returns the weighted value of moves in one layer; moves with a value of zero or less do not recover their cost.
     */
    double value(double improvement, double horizonSeconds, int moves) {
        return settings.skewWeight() * savedSeconds(improvement, horizonSeconds)
                - settings.rebalanceWeight() * lostSeconds(moves);
    }

    /**
     * Returns the horizon within which moves must recover their cost: the configured one, but no longer than the load
     * has been observed.
     */
    double horizonSeconds(double observedSeconds) {
        return Math.min(settings.paybackHorizonSeconds(), observedSeconds);
    }
}
