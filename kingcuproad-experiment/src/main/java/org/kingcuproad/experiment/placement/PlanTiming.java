package org.kingcuproad.experiment.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.policy.placement.ExpertMap;
import org.kingcuproad.policy.placement.LoadForecast;
import org.kingcuproad.policy.placement.PlacementPlanner;
import org.kingcuproad.policy.placement.PlacementTuning;

/** Measures how long the plan of a group of 128 ranks, 64 experts, 60 layers and two slots takes. */
public final class PlanTiming {

    private static final ModelGroup GROUP = new ModelGroup("timing", "drafting", 128, 60, 64, 2);
    private static final int WARM_UP_RUNS = 30;
    private static final double NS_PER_MS = 1e6;

    private PlanTiming() {}

    /**
     * Times full plans from a round-robin map, in which every layer needs a change, and plans after a drift.
     *
     * @param runs number of measured runs
     * @param seed seed of the load
     * @param nanoTime clock to measure with; the CPU time of the thread leaves out the load of other processes
     * @return one line for each kind of plan
     */
    public static List<String> measure(int runs, long seed, LongSupplier nanoTime) {
        long durationMs = PlacementSimulation.DURATION_MS;
        LoadInput input = InputKind.AUTHORITY_SEASON.create(GROUP, seed, durationMs);
        GroupState early = input.at(0);
        GroupState late = input.at(durationMs / 48);
        ExpertMap first = ExpertMap.roundRobin(GROUP);
        ExpertMap packed = PlacementPlanner.bestWithoutMoveCost(first, List.of(early.scenario()));
        return List.of(
                line("first plan", times(first, early, runs, nanoTime)),
                line("plan after 30 min of drift", times(packed, late, runs, nanoTime)));
    }

    private static double[] times(ExpertMap map, GroupState state, int runs, LongSupplier nanoTime) {
        PlacementPlanner planner = new PlacementPlanner(
                GROUP,
                Settings.withRebalanceWeight(GROUP, Settings.AUTHORITY_REBALANCE_WEIGHT),
                PlacementTuning.defaults());
        LoadForecast forecast = new LoadForecast(List.of(state.scenario()), 0.01, Double.MAX_VALUE);
        IntStream.range(0, WARM_UP_RUNS).forEach(run -> planner.plan(map, forecast));
        return IntStream.range(0, runs)
                .mapToDouble(run -> {
                    long start = nanoTime.getAsLong();
                    planner.plan(map, forecast);
                    return (nanoTime.getAsLong() - start) / NS_PER_MS;
                })
                .sorted()
                .toArray();
    }

    private static String line(String kind, double[] sorted) {
        return String.format(
                Locale.ROOT,
                "%s: median %.1f ms, quartiles %.1f and %.1f ms, most %.1f ms, %d runs",
                kind,
                sorted[sorted.length / 2],
                sorted[sorted.length / 4],
                sorted[sorted.length * 3 / 4],
                Arrays.stream(sorted).max().orElse(0),
                sorted.length);
    }
}
