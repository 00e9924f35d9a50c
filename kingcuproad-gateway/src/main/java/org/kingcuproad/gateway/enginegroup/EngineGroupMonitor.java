package org.kingcuproad.gateway.enginegroup;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.kingcuproad.gateway.ProcessMetrics;
import org.kingcuproad.policy.enginegroup.EngineGroups;
import org.kingcuproad.policy.enginegroup.GroupReport;
import org.kingcuproad.policy.enginegroup.GroupStanding;
import org.kingcuproad.runtime.log.DecisionLog;

/** Groups of engines known to a gateway; logs and counts each change of a group's status. */
public final class EngineGroupMonitor {

    private final EngineGroups groups = new EngineGroups();
    private final ProcessMetrics metrics;
    private final DecisionLog log;
    private Map<String, GroupStanding.Status> lastStatuses = Map.of();

    /**
     * Creates a monitor that knows no groups.
     *
     * @param metrics metrics of the process
     * @param log log of the process
     */
    public EngineGroupMonitor(ProcessMetrics metrics, DecisionLog log) {
        this.metrics = metrics;
        this.log = log;
    }

    /**
     * Records the report of an agent.
     *
     * @param host address of the agent's VM
     * @param report the report
     * @param nowMs current time, in milliseconds
     */
    public void onReport(String host, GroupReport report, long nowMs) {
        groups.onReport(host, report, nowMs);
        logChanges("report of rank " + report.rank() + " in epoch " + report.epoch(), nowMs);
    }

    /**
     * Records that the process of an engine has ended.
     *
     * @param host address of the engine
     * @param nowMs current time, in milliseconds
     */
    public void onRankCrashed(String host, long nowMs) {
        groups.onRankCrashed(host, nowMs);
        logChanges("crash of " + host, nowMs);
    }

    /**
     * Records that an engine answered 503 and did not run the request.
     *
     * @param host address of the engine
     * @param nowMs current time, in milliseconds
     */
    public void onRejected(String host, long nowMs) {
        groups.onRejected(host, nowMs);
        logChanges("request not run by " + host, nowMs);
    }

    /**
     * Records a response or an event of an engine.
     *
     * @param host address of the engine
     * @param nowMs current time, in milliseconds
     */
    public void onProgress(String host, long nowMs) {
        groups.onProgress(host, nowMs);
    }

    /**
     * Returns the state of an engine's group.
     *
     * @param host address of the engine
     * @param nowMs current time, in milliseconds
     * @return the state, or empty if it is not known whether the engine belongs to a group
     */
    public Optional<GroupStanding> standing(String host, long nowMs) {
        return groups.standing(host, nowMs);
    }

    /**
     * Logs the groups whose status has changed since the last call.
     *
     * @param reason what may have changed it
     * @param nowMs current time, in milliseconds
     */
    public void logChanges(String reason, long nowMs) {
        List<GroupStanding> standings = groups.standings(nowMs);
        Map<String, GroupStanding.Status> statuses =
                standings.stream().collect(Collectors.toMap(GroupStanding::name, GroupStanding::status));
        if (statuses.equals(lastStatuses)) {
            return;
        }
        Map<String, GroupStanding.Status> previous = lastStatuses;
        lastStatuses = statuses;
        standings.stream()
                .filter(standing -> standing.status() != previous.get(standing.name()))
                .forEach(standing ->
                        logStatus(standing.name(), standing.status().name().toLowerCase(Locale.ROOT), reason));
        Map<String, GroupStanding.Status> lost = new HashMap<>(previous);
        lost.keySet().removeAll(statuses.keySet());
        lost.keySet().forEach(name -> logStatus(name, "unknown", "no recent report"));
    }

    private void logStatus(String name, String status, String reason) {
        metrics.count("group_" + status);
        log.event("engine group changed")
                .field("group", name)
                .field("status", status)
                .field("reason", reason)
                .write();
    }
}
