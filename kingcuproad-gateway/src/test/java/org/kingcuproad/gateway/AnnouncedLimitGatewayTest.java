package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against sending an upstream more requests than it announces that it accepts. */
class AnnouncedLimitGatewayTest {

    private static final double LIMIT_PER_SECOND = 1;
    private static final long WINDOW_MS = 4_000;
    private static final long DURATION_MS = 5_000;
    private static final long INTERVAL_MS = 20;

    /** The platform tolerates one and a half times the limit and five more requests. */
    private static final double TOLERATED = 1.5 * LIMIT_PER_SECOND * WINDOW_MS / 1_000 + 5;

    private final GatewayFixture fixture;

    AnnouncedLimitGatewayTest() throws IOException {
        fixture = new GatewayFixture();
        // A lookup that a slow machine delays would otherwise count as a failure of the limited upstream.
        fixture.setLatencyGoalMs(10_000);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static FakeUpstream.Reply limited(String request) {
        return new FakeUpstream.Reply(
                FakeUpstream.response(
                        FakeUpstream.header(request, "X-Request"),
                        200,
                        GatewayFixture.SEAL + "X-Limit: " + LIMIT_PER_SECOND + "\r\n",
                        "limited"),
                false);
    }

    @Test
    void keepsToTheLimitOfOneUpstreamWhileOthersServe() throws Exception {
        List<Long> arrivalsMs = new CopyOnWriteArrayList<>();
        fixture.upstream(request -> {
            arrivalsMs.add(System.nanoTime() / 1_000_000);
            return limited(request);
        });
        fixture.upstream(request -> GatewayFixture.ok(request, "free"));
        fixture.useEngines();
        fixture.start();

        long startMs = System.nanoTime() / 1_000_000;
        int sent = 0;
        while (System.nanoTime() / 1_000_000 < startMs + DURATION_MS) {
            assertThat(fixture.get("/IDEMPOTENT/stock", "k1", "r" + sent).status())
                    .as("status of request %d", sent)
                    .isEqualTo(200);
            sent++;
            Thread.sleep(INTERVAL_MS);
        }

        assertThat(arrivalsMs)
                .as("requests at the limited upstream in some 4 s, of %d", sent)
                .allSatisfy(firstMs -> assertThat(arrivalsMs.stream()
                                .filter(atMs -> atMs >= firstMs && atMs < firstMs + WINDOW_MS)
                                .count())
                        .isLessThanOrEqualTo((long) TOLERATED));
        assertThat(arrivalsMs).as("use of the limited upstream").hasSizeGreaterThan(1);
    }
}
