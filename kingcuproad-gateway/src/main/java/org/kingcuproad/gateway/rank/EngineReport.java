package org.kingcuproad.gateway.rank;

import java.util.Optional;
import org.kingcuproad.policy.lockstep.RankState;

/**
 * What an engine reports of itself.
 *
 * @param place its place in a group; empty if it belongs to none
 * @param step last pass that was begun
 * @param mapVersion version of the expert map in use
 * @param preparedVersion version of the map that is ready to be used, or -1
 * @param armedVersion version of the map that a coming pass will use, or -1
 * @param pace how many times longer than usual the engine takes for the same work
 * @param heldStep pass that the engine keeps from beginning, or -1
 */
public record EngineReport(
        Optional<GroupPlace> place,
        long step,
        long mapVersion,
        long preparedVersion,
        long armedVersion,
        double pace,
        long heldStep) {

    /**
     * Returns the state of the rank.
     *
     * @param nowMs time of the report, in milliseconds
     * @return the state, or empty if the engine belongs to no group
     */
    public Optional<RankState> state(long nowMs) {
        return place.map(found -> new RankState(
                found.rank(),
                found.epoch(),
                found.open(),
                step,
                mapVersion,
                preparedVersion,
                armedVersion,
                heldStep,
                nowMs));
    }

    /**
     * Place of an engine in a group.
     *
     * @param group name of the group
     * @param ranks number of ranks
     * @param rank number of the engine's rank
     * @param epoch number of the group's formation
     * @param open whether the group works
     */
    public record GroupPlace(String group, int ranks, int rank, long epoch, boolean open) {}
}
