package org.kingcuproad.policy.placement;

import org.kingcuproad.model.PlacementSettings;

/**
 * Converts improvements and moves into seconds of step time, so that they can be compared.
 *
 * @param settings weights and bounds from the environment document
 * @param tuning constants of the planner
 * @param layers number of expert layers of the group
 */
record MoveEconomics(PlacementSettings settings, PlacementTuning tuning, int layers) {

    /** Returns the time that a number of expert weights takes at the weight store's rate, in seconds. */
    double loadSeconds(int moves) {
        return (double) moves * settings.expertBytes() / settings.weightStoreBytesPerSecond();
    }

    /** Returns the step time lost while a number of expert weights is loaded, in seconds. */
    double lostSeconds(int moves) {
        return loadSeconds(moves) * tuning.moveSlowdown();
    }

    /** Returns the step time that an improvement of one layer saves within a horizon, in seconds. */
    double savedSeconds(double improvement, double horizonSeconds) {
        return improvement * horizonSeconds * tuning.expertShareOfStep() / layers;
    }

    /** Returns the weighted value of moves in one layer; moves with a value of zero or less do not pay back. */
    double value(double improvement, double horizonSeconds, int moves) {
        return settings.skewWeight() * savedSeconds(improvement, horizonSeconds)
                - settings.rebalanceWeight() * lostSeconds(moves);
    }

    /** Returns the horizon within which moves must pay back if the load has been known for some time. */
    double horizonSeconds(double evidenceSeconds) {
        return Math.min(settings.paybackHorizonSeconds(), evidenceSeconds);
    }
}
