package org.kingcuproad.agent;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.emulator.platform.Faults;
import org.kingcuproad.emulator.platform.Outage;
import org.kingcuproad.emulator.platform.PlatformStandIn;
import org.kingcuproad.emulator.service.ServiceSettings;
import org.kingcuproad.emulator.service.ServiceStandIn;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.wire.proto.Dispatch;

/** Guards against requests with a key that are executed twice, and against "not run" for executed requests. */
class AgentClaimTest {

    private static final String HOST = "127.0.0.1";

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final List<Agent> agents = new ArrayList<>();
    private PlatformStandIn platform;
    private ServiceStandIn service;

    @BeforeEach
    void start() throws Exception {
        platform = PlatformStandIn.start(HOST, 0);
        service = ServiceStandIn.start(loops, ServiceSettings.of(HOST, 0).withProcessingMs(100));
    }

    @AfterEach
    void stop() {
        agents.forEach(Agent::close);
        service.close();
        platform.close();
        loops.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    /**
     * Guards against a retry that is executed again, at the same agent during and after the run or at another agent.
     */
    @Test
    void answersRetriesWithFirstResponse() throws Exception {
        Agent owner = startAgent("s-1", 1);
        ExecuteClient first = new ExecuteClient(owner.port()).send(orderDispatch("o-1", 1, "key"));
        AgentFixture.await("the order runs", () -> service.orders() == 1);
        ExecuteClient during = new ExecuteClient(owner.port()).send(orderDispatch("o-2", 1, "key"));
        String answer = readAll(first).text();
        assertThat(answer).contains("\"order\":1");
        assertThat(readAll(during).text()).isEqualTo(answer);
        assertThat(readAll(new ExecuteClient(owner.port()).send(orderDispatch("o-3", 1, "key")))
                        .text())
                .isEqualTo(answer);
        Agent other = startAgent("s-2", 2);
        AgentFixture.await("the outcome is in the store", () -> {
            try {
                return readAll(new ExecuteClient(other.port()).send(orderDispatch("o-" + System.nanoTime(), 2, "key")))
                        .completed();
            } catch (InterruptedException interrupted) {
                throw new AssertionError(interrupted);
            }
        });
        assertThat(service.orders()).isEqualTo(1);
    }

    /** Guards against two agents that both execute a request, for example while its shard moves. */
    @Test
    void runsOnceWhenTwoAgentsClaim() throws Exception {
        Agent one = startAgent("s-1", 1);
        Agent two = startAgent("s-2", 2);
        for (int index = 0; index < 10; index++) {
            String key = "key-" + index;
            ExecuteClient left = new ExecuteClient(one.port()).send(orderDispatch("l-" + index, 1, key));
            ExecuteClient right = new ExecuteClient(two.port()).send(orderDispatch("r-" + index, 2, key));
            readAll(left);
            readAll(right);
            assertThat(service.runs("l-" + index) + service.runs("r-" + index)).isEqualTo(1);
        }
    }

    /** Guards against unclaimed execution during a store outage, and against an outage that blocks other requests. */
    @Test
    void refusesNewKeyDuringOutage() throws Exception {
        Agent agent = startAgent("s-1", 1);
        String answer = readAll(new ExecuteClient(agent.port()).send(orderDispatch("o-1", 1, "known")))
                .text();
        platform.setFaults(Faults.NONE.withOutage(Outage.REFUSE));
        ResponseReader refused = readAll(new ExecuteClient(agent.port()).send(orderDispatch("o-2", 1, "new")));
        assertThat(refused.failed().getKind()).isEqualTo("store-unavailable");
        assertThat(readAll(new ExecuteClient(agent.port()).send(orderDispatch("o-3", 1, "known")))
                        .text())
                .isEqualTo(answer);
        assertThat(readAll(new ExecuteClient(agent.port()).send(orderDispatch("o-4", 1, "")))
                        .status())
                .isEqualTo(201);
        assertThat(service.orders()).isEqualTo(2);
        platform.setFaults(Faults.NONE);
        AgentFixture.await("the store is used again", () -> {
            try {
                return readAll(new ExecuteClient(agent.port())
                                .send(orderDispatch("o-" + System.nanoTime(), 1, "later")))
                        .completed();
            } catch (InterruptedException interrupted) {
                throw new AssertionError(interrupted);
            }
        });
        assertThat(service.orders()).isEqualTo(3);
    }

    /** Guards against a second claim, or a refusal, when the response to a claim is lost. */
    @Test
    void recoversFromLostWriteResponse() throws Exception {
        Agent agent = startAgent("s-1", 1);
        platform.setFaults(Faults.NONE.withLostWriteResponses(1));
        ResponseReader reader = readAll(new ExecuteClient(agent.port()).send(orderDispatch("o-1", 1, "key")));
        assertThat(reader.text()).contains("\"run\":1");
        assertThat(service.orders()).isEqualTo(1);
    }

    /** Guards against a second run after the agent that claimed the request crashed. */
    @Test
    void reportsUnknownOutcomeAfterClaimantCrash() throws Exception {
        Agent first = startAgent("s-1", 1);
        ExecuteClient client = new ExecuteClient(first.port()).send(orderDispatch("o-1", 1, "key"));
        AgentFixture.await("the order runs", () -> service.orders() == 1);
        first.close();
        client.close();
        Agent second = startAgent("s-1", 2);
        ResponseReader reader = readAll(new ExecuteClient(second.port()).send(orderDispatch("o-2", 2, "key")));
        assertThat(reader.failed().getKind()).isEqualTo("outcome-unknown");
        assertThat(service.orders()).isEqualTo(1);
    }

    /** Guards against returning the response of another request with the same key. */
    @Test
    void refusesKeyReusedForOtherRequest() throws Exception {
        Agent agent = startAgent("s-1", 1);
        readAll(new ExecuteClient(agent.port()).send(orderDispatch("o-1", 1, "key")))
                .text();
        Dispatch.Builder changed = orderDispatch("o-2", 1, "key").setPath("/orders?urgent=true");
        assertThat(readAll(new ExecuteClient(agent.port()).send(changed))
                        .refused()
                        .getKind())
                .isEqualTo("key-reused");
        Dispatch.Builder otherWorkspace = orderDispatch("o-3", 1, "key").setWorkspace("dracut-school");
        assertThat(readAll(new ExecuteClient(agent.port()).send(otherWorkspace)).text())
                .contains("\"order\":2");
    }

    private Agent startAgent(String upstream, long incarnation) throws KingcuproadException {
        Agent agent = Agent.start(AgentOptions.of(upstream, "http://" + HOST + ":" + service.port(), incarnation)
                .withClaims(new ClaimOptions(platform.url(), "test", 3_600)));
        agents.add(agent);
        return agent;
    }

    private static Dispatch.Builder orderDispatch(String requestId, long incarnation, String key) {
        return ExecuteClient.dispatch(requestId, incarnation, "POST", "/orders", "{\"item\":\"bubble-lining\"}")
                .setWorkspace("andover-clerk")
                .setIdempotencyKey(key);
    }

    private static ResponseReader readAll(ExecuteClient client) throws InterruptedException {
        try (client) {
            return new ResponseReader().readAll(client);
        }
    }
}
