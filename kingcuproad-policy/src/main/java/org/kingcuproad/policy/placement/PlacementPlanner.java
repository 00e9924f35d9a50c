package org.kingcuproad.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.PlacementSettings;

/**
 * Plans the replicas and slots of a group.
 *
 * <p>For each layer, two candidates compete: single improvements of the map in force, and a layer packed from scratch
 * and aligned with the map in force. The one with the higher value (step time saved within the horizon less step time
 * lost to moves, both weighted) wins if it is better than no change.
 */
public final class PlacementPlanner {

    /** Changes tried on the map in force; a layer that needs more is cheaper to pack from scratch. */
    private static final int IMPROVE_LIMIT = 24;

    /** Changes tried on a packed layer; trials found no better state after more. */
    private static final int REFINE_LIMIT = 12;

    private final ModelGroup group;
    private final PlacementTuning tuning;
    private final MoveEconomics economics;

    /**
     * Creates a planner.
     *
     * @param group the shape of the group
     * @param settings weights and bounds from the environment document
     * @param tuning constants of the planner
     */
    public PlacementPlanner(ModelGroup group, PlacementSettings settings, PlacementTuning tuning) {
        this.group = group;
        this.tuning = tuning;
        this.economics = new MoveEconomics(settings, tuning, group.layers());
    }

    /**
     * Plans for the expected load.
     *
     * @param map the map in force
     * @param outlook the expected load and speeds
     * @return the plan, empty if no change pays back
     */
    public PlacementPlan plan(ExpertMap map, Outlook outlook) {
        return plan(map, outlook, 1);
    }

    /** Plans with the threshold for starting a change raised by a factor. */
    PlacementPlan plan(ExpertMap map, Outlook outlook, double caution) {
        List<LayerTarget> targets = IntStream.range(0, group.layers())
                .mapToObj(layer -> planLayer(map.layer(layer), layer, outlook, caution))
                .flatMap(Optional::stream)
                .sorted(Comparator.comparingDouble(target -> -target.valuePerMove()))
                .toList();
        return new PlacementPlan(map.version(), targets);
    }

    /**
     * Packs every layer from scratch without regard to the map in force or to the cost of moves.
     *
     * @param group the shape of the group
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
     * Finds the best map for known load without regard to the cost of moves: the better of a refined pack and a refined
     * copy of the map in force.
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
     * Rates a target again under a newer outlook. A change that is under way is continued while it pays back, even if
     * it is too small to be started.
     */
    Optional<LayerTarget> rate(ExpertMap map, LayerTarget target, Outlook outlook) {
        LayerPlanner planner = new LayerPlanner(group, target.layer(), outlook.scenarios());
        return target(planner, map.layer(target.layer()), target.slots(), target.layer(), outlook, 0);
    }

    private static int[] bestLayer(LayerPlanner planner, int[] current) {
        StateValue freeMoves = (improvement, moves) -> improvement;
        int[] refined = planner.improve(planner.pack(), REFINE_LIMIT * 2, freeMoves);
        int[] improved = planner.improve(current, IMPROVE_LIMIT, freeMoves);
        return planner.objective(refined) < planner.objective(improved) ? refined : improved;
    }

    private Optional<LayerTarget> planLayer(int[] current, int layer, Outlook outlook, double caution) {
        LayerPlanner planner = new LayerPlanner(group, layer, outlook.scenarios());
        double least = caution * leastImprovement(outlook);
        if (planner.objective(current) < outlook.leastStepTime() + least) {
            return Optional.empty();
        }
        StateValue value = (improvement, moves) -> economics.value(improvement, horizonSeconds(outlook), moves);
        int[] improved = planner.improve(current, IMPROVE_LIMIT, value);
        int[] refined = planner.improve(planner.pack(), REFINE_LIMIT, (improvement, moves) -> improvement);
        int[] packed = new RankAlignment(group.slotsPerRank(), current).align(refined, outlook.unevenRanks());
        return Optional.of(improved)
                .flatMap(slots -> target(planner, current, slots, layer, outlook, least))
                .map(best -> better(best, target(planner, current, packed, layer, outlook, least)))
                .or(() -> target(planner, current, packed, layer, outlook, least));
    }

    private static LayerTarget better(LayerTarget best, Optional<LayerTarget> other) {
        return other.filter(target -> target.value() > best.value()).orElse(best);
    }

    private Optional<LayerTarget> target(
            LayerPlanner planner, int[] current, int[] slots, int layer, Outlook outlook, double least) {
        double improvement = planner.objective(current) - planner.objective(slots);
        int moves = LayerPlanner.distance(current, slots);
        double value = economics.value(improvement, horizonSeconds(outlook), moves);
        if (moves == 0 || value <= 0 || improvement < least) {
            return Optional.empty();
        }
        return Optional.of(new LayerTarget(layer, slots, moves, improvement, value));
    }

    private double leastImprovement(Outlook outlook) {
        return Math.max(tuning.minimumGain(), tuning.noiseMultiple() * outlook.loadError());
    }

    private double horizonSeconds(Outlook outlook) {
        return economics.horizonSeconds(outlook.evidenceSeconds());
    }
}
