package org.kingcuproad.policy.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.PlacementSettings;

/**
 * Decides when and how the map of one group changes.
 *
 * <p>The controller has one owner and is not thread-safe. Its state is rebuilt from the map in force and new samples;
 * if the owner fails, its successor starts without a plan.
 */
public final class PlacementController {

    /** Consecutive aborted batches after which the plan is dropped; a restart of a rank aborts one batch. */
    private static final int MAX_ABORTED_BATCHES = 2;

    /**
     * Factor on the minimum improvement while no moves have been made, when no observed gain covers their cost. With a
     * factor of 1, changes of one or two experts cost 0.05 % of the steps in groups whose initial map was already
     * optimal.
     */
    private static final double FIRST_PLAN_THRESHOLD_FACTOR = 3;

    private final PlacementTuning tuning;
    private final PlacementPlanner planner;
    private final MoveBatcher batcher;
    private final MoveCostModel costModel;
    private final LoadTracker tracker;
    private final MoveBudget budget;
    private ExpertMap map;
    private List<LayerTarget> remainingTargets = List.of();
    private Optional<MoveBatch> batchInProgress = Optional.empty();
    private long nextPlanMs = Long.MIN_VALUE;
    private long lastSampleMs = Long.MIN_VALUE;
    private int abortedBatches;

    /**
     * Creates a controller.
     *
     * @param map the map in force
     * @param settings objective weights, payback horizon, expert size and loading rate from the environment document
     * @param tuning parameters of the planner
     */
    public PlacementController(ExpertMap map, PlacementSettings settings, PlacementTuning tuning) {
        ModelGroup group = map.group();
        this.map = map;
        this.tuning = tuning;
        this.planner = new PlacementPlanner(group, settings, tuning);
        this.batcher = new MoveBatcher(settings, tuning);
        this.costModel = new MoveCostModel(settings, tuning, group.layers());
        this.tracker = new LoadTracker(group, settings, tuning);
        int slots = group.layers() * group.ranks() * group.slotsPerRank();
        this.budget = new MoveBudget(map, tuning.expertShareOfStep(), costModel.lostSeconds(slots));
    }

    /**
     * Updates the load statistics with a sample. Late and repeated samples are ignored.
     *
     * @param sample token counts and speeds of one sampling interval
     */
    public void observe(LoadSample sample) {
        if (tracker.accept(sample)) {
            if (lastSampleMs != Long.MIN_VALUE) {
                budget.recordSavings(map, sample, (sample.takenAtMs() - lastSampleMs) / 1000.0);
            }
            lastSampleMs = sample.takenAtMs();
        }
    }

    /**
     * Decides whether to start a batch of moves now, either of the current plan or of a new one.
     *
     * @param nowMs current time, in milliseconds
     * @return the decision
     */
    public PlacementDecision decide(long nowMs) {
        if (batchInProgress.isPresent()) {
            return new PlacementDecision.Keep(KeepReason.BATCH_IN_PROGRESS);
        }
        Optional<LoadForecast> forecast = tracker.forecast();
        if (forecast.isEmpty()) {
            return new PlacementDecision.Keep(KeepReason.NOT_ENOUGH_OBSERVATIONS);
        }
        return remainingTargets.isEmpty() ? plan(forecast.get(), nowMs) : continuePlan(forecast.get(), nowMs);
    }

    /** Records that all ranks have switched to the map of the batch in progress. */
    public void batchApplied() {
        batchInProgress.ifPresent(batch -> map = batch.next());
        remainingTargets = remainingTargets.stream()
                .filter(target -> !target.isReached(map))
                .toList();
        batchInProgress = Optional.empty();
        abortedBatches = 0;
    }

    /**
     * Records that the switch of the batch in progress was aborted, for example because a rank restarted. The map in
     * force stays; the same change may be tried again.
     */
    public void batchAborted() {
        batchInProgress = Optional.empty();
        abortedBatches++;
        if (abortedBatches >= MAX_ABORTED_BATCHES) {
            remainingTargets = List.of();
            abortedBatches = 0;
        }
    }

    /**
     * Records which map the ranks use. If its version differs from the expected one, the plan and the batch in progress
     * are dropped.
     *
     * @param observed the map in force
     */
    public void mapObserved(ExpertMap observed) {
        if (observed.version() != map.version()) {
            map = observed;
            remainingTargets = List.of();
            batchInProgress = Optional.empty();
        }
    }

    /**
     * Returns the map that the controller assumes to be in force.
     *
     * @return the map
     */
    public ExpertMap map() {
        return map;
    }

    /**
     * Returns whether a rank is treated as a straggler.
     *
     * @param rank index of the rank
     * @return whether plans give the rank less load because of its speed
     */
    public boolean isStraggler(int rank) {
        return tracker.isStraggler(rank);
    }

    private PlacementDecision plan(LoadForecast forecast, long nowMs) {
        if (nowMs < nextPlanMs) {
            return new PlacementDecision.Keep(KeepReason.PLANNED_RECENTLY);
        }
        nextPlanMs = nowMs + tuning.planIntervalSeconds() * 1000L;
        PlacementPlan plan = planner.plan(map, forecast, budget.hasCosts() ? 1 : FIRST_PLAN_THRESHOLD_FACTOR);
        if (plan.isEmpty()) {
            return new PlacementDecision.Keep(KeepReason.NO_PAYBACK);
        }
        remainingTargets = affordable(plan.targets(), nowMs);
        if (remainingTargets.isEmpty()) {
            return new PlacementDecision.Keep(KeepReason.GAINS_NOT_OBSERVED);
        }
        return startBatch(nowMs);
    }

    private List<LayerTarget> affordable(List<LayerTarget> targets, long nowMs) {
        double available = budget.availableSeconds(nowMs);
        List<LayerTarget> affordable = new ArrayList<>();
        for (LayerTarget target : targets) {
            available -= costModel.lostSeconds(target.moves());
            if (available < 0) {
                break;
            }
            affordable.add(target);
        }
        return affordable;
    }

    private PlacementDecision continuePlan(LoadForecast forecast, long nowMs) {
        remainingTargets = remainingTargets.stream()
                .flatMap(target -> planner.reevaluate(map, target, forecast).stream())
                .toList();
        if (remainingTargets.isEmpty()) {
            return new PlacementDecision.Keep(KeepReason.PLAN_ABANDONED);
        }
        return startBatch(nowMs);
    }

    private PlacementDecision startBatch(long nowMs) {
        MoveBatch batch = batcher.nextBatch(map, remainingTargets, nowMs);
        budget.recordCost(costModel.lostSeconds(batch.moves().size()), nowMs);
        batchInProgress = Optional.of(batch);
        return new PlacementDecision.Load(batch);
    }
}
