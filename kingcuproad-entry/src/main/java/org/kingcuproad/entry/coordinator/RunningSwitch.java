package org.kingcuproad.entry.coordinator;

import java.util.BitSet;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.kingcuproad.entry.link.AgentLink;
import org.kingcuproad.policy.mapswitch.CoordinatorEffect;
import org.kingcuproad.policy.mapswitch.PrepareMap;
import org.kingcuproad.policy.mapswitch.SettleMap;
import org.kingcuproad.policy.mapswitch.SwitchCoordinator;
import org.kingcuproad.policy.mapswitch.SwitchId;
import org.kingcuproad.wire.proto.PrepareMapRequest;
import org.kingcuproad.wire.proto.PrepareMapResponse;
import org.kingcuproad.wire.proto.SettleMapRequest;

/** Executes the effects of one map switch over the links to the agents. Confined to the event loop of the entry. */
final class RunningSwitch {

    /** Time for all ranks to load the weights of a map, in milliseconds; then missing promises abort the switch. */
    private static final long PREPARE_LIMIT_MS = 60_000;

    private final String group;
    private final SwitchId id;
    private final MapTarget target;
    private final List<AgentLink> ranks;
    private final LongSupplier clockMs;
    private final Consumer<CoordinatorEffect.Finished> onFinished;
    private final SwitchCoordinator coordinator;
    private final BitSet pendingPrepares = new BitSet();

    RunningSwitch(
            String group,
            long fence,
            SwitchId id,
            MapTarget target,
            List<AgentLink> ranks,
            LongSupplier clockMs,
            Consumer<CoordinatorEffect.Finished> onFinished) {
        this.group = group;
        this.id = id;
        this.target = target;
        this.ranks = ranks;
        this.clockMs = clockMs;
        this.onFinished = onFinished;
        long[] incarnations =
                ranks.stream().mapToLong(link -> link.incarnation().orElse(0L)).toArray();
        this.coordinator = new SwitchCoordinator(fence, id, incarnations);
    }

    SwitchId id() {
        return id;
    }

    MapTarget target() {
        return target;
    }

    void start() {
        long nowMs = clockMs.getAsLong();
        execute(coordinator.start(nowMs + PREPARE_LIMIT_MS, nowMs));
    }

    void tick() {
        execute(coordinator.tick(clockMs.getAsLong()));
    }

    void abort(String reason) {
        execute(coordinator.abort(reason, clockMs.getAsLong()));
    }

    private void execute(List<CoordinatorEffect> effects) {
        for (CoordinatorEffect effect : effects) {
            switch (effect) {
                case CoordinatorEffect.SendPrepare send -> prepare(send.rank(), send.request());
                case CoordinatorEffect.SendSettle send -> settle(send.rank(), send.settle());
                case CoordinatorEffect.Finished finished -> onFinished.accept(finished);
            }
        }
    }

    /**
     * Sends a prepare request unless one is pending: a rank responds only after it has loaded the weights, so a pending
     * request is not repeated.
     */
    private void prepare(int rank, PrepareMap request) {
        if (pendingPrepares.get(rank)) {
            return;
        }
        pendingPrepares.set(rank);
        PrepareMapRequest message = PrepareMapRequest.newBuilder()
                .setGroup(group)
                .setFence(request.fence())
                .setMapVersion(id.mapVersion())
                .setSwitchStep(id.step())
                .addAllExpertOfSlot(target.expertOfSlot())
                .setSlotsPerLayer(target.slotsPerLayer())
                .setView(request.view())
                .setIncarnation(request.incarnation())
                .build();
        var unused = ranks.get(rank).prepareMap(message, PREPARE_LIMIT_MS).whenComplete((response, failure) -> {
            pendingPrepares.clear(rank);
            if (response != null) {
                onPrepareResponse(rank, response);
            }
        });
    }

    private void onPrepareResponse(int rank, PrepareMapResponse response) {
        execute(coordinator.onPrepareAnswer(
                rank,
                id,
                response.getIncarnation(),
                response.getPromised(),
                response.getRefusal(),
                clockMs.getAsLong()));
    }

    private void settle(int rank, SettleMap settle) {
        SettleMapRequest message = SettleMapRequest.newBuilder()
                .setGroup(group)
                .setMapVersion(id.mapVersion())
                .setSwitchStep(id.step())
                .setCommit(settle.commit())
                .setView(settle.view())
                .setIncarnation(settle.incarnation())
                .build();
        var unused = ranks.get(rank)
                .settleMap(message)
                .thenAccept(response -> execute(coordinator.onSettleAcknowledged(rank)));
    }
}
