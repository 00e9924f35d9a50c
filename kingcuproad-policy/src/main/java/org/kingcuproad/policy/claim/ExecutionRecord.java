package org.kingcuproad.policy.claim;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;

/**
 * The requests that one incarnation of an agent has received, with their execution state. This is the last check before
 * a request is sent to the upstream.
 *
 * <p>Contract with the entry: an attempt is dispatched once, on one connection. If the connection is lost, the entry
 * calls {@link #fence} or {@link #resume} and never dispatches the same attempt again. Without this rule, the refusal
 * of a dispatch that names another incarnation would not prove "not run".
 *
 * <p>Retention: waiting and running requests are kept in full. Ended requests are kept in full for
 * {@link #RETENTION_MS}, at most {@link #MAX_ENDED} of them. After that a 64-bit hash remains for as long as the
 * incarnation lives, and the answers are {@code already-ran} to a dispatch and {@link FenceDecision#RAN} to a fence, or
 * again "not run" if the request was fenced. When {@link #full} the agent starts a new incarnation with an empty
 * record, keeps this one for the requests that still run, and refuses dispatches that name it. "Not run" is never
 * concluded from the absence of an entry that was evicted.
 */
public final class ExecutionRecord {

    /** Time for which an ended request is kept in full, in milliseconds. */
    public static final long RETENTION_MS = 60_000;

    /**
     * Maximum number of ended requests that are kept in full; with outcomes of at most 4 KiB they hold at most 4 MiB.
     */
    public static final int MAX_ENDED = 1_000;

    /** Maximum number of requests that are remembered by hash; the set takes 4 MiB of the agent's 24 MiB heap. */
    public static final int MAX_REMEMBERED = 250_000;

    private static final LongHashFunction RAN_HASH = LongHashFunction.xx3(1);
    private static final LongHashFunction FENCED_HASH = LongHashFunction.xx3(2);
    private static final LongHashFunction KEY_HASH = LongHashFunction.xx3(3);

    private final long incarnation;
    private final int maxRemembered;
    private final Map<String, RequestState> requests = new HashMap<>();
    private final Map<String, RequestState> byKey = new HashMap<>();
    private final ArrayDeque<RequestState> endedRequests = new ArrayDeque<>();
    private final HashSet64 rememberedHashes = new HashSet64();
    private boolean draining;
    private int activeCount;

    /**
     * Creates an empty record.
     *
     * @param incarnation random number of this incarnation, not zero
     */
    public ExecutionRecord(long incarnation) {
        this(incarnation, MAX_REMEMBERED);
    }

    /**
     * Creates an empty record with a given limit.
     *
     * @param incarnation random number of this incarnation, not zero
     * @param maxRemembered maximum number of requests that are remembered
     */
    public ExecutionRecord(long incarnation, int maxRemembered) {
        this.incarnation = incarnation;
        this.maxRemembered = maxRemembered;
    }

    /**
     * Returns the incarnation that this record belongs to.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Decides what to do with a dispatch.
     *
     * @param request the dispatch
     * @param nowMs current time
     * @return the decision
     */
    public DispatchDecision dispatch(DispatchRequest request, long nowMs) {
        evict(nowMs);
        Optional<DispatchDecision> refused = checkIncarnation(request);
        return refused.orElseGet(() -> decideKnown(request).orElseGet(() -> admit(request, nowMs)));
    }

    /**
     * Moves a request whose claim is in the store from claiming to running.
     *
     * @param requestId the request that was claimed
     * @param nowMs current time
     * @return {@code true} if the request is now recorded as running; {@code false} if it was fenced in the meantime
     *     and must not be executed
     */
    public boolean beginClaimed(String requestId, long nowMs) {
        RequestState state = requests.get(requestId);
        if (state == null || state.phase != RequestState.Phase.CLAIMING) {
            return false;
        }
        state.phase = RequestState.Phase.RUNNING;
        state.changedAtMs = nowMs;
        return true;
    }

    /**
     * Ends a request that waited for its claim and will not be executed, because the claim log already had a result for
     * its key or the store was unavailable. A late dispatch of the attempt is refused.
     *
     * @param requestId the request
     * @param nowMs current time
     */
    public void abandonClaim(String requestId, long nowMs) {
        RequestState state = requests.get(requestId);
        if (state != null && state.phase == RequestState.Phase.CLAIMING) {
            fenceState(state, state.attempt, nowMs);
        }
    }

    /**
     * Records the end of a run, whether it succeeded or failed.
     *
     * @param requestId the request
     * @param outcome response of the run
     * @param nowMs current time
     */
    public void finish(String requestId, Outcome outcome, long nowMs) {
        RequestState state = requests.get(requestId);
        if (state != null && state.phase == RequestState.Phase.RUNNING) {
            activeCount--;
            state.finish(outcome, nowMs);
            endedRequests.addLast(state);
        }
        evict(nowMs);
    }

    /**
     * Records that a run certainly did not reach the upstream, for example because the connection was refused. The
     * attempt is then treated as fenced, and a further attempt may be executed.
     *
     * @param requestId the request
     * @param nowMs current time
     */
    public void markNotRun(String requestId, long nowMs) {
        RequestState state = requests.get(requestId);
        if (state != null && state.phase == RequestState.Phase.RUNNING) {
            fenceState(state, state.attempt, nowMs);
        }
    }

    /**
     * Fences an attempt: unless it is running or has been executed, no later dispatch of it will be executed.
     *
     * @param requestId the request
     * @param attempt number of the attempt; earlier attempts are fenced with it
     * @param dispatchedIncarnation incarnation that the attempt was dispatched to
     * @param nowMs current time
     * @return what is known for certain about the attempt
     */
    public FenceDecision fence(String requestId, int attempt, long dispatchedIncarnation, long nowMs) {
        evict(nowMs);
        if (dispatchedIncarnation != incarnation) {
            return FenceDecision.UNKNOWN_INCARNATION;
        }
        RequestState state = requests.get(requestId);
        if (state == null) {
            return fenceUnknown(requestId, attempt, nowMs);
        }
        return switch (state.phase) {
            case RUNNING -> FenceDecision.RUNNING;
            case FINISHED -> FenceDecision.RAN;
            case FENCED -> {
                state.fence(attempt, nowMs);
                yield FenceDecision.FENCED_NOT_RUN;
            }
            case CLAIMING -> {
                if (state.attempt > attempt) {
                    yield FenceDecision.RUNNING;
                }
                fenceState(state, attempt, nowMs);
                yield FenceDecision.FENCED_NOT_RUN;
            }
        };
    }

    /**
     * Decides which response a resume reads. Resuming an attempt that has not arrived fences it, so that the refusal
     * proves that it will not be executed.
     *
     * @param requestId the request
     * @param attempt number of the attempt
     * @param dispatchedIncarnation incarnation that the attempt was dispatched to
     * @param nowMs current time
     * @return a decision to join the response or to refuse
     */
    public DispatchDecision resume(String requestId, int attempt, long dispatchedIncarnation, long nowMs) {
        RequestState state = requests.get(requestId);
        if (dispatchedIncarnation == incarnation && state != null && state.phase == RequestState.Phase.CLAIMING) {
            return new DispatchDecision.JoinRunning(requestId);
        }
        return switch (fence(requestId, attempt, dispatchedIncarnation, nowMs)) {
            case FENCED_NOT_RUN -> new DispatchDecision.Refuse(ErrorKind.NO_UPSTREAM, "The attempt did not arrive.");
            case RUNNING -> new DispatchDecision.JoinRunning(requestId);
            case RAN ->
                new DispatchDecision.JoinFinished(requestId, state == null ? Optional.empty() : state.outcome());
            case UNKNOWN_INCARNATION ->
                new DispatchDecision.Refuse(ErrorKind.UPSTREAM_LOST, "The agent restarted after the dispatch.");
        };
    }

    /**
     * Looks up a request by its idempotency key, for a claim that names this incarnation.
     *
     * @param workspace workspace of the caller
     * @param key idempotency key
     * @return the waiting, running or ended request with the key, or empty if none is kept
     */
    public Optional<DispatchDecision> findKey(String workspace, String key) {
        RequestState state = byKey.get(DispatchRequest.scopedKey(workspace, key));
        if (state == null || state.phase == RequestState.Phase.FENCED) {
            return Optional.empty();
        }
        return Optional.of(join(state));
    }

    /** Refuses all new work from now on; requests in progress go on. */
    public void startDraining() {
        draining = true;
    }

    /**
     * Returns whether a graceful shutdown may end the process.
     *
     * @return {@code true} if nothing waits for a claim or runs
     */
    public boolean idle() {
        return activeCount == 0;
    }

    /**
     * Returns whether a new incarnation with an empty record has to be started. New work is refused as
     * {@code overloaded} until then.
     *
     * @return {@code true} if the limit on remembered requests is reached
     */
    public boolean full() {
        return rememberedHashes.size() + requests.size() >= maxRemembered;
    }

    /**
     * Refuses a dispatch for another incarnation. An earlier dispatch with a bound key may have been executed by the
     * incarnation that the key names, so such a request is never reported as "not run".
     */
    private Optional<DispatchDecision> checkIncarnation(DispatchRequest request) {
        Optional<BoundKey> boundKey = parseBoundKey(request.key());
        if (boundKey.isPresent() && boundKey.get().incarnation() != incarnation) {
            return refuse(ErrorKind.OUTCOME_UNKNOWN, "The incarnation that the key is bound to is gone.");
        }
        if (request.incarnation() != incarnation && !(request.incarnation() == 0 && request.idempotent())) {
            return refuse(ErrorKind.NO_UPSTREAM, "The dispatch names another incarnation.");
        }
        return Optional.empty();
    }

    private Optional<DispatchDecision> decideKnown(DispatchRequest request) {
        RequestState sameRequest = requests.get(request.requestId());
        if (sameRequest != null && sameRequest.phase != RequestState.Phase.FENCED) {
            return Optional.of(join(sameRequest));
        }
        if (sameRequest != null && request.attempt() <= sameRequest.fencedAttempt) {
            return refuse(ErrorKind.NO_UPSTREAM, "The attempt is fenced.");
        }
        Optional<DispatchDecision> hashed = decideByHash(request);
        return hashed.isPresent() ? hashed : decideByKey(request);
    }

    private Optional<DispatchDecision> decideByHash(DispatchRequest request) {
        if (rememberedHashes.contains(FENCED_HASH.hashChars(request.requestId()))) {
            return refuse(ErrorKind.NO_UPSTREAM, "An earlier attempt of the request is fenced.");
        }
        String key = request.scopedKey();
        boolean ran = rememberedHashes.contains(RAN_HASH.hashChars(request.requestId()))
                || (key != null && rememberedHashes.contains(KEY_HASH.hashChars(key)));
        return ran && !request.idempotent()
                ? Optional.of(new DispatchDecision.JoinFinished(request.requestId(), Optional.empty()))
                : Optional.empty();
    }

    private Optional<DispatchDecision> decideByKey(DispatchRequest request) {
        String key = request.scopedKey();
        RequestState sameKey = key == null ? null : byKey.get(key);
        if (sameKey == null || sameKey.phase == RequestState.Phase.FENCED) {
            return Optional.empty();
        }
        if (sameKey.requestDigest != request.requestDigest()) {
            return refuse(ErrorKind.KEY_REUSED, ErrorKind.KEY_REUSED.meaning());
        }
        return Optional.of(join(sameKey));
    }

    private DispatchDecision admit(DispatchRequest request, long nowMs) {
        if (draining) {
            return new DispatchDecision.Refuse(ErrorKind.SHUTTING_DOWN, ErrorKind.SHUTTING_DOWN.meaning());
        }
        if (full()) {
            return new DispatchDecision.Refuse(ErrorKind.OVERLOADED, "The execution record is full.");
        }
        String key = request.scopedKey();
        boolean claim = key != null
                && !request.idempotent()
                && parseBoundKey(request.key()).isEmpty();
        RequestState state =
                new RequestState(request, claim ? RequestState.Phase.CLAIMING : RequestState.Phase.RUNNING, nowMs);
        RequestState previous = requests.put(request.requestId(), state);
        if (previous != null) {
            state.fencedAttempt = previous.fencedAttempt;
        }
        if (key != null) {
            byKey.put(key, state);
        }
        activeCount++;
        return claim ? new DispatchDecision.Claim() : new DispatchDecision.Run();
    }

    private FenceDecision fenceUnknown(String requestId, int attempt, long nowMs) {
        if (rememberedHashes.contains(RAN_HASH.hashChars(requestId))) {
            return FenceDecision.RAN;
        }
        DispatchRequest placeholder = new DispatchRequest(requestId, attempt, incarnation, false, "", null, 0);
        RequestState state = new RequestState(placeholder, RequestState.Phase.FENCED, nowMs);
        state.fence(attempt, nowMs);
        requests.put(requestId, state);
        endedRequests.addLast(state);
        return FenceDecision.FENCED_NOT_RUN;
    }

    private void fenceState(RequestState state, int attempt, long nowMs) {
        activeCount--;
        state.fence(attempt, nowMs);
        endedRequests.addLast(state);
    }

    private void evict(long nowMs) {
        while (!endedRequests.isEmpty()
                && (endedRequests.size() > MAX_ENDED || nowMs - endedRequests.getFirst().changedAtMs >= RETENTION_MS)) {
            forget(endedRequests.removeFirst());
        }
    }

    private void forget(RequestState state) {
        boolean current = requests.remove(state.requestId, state);
        if (state.key != null) {
            byKey.remove(state.key, state);
        }
        if (state.phase == RequestState.Phase.FINISHED) {
            rememberedHashes.add(RAN_HASH.hashChars(state.requestId));
            if (state.key != null && state.bound) {
                rememberedHashes.add(KEY_HASH.hashChars(state.key));
            }
        } else if (current) {
            rememberedHashes.add(FENCED_HASH.hashChars(state.requestId));
        }
    }

    private static DispatchDecision join(RequestState state) {
        return state.active()
                ? new DispatchDecision.JoinRunning(state.requestId)
                : new DispatchDecision.JoinFinished(state.requestId, state.outcome());
    }

    private static Optional<BoundKey> parseBoundKey(@Nullable String key) {
        return key == null ? Optional.empty() : BoundKey.parse(key);
    }

    private static Optional<DispatchDecision> refuse(ErrorKind kind, String detail) {
        return Optional.of(new DispatchDecision.Refuse(kind, detail));
    }
}
