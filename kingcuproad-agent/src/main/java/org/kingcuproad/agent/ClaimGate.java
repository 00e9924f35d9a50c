package org.kingcuproad.agent;

/** Decides by the claims in the store whether a keyed order may run. Used on the event loop of the agent. */
interface ClaimGate {

    /**
     * Claims the key of an order. The gate later calls {@link AgentCore#claimGranted}, {@link AgentCore#claimAnswered}
     * or {@link AgentCore#claimFailed}.
     *
     * @param run the order, which does not run before it is granted
     */
    void claim(Run run);

    /**
     * Stores the outcome of an order whose claim was granted.
     *
     * @param run the ended order
     */
    void finished(Run run);
}
