package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against telling a caller that its order has not run though no upstream has said so. */
class UnstatedPromiseTest {

    private static final String RESPONSE = "HTTP/1.1 %d X\r\n%sContent-Length: 4\r\n\r\nbusy";

    private final GatewayFixture fixture;

    UnstatedPromiseTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private int statusOfAnOrder(int status, String headers) throws Exception {
        fixture.upstream(request -> new FakeUpstream.Reply(RESPONSE.formatted(status, headers), false));
        fixture.start();
        return fixture.post("/NON_IDEMPOTENT/order", "r1", "x").status();
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void passesOnNoPromiseWithoutTheSealOfAnUpstream(int status) throws Exception {
        assertThat(statusOfAnOrder(status, "")).isEqualTo(502);
    }

    @Test
    void passesOnTheRejectionOfAnUpstream() throws Exception {
        assertThat(statusOfAnOrder(503, "X-Not-Run: 1\r\n")).isEqualTo(503);
    }

    @Test
    void passesOnTheStatusThatAnUpstreamStandsBy() throws Exception {
        assertThat(statusOfAnOrder(503, "X-Request: r1\r\n" + GatewayFixture.SEAL))
                .isEqualTo(503);
    }
}
