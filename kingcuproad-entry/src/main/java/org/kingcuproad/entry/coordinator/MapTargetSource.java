package org.kingcuproad.entry.coordinator;

import java.util.Optional;

/** Supplies the map that a group switches to next. Called on the event loop of the entry. */
public interface MapTargetSource {

    /**
     * Returns the next map. Called about ten times per second while the lease is held and no switch is in progress.
     *
     * @param group name of the group
     * @return the map, or empty if the group keeps its map
     */
    Optional<MapTarget> next(String group);

    /**
     * Handles the result of the switch to the map that {@link #next} returned last.
     *
     * @param group name of the group
     * @param target the map
     * @param outcome result of the switch
     */
    void onSwitchFinished(String group, MapTarget target, SwitchOutcome outcome);
}
