package org.kingcuproad.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.gateway.ClientLimits;
import org.kingcuproad.policy.gateway.ConfigurationFreshness;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.RouteTable;
import org.kingcuproad.policy.gateway.UpstreamDirectory;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.revision.RevisionGate;
import org.kingcuproad.runtime.log.DecisionLog;

/** What a gateway has learnt from the store: the configuration in force and the upstreams. */
final class Knowledge {

    private final DecisionLog log;
    private final Runnable onChange;
    private final Clock clock;
    private final ConfigurationFreshness freshness;
    private final RevisionGate versions = new RevisionGate();
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final Set<String> reportedDefects = new HashSet<>();
    private @Nullable GatewayConfiguration configuration;
    private @Nullable RouteTable routes;
    private boolean upstreamsListed;

    Knowledge(DecisionLog log, Clock clock, GatewaySettings settings, Runnable onChange) {
        this.log = log;
        this.clock = clock;
        this.onChange = onChange;
        this.freshness = new ConfigurationFreshness(settings.strictRevocation(), settings.revokeMs());
    }

    void adjust(GatewaySettings settings) {
        freshness.adjust(settings.strictRevocation(), settings.revokeMs());
    }

    Optional<GatewayConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    Optional<RouteTable> routes() {
        return Optional.ofNullable(routes);
    }

    List<UpstreamEntry> upstreams() {
        return directory.entries();
    }

    ClientLimits limits() {
        GatewayConfiguration current = configuration;
        return current == null ? ClientLimits.DEFAULTS : current.limits();
    }

    long ageMs() {
        return freshness.ageMs(clock.steadyMs(), clock.wallMs());
    }

    boolean acceptsKeys() {
        return freshness.acceptsKeys(clock.steadyMs(), clock.wallMs());
    }

    boolean ready() {
        return configuration != null && upstreamsListed && freshness.ready(clock.steadyMs(), clock.wallMs());
    }

    /** Removes upstreams that stayed away after an outage of the store. */
    void sweep(long nowMs) {
        List<String> expired = directory.removeExpired(nowMs);
        if (!expired.isEmpty()) {
            expired.forEach(id -> log.event("upstream removed")
                    .field("upstream", id)
                    .field("reason", "still missing after the store returned")
                    .write());
            onChange.run();
        }
    }

    StoreListener<GatewayConfiguration> configurationListener() {
        return new StoreListener<>() {
            @Override
            public void onListing(
                    List<StoreObject<GatewayConfiguration>> objects, long askedSteadyMs, long askedWallMs) {
                objects.forEach(Knowledge.this::onConfiguration);
                confirm(askedSteadyMs, askedWallMs);
            }

            @Override
            public void onChanges(
                    List<StoreChange<GatewayConfiguration>> changes, long askedSteadyMs, long askedWallMs) {
                changes.stream()
                        .filter(change -> !change.removed())
                        .forEach(change -> onConfiguration(change.object()));
                confirm(askedSteadyMs, askedWallMs);
            }
        };
    }

    private void confirm(long askedSteadyMs, long askedWallMs) {
        if (configuration != null) {
            freshness.confirm(askedSteadyMs, askedWallMs);
        }
    }

    private void onConfiguration(StoreObject<GatewayConfiguration> object) {
        if (object.value().isEmpty()) {
            reportDefect("configuration", object.name(), object.defect());
            return;
        }
        GatewayConfiguration offered = object.value().get();
        if (!versions.admit(offered.version())) {
            return;
        }
        configuration = offered;
        routes = new RouteTable(offered.routes());
        log.event("configuration in force")
                .field("version", offered.version())
                .field("routes", offered.routes().size())
                .field("keys", offered.keyOwners().size())
                .write();
        onChange.run();
    }

    StoreListener<UpstreamEntry> upstreamListener() {
        return new StoreListener<>() {
            @Override
            public void onListing(List<StoreObject<UpstreamEntry>> objects, long askedSteadyMs, long askedWallMs) {
                long nowMs = clock.steadyMs();
                directory.onStoreContact(nowMs);
                List<UpstreamEntry> entries = objects.stream()
                        .flatMap(object -> readable(object).stream())
                        .toList();
                directory.onListing(entries, nowMs);
                upstreamsListed = true;
                logUpstreams("upstreams listed");
                onChange.run();
            }

            @Override
            public void onChanges(List<StoreChange<UpstreamEntry>> changes, long askedSteadyMs, long askedWallMs) {
                long nowMs = clock.steadyMs();
                directory.onStoreContact(nowMs);
                changes.forEach(change -> onUpstream(change, nowMs));
                if (!changes.isEmpty()) {
                    onChange.run();
                }
            }
        };
    }

    private void onUpstream(StoreChange<UpstreamEntry> change, long nowMs) {
        String id = change.object().name();
        Optional<UpstreamEntry> entry = change.removed() ? Optional.empty() : readable(change.object());
        if (entry.isPresent()) {
            directory.onEntry(entry.get());
            log.event("upstream registered")
                    .field("upstream", id)
                    .field("service", entry.get().service())
                    .field("draining", entry.get().draining())
                    .write();
        } else {
            directory.onRemoved(id, nowMs);
            log.event("upstream removed")
                    .field("upstream", id)
                    .field("reason", change.removed() ? "entry removed" : "entry unreadable")
                    .write();
        }
    }

    private Optional<UpstreamEntry> readable(StoreObject<UpstreamEntry> object) {
        if (object.value().isEmpty()) {
            reportDefect("upstream", object.name(), object.defect());
        }
        return object.value();
    }

    private void reportDefect(String kind, String name, String defect) {
        if (reportedDefects.add(kind + "/" + name)) {
            log.event("unusable entry")
                    .field("kind", kind)
                    .field("name", name)
                    .field("defect", defect)
                    .write();
        }
    }

    private void logUpstreams(String event) {
        log.event(event).field("count", directory.entries().size()).write();
    }
}
