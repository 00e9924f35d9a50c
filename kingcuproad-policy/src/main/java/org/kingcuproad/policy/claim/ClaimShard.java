package org.kingcuproad.policy.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;

/**
 * The claims of one shard at one agent. A request is executed only after its claim is in the store.
 *
 * <p>Safe for any number of agents that use the shard concurrently. At most one store call is in flight at a time. A
 * request may be executed if its claim in the log carries this incarnation and this incarnation has not started it yet;
 * this rule also covers writes whose response was lost and writes that took effect late. Times are wall-clock
 * milliseconds because they are stored and compared by other agents.
 */
public final class ClaimShard {

    /** Minimum interval between two writes, in milliseconds; allows 8 writes per second and shard. */
    public static final long WRITE_INTERVAL_MS = 125;

    /** Time after which a store call without a result is treated as uncertain, in milliseconds. */
    public static final long CALL_TIMEOUT_MS = 1_000;

    /** Interval between two attempts to reach a store that does not respond, in milliseconds. */
    public static final long RETRY_INTERVAL_MS = 1_000;

    /** Maximum time for which an outcome waits to be written together with claims, in milliseconds. */
    public static final long OUTCOME_DELAY_MS = 500;

    /** Maximum number of requests that wait for the store; further requests are refused as overloaded. */
    public static final int MAX_WAITING = 1_000;

    /**
     * Maximum size of the outcomes that wait for the store, in bytes; beyond it the response body is dropped and only
     * the fact that the request was executed is recorded.
     */
    public static final int MAX_OUTCOME_BYTES = 1024 * 1024;

    private static final int MAX_BATCH_OUTCOME_BYTES = 256 * 1024;
    private static final long EXPIRY_INTERVAL_MS = 10_000;

    private enum Purpose {
        LOG,
        WRITE,
        OUTCOME,
        DELETE
    }

    /**
     * The store call in flight.
     *
     * @param id identifier of the call
     * @param purpose reason for the call, which selects the handler of its result
     * @param call the call
     * @param startedMs time at which the call was issued
     */
    private record PendingCall(long id, Purpose purpose, StoreCall call, long startedMs) {}

    /**
     * A request for which no decision has been made yet.
     *
     * @param request the request
     * @param submittedMs time at which the request was submitted
     */
    private record WaitingRequest(ClaimRequest request, long submittedMs) {}

    private final ClaimShardSettings settings;
    private final ClaimLog log;
    private final Map<String, WaitingRequest> waiting = new LinkedHashMap<>();
    private final Map<String, ClaimRequest> awaitingOutcome = new LinkedHashMap<>();
    /**
     * Requests that this incarnation started. The outcome is present from the end of the run until it is in the log.
     */
    private final Map<ClaimKey, Optional<Outcome>> ownOutcomes = new HashMap<>();

    private final List<ClaimEffect> effects = new ArrayList<>();
    private @Nullable PendingCall pendingCall;
    private @Nullable SegmentBatch batchInFlight;
    private boolean storeAvailable = true;
    private long retryAtMs;
    private long nextWriteMs;
    private long outcomeDueMs = Long.MAX_VALUE;
    private long nextExpiryMs;
    private int outcomeBytes;
    private long lastCallId;

    /**
     * Creates the shard without reading the store; the first submission or tick does so.
     *
     * @param settings identity and limits of the shard
     */
    public ClaimShard(ClaimShardSettings settings) {
        this.settings = settings;
        this.log = new ClaimLog(settings);
    }

    /**
     * Submits a request for which the execution record decided {@link DispatchDecision.Claim}.
     *
     * @param request the request
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<ClaimEffect> submit(ClaimRequest request, long nowMs) {
        if (waiting.size() >= MAX_WAITING) {
            emitDecision(request, new ClaimDecision.Refuse(ErrorKind.OVERLOADED));
        } else {
            waiting.put(request.requestId(), new WaitingRequest(request, nowMs));
        }
        return advance(nowMs);
    }

    /**
     * Records that a request was executed, with its outcome. The outcome is written together with the next claims, or
     * after {@link #OUTCOME_DELAY_MS} at the latest if the store is available and the write interval has elapsed.
     *
     * @param key hash of the idempotency key
     * @param outcome response to store for retries
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<ClaimEffect> recordOutcome(ClaimKey key, Outcome outcome, long nowMs) {
        if (ownOutcomes.containsKey(key)) {
            boolean fits = outcomeBytes + outcome.body().length() <= MAX_OUTCOME_BYTES;
            Outcome kept = fits
                    ? outcome
                    : new Outcome(
                            outcome.status(),
                            outcome.bodyDigest(),
                            false,
                            Outcome.withoutResponse().body());
            outcomeBytes += kept.body().length();
            ownOutcomes.put(key, Optional.of(kept));
            outcomeDueMs = Math.min(outcomeDueMs, nowMs + OUTCOME_DELAY_MS);
        }
        return advance(nowMs);
    }

    /**
     * Records that a request was certainly not executed although its claim had been granted, because it was fenced
     * first or its upstream could not be reached. A later request with the same key may be executed.
     *
     * @param key hash of the idempotency key
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<ClaimEffect> recordNotRun(ClaimKey key, long nowMs) {
        if (ownOutcomes.getOrDefault(key, Optional.empty()).isEmpty()) {
            ownOutcomes.remove(key);
        }
        return advance(nowMs);
    }

    /**
     * Handles the result of a store call. A result that arrives after the call timed out is ignored.
     *
     * @param callId identifier of the call
     * @param result result of the call
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<ClaimEffect> onStoreResult(long callId, StoreResult result, long nowMs) {
        PendingCall call = pendingCall;
        if (call != null && call.id() == callId) {
            pendingCall = null;
            onResult(call, result, nowMs);
        }
        return advance(nowMs);
    }

    /**
     * Processes the timers that are due.
     *
     * @param nowMs current time
     * @return the effects to execute
     */
    public List<ClaimEffect> tick(long nowMs) {
        PendingCall call = pendingCall;
        if (call != null && nowMs - call.startedMs() >= CALL_TIMEOUT_MS) {
            pendingCall = null;
            onResult(call, new StoreResult.Uncertain(), nowMs);
        }
        return advance(nowMs);
    }

    /**
     * Returns the time at which {@link #tick} must be called next.
     *
     * @return wall-clock time in milliseconds
     */
    public long nextTickMs() {
        if (pendingCall != null) {
            return pendingCall.startedMs() + CALL_TIMEOUT_MS;
        }
        if (!storeAvailable) {
            return retryAtMs;
        }
        long write = waiting.isEmpty() ? Long.MAX_VALUE : nextWriteMs;
        return Math.min(Math.min(write, Math.max(outcomeDueMs, nextWriteMs)), nextExpiryMs);
    }

    /**
     * Returns the number of claims in the in-memory index.
     *
     * @return number of claims
     */
    public int claimCount() {
        return log.index().size();
    }

    private List<ClaimEffect> advance(long nowMs) {
        if (log.isViewStale(nowMs) && !waiting.isEmpty() && pendingCall == null) {
            log.invalidate();
        }
        decideWaiting(nowMs);
        if (pendingCall == null) {
            startCall(nowMs);
        }
        List<ClaimEffect> result = List.copyOf(effects);
        effects.clear();
        return result;
    }

    private void startCall(long nowMs) {
        if (!storeAvailable && nowMs < retryAtMs) {
            return;
        }
        if (!storeAvailable) {
            log.requestRefresh();
        }
        Optional<StoreCall> read = log.nextRead();
        if (read.isPresent()) {
            issueCall(Purpose.LOG, read.get(), nowMs);
        } else if (!awaitingOutcome.isEmpty()) {
            ClaimRequest first = awaitingOutcome.values().iterator().next();
            issueCall(Purpose.OUTCOME, log.read(outcomeSegment(first.key())), nowMs);
        } else if (nowMs >= nextWriteMs && (claimNeeded() || nowMs >= outcomeDueMs)) {
            startWrite(nowMs);
        } else if (nowMs >= nextExpiryMs) {
            Optional<StoreCall> delete = log.nextDelete(nowMs);
            delete.ifPresentOrElse(
                    call -> issueCall(Purpose.DELETE, call, nowMs), () -> nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS);
        }
    }

    private void startWrite(long nowMs) {
        Set<ClaimKey> seen = new HashSet<>();
        List<SegmentBatch.ClaimEntry> claims = waiting.values().stream()
                .map(WaitingRequest::request)
                .filter(request -> log.index().find(request.key()) == ClaimIndex.ABSENT && seen.add(request.key()))
                .map(request -> new SegmentBatch.ClaimEntry(request.key(), request.requestDigest()))
                .toList();
        List<SegmentBatch.OutcomeEntry> outcomes = pendingOutcomes();
        outcomeDueMs = Long.MAX_VALUE;
        if (claims.isEmpty() && outcomes.isEmpty()) {
            return;
        }
        SegmentBatch next = new SegmentBatch(nowMs, settings.upstream(), settings.incarnation(), claims, outcomes);
        batchInFlight = next;
        nextWriteMs = nowMs + WRITE_INTERVAL_MS;
        issueCall(Purpose.WRITE, log.write(next, nowMs), nowMs);
    }

    private List<SegmentBatch.OutcomeEntry> pendingOutcomes() {
        List<SegmentBatch.OutcomeEntry> outcomes = new ArrayList<>();
        int bytes = 0;
        for (Map.Entry<ClaimKey, Optional<Outcome>> entry : ownOutcomes.entrySet()) {
            if (entry.getValue().isPresent() && bytes < MAX_BATCH_OUTCOME_BYTES) {
                Outcome outcome = entry.getValue().get();
                bytes += outcome.body().length();
                outcomes.add(new SegmentBatch.OutcomeEntry(entry.getKey(), outcome));
            }
        }
        return outcomes;
    }

    private void onResult(PendingCall call, StoreResult result, long nowMs) {
        switch (call.purpose()) {
            case LOG -> onLogRead(call, result, nowMs);
            case WRITE -> onWritten(call, result, nowMs);
            case OUTCOME -> onOutcomeRead(call, result);
            case DELETE -> onDeleted(result, nowMs);
        }
    }

    private void onLogRead(PendingCall call, StoreResult result, long nowMs) {
        if (log.onRead(result, call.startedMs())) {
            storeAvailable = true;
        } else {
            storeAvailable = false;
            retryAtMs = nowMs + RETRY_INTERVAL_MS;
        }
        dropLoggedOutcomes();
    }

    private void onWritten(PendingCall call, StoreResult result, long nowMs) {
        SegmentBatch sent = batchInFlight;
        batchInFlight = null;
        if (sent != null) {
            log.onWritten(result, call.call(), sent, call.startedMs(), nowMs);
        }
        dropLoggedOutcomes();
    }

    private void onOutcomeRead(PendingCall call, StoreResult result) {
        Optional<Segment> segment =
                result instanceof StoreResult.Found found ? Segment.decode(found.value()) : Optional.empty();
        List<ClaimRequest> answered = awaitingOutcome.values().stream()
                .filter(request -> log.read(outcomeSegment(request.key())).equals(call.call()))
                .toList();
        for (ClaimRequest request : answered) {
            Optional<Outcome> outcome = segment.flatMap(found -> ClaimLog.outcomeIn(found, request.key()));
            awaitingOutcome.remove(request.requestId());
            emitDecision(request, new ClaimDecision.Stored(outcome.orElseGet(Outcome::withoutResponse)));
        }
    }

    private void onDeleted(StoreResult result, long nowMs) {
        log.onDeleted(result);
        if (result instanceof StoreResult.Uncertain) {
            nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS;
        }
    }

    /** Removes outcomes that are in the log and outcomes whose claim has expired. */
    private void dropLoggedOutcomes() {
        ownOutcomes
                .entrySet()
                .removeIf(entry -> entry.getValue().isPresent()
                        && (outcomeSegment(entry.getKey()) != 0
                                || (log.isComplete() && log.index().find(entry.getKey()) == ClaimIndex.ABSENT)));
        outcomeBytes = ownOutcomes.values().stream()
                .flatMap(Optional::stream)
                .mapToInt(outcome -> outcome.body().length())
                .sum();
        if (ownOutcomes.values().stream().anyMatch(Optional::isPresent)) {
            outcomeDueMs = Math.min(outcomeDueMs, nextWriteMs + OUTCOME_DELAY_MS);
        }
    }

    private void decideWaiting(long nowMs) {
        for (WaitingRequest waitingRequest : List.copyOf(waiting.values())) {
            Optional<ClaimDecision> decision = decisionFor(waitingRequest, nowMs);
            if (decision.isPresent()) {
                waiting.remove(waitingRequest.request().requestId());
                emitDecision(waitingRequest.request(), decision.get());
            }
        }
    }

    private Optional<ClaimDecision> decisionFor(WaitingRequest waitingRequest, long nowMs) {
        ClaimKey key = waitingRequest.request().key();
        int slot = log.index().find(key);
        if (slot != ClaimIndex.ABSENT
                && log.index().digest(slot) != waitingRequest.request().requestDigest()) {
            return Optional.of(new ClaimDecision.Refuse(ErrorKind.KEY_REUSED));
        }
        Optional<Outcome> ownOutcome = ownOutcomes.get(key);
        if (ownOutcome != null) {
            return Optional.of(ownOutcome
                    .<ClaimDecision>map(ClaimDecision.Stored::new)
                    .orElseGet(() -> new ClaimDecision.AskClaimant(settings.upstream(), settings.incarnation())));
        }
        if (slot == ClaimIndex.ABSENT) {
            return storeAvailable
                    ? Optional.empty()
                    : Optional.of(new ClaimDecision.Refuse(ErrorKind.STORE_UNAVAILABLE));
        }
        long segment = log.index().outcomeSegment(slot);
        return segment == 0 ? decideClaimed(waitingRequest, slot, nowMs) : decideExecuted(waitingRequest, segment);
    }

    private Optional<ClaimDecision> decideExecuted(WaitingRequest waitingRequest, long segment) {
        Optional<Outcome> inTail = log.outcomeInTail(waitingRequest.request().key(), segment);
        if (inTail.isPresent()) {
            return Optional.of(new ClaimDecision.Stored(inTail.get()));
        }
        if (!storeAvailable) {
            return Optional.of(new ClaimDecision.Stored(Outcome.withoutResponse()));
        }
        waiting.remove(waitingRequest.request().requestId());
        awaitingOutcome.put(waitingRequest.request().requestId(), waitingRequest.request());
        return Optional.empty();
    }

    /**
     * Decides on a claim without an outcome. Only a view that is newer than the submission proves that the log still
     * has none.
     */
    private Optional<ClaimDecision> decideClaimed(WaitingRequest waitingRequest, int slot, long nowMs) {
        boolean viewIsFresh = log.isComplete() && log.viewAtMs() >= waitingRequest.submittedMs();
        if (!viewIsFresh && storeAvailable) {
            log.requestRefresh();
            return Optional.empty();
        }
        ClaimIndex.Claimant claimant = log.index().claimant(slot);
        if (!claimant.upstream().equals(settings.upstream())) {
            return Optional.of(new ClaimDecision.AskClaimant(claimant.upstream(), claimant.incarnation()));
        }
        if (claimant.incarnation() != settings.incarnation()) {
            return Optional.of(new ClaimDecision.Refuse(ErrorKind.OUTCOME_UNKNOWN));
        }
        if (!viewIsFresh || log.isNearExpiry(log.index().claimSegment(slot), nowMs)) {
            return Optional.of(new ClaimDecision.Refuse(ErrorKind.STORE_UNAVAILABLE));
        }
        ownOutcomes.put(waitingRequest.request().key(), Optional.empty());
        return Optional.of(new ClaimDecision.RunNow());
    }

    private boolean claimNeeded() {
        return waiting.values().stream()
                .anyMatch(waitingRequest ->
                        log.index().find(waitingRequest.request().key()) == ClaimIndex.ABSENT);
    }

    private long outcomeSegment(ClaimKey key) {
        int slot = log.index().find(key);
        return slot == ClaimIndex.ABSENT ? 0 : log.index().outcomeSegment(slot);
    }

    private void emitDecision(ClaimRequest request, ClaimDecision decision) {
        effects.add(new ClaimEffect.Decide(request.requestId(), decision));
    }

    private void issueCall(Purpose purpose, StoreCall call, long nowMs) {
        lastCallId++;
        pendingCall = new PendingCall(lastCallId, purpose, call, nowMs);
        effects.add(new ClaimEffect.Call(lastCallId, call));
    }
}
