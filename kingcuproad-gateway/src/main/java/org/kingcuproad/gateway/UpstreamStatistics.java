package org.kingcuproad.gateway;

import java.util.List;
import java.util.Optional;
import org.kingcuproad.policy.enginegroup.GroupStanding;
import org.kingcuproad.policy.gateway.GroupedStatistics;
import org.kingcuproad.policy.gateway.ServiceStatistics;

/** Records the progress of the upstreams of one service, for the service and for their groups. */
final class UpstreamStatistics {

    private final Gateway gateway;
    private final UpstreamPool upstreams;
    private final GroupedStatistics statistics = new GroupedStatistics();

    UpstreamStatistics(Gateway gateway, UpstreamPool upstreams) {
        this.gateway = gateway;
        this.upstreams = upstreams;
    }

    /** Returns the statistics of the whole service. */
    ServiceStatistics service() {
        return statistics.service();
    }

    /**
     * Returns the statistics on which refusals are based: those of the groups that take requests, or those of the whole
     * service unless the groups of all its usable upstreams are known.
     */
    ServiceStatistics standing(long nowMs) {
        List<Optional<GroupStanding>> groups = upstreams.list().stream()
                .filter(Upstream::usable)
                .map(upstream -> standing(upstream, nowMs))
                .distinct()
                .toList();
        return groups.contains(Optional.<GroupStanding>empty())
                ? service()
                : statistics.standing(groups.stream().flatMap(Optional::stream).toList());
    }

    void onResponseStarted(Upstream upstream, double responseMs, long nowMs) {
        service().onResponseStarted(responseMs, nowMs);
        ofGroup(upstream, nowMs).ifPresent(group -> group.onResponseStarted(responseMs, nowMs));
        gateway.engineGroups().onProgress(upstream.entry().host(), nowMs);
    }

    void onEventInterval(Upstream upstream, double intervalMs) {
        service().onEventInterval(intervalMs);
        ofGroup(upstream, gateway.clock().steadyMs()).ifPresent(group -> group.onEventInterval(intervalMs));
    }

    void onEvent(Upstream upstream, long nowMs) {
        service().onEvent(nowMs);
        gateway.engineGroups().onProgress(upstream.entry().host(), nowMs);
    }

    void onSlotReleased(Upstream upstream, long nowMs) {
        service().onSlotReleased(nowMs);
        ofGroup(upstream, nowMs).ifPresent(group -> group.onSlotReleased(nowMs));
    }

    private Optional<ServiceStatistics> ofGroup(Upstream upstream, long nowMs) {
        return statistics.ofGroup(standing(upstream, nowMs));
    }

    private Optional<GroupStanding> standing(Upstream upstream, long nowMs) {
        return gateway.engineGroups().standing(upstream.entry().host(), nowMs);
    }
}
