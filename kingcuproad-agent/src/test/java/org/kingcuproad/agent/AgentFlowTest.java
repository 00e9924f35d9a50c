package org.kingcuproad.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.kingcuproad.emulator.engine.ChatText;
import org.kingcuproad.policy.stream.ResponseBuffer;
import org.kingcuproad.wire.proto.AgentReport;
import org.kingcuproad.wire.proto.AgentServiceGrpc;
import org.kingcuproad.wire.proto.Failed;
import org.kingcuproad.wire.proto.ReportRequest;

/** Tests the request flow through an agent: forwarding, back-pressure, admission and draining. */
class AgentFlowTest {

    /** Guards against altered responses and against a missing request ID at the upstream. */
    @Test
    void forwardsRequest() throws Exception {
        try (AgentFixture fixture = AgentFixture.service(AgentFixture.serviceSettings());
                ExecuteClient client = fixture.connect().send(AgentFixture.orderDispatch("o-1"))) {
            ResponseReader reader = new ResponseReader().readAll(client);
            assertThat(reader.text()).isEqualTo("{\"order\":1,\"requestId\":\"o-1\",\"run\":1}");
            assertThat(reader.status()).isEqualTo(201);
        }
    }

    /** Guards against unbounded memory with a slow reader, and against bytes lost when reading pauses and resumes. */
    @Test
    void pausesReadingWhenBufferIsFull() throws Exception {
        int tokens = 20_000;
        String whole = ChatText.streamedBody("r-1", "m", tokens);
        assertThat(whole.length()).isGreaterThan(4 * ResponseBuffer.MAX_UNACKNOWLEDGED_BYTES);
        try (AgentFixture fixture = AgentFixture.model(AgentFixture.engineSettings());
                ExecuteClient client = fixture.connect().send(AgentFixture.chatDispatch("r-1", tokens))) {
            AgentFixture.await(
                    "the buffer is full", () -> fixture.agent.bufferedBytes() >= ResponseBuffer.HIGH_WATERMARK_BYTES);
            TimeUnit.MILLISECONDS.sleep(300);
            assertThat(fixture.agent.bufferedBytes()).isLessThanOrEqualTo(ResponseBuffer.MAX_UNACKNOWLEDGED_BYTES);
            assertThat(fixture.agent.runningRequests()).isEqualTo(1);
            assertThat(new ResponseReader().readAll(client).text()).isEqualTo(whole);
        }
    }

    /** Guards against exceeding the concurrency limit, and against queued requests that are lost or run too late. */
    @Test
    void queuesAndThenRefusesBeyondLimit() throws Exception {
        try (AgentFixture fixture =
                AgentFixture.model(AgentFixture.engineSettings().withSpeed(60_000, 0))) {
            List<ExecuteClient> running = new ArrayList<>();
            for (int index = 0; index < 4; index++) {
                running.add(fixture.connect().send(AgentFixture.chatDispatch("r-" + index, 1)));
            }
            AgentFixture.await("four requests run", () -> fixture.engine.running() == 4);
            ExecuteClient next = fixture.connect().send(AgentFixture.chatDispatch("next", 1));
            AgentFixture.await("one request is queued", () -> fixture.agent.queuedRequests() == 1);
            try (ExecuteClient late =
                    fixture.connect().send(AgentFixture.chatDispatch("late", 1).setDeadlineMs(300))) {
                Failed failed = new ResponseReader().readAll(late).failed();
                assertThat(failed.getKind()).isEqualTo("deadline-exceeded-not-run");
            }
            ExecuteClient last = fixture.connect().send(AgentFixture.chatDispatch("last", 1));
            AgentFixture.await("two requests are queued", () -> fixture.agent.queuedRequests() == 2);
            try (ExecuteClient refused = fixture.connect().send(AgentFixture.chatDispatch("refused", 1))) {
                assertThat(new ResponseReader().readAll(refused).refused().getKind())
                        .isEqualTo("overloaded");
            }
            running.getFirst().cancel();
            AgentFixture.await("the queued request runs", () -> fixture.engine.runs("next") == 1);
            assertThat(fixture.engine.runs("late") + fixture.engine.runs("refused"))
                    .isZero();
            last.close();
            next.close();
            running.forEach(ExecuteClient::close);
        }
    }

    /** Guards against an agent that refuses all requests permanently once its execution record is full. */
    @Test
    void changesIncarnationWhenRecordIsFull() throws Exception {
        try (AgentFixture fixture = AgentFixture.service(AgentFixture.serviceSettings());
                ExecuteClient subscriber = fixture.connect()) {
            Iterator<AgentReport> reports = AgentServiceGrpc.newBlockingStub(subscriber.channel())
                    .report(ReportRequest.newBuilder().setIntervalMs(600_000).build());
            assertThat(reports.next().getIncarnation()).isEqualTo(AgentFixture.INCARNATION);
            for (int index = 0; index < AgentFixture.MAX_REMEMBERED; index++) {
                try (ExecuteClient client = fixture.connect().send(AgentFixture.orderDispatch("o-" + index))) {
                    assertThat(new ResponseReader().readAll(client).status()).isEqualTo(201);
                }
            }
            long next = reports.next().getIncarnation();
            assertThat(next).isNotEqualTo(AgentFixture.INCARNATION);
            try (ExecuteClient old = fixture.connect().send(AgentFixture.orderDispatch("o-0"))) {
                assertThat(new ResponseReader().readAll(old).text()).contains("\"run\":1");
            }
            try (ExecuteClient client =
                    fixture.connect().send(AgentFixture.orderDispatch("new").setIncarnation(next))) {
                assertThat(new ResponseReader().readAll(client).status()).isEqualTo(201);
            }
            assertThat(fixture.service.orders()).isEqualTo(AgentFixture.MAX_REMEMBERED + 1);
        }
    }

    /** Guards against new requests at a draining agent, late notification of entries and interrupted responses. */
    @Test
    void drainsGracefully() throws Exception {
        try (AgentFixture fixture =
                        AgentFixture.model(AgentFixture.engineSettings().withSpeed(0, 20));
                ExecuteClient subscriber = fixture.connect();
                ExecuteClient running = fixture.connect().send(AgentFixture.chatDispatch("r-1", 100))) {
            Iterator<AgentReport> reports = AgentServiceGrpc.newBlockingStub(subscriber.channel())
                    .report(ReportRequest.newBuilder().setIntervalMs(600_000).build());
            AgentReport before = reports.next();
            assertThat(before.getLeaving()).isFalse();
            ResponseReader reader = new ResponseReader();
            reader.read(running, 3);
            CompletableFuture<Void> drained = fixture.agent.drain();
            AgentReport after = reports.next();
            assertThat(after.getLeaving()).isTrue();
            assertThat(after.getSequence()).isEqualTo(before.getSequence() + 1);
            try (ExecuteClient late = fixture.connect().send(AgentFixture.chatDispatch("r-2", 1))) {
                assertThat(new ResponseReader().readAll(late).refused().getKind())
                        .isEqualTo("shutting-down");
            }
            assertThat(drained).isNotDone();
            assertThat(reader.readAll(running).text()).isEqualTo(ChatText.streamedBody("r-1", "m", 100));
            drained.get(20, TimeUnit.SECONDS);
            assertThat(fixture.engine.runs("r-2")).isZero();
        }
    }
}
