package org.kingcuproad.entry.request;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.kingcuproad.entry.link.ReportListener;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.Upstream;
import org.kingcuproad.model.UpstreamKind;
import org.kingcuproad.policy.claim.BoundKey;
import org.kingcuproad.policy.membership.RendezvousHash;
import org.kingcuproad.policy.routing.CacheEvent;
import org.kingcuproad.policy.routing.LoadReport;
import org.kingcuproad.policy.routing.Outcome;
import org.kingcuproad.policy.routing.PromptPrefix;
import org.kingcuproad.policy.routing.RequestFeatures;
import org.kingcuproad.policy.routing.RoutedUpstream;
import org.kingcuproad.policy.routing.RoutingDecision;
import org.kingcuproad.policy.routing.UpstreamRouter;
import org.kingcuproad.wire.proto.AgentReport;

/** Chooses upstreams by load and prefix affinity, and by the owner of the claim shard for orders with a key. */
public final class RouterSelector implements UpstreamSelector, ReportListener {

    private static final int CLAIM_SHARDS = 16;

    private final UpstreamRouter router;
    private final LongSupplier clockNs;
    private List<Upstream> upstreams = List.of();
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
    public Optional<String> select(Target target, String idempotencyKey, Set<String> excluded, long nowNs) {
        return switch (target) {
            case Target.ModelTarget model ->
                route(model.model().name(), PromptPrefix.ofPrompt(model.prompt()), excluded, nowNs);
            case Target.ServiceTarget service -> {
                if (service.idempotent() || idempotencyKey.isEmpty()) {
                    yield route(service.service(), PromptPrefix.none(), excluded, nowNs);
                }
                yield owner(service.service(), idempotencyKey, excluded);
            }
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
            case REFUSED, FAILED -> Outcome.FAILED;
            case CANCELLED -> Outcome.CANCELLED;
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

    private Optional<String> route(String group, PromptPrefix prefix, Set<String> excluded, long nowNs) {
        selectedPrefix = prefix;
        RequestFeatures features = new RequestFeatures(group, prefix, "", excluded);
        return switch (router.choose(features, millis(nowNs))) {
            case RoutingDecision.Chosen chosen -> Optional.of(chosen.upstream());
            case RoutingDecision.None none -> Optional.empty();
        };
    }

    private Optional<String> owner(String service, String key, Set<String> excluded) {
        selectedPrefix = PromptPrefix.none();
        Optional<BoundKey> bound = BoundKey.parse(key);
        if (bound.isPresent()) {
            return bound.map(BoundKey::upstream).filter(upstream -> !excluded.contains(upstream));
        }
        Set<String> candidates = upstreams.stream()
                .filter(upstream -> upstream.kind() == UpstreamKind.SERVICE)
                .filter(upstream -> upstream.group().equals(service))
                .map(Upstream::name)
                .collect(Collectors.toSet());
        String shard = "claim-shard-" + Math.floorMod(key.hashCode(), CLAIM_SHARDS);
        return RendezvousHash.rank(shard, candidates).stream()
                .filter(upstream -> !excluded.contains(upstream))
                .findFirst();
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
