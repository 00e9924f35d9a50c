package org.kingcuproad.experiment.placement;

/** The true load of a group over virtual time. */
interface LoadInput {

    /**
     * Returns the state that the first map is packed for: usual popularity and speed, without hot sets.
     *
     * @return the state
     */
    GroupState usual();

    /**
     * Returns the state at a time. Times are asked for in increasing order.
     *
     * @param timeMs virtual time, in milliseconds
     * @return the state
     */
    GroupState at(long timeMs);
}
