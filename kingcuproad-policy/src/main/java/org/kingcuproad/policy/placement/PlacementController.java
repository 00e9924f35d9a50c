package org.kingcuproad.policy.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.PlacementSettings;

/**
 * Decides when the map of one group changes.
 *
 * <p>The controller has one owner and is not safe for use by several threads. Its state is rebuilt from the map in
 * force and new samples; a successor of a dead owner starts without a plan.
 */
public final class PlacementController {

    /** Pieces lost in a row after which the plan is given up; a rank that restarts costs one. */
    private static final int MOST_LOST_PIECES = 2;

    /**
     * Factor on the least improvement of the first plan, which no observed gain covers. With a factor of 1, changes of
     * one or two experts cost 0.05 % of the steps in groups whose first map was already the best one.
     */
    private static final double UNPROVEN_CAUTION = 3;

    private final PlacementTuning tuning;
    private final PlacementPlanner planner;
    private final PieceCutter cutter;
    private final MoveEconomics economics;
    private final LoadTracker tracker;
    private final GainLedger ledger;
    private ExpertMap map;
    private List<LayerTarget> remaining = List.of();
    private Optional<MapPiece> inProgress = Optional.empty();
    private long nextPlanMs = Long.MIN_VALUE;
    private long lastSampleMs = Long.MIN_VALUE;
    private int lostPieces;

    /**
     * Creates a controller.
     *
     * @param map the map in force
     * @param settings weights and bounds from the environment document
     * @param tuning constants of the planner
     */
    public PlacementController(ExpertMap map, PlacementSettings settings, PlacementTuning tuning) {
        ModelGroup group = map.group();
        this.map = map;
        this.tuning = tuning;
        this.planner = new PlacementPlanner(group, settings, tuning);
        this.cutter = new PieceCutter(settings, tuning);
        this.economics = new MoveEconomics(settings, tuning, group.layers());
        this.tracker = new LoadTracker(group, settings, tuning);
        int slots = group.layers() * group.ranks() * group.slotsPerRank();
        this.ledger = new GainLedger(map, tuning.expertShareOfStep(), economics.lostSeconds(slots));
    }

    /**
     * Takes in a sample. Late and repeated samples are ignored.
     *
     * @param sample token counts and speeds
     */
    public void observe(LoadSample sample) {
        if (tracker.accept(sample)) {
            if (lastSampleMs != Long.MIN_VALUE) {
                ledger.observe(map, sample, (sample.takenAtMs() - lastSampleMs) / 1000.0);
            }
            lastSampleMs = sample.takenAtMs();
        }
    }

    /**
     * Decides what to do now.
     *
     * @param nowMs current time, in milliseconds
     * @return the decision
     */
    public PlacementDecision decide(long nowMs) {
        if (inProgress.isPresent()) {
            return new PlacementDecision.Keep(KeepReason.PIECE_IN_PROGRESS);
        }
        Optional<Outlook> outlook = tracker.outlook();
        if (outlook.isEmpty()) {
            return new PlacementDecision.Keep(KeepReason.NOT_ENOUGH_EVIDENCE);
        }
        return remaining.isEmpty() ? plan(outlook.get(), nowMs) : proceed(outlook.get(), nowMs);
    }

    /** Tells the controller that all ranks switched to the map of the piece in progress. */
    public void pieceApplied() {
        inProgress.ifPresent(piece -> map = piece.next());
        remaining = remaining.stream().filter(target -> !target.isReached(map)).toList();
        inProgress = Optional.empty();
        lostPieces = 0;
    }

    /**
     * Tells the controller that the switch of the piece in progress was aborted, for example because a rank restarted.
     * The map in force stays; the same change may be tried again.
     */
    public void pieceLost() {
        inProgress = Optional.empty();
        lostPieces++;
        if (lostPieces >= MOST_LOST_PIECES) {
            remaining = List.of();
            lostPieces = 0;
        }
    }

    /**
     * Tells the controller which map the ranks use. A plan made for another version is dropped.
     *
     * @param observed the map in force
     */
    public void mapObserved(ExpertMap observed) {
        if (observed.version() != map.version()) {
            map = observed;
            remaining = List.of();
            inProgress = Optional.empty();
        }
    }

    /**
     * Returns the map that the controller believes to be in force.
     *
     * @return the map
     */
    public ExpertMap map() {
        return map;
    }

    /**
     * Tells whether a rank is treated as a straggler.
     *
     * @param rank index of the rank
     * @return whether load is kept off the rank
     */
    public boolean isStraggler(int rank) {
        return tracker.isStraggler(rank);
    }

    private PlacementDecision plan(Outlook outlook, long nowMs) {
        if (nowMs < nextPlanMs) {
            return new PlacementDecision.Keep(KeepReason.PLANNED_RECENTLY);
        }
        nextPlanMs = nowMs + tuning.planIntervalSeconds() * 1000L;
        PlacementPlan plan = planner.plan(map, outlook, ledger.hasSpent() ? 1 : UNPROVEN_CAUTION);
        if (plan.isEmpty()) {
            return new PlacementDecision.Keep(KeepReason.NO_PAYBACK);
        }
        remaining = affordable(plan.targets(), nowMs);
        if (remaining.isEmpty()) {
            return new PlacementDecision.Keep(KeepReason.GAINS_NOT_OBSERVED);
        }
        return startPiece(nowMs);
    }

    private List<LayerTarget> affordable(List<LayerTarget> targets, long nowMs) {
        double available = ledger.availableSeconds(nowMs);
        List<LayerTarget> affordable = new ArrayList<>();
        for (LayerTarget target : targets) {
            available -= economics.lostSeconds(target.moves());
            if (available < 0) {
                break;
            }
            affordable.add(target);
        }
        return affordable;
    }

    private PlacementDecision proceed(Outlook outlook, long nowMs) {
        remaining = remaining.stream()
                .flatMap(target -> planner.rate(map, target, outlook).stream())
                .toList();
        if (remaining.isEmpty()) {
            return new PlacementDecision.Keep(KeepReason.PLAN_ABANDONED);
        }
        return startPiece(nowMs);
    }

    private PlacementDecision startPiece(long nowMs) {
        MapPiece piece = cutter.next(map, remaining, nowMs);
        ledger.spend(economics.lostSeconds(piece.moves().size()), nowMs);
        inProgress = Optional.of(piece);
        return new PlacementDecision.Load(piece);
    }
}
