package org.kingcuproad.policy.claim;

/** What the agent carries out for a claim shard. */
public sealed interface ClaimEffect {

    /**
     * Call the store and pass the result to {@link ClaimShard#storeResult}.
     *
     * @param callId number of the call
     * @param call the call
     */
    record Call(long callId, StoreCall call) implements ClaimEffect {}

    /**
     * Act on an offered order.
     *
     * @param requestId the request
     * @param decision what becomes of it
     */
    record Decide(String requestId, ClaimDecision decision) implements ClaimEffect {}
}
