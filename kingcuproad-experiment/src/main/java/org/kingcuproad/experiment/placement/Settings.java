package org.kingcuproad.experiment.placement;

import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.PlacementSettings;

/** Placement settings of the two organisations, scaled to the group. */
final class Settings {

    static final double AUTHORITY_REBALANCE_WEIGHT = 2;
    static final double WIERZBICKI_REBALANCE_WEIGHT = 4;

    private static final long EXPERT_BYTES = 44_000_000;
    private static final int HORIZON_SECONDS = 1800;

    /** Time in which the weight store delivers all slots of a group; sets the rate for groups of any size. */
    private static final int FULL_LOAD_SECONDS = 600;

    private Settings() {}

    static PlacementSettings withRebalanceWeight(ModelGroup group, double rebalanceWeight) {
        long slots = (long) group.layers() * group.ranks() * group.slotsPerRank();
        return new PlacementSettings(
                1, rebalanceWeight, HORIZON_SECONDS, slots * EXPERT_BYTES / FULL_LOAD_SECONDS, EXPERT_BYTES);
    }
}
