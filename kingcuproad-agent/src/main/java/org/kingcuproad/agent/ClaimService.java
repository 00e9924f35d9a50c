package org.kingcuproad.agent;

/** Claims idempotency keys in the store before their requests are executed. Confined to the event loop of the agent. */
interface ClaimService {

    /**
     * Claims the idempotency key of a request. The result is reported by {@link RequestDispatcher#claimGranted},
     * {@link RequestDispatcher#claimAlreadyExecuted} or {@link RequestDispatcher#claimFailed}.
     *
     * @param run run of the request, which must not start before the claim is granted
     */
    void claim(Run run);

    /**
     * Records the end of a run whose claim was granted.
     *
     * @param run the ended run
     */
    void finished(Run run);

    /** Processes timers. */
    void tick();

    /**
     * Returns whether enough time has passed for the outcomes of ended runs to be written to the store.
     *
     * @return {@code true} if the agent may exit
     */
    boolean flushed();
}
