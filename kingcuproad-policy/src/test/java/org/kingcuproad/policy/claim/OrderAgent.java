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

/** An agent with its record and one claim shard, as the agent process puts them together. */
final class OrderAgent {

    private static final long RETENTION_MS = 3_600_000;
    private static final int RUN_MS = 300;

    /** Answer to an entry: what is known, or which agent to ask. */
    record Reply(
            Execution execution,
            @Nullable ErrorKind kind,
            @Nullable String upstream,
            long incarnation) {}

    private final OrderWorld world;
    final String upstream;
    final long incarnation;
    final ExecutionRecord record;
    private final ClaimShard shard;
    private final Map<String, Order> claiming = new HashMap<>();
    private final Map<String, List<Consumer<Reply>>> waiting = new HashMap<>();

    OrderAgent(OrderWorld world, String upstream, long incarnation) {
        this.world = world;
        this.upstream = upstream;
        this.incarnation = incarnation;
        record = new ExecutionRecord(incarnation);
        shard = new ClaimShard(ClaimShardSettings.of("e", 0, upstream, incarnation, (int) (RETENTION_MS / 1_000)));
    }

    List<Object> state() {
        return List.of(record, shard, waiting.keySet());
    }

    void dispatch(Order order, Consumer<Reply> reply) {
        DispatchDecision decision = record.dispatch(order, world.nowMs);
        switch (decision) {
            case DispatchDecision.Run ignored -> run(order, reply);
            case DispatchDecision.Claim ignored -> claim(order, reply);
            case DispatchDecision.JoinRunning join -> wait(join.requestId(), reply);
            case DispatchDecision.JoinFinished ignored -> reply.accept(ran());
            case DispatchDecision.Refuse refuse -> {
                if (world.weakness == OrderWorld.Weakness.FENCE_IGNORED
                        && refuse.detail().contains("fenced")) {
                    run(order, reply);
                } else {
                    reply.accept(refused(refuse.kind()));
                }
            }
        }
    }

    void result(long callId, StoreResult result) {
        carryOut(shard.storeResult(callId, result, world.nowMs));
    }

    void tick() {
        carryOut(shard.tick(world.nowMs));
    }

    private void claim(Order order, Consumer<Reply> reply) {
        wait(order.requestId(), reply);
        claiming.put(order.requestId(), order);
        if (world.weakness == OrderWorld.Weakness.RUN_BEFORE_CLAIM) {
            world.ran(order);
        }
        carryOut(shard.offer(new ClaimOrder(order.requestId(), key(order), order.requestDigest()), world.nowMs));
    }

    private void carryOut(List<ClaimEffect> effects) {
        for (ClaimEffect effect : effects) {
            switch (effect) {
                case ClaimEffect.Call call -> world.storeCall(this, call.callId(), call.call());
                case ClaimEffect.Decide decide -> decided(decide.requestId(), decide.decision());
            }
        }
        world.timer(this, shard.nextTickMs());
    }

    private void decided(String requestId, ClaimDecision decision) {
        Order order = Objects.requireNonNull(claiming.remove(requestId));
        if (decision instanceof ClaimDecision.RunNow) {
            if (record.beginClaimed(requestId, world.nowMs) || world.weakness == OrderWorld.Weakness.FENCE_IGNORED) {
                run(order, ignored -> {});
            } else {
                carryOut(shard.notRun(key(order), world.nowMs));
            }
            return;
        }
        record.abandonClaim(requestId, world.nowMs);
        switch (decision) {
            case ClaimDecision.Stored ignored -> answer(requestId, ran());
            case ClaimDecision.AskClaimant ask -> ask(order, ask);
            case ClaimDecision.Refuse refuse -> answer(requestId, refused(refuse.kind()));
            case ClaimDecision.RunNow ignored -> throw new IllegalStateException();
        }
    }

    private void ask(Order order, ClaimDecision.AskClaimant ask) {
        Optional<DispatchDecision> own = ask.incarnation() == incarnation
                ? record.findKey("w", Objects.requireNonNull(order.key()))
                : Optional.empty();
        if (own.isPresent() && own.get() instanceof DispatchDecision.JoinRunning join) {
            waiting.getOrDefault(order.requestId(), List.of()).forEach(reply -> wait(join.requestId(), reply));
        } else {
            answer(order.requestId(), new Reply(Execution.UNKNOWN, null, ask.upstream(), ask.incarnation()));
        }
    }

    private void run(Order order, Consumer<Reply> reply) {
        wait(order.requestId(), reply);
        boolean counted = world.weakness == OrderWorld.Weakness.RUN_BEFORE_CLAIM
                && !BoundKey.looksBound(Objects.requireNonNull(order.key()));
        if (!counted) {
            world.ran(order);
        }
        world.at(RUN_MS, incarnation, "finish " + order, () -> {
            Outcome outcome = Outcome.of(200, 1, Bytes.wrap(new byte[] {1, 2, 3}));
            record.finish(order.requestId(), outcome, world.nowMs);
            answer(order.requestId(), ran());
            carryOut(shard.finished(key(order), outcome, world.nowMs));
        });
    }

    private void wait(String requestId, Consumer<Reply> reply) {
        waiting.computeIfAbsent(requestId, ignored -> new ArrayList<>()).add(reply);
    }

    private void answer(String requestId, Reply reply) {
        List<Consumer<Reply>> replies = waiting.remove(requestId);
        if (replies != null) {
            replies.forEach(consumer -> consumer.accept(reply));
        }
    }

    private static ClaimKey key(Order order) {
        return ClaimKey.of("w", Objects.requireNonNull(order.key()));
    }

    private static Reply ran() {
        return new Reply(Execution.RAN, null, null, 0);
    }

    private static Reply refused(ErrorKind kind) {
        return new Reply(kind.execution(), kind, null, 0);
    }
}
