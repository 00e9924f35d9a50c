package org.kingcuproad.policy.claim;

import org.kingcuproad.model.ErrorKind;

/** How to proceed with a request that was submitted to a claim shard. */
public sealed interface ClaimDecision {

    /**
     * The claim by this incarnation is in the store and the request has not been executed. Call
     * {@link ExecutionRecord#beginClaimed}; execute the request if it returns {@code true}, otherwise call
     * {@link ClaimShard#recordNotRun}.
     */
    record RunNow() implements ClaimDecision {}

    /**
     * The request was executed. Respond with the stored outcome, or with {@code already-ran} if the body is not stored.
     *
     * @param outcome the stored outcome
     */
    record Stored(Outcome outcome) implements ClaimDecision {}

    /**
     * The request was claimed by an agent that may be alive, and the log has no outcome. The execution record of that
     * agent is authoritative; if its incarnation has ended, the result is {@code outcome-unknown}.
     *
     * @param upstream upstream of the claiming agent
     * @param incarnation its incarnation
     */
    record AskClaimant(String upstream, long incarnation) implements ClaimDecision {}

    /**
     * Do not execute the request.
     *
     * @param kind {@code store-unavailable}, {@code key-reused}, {@code outcome-unknown} or {@code overloaded}
     */
    record Refuse(ErrorKind kind) implements ClaimDecision {}
}
