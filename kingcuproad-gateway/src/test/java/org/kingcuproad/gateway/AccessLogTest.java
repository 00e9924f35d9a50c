package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests whose end no line of the log tells. */
class AccessLogTest {

    private static final long SECOND_MS = 1_000;

    /** More than the lines of one kind that are written in a second. */
    private static final int REFUSALS = 130;

    private static final int LARGE_BYTES = 300 << 10;

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final GatewayFixture fixture;

    AccessLogTest() throws IOException {
        fixture = new GatewayFixture();
        fixture.setLogOutput(written);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private String lineOf(String id) throws InterruptedException {
        long endNs = System.nanoTime() + Duration.ofSeconds(2).toNanos();
        while (System.nanoTime() < endNs) {
            String line = written.toString(StandardCharsets.UTF_8)
                    .lines()
                    .filter(text -> text.contains("\"request finished\"") && text.contains("\"" + id + "\""))
                    .findFirst()
                    .orElse("");
            if (!line.isEmpty()) {
                return line;
            }
            Thread.sleep(10);
        }
        return "";
    }

    /** All in one second, as the rate of the lines is counted by the second. */
    @Test
    void writesTheLineOfASuccessBesideManyRefusals() throws Exception {
        fixture.upstream(request -> GatewayFixture.ok(request, "body"));
        fixture.start();
        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "first").status()).isEqualTo(200);
        Thread.sleep(SECOND_MS - System.currentTimeMillis() % SECOND_MS);

        for (int number = 0; number < REFUSALS; number++) {
            assertThat(fixture.get("/STEADY/a", "k1", "refused" + number).status())
                    .isEqualTo(503);
        }
        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "served").status()).isEqualTo(200);

        assertThat(lineOf("served")).contains("\"status\":200");
    }

    /** A response too large to be held is passed on as it arrives, whatever its status is. */
    @Test
    void writesTheStatusOfALargeFailure() throws Exception {
        String body = "x".repeat(LARGE_BYTES);
        fixture.upstream(request -> new FakeUpstream.Reply(
                FakeUpstream.response(FakeUpstream.header(request, "X-Request"), 500, GatewayFixture.SEAL, body),
                false));
        fixture.start();
        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "failed").status()).isEqualTo(500);

        assertThat(lineOf("failed")).contains("\"status\":500");
    }

    @Test
    void countsTheLinesThatWereLeftOut() throws Exception {
        Gateway gateway = fixture.start();

        assertThat(gateway.metrics().render()).contains("log_lines_suppressed 0\n", "log_lines_dropped 0\n");
    }
}
