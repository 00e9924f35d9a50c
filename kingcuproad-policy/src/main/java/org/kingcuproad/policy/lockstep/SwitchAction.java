package org.kingcuproad.policy.lockstep;

/** What the coordinator does next. */
public sealed interface SwitchAction {

    /**
     * Keeps the group from beginning a pass, at the rank {@link PassSwitch#HOLDER}.
     *
     * @param step the pass
     */
    record Hold(long step) implements SwitchAction {}

    /**
     * Lets the group begin a pass that was held, at the rank {@link PassSwitch#HOLDER}.
     *
     * @param step the pass
     */
    record Release(long step) implements SwitchAction {}

    /**
     * Tells ranks what state they should be in; to be armed is for a rank only if {@link PassSwitch#mayArm} says so.
     *
     * @param wish the state
     */
    record Wish(RankWish wish) implements SwitchAction {}
}
