package org.kingcuproad.policy.lockstep;

/**
 * Dimensions of a group of model-server ranks and its expert map.
 *
 * @param sets number of layer sets; the layers of a set share one assignment of experts to ranks
 * @param expertsPerSet number of experts in a set
 * @param slotsPerRank maximum number of experts of a set that a rank can hold
 * @param maxNewExpertsPerChange maximum number of experts of a set that a rank can copy in one map change
 * @param costs what the experts cost
 */
public record GroupShape(int sets, int expertsPerSet, int slotsPerRank, int maxNewExpertsPerChange, ExpertCosts costs) {

    /**
     * Creates the shape of a group whose copies are free.
     *
     * @param sets number of layer sets
     * @param expertsPerSet number of experts in a set
     * @param slotsPerRank maximum number of experts of a set that a rank can hold
     * @param maxNewExpertsPerChange maximum number of experts of a set that a rank can copy in one map change
     */
    public GroupShape(int sets, int expertsPerSet, int slotsPerRank, int maxNewExpertsPerChange) {
        this(sets, expertsPerSet, slotsPerRank, maxNewExpertsPerChange, ExpertCosts.FREE);
    }
}
