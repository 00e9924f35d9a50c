package org.kingcuproad.policy.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Execution;
import org.kingcuproad.policy.stream.Bytes;

/** An agent with its execution record and one claim shard, combined as in the agent process. */
final class ModelAgent {

    private static final long RETENTION_MS = 3_600_000;
    private static final int RUN_MS = 300;

    /** Answer to an entry: the known execution state, or the agent that holds the claim. */
    record Reply(
            Execution execution,
            @Nullable ErrorKind kind,
            @Nullable String upstream,
            long incarnation) {}

    private final AtMostOnceModel model;
    final String upstream;
    final long incarnation;
    final ExecutionRecord record;
    private final ClaimShard shard;
    private final Map<String, DispatchRequest> claimingRequests = new HashMap<>();
    private final Map<String, List<Consumer<Reply>>> waitingReplies = new HashMap<>();

    ModelAgent(AtMostOnceModel model, String upstream, long incarnation) {
        this.model = model;
        this.upstream = upstream;
        this.incarnation = incarnation;
        record = new ExecutionRecord(incarnation);
        shard = new ClaimShard(ClaimShardSettings.of("e", 0, upstream, incarnation, (int) (RETENTION_MS / 1_000)));
    }

    List<Object> state() {
        return List.of(record, shard, waitingReplies.keySet());
    }

    void dispatch(DispatchRequest request, Consumer<Reply> reply) {
        DispatchDecision decision = record.dispatch(request, model.nowMs);
        switch (decision) {
            case DispatchDecision.Run ignored -> run(request, reply);
            case DispatchDecision.Claim ignored -> claim(request, reply);
            case DispatchDecision.JoinRunning join -> addWaiter(join.requestId(), reply);
            case DispatchDecision.JoinFinished ignored -> reply.accept(ran());
            case DispatchDecision.Refuse refuse -> {
                if (model.mutation == AtMostOnceModel.Mutation.FENCE_IGNORED
                        && refuse.detail().contains("fenced")) {
                    run(request, reply);
                } else {
                    reply.accept(refused(refuse.kind()));
                }
            }
        }
    }

    void onStoreResult(long callId, StoreResult result) {
        carryOut(shard.onStoreResult(callId, result, model.nowMs));
    }

    void tick() {
        carryOut(shard.tick(model.nowMs));
    }

    private void claim(DispatchRequest request, Consumer<Reply> reply) {
        addWaiter(request.requestId(), reply);
        claimingRequests.put(request.requestId(), request);
        if (model.mutation == AtMostOnceModel.Mutation.RUN_BEFORE_CLAIM) {
            model.recordRun(request);
        }
        carryOut(shard.submit(
                new ClaimRequest(request.requestId(), key(request), request.requestDigest()), model.nowMs));
    }

    private void carryOut(List<ClaimEffect> effects) {
        for (ClaimEffect effect : effects) {
            switch (effect) {
                case ClaimEffect.Call call -> model.storeCall(this, call.callId(), call.call());
                case ClaimEffect.Decide decide -> onDecision(decide.requestId(), decide.decision());
            }
        }
        model.timer(this, shard.nextTickMs());
    }

    private void onDecision(String requestId, ClaimDecision decision) {
        DispatchRequest request = Objects.requireNonNull(claimingRequests.remove(requestId));
        if (decision instanceof ClaimDecision.RunNow) {
            if (record.beginClaimed(requestId, model.nowMs)
                    || model.mutation == AtMostOnceModel.Mutation.FENCE_IGNORED) {
                run(request, ignored -> {});
            } else {
                carryOut(shard.recordNotRun(key(request), model.nowMs));
            }
            return;
        }
        record.abandonClaim(requestId, model.nowMs);
        switch (decision) {
            case ClaimDecision.Stored ignored -> answer(requestId, ran());
            case ClaimDecision.AskClaimant ask -> ask(request, ask);
            case ClaimDecision.Refuse refuse -> answer(requestId, refused(refuse.kind()));
            case ClaimDecision.RunNow ignored -> throw new IllegalStateException();
        }
    }

    private void ask(DispatchRequest request, ClaimDecision.AskClaimant ask) {
        Optional<DispatchDecision> own = ask.incarnation() == incarnation
                ? record.findKey("w", Objects.requireNonNull(request.key()))
                : Optional.empty();
        if (own.isPresent() && own.get() instanceof DispatchDecision.JoinRunning join) {
            waitingReplies
                    .getOrDefault(request.requestId(), List.of())
                    .forEach(reply -> addWaiter(join.requestId(), reply));
        } else {
            answer(request.requestId(), new Reply(Execution.UNKNOWN, null, ask.upstream(), ask.incarnation()));
        }
    }

    private void run(DispatchRequest request, Consumer<Reply> reply) {
        addWaiter(request.requestId(), reply);
        boolean alreadyCounted = model.mutation == AtMostOnceModel.Mutation.RUN_BEFORE_CLAIM
                && !BoundKey.looksBound(Objects.requireNonNull(request.key()));
        if (!alreadyCounted) {
            model.recordRun(request);
        }
        model.at(RUN_MS, incarnation, "finish " + request, () -> {
            Outcome outcome = Outcome.of(200, 1, Bytes.wrap(new byte[] {1, 2, 3}));
            record.finish(request.requestId(), outcome, model.nowMs);
            answer(request.requestId(), ran());
            carryOut(shard.recordOutcome(key(request), outcome, model.nowMs));
        });
    }

    private void addWaiter(String requestId, Consumer<Reply> reply) {
        waitingReplies.computeIfAbsent(requestId, ignored -> new ArrayList<>()).add(reply);
    }

    private void answer(String requestId, Reply reply) {
        List<Consumer<Reply>> replies = waitingReplies.remove(requestId);
        if (replies != null) {
            replies.forEach(consumer -> consumer.accept(reply));
        }
    }

    private static ClaimKey key(DispatchRequest request) {
        return ClaimKey.of("w", Objects.requireNonNull(request.key()));
    }

    private static Reply ran() {
        return new Reply(Execution.RAN, null, null, 0);
    }

    private static Reply refused(ErrorKind kind) {
        return new Reply(kind.execution(), kind, null, 0);
    }
}
