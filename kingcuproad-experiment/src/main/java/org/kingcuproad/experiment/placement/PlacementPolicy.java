package org.kingcuproad.experiment.placement;

import java.util.Optional;
import org.kingcuproad.policy.placement.ExpertMap;
import org.kingcuproad.policy.placement.LoadSample;

/** A way to place experts, driven by the simulation. */
interface PlacementPolicy {

    /** Takes in a sample that arrived. */
    default void observe(LoadSample sample) {}

    /** Returns the next transfer; not called while one is under way. */
    default Optional<Transfer> next(ExpertMap map, long nowMs) {
        return Optional.empty();
    }

    /** Tells that the last transfer is in force. */
    default void applied() {}

    /** Returns the map for the coming interval; only the clairvoyant policy looks at the truth. */
    default ExpertMap instantMap(ExpertMap map, GroupState truth) {
        return map;
    }
}
