package org.kingcuproad.agent;

import java.util.List;
import org.kingcuproad.model.HostPort;

/**
 * Membership of an agent in a model group. For the map switch, all ranks of one engine count as one rank.
 *
 * @param group name of the group, or an empty string for an upstream without expert maps
 * @param rank number of this agent in the group
 * @param agents addresses of all agents of the group, indexed by rank
 */
public record GroupOptions(String group, int rank, List<HostPort> agents) {

    /**
     * Copies the list defensively to keep this record immutable.
     *
     * @param group name of the group, or an empty string for an upstream without expert maps
     * @param rank number of this agent in the group
     * @param agents addresses of all agents of the group, indexed by rank
     */
    public GroupOptions {
        agents = List.copyOf(agents);
    }

    /**
     * Creates options of an upstream without expert maps.
     *
     * @return the options
     */
    public static GroupOptions none() {
        return new GroupOptions("", 0, List.of());
    }

    boolean enabled() {
        return !group.isEmpty();
    }
}
