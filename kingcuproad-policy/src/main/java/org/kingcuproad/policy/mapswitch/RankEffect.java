package org.kingcuproad.policy.mapswitch;

import org.jspecify.annotations.Nullable;

/**
 * An effect that the agent executes for its rank. Engine commands are executed sequentially in order, and each is
 * retried until the engine responds; all of them are idempotent.
 */
public sealed interface RankEffect {

    /**
     * Makes the engine load the weights. Report the result with {@link RankSwitch#engineLoaded} or
     * {@link RankSwitch#engineRefused}.
     *
     * @param fence fencing token
     * @param id the switch
     */
    record LoadEngine(long fence, SwitchId id) implements RankEffect {}

    /**
     * Prevents the engine from starting a step until it is released. Report the result with
     * {@link RankSwitch#engineHeld}.
     *
     * @param fence fencing token
     * @param id the switch whose step is held
     */
    record HoldEngine(long fence, SwitchId id) implements RankEffect {}

    /**
     * Makes the engine use a map from a given step on, and releases the hold.
     *
     * @param fence fencing token
     * @param id the switch
     */
    record SwitchEngine(long fence, SwitchId id) implements RankEffect {}

    /**
     * Releases the hold and keeps the current map.
     *
     * @param fence fencing token
     */
    record AbortEngine(long fence) implements RankEffect {}

    /** Prevents the engine from starting any further step. Report its map with {@link RankSwitch#engineFrozen}. */
    record FreezeEngine() implements RankEffect {}

    /**
     * Makes the engine load a map and use it from the next step on, schedules the committed switch if there is one,
     * cancels any other scheduled switch, and releases all holds.
     *
     * @param baseMap map to use
     * @param committed switch to schedule, or absent
     */
    record JoinEngine(long baseMap, @Nullable SwitchId committed) implements RankEffect {}

    /**
     * Answers the prepare request of a coordinator.
     *
     * @param id the switch
     * @param promised whether the rank promised
     * @param refusal reason for the refusal, empty if the rank promised
     * @param highestFence highest fencing token seen
     */
    record AnswerPrepare(SwitchId id, boolean promised, String refusal, long highestFence) implements RankEffect {}

    /**
     * Sends a query to another rank.
     *
     * @param to number of the rank
     * @param query the query
     */
    record SendQuery(int to, PeerQuery query) implements RankEffect {}

    /**
     * Sends a reply to another rank.
     *
     * @param to number of the rank
     * @param reply the reply
     */
    record SendReply(int to, PeerReply reply) implements RankEffect {}
}
