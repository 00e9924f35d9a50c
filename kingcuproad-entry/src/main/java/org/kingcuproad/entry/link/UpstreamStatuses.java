package org.kingcuproad.entry.link;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.kingcuproad.wire.proto.AgentReport;

/** Last known status of each agent, shown to operators. Confined to the event loop of the entry. */
public final class UpstreamStatuses implements ReportListener {

    private final LongSupplier clockNs;
    private final Map<String, UpstreamStatus> statuses = new TreeMap<>();

    /**
     * Creates an empty collection.
     *
     * @param clockNs monotonic clock, in nanoseconds
     */
    public UpstreamStatuses(LongSupplier clockNs) {
        this.clockNs = clockNs;
    }

    @Override
    public void onReport(String upstream, AgentReport report) {
        UpstreamStatus status = new UpstreamStatus(
                upstream,
                report.getIncarnation(),
                report.getDocumentRevision(),
                report.getInFlight(),
                report.getLeaving(),
                "",
                clockNs.getAsLong());
        statuses.put(upstream, status);
    }

    @Override
    public void onUnreachable(String upstream, String detail) {
        UpstreamStatus last =
                statuses.getOrDefault(upstream, new UpstreamStatus(upstream, 0, 0, 0, false, "", clockNs.getAsLong()));
        statuses.put(upstream, last.withFailure(detail));
    }

    /**
     * Removes the status of agents that the entry no longer connects to.
     *
     * @param upstreams names of the upstreams to keep
     */
    public void retain(Collection<String> upstreams) {
        statuses.keySet().retainAll(upstreams);
    }

    /**
     * Returns the status of every agent.
     *
     * @return the statuses, ordered by upstream name
     */
    public Collection<UpstreamStatus> all() {
        return statuses.values();
    }
}
