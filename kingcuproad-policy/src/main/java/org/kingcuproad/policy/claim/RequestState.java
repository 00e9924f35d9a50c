package org.kingcuproad.policy.claim;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The state of one request in the execution record. Mutable; owned by the record. */
final class RequestState {

    /** Progress of a request. */
    enum Phase {
        /** Waiting for its claim; not executed yet. */
        CLAIMING,
        /** Sent to the upstream or about to be sent. */
        RUNNING,
        /** Executed; the outcome is known. */
        FINISHED,
        /** Not executed; no attempt up to {@link #fencedAttempt} will be executed. */
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

    RequestState(DispatchRequest request, Phase phase, long nowMs) {
        this.requestId = request.requestId();
        this.attempt = request.attempt();
        this.key = request.scopedKey();
        this.bound = request.key() != null && BoundKey.parse(request.key()).isPresent();
        this.requestDigest = request.requestDigest();
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
