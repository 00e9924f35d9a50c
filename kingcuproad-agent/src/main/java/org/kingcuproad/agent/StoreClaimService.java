package org.kingcuproad.agent;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.policy.claim.ClaimDecision;
import org.kingcuproad.policy.claim.ClaimEffect;
import org.kingcuproad.policy.claim.ClaimKey;
import org.kingcuproad.policy.claim.ClaimRequest;
import org.kingcuproad.policy.claim.ClaimShard;
import org.kingcuproad.policy.claim.ClaimShardSettings;

/**
 * Claims keys in the object store by executing the effects of the claim shards. Confined to the event loop of the
 * agent.
 */
final class StoreClaimService implements ClaimService {

    // An outcome waits for the next write, then for the write itself and one retry of it.
    private static final long FLUSH_TIME_MS =
            ClaimShard.OUTCOME_DELAY_MS + ClaimShard.WRITE_INTERVAL_MS + 2 * ClaimShard.CALL_TIMEOUT_MS;

    private final RequestDispatcher dispatcher;
    private final AgentOptions options;
    private final StoreCallExecutor callExecutor;
    private final EventLoop eventLoop;
    private final LongSupplier wallClockMs;
    private final Map<Integer, ClaimShard> shards = new HashMap<>();
    private final Map<String, Run> pendingRuns = new HashMap<>();
    private long lastFinishedMs = Long.MIN_VALUE / 2;

    StoreClaimService(
            RequestDispatcher dispatcher,
            AgentOptions options,
            ObjectStore store,
            EventLoop eventLoop,
            LongSupplier wallClockMs) {
        this.dispatcher = dispatcher;
        this.options = options;
        this.callExecutor = new StoreCallExecutor(store);
        this.eventLoop = eventLoop;
        this.wallClockMs = wallClockMs;
    }

    @Override
    public void claim(Run run) {
        ClaimKey key = claimKey(run);
        ClaimShard shard = shards.computeIfAbsent(key.shard(), this::createShard);
        pendingRuns.put(run.request().requestId(), run);
        ClaimRequest claimRequest =
                new ClaimRequest(run.request().requestId(), key, run.request().requestDigest());
        execute(shard, shard.submit(claimRequest, wallClockMs.getAsLong()));
    }

    @Override
    public void finished(Run run) {
        ClaimKey key = claimKey(run);
        ClaimShard shard = shards.computeIfAbsent(key.shard(), this::createShard);
        long nowMs = wallClockMs.getAsLong();
        if (run.sent()) {
            lastFinishedMs = nowMs;
            execute(shard, shard.recordOutcome(key, run.outcomeCollector().outcome(), nowMs));
        } else {
            execute(shard, shard.recordNotRun(key, nowMs));
        }
    }

    @Override
    public void tick() {
        long nowMs = wallClockMs.getAsLong();
        List.copyOf(shards.values()).stream()
                .filter(shard -> nowMs >= shard.nextTickMs())
                .forEach(shard -> execute(shard, shard.tick(nowMs)));
    }

    @Override
    public boolean flushed() {
        return wallClockMs.getAsLong() - lastFinishedMs >= FLUSH_TIME_MS;
    }

    private ClaimShard createShard(int shard) {
        return new ClaimShard(ClaimShardSettings.of(
                options.claims().environment(),
                shard,
                options.upstream(),
                options.incarnation(),
                options.claims().retentionSeconds()));
    }

    private void execute(ClaimShard shard, List<ClaimEffect> effects) {
        for (ClaimEffect effect : effects) {
            switch (effect) {
                case ClaimEffect.Call call -> callStore(shard, call);
                case ClaimEffect.Decide decide -> applyDecision(shard, decide);
            }
        }
    }

    private void callStore(ClaimShard shard, ClaimEffect.Call call) {
        callExecutor
                .perform(call.call())
                .thenAccept(result -> eventLoop.execute(
                        () -> execute(shard, shard.onStoreResult(call.callId(), result, wallClockMs.getAsLong()))));
    }

    private void applyDecision(ClaimShard shard, ClaimEffect.Decide decide) {
        Run run = pendingRuns.remove(decide.requestId());
        if (run == null) {
            return;
        }
        switch (decide.decision()) {
            case ClaimDecision.RunNow ignored -> {
                if (!dispatcher.claimGranted(run)) {
                    execute(shard, shard.recordNotRun(claimKey(run), wallClockMs.getAsLong()));
                }
            }
            case ClaimDecision.Stored stored ->
                dispatcher.claimAlreadyExecuted(run, StoredResponses.frames(stored.outcome()));
            case ClaimDecision.AskClaimant ask ->
                dispatcher.claimFailed(
                        run, ErrorKind.OUTCOME_UNKNOWN, "The agent of " + ask.upstream() + " claimed the request.");
            case ClaimDecision.Refuse refuse ->
                dispatcher.claimFailed(run, refuse.kind(), refuse.kind().meaning());
        }
    }

    private static ClaimKey claimKey(Run run) {
        String key = run.request().key();
        return ClaimKey.of(run.request().workspace(), key == null ? "" : key);
    }
}
