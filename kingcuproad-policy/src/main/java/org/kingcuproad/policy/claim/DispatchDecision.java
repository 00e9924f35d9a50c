package org.kingcuproad.policy.claim;

import java.util.Optional;
import org.kingcuproad.model.ErrorKind;

/** What the agent does with a dispatch. */
public sealed interface DispatchDecision {

    /** Run it now. The record already counts it as running. */
    record Run() implements DispatchDecision {}

    /**
     * Offer it to the claim shard of its key, and call {@link ExecutionRecord#beginClaimed} before running it. Another
     * offer of the same request or key joins the one that waits.
     */
    record Claim() implements DispatchDecision {}

    /**
     * Do not run it; its response is that of another dispatch of the same request or key, which waits for its claim or
     * runs.
     *
     * @param requestId request whose response is to be read
     */
    record JoinRunning(String requestId) implements DispatchDecision {}

    /**
     * Do not run it; it ran before.
     *
     * @param requestId request that ran; its response buffer may still be there
     * @param outcome the stored answer, or empty if it is no longer kept, which gives {@code already-ran}
     */
    record JoinFinished(String requestId, Optional<Outcome> outcome) implements DispatchDecision {}

    /**
     * Do not run it.
     *
     * @param kind the kind, whose execution is {@code not-run} only if no copy of this request ran or will run here
     * @param detail why
     */
    record Refuse(ErrorKind kind, String detail) implements DispatchDecision {}
}
