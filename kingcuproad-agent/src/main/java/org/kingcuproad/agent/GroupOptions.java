package org.kingcuproad.agent;

import java.util.List;
import org.kingcuproad.model.HostPort;

/**
 * The place of an agent in its model group. For the map switch, all ranks of one engine count as one.
 *
 * @param group name of the group, or an empty string for an upstream without expert maps
 * @param rank number of this agent in the group
 * @param agents addresses of all agents of the group, by their number
 */
public record GroupOptions(String group, int rank, List<HostPort> agents) {

    /**
     * Copies the list, so that the value is immutable.
     *
     * @param group name of the group, or an empty string for an upstream without expert maps
     * @param rank number of this agent in the group
     * @param agents addresses of all agents of the group, by their number
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
