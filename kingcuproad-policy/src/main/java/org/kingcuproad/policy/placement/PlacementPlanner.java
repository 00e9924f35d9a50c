package org.kingcuproad.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.PlacementSettings;

/**
 * Plans how many replicas each expert of a group has and which slots hold them.
 *
 * <p>For each layer, two candidates are compared: the map in force after a local search, and a layer packed from
 * scratch and aligned with the map in force. The candidate with the higher value (step time saved within the horizon
 * less step time lost to moves, both weighted) is chosen if it is better than no change.
 */
public final class PlacementPlanner {

    /** Maximum changes to the map in force; a layer that needs more is cheaper to pack from scratch. */
    private static final int MAX_IMPROVEMENT_CHANGES = 24;

    /** Maximum changes to a packed layer; more of them found no better assignment in trials. */
    private static final int MAX_REFINEMENT_CHANGES = 12;

    private final ModelGroup group;
    private final PlacementTuning tuning;
    private final MoveCostModel costModel;

    /**
     * Creates a planner.
     *
     * @param group the group to plan for
     * @param settings objective weights, payback horizon, expert size and loading rate from the environment document
     * @param tuning parameters of the planner
     */
    public PlacementPlanner(ModelGroup group, PlacementSettings settings, PlacementTuning tuning) {
        this.group = group;
        this.tuning = tuning;
        this.costModel = new MoveCostModel(settings, tuning, group.layers());
    }

    /**
     * Plans the changes of the map that are worth their cost under a forecast.
     *
     * @param map the map in force
     * @param forecast the expected load and speeds
     * @return the plan, empty if no change recovers its cost within the horizon
     */
    public PlacementPlan plan(ExpertMap map, LoadForecast forecast) {
        return plan(map, forecast, 1);
    }

    /** Plans with the minimum improvement multiplied by a factor. */
    PlacementPlan plan(ExpertMap map, LoadForecast forecast, double thresholdFactor) {
        List<LayerTarget> targets = IntStream.range(0, group.layers())
                .mapToObj(layer -> planLayer(map.layer(layer), layer, forecast, thresholdFactor))
                .flatMap(Optional::stream)
                .sorted(Comparator.comparingDouble(target -> -target.valuePerMove()))
                .toList();
        return new PlacementPlan(map.version(), targets);
    }

    /**
     * Packs every layer from scratch without regard to the map in force or to the cost of moves.
     *
     * @param group the group to plan for
     * @param scenarios the load and speeds to pack for
     * @param version version of the map
     * @return the packed map
     */
    public static ExpertMap packFromScratch(ModelGroup group, List<Scenario> scenarios, long version) {
        int[][] layers = IntStream.range(0, group.layers())
                .mapToObj(layer -> new LayerPlanner(group, layer, scenarios).pack())
                .toArray(int[][]::new);
        return ExpertMap.of(group, version, layers);
    }

    /**
     * Finds the best map for known load without regard to the cost of moves: the better of a packed layer and the layer
     * in force for each layer, both improved by local search.
     *
     * @param map the map in force
     * @param scenarios the load and speeds to plan for
     * @return the map, with the next version
     */
    public static ExpertMap bestWithoutMoveCost(ExpertMap map, List<Scenario> scenarios) {
        ModelGroup group = map.group();
        int[][] layers = IntStream.range(0, group.layers())
                .mapToObj(layer -> bestLayer(new LayerPlanner(group, layer, scenarios), map.layer(layer)))
                .toArray(int[][]::new);
        return ExpertMap.of(group, map.version() + 1, layers);
    }

    /**
     * Evaluates a target again under a newer forecast. A change that has been started is continued while it recovers
     * its cost, even if its improvement is below the minimum for starting one.
     */
    Optional<LayerTarget> reevaluate(ExpertMap map, LayerTarget target, LoadForecast forecast) {
        LayerPlanner planner = new LayerPlanner(group, target.layer(), forecast.scenarios());
        return evaluate(planner, map.layer(target.layer()), target.slots(), target.layer(), forecast, 0);
    }

    private static int[] bestLayer(LayerPlanner planner, int[] current) {
        AssignmentValue improvementOnly = (improvement, moves) -> improvement;
        int[] refined = planner.improve(planner.pack(), MAX_REFINEMENT_CHANGES * 2, improvementOnly);
        int[] improved = planner.improve(current, MAX_IMPROVEMENT_CHANGES, improvementOnly);
        return planner.objective(refined) < planner.objective(improved) ? refined : improved;
    }

    private Optional<LayerTarget> planLayer(int[] current, int layer, LoadForecast forecast, double thresholdFactor) {
        LayerPlanner planner = new LayerPlanner(group, layer, forecast.scenarios());
        double requiredImprovement = thresholdFactor * minImprovement(forecast);
        if (planner.objective(current) < forecast.minimumStepTime() + requiredImprovement) {
            return Optional.empty();
        }
        AssignmentValue value = (improvement, moves) -> costModel.value(improvement, horizonSeconds(forecast), moves);
        int[] improved = planner.improve(current, MAX_IMPROVEMENT_CHANGES, value);
        int[] refined = planner.improve(planner.pack(), MAX_REFINEMENT_CHANGES, (improvement, moves) -> improvement);
        int[] packed = new RankAlignment(group.slotsPerRank(), current).align(refined, forecast.offNominalRanks());
        return Optional.of(improved)
                .flatMap(slots -> evaluate(planner, current, slots, layer, forecast, requiredImprovement))
                .map(best ->
                        moreValuable(best, evaluate(planner, current, packed, layer, forecast, requiredImprovement)))
                .or(() -> evaluate(planner, current, packed, layer, forecast, requiredImprovement));
    }

    private static LayerTarget moreValuable(LayerTarget best, Optional<LayerTarget> other) {
        return other.filter(target -> target.value() > best.value()).orElse(best);
    }

    private Optional<LayerTarget> evaluate(
            LayerPlanner planner,
            int[] current,
            int[] slots,
            int layer,
            LoadForecast forecast,
            double requiredImprovement) {
        double improvement = planner.objective(current) - planner.objective(slots);
        int moves = LayerPlanner.changedSlots(current, slots);
        double value = costModel.value(improvement, horizonSeconds(forecast), moves);
        if (moves == 0 || value <= 0 || improvement < requiredImprovement) {
            return Optional.empty();
        }
        return Optional.of(new LayerTarget(layer, slots, moves, improvement, value));
    }

    private double minImprovement(LoadForecast forecast) {
        return Math.max(tuning.minimumImprovement(), tuning.noiseMultiple() * forecast.loadError());
    }

    private double horizonSeconds(LoadForecast forecast) {
        return costModel.horizonSeconds(forecast.observedSeconds());
    }
}
