package org.kingcuproad.policy.lockstep;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * State machine that switches a group to a new expert map so that every pass begins with the same map on all ranks.
 *
 * <p>An order may go unanswered and still be carried out seconds later, and ranks don't check who sent it. One rule
 * keeps the map consistent within a pass: ranks are armed only for a pass that is held, and the hold is released only
 * when all ranks are armed for that pass, or when no rank is armed and every earlier order is void
 * ({@link DesiredRankState.Cleared}). The coordinator is the agent of rank 0. It holds passes at rank 1, arms all other
 * ranks, then rank 1, and its own rank last.
 *
 * <p>A VM may freeze just after its agent sent an order, and then neither the agent nor the engine on that VM answers.
 * Passes are therefore held at a rank other than the coordinator's, and the agent of that rank can release the hold
 * ({@link #beginHoldRecovery}): while rank 1 is not armed, rank 0 is not armed either, and once rank 1 is cleared, rank
 * 0 will not be armed. The other ranks are queried.
 *
 * <p>Not thread-safe: an instance belongs to one event loop. The caller passes in the states of the ranks and obtains
 * the next actions from {@link #nextActions}.
 */
public final class MapSwitchProtocol {

    /**
     * Maximum age of a usable rank state. Ranks report several times a second, so an older state may date from before a
     * network interruption.
     */
    private static final long MAX_STATE_AGE_MS = 700;

    /**
     * Copying a few experts takes less than a second. A rank that needs longer has probably lost its network
     * connection.
     */
    private static final long PREPARE_TIMEOUT_MS = 6_000;

    /**
     * The group may stall while ranks are armed, so arming is limited to a time in which lost orders can be repeated a
     * few times.
     */
    private static final long ARM_TIMEOUT_MS = 500;

    /**
     * A hold order without an answer within this time is treated as lost; if it takes effect later, the hold is
     * released.
     */
    private static final long HOLD_TIMEOUT_MS = 110;

    /**
     * Maximum number of passes ahead of the last one begun at which a pass is held. A release order may take effect
     * seconds late, so no pass is held twice: a restarted coordinator waits until all passes that its predecessor can
     * have held have begun.
     */
    private static final long MAX_HOLD_LEAD_PASSES = 8;

    /** Maximum time between the reading of a state at the engine and its arrival here. */
    private static final long MAX_REPORT_DELAY_MS = 150;

    /** Rank at which passes are held. */
    public static final int HOLD_RANK = 1;

    /** Phases of a map change. The constant names appear in log fields and metric names. */
    public enum Phase {

        /** No map change or hold recovery is in progress. */
        IDLE,

        /** Ranks copy the experts that the new map assigns to them. */
        PREPARING,

        /** The hold rank is being ordered to hold a coming pass. */
        HOLDING,

        /** Ranks are armed for the held pass. */
        ARMING,

        /** Ranks are disarmed, so that the held pass uses the map in use, and earlier orders are made void. */
        CLEARING,

        /** The hold rank is being ordered to release the held pass. */
        RELEASING
    }

    private final int ranks;
    private final int ownRank;
    private final HoldLead holdLead = new HoldLead(MAX_HOLD_LEAD_PASSES);
    private final TreeMap<Integer, RankState> states = new TreeMap<>();
    private Phase phase = Phase.IDLE;
    private long phaseStartedMs;
    private long epoch = RankState.NONE;
    private long targetVersion = RankState.NONE;
    private @Nullable ExpertPlacement targetMap;
    private long heldStep = RankState.NONE;
    private long holdOrderedMs;
    private long requestedHoldStep;
    private boolean armStateUnknown = true;
    private long firstObservedStep = RankState.NONE;
    private boolean recovering;
    private long releasedMs = Long.MIN_VALUE / 2;

    /**
     * Creates an instance in the idle phase, which assumes that orders of an earlier coordinator may still take effect.
     *
     * @param ranks number of ranks of the group
     * @param ownRank rank of the agent that owns this instance
     */
    public MapSwitchProtocol(int ranks, int ownRank) {
        this.ranks = ranks;
        this.ownRank = ownRank;
    }

    /**
     * Records the state of a rank, unless it is from an earlier formation of the group than the recorded one.
     *
     * @param state the reported state
     */
    public void onState(RankState state) {
        RankState previous = states.get(state.rank());
        if (previous == null || state.epoch() >= previous.epoch()) {
            states.put(state.rank(), state);
        }
        if (state.rank() == ownRank && firstObservedStep == RankState.NONE) {
            firstObservedStep = state.step();
        }
    }

    /**
     * Records the duration of the group's passes, from which follows how many passes ahead a pass is held.
     *
     * @param passMs duration in milliseconds, or 0 if it is unknown
     */
    public void onPassDuration(double passMs) {
        holdLead.onPassDuration(passMs);
    }

    /**
     * Returns the last recorded state of a rank.
     *
     * @param rank the rank
     * @return its state, or empty if none has been received
     */
    public Optional<RankState> state(int rank) {
        return Optional.ofNullable(states.get(rank));
    }

    /**
     * Returns the phase of the current map change.
     *
     * @return the phase, {@link Phase#IDLE} if no change or hold recovery is in progress
     */
    public Phase phase() {
        return phase;
    }

    /**
     * Tells whether a map change may begin.
     *
     * @param nowMs current time, in milliseconds
     * @return {@code true} if no change is in progress, no earlier coordinator can have held a coming pass, and all
     *     ranks have reported recently, use the same map, and are neither armed nor holding a pass
     */
    public boolean mayBegin(long nowMs) {
        RankState own = states.get(ownRank);
        return phase == Phase.IDLE
                && own != null
                && own.operational()
                && own.step() >= firstObservedStep + MAX_HOLD_LEAD_PASSES
                && allRanks(
                        nowMs,
                        state -> state.mapVersion() == own.mapVersion()
                                && state.armedVersion() == RankState.NONE
                                && state.heldStep() == RankState.NONE);
    }

    /**
     * Returns a map version higher than every version that the ranks report.
     *
     * @param random a random number that makes the versions of a coordinator and its successor differ, so that a
     *     delayed order of one is not mistaken for an order of the other
     * @return the new version
     */
    public long newVersion(int random) {
        return states.values().stream()
                        .mapToLong(state ->
                                Math.max(state.mapVersion(), Math.max(state.preparedVersion(), state.armedVersion())))
                        .max()
                        .orElse(0)
                + 1
                + Math.floorMod(random, 1_000);
    }

    /**
     * Begins a map change.
     *
     * @param newVersion version of the new map
     * @param map the new map
     * @param nowMs current time, in milliseconds
     */
    public void begin(long newVersion, ExpertPlacement map, long nowMs) {
        RankState own = states.get(ownRank);
        if (own == null || !mayBegin(nowMs)) {
            throw new IllegalStateException(
                    "map change refused: the group is changing its map or not all ranks are ready");
        }
        targetVersion = newVersion;
        targetMap = map;
        epoch = own.epoch();
        heldStep = RankState.NONE;
        holdOrderedMs = Long.MIN_VALUE / 2;
        enterPhase(Phase.PREPARING, nowMs);
    }

    /**
     * Begins to release the hold of an unresponsive coordinator, if that is safe without its cooperation.
     *
     * @param nowMs current time, in milliseconds
     * @return {@code true} if the recovery has begun: no change is in progress here, and this is the hold rank, holds a
     *     pass and is not armed
     */
    public boolean beginHoldRecovery(long nowMs) {
        RankState own = states.get(ownRank);
        if (own == null
                || phase != Phase.IDLE
                || ownRank != HOLD_RANK
                || own.heldStep() == RankState.NONE
                || own.armedVersion() != RankState.NONE) {
            return false;
        }
        epoch = own.epoch();
        heldStep = own.heldStep();
        targetVersion = RankState.NONE;
        recovering = true;
        enterPhase(Phase.CLEARING, nowMs);
        return true;
    }

    /**
     * Handles the answer to a hold order.
     *
     * @param step step number of the pass to be held
     * @param accepted whether the pass is held
     * @param nowMs current time, in milliseconds
     */
    public void onHold(long step, boolean accepted, long nowMs) {
        if (phase != Phase.HOLDING || step != requestedHoldStep) {
            return;
        }
        if (accepted) {
            heldStep = step;
            armStateUnknown = true;
            enterPhase(Phase.ARMING, nowMs);
        } else {
            holdOrderedMs = Long.MIN_VALUE / 2;
        }
    }

    /**
     * Handles the answer to a release order.
     *
     * @param step step number of the held pass
     * @param accepted whether the pass is no longer held
     * @param nowMs current time, in milliseconds
     */
    public void onRelease(long step, boolean accepted, long nowMs) {
        if (phase == Phase.RELEASING && accepted && step == heldStep) {
            releasedMs = nowMs;
            enterPhase(Phase.IDLE, nowMs);
        }
    }

    /**
     * Advances the state machine and returns the actions to take now.
     *
     * @param currentMap the map in use, if all ranks have reported the experts they hold
     * @param random a random number for a new map version
     * @param nowMs current time, in milliseconds
     * @return the actions; desired states are returned repeatedly until the ranks report them
     */
    public List<SwitchAction> nextActions(Optional<ExpertPlacement> currentMap, int random, long nowMs) {
        RankState own = states.get(ownRank);
        if (own == null) {
            return List.of();
        }
        if (phase != Phase.IDLE && own.epoch() != epoch) {
            // A newly formed group starts with map 0 and has nothing prepared, armed or held.
            armStateUnknown = false;
            enterPhase(Phase.IDLE, nowMs);
        }
        return switch (phase) {
            case IDLE -> actionsWhenIdle(own, currentMap, random, nowMs);
            case PREPARING -> actionsWhenPreparing(own, nowMs);
            case HOLDING -> actionsWhenHolding(own, nowMs);
            case ARMING -> actionsWhenArming(currentMap, random, nowMs);
            case CLEARING ->
                targetVersion == RankState.NONE ? startClearing(currentMap, random, nowMs) : actionsWhenClearing(nowMs);
            case RELEASING -> actionsWhenReleasing(nowMs);
        };
    }

    private List<SwitchAction> actionsWhenIdle(
            RankState own, Optional<ExpertPlacement> currentMap, int random, long nowMs) {
        RankState holdRankState = states.get(HOLD_RANK);
        if (ownRank != 0
                || holdRankState == null
                || holdRankState.epoch() != own.epoch()
                || holdRankState.heldStep() == RankState.NONE
                || holdRankState.reportedMs() <= releasedMs + MAX_REPORT_DELAY_MS
                || nowMs - holdRankState.reportedMs() > MAX_STATE_AGE_MS) {
            return List.of();
        }
        heldStep = holdRankState.heldStep();
        epoch = own.epoch();
        if (!armStateUnknown) {
            return startReleasing(nowMs);
        }
        return startClearing(currentMap, random, nowMs);
    }

    private List<SwitchAction> startClearing(Optional<ExpertPlacement> currentMap, int random, long nowMs) {
        if (currentMap.isEmpty()) {
            return List.of();
        }
        targetVersion = newVersion(random);
        targetMap = currentMap.get();
        enterPhase(Phase.CLEARING, nowMs);
        return actionsWhenClearing(nowMs);
    }

    private List<SwitchAction> actionsWhenPreparing(RankState own, long nowMs) {
        if (allRanks(nowMs, state -> state.preparedVersion() == targetVersion)) {
            enterPhase(Phase.HOLDING, nowMs);
            return actionsWhenHolding(own, nowMs);
        }
        if (nowMs - phaseStartedMs > PREPARE_TIMEOUT_MS || !own.operational()) {
            enterPhase(Phase.IDLE, nowMs);
            return List.of();
        }
        ExpertPlacement map = targetMap;
        return map == null
                ? List.of()
                : List.of(new SwitchAction.SetDesiredState(new DesiredRankState.Prepared(targetVersion, map)));
    }

    private List<SwitchAction> actionsWhenHolding(RankState own, long nowMs) {
        if (nowMs - holdOrderedMs < HOLD_TIMEOUT_MS) {
            return List.of();
        }
        if (nowMs - phaseStartedMs > PREPARE_TIMEOUT_MS || !own.operational()) {
            enterPhase(Phase.IDLE, nowMs);
            return List.of();
        }
        requestedHoldStep = Math.max(requestedHoldStep + 1, own.step() + holdLead.passes());
        if (requestedHoldStep > own.step() + MAX_HOLD_LEAD_PASSES) {
            requestedHoldStep--;
            enterPhase(Phase.IDLE, nowMs);
            return List.of();
        }
        holdOrderedMs = nowMs;
        return List.of(new SwitchAction.Hold(requestedHoldStep));
    }

    private List<SwitchAction> actionsWhenArming(Optional<ExpertPlacement> currentMap, int random, long nowMs) {
        if (allRanks(nowMs, state -> state.armedVersion() == targetVersion)) {
            armStateUnknown = false;
            holdLead.onArmed(nowMs - holdOrderedMs);
            return startReleasing(nowMs);
        }
        if (nowMs - phaseStartedMs > ARM_TIMEOUT_MS) {
            holdLead.onArmed(nowMs - holdOrderedMs);
            return startClearing(currentMap, random, nowMs);
        }
        return List.of(new SwitchAction.SetDesiredState(new DesiredRankState.Armed(targetVersion, heldStep)));
    }

    /**
     * Tells whether a rank may be armed now. The hold rank is armed after all ranks except rank 0, and rank 0 last.
     *
     * @param rank the rank
     * @param nowMs current time, in milliseconds
     * @return {@code true} if ranks are being armed and all ranks that must precede this one are armed
     */
    public boolean mayArm(int rank, long nowMs) {
        if (phase != Phase.ARMING || (rank != 0 && rank != HOLD_RANK)) {
            return phase == Phase.ARMING;
        }
        return states.size() >= ranks
                && states.values().stream()
                        .filter(state -> state.rank() != rank && state.rank() != 0)
                        .filter(state -> rank == 0 || state.rank() != HOLD_RANK)
                        .allMatch(state -> state.armedVersion() == targetVersion
                                && nowMs - state.reportedMs() <= MAX_STATE_AGE_MS);
    }

    private List<SwitchAction> actionsWhenClearing(long nowMs) {
        // A prepared version newer than the requested one also makes the orders of this change void.
        if (allRanks(
                nowMs, state -> state.preparedVersion() >= targetVersion && state.armedVersion() == RankState.NONE)) {
            armStateUnknown = false;
            return startReleasing(nowMs);
        }
        ExpertPlacement map = targetMap;
        return map == null
                ? List.of()
                : List.of(new SwitchAction.SetDesiredState(new DesiredRankState.Cleared(targetVersion, map)));
    }

    private List<SwitchAction> startReleasing(long nowMs) {
        enterPhase(Phase.RELEASING, nowMs);
        return List.of(new SwitchAction.Release(heldStep));
    }

    private List<SwitchAction> actionsWhenReleasing(long nowMs) {
        RankState holdRankState = states.get(HOLD_RANK);
        if (holdRankState != null
                && holdRankState.heldStep() != heldStep
                && holdRankState.reportedMs() > phaseStartedMs) {
            enterPhase(Phase.IDLE, nowMs);
            return List.of();
        }
        return List.of(new SwitchAction.Release(heldStep));
    }

    private boolean allRanks(long nowMs, Predicate<RankState> condition) {
        RankState own = states.get(ownRank);
        return own != null
                && states.size() >= ranks
                && states.values().stream()
                        .filter(state -> !recovering || state.rank() != 0)
                        .allMatch(state -> state.epoch() == own.epoch()
                                && nowMs - state.reportedMs() <= MAX_STATE_AGE_MS
                                && condition.test(state));
    }

    private void enterPhase(Phase next, long nowMs) {
        recovering &= next != Phase.IDLE;
        phase = next;
        phaseStartedMs = nowMs;
    }
}
