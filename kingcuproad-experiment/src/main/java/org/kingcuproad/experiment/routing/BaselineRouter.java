package org.kingcuproad.experiment.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.kingcuproad.policy.routing.ChoiceReason;
import org.kingcuproad.policy.routing.LoadReport;
import org.kingcuproad.policy.routing.NoChoiceReason;
import org.kingcuproad.policy.routing.Outcome;
import org.kingcuproad.policy.routing.PromptPrefix;
import org.kingcuproad.policy.routing.RequestFeatures;
import org.kingcuproad.policy.routing.RoutedUpstream;
import org.kingcuproad.policy.routing.RoutingDecision;
import org.kingcuproad.policy.routing.UpstreamRouter;

/** A router to compare with: it neither ejects upstreams nor corrects reports. */
final class BaselineRouter implements UpstreamRouter {

    private final BaselineSelector selector;
    private final Map<String, Integer> reportedLoads = new HashMap<>();
    private List<RoutedUpstream> upstreams = List.of();

    BaselineRouter(BaselineSelector selector) {
        this.selector = selector;
    }

    @Override
    public void update(Collection<RoutedUpstream> changed, long nowMs) {
        upstreams = List.copyOf(changed);
    }

    @Override
    public boolean onReport(String upstream, LoadReport report, long nowMs) {
        reportedLoads.put(upstream, report.inFlight() + report.queued());
        return true;
    }

    @Override
    public RoutingDecision choose(RequestFeatures request, long nowMs) {
        List<RoutedUpstream> candidates = upstreams.stream()
                .filter(upstream -> !request.excludedUpstreams().contains(upstream.name()))
                .toList();
        if (candidates.isEmpty()) {
            return new RoutingDecision.None(NoChoiceReason.ALL_EXCLUDED);
        }
        RoutedUpstream selected = selector.select(candidates, request.prefix(), reportedLoads);
        int load = reportedLoads.getOrDefault(selected.name(), 0);
        return new RoutingDecision.Chosen(selected.name(), ChoiceReason.BETTER_OF_TWO, load, 0, 0);
    }

    @Override
    public double utilisation(String group) {
        return 0;
    }

    @Override
    public void onDispatched(String upstream, PromptPrefix prefix, long nowMs) {}

    @Override
    public void onFirstToken(String upstream, double latencyMs, long nowMs) {}

    @Override
    public void onFinished(String upstream, Outcome outcome, double latencyMs, long nowMs) {}

    @Override
    public void onFailure(String upstream, long nowMs) {}
}
