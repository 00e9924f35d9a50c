package org.kingcuproad.experiment.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.policy.placement.ExpertMap;
import org.kingcuproad.policy.placement.LoadSample;
import org.kingcuproad.policy.placement.PlacementPlanner;

/** Runs policies side by side on the same input and the same samples, in virtual time. */
final class PlacementSimulation {

    static final long DURATION_MS = 24 * 3_600_000L;
    static final long TICK_MS = 30_000;

    private PlacementSimulation() {}

    static List<PolicyResult> run(
            ModelGroup group,
            InputKind input,
            Map<String, Function<ExpertMap, PlacementPolicy>> policies,
            long seed,
            long durationMs) {
        LoadInput load = input.create(group, seed, durationMs);
        SampleSource samples = new SampleSource(seed + 1);
        ExpertMap start =
                PlacementPlanner.packFromScratch(group, List.of(load.usual().scenario()), 0);
        List<PolicyRun> runs = new ArrayList<>();
        policies.forEach((name, policy) -> runs.add(new PolicyRun(name, policy.apply(start), start)));
        for (long nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
            GroupState truth = load.at(nowMs);
            List<LoadSample> arrived = samples.sample(truth, nowMs);
            for (PolicyRun run : runs) {
                run.tick(truth, arrived, nowMs, TICK_MS);
            }
        }
        return runs.stream().map(PolicyRun::result).toList();
    }
}
