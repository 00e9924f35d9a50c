package org.kingcuproad.policy.lockstep;

import java.util.Optional;

/** An order to the engine of one rank. */
public sealed interface EngineOrder {

    /**
     * Copies the experts that are new to the rank.
     *
     * @param version version of the map
     * @param map the map
     */
    record Prepare(long version, ExpertLists map) implements EngineOrder {}

    /**
     * Switches to a prepared map when a pass begins.
     *
     * @param version version of the map
     * @param step the pass
     */
    record Arm(long version, long step) implements EngineOrder {}

    /**
     * Takes an arm order back.
     *
     * @param version version of the map
     */
    record Disarm(long version) implements EngineOrder {}

    /**
     * Keeps the group from beginning a pass.
     *
     * @param step the pass
     */
    record Hold(long step) implements EngineOrder {}

    /**
     * Lets the group begin a held pass.
     *
     * @param step the pass
     */
    record Release(long step) implements EngineOrder {}

    /**
     * Decides which order brings a rank closer to the state that is wanted of it.
     *
     * @param state the rank's state
     * @param wish the state that is wanted
     * @return the order, or empty if the rank is there or can't get there
     */
    static Optional<EngineOrder> towards(RankState state, RankWish wish) {
        return switch (wish) {
            case RankWish.Prepared prepared ->
                state.preparedVersion() >= prepared.version() || state.armedVersion() != RankState.NONE
                        ? Optional.empty()
                        : Optional.of(new Prepare(prepared.version(), prepared.map()));
            case RankWish.Armed armed ->
                state.armedVersion() == armed.version() || state.preparedVersion() != armed.version()
                        ? Optional.empty()
                        : Optional.of(new Arm(armed.version(), armed.step()));
            case RankWish.Cleared cleared -> {
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
