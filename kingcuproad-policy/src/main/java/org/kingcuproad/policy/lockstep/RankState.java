package org.kingcuproad.policy.lockstep;

/**
 * State of a rank as read from its engine.
 *
 * @param rank number of the rank in the group
 * @param epoch formation number of the group
 * @param operational whether the group is formed and working
 * @param step step number of the last pass that has begun
 * @param mapVersion version of the map in use
 * @param preparedVersion version of the map that the rank is ready to switch to, or {@link #NONE}
 * @param armedVersion version of the map that the rank will switch to at a coming pass, or {@link #NONE}
 * @param heldStep step number of the pass that the rank keeps from beginning, or {@link #NONE}
 * @param reportedMs time at which the state was reported, in milliseconds
 */
public record RankState(
        int rank,
        long epoch,
        boolean operational,
        long step,
        long mapVersion,
        long preparedVersion,
        long armedVersion,
        long heldStep,
        long reportedMs) {

    /** Marks an absent version or step: nothing is prepared, armed or held. */
    public static final long NONE = -1;

    /**
     * Compares two states without regard to the step number and the time of the report, which change with every pass.
     *
     * @param other the other state
     * @return {@code true} if all other components are equal
     */
    public boolean equalsIgnoringProgress(RankState other) {
        return rank == other.rank
                && epoch == other.epoch
                && operational == other.operational
                && mapVersion == other.mapVersion
                && preparedVersion == other.preparedVersion
                && armedVersion == other.armedVersion
                && heldStep == other.heldStep;
    }

    /**
     * Returns a copy with a different report time, such as the receiver's clock for a state from another VM.
     *
     * @param newReportedMs time of the report, in milliseconds
     * @return the copy
     */
    public RankState withReportedMs(long newReportedMs) {
        return new RankState(
                rank, epoch, operational, step, mapVersion, preparedVersion, armedVersion, heldStep, newReportedMs);
    }
}
