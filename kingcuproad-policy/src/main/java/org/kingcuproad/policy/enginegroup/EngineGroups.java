package org.kingcuproad.policy.enginegroup;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The lock-step groups of a service's engines as one gateway knows them. Engines are identified by the address of their
 * VM, since agents know no ids of upstreams. Information that was not repeated recently is not used, so that a gateway
 * without reports behaves as if there were no groups.
 */
public final class EngineGroups {

    private final Map<String, Membership> memberships = new HashMap<>();
    private final Map<String, EngineGroup> groups = new HashMap<>();

    private record Membership(String group, long reportedMs) {}

    /** Creates an object without any groups. */
    public EngineGroups() {}

    /**
     * Records the report of an agent.
     *
     * @param host address of the agent's VM
     * @param report the report
     * @param nowMs current time, in milliseconds
     */
    public void onReport(String host, GroupReport report, long nowMs) {
        groups.computeIfAbsent(report.group(), EngineGroup::new).onReport(report, nowMs);
        Membership membership = new Membership(report.group(), nowMs);
        memberships.put(host, membership);
        report.members().forEach(member -> memberships.put(member, membership));
    }

    /**
     * Records that the process of an engine has ended.
     *
     * @param host address of the engine
     * @param nowMs current time, in milliseconds
     */
    public void onRankCrashed(String host, long nowMs) {
        group(host, nowMs).ifPresent(group -> group.onRankCrashed(nowMs));
    }

    /**
     * Records that an engine answered 503 and did not run the request.
     *
     * @param host address of the engine
     * @param nowMs current time, in milliseconds
     */
    public void onRejected(String host, long nowMs) {
        group(host, nowMs).ifPresent(group -> group.onRejected(host, nowMs));
    }

    /**
     * Records a response or an event of an engine.
     *
     * @param host address of the engine
     * @param nowMs current time, in milliseconds
     */
    public void onProgress(String host, long nowMs) {
        group(host, nowMs).ifPresent(EngineGroup::onProgress);
    }

    /**
     * Returns the state of an engine's group.
     *
     * @param host address of the engine
     * @param nowMs current time, in milliseconds
     * @return the state, or empty if it is not known whether the engine belongs to a group
     */
    public Optional<GroupStanding> standing(String host, long nowMs) {
        return group(host, nowMs).flatMap(group -> group.standing(nowMs));
    }

    /**
     * Returns the states of all groups of which there are recent reports, after removing outdated memberships.
     *
     * @param nowMs current time, in milliseconds
     * @return the states
     */
    public List<GroupStanding> standings(long nowMs) {
        memberships.values().removeIf(membership -> outdated(membership, nowMs));
        return groups.values().stream()
                .flatMap(group -> group.standing(nowMs).stream())
                .toList();
    }

    private Optional<EngineGroup> group(String host, long nowMs) {
        return Optional.ofNullable(memberships.get(host))
                .filter(membership -> !outdated(membership, nowMs))
                .flatMap(membership -> Optional.of(Objects.requireNonNull(groups.get(membership.group))));
    }

    private static boolean outdated(Membership membership, long nowMs) {
        return nowMs - membership.reportedMs > EngineGroup.MAX_REPORT_AGE_MS;
    }
}
