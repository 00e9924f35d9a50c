package org.kingcuproad.agent;

/** Decides by the claims in the store whether a keyed order may run. Lives on the event loop of the agent. */
interface ClaimGate {

    /**
     * Claims the key of an order. The gate later calls {@link AgentCore#claimGranted}, {@link AgentCore#claimAnswered}
     * or {@link AgentCore#claimFailed}.
     *
     * @param run the order, which does not run before it is granted
     */
    void claim(Run run);

    /**
     * Notes the end of an order whose claim was granted.
     *
     * @param run the ended order
     */
    void finished(Run run);

    /** Lets time pass. */
    void tick();

    /**
     * Tells whether the outcomes of ended orders had the time to reach the store.
     *
     * @return {@code true} if the agent may end
     */
    boolean settled();
}
