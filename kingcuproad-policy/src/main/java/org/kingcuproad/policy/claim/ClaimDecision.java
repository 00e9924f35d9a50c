package org.kingcuproad.policy.claim;

import org.kingcuproad.model.ErrorKind;

/** What becomes of an order that was offered to a claim shard. */
public sealed interface ClaimDecision {

    /**
     * Its claim by this incarnation is in the store and it did not run yet. Call {@link ExecutionRecord#beginClaimed};
     * run it if that returns {@code true}, otherwise call {@link ClaimShard#notRun}.
     */
    record RunNow() implements ClaimDecision {}

    /**
     * It ran; answer with the stored outcome, or {@code already-ran} if the body is not kept.
     *
     * @param outcome the stored outcome
     */
    record Stored(Outcome outcome) implements ClaimDecision {}

    /**
     * It was claimed by an agent that may be alive, and has no outcome. That agent's record has the answer; if the
     * incarnation is gone, the answer is {@code outcome-unknown}.
     *
     * @param upstream upstream of the claiming agent
     * @param incarnation its incarnation
     */
    record AskClaimant(String upstream, long incarnation) implements ClaimDecision {}

    /**
     * This request does not run.
     *
     * @param kind {@code store-unavailable}, {@code key-reused}, {@code outcome-unknown} or {@code overloaded}
     */
    record Refuse(ErrorKind kind) implements ClaimDecision {}
}
