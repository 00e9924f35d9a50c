package org.kingcuproad.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kingcuproad.emulator.engine.ChatText;
import org.kingcuproad.wire.proto.AgentServiceGrpc;
import org.kingcuproad.wire.proto.Execution;
import org.kingcuproad.wire.proto.Failed;
import org.kingcuproad.wire.proto.FenceRequest;
import org.kingcuproad.wire.proto.FenceState;

/** Guards against lost, repeated or truncated responses and repeated runs when connections or upstreams fail. */
class AgentFaultTest {

    private static final int TOKENS = 6;

    /** Guards against bytes lost or repeated when the connection fails, after each message of the response. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
    void resumesAfterConnectionLoss(int messagesBeforeLoss) throws Exception {
        try (AgentFixture fixture =
                AgentFixture.model(AgentFixture.engineSettings().withSpeed(5, 5))) {
            ResponseReader reader = new ResponseReader();
            try (ExecuteClient first = fixture.connect().send(AgentFixture.chatDispatch("r-1", TOKENS))) {
                AgentFixture.await("the run began", () -> fixture.engine.runs("r-1") == 1);
                reader.read(first, messagesBeforeLoss);
            }
            try (ExecuteClient second = fixture.connect().send(reader.resume("r-1", AgentFixture.INCARNATION))) {
                assertThat(reader.readAll(second).text()).isEqualTo(ChatText.streamedBody("r-1", "m", TOKENS));
            }
            assertThat(fixture.engine.runs("r-1")).isEqualTo(1);
        }
    }

    /** Guards against executing a request twice when its dispatch arrives twice. */
    @Test
    void runsRepeatedDispatchOnce() throws Exception {
        try (AgentFixture fixture =
                AgentFixture.service(AgentFixture.serviceSettings().withProcessingMs(200))) {
            try (ExecuteClient first = fixture.connect().send(AgentFixture.orderDispatch("o-1"))) {
                AgentFixture.await("the run began", () -> fixture.service.runs("o-1") == 1);
                try (ExecuteClient second = fixture.connect().send(AgentFixture.orderDispatch("o-1"))) {
                    assertThat(new ResponseReader().readAll(second).text()).contains("\"run\":1");
                }
                try (ExecuteClient third = fixture.connect().send(AgentFixture.orderDispatch("o-1"))) {
                    assertThat(new ResponseReader().readAll(third).text()).contains("\"run\":1");
                }
                assertThat(first.next()).isNotNull();
            }
            assertThat(fixture.service.runs("o-1")).isEqualTo(1);
        }
    }

    /** Guards against executing a late dispatch after its sender was told that it would never be executed. */
    @Test
    void refusesDispatchAfterFence() throws Exception {
        try (AgentFixture fixture = AgentFixture.service(AgentFixture.serviceSettings());
                ExecuteClient client = fixture.connect()) {
            FenceRequest fence = FenceRequest.newBuilder()
                    .setRequestId("o-1")
                    .setAttempt(1)
                    .setIncarnation(AgentFixture.INCARNATION)
                    .build();
            AgentServiceGrpc.AgentServiceBlockingStub stub = AgentServiceGrpc.newBlockingStub(client.channel());
            assertThat(stub.fence(fence).getState()).isEqualTo(FenceState.FENCE_STATE_FENCED_NOT_RUN);
            client.send(AgentFixture.orderDispatch("o-1"));
            assertThat(new ResponseReader().readAll(client).refused().getKind()).isEqualTo("no-upstream");
            assertThat(fixture.service.orders()).isZero();
            client.close();
            try (ExecuteClient next =
                    fixture.connect().send(AgentFixture.orderDispatch("o-1").setAttempt(2))) {
                assertThat(new ResponseReader().readAll(next).status()).isEqualTo(201);
            }
        }
    }

    /** Guards against a run at an agent that lost its execution record in a restart. */
    @Test
    void refusesOtherIncarnation() throws Exception {
        try (AgentFixture fixture = AgentFixture.service(AgentFixture.serviceSettings());
                ExecuteClient client = fixture.connect()) {
            client.send(AgentFixture.orderDispatch("o-1").setIncarnation(AgentFixture.INCARNATION + 1));
            ResponseReader reader = new ResponseReader().readAll(client);
            assertThat(reader.refused().getIncarnation()).isEqualTo(AgentFixture.INCARNATION);
            assertThat(fixture.service.orders()).isZero();
        }
    }

    /** Guards against a truncated response that appears complete. */
    @Test
    void reportsIncompleteResponse() throws Exception {
        try (AgentFixture fixture =
                        AgentFixture.model(AgentFixture.engineSettings().withCloseAfterTokens(3));
                ExecuteClient client = fixture.connect().send(AgentFixture.chatDispatch("r-1", TOKENS))) {
            ResponseReader reader = new ResponseReader().readAll(client);
            assertFailed(reader.failed(), "answer-incomplete", Execution.EXECUTION_RAN);
            assertThat(reader.receivedBytes()).isPositive();
        }
    }

    /** Guards against "not run" or "ran" for a request whose upstream failed before it responded, also on a retry. */
    @Test
    void reportsUnknownWhenUpstreamIsLost() throws Exception {
        try (AgentFixture fixture =
                        AgentFixture.service(AgentFixture.serviceSettings().withCloseBeforeAnswer());
                ExecuteClient client = fixture.connect().send(AgentFixture.orderDispatch("o-1"))) {
            Failed failed = new ResponseReader().readAll(client).failed();
            assertFailed(failed, "upstream-lost", Execution.EXECUTION_UNKNOWN);
            try (ExecuteClient retry = fixture.connect().send(AgentFixture.orderDispatch("o-1"))) {
                Failed again = new ResponseReader().readAll(retry).failed();
                assertThat(again.getExecution()).isEqualTo(Execution.EXECUTION_UNKNOWN);
            }
            assertThat(fixture.service.runs("o-1")).isEqualTo(1);
        }
    }

    /** Guards against "unknown" for a request that certainly did not reach its upstream. */
    @Test
    void reportsNotRunWhenConnectionIsRefused() throws Exception {
        try (AgentFixture fixture = AgentFixture.service(AgentFixture.serviceSettings())) {
            fixture.service.close();
            AgentFixture.await("the port is closed", () -> !accepts(fixture.service.port()));
            try (ExecuteClient client = fixture.connect().send(AgentFixture.orderDispatch("o-1"))) {
                Failed failed = new ResponseReader().readAll(client).failed();
                assertFailed(failed, "no-upstream", Execution.EXECUTION_NOT_RUN);
            }
        }
    }

    /** Guards against a stalled upstream that blocks its caller until the deadline. */
    @Test
    void reportsSilentUpstream() throws Exception {
        try (AgentFixture fixture =
                        AgentFixture.model(AgentFixture.engineSettings().withStallAfterTokens(2));
                ExecuteClient client = fixture.connect().send(AgentFixture.chatDispatch("r-1", TOKENS))) {
            Failed failed = new ResponseReader().readAll(client).failed();
            assertFailed(failed, "answer-incomplete", Execution.EXECUTION_RAN);
            AgentFixture.await("the upstream run was cancelled", () -> fixture.engine.running() == 0);
        }
    }

    /** Guards against runs that outlive the deadline of their caller. */
    @Test
    void endsRunAtDeadline() throws Exception {
        try (AgentFixture fixture =
                        AgentFixture.model(AgentFixture.engineSettings().withSpeed(60_000, 0));
                ExecuteClient client = fixture.connect()) {
            client.send(AgentFixture.chatDispatch("r-1", TOKENS).setDeadlineMs(300));
            Failed failed = new ResponseReader().readAll(client).failed();
            assertFailed(failed, "deadline-exceeded", Execution.EXECUTION_UNKNOWN);
            AgentFixture.await("the upstream run was cancelled", () -> fixture.engine.running() == 0);
        }
    }

    /** Guards against a cancelled request that continues at its upstream. */
    @Test
    void cancelsUpstreamRun() throws Exception {
        try (AgentFixture fixture =
                        AgentFixture.model(AgentFixture.engineSettings().withSpeed(0, 50));
                ExecuteClient client = fixture.connect().send(AgentFixture.chatDispatch("r-1", 10_000))) {
            new ResponseReader().read(client, 3);
            client.cancel();
            AgentFixture.await("the upstream run was cancelled", () -> fixture.engine.running() == 0);
        }
    }

    /** Guards against runs that continue although no entry reads the response. */
    @Test
    void cancelsRunThatIsNotResumed() throws Exception {
        try (AgentFixture fixture =
                AgentFixture.model(AgentFixture.engineSettings().withSpeed(0, 50))) {
            try (ExecuteClient client = fixture.connect().send(AgentFixture.chatDispatch("r-1", 10_000))) {
                new ResponseReader().read(client, 3);
            }
            AgentFixture.await("the connection is closed", () -> fixture.agent.openStreams() == 0);
            assertThat(fixture.engine.running()).isEqualTo(1);
            fixture.clockOffsetMs.set(TimeUnit.SECONDS.toMillis(11));
            AgentFixture.await("the upstream run was cancelled", () -> fixture.engine.running() == 0);
        }
    }

    /** Guards against a dead connection that blocks a new connection from reading the response. */
    @Test
    void closesSilentConnection() throws Exception {
        try (AgentFixture fixture =
                AgentFixture.model(AgentFixture.engineSettings().withSpeed(0, 50))) {
            ResponseReader reader = new ResponseReader();
            try (ExecuteClient silent = fixture.connect().send(AgentFixture.chatDispatch("r-1", 60))) {
                reader.read(silent, 3);
                silent.stopHeartbeats();
                AgentFixture.await("the agent closed the connection", () -> fixture.agent.openStreams() == 0);
                try (ExecuteClient second = fixture.connect().send(reader.resume("r-1", AgentFixture.INCARNATION))) {
                    assertThat(reader.readAll(second).text()).isEqualTo(ChatText.streamedBody("r-1", "m", 60));
                }
            }
        }
    }

    private static void assertFailed(Failed failed, String kind, Execution execution) {
        assertThat(failed.getKind()).as(failed.getDetail()).isEqualTo(kind);
        assertThat(failed.getExecution()).isEqualTo(execution);
    }

    private static boolean accepts(int port) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            return socket.isConnected();
        } catch (IOException refused) {
            return false;
        }
    }
}
