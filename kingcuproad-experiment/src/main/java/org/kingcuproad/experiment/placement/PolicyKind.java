package org.kingcuproad.experiment.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.kingcuproad.policy.placement.ExpertMap;
import org.kingcuproad.policy.placement.PlacementPlanner;
import org.kingcuproad.policy.placement.PlacementTuning;

/** The policies that the experiment compares. */
public enum PolicyKind {

    /** The first map for good. */
    STATIC("static"),

    /** A pack from scratch every ten minutes. */
    PERIODIC("periodic"),

    /** A pack from scratch whenever the skew of the last samples exceeds a threshold. */
    THRESHOLD("threshold"),

    /** The planner with the Authority's weights. */
    PLANNER_AUTHORITY("planner-authority"),

    /** The planner with Wierzbicki's weights. */
    PLANNER_WIERZBICKI("planner-wierzbicki"),

    /** The best map found for the true load at every moment, without cost: the lower bound. */
    CLAIRVOYANT("clairvoyant");

    private static final long PERIOD_MS = 600_000;
    private static final double SKEW_THRESHOLD = 1.2;

    private final String label;

    PolicyKind(String label) {
        this.label = label;
    }

    /**
     * Returns the name on the command line.
     *
     * @return the name
     */
    public String label() {
        return label;
    }

    /**
     * Finds a policy by its name.
     *
     * @param label name on the command line
     * @return the policy, or empty if there is none of this name
     */
    public static Optional<PolicyKind> ofLabel(String label) {
        return Arrays.stream(values()).filter(kind -> kind.label.equals(label)).findFirst();
    }

    PlacementPolicy create(ExpertMap start) {
        return switch (this) {
            case STATIC -> new PlacementPolicy() {};
            case PERIODIC -> new RepackPolicy(PERIOD_MS, 0);
            case THRESHOLD -> new RepackPolicy(0, SKEW_THRESHOLD);
            case PLANNER_AUTHORITY -> planner(start, Settings.AUTHORITY_REBALANCE_WEIGHT);
            case PLANNER_WIERZBICKI -> planner(start, Settings.WIERZBICKI_REBALANCE_WEIGHT);
            case CLAIRVOYANT ->
                new PlacementPolicy() {
                    @Override
                    public ExpertMap instantMap(ExpertMap map, GroupState truth) {
                        return PlacementPlanner.bestWithoutMoveCost(map, List.of(truth.scenario()));
                    }
                };
        };
    }

    static PlacementPolicy planner(ExpertMap start, double rebalanceWeight) {
        return new PlannerPolicy(
                start, Settings.withRebalanceWeight(start.group(), rebalanceWeight), PlacementTuning.defaults());
    }
}
