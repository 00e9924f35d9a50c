package org.kingcuproad.policy.claim;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;

/**
 * What one incarnation of an agent knows of every request that it was asked to run. It is the last decision before the
 * work runs.
 *
 * <p>Contract with the entry: a dispatch of one attempt is sent once, on one connection. When the connection is lost,
 * the entry asks with {@link #fence} or {@link #resume} and never sends the same attempt again. Only then is the
 * refusal of a dispatch that names another incarnation certain to mean "not run".
 *
 * <p>Retention: waiting and running requests are kept in full. Ended ones are kept in full for {@link #RETENTION_MS},
 * at most {@link #MAX_ENDED} of them. After that a 64-bit hash remains for as long as the incarnation lives, and the
 * answers are {@code already-ran} to a dispatch and {@link FenceDecision#RAN} to a fence, or again "not run" if the
 * request was fenced. When {@link #full} the agent starts a new incarnation with an empty record, keeps this one for
 * the requests that still run, and refuses dispatches that name it. No "not run" ever rests on a forgotten entry.
 */
public final class ExecutionRecord {

    /** Time for which an ended request is kept in full, in milliseconds. */
    public static final long RETENTION_MS = 60_000;

    /** Ended requests kept in full; with outcomes of at most 4 KiB they hold at most 4 MiB. */
    public static final int MAX_ENDED = 1_000;

    /** Requests remembered by hash; the set takes 4 MiB of the agent's 24 MiB heap. */
    public static final int MAX_REMEMBERED = 250_000;

    private static final LongHashFunction RAN_HASH = LongHashFunction.xx3(1);
    private static final LongHashFunction FENCED_HASH = LongHashFunction.xx3(2);
    private static final LongHashFunction KEY_HASH = LongHashFunction.xx3(3);

    private final long incarnation;
    private final int maxRemembered;
    private final Map<String, RequestState> requests = new HashMap<>();
    private final Map<String, RequestState> byKey = new HashMap<>();
    private final ArrayDeque<RequestState> ended = new ArrayDeque<>();
    private final HashSet64 remembered = new HashSet64();
    private boolean draining;
    private int active;

    /**
     * Creates an empty record.
     *
     * @param incarnation random number of this incarnation, not zero
     */
    public ExecutionRecord(long incarnation) {
        this(incarnation, MAX_REMEMBERED);
    }

    /**
     * Creates an empty record with another bound.
     *
     * @param incarnation random number of this incarnation, not zero
     * @param maxRemembered requests remembered by hash
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
     * @param order the dispatch
     * @param nowMs present time
     * @return the decision
     */
    public DispatchDecision dispatch(Order order, long nowMs) {
        evict(nowMs);
        Optional<DispatchDecision> refused = checkIncarnation(order);
        return refused.orElseGet(() -> known(order).orElseGet(() -> admit(order, nowMs)));
    }

    /**
     * Confirms that a claimed order may run: its claim is in the store.
     *
     * @param requestId the request that was to be claimed
     * @param nowMs present time
     * @return {@code true} if it counts as running from now on; {@code false} if it was fenced meanwhile and must not
     *     run
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
     * Ends a request that waited for its claim and does not run: the claim log had an answer for it or the store was
     * not available. A late dispatch of the attempt is refused.
     *
     * @param requestId the request
     * @param nowMs present time
     */
    public void abandonClaim(String requestId, long nowMs) {
        RequestState state = requests.get(requestId);
        if (state != null && state.phase == RequestState.Phase.CLAIMING) {
            fenceState(state, state.attempt, nowMs);
        }
    }

    /**
     * Notes that a run ended, well or not.
     *
     * @param requestId the request
     * @param outcome its answer
     * @param nowMs present time
     */
    public void finish(String requestId, Outcome outcome, long nowMs) {
        RequestState state = requests.get(requestId);
        if (state != null && state.phase == RequestState.Phase.RUNNING) {
            active--;
            state.finish(outcome, nowMs);
            ended.addLast(state);
        }
        evict(nowMs);
    }

    /**
     * Notes that a run did certainly not reach the upstream, for example because the connection to it was refused. The
     * attempt then counts as fenced, and a further attempt may run.
     *
     * @param requestId the request
     * @param nowMs present time
     */
    public void neverRan(String requestId, long nowMs) {
        RequestState state = requests.get(requestId);
        if (state != null && state.phase == RequestState.Phase.RUNNING) {
            fenceState(state, state.attempt, nowMs);
        }
    }

    /**
     * Fences an attempt: unless it runs or ran, no dispatch of it will run afterwards.
     *
     * @param requestId the request
     * @param attempt number of the attempt; earlier attempts are fenced with it
     * @param askedIncarnation incarnation that the attempt was dispatched to
     * @param nowMs present time
     * @return what is certain about the attempt
     */
    public FenceDecision fence(String requestId, int attempt, long askedIncarnation, long nowMs) {
        evict(nowMs);
        if (askedIncarnation != incarnation) {
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
     * Decides what a resume reads. A resume of an attempt that did not arrive fences it, so that the refusal is
     * certain.
     *
     * @param requestId the request
     * @param attempt number of the attempt
     * @param askedIncarnation incarnation that the attempt was dispatched to
     * @param nowMs present time
     * @return joins the response or refuses
     */
    public DispatchDecision resume(String requestId, int attempt, long askedIncarnation, long nowMs) {
        RequestState state = requests.get(requestId);
        if (askedIncarnation == incarnation && state != null && state.phase == RequestState.Phase.CLAIMING) {
            return new DispatchDecision.JoinRunning(requestId);
        }
        return switch (fence(requestId, attempt, askedIncarnation, nowMs)) {
            case FENCED_NOT_RUN -> new DispatchDecision.Refuse(ErrorKind.NO_UPSTREAM, "The attempt did not arrive.");
            case RUNNING -> new DispatchDecision.JoinRunning(requestId);
            case RAN ->
                new DispatchDecision.JoinFinished(requestId, state == null ? Optional.empty() : state.outcome());
            case UNKNOWN_INCARNATION ->
                new DispatchDecision.Refuse(ErrorKind.UPSTREAM_LOST, "The agent restarted after the dispatch.");
        };
    }

    /**
     * Tells what this incarnation knows of a key, for a claim that names it.
     *
     * @param workspace workspace of the caller
     * @param key idempotency key
     * @return the waiting, running or ended request with the key, or empty if none is kept
     */
    public Optional<DispatchDecision> findKey(String workspace, String key) {
        RequestState state = byKey.get(Order.scopedKey(workspace, key));
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
     * Tells whether a graceful shutdown may end the process.
     *
     * @return {@code true} if nothing waits for a claim or runs
     */
    public boolean idle() {
        return active == 0;
    }

    /**
     * Tells whether a new incarnation with an empty record is due. New work is refused as {@code overloaded} until
     * then.
     *
     * @return {@code true} if the bound on remembered requests is reached
     */
    public boolean full() {
        return remembered.size() + requests.size() >= maxRemembered;
    }

    /** An earlier dispatch with a bound key may have run in its incarnation, so its end is never "not run". */
    private Optional<DispatchDecision> checkIncarnation(Order order) {
        Optional<BoundKey> bound = bound(order.key());
        if (bound.isPresent() && bound.get().incarnation() != incarnation) {
            return refuse(ErrorKind.OUTCOME_UNKNOWN, "The incarnation that the key is bound to is gone.");
        }
        if (order.incarnation() != incarnation && !(order.incarnation() == 0 && order.idempotent())) {
            return refuse(ErrorKind.NO_UPSTREAM, "The dispatch names another incarnation.");
        }
        return Optional.empty();
    }

    private Optional<DispatchDecision> known(Order order) {
        RequestState sameRequest = requests.get(order.requestId());
        if (sameRequest != null && sameRequest.phase != RequestState.Phase.FENCED) {
            return Optional.of(join(sameRequest));
        }
        if (sameRequest != null && order.attempt() <= sameRequest.fencedAttempt) {
            return refuse(ErrorKind.NO_UPSTREAM, "The attempt is fenced.");
        }
        Optional<DispatchDecision> hashed = knownByHash(order);
        return hashed.isPresent() ? hashed : knownByKey(order);
    }

    private Optional<DispatchDecision> knownByHash(Order order) {
        if (remembered.contains(FENCED_HASH.hashChars(order.requestId()))) {
            return refuse(ErrorKind.NO_UPSTREAM, "An earlier attempt of the request is fenced.");
        }
        String key = order.scopedKey();
        boolean ran = remembered.contains(RAN_HASH.hashChars(order.requestId()))
                || (key != null && remembered.contains(KEY_HASH.hashChars(key)));
        return ran && !order.idempotent()
                ? Optional.of(new DispatchDecision.JoinFinished(order.requestId(), Optional.empty()))
                : Optional.empty();
    }

    private Optional<DispatchDecision> knownByKey(Order order) {
        String key = order.scopedKey();
        RequestState sameKey = key == null ? null : byKey.get(key);
        if (sameKey == null || sameKey.phase == RequestState.Phase.FENCED) {
            return Optional.empty();
        }
        if (sameKey.requestDigest != order.requestDigest()) {
            return refuse(ErrorKind.KEY_REUSED, ErrorKind.KEY_REUSED.meaning());
        }
        return Optional.of(join(sameKey));
    }

    private DispatchDecision admit(Order order, long nowMs) {
        if (draining) {
            return new DispatchDecision.Refuse(ErrorKind.SHUTTING_DOWN, ErrorKind.SHUTTING_DOWN.meaning());
        }
        if (full()) {
            return new DispatchDecision.Refuse(ErrorKind.OVERLOADED, "The execution record is full.");
        }
        String key = order.scopedKey();
        boolean claim = key != null && !order.idempotent() && bound(order.key()).isEmpty();
        RequestState state =
                new RequestState(order, claim ? RequestState.Phase.CLAIMING : RequestState.Phase.RUNNING, nowMs);
        RequestState before = requests.put(order.requestId(), state);
        if (before != null) {
            state.fencedAttempt = before.fencedAttempt;
        }
        if (key != null) {
            byKey.put(key, state);
        }
        active++;
        return claim ? new DispatchDecision.Claim() : new DispatchDecision.Run();
    }

    private FenceDecision fenceUnknown(String requestId, int attempt, long nowMs) {
        if (remembered.contains(RAN_HASH.hashChars(requestId))) {
            return FenceDecision.RAN;
        }
        Order unseen = new Order(requestId, attempt, incarnation, false, "", null, 0);
        RequestState state = new RequestState(unseen, RequestState.Phase.FENCED, nowMs);
        state.fence(attempt, nowMs);
        requests.put(requestId, state);
        ended.addLast(state);
        return FenceDecision.FENCED_NOT_RUN;
    }

    private void fenceState(RequestState state, int attempt, long nowMs) {
        active--;
        state.fence(attempt, nowMs);
        ended.addLast(state);
    }

    private void evict(long nowMs) {
        while (!ended.isEmpty() && (ended.size() > MAX_ENDED || nowMs - ended.getFirst().changedAtMs >= RETENTION_MS)) {
            forget(ended.removeFirst());
        }
    }

    private void forget(RequestState state) {
        boolean current = requests.remove(state.requestId, state);
        if (state.key != null) {
            byKey.remove(state.key, state);
        }
        if (state.phase == RequestState.Phase.FINISHED) {
            remembered.add(RAN_HASH.hashChars(state.requestId));
            if (state.key != null && state.bound) {
                remembered.add(KEY_HASH.hashChars(state.key));
            }
        } else if (current) {
            remembered.add(FENCED_HASH.hashChars(state.requestId));
        }
    }

    private static DispatchDecision join(RequestState state) {
        return state.active()
                ? new DispatchDecision.JoinRunning(state.requestId)
                : new DispatchDecision.JoinFinished(state.requestId, state.outcome());
    }

    private static Optional<BoundKey> bound(@Nullable String key) {
        return key == null ? Optional.empty() : BoundKey.parse(key);
    }

    private static Optional<DispatchDecision> refuse(ErrorKind kind, String detail) {
        return Optional.of(new DispatchDecision.Refuse(kind, detail));
    }
}
