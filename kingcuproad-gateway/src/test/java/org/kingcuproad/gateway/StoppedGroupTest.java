package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.kingcuproad.gateway.enginegroup.GroupReportCodec;
import org.kingcuproad.policy.enginegroup.GroupReport;

/** Guards against requests that are sent to the ranks of a group whose agents have reported that it is broken. */
class StoppedGroupTest {

    private static void report(DatagramSocket agent, long epoch, boolean open) throws IOException {
        ByteBuf report =
                GroupReportCodec.encode(new GroupReport("group-0", epoch, 0, 2, open, false, 80, List.of("127.0.0.1")));
        byte[] bytes = ByteBufUtil.getBytes(report);
        agent.send(new DatagramPacket(bytes, bytes.length, InetAddress.getByName("127.0.0.1"), agent.getLocalPort()));
    }

    private static void await(ByteArrayOutputStream log, String text) throws InterruptedException {
        for (int tries = 0; tries < 500 && !log.toString(StandardCharsets.UTF_8).contains(text); tries++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(log.toString(StandardCharsets.UTF_8)).contains(text);
    }

    @Test
    void sendsRequestsToTheGroupOnlyWhenItHasOpenedAgain() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        try (GatewayFixture fixture = new GatewayFixture();
                DatagramSocket agent = new DatagramSocket(0, InetAddress.getByName("127.0.0.2"))) {
            fixture.useEngines();
            fixture.setTimeoutMs(8_000);
            fixture.setLogOutput(log);
            fixture.setPeerPort(agent.getLocalPort());
            FakeUpstream upstream = fixture.upstream(request -> GatewayFixture.ok(request, "done"));
            fixture.start();
            report(agent, 3, false);
            await(log, "\"stopped\"");

            CompletableFuture<RawResponse> response = CompletableFuture.supplyAsync(() -> {
                try {
                    return fixture.post("/NON_IDEMPOTENT/order", "r1", "two boxes");
                } catch (IOException failed) {
                    throw new IllegalStateException(failed);
                }
            });
            for (int repetition = 0; repetition < 3; repetition++) {
                TimeUnit.MILLISECONDS.sleep(100);
                report(agent, 3, false);
            }
            assertThat(upstream.requests()).isEmpty();

            report(agent, 4, true);
            assertThat(response.get(5, TimeUnit.SECONDS).status()).isEqualTo(200);
            assertThat(upstream.requests()).hasSize(1);
        }
    }
}
