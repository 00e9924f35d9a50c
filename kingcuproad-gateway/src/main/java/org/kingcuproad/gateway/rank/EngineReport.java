package org.kingcuproad.gateway.rank;

import java.util.Optional;
import org.kingcuproad.policy.lockstep.RankState;

/**
 * State that a model engine reports.
 *
 * @param membership its membership of a group, or empty if it belongs to none
 * @param step step number of the last pass that has begun
 * @param mapVersion version of the expert map in use
 * @param preparedVersion version of the map that the engine is ready to switch to, or -1
 * @param armedVersion version of the map that the engine will switch to at a coming pass, or -1
 * @param slowdown factor by which the engine takes longer than usual for the same work
 * @param heldStep step number of the pass that the engine keeps from beginning, or -1
 */
public record EngineReport(
        Optional<GroupMembership> membership,
        long step,
        long mapVersion,
        long preparedVersion,
        long armedVersion,
        double slowdown,
        long heldStep) {

    /**
     * Converts the report to the state of a rank.
     *
     * @param reportedMs time of the report, in milliseconds
     * @return the state, or empty if the engine belongs to no group
     */
    public Optional<RankState> state(long reportedMs) {
        return membership.map(member -> new RankState(
                member.rank(),
                member.epoch(),
                member.operational(),
                step,
                mapVersion,
                preparedVersion,
                armedVersion,
                heldStep,
                reportedMs));
    }

    /**
     * Membership of an engine in a group.
     *
     * @param group name of the group
     * @param ranks number of ranks
     * @param rank number of the engine's rank
     * @param epoch formation number of the group
     * @param operational whether the group is formed and working
     */
    public record GroupMembership(String group, int ranks, int rank, long epoch, boolean operational) {}
}
