package org.kingcuproad.entry.request;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.kingcuproad.entry.link.ReportListener;
import org.kingcuproad.model.EnvironmentDocument;
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

/** Chooses upstreams by load and prefix affinity, and by the owner of the claim shard for orders with a key. */
public final class RouterSelector implements UpstreamSelector, ReportListener {

    private final UpstreamRouter router;
    private final LongSupplier clockNs;
    private List<Upstream> upstreams = List.of();
    private String environment = "";
    private PromptPrefix selectedPrefix = PromptPrefix.none();

    /**
     * Creates a selector without upstreams.
     *
     * @param router the routing policy
     * @param clockNs monotonic clock, in nanoseconds
     */
    public RouterSelector(UpstreamRouter router, LongSupplier clockNs) {
        this.router = router;
        this.clockNs = clockNs;
    }

    /**
     * Takes the upstreams of a document.
     *
     * @param document the document in force
     * @param connected upstreams that the entry keeps connections to
     * @param nowNs the present time, in nanoseconds
     */
    public void update(EnvironmentDocument document, Collection<Upstream> connected, long nowNs) {
        upstreams = List.copyOf(connected);
        environment = document.environment();
        List<RoutedUpstream> routed = connected.stream()
                .map(upstream -> new RoutedUpstream(
                        upstream.name(),
                        upstream.dataCentre(),
                        routingGroup(document, upstream),
                        upstream.maxConcurrent()))
                .toList();
        router.update(routed, millis(nowNs));
    }

    @Override
    public Selection select(RequestContext request, Set<String> excluded, long nowNs) {
        return switch (request.target()) {
            case Target.ModelTarget model -> route(request, PromptPrefix.ofPrompt(model.prompt()), excluded, nowNs);
            case Target.ServiceTarget service when request.keyedOrder() -> owner(request, excluded);
            case Target.ServiceTarget service -> route(request, PromptPrefix.none(), excluded, nowNs);
        };
    }

    @Override
    public void dispatched(String upstream, long nowNs) {
        router.onDispatched(upstream, selectedPrefix, millis(nowNs));
    }

    @Override
    public void ended(String upstream, AttemptOutcome outcome, long startedNs, long nowNs) {
        Outcome routed = switch (outcome) {
            case COMPLETE -> Outcome.SUCCEEDED;
            case FAILED -> Outcome.FAILED;
            // A refusal tells about load or a planned stop, which reports tell as well; it is no fault of the upstream.
            case REFUSED, CANCELLED -> Outcome.CANCELLED;
        };
        router.onFinished(upstream, routed, (nowNs - startedNs) / 1e6, millis(nowNs));
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
        router.onReport(upstream, load, millis(clockNs.getAsLong()));
    }

    @Override
    public void onUnreachable(String upstream, String detail) {
        router.onFailure(upstream, millis(clockNs.getAsLong()));
    }

    private Selection route(RequestContext request, PromptPrefix prefix, Set<String> excluded, long nowNs) {
        selectedPrefix = prefix;
        RequestFeatures features = new RequestFeatures(request.target().name(), prefix, request.workspace(), excluded);
        return switch (router.choose(features, millis(nowNs))) {
            case RoutingDecision.Chosen chosen -> new Selection.Selected(chosen.upstream());
            case RoutingDecision.None none when none.reason() == NoChoiceReason.SATURATED -> new Selection.Saturated();
            case RoutingDecision.None none -> new Selection.None();
        };
    }

    /** An order with a key goes to the owner of its claim shard, so that one agent sees all attempts of the caller. */
    private Selection owner(RequestContext request, Set<String> excluded) {
        selectedPrefix = PromptPrefix.none();
        Optional<BoundKey> bound = BoundKey.parse(request.idempotencyKey());
        if (bound.isPresent()) {
            String upstream = bound.get().upstream();
            return excluded.contains(upstream) ? new Selection.None() : new Selection.Selected(upstream);
        }
        List<String> candidates = upstreams.stream()
                .filter(upstream -> upstream.kind() == UpstreamKind.SERVICE)
                .filter(upstream -> upstream.group().equals(request.target().name()))
                .map(Upstream::name)
                .filter(upstream -> !excluded.contains(upstream))
                .toList();
        int shard = ClaimKey.of(request.workspace(), request.idempotencyKey()).shard();
        return ClaimKey.owner(environment, shard, candidates)
                .<Selection>map(Selection.Selected::new)
                .orElseGet(Selection.None::new);
    }

    /** All groups of a model can run its requests, so the router balances over the model. */
    private static String routingGroup(EnvironmentDocument document, Upstream upstream) {
        return upstream.kind() == UpstreamKind.SERVICE
                ? upstream.group()
                : document.modelGroup(upstream.group()).map(ModelGroup::model).orElse(upstream.group());
    }

    private static long millis(long nowNs) {
        return TimeUnit.NANOSECONDS.toMillis(nowNs);
    }
}
