package org.kingcuproad.policy.lockstep;

import java.util.Optional;

/** Order to the model engine of one rank. The simple class names appear in log fields. */
public sealed interface EngineOrder {

    /**
     * Copies the experts that the map adds to the rank.
     *
     * @param version version of the map
     * @param map the map
     */
    record Prepare(long version, ExpertPlacement map) implements EngineOrder {}

    /**
     * Switches to a prepared map when a given pass begins.
     *
     * @param version version of the map
     * @param step step number of the pass
     */
    record Arm(long version, long step) implements EngineOrder {}

    /**
     * Revokes an arm order.
     *
     * @param version version of the map
     */
    record Disarm(long version) implements EngineOrder {}

    /**
     * Keeps the group from beginning a pass.
     *
     * @param step step number of the pass
     */
    record Hold(long step) implements EngineOrder {}

    /**
     * Lets the group begin a held pass.
     *
     * @param step step number of the pass
     */
    record Release(long step) implements EngineOrder {}

    /**
     * Returns the next order needed to bring a rank to the desired state.
     *
     * @param state the current state of the rank
     * @param desired the desired state
     * @return the order, or empty if the rank is in the desired state or can't reach it from its current one
     */
    static Optional<EngineOrder> next(RankState state, DesiredRankState desired) {
        return switch (desired) {
            case DesiredRankState.Prepared prepared ->
                state.preparedVersion() >= prepared.version() || state.armedVersion() != RankState.NONE
                        ? Optional.empty()
                        : Optional.of(new Prepare(prepared.version(), prepared.map()));
            case DesiredRankState.Armed armed ->
                state.armedVersion() == armed.version() || state.preparedVersion() != armed.version()
                        ? Optional.empty()
                        : Optional.of(new Arm(armed.version(), armed.step()));
            case DesiredRankState.Cleared cleared -> {
                if (state.armedVersion() != RankState.NONE) {
                    yield Optional.of(new Disarm(state.armedVersion()));
                }
                yield state.preparedVersion() >= cleared.version()
                        ? Optional.empty()
                        : Optional.of(new Prepare(cleared.version(), cleared.map()));
            }
        };
    }
}
