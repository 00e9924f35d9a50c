package org.kingcuproad.policy.lockstep;

/** Action that {@link MapSwitchProtocol} requests from the agent that runs it. */
public sealed interface SwitchAction {

    /**
     * Keeps the group from beginning a pass, by an order to the rank {@link MapSwitchProtocol#HOLD_RANK}.
     *
     * @param step step number of the pass
     */
    record Hold(long step) implements SwitchAction {}

    /**
     * Lets the group begin a held pass, by an order to the rank {@link MapSwitchProtocol#HOLD_RANK}.
     *
     * @param step step number of the pass
     */
    record Release(long step) implements SwitchAction {}

    /**
     * Announces the desired state to the ranks. {@link DesiredRankState.Armed} applies to a rank only when
     * {@link MapSwitchProtocol#mayArm} allows it.
     *
     * @param desired the desired state
     */
    record SetDesiredState(DesiredRankState desired) implements SwitchAction {}
}
