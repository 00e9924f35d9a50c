package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an urgent request that is refused because less urgent ones fill the queue. */
class ScarceCapacityTest {

    private static final int OK = 200;
    private static final int WARM_UP_REQUESTS = 15;
    private static final int FLOOD_REQUESTS = 80;
    private static final long SERVICE_MS = 100;
    private static final long TIMEOUT_MS = 2_000;

    private final GatewayFixture fixture;

    ScarceCapacityTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static FakeUpstream.Reply serve(String request) {
        try {
            Thread.sleep(SERVICE_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return GatewayFixture.ok(request, "stock");
    }

    /** Returns the status of an urgent request that arrives after many others. */
    private int statusBehindFlood(int priority) throws Exception {
        fixture.setTimeoutMs(TIMEOUT_MS);
        fixture.addWorkspace("k0", "urgent", priority);
        fixture.upstream(ScarceCapacityTest::serve);
        fixture.start();
        for (int index = 0; index < WARM_UP_REQUESTS; index++) {
            fixture.get("/IDEMPOTENT/a", "k1", "w" + index);
        }
        List<Socket> flood = new ArrayList<>();
        for (int index = 0; index < FLOOD_REQUESTS; index++) {
            Socket socket = fixture.open();
            socket.getOutputStream()
                    .write(GatewayFixture.getRequest("/IDEMPOTENT/a", "k1", "f" + index)
                            .getBytes(StandardCharsets.UTF_8));
            flood.add(socket);
        }
        int status = fixture.get("/IDEMPOTENT/a", "k0", "urgent").status();
        for (Socket socket : flood) {
            socket.close();
        }
        return status;
    }

    @Test
    void servesAnUrgentRequestThatArrivesAtAFullQueue() throws Exception {
        assertThat(statusBehindFlood(0)).isEqualTo(OK);
    }

    /** Guards against a changed decision where all priorities are the same. */
    @Test
    void refusesTheNewcomerIfAllPrioritiesAreTheSame() throws Exception {
        assertThat(statusBehindFlood(1)).isNotEqualTo(OK);
    }
}
