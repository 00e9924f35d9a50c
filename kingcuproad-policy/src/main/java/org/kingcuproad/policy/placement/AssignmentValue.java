package org.kingcuproad.policy.placement;

/** Computes the value of changing a layer from the assignment in force to another one. */
interface AssignmentValue {

    /**
     * Computes the value of an assignment.
     *
     * @param improvement reduction of the expected time of the slowest rank, as a share of the ideal time
     * @param moves number of slots whose expert changes
     * @return the value; positive if the assignment is better than the one in force
     */
    double compute(double improvement, int moves);
}
