package org.kingcuproad.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.kingcuproad.policy.evacuation.EvacuatedDataCentres;
import org.kingcuproad.policy.gateway.UpstreamEntry;

/** The upstreams of one service, in a fixed order between updates. */
final class UpstreamPool {

    /** Number of removed upstreams that are remembered, in case that an older listing names them again. */
    private static final int MAX_REMOVED = 1_000;

    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Map<String, Upstream> removed = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Upstream> eldest) {
            return size() > MAX_REMOVED;
        }
    };
    private List<Upstream> list = List.of();
    private final EvacuatedDataCentres evacuations;

    UpstreamPool(EvacuatedDataCentres evacuations) {
        this.evacuations = evacuations;
    }

    /** Replaces the set of upstreams. Requests in progress at removed upstreams continue. */
    void update(List<UpstreamEntry> entries, long nowMs) {
        Set<String> present = new HashSet<>();
        for (UpstreamEntry entry : entries) {
            present.add(entry.id());
            Upstream existing = upstreams.get(entry.id());
            boolean restarted = existing != null && existing.entry().startedMs() != entry.startedMs();
            boolean moved = existing != null
                    && !(existing.entry().host().equals(entry.host())
                            && existing.entry().port() == entry.port());
            if (existing == null || restarted || moved) {
                if (existing != null) {
                    remove(existing);
                }
                upstreams.put(entry.id(), create(entry, nowMs));
            } else {
                existing.setEntry(entry, nowMs);
            }
        }
        List<String> missing =
                upstreams.keySet().stream().filter(id -> !present.contains(id)).toList();
        missing.forEach(id -> Optional.ofNullable(upstreams.remove(id)).ifPresent(this::remove));
        list = List.copyOf(upstreams.values());
    }

    private void remove(Upstream upstream) {
        upstream.remove();
        removed.put(upstream.entry().id(), upstream);
    }

    /** Creates an upstream. An incarnation that was listed before still is as it said of itself then. */
    private Upstream create(UpstreamEntry entry, long nowMs) {
        Upstream upstream = new Upstream(entry, evacuations, nowMs);
        Upstream former = removed.get(entry.id());
        if (former != null && former.entry().startedMs() == entry.startedMs()) {
            upstream.inheritNotices(former);
        }
        return upstream;
    }

    Collection<Upstream> all() {
        return upstreams.values();
    }

    /** Returns the upstreams in an order that stays the same until the next update. */
    List<Upstream> list() {
        return list;
    }

    boolean anyUsable() {
        return list.stream().anyMatch(Upstream::usable);
    }

    /** Returns whether there are upstreams, and those in service are all evacuated. */
    boolean allEvacuated() {
        return list.stream().anyMatch(Upstream::inService) && !anyUsable();
    }

    /** Returns the requests a second that all upstreams together accept, or empty if one has not announced a limit. */
    OptionalDouble acceptedPerSecond() {
        List<OptionalDouble> limits = list.stream()
                .filter(Upstream::usable)
                .map(upstream -> upstream.requestLimit().perSecond())
                .toList();
        return limits.isEmpty() || limits.stream().anyMatch(OptionalDouble::isEmpty)
                ? OptionalDouble.empty()
                : OptionalDouble.of(
                        limits.stream().mapToDouble(OptionalDouble::getAsDouble).sum());
    }

    /**
     * Returns the time until the first upstream returns, if all of them want no requests now.
     *
     * @return the time in milliseconds, or empty if there is an upstream that has not asked for a pause
     */
    OptionalLong allBackingOffForMs(long nowMs) {
        OptionalLong firstMs = list.stream()
                .filter(Upstream::usable)
                .mapToLong(Upstream::backOffUntilMs)
                .min();
        return firstMs.isPresent() && firstMs.getAsLong() > nowMs
                ? OptionalLong.of(firstMs.getAsLong() - nowMs)
                : OptionalLong.empty();
    }

    /** Returns whether there is an upstream to which a request may be sent. */
    boolean anyAdmitted(Exchange exchange) {
        return list.stream()
                .anyMatch(upstream ->
                        upstream.usable() && exchange.admits(upstream.entry().id()));
    }

    void closeExpiredConnections(long nowMs) {
        all().forEach(upstream -> upstream.closeExpiredConnections(nowMs));
    }

    void closeIdleConnections() {
        all().forEach(Upstream::closeIdleConnections);
    }
}
