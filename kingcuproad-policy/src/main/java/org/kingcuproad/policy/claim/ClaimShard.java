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
 * The claims of one shard at one agent: an order runs only after its claim is in the store.
 *
 * <p>Correct with any number of agents that use the shard at the same time. One store call is under way at a time. A
 * claim in the log that carries this incarnation, and whose order this incarnation never let run, may run: that settles
 * writes whose response was lost and writes that took effect late. Times are wall-clock milliseconds, because they are
 * stored and compared by other agents.
 */
public final class ClaimShard {

    /** Shortest time between two writes: 8 writes a second for each shard. */
    public static final long WRITE_INTERVAL_MS = 125;

    /** Time after which a store call without a result counts as uncertain. */
    public static final long CALL_TIMEOUT_MS = 1_000;

    /** Time between two probes of a store that does not answer. */
    public static final long RETRY_MS = 1_000;

    /** Time that an outcome waits for a write that carries claims. */
    public static final long OUTCOME_DELAY_MS = 500;

    /** Orders that may wait for the store; more are refused as overloaded. */
    public static final int MAX_WAITING = 1_000;

    /** Bytes of outcomes that may wait for the store; beyond this only the fact that the order ran is kept. */
    public static final int MAX_OUTCOME_BYTES = 1024 * 1024;

    private static final int MAX_BATCH_OUTCOME_BYTES = 256 * 1024;
    private static final long EXPIRY_INTERVAL_MS = 10_000;

    private enum Purpose {
        READ,
        WRITE,
        BODY,
        DELETE
    }

    /**
     * The store call under way.
     *
     * @param id its number
     * @param purpose what it is for
     * @param call the call
     * @param startedMs when it was made
     */
    private record Pending(long id, Purpose purpose, StoreCall call, long startedMs) {}

    /**
     * An order that is not decided.
     *
     * @param order the order
     * @param offeredMs when it was offered
     */
    private record Waiting(ClaimOrder order, long offeredMs) {}

    private final ClaimShardSettings settings;
    private final ClaimLog log;
    private final Map<String, Waiting> waiting = new LinkedHashMap<>();
    private final Map<String, ClaimOrder> bodyWaiting = new LinkedHashMap<>();
    /** Orders that this incarnation let run, with their outcome until it is in the log. */
    private final Map<ClaimKey, Optional<Outcome>> own = new HashMap<>();

    private final List<ClaimEffect> effects = new ArrayList<>();
    private @Nullable Pending pending;
    private @Nullable SegmentBatch batch;
    private boolean available = true;
    private long retryAtMs;
    private long nextWriteMs;
    private long outcomeDueMs = Long.MAX_VALUE;
    private long nextExpiryMs;
    private int outcomeBytes;
    private long lastCallId;

    /**
     * Creates the shard without reading the store; the first offer or tick does so.
     *
     * @param settings identity and bounds
     */
    public ClaimShard(ClaimShardSettings settings) {
        this.settings = settings;
        this.log = new ClaimLog(settings);
    }

    /**
     * Offers an order that the execution record wants claimed.
     *
     * @param order the order
     * @param nowMs present time
     * @return what to carry out
     */
    public List<ClaimEffect> offer(ClaimOrder order, long nowMs) {
        if (waiting.size() >= MAX_WAITING) {
            decide(order, new ClaimDecision.Refuse(ErrorKind.OVERLOADED));
        } else {
            waiting.put(order.requestId(), new Waiting(order, nowMs));
        }
        return proceed(nowMs);
    }

    /**
     * Notes that an order ran and what came out of it.
     *
     * @param key key of the order
     * @param outcome its outcome
     * @param nowMs present time
     * @return what to carry out
     */
    public List<ClaimEffect> finished(ClaimKey key, Outcome outcome, long nowMs) {
        if (own.containsKey(key)) {
            boolean fits = outcomeBytes + outcome.body().length() <= MAX_OUTCOME_BYTES;
            Outcome kept = fits
                    ? outcome
                    : new Outcome(
                            outcome.status(),
                            outcome.bodyDigest(),
                            false,
                            Outcome.withoutAnswer().body());
            outcomeBytes += kept.body().length();
            own.put(key, Optional.of(kept));
            outcomeDueMs = Math.min(outcomeDueMs, nowMs + OUTCOME_DELAY_MS);
        }
        return proceed(nowMs);
    }

    /**
     * Notes that an order certainly did not run although it was told to, because it was fenced before or its upstream
     * could not be reached. A later order with the key may run.
     *
     * @param key key of the order
     * @param nowMs present time
     * @return what to carry out
     */
    public List<ClaimEffect> notRun(ClaimKey key, long nowMs) {
        if (own.getOrDefault(key, Optional.empty()).isEmpty()) {
            own.remove(key);
        }
        return proceed(nowMs);
    }

    /**
     * Takes the result of a store call. A result that comes after the call timed out is ignored.
     *
     * @param callId number of the call
     * @param result its result
     * @param nowMs present time
     * @return what to carry out
     */
    public List<ClaimEffect> storeResult(long callId, StoreResult result, long nowMs) {
        Pending call = pending;
        if (call != null && call.id() == callId) {
            pending = null;
            onResult(call, result, nowMs);
        }
        return proceed(nowMs);
    }

    /**
     * Lets time pass.
     *
     * @param nowMs present time
     * @return what to carry out
     */
    public List<ClaimEffect> tick(long nowMs) {
        Pending call = pending;
        if (call != null && nowMs - call.startedMs() >= CALL_TIMEOUT_MS) {
            pending = null;
            onResult(call, new StoreResult.Uncertain(), nowMs);
        }
        return proceed(nowMs);
    }

    /**
     * Returns when {@link #tick} is due.
     *
     * @return wall-clock time in milliseconds
     */
    public long nextTickMs() {
        if (pending != null) {
            return pending.startedMs() + CALL_TIMEOUT_MS;
        }
        if (!available) {
            return retryAtMs;
        }
        long write = waiting.isEmpty() ? Long.MAX_VALUE : nextWriteMs;
        return Math.min(Math.min(write, Math.max(outcomeDueMs, nextWriteMs)), nextExpiryMs);
    }

    /**
     * Returns the claims held in memory.
     *
     * @return number of claims
     */
    public int claims() {
        return log.index().size();
    }

    private List<ClaimEffect> proceed(long nowMs) {
        if (log.viewTooOld(nowMs) && !waiting.isEmpty() && pending == null) {
            log.forget();
        }
        settleWaiting(nowMs);
        if (pending == null) {
            startCall(nowMs);
        }
        List<ClaimEffect> result = List.copyOf(effects);
        effects.clear();
        return result;
    }

    private void startCall(long nowMs) {
        if (!available && nowMs < retryAtMs) {
            return;
        }
        if (!available) {
            log.requestRefresh();
        }
        Optional<StoreCall> read = log.nextRead();
        if (read.isPresent()) {
            call(Purpose.READ, read.get(), nowMs);
        } else if (!bodyWaiting.isEmpty()) {
            ClaimOrder first = bodyWaiting.values().iterator().next();
            call(Purpose.BODY, log.read(outcomeSegment(first.key())), nowMs);
        } else if (nowMs >= nextWriteMs && (claimNeeded() || nowMs >= outcomeDueMs)) {
            startWrite(nowMs);
        } else if (nowMs >= nextExpiryMs) {
            Optional<StoreCall> delete = log.nextDelete(nowMs);
            delete.ifPresentOrElse(
                    call -> call(Purpose.DELETE, call, nowMs), () -> nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS);
        }
    }

    private void startWrite(long nowMs) {
        Set<ClaimKey> seen = new HashSet<>();
        List<SegmentBatch.ClaimEntry> claims = waiting.values().stream()
                .map(Waiting::order)
                .filter(order -> log.index().find(order.key()) == ClaimIndex.ABSENT && seen.add(order.key()))
                .map(order -> new SegmentBatch.ClaimEntry(order.key(), order.requestDigest()))
                .toList();
        List<SegmentBatch.OutcomeEntry> outcomes = pendingOutcomes();
        outcomeDueMs = Long.MAX_VALUE;
        if (claims.isEmpty() && outcomes.isEmpty()) {
            return;
        }
        SegmentBatch next = new SegmentBatch(nowMs, settings.upstream(), settings.incarnation(), claims, outcomes);
        batch = next;
        nextWriteMs = nowMs + WRITE_INTERVAL_MS;
        call(Purpose.WRITE, log.write(next, nowMs), nowMs);
    }

    private List<SegmentBatch.OutcomeEntry> pendingOutcomes() {
        List<SegmentBatch.OutcomeEntry> outcomes = new ArrayList<>();
        int bytes = 0;
        for (Map.Entry<ClaimKey, Optional<Outcome>> entry : own.entrySet()) {
            if (entry.getValue().isPresent() && bytes < MAX_BATCH_OUTCOME_BYTES) {
                Outcome outcome = entry.getValue().get();
                bytes += outcome.body().length();
                outcomes.add(new SegmentBatch.OutcomeEntry(entry.getKey(), outcome));
            }
        }
        return outcomes;
    }

    private void onResult(Pending call, StoreResult result, long nowMs) {
        switch (call.purpose()) {
            case READ -> onRead(call, result, nowMs);
            case WRITE -> onWritten(call, result, nowMs);
            case BODY -> onBody(call, result);
            case DELETE -> onDeleted(result, nowMs);
        }
    }

    private void onRead(Pending call, StoreResult result, long nowMs) {
        if (log.onRead(result, call.startedMs())) {
            available = true;
        } else {
            available = false;
            retryAtMs = nowMs + RETRY_MS;
        }
        dropLoggedOutcomes();
    }

    private void onWritten(Pending call, StoreResult result, long nowMs) {
        SegmentBatch sent = batch;
        batch = null;
        if (sent != null) {
            log.onWritten(result, call.call(), sent, call.startedMs(), nowMs);
        }
        dropLoggedOutcomes();
    }

    private void onBody(Pending call, StoreResult result) {
        Optional<Segment> segment =
                result instanceof StoreResult.Found found ? Segment.decode(found.value()) : Optional.empty();
        List<ClaimOrder> answered = bodyWaiting.values().stream()
                .filter(order -> log.read(outcomeSegment(order.key())).equals(call.call()))
                .toList();
        for (ClaimOrder order : answered) {
            Optional<Outcome> outcome = segment.flatMap(found -> ClaimLog.outcomeIn(found, order.key()));
            bodyWaiting.remove(order.requestId());
            decide(order, new ClaimDecision.Stored(outcome.orElseGet(Outcome::withoutAnswer)));
        }
    }

    private void onDeleted(StoreResult result, long nowMs) {
        log.onDeleted(result);
        if (result instanceof StoreResult.Uncertain) {
            nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS;
        }
    }

    /** Outcomes in the log, and those whose claim expired, no longer need to be kept here. */
    private void dropLoggedOutcomes() {
        own.entrySet()
                .removeIf(entry -> entry.getValue().isPresent()
                        && (outcomeSegment(entry.getKey()) != 0
                                || (log.complete() && log.index().find(entry.getKey()) == ClaimIndex.ABSENT)));
        outcomeBytes = own.values().stream()
                .flatMap(Optional::stream)
                .mapToInt(outcome -> outcome.body().length())
                .sum();
        if (own.values().stream().anyMatch(Optional::isPresent)) {
            outcomeDueMs = Math.min(outcomeDueMs, nextWriteMs + OUTCOME_DELAY_MS);
        }
    }

    private void settleWaiting(long nowMs) {
        for (Waiting order : List.copyOf(waiting.values())) {
            Optional<ClaimDecision> decision = settle(order, nowMs);
            if (decision.isPresent()) {
                waiting.remove(order.order().requestId());
                decide(order.order(), decision.get());
            }
        }
    }

    private Optional<ClaimDecision> settle(Waiting order, long nowMs) {
        ClaimKey key = order.order().key();
        int slot = log.index().find(key);
        if (slot != ClaimIndex.ABSENT
                && log.index().digest(slot) != order.order().requestDigest()) {
            return Optional.of(new ClaimDecision.Refuse(ErrorKind.KEY_REUSED));
        }
        Optional<Outcome> ownState = own.get(key);
        if (ownState != null) {
            return Optional.of(ownState.<ClaimDecision>map(ClaimDecision.Stored::new)
                    .orElseGet(() -> new ClaimDecision.AskClaimant(settings.upstream(), settings.incarnation())));
        }
        if (slot == ClaimIndex.ABSENT) {
            return available ? Optional.empty() : Optional.of(new ClaimDecision.Refuse(ErrorKind.STORE_UNAVAILABLE));
        }
        long segment = log.index().outcomeSegment(slot);
        return segment == 0 ? settleClaimed(order, slot, nowMs) : settleFinished(order, segment);
    }

    private Optional<ClaimDecision> settleFinished(Waiting order, long segment) {
        Optional<Outcome> inTail = log.outcomeInTail(order.order().key(), segment);
        if (inTail.isPresent()) {
            return Optional.of(new ClaimDecision.Stored(inTail.get()));
        }
        if (!available) {
            return Optional.of(new ClaimDecision.Stored(Outcome.withoutAnswer()));
        }
        waiting.remove(order.order().requestId());
        bodyWaiting.put(order.order().requestId(), order.order());
        return Optional.empty();
    }

    /** Decides on a claim without an outcome; only a view newer than the offer shows that there is still none. */
    private Optional<ClaimDecision> settleClaimed(Waiting order, int slot, long nowMs) {
        boolean fresh = log.complete() && log.viewAtMs() >= order.offeredMs();
        if (!fresh && available) {
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
        if (!fresh || log.nearExpiry(log.index().claimSegment(slot), nowMs)) {
            return Optional.of(new ClaimDecision.Refuse(ErrorKind.STORE_UNAVAILABLE));
        }
        own.put(order.order().key(), Optional.empty());
        return Optional.of(new ClaimDecision.RunNow());
    }

    private boolean claimNeeded() {
        return waiting.values().stream()
                .anyMatch(order -> log.index().find(order.order().key()) == ClaimIndex.ABSENT);
    }

    private long outcomeSegment(ClaimKey key) {
        int slot = log.index().find(key);
        return slot == ClaimIndex.ABSENT ? 0 : log.index().outcomeSegment(slot);
    }

    private void decide(ClaimOrder order, ClaimDecision decision) {
        effects.add(new ClaimEffect.Decide(order.requestId(), decision));
    }

    private void call(Purpose purpose, StoreCall call, long nowMs) {
        lastCallId++;
        pending = new Pending(lastCallId, purpose, call, nowMs);
        effects.add(new ClaimEffect.Call(lastCallId, call));
    }
}
