package org.kingcuproad.policy.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.kingcuproad.policy.enginegroup.GroupStanding;

/**
 * Statistics of a service and of each group of its engines.
 *
 * <p>This handles a group that stops: its interrupted streams make intervals between events look long and end many
 * requests at once, and means over all groups then refuse requests that the other groups could serve.
 */
public final class GroupedStatistics {

    private final ServiceStatistics service = new ServiceStatistics();
    private final Map<String, ServiceStatistics> byGroup = new HashMap<>();

    /** Creates statistics without any samples. */
    public GroupedStatistics() {}

    /**
     * Returns the statistics of the whole service.
     *
     * @return the statistics, which the caller updates
     */
    public ServiceStatistics service() {
        return service;
    }

    /**
     * Returns the statistics of a group, to be updated in addition to those of the service.
     *
     * @param group state of the group of the upstream, or empty if it is unknown
     * @return the statistics, or empty if the group is unknown or stopped
     */
    public Optional<ServiceStatistics> ofGroup(Optional<GroupStanding> group) {
        return group.filter(GroupStanding::takesRequests)
                .map(standing -> byGroup.computeIfAbsent(standing.name(), unused -> new ServiceStatistics()));
    }

    /**
     * Returns the statistics on which refusals are based. Those of a stopped group are discarded.
     *
     * @param groups the known groups of the service
     * @return statistics of the groups that take requests, or of the service if groups are unknown or all are stopped
     */
    public ServiceStatistics standing(List<GroupStanding> groups) {
        groups.stream()
                .filter(group -> !group.takesRequests())
                .map(GroupStanding::name)
                .forEach(byGroup::remove);
        List<ServiceStatistics> standing = groups.stream()
                .filter(GroupStanding::takesRequests)
                .map(group -> byGroup.computeIfAbsent(group.name(), unused -> new ServiceStatistics()))
                .toList();
        return standing.isEmpty() ? service : service.restrictedTo(standing);
    }
}
