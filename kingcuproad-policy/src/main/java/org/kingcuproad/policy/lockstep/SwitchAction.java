package org.kingcuproad.policy.lockstep;

/** What the coordinator does next. */
public sealed interface SwitchAction {

    /**
     * Keeps the group from beginning a pass.
     *
     * @param step the pass
     */
    record Hold(long step) implements SwitchAction {}

    /**
     * Lets the group begin a pass that was held.
     *
     * @param step the pass
     */
    record Release(long step) implements SwitchAction {}

    /**
     * Lets the group begin a pass that a silent coordinator holds at rank 0.
     *
     * @param step the pass
     */
    record ReleaseCoordinator(long step) implements SwitchAction {}

    /**
     * Tells all ranks what state they should be in.
     *
     * @param wish the state
     */
    record Wish(RankWish wish) implements SwitchAction {}
}
