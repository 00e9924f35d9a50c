package org.kingcuproad.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.evacuation.EvacuatedDataCentres;
import org.kingcuproad.policy.gateway.ClientLimits;
import org.kingcuproad.policy.gateway.ConfigurationFreshness;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.RouteTable;
import org.kingcuproad.policy.gateway.StoreContact;
import org.kingcuproad.policy.gateway.UpstreamDirectory;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.revision.RevisionGate;
import org.kingcuproad.runtime.log.DecisionLog;

/** The gateway's view of the store: the current configuration and the known upstreams. */
final class StoreView {

    private final DecisionLog log;
    private final Runnable onChange;
    private final Clock clock;
    private final ConfigurationFreshness freshness;
    private final RevisionGate versionGate = new RevisionGate();
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final EvacuatedDataCentres evacuations;
    private final String ownDataCentre;
    private final Set<String> reportedDefects = new HashSet<>();
    private @Nullable GatewayConfiguration configuration;
    private @Nullable RouteTable routes;
    private boolean upstreamsListed;

    StoreView(DecisionLog log, Clock clock, GatewaySettings settings, Runnable onChange) {
        this.log = log;
        this.clock = clock;
        this.onChange = onChange;
        this.evacuations = new EvacuatedDataCentres(settings.evacuationMs().isPresent());
        this.ownDataCentre = settings.dataCentre();
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
        return directory.entries(
                configuration().map(GatewayConfiguration::serviceNames).orElse(Set.of()), clock.wallMs());
    }

    EvacuatedDataCentres evacuations() {
        return evacuations;
    }

    /** Returns the data centres that are known to exist, or an empty set until the upstreams are listed. */
    Set<String> dataCentres() {
        return upstreamsListed
                ? Stream.concat(Stream.of(ownDataCentre), upstreams().stream().map(UpstreamEntry::dataCentre))
                        .collect(Collectors.toSet())
                : Set.of();
    }

    void notifyChange() {
        onChange.run();
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
        return configuration != null
                && upstreamsListed
                && evacuations.known()
                && freshness.ready(clock.steadyMs(), clock.wallMs());
    }

    StoreContact storeContact() {
        return directory.contact();
    }

    /** Removes upstreams that are missing after contact with the store was restored, once they can't return. */
    void sweep(long nowMs) {
        List<String> expired = directory.removeExpired(nowMs);
        if (!expired.isEmpty()) {
            expired.forEach(id -> log.event("upstream removed")
                    .field("upstream", id)
                    .field("reason", "still missing after the store became reachable again")
                    .field("outageExcluded", storeContact().outageExcluded())
                    .write());
            onChange.run();
        }
    }

    StoreListener<GatewayConfiguration> configurationListener() {
        return new StoreListener<>() {
            @Override
            public void onListing(
                    List<StoreObject<GatewayConfiguration>> objects, long requestedSteadyMs, long requestedWallMs) {
                objects.forEach(StoreView.this::onConfiguration);
                confirm(requestedSteadyMs, requestedWallMs);
            }

            @Override
            public void onChanges(
                    List<StoreChange<GatewayConfiguration>> changes, long requestedSteadyMs, long requestedWallMs) {
                changes.stream()
                        .filter(change -> !change.removed())
                        .forEach(change -> onConfiguration(change.object()));
                confirm(requestedSteadyMs, requestedWallMs);
            }
        };
    }

    private void confirm(long requestedSteadyMs, long requestedWallMs) {
        if (configuration != null) {
            freshness.confirm(requestedSteadyMs, requestedWallMs);
        }
    }

    private void onConfiguration(StoreObject<GatewayConfiguration> object) {
        if (object.value().isEmpty()) {
            reportDefect("configuration", object.name(), object.defect());
            return;
        }
        GatewayConfiguration candidate = object.value().get();
        if (!versionGate.admit(candidate.version())) {
            return;
        }
        configuration = candidate;
        routes = new RouteTable(candidate.routes());
        log.event("configuration applied")
                .field("version", candidate.version())
                .field("routes", candidate.routes().size())
                .field("keys", candidate.keyOwners().size())
                .write();
        onChange.run();
    }

    StoreListener<UpstreamEntry> upstreamListener() {
        return new StoreListener<>() {
            @Override
            public void onListing(
                    List<StoreObject<UpstreamEntry>> objects, long requestedSteadyMs, long requestedWallMs) {
                long nowMs = clock.steadyMs();
                onStoreContact(nowMs);
                List<UpstreamEntry> entries = objects.stream()
                        .flatMap(object -> decoded(object).stream())
                        .toList();
                directory.onListing(entries, nowMs);
                upstreamsListed = true;
                logUpstreams("upstreams listed");
                onChange.run();
            }

            @Override
            public void onChanges(
                    List<StoreChange<UpstreamEntry>> changes, long requestedSteadyMs, long requestedWallMs) {
                long nowMs = clock.steadyMs();
                onStoreContact(nowMs);
                changes.forEach(change -> onUpstream(change, nowMs));
                if (!changes.isEmpty()) {
                    onChange.run();
                }
            }
        };
    }

    private void onStoreContact(long nowMs) {
        if (directory.onStoreContact(nowMs)) {
            log.event("contact with the store restored")
                    .field("outageExcluded", storeContact().outageExcluded())
                    .write();
        }
    }

    private void onUpstream(StoreChange<UpstreamEntry> change, long nowMs) {
        String id = change.object().name();
        Optional<UpstreamEntry> entry = change.removed() ? Optional.empty() : decoded(change.object());
        if (entry.isPresent()) {
            directory.onEntry(entry.get());
            log.event("upstream registered")
                    .field("upstream", id)
                    .field("service", entry.get().service())
                    .field("draining", entry.get().draining())
                    .field("coldMs", entry.get().coldRemainingMs())
                    .write();
        } else {
            directory.onRemoved(id, nowMs);
            log.event("upstream removed")
                    .field("upstream", id)
                    .field("reason", change.removed() ? "entry removed" : "entry can't be used")
                    .write();
        }
    }

    private Optional<UpstreamEntry> decoded(StoreObject<UpstreamEntry> object) {
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
        log.event(event).field("count", upstreams().size()).write();
    }
}
