package org.kingcuproad.agent;

import org.kingcuproad.model.ErrorKind;

/** Claim service of an agent without a store; refuses every request that needs a claim. */
final class DisabledClaimService implements ClaimService {

    private final RequestDispatcher dispatcher;

    DisabledClaimService(RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    @Override
    public void claim(Run run) {
        dispatcher.claimFailed(run, ErrorKind.STORE_UNAVAILABLE, "The agent has no claim store.");
    }

    @Override
    public void finished(Run run) {}

    @Override
    public void tick() {}

    @Override
    public boolean flushed() {
        return true;
    }
}
