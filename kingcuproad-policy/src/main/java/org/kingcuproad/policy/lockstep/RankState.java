package org.kingcuproad.policy.lockstep;

/**
 * What a rank says of itself.
 *
 * @param rank its number in the group
 * @param epoch number of the group's formation
 * @param open whether the group works
 * @param step last pass that was begun
 * @param mapVersion version of the map in use
 * @param preparedVersion version of the map that is ready to be used, or {@link #NONE}
 * @param armedVersion version of the map that a coming pass will use, or {@link #NONE}
 * @param heldStep pass that the rank keeps from beginning, or {@link #NONE}
 * @param reportedMs time of the report, in milliseconds
 */
public record RankState(
        int rank,
        long epoch,
        boolean open,
        long step,
        long mapVersion,
        long preparedVersion,
        long armedVersion,
        long heldStep,
        long reportedMs) {

    /** Nothing is prepared, armed or held. */
    public static final long NONE = -1;

    /**
     * Tells whether another state of the rank differs in no more than the number of passes and the time.
     *
     * @param other the other state
     * @return {@code true} if nothing is decided differently
     */
    public boolean sameSituation(RankState other) {
        return rank == other.rank
                && epoch == other.epoch
                && open == other.open
                && mapVersion == other.mapVersion
                && preparedVersion == other.preparedVersion
                && armedVersion == other.armedVersion
                && heldStep == other.heldStep;
    }

    /**
     * Returns a copy with another time of the report.
     *
     * @param otherMs time of the report, in milliseconds
     * @return the copy
     */
    public RankState withReportedMs(long otherMs) {
        return new RankState(rank, epoch, open, step, mapVersion, preparedVersion, armedVersion, heldStep, otherMs);
    }
}
