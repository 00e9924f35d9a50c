package org.kingcuproad.policy.mapswitch;

import org.jspecify.annotations.Nullable;

/**
 * What the agent carries out for its rank. Engine commands are carried out one after the other, in order, and repeated
 * until the engine answers; all of them may be repeated.
 */
public sealed interface RankEffect {

    /**
     * Let the engine load the weights; report with {@link RankSwitch#engineLoaded} or {@link RankSwitch#engineRefused}.
     *
     * @param fence fencing token
     * @param id the switch
     */
    record LoadEngine(long fence, SwitchId id) implements RankEffect {}

    /**
     * Let the engine not start a step until released; report with {@link RankSwitch#engineHeld}.
     *
     * @param fence fencing token
     * @param id the switch whose step is held
     */
    record HoldEngine(long fence, SwitchId id) implements RankEffect {}

    /**
     * Let the engine use a map from a step on and release the hold.
     *
     * @param fence fencing token
     * @param id the switch
     */
    record SwitchEngine(long fence, SwitchId id) implements RankEffect {}

    /**
     * Release the hold and keep the current map.
     *
     * @param fence fencing token
     */
    record AbortEngine(long fence) implements RankEffect {}

    /** Let the engine start no further step, then report its map with {@link RankSwitch#engineFrozen}. */
    record FreezeEngine() implements RankEffect {}

    /**
     * Load and use a map from the next step on, use another from a later step on if one is given, drop any other
     * scheduled switch, and release all holds.
     *
     * @param baseMap map to use
     * @param committed switch to schedule, or absent
     */
    record JoinEngine(long baseMap, @Nullable SwitchId committed) implements RankEffect {}

    /**
     * Answer the coordinator.
     *
     * @param id the switch
     * @param promised whether the rank promised
     * @param refusal why not, empty if it promised
     * @param highestFence highest fencing token seen
     */
    record AnswerPrepare(SwitchId id, boolean promised, String refusal, long highestFence) implements RankEffect {}

    /**
     * Ask another rank.
     *
     * @param to number of the rank
     * @param query the question
     */
    record Ask(int to, PeerQuery query) implements RankEffect {}

    /**
     * Answer another rank.
     *
     * @param to number of the rank
     * @param reply the answer
     */
    record Answer(int to, PeerReply reply) implements RankEffect {}
}
