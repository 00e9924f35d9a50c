package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a request that waits for its only untried upstream and holds up all others of its service. */
class RetryQueueTest {

    private static final int ORDERS = 40;
    private static final long SLOW_MS = 1_500;
    private static final int SERVER_ERROR = 500;

    private final GatewayFixture fixture;

    RetryQueueTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void servesOthersWhileARetryWaitsForItsUpstream() throws Exception {
        fixture.upstream(request -> request.contains("/failing")
                ? new FakeUpstream.Reply(
                        FakeUpstream.response(
                                FakeUpstream.header(request, "X-Request"), SERVER_ERROR, GatewayFixture.SEAL, "error"),
                        false)
                : GatewayFixture.ok(request, "stock"));
        FakeUpstream slow = fixture.upstream(request -> {
            sleep(SLOW_MS);
            return GatewayFixture.ok(request, "late");
        });
        fixture.start();
        List<Socket> sockets = new ArrayList<>();
        for (int order = 0; order < ORDERS; order++) {
            sockets.add(send(GatewayFixture.keptAlivePostRequest("/NON_IDEMPOTENT/a", "o" + order)));
            sleep(5);
        }
        int atSlowUpstream = slow.requests().size();
        sockets.add(send(GatewayFixture.getRequest("/IDEMPOTENT/failing", "k1", "failing")));
        sleep(50);

        long startedNs = System.nanoTime();
        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r1").body()).isEqualTo("stock");
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs))
                .as("time of a lookup beside a retry, in milliseconds")
                .isLessThan(SLOW_MS / 3);
        assertThat(atSlowUpstream).as("orders at the slow upstream").isLessThan(ORDERS / 2);
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private Socket send(String request) throws IOException {
        Socket socket = fixture.open();
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        return socket;
    }
}
