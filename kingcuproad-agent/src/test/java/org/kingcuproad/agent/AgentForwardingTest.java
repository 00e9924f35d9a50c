package org.kingcuproad.agent;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.emulator.engine.ChatText;
import org.kingcuproad.emulator.engine.EngineSettings;
import org.kingcuproad.emulator.engine.EngineStandIn;
import org.kingcuproad.emulator.service.ServiceSettings;
import org.kingcuproad.emulator.service.ServiceStandIn;
import org.kingcuproad.wire.proto.ExecuteResponse;

/** Guards against answers that lose, repeat or exchange bytes on the way from the upstream. */
class AgentForwardingTest {

    private static final long INCARNATION = 7;

    private final NioEventLoopGroup upstreamLoops = new NioEventLoopGroup(1);

    @AfterEach
    void stopUpstreams() {
        upstreamLoops.shutdownGracefully();
    }

    @Test
    void streamsChatCompletion() throws Exception {
        EngineStandIn engine = EngineStandIn.start(upstreamLoops, EngineSettings.of("127.0.0.1", 0));
        Agent agent = Agent.start(AgentOptions.of("m-1", "http://127.0.0.1:" + engine.port(), INCARNATION));
        String body = "{\"model\":\"m\",\"stream\":true,\"max_tokens\":50}";
        try (ExecuteClient client = new ExecuteClient(agent.port())) {
            client.send(ExecuteClient.dispatch("r-1", INCARNATION, "POST", "/v1/chat/completions", body));
            assertThat(text(client)).isEqualTo(ChatText.streamedBody("r-1", "m", 50));
        }
        assertThat(engine.runs("r-1")).isEqualTo(1);
        agent.close();
    }

    @Test
    void passesOrderOn() throws Exception {
        ServiceStandIn service = ServiceStandIn.start(upstreamLoops, ServiceSettings.of("127.0.0.1", 0));
        Agent agent = Agent.start(AgentOptions.of("s-1", "http://127.0.0.1:" + service.port(), INCARNATION));
        try (ExecuteClient client = new ExecuteClient(agent.port())) {
            client.send(ExecuteClient.dispatch("o-1", INCARNATION, "POST", "/orders", "{\"item\":\"bubble\"}"));
            assertThat(text(client)).isEqualTo("{\"order\":1,\"requestId\":\"o-1\",\"run\":1}");
        }
        assertThat(service.runs("o-1")).isEqualTo(1);
        agent.close();
    }

    private static String text(ExecuteClient client) throws InterruptedException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        List<ExecuteResponse.MessageCase> order = new ArrayList<>();
        for (ExecuteResponse next = client.next(); next != null; next = client.next()) {
            if (next.hasChunk()) {
                assertThat(next.getChunk().getOffset()).isEqualTo(body.size());
                body.writeBytes(next.getChunk().getData().toByteArray());
            } else {
                order.add(next.getMessageCase());
            }
            if (next.hasEnd()) {
                assertThat(next.getEnd().getLength()).isEqualTo(body.size());
            }
        }
        assertThat(order)
                .containsExactly(
                        ExecuteResponse.MessageCase.ACCEPTED,
                        ExecuteResponse.MessageCase.HEAD,
                        ExecuteResponse.MessageCase.END);
        return body.toString(StandardCharsets.UTF_8);
    }
}
