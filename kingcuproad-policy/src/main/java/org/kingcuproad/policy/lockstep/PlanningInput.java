package org.kingcuproad.policy.lockstep;

import java.util.List;

/**
 * What the decision about a map change is based on.
 *
 * @param shape dimensions of the group
 * @param current the map in use
 * @param demand estimated demand by set
 * @param slowdowns factor by which each rank takes longer than usual for the same work
 * @param urgency how much callers gain from shorter passes, above 0 and at most 1
 * @param switchMs time from the last copy to the use of a new map, in milliseconds
 * @param lifetimeMs time that the pattern of demand is expected to last, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
public record PlanningInput(
        GroupShape shape,
        ExpertPlacement current,
        List<Demand> demand,
        double[] slowdowns,
        double urgency,
        double switchMs,
        long lifetimeMs) {

    /** Creates the input from a copy of the list. */
    public PlanningInput {
        demand = List.copyOf(demand);
    }
}
