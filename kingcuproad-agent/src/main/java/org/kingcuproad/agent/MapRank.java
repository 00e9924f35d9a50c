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

/** Carries out the decisions of {@link RankSwitch} for the engine. Lives on the event loop of the agent. */
final class MapRank {

    private final GroupOptions options;
    private final long incarnation;
    private final EngineMapCalls engine;
    private final EngineCommands commands;
    private final RankPeers peers;
    private final LongSupplier clockMs;
    private final RankSwitch rank;
    private final Map<SwitchId, List<StreamObserver<PrepareMapResponse>>> coordinators = new HashMap<>();
    private final Map<Long, PrepareMapRequest> contents = new HashMap<>();
    private boolean polling;

    MapRank(
            GroupOptions options,
            long incarnation,
            UpstreamClient client,
            RankPeers peers,
            EventLoop loop,
            LongSupplier clockMs) {
        this.options = options;
        this.incarnation = incarnation;
        this.engine = new EngineMapCalls(client);
        this.commands = new EngineCommands(loop);
        this.peers = peers;
        this.clockMs = clockMs;
        this.rank = new RankSwitch(options.agents().size(), options.rank(), incarnation);
    }

    void start() {
        carryOut(rank.start());
    }

    boolean idle() {
        return rank.idle() && commands.idle();
    }

    long viewHash() {
        return rank.viewHash();
    }

    /** Repeats unanswered questions and looks whether the engine waits at a held step. */
    void tick() {
        carryOut(rank.tick(clockMs.getAsLong()));
        if (!rank.idle() && commands.idle() && !polling) {
            polling = true;
            engine.state(this::onState);
        }
    }

    void prepare(PrepareMapRequest request, StreamObserver<PrepareMapResponse> coordinator) {
        SwitchId id = new SwitchId(request.getMapVersion(), request.getSwitchStep());
        coordinators.computeIfAbsent(id, added -> new ArrayList<>()).add(coordinator);
        contents.put(request.getMapVersion(), request);
        // A switch that settled early blocks the next one until the engine is known to have begun its step.
        engine.state((status, state) -> {
            noteStep(status, state);
            carryOut(rank.prepare(MapMessages.prepare(request), clockMs.getAsLong()));
        });
    }

    void query(QueryPromiseRequest request, StreamObserver<QueryPromiseResponse> asker) {
        List<RankEffect> effects = rank.query(MapMessages.query(request), clockMs.getAsLong());
        // The answer tells the state after all effects of the question, so they are carried out first.
        carryOut(effects);
        effects.stream()
                .filter(RankEffect.SendReply.class::isInstance)
                .map(RankEffect.SendReply.class::cast)
                .forEach(answer -> {
                    asker.onNext(MapMessages.reply(answer.reply(), incarnation));
                    asker.onCompleted();
                });
    }

    void settle(SettleMapRequest request, StreamObserver<SettleMapResponse> coordinator) {
        carryOut(rank.settle(MapMessages.settle(request), clockMs.getAsLong()));
        coordinator.onNext(SettleMapResponse.newBuilder().setKnown(true).build());
        coordinator.onCompleted();
    }

    private void carryOut(List<RankEffect> effects) {
        effects.forEach(this::carryOut);
    }

    private void carryOut(RankEffect effect) {
        switch (effect) {
            case RankEffect.LoadEngine load -> commands.add(done -> load(load, done));
            case RankEffect.HoldEngine hold -> commands.add(done -> hold(hold, done));
            case RankEffect.SwitchEngine change ->
                commands.add(
                        done -> engine.command("switch", id(change.id()).put("fence", change.fence()), answered(done)));
            case RankEffect.AbortEngine abort ->
                commands.add(done ->
                        engine.command("abort", EngineMapCalls.body().put("fence", abort.fence()), answered(done)));
            case RankEffect.FreezeEngine ignored -> commands.add(this::freeze);
            case RankEffect.JoinEngine join -> join(join.baseMap(), join.committed());
            case RankEffect.AnswerPrepare answer -> answer(answer);
            case RankEffect.SendQuery ask ->
                peers.ask(ask.to(), MapMessages.query(options.group(), ask.query()), this::onReply);
            case RankEffect.SendReply ignored -> {}
        }
    }

    private void onReply(QueryPromiseResponse response) {
        PeerReply reply = MapMessages.reply(response);
        if (reply != null) {
            carryOut(rank.reply(reply, clockMs.getAsLong()));
        }
    }

    private void onState(int status, JsonNode state) {
        polling = false;
        noteStep(status, state);
        long holdStep = state.path("holdStep").asLong();
        if (status == 200 && holdStep != 0 && state.path("step").asLong() == holdStep - 1) {
            carryOut(rank.engineAtHold(holdStep, clockMs.getAsLong()));
        }
    }

    private void noteStep(int status, JsonNode state) {
        if (status == 200) {
            rank.engineStep(state.path("step").asLong());
        }
    }

    private void load(RankEffect.LoadEngine load, Consumer<Boolean> done) {
        ObjectNode body = content(load.id().mapVersion()).put("fence", load.fence());
        engine.command("prepare", body, (status, answer) -> {
            if (status == 200) {
                carryOut(rank.engineLoaded(load.id()));
            } else if (refused(status, answer)) {
                carryOut(rank.engineRefused(
                        load.id(), answer.path("highestFence").asLong()));
            }
            done.accept(status == 200 || refused(status, answer));
        });
    }

    private void hold(RankEffect.HoldEngine hold, Consumer<Boolean> done) {
        ObjectNode body = EngineMapCalls.body()
                .put("fence", hold.fence())
                .put("step", hold.id().step());
        engine.command("hold", body, (status, answer) -> {
            if (refused(status, answer)) {
                carryOut(rank.engineRefused(
                        hold.id(), answer.path("highestFence").asLong()));
            } else if (status == 200 || status == 409) {
                carryOut(rank.engineHeld(hold.id(), status == 200));
            }
            done.accept(status == 200 || status == 409);
        });
    }

    /** Stops the engine before its next step. Commands without a fencing token come from the start of the agent. */
    private void freeze(Consumer<Boolean> done) {
        engine.command("hold", EngineMapCalls.body().put("step", 0), (status, state) -> {
            if (status == 200) {
                carryOut(rank.engineFrozen(state.path("mapVersion").asLong(), clockMs.getAsLong()));
            }
            done.accept(status == 200);
        });
    }

    /** Loads the maps of the group, uses them, and releases the engine with the last command. */
    private void join(long baseMap, @Nullable SwitchId committed) {
        if (baseMap != 0) {
            commands.add(done -> engine.command("prepare", content(baseMap), loaded(done)));
            commands.add(done -> engine.command(
                    "switch",
                    EngineMapCalls.body()
                            .put("mapVersion", baseMap)
                            .put("step", 0)
                            .put("keepHold", true),
                    answered(done)));
        }
        if (committed == null) {
            commands.add(done -> engine.command("abort", EngineMapCalls.body(), answered(done)));
            return;
        }
        commands.add(done -> engine.command("prepare", content(committed.mapVersion()), loaded(done)));
        commands.add(done -> engine.command("switch", id(committed), (status, answer) -> {
            if (status == 409) {
                // The step has begun, so the map is in use from the next step on.
                commands.add(again -> engine.command("switch", id(committed).put("step", 0), answered(again)));
            }
            done.accept(status == 200 || status == 409);
        }));
    }

    private void answer(RankEffect.AnswerPrepare answer) {
        PrepareMapResponse response = PrepareMapResponse.newBuilder()
                .setPromised(answer.promised())
                .setRefusal(answer.refusal())
                .setHighestFence(answer.highestFence())
                .setIncarnation(incarnation)
                .build();
        List<StreamObserver<PrepareMapResponse>> waiting = coordinators.remove(answer.id());
        if (waiting != null) {
            waiting.forEach(coordinator -> {
                coordinator.onNext(response);
                coordinator.onCompleted();
            });
        }
    }

    private ObjectNode content(long mapVersion) {
        ObjectNode body = EngineMapCalls.body().put("mapVersion", mapVersion);
        PrepareMapRequest request = contents.get(mapVersion);
        if (request != null) {
            ArrayNode experts = body.putArray("expertOfSlot");
            request.getExpertOfSlotList().forEach(experts::add);
            body.put("slotsPerLayer", request.getSlotsPerLayer());
        }
        return body;
    }

    private static ObjectNode id(SwitchId id) {
        return EngineMapCalls.body().put("mapVersion", id.mapVersion()).put("step", id.step());
    }

    private static EngineMapCalls.Receiver answered(Consumer<Boolean> done) {
        return (status, answer) -> done.accept(status == 200 || status == 409);
    }

    private static EngineMapCalls.Receiver loaded(Consumer<Boolean> done) {
        return (status, answer) -> done.accept(status == 200);
    }

    private static boolean refused(int status, JsonNode answer) {
        return status == 409 && answer.has("highestFence");
    }
}
