package org.kingcuproad.experiment.placement;

import java.util.Optional;
import org.kingcuproad.model.PlacementSettings;
import org.kingcuproad.policy.placement.ExpertMap;
import org.kingcuproad.policy.placement.LoadSample;
import org.kingcuproad.policy.placement.PlacementController;
import org.kingcuproad.policy.placement.PlacementDecision;
import org.kingcuproad.policy.placement.PlacementTuning;

/** Runs the real controller. */
final class PlannerPolicy implements PlacementPolicy {

    private final PlacementController controller;

    PlannerPolicy(ExpertMap start, PlacementSettings settings, PlacementTuning tuning) {
        controller = new PlacementController(start, settings, tuning);
    }

    @Override
    public void observe(LoadSample sample) {
        controller.observe(sample);
    }

    @Override
    public Optional<Transfer> next(ExpertMap map, long nowMs) {
        return switch (controller.decide(nowMs)) {
            case PlacementDecision.Keep keep -> Optional.empty();
            case PlacementDecision.Load load ->
                Optional.of(new Transfer(
                        load.batch().next(), load.batch().bytes(), load.batch().earliestSwitchMs()));
        };
    }

    @Override
    public void applied() {
        controller.batchApplied();
    }
}
