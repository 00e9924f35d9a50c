package org.kingcuproad.policy.placement;

import java.util.List;

/**
 * What the planner expects: load patterns, speeds, and how far they can be trusted.
 *
 * @param scenarios states of load and speed; their weights add up to 1
 * @param loadError standard error of the load of an expert, as a share of it
 * @param evidenceSeconds time that the load and speeds have been seen for, in seconds
 */
public record Outlook(List<Scenario> scenarios, double loadError, double evidenceSeconds) {

    /** Copies the list, so that the value is immutable. */
    public Outlook {
        scenarios = List.copyOf(scenarios);
    }

    /** Returns the expected time of a perfect split, a lower bound of the objective. */
    double leastStepTime() {
        return scenarios.stream()
                .mapToDouble(scenario -> scenario.weight() * scenario.leastStepTime())
                .sum();
    }

    /**
     * Finds the ranks whose speed is not the usual one in some scenario.
     *
     * @return for each rank whether its speed differs
     */
    boolean[] unevenRanks() {
        boolean[] uneven = new boolean[scenarios.getFirst().slowness().length];
        for (Scenario scenario : scenarios) {
            for (int rank = 0; rank < uneven.length; rank++) {
                uneven[rank] |= scenario.slowness()[rank] != 1.0;
            }
        }
        return uneven;
    }
}
