package org.kingcuproad.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.kingcuproad.policy.enginegroup.GroupStanding;
import org.kingcuproad.policy.gateway.LeastCostSelector;
import org.kingcuproad.policy.gateway.UpstreamAvailability;
import org.kingcuproad.policy.gateway.UpstreamCandidate;

/** Selects the upstream of a service to which a request is sent. */
final class UpstreamSelector {

    private final Gateway gateway;
    private int rotation;
    private double coldPerSecond;

    UpstreamSelector(Gateway gateway) {
        this.gateway = gateway;
    }

    /** Sets the requests a second that a cold upstream of the service tolerates from all gateways; 0 for no limit. */
    void setColdPerSecond(double newColdPerSecond) {
        coldPerSecond = newColdPerSecond;
    }

    /**
     * Selects an upstream that has capacity and to which the request may be sent.
     *
     * @param engine whether the upstreams are model engines
     * @return the index of the upstream, or empty if none can take the request now
     */
    OptionalInt select(List<Upstream> upstreams, Exchange exchange, boolean engine, long nowMs) {
        double limitShare = gateway.peerLoads().reportingShare(nowMs);
        double coldIntervalMs = gateway.settings()
                .coldRateBound()
                .intervalMs(
                        coldPerSecond,
                        gateway.peerLoads().largestCount() + 1,
                        gateway.peerLoads().complete());
        List<UpstreamCandidate> candidates = upstreams.stream()
                .map(upstream -> candidate(upstream, exchange, limitShare, coldIntervalMs, nowMs))
                .toList();
        return LeastCostSelector.select(candidates, engine, rotation++);
    }

    /** Returns whether a request for which a connection has been opened may still be sent on it. */
    boolean mayWrite(Upstream upstream, long nowMs) {
        return upstream.usable() && takesRequests(group(upstream, nowMs));
    }

    private Optional<GroupStanding> group(Upstream upstream, long nowMs) {
        return gateway.engineGroups().standing(upstream.entry().host(), nowMs);
    }

    private static boolean takesRequests(Optional<GroupStanding> group) {
        return group.map(GroupStanding::takesRequests).orElse(true);
    }

    private UpstreamCandidate candidate(
            Upstream upstream, Exchange exchange, double limitShare, double coldIntervalMs, long nowMs) {
        boolean available = switch (upstream.availability(limitShare, coldIntervalMs, nowMs)) {
            case UpstreamAvailability.Available yes -> true;
            case UpstreamAvailability.Unavailable no -> {
                if (no.reason() == UpstreamAvailability.Reason.COLD) {
                    gateway.metrics().count("cold_upstreams_passed_over");
                }
                yield false;
            }
        };
        Optional<GroupStanding> group = group(upstream, nowMs);
        boolean admitted = available
                && takesRequests(group)
                && exchange.admits(upstream.entry().id());
        PeerLoads.Load peers = gateway.peerLoads().at(upstream.entry().id(), nowMs);
        int limit = limit(upstream, peers, coldIntervalMs > 0, nowMs);
        return new UpstreamCandidate(
                upstream.inFlight() + peers.inFlight(),
                group.map(standing -> standing.rampedLimit(limit)).orElse(limit),
                upstream.pendingPrefillTokens() + peers.pendingPrefillTokens(),
                upstream.health().latencyMs(),
                upstream.health().failureRate(),
                upstream.slowdownAt(nowMs),
                upstream.entry().dataCentre().equals(gateway.settings().dataCentre()),
                admitted,
                group);
    }

    /**
     * Each gateway may always have some requests at an upstream, whatever its slots. One that returns gets fewer, since
     * it is empty and would be selected for all new requests of all gateways.
     */
    private int limit(Upstream upstream, PeerLoads.Load peers, boolean limitedWhileCold, long nowMs) {
        int slots = upstream.entry().slots();
        int usableSlots = upstream.usableSlots(limitedWhileCold, nowMs);
        int limit = gateway.peerLoads().limit(slots, upstream.inFlight(), peers, nowMs);
        return usableSlots < slots ? Math.min(usableSlots, limit) : limit;
    }
}
