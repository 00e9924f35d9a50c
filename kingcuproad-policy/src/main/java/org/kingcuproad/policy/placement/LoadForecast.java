package org.kingcuproad.policy.placement;

import java.util.List;

/**
 * Expected load and rank speeds that the planner plans for, with the uncertainty of the estimate.
 *
 * @param scenarios expected states of load and speed; their weights add up to 1
 * @param loadError standard error of the estimated load of an expert, as a share of the load
 * @param observedSeconds time for which the load and speeds have been observed, in seconds
 */
public record LoadForecast(List<Scenario> scenarios, double loadError, double observedSeconds) {

    /** Copies the list of scenarios, so that later changes to the argument have no effect. */
    public LoadForecast {
        scenarios = List.copyOf(scenarios);
    }

    /** Returns the expected step time with perfectly balanced load, a lower bound of the objective. */
    double minimumStepTime() {
        return scenarios.stream()
                .mapToDouble(scenario -> scenario.weight() * scenario.minimumStepTime())
                .sum();
    }

    /**
     * Finds the ranks whose speed differs from the nominal speed in at least one scenario.
     *
     * @return for each rank whether its speed differs from the nominal speed
     */
    boolean[] offNominalRanks() {
        boolean[] offNominal = new boolean[scenarios.getFirst().slowness().length];
        for (Scenario scenario : scenarios) {
            for (int rank = 0; rank < offNominal.length; rank++) {
                offNominal[rank] |= scenario.slowness()[rank] != 1.0;
            }
        }
        return offNominal;
    }
}
