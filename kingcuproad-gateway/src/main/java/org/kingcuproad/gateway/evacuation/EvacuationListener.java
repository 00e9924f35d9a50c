package org.kingcuproad.gateway.evacuation;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.kingcuproad.gateway.Clock;
import org.kingcuproad.gateway.ProcessMetrics;
import org.kingcuproad.gateway.StoreChange;
import org.kingcuproad.gateway.StoreListener;
import org.kingcuproad.gateway.StoreObject;
import org.kingcuproad.policy.evacuation.EvacuatedDataCentres;
import org.kingcuproad.runtime.log.DecisionLog;

/** Applies the evacuations of the store. The name of an entry states the data centre; its body has no meaning. */
public final class EvacuationListener implements StoreListener<String> {

    private final EvacuatedDataCentres evacuations;
    private final Supplier<Set<String>> knownDataCentres;
    private final Clock clock;
    private final ProcessMetrics metrics;
    private final DecisionLog log;
    private final Runnable onChange;
    private final Set<String> reported = new HashSet<>();

    /**
     * Creates a listener.
     *
     * @param evacuations state that it keeps
     * @param knownDataCentres names of the data centres that are known to exist; empty until the upstreams are listed
     * @param clock clocks of the VM
     * @param metrics metrics of the process
     * @param log log of the process
     * @param onChange called when the evacuations have been listed and when they change
     */
    public EvacuationListener(
            EvacuatedDataCentres evacuations,
            Supplier<Set<String>> knownDataCentres,
            Clock clock,
            ProcessMetrics metrics,
            DecisionLog log,
            Runnable onChange) {
        this.evacuations = evacuations;
        this.knownDataCentres = knownDataCentres;
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
        this.onChange = onChange;
        metrics.expose("evacuated_data_centres", () -> evacuations.names().size());
    }

    @Override
    public void onListing(List<StoreObject<String>> objects, long requestedSteadyMs, long requestedWallMs) {
        objects.forEach(this::reportDefect);
        boolean first = !evacuations.known();
        EvacuatedDataCentres.Changes changes =
                evacuations.onListing(objects.stream().map(StoreObject::name).toList(), clock.steadyMs());
        apply(changes, first);
    }

    @Override
    public void onChanges(List<StoreChange<String>> changes, long requestedSteadyMs, long requestedWallMs) {
        changes.forEach(change -> {
            String name = change.object().name();
            if (change.removed()) {
                boolean ended = evacuations.onDeleted(name, clock.steadyMs());
                apply(new EvacuatedDataCentres.Changes(List.of(), ended ? List.of(name) : List.of()), false);
            } else {
                reportDefect(change.object());
                boolean begun = evacuations.onEntry(name);
                apply(new EvacuatedDataCentres.Changes(begun ? List.of(name) : List.of(), List.of()), false);
            }
        });
        reportUnknown();
    }

    private void apply(EvacuatedDataCentres.Changes changes, boolean first) {
        changes.begun().forEach(name -> {
            metrics.count("evacuations_begun");
            log.event("evacuation in force").field("dataCentre", name).write();
        });
        changes.ended().forEach(name -> {
            metrics.count("evacuations_ended");
            reported.remove(name);
            log.event("evacuation ended")
                    .field("dataCentre", name)
                    .field("returnMs", EvacuatedDataCentres.RETURN_MS)
                    .write();
        });
        if (first || !changes.begun().isEmpty() || !changes.ended().isEmpty()) {
            onChange.run();
        }
        reportUnknown();
    }

    private void reportDefect(StoreObject<String> object) {
        if (object.value().isEmpty() && reported.add(object.name() + "/defect")) {
            log.event("evacuation entry is malformed and applies by its name")
                    .field("dataCentre", object.name())
                    .field("defect", object.defect())
                    .write();
        }
    }

    /** Names are checked after each watch, because upstreams may be listed after the evacuations. */
    private void reportUnknown() {
        Set<String> names = evacuations.names();
        Set<String> known = names.isEmpty() ? Set.of() : knownDataCentres.get();
        if (!known.isEmpty()) {
            names.stream()
                    .filter(name -> !known.contains(name))
                    .filter(reported::add)
                    .forEach(name -> log.event("evacuation of an unknown data centre")
                            .field("dataCentre", name)
                            .field("known", String.join(",", known))
                            .write());
        }
    }
}
