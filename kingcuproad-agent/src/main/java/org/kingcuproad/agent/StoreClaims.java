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

/** Carries out the decisions of the claim shards over the object store. Lives on the event loop of the agent. */
final class StoreClaims implements ClaimGate {

    // An outcome waits for the next write, then for the write itself and for one repetition of it.
    private static final long SETTLE_MS =
            ClaimShard.OUTCOME_DELAY_MS + ClaimShard.WRITE_INTERVAL_MS + 2 * ClaimShard.CALL_TIMEOUT_MS;

    private final AgentCore core;
    private final AgentOptions options;
    private final StoreCalls calls;
    private final EventLoop loop;
    private final LongSupplier wallClockMs;
    private final Map<Integer, ClaimShard> shards = new HashMap<>();
    private final Map<String, Run> waiting = new HashMap<>();
    private long lastFinishedMs = Long.MIN_VALUE / 2;

    StoreClaims(AgentCore core, AgentOptions options, ObjectStore store, EventLoop loop, LongSupplier wallClockMs) {
        this.core = core;
        this.options = options;
        this.calls = new StoreCalls(store);
        this.loop = loop;
        this.wallClockMs = wallClockMs;
    }

    @Override
    public void claim(Run run) {
        ClaimKey key = key(run);
        ClaimShard shard = shards.computeIfAbsent(key.shard(), this::open);
        waiting.put(run.order().requestId(), run);
        ClaimRequest order =
                new ClaimRequest(run.order().requestId(), key, run.order().requestDigest());
        carryOut(shard, shard.submit(order, wallClockMs.getAsLong()));
    }

    @Override
    public void finished(Run run) {
        ClaimKey key = key(run);
        ClaimShard shard = shards.computeIfAbsent(key.shard(), this::open);
        long nowMs = wallClockMs.getAsLong();
        if (run.sent()) {
            lastFinishedMs = nowMs;
            carryOut(shard, shard.recordOutcome(key, run.kept().outcome(), nowMs));
        } else {
            carryOut(shard, shard.recordNotRun(key, nowMs));
        }
    }

    @Override
    public void tick() {
        long nowMs = wallClockMs.getAsLong();
        List.copyOf(shards.values()).stream()
                .filter(shard -> nowMs >= shard.nextTickMs())
                .forEach(shard -> carryOut(shard, shard.tick(nowMs)));
    }

    @Override
    public boolean settled() {
        return wallClockMs.getAsLong() - lastFinishedMs >= SETTLE_MS;
    }

    private ClaimShard open(int shard) {
        return new ClaimShard(ClaimShardSettings.of(
                options.claims().environment(),
                shard,
                options.upstream(),
                options.incarnation(),
                options.claims().retentionSeconds()));
    }

    private void carryOut(ClaimShard shard, List<ClaimEffect> effects) {
        for (ClaimEffect effect : effects) {
            switch (effect) {
                case ClaimEffect.Call call -> call(shard, call);
                case ClaimEffect.Decide decide -> decide(shard, decide);
            }
        }
    }

    private void call(ClaimShard shard, ClaimEffect.Call call) {
        calls.perform(call.call())
                .thenAccept(result -> loop.execute(
                        () -> carryOut(shard, shard.onStoreResult(call.callId(), result, wallClockMs.getAsLong()))));
    }

    private void decide(ClaimShard shard, ClaimEffect.Decide decide) {
        Run run = waiting.remove(decide.requestId());
        if (run == null) {
            return;
        }
        switch (decide.decision()) {
            case ClaimDecision.RunNow ignored -> {
                if (!core.claimGranted(run)) {
                    carryOut(shard, shard.recordNotRun(key(run), wallClockMs.getAsLong()));
                }
            }
            case ClaimDecision.Stored stored -> core.claimAnswered(run, StoredAnswers.frames(stored.outcome()));
            case ClaimDecision.AskClaimant ask ->
                core.claimFailed(
                        run, ErrorKind.OUTCOME_UNKNOWN, "the agent of " + ask.upstream() + " claimed the order");
            case ClaimDecision.Refuse refuse ->
                core.claimFailed(run, refuse.kind(), refuse.kind().meaning());
        }
    }

    private static ClaimKey key(Run run) {
        String key = run.order().key();
        return ClaimKey.of(run.order().workspace(), key == null ? "" : key);
    }
}
