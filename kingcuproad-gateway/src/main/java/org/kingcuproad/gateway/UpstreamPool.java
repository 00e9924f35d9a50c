package org.kingcuproad.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.kingcuproad.policy.gateway.UpstreamEntry;

/** The upstreams of one service, in a fixed order between updates. */
final class UpstreamPool {

    private final Map<String, Upstream> upstreams = new HashMap<>();
    private List<Upstream> list = List.of();

    /** Replaces the set of upstreams. Requests in progress at removed upstreams continue. */
    void update(List<UpstreamEntry> entries) {
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
                    existing.remove();
                }
                upstreams.put(entry.id(), new Upstream(entry));
            } else {
                existing.setEntry(entry);
            }
        }
        List<String> missing =
                upstreams.keySet().stream().filter(id -> !present.contains(id)).toList();
        missing.forEach(id -> Optional.ofNullable(upstreams.remove(id)).ifPresent(Upstream::remove));
        list = List.copyOf(upstreams.values());
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

    /** Returns whether there is an upstream to which a request has not been sent yet. */
    boolean anyUntried(Exchange exchange) {
        return list.stream()
                .anyMatch(upstream ->
                        upstream.usable() && !exchange.tried(upstream.entry().id()));
    }

    void closeExpiredConnections(long nowMs) {
        all().forEach(upstream -> upstream.closeExpiredConnections(nowMs));
    }

    void closeIdleConnections() {
        all().forEach(Upstream::closeIdleConnections);
    }
}
