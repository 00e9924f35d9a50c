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
 * keeps passes uniform is: ranks are armed only for a pass that is held, and the hold ends only when all ranks are
 * armed for that pass, or when all are armed for nothing and every earlier order is void ({@link RankWish.Cleared}).
 * The coordinator is the agent of rank 0. It holds passes at rank 1, arms all other ranks, then rank 1, and its own
 * rank last.
 *
 * <p>A VM may freeze just after its agent gave an order, and then neither the agent nor the engine beside it answers.
 * So the hold is at another rank than the coordinator's, and the agent of that rank can end it ({@link #rescue}): as
 * long as rank 1 is not armed, rank 0 isn't either, and once rank 1 is cleared, rank 0 will not be. The other ranks are
 * asked.
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
    private static final long HOLD_LIMIT_MS = 110;

    /**
     * Passes between the last one begun and the one that is held. All ranks can be armed in that time even if some
     * orders are lost, so the group seldom stands still.
     */
    private static final long HOLD_AHEAD = 4;

    /**
     * Passes ahead of which no pass is held. An order to release a pass may come seconds late, so no pass is held
     * twice: a coordinator that starts again waits until all passes that its predecessor can have held have begun.
     */
    private static final long MOST_AHEAD = 8;

    /** A state may have been read this long before it arrived. */
    private static final long REPORT_AGE_MS = 150;

    /** Rank at which passes are held. */
    public static final int HOLDER = 1;

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
    private long firstStep = RankState.NONE;
    private boolean rescuing;
    private long releasedMs = Long.MIN_VALUE / 2;

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
        if (state.rank() == ownRank && firstStep == RankState.NONE) {
            firstStep = state.step();
        }
    }

    /**
     * Returns the last state of a rank.
     *
     * @param rank the rank
     * @return its state, or empty if it has told none
     */
    public Optional<RankState> state(int rank) {
        return Optional.ofNullable(states.get(rank));
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
                && own.step() >= firstStep + MOST_AHEAD
                && all(
                        nowMs,
                        state -> state.mapVersion() == own.mapVersion()
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
                        .mapToLong(state ->
                                Math.max(state.mapVersion(), Math.max(state.preparedVersion(), state.armedVersion())))
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
     * Begins to end the hold of a silent coordinator, if that is possible without it.
     *
     * @param nowMs current time, in milliseconds
     * @return whether the hold is being ended
     */
    public boolean rescue(long nowMs) {
        RankState own = states.get(ownRank);
        if (own == null
                || phase != Phase.IDLE
                || ownRank != HOLDER
                || own.heldStep() == RankState.NONE
                || own.armedVersion() != RankState.NONE) {
            return false;
        }
        epoch = own.epoch();
        heldStep = own.heldStep();
        version = RankState.NONE;
        rescuing = true;
        enter(Phase.CLEARING, nowMs);
        return true;
    }

    /**
     * Takes the answer to a hold.
     *
     * @param step the pass
     * @param accepted whether the pass is held
     * @param nowMs current time, in milliseconds
     */
    public void onHold(long step, boolean accepted, long nowMs) {
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
     * Takes the answer to a release.
     *
     * @param step the pass
     * @param accepted whether the pass is no longer held
     * @param nowMs current time, in milliseconds
     */
    public void onRelease(long step, boolean accepted, long nowMs) {
        if (phase == Phase.RELEASING && accepted && step == heldStep) {
            releasedMs = nowMs;
            enter(Phase.IDLE, nowMs);
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
            case CLEARING -> version == RankState.NONE ? startClearing(current, random, nowMs) : whenClearing(nowMs);
            case RELEASING -> whenReleasing(nowMs);
        };
    }

    private List<SwitchAction> whenIdle(RankState own, Optional<ExpertLists> current, int random, long nowMs) {
        RankState holder = states.get(HOLDER);
        if (ownRank != 0
                || holder == null
                || holder.epoch() != own.epoch()
                || holder.heldStep() == RankState.NONE
                || holder.reportedMs() <= releasedMs + REPORT_AGE_MS
                || nowMs - holder.reportedMs() > FRESH_MS) {
            return List.of();
        }
        heldStep = holder.heldStep();
        epoch = own.epoch();
        if (!armsUncertain) {
            return startReleasing(nowMs);
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
        if (nextHoldStep > own.step() + MOST_AHEAD) {
            nextHoldStep--;
            enter(Phase.IDLE, nowMs);
            return List.of();
        }
        holdSentMs = nowMs;
        return List.of(new SwitchAction.Hold(nextHoldStep));
    }

    private List<SwitchAction> whenArming(Optional<ExpertLists> current, int random, long nowMs) {
        if (all(nowMs, state -> state.armedVersion() == version)) {
            armsUncertain = false;
            return startReleasing(nowMs);
        }
        if (nowMs - phaseSinceMs > ARM_LIMIT_MS) {
            return startClearing(current, random, nowMs);
        }
        return List.of(new SwitchAction.Wish(new RankWish.Armed(version, heldStep)));
    }

    /**
     * Tells whether a rank may be armed now: the holder after all ranks but rank 0, and rank 0 last.
     *
     * @param rank the rank
     * @param nowMs current time, in milliseconds
     * @return {@code true} if it is the rank's turn
     */
    public boolean mayArm(int rank, long nowMs) {
        if (phase != Phase.ARMING || (rank != 0 && rank != HOLDER)) {
            return phase == Phase.ARMING;
        }
        return states.size() >= ranks
                && states.values().stream()
                        .filter(state -> state.rank() != rank && state.rank() != 0)
                        .filter(state -> rank == 0 || state.rank() != HOLDER)
                        .allMatch(state -> state.armedVersion() == version && nowMs - state.reportedMs() <= FRESH_MS);
    }

    private List<SwitchAction> whenClearing(long nowMs) {
        // A newer prepared version makes the orders of this change void as well.
        if (all(nowMs, state -> state.preparedVersion() >= version && state.armedVersion() == RankState.NONE)) {
            armsUncertain = false;
            return startReleasing(nowMs);
        }
        ExpertLists map = target;
        return map == null ? List.of() : List.of(new SwitchAction.Wish(new RankWish.Cleared(version, map)));
    }

    private List<SwitchAction> startReleasing(long nowMs) {
        enter(Phase.RELEASING, nowMs);
        return List.of(new SwitchAction.Release(heldStep));
    }

    private List<SwitchAction> whenReleasing(long nowMs) {
        RankState holder = states.get(HOLDER);
        if (holder != null && holder.heldStep() != heldStep && holder.reportedMs() > phaseSinceMs) {
            enter(Phase.IDLE, nowMs);
            return List.of();
        }
        return List.of(new SwitchAction.Release(heldStep));
    }

    private boolean all(long nowMs, Predicate<RankState> condition) {
        RankState own = states.get(ownRank);
        return own != null
                && states.size() >= ranks
                && states.values().stream()
                        .filter(state -> !rescuing || state.rank() != 0)
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
