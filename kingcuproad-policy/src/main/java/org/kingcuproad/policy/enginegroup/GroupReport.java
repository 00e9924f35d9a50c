package org.kingcuproad.policy.enginegroup;

import java.util.List;

/**
 * What the agent of a rank reports of its group.
 *
 * @param group name of the group
 * @param epoch formation number of the group
 * @param rank rank of the sender
 * @param size number of ranks
 * @param open whether the group is formed and serves requests
 * @param copying whether experts are being copied
 * @param passMs mean duration of a pass in milliseconds, 0 if unknown
 * @param members addresses of the VMs of the other ranks, as far as the sender lists them
 */
public record GroupReport(
        String group,
        long epoch,
        int rank,
        int size,
        boolean open,
        boolean copying,
        double passMs,
        List<String> members) {

    /** Number of ranks whose agents coordinate the group and list its members. */
    private static final int COORDINATING_RANKS = 2;

    /** Copies the list of members. */
    public GroupReport {
        members = List.copyOf(members);
    }

    /**
     * Returns whether the sender is one of the agents that regularly report the group.
     *
     * @return {@code true} for the first ranks
     */
    public boolean coordinating() {
        return rank < COORDINATING_RANKS;
    }
}
