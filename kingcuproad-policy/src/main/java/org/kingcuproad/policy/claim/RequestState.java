package org.kingcuproad.policy.claim;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** What the execution record holds of one request. Mutable; owned by the record. */
final class RequestState {

    /** Progress of a request. */
    enum Phase {
        /** Waits for its claim; it did not run yet. */
        CLAIMING,
        /** Runs. */
        RUNNING,
        /** Ran. */
        FINISHED,
        /** Did not run and never will, up to {@link #fencedAttempt}. */
        FENCED
    }

    final String requestId;
    final @Nullable String key;
    final boolean bound;
    final long requestDigest;
    Phase phase;
    int attempt;
    int fencedAttempt;
    long changedAtMs;
    private @Nullable Outcome outcome;

    RequestState(Order order, Phase phase, long nowMs) {
        this.requestId = order.requestId();
        this.attempt = order.attempt();
        this.key = order.scopedKey();
        this.bound = order.key() != null && BoundKey.parse(order.key()).isPresent();
        this.requestDigest = order.requestDigest();
        this.phase = phase;
        this.changedAtMs = nowMs;
        this.fencedAttempt = -1;
    }

    boolean active() {
        return phase == Phase.CLAIMING || phase == Phase.RUNNING;
    }

    void finish(Outcome result, long nowMs) {
        phase = Phase.FINISHED;
        outcome = result;
        changedAtMs = nowMs;
    }

    void fence(int fencedUpTo, long nowMs) {
        phase = Phase.FENCED;
        fencedAttempt = Math.max(fencedAttempt, fencedUpTo);
        changedAtMs = nowMs;
    }

    Optional<Outcome> outcome() {
        return Optional.ofNullable(outcome);
    }
}
