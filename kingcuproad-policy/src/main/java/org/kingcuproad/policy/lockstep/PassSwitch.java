package org.kingcuproad.policy.lockstep;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Changes the map of a group so that every pass begins with the same map on all ranks.
 *
 * <p>Orders may get no answer and be carried out seconds later, and ranks don't check who gives them. The rule that
 * keeps passes uniform is: ranks are armed only for a pass that is held, and the hold ends only when all ranks are armed
 * for that pass, or when all are armed for nothing and every earlier order is void ({@link RankWish.Cleared}). The
 * coordinator is the agent of rank 0 and holds passes at its own rank. When it starts again it finds its hold in the
 * rank's state and ends it by clearing.
 *
 * <p>When the coordinator falls silent while a pass is held, the agent of rank 1 ends the hold ({@link #rescue}). It
 * first holds the same pass at its own rank, so that the group can't begin it although the coordinator may come back
 * and release it; then it clears all ranks; then it releases both holds. A coordinator that comes back holds only later
 * passes, so the release of the old one can't touch them.
 *
 * <p>An object belongs to one event loop. It is fed with the states of the ranks and asked by {@link #next} what to do.
 */
public final class PassSwitch {

    /** Ranks report several times a second; an older state may be from before a cut. */
    private static final long FRESH_MS = 700;

    /** Copies of some experts take less than a second. A rank that needs longer was probably cut off. */
    private static final long PREPARE_LIMIT_MS = 6_000;

    /** The group stands still while ranks are armed; a rank that loses orders gets a few more within this time. */
    private static final long ARM_LIMIT_MS = 500;

    /** A hold order without an answer in this time is treated as lost, and its late effect is undone. */
    private static final long HOLD_LIMIT_MS = 60;

    /**
     * Passes between the last one begun and the one that is held. All ranks can be armed in that time even if some
     * orders are lost, so the group seldom stands still.
     */
    private static final long HOLD_AHEAD = 4;

    /** Phases of a change. */
    public enum Phase {

        /** Nothing is going on. */
        IDLE,

        /** Ranks copy experts. */
        PREPARING,

        /** A pass is being held. */
        HOLDING,

        /** Ranks are armed for the held pass. */
        ARMING,

        /** The pass that a silent coordinator holds is being held at this rank too. */
        JOINING,

        /** Ranks are brought back to the map in use. */
        CLEARING,

        /** The held pass is being released. */
        RELEASING
    }

    private final int ranks;
    private final int ownRank;
    private final TreeMap<Integer, RankState> states = new TreeMap<>();
    private Phase phase = Phase.IDLE;
    private long phaseSinceMs;
    private long epoch = RankState.NONE;
    private long version = RankState.NONE;
    private @Nullable ExpertLists target;
    private long heldStep = RankState.NONE;
    private long holdSentMs;
    private long nextHoldStep;
    private boolean armsUncertain = true;
    private boolean rescuing;

    /**
     * Creates a coordinator that knows nothing of earlier ones.
     *
     * @param ranks number of ranks of the group
     * @param ownRank rank of the agent that this object belongs to
     */
    public PassSwitch(int ranks, int ownRank) {
        this.ranks = ranks;
        this.ownRank = ownRank;
    }

    /**
     * Takes a rank's state.
     *
     * @param state the state
     */
    public void onState(RankState state) {
        RankState known = states.get(state.rank());
        if (known == null || state.epoch() >= known.epoch()) {
            states.put(state.rank(), state);
        }
    }

    /**
     * Returns the phase.
     *
     * @return the phase
     */
    public Phase phase() {
        return phase;
    }

    /**
     * Tells whether a change may begin.
     *
     * @param nowMs current time, in milliseconds
     * @return {@code true} if all ranks are known, work with the same map, and are neither armed nor held
     */
    public boolean mayBegin(long nowMs) {
        RankState own = states.get(ownRank);
        return phase == Phase.IDLE
                && own != null
                && own.open()
                && all(nowMs, state -> state.mapVersion() == own.mapVersion()
                        && state.armedVersion() == RankState.NONE
                        && state.heldStep() == RankState.NONE);
    }

    /**
     * Returns a version that is higher than all that the ranks report.
     *
     * @param random a random number; versions of a coordinator and its successor must differ, since a late order of one
     *     must not be taken for the other's
     * @return the version
     */
    public long newVersion(int random) {
        return states.values().stream()
                        .mapToLong(state -> Math.max(
                                state.mapVersion(), Math.max(state.preparedVersion(), state.armedVersion())))
                        .max()
                        .orElse(0)
                + 1
                + Math.floorMod(random, 1_000);
    }

    /**
     * Begins a change.
     *
     * @param newVersion version of the new map
     * @param map the new map
     * @param nowMs current time, in milliseconds
     */
    public void begin(long newVersion, ExpertLists map, long nowMs) {
        RankState own = states.get(ownRank);
        if (own == null || !mayBegin(nowMs)) {
            throw new IllegalStateException("the group is not ready for a change");
        }
        version = newVersion;
        target = map;
        epoch = own.epoch();
        heldStep = RankState.NONE;
        holdSentMs = Long.MIN_VALUE / 2;
        enter(Phase.PREPARING, nowMs);
    }

    /**
     * Begins to end the hold of a silent coordinator.
     *
     * @param step the pass that rank 0 holds
     * @param nowMs current time, in milliseconds
     */
    public void rescue(long step, long nowMs) {
        RankState own = states.get(ownRank);
        if (own == null || phase != Phase.IDLE || own.step() >= step) {
            return;
        }
        epoch = own.epoch();
        nextHoldStep = step;
        holdSentMs = Long.MIN_VALUE / 2;
        rescuing = true;
        enter(Phase.JOINING, nowMs);
    }

    /**
     * Takes the answer to a hold.
     *
     * @param step the pass
     * @param accepted whether the pass is held
     * @param nowMs current time, in milliseconds
     */
    public void onHold(long step, boolean accepted, long nowMs) {
        if (phase == Phase.JOINING && step == nextHoldStep) {
            heldStep = step;
            enter(accepted ? Phase.CLEARING : Phase.IDLE, nowMs);
            version = RankState.NONE;
            return;
        }
        if (phase != Phase.HOLDING || step != nextHoldStep) {
            return;
        }
        if (accepted) {
            heldStep = step;
            armsUncertain = true;
            enter(Phase.ARMING, nowMs);
        } else {
            holdSentMs = Long.MIN_VALUE / 2;
        }
    }

    /**
     * Decides what to do next.
     *
     * @param current the map in use, if all ranks told what they hold
     * @param random a random number for a new version
     * @param nowMs current time, in milliseconds
     * @return the actions; wishes are repeated until they are fulfilled
     */
    public List<SwitchAction> next(Optional<ExpertLists> current, int random, long nowMs) {
        RankState own = states.get(ownRank);
        if (own == null) {
            return List.of();
        }
        if (phase != Phase.IDLE && own.epoch() != epoch) {
            // A new formation begins with map 0 and nothing prepared, armed or held.
            armsUncertain = false;
            enter(Phase.IDLE, nowMs);
        }
        return switch (phase) {
            case IDLE -> whenIdle(own, current, random, nowMs);
            case PREPARING -> whenPreparing(own, nowMs);
            case HOLDING -> whenHolding(own, nowMs);
            case ARMING -> whenArming(current, random, nowMs);
            case JOINING -> whenJoining(own, nowMs);
            case CLEARING -> version == RankState.NONE ? startClearing(current, random, nowMs) : whenClearing(nowMs);
            case RELEASING -> whenReleasing(own, nowMs);
        };
    }

    private List<SwitchAction> whenIdle(RankState own, Optional<ExpertLists> current, int random, long nowMs) {
        if (own.heldStep() == RankState.NONE) {
            return List.of();
        }
        heldStep = own.heldStep();
        epoch = own.epoch();
        if (!armsUncertain) {
            enter(Phase.RELEASING, nowMs);
            return List.of(new SwitchAction.Release(heldStep));
        }
        return startClearing(current, random, nowMs);
    }

    private List<SwitchAction> startClearing(Optional<ExpertLists> current, int random, long nowMs) {
        if (current.isEmpty()) {
            return List.of();
        }
        version = newVersion(random);
        target = current.get();
        enter(Phase.CLEARING, nowMs);
        return whenClearing(nowMs);
    }

    private List<SwitchAction> whenPreparing(RankState own, long nowMs) {
        if (all(nowMs, state -> state.preparedVersion() == version)) {
            enter(Phase.HOLDING, nowMs);
            return whenHolding(own, nowMs);
        }
        if (nowMs - phaseSinceMs > PREPARE_LIMIT_MS || !own.open()) {
            enter(Phase.IDLE, nowMs);
            return List.of();
        }
        ExpertLists map = target;
        return map == null ? List.of() : List.of(new SwitchAction.Wish(new RankWish.Prepared(version, map)));
    }

    private List<SwitchAction> whenHolding(RankState own, long nowMs) {
        if (nowMs - holdSentMs < HOLD_LIMIT_MS) {
            return List.of();
        }
        if (nowMs - phaseSinceMs > PREPARE_LIMIT_MS || !own.open()) {
            enter(Phase.IDLE, nowMs);
            return List.of();
        }
        nextHoldStep = Math.max(nextHoldStep + 1, own.step() + HOLD_AHEAD);
        holdSentMs = nowMs;
        return List.of(new SwitchAction.Hold(nextHoldStep));
    }

    private List<SwitchAction> whenJoining(RankState own, long nowMs) {
        if (own.step() >= nextHoldStep) {
            enter(Phase.IDLE, nowMs);
            return List.of();
        }
        if (nowMs - holdSentMs < HOLD_LIMIT_MS) {
            return List.of();
        }
        holdSentMs = nowMs;
        return List.of(new SwitchAction.Hold(nextHoldStep));
    }

    private List<SwitchAction> whenArming(Optional<ExpertLists> current, int random, long nowMs) {
        if (all(nowMs, state -> state.armedVersion() == version)) {
            armsUncertain = false;
            enter(Phase.RELEASING, nowMs);
            return List.of(new SwitchAction.Release(heldStep));
        }
        if (nowMs - phaseSinceMs > ARM_LIMIT_MS) {
            return startClearing(current, random, nowMs);
        }
        return List.of(new SwitchAction.Wish(new RankWish.Armed(version, heldStep)));
    }

    private List<SwitchAction> whenClearing(long nowMs) {
        // A newer prepared version makes the orders of this change void as well.
        if (all(nowMs, state -> state.preparedVersion() >= version && state.armedVersion() == RankState.NONE)) {
            armsUncertain = false;
            enter(Phase.RELEASING, nowMs);
            return List.of(new SwitchAction.Release(heldStep));
        }
        ExpertLists map = target;
        return map == null ? List.of() : List.of(new SwitchAction.Wish(new RankWish.Cleared(version, map)));
    }

    private List<SwitchAction> whenReleasing(RankState own, long nowMs) {
        RankState coordinator = states.get(0);
        boolean ownReleased = own.heldStep() != heldStep && own.reportedMs() > phaseSinceMs;
        boolean otherReleased = !rescuing
                || coordinator == null
                || (coordinator.heldStep() != heldStep && coordinator.reportedMs() > phaseSinceMs)
                || own.step() >= heldStep;
        if (ownReleased && otherReleased) {
            enter(Phase.IDLE, nowMs);
            return List.of();
        }
        if (ownReleased) {
            return List.of(new SwitchAction.ReleaseCoordinator(heldStep));
        }
        return List.of(new SwitchAction.Release(heldStep));
    }

    private boolean all(long nowMs, Predicate<RankState> condition) {
        RankState own = states.get(ownRank);
        return own != null
                && states.size() >= ranks
                && states.values().stream()
                        .allMatch(state -> state.epoch() == own.epoch()
                                && nowMs - state.reportedMs() <= FRESH_MS
                                && condition.test(state));
    }

    private void enter(Phase next, long nowMs) {
        rescuing &= next != Phase.IDLE;
        phase = next;
        phaseSinceMs = nowMs;
    }
}
