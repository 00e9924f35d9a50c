package org.kingcuproad.policy.placement;

/** Rates an assignment of a layer against the one in force. */
interface StateValue {

    /**
     * Rates a state.
     *
     * @param improvement reduction of the expected time of the slowest rank, as a share of the ideal time
     * @param moves number of slots that change
     * @return the value; the state in force has 0
     */
    double of(double improvement, int moves);
}
