package org.kingcuproad.entry.request;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.kingcuproad.entry.link.ReportListener;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.Upstream;
import org.kingcuproad.model.UpstreamKind;
import org.kingcuproad.policy.claim.BoundKey;
import org.kingcuproad.policy.claim.ClaimKey;
import org.kingcuproad.policy.routing.CacheEvent;
import org.kingcuproad.policy.routing.LoadReport;
import org.kingcuproad.policy.routing.NoChoiceReason;
import org.kingcuproad.policy.routing.Outcome;
import org.kingcuproad.policy.routing.PromptPrefix;
import org.kingcuproad.policy.routing.RequestFeatures;
import org.kingcuproad.policy.routing.RoutedUpstream;
import org.kingcuproad.policy.routing.RoutingDecision;
import org.kingcuproad.policy.routing.UpstreamRouter;
import org.kingcuproad.wire.proto.AgentReport;

/**
 * Chooses upstreams by load and prefix affinity. A non-idempotent service request with an idempotency key goes to the
 * agent that its key is bound to, or to the owner of its claim shard.
 */
public final class RoutingSelector implements UpstreamSelector, ReportListener {

    private final UpstreamRouter router;
    private final LongSupplier clockNs;
    private List<Upstream> upstreams = List.of();
    private String environmentName = "";
    private PromptPrefix selectedPrefix = PromptPrefix.none();

    /**
     * Creates a selector without upstreams.
     *
     * @param router the routing policy
     * @param clockNs monotonic clock, in nanoseconds
     */
    public RoutingSelector(UpstreamRouter router, LongSupplier clockNs) {
        this.router = router;
        this.clockNs = clockNs;
    }

    /**
     * Updates the upstreams from a document.
     *
     * @param document the document in force
     * @param connected upstreams that the entry connects to
     * @param nowNs current time, in nanoseconds
     */
    public void update(EnvironmentDocument document, Collection<Upstream> connected, long nowNs) {
        upstreams = List.copyOf(connected);
        environmentName = document.environment();
        List<RoutedUpstream> routedUpstreams = connected.stream()
                .map(upstream -> new RoutedUpstream(
                        upstream.name(),
                        upstream.dataCentre(),
                        routingGroup(document, upstream),
                        upstream.maxConcurrent()))
                .toList();
        router.update(routedUpstreams, toMillis(nowNs));
    }

    @Override
    public Selection select(Target target, String workspace, String idempotencyKey, Set<String> excluded, long nowNs) {
        return switch (target) {
            case Target.ModelTarget model -> {
                selectedPrefix = PromptPrefix.ofPrompt(model.prompt());
                yield route(target, workspace, excluded, nowNs);
            }
            case Target.ServiceTarget service -> {
                selectedPrefix = PromptPrefix.none();
                yield service.idempotent() || idempotencyKey.isEmpty()
                        ? route(target, workspace, excluded, nowNs)
                        : selectOwner(service, workspace, idempotencyKey, excluded);
            }
        };
    }

    @Override
    public void onDispatched(String upstream, long nowNs) {
        router.onDispatched(upstream, selectedPrefix, toMillis(nowNs));
    }

    @Override
    public void onEnded(String upstream, AttemptOutcome outcome, long startedNs, long nowNs) {
        Outcome routerOutcome = switch (outcome) {
            case COMPLETE -> Outcome.SUCCEEDED;
            case FAILED -> Outcome.FAILED;
            // A refusal indicates load or a planned shutdown, which reports carry as well; it is no fault of the
            // upstream.
            case REFUSED, CANCELLED -> Outcome.CANCELLED;
        };
        router.onFinished(upstream, routerOutcome, (nowNs - startedNs) / 1e6, toMillis(nowNs));
    }

    @Override
    public void onFirstByte(String upstream, double latencyMs, long nowNs) {
        router.onFirstToken(upstream, latencyMs, toMillis(nowNs));
    }

    @Override
    public double utilisation(String target) {
        return router.utilisation(target);
    }

    @Override
    public void onReport(String upstream, AgentReport report) {
        List<CacheEvent> events = report.getCacheEventsList().stream()
                .map(event -> new CacheEvent(event.getPrefixHash(), event.getEvicted()))
                .toList();
        LoadReport load = new LoadReport(
                report.getIncarnation(),
                report.getSequence(),
                report.getInFlight(),
                report.getQueued(),
                report.getTokensPerSecond(),
                report.getLeaving(),
                report.getLoadAgeMs(),
                events);
        router.onReport(upstream, load, toMillis(clockNs.getAsLong()));
    }

    @Override
    public void onUnreachable(String upstream, String detail) {
        router.onFailure(upstream, toMillis(clockNs.getAsLong()));
    }

    private Selection route(Target target, String workspace, Set<String> excluded, long nowNs) {
        RequestFeatures features = new RequestFeatures(target.name(), selectedPrefix, workspace, excluded);
        return switch (router.choose(features, toMillis(nowNs))) {
            case RoutingDecision.Chosen chosen ->
                new Selection.Selected(chosen.upstream(), chosen.reason().name());
            case RoutingDecision.None none when none.reason() == NoChoiceReason.SATURATED -> new Selection.Saturated();
            case RoutingDecision.None none ->
                Selection.None.unavailable(none.reason().name());
        };
    }

    /**
     * Selects the agent that a bound key names, or otherwise the owner of the claim shard of the idempotency key, so
     * that one agent sees all attempts of the caller.
     */
    private Selection selectOwner(
            Target.ServiceTarget target, String workspace, String idempotencyKey, Set<String> excluded) {
        Optional<BoundKey> bound = BoundKey.parse(idempotencyKey);
        if (bound.isPresent()) {
            String upstream = bound.get().upstream();
            // Only the agent of a bound key knows whether an earlier attempt ran.
            return excluded.contains(upstream)
                    ? new Selection.None(ErrorKind.OUTCOME_UNKNOWN, "the agent of the bound key can't be reached")
                    : new Selection.Selected(upstream, "BOUND_KEY");
        }
        List<String> candidates = upstreams.stream()
                .filter(upstream -> upstream.kind() == UpstreamKind.SERVICE)
                .filter(upstream -> upstream.group().equals(target.service()))
                .map(Upstream::name)
                .filter(upstream -> !excluded.contains(upstream))
                .toList();
        int shard = ClaimKey.of(workspace, idempotencyKey).shard();
        return ClaimKey.owner(environmentName, shard, candidates)
                .<Selection>map(upstream -> new Selection.Selected(upstream, "OWNER_OF_CLAIM_SHARD_" + shard))
                .orElseGet(() -> Selection.None.unavailable("no upstream owns the claim shard"));
    }

    /**
     * Returns the service, or the model of the group: all groups of a model can run its requests, so the router
     * balances over the model.
     */
    private static String routingGroup(EnvironmentDocument document, Upstream upstream) {
        return upstream.kind() == UpstreamKind.SERVICE
                ? upstream.group()
                : document.modelGroup(upstream.group()).map(ModelGroup::model).orElse(upstream.group());
    }

    private static long toMillis(long nowNs) {
        return TimeUnit.NANOSECONDS.toMillis(nowNs);
    }
}
