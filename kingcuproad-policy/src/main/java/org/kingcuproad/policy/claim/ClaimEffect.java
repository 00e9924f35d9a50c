package org.kingcuproad.policy.claim;

/** An effect that the agent executes on behalf of a claim shard. */
public sealed interface ClaimEffect {

    /**
     * Calls the store. Pass the result to {@link ClaimShard#onStoreResult}.
     *
     * @param callId identifier of the call
     * @param call the call
     */
    record Call(long callId, StoreCall call) implements ClaimEffect {}

    /**
     * Applies the decision on a submitted request.
     *
     * @param requestId identifier of the request
     * @param decision how to proceed with it
     */
    record Decide(String requestId, ClaimDecision decision) implements ClaimEffect {}
}
