package org.kingcuproad.entry.coordinator;

import java.util.Optional;

/** Decides which map a group is to use next. Called on the event loop of the entry. */
public interface MapPlanSource {

    /**
     * Gives the next map. Called about ten times a second while the lease is held and no switch is under way.
     *
     * @param group name of the group
     * @return the map, or empty if the group keeps its map
     */
    Optional<MapTarget> next(String group);

    /**
     * Takes the result of the switch to the map that {@link #next} gave last.
     *
     * @param group name of the group
     * @param target the map
     * @param outcome how the switch ended
     */
    void finished(String group, MapTarget target, SwitchOutcome outcome);
}
