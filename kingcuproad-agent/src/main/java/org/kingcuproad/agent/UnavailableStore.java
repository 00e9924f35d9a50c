package org.kingcuproad.agent;

import org.kingcuproad.model.ErrorKind;

/** The gate of an agent without a store: refuses each order that needs a claim. */
final class UnavailableStore implements ClaimGate {

    private final AgentCore core;

    UnavailableStore(AgentCore core) {
        this.core = core;
    }

    @Override
    public void claim(Run run) {
        core.claimFailed(run, ErrorKind.STORE_UNAVAILABLE, "the agent has no store");
    }

    @Override
    public void finished(Run run) {}

    @Override
    public void tick() {}

    @Override
    public boolean settled() {
        return true;
    }
}
