package org.kingcuproad.agent;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kingcuproad.emulator.engine.EngineGroup;
import org.kingcuproad.emulator.engine.EngineSettings;
import org.kingcuproad.emulator.engine.GroupSettings;
import org.kingcuproad.emulator.engine.MapStep;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.policy.mapswitch.GroupView;
import org.kingcuproad.wire.proto.AgentServiceGrpc;
import org.kingcuproad.wire.proto.PrepareMapRequest;
import org.kingcuproad.wire.proto.PrepareMapResponse;
import org.kingcuproad.wire.proto.SettleMapRequest;

/** Guards against a step in which ranks use different maps, and against a switch that stops a group permanently. */
class AgentMapSwitchTest {

    private static final String HOST = "127.0.0.1";
    private static final int AGENTS = 3;
    private static final long MAP = 5;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final List<Agent> agents = new ArrayList<>();
    private final List<ManagedChannel> channels = new ArrayList<>();
    private final List<HostPort> addresses = new ArrayList<>();
    private final long[] incarnations = {11, 12, 13};
    private EngineGroup group;

    @BeforeEach
    void start() throws Exception {
        GroupSettings settings = GroupSettings.of("drafting", 2, 2).withoutFencing();
        group = EngineGroup.start(loops, settings, Collections.nCopies(AGENTS, EngineSettings.of(HOST, 0)));
        for (int rank = 0; rank < AGENTS; rank++) {
            addresses.add(new HostPort(HOST, freePort()));
        }
        for (int rank = 0; rank < AGENTS; rank++) {
            agents.add(startAgent(rank));
            channels.add(
                    NettyChannelBuilder.forAddress(HOST, addresses.get(rank).port())
                            .usePlaintext()
                            .build());
        }
        awaitJoined();
    }

    @AfterEach
    void stop() {
        channels.forEach(ManagedChannel::shutdownNow);
        agents.forEach(Agent::close);
        group.close();
        loops.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    /** The commit of the coordinator reaches all, some or none of the agents. */
    @ParameterizedTest
    @ValueSource(ints = {3, 1, 0})
    void commitsOnAllRanksOrNone(int settled) throws Exception {
        long step = lastStep() + 500;
        assertThat(prepare(AGENTS, 1, step)).allMatch(PrepareMapResponse::getPromised);
        for (int rank = 0; rank < settled; rank++) {
            settle(rank, step);
        }
        awaitStep(step + 10);
        assertOneMap(step, MAP);
    }

    /** The coordinator crashes before it has sent a prepare request to every agent. */
    @Test
    void abortsWhenOneAgentHasNotPromised() throws Exception {
        long step = lastStep() + 500;
        assertThat(prepare(AGENTS - 1, 1, step)).allMatch(PrepareMapResponse::getPromised);
        awaitStep(step + 10);
        assertOneMap(step, 0);
    }

    /** An agent restarts after its promise and before the coordinator settles. */
    @Test
    void settlesAfterAgentRestart() throws Exception {
        long step = lastStep() + 500;
        assertThat(prepare(AGENTS, 1, step)).allMatch(PrepareMapResponse::getPromised);
        agents.get(2).close();
        incarnations[2] = 23;
        addresses.set(2, new HostPort(HOST, freePort()));
        agents.set(2, startAgent(2));
        agents.get(0).updatePeerAddress(2, addresses.get(2));
        agents.get(1).updatePeerAddress(2, addresses.get(2));
        settle(0, step);
        awaitStep(step + 10);
        awaitJoined();
        long used = group.history().getLast().mapVersion();
        assertOneMap(step, used);
    }

    /** A coordinator that lost its lease sends requests for engines that do not check fencing tokens. */
    @Test
    void refusesLowerFencingToken() throws Exception {
        long step = lastStep() + 500;
        assertThat(prepare(AGENTS, 9, step)).allMatch(PrepareMapResponse::getPromised);
        settle(0, step);
        settle(1, step);
        settle(2, step);
        awaitStep(step + 10);
        List<PrepareMapResponse> refused = prepare(AGENTS, 8, lastStep() + 500);
        assertThat(refused).noneMatch(PrepareMapResponse::getPromised);
        assertThat(refused).allMatch(response -> response.getHighestFence() == 9);
    }

    private Agent startAgent(int rank) throws Exception {
        int port = group.engines().get(rank).port();
        return Agent.start(AgentOptions.of("m-" + rank, "http://" + HOST + ":" + port, incarnations[rank])
                .withListen(HOST, addresses.get(rank).port(), 0)
                .withGroup(new GroupOptions("drafting", rank, addresses)));
    }

    private List<PrepareMapResponse> prepare(int count, long fence, long step) throws Exception {
        List<Future<PrepareMapResponse>> answers = new ArrayList<>();
        for (int rank = 0; rank < count; rank++) {
            answers.add(AgentServiceGrpc.newFutureStub(channels.get(rank))
                    .prepareMap(PrepareMapRequest.newBuilder()
                            .setGroup("drafting")
                            .setFence(fence)
                            .setMapVersion(MAP)
                            .setSwitchStep(step)
                            .setView(GroupView.hash(incarnations))
                            .setIncarnation(incarnations[rank])
                            .build()));
        }
        List<PrepareMapResponse> responses = new ArrayList<>();
        for (Future<PrepareMapResponse> answer : answers) {
            responses.add(answer.get(20, TimeUnit.SECONDS));
        }
        return responses;
    }

    private void settle(int rank, long step) {
        assertThat(AgentServiceGrpc.newBlockingStub(channels.get(rank))
                        .settleMap(SettleMapRequest.newBuilder()
                                .setGroup("drafting")
                                .setMapVersion(MAP)
                                .setSwitchStep(step)
                                .setCommit(true)
                                .setView(GroupView.hash(new long[] {11, 12, 13}))
                                .setIncarnation(incarnations[rank])
                                .build())
                        .getKnown())
                .isTrue();
    }

    private void awaitJoined() throws InterruptedException {
        long view = GroupView.hash(incarnations);
        AgentFixture.await(
                "the ranks have joined",
                () -> agents.stream().allMatch(agent -> agent.rankSwitchIdle() && agent.rankViewHash() == view));
    }

    private void awaitStep(long step) throws InterruptedException {
        AgentFixture.await("step " + step, () -> lastStep() >= step);
    }

    private long lastStep() {
        List<MapStep> history = group.history();
        return history.isEmpty() ? 0 : history.getLast().step();
    }

    private void assertOneMap(long step, long expected) {
        assertThat(group.mixedSteps()).isZero();
        assertThat(group.history())
                .filteredOn(used -> used.step() >= step)
                .isNotEmpty()
                .allSatisfy(used -> assertThat(used.mapVersion()).isEqualTo(expected));
        assertThat(group.history())
                .filteredOn(used -> used.step() < step)
                .allSatisfy(used -> assertThat(used.mapVersion()).isZero());
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
