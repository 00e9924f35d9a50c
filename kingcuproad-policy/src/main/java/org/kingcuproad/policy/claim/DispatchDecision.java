package org.kingcuproad.policy.claim;

import java.util.Optional;
import org.kingcuproad.model.ErrorKind;

/** How the agent proceeds with a dispatch. */
public sealed interface DispatchDecision {

    /** Execute the request now. The record already lists it as running. */
    record Run() implements DispatchDecision {}

    /**
     * Submit the request to the claim shard of its key, and call {@link ExecutionRecord#beginClaimed} before executing
     * it. Another dispatch of the same request or key joins the one that waits.
     */
    record Claim() implements DispatchDecision {}

    /**
     * Do not execute the request. Its response is that of another dispatch of the same request or key, which is waiting
     * for its claim or running.
     *
     * @param requestId request whose response is to be read
     */
    record JoinRunning(String requestId) implements DispatchDecision {}

    /**
     * Do not execute the request; it has already been executed.
     *
     * @param requestId request that was executed; its response may still be buffered
     * @param outcome the stored response, or empty if it is no longer available, which is answered with
     *     {@code already-ran}
     */
    record JoinFinished(String requestId, Optional<Outcome> outcome) implements DispatchDecision {}

    /**
     * Do not execute the request.
     *
     * @param kind error kind; its execution state is {@code not-run} only if no copy of this request was or will be
     *     executed by this agent
     * @param detail explanation for the caller
     */
    record Refuse(ErrorKind kind, String detail) implements DispatchDecision {}
}
