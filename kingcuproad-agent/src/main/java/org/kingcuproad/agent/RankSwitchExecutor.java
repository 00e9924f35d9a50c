package org.kingcuproad.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.mapswitch.PeerReply;
import org.kingcuproad.policy.mapswitch.RankEffect;
import org.kingcuproad.policy.mapswitch.RankSwitch;
import org.kingcuproad.policy.mapswitch.SwitchId;
import org.kingcuproad.wire.proto.PrepareMapRequest;
import org.kingcuproad.wire.proto.PrepareMapResponse;
import org.kingcuproad.wire.proto.QueryPromiseRequest;
import org.kingcuproad.wire.proto.QueryPromiseResponse;
import org.kingcuproad.wire.proto.SettleMapRequest;
import org.kingcuproad.wire.proto.SettleMapResponse;

/** Executes the effects of {@link RankSwitch} on the engine and the peers. Confined to the event loop of the agent. */
final class RankSwitchExecutor {

    private final GroupOptions options;
    private final long incarnation;
    private final EngineMapClient engine;
    private final EngineCommandQueue commandQueue;
    private final PeerClient peerClient;
    private final LongSupplier clockMs;
    private final RankSwitch rankSwitch;
    private final Map<SwitchId, List<StreamObserver<PrepareMapResponse>>> pendingPrepares = new HashMap<>();
    private final Map<Long, PrepareMapRequest> preparedMaps = new HashMap<>();
    private boolean polling;

    RankSwitchExecutor(
            GroupOptions options,
            long incarnation,
            UpstreamClient client,
            PeerClient peerClient,
            EventLoop eventLoop,
            LongSupplier clockMs) {
        this.options = options;
        this.incarnation = incarnation;
        this.engine = new EngineMapClient(client);
        this.commandQueue = new EngineCommandQueue(eventLoop);
        this.peerClient = peerClient;
        this.clockMs = clockMs;
        this.rankSwitch = new RankSwitch(options.agents().size(), options.rank(), incarnation);
    }

    void start() {
        execute(rankSwitch.start());
    }

    boolean idle() {
        return rankSwitch.idle() && commandQueue.idle();
    }

    long viewHash() {
        return rankSwitch.viewHash();
    }

    /** Resends unanswered queries and polls whether the engine waits at a held step. */
    void tick() {
        execute(rankSwitch.tick(clockMs.getAsLong()));
        if (!rankSwitch.idle() && commandQueue.idle() && !polling) {
            polling = true;
            engine.getState(this::onState);
        }
    }

    void prepare(PrepareMapRequest request, StreamObserver<PrepareMapResponse> responses) {
        SwitchId id = new SwitchId(request.getMapVersion(), request.getSwitchStep());
        pendingPrepares.computeIfAbsent(id, added -> new ArrayList<>()).add(responses);
        preparedMaps.put(request.getMapVersion(), request);
        // A switch that was settled before its step blocks the next one until the engine is known to have begun that
        // step.
        engine.getState((status, state) -> {
            updateStep(status, state);
            execute(rankSwitch.prepare(MapSwitchMessages.prepare(request), clockMs.getAsLong()));
        });
    }

    void query(QueryPromiseRequest request, StreamObserver<QueryPromiseResponse> responses) {
        List<RankEffect> effects = rankSwitch.query(MapSwitchMessages.query(request), clockMs.getAsLong());
        // The reply reports the state after all effects of the query, so they are executed first.
        execute(effects);
        effects.stream()
                .filter(RankEffect.SendReply.class::isInstance)
                .map(RankEffect.SendReply.class::cast)
                .forEach(effect -> {
                    responses.onNext(MapSwitchMessages.reply(effect.reply(), incarnation));
                    responses.onCompleted();
                });
    }

    void settle(SettleMapRequest request, StreamObserver<SettleMapResponse> responses) {
        execute(rankSwitch.settle(MapSwitchMessages.settle(request), clockMs.getAsLong()));
        responses.onNext(SettleMapResponse.newBuilder().setKnown(true).build());
        responses.onCompleted();
    }

    private void execute(List<RankEffect> effects) {
        effects.forEach(this::execute);
    }

    private void execute(RankEffect effect) {
        switch (effect) {
            case RankEffect.LoadEngine load -> commandQueue.enqueue(done -> load(load, done));
            case RankEffect.HoldEngine hold -> commandQueue.enqueue(done -> hold(hold, done));
            case RankEffect.SwitchEngine change ->
                commandQueue.enqueue(done -> engine.sendCommand(
                        "switch", switchBody(change.id()).put("fence", change.fence()), doneOnSuccessOrConflict(done)));
            case RankEffect.AbortEngine abort ->
                commandQueue.enqueue(done -> engine.sendCommand(
                        "abort", EngineMapClient.newBody().put("fence", abort.fence()), doneOnSuccessOrConflict(done)));
            case RankEffect.FreezeEngine ignored -> commandQueue.enqueue(this::freeze);
            case RankEffect.JoinEngine join -> join(join.baseMap(), join.committed());
            case RankEffect.AnswerPrepare answer -> answerPrepare(answer);
            case RankEffect.SendQuery sendQuery ->
                peerClient.query(
                        sendQuery.to(), MapSwitchMessages.query(options.group(), sendQuery.query()), this::onReply);
            case RankEffect.SendReply ignored -> {}
        }
    }

    private void onReply(QueryPromiseResponse response) {
        PeerReply reply = MapSwitchMessages.reply(response);
        if (reply != null) {
            execute(rankSwitch.reply(reply, clockMs.getAsLong()));
        }
    }

    private void onState(int status, JsonNode state) {
        polling = false;
        updateStep(status, state);
        long holdStep = state.path("holdStep").asLong();
        if (status == 200 && holdStep != 0 && state.path("step").asLong() == holdStep - 1) {
            execute(rankSwitch.engineAtHold(holdStep, clockMs.getAsLong()));
        }
    }

    private void updateStep(int status, JsonNode state) {
        if (status == 200) {
            rankSwitch.engineStep(state.path("step").asLong());
        }
    }

    private void load(RankEffect.LoadEngine load, Consumer<Boolean> done) {
        ObjectNode body = mapBody(load.id().mapVersion()).put("fence", load.fence());
        engine.sendCommand("prepare", body, (status, response) -> {
            if (status == 200) {
                execute(rankSwitch.engineLoaded(load.id()));
            } else if (refusedByFence(status, response)) {
                execute(rankSwitch.engineRefused(
                        load.id(), response.path("highestFence").asLong()));
            }
            done.accept(status == 200 || refusedByFence(status, response));
        });
    }

    private void hold(RankEffect.HoldEngine hold, Consumer<Boolean> done) {
        ObjectNode body = EngineMapClient.newBody()
                .put("fence", hold.fence())
                .put("step", hold.id().step());
        engine.sendCommand("hold", body, (status, response) -> {
            if (refusedByFence(status, response)) {
                execute(rankSwitch.engineRefused(
                        hold.id(), response.path("highestFence").asLong()));
            } else if (status == 200 || status == 409) {
                execute(rankSwitch.engineHeld(hold.id(), status == 200));
            }
            done.accept(status == 200 || status == 409);
        });
    }

    /** Stops the engine before its next step. Commands without a fencing token are sent only when the agent starts. */
    private void freeze(Consumer<Boolean> done) {
        engine.sendCommand("hold", EngineMapClient.newBody().put("step", 0), (status, state) -> {
            if (status == 200) {
                execute(rankSwitch.engineFrozen(state.path("mapVersion").asLong(), clockMs.getAsLong()));
            }
            done.accept(status == 200);
        });
    }

    /** Loads the maps of the group and switches to them; the last command releases the hold of the engine. */
    private void join(long baseMap, @Nullable SwitchId committed) {
        if (baseMap != 0) {
            commandQueue.enqueue(done -> engine.sendCommand("prepare", mapBody(baseMap), doneOnSuccess(done)));
            commandQueue.enqueue(done -> engine.sendCommand(
                    "switch",
                    EngineMapClient.newBody()
                            .put("mapVersion", baseMap)
                            .put("step", 0)
                            .put("keepHold", true),
                    doneOnSuccessOrConflict(done)));
        }
        if (committed == null) {
            commandQueue.enqueue(
                    done -> engine.sendCommand("abort", EngineMapClient.newBody(), doneOnSuccessOrConflict(done)));
            return;
        }
        commandQueue.enqueue(
                done -> engine.sendCommand("prepare", mapBody(committed.mapVersion()), doneOnSuccess(done)));
        commandQueue.enqueue(done -> engine.sendCommand("switch", switchBody(committed), (status, response) -> {
            if (status == 409) {
                // The step has already begun, so the engine switches at its next step instead.
                commandQueue.enqueue(again -> engine.sendCommand(
                        "switch", switchBody(committed).put("step", 0), doneOnSuccessOrConflict(again)));
            }
            done.accept(status == 200 || status == 409);
        }));
    }

    private void answerPrepare(RankEffect.AnswerPrepare answer) {
        PrepareMapResponse response = PrepareMapResponse.newBuilder()
                .setPromised(answer.promised())
                .setRefusal(answer.refusal())
                .setHighestFence(answer.highestFence())
                .setIncarnation(incarnation)
                .build();
        List<StreamObserver<PrepareMapResponse>> waitingCoordinators = pendingPrepares.remove(answer.id());
        if (waitingCoordinators != null) {
            waitingCoordinators.forEach(responses -> {
                responses.onNext(response);
                responses.onCompleted();
            });
        }
    }

    private ObjectNode mapBody(long mapVersion) {
        ObjectNode body = EngineMapClient.newBody().put("mapVersion", mapVersion);
        PrepareMapRequest request = preparedMaps.get(mapVersion);
        if (request != null) {
            ArrayNode experts = body.putArray("expertOfSlot");
            request.getExpertOfSlotList().forEach(experts::add);
            body.put("slotsPerLayer", request.getSlotsPerLayer());
        }
        return body;
    }

    private static ObjectNode switchBody(SwitchId id) {
        return EngineMapClient.newBody().put("mapVersion", id.mapVersion()).put("step", id.step());
    }

    private static EngineMapClient.Receiver doneOnSuccessOrConflict(Consumer<Boolean> done) {
        return (status, response) -> done.accept(status == 200 || status == 409);
    }

    private static EngineMapClient.Receiver doneOnSuccess(Consumer<Boolean> done) {
        return (status, response) -> done.accept(status == 200);
    }

    private static boolean refusedByFence(int status, JsonNode response) {
        return status == 409 && response.has("highestFence");
    }
}
